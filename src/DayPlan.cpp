/** @file DayPlan.cpp Checks of a sheet, and which of its visits take place on a day. */
#include <sequoia/DayPlan.h>

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace sequoia {

namespace {

    using VisitDay = std::pair<std::string_view, Day>;

    std::map<VisitDay, const SheetRow*> indexRows(const std::vector<SheetRow>& rows)
    {
        std::map<VisitDay, const SheetRow*> index;
        for (const auto& row : rows)
            index.emplace(VisitDay { row.visit, row.date }, &row);
        return index;
    }

    /** Pairs of a crew and a day on which it has visits in the sheet. */
    std::set<std::pair<std::string_view, Day>> crewDays(const std::vector<SheetRow>& rows)
    {
        std::set<std::pair<std::string_view, Day>> days;
        for (const auto& row : rows)
            days.emplace(row.crew, row.date);
        return days;
    }

    PlanProblem makeProblem(const SheetRow& row, std::string message)
    {
        return { row.line, row.visit, row.date, std::move(message) };
    }

    /** Whether following the moves of the visit from this row leads into a cycle. */
    bool isCycle(const SheetRow& row, const std::map<VisitDay, const SheetRow*>& index)
    {
        std::set<Day> seen { row.date };
        Day day = row.target;
        for (;;) {
            if (!seen.insert(day).second)
                return true;
            const auto it = index.find({ row.visit, day });
            if (it == index.end() || it->second->rule != HolidayRule::Move)
                return false;
            day = it->second->target;
        }
    }

} // namespace

std::vector<PlanProblem> checkSheet(const std::vector<SheetRow>& rows)
{
    std::vector<PlanProblem> problems;
    std::map<VisitDay, const SheetRow*> index;
    for (const auto& row : rows) {
        const auto [it, isNew] = index.emplace(VisitDay { row.visit, row.date }, &row);
        if (!isNew)
            problems.push_back(
                makeProblem(row, fmt::format("duplicate: line {} lists the visit for the same day", it->second->line)));
    }
    const auto days = crewDays(rows);
    std::map<VisitDay, const SheetRow*> targets;
    for (const auto& row : rows) {
        if (row.rule != HolidayRule::Move)
            continue;
        const auto target = toString(row.target);
        if (isCycle(row, index))
            problems.push_back(makeProblem(row, fmt::format("the move to {} leads into a cycle of moves", target)));
        else if (index.contains({ row.visit, row.target }))
            problems.push_back(makeProblem(row, fmt::format("the move would duplicate the visit on {}", target)));
        if (!days.contains({ row.crew, row.target }))
            problems.push_back(
                makeProblem(row, fmt::format("moves to {}, but crew {} does not work on that day", target, row.crew)));
        const auto [it, isNew] = targets.emplace(VisitDay { row.visit, row.target }, &row);
        if (!isNew)
            problems.push_back(
                makeProblem(row, fmt::format("line {} moves the same visit to {} too", it->second->line, target)));
    }
    return problems;
}

std::vector<PlanProblem> checkHolidays(const std::vector<SheetRow>& rows, const std::set<Day>& holidays)
{
    std::vector<PlanProblem> problems;
    for (const auto& row : rows) {
        const bool isMoved = row.rule == HolidayRule::Move && holidays.contains(row.date);
        if (isMoved && holidays.contains(row.target))
            problems.push_back(makeProblem(
                row, fmt::format("lost: the visit moves to {}, which is a holiday too", toString(row.target))));
    }
    return problems;
}

std::vector<PlanProblem> checkReplacement(
    const std::vector<SheetRow>& before, const std::vector<SheetRow>& after, Day from)
{
    std::vector<PlanProblem> problems;
    if (after.empty())
        return problems;
    const auto index = indexRows(after);
    const auto covered = std::minmax_element(
        after.begin(), after.end(), [](const SheetRow& a, const SheetRow& b) { return a.date < b.date; });
    const Day first = std::max(from, covered.first->date);
    for (const auto& row : before) {
        const bool isCovered = row.date >= first && row.date <= covered.second->date;
        if (isCovered && !index.contains({ row.visit, row.date }))
            problems.push_back(
                { 0, row.visit, row.date, "lost: the new sheet covers the day but does not list the visit" });
    }
    return problems;
}

std::vector<PlannedVisit> visitsOn(const std::vector<SheetRow>& rows, const std::set<Day>& holidays, Day day)
{
    std::vector<PlannedVisit> visits;
    for (const auto& row : rows) {
        const bool isHoliday = holidays.contains(row.date);
        if (row.date == day && (!isHoliday || row.rule == HolidayRule::Keep))
            visits.push_back({ &row, {} });
        else if (row.date != day && isHoliday && row.rule == HolidayRule::Move && row.target == day)
            visits.push_back({ &row, row.date });
    }
    return visits;
}

DayPlan::DayPlan(const std::vector<SheetRow>& rows, std::set<Day> holidays)
    : m_holidays(std::move(holidays))
    , m_size(rows.size())
{
    for (const auto& row : rows)
        m_visits[row.visit].push_back({ row.date, row.target, row.rule });
}

std::optional<std::string> DayPlan::refusalReason(const std::string& visit, Day day) const
{
    const auto it = m_visits.find(visit);
    if (it == m_visits.end())
        return std::nullopt;
    std::string reason = fmt::format("visit {} is not planned on {}", visit, toString(day));
    for (const auto& entry : it->second) {
        const bool isHoliday = m_holidays.contains(entry.date);
        if (entry.date != day) {
            if (isHoliday && entry.rule == HolidayRule::Move && entry.target == day)
                return std::nullopt;
            continue;
        }
        if (!isHoliday || entry.rule == HolidayRule::Keep)
            return std::nullopt;
        const auto holiday = toString(day);
        reason = entry.rule == HolidayRule::Cancel
            ? fmt::format("visit {} is cancelled: {} is a holiday", visit, holiday)
            : fmt::format("visit {} is moved from {} to {}", visit, holiday, toString(entry.target));
    }
    return reason;
}

} // namespace sequoia
