/** @file DayPlan.h Which visits are worked on which day, with the confirmed holidays applied. */
#pragma once

#include <sequoia/Sheet.h>

#include <set>
#include <unordered_map>

namespace sequoia {

/** One thing that a plan would do wrong, with the visits that it concerns. */
struct PlanProblem {
    uint32_t line = 0; ///< Line in the sheet; 0 if there is none.
    std::string visit;
    Day date {};
    std::string message;
};

/** Checks a sheet by itself: no visit twice on a day, every move possible, no cycle of moves. */
std::vector<PlanProblem> checkSheet(const std::vector<SheetRow>& rows);

/** Checks what confirming a set of holidays does to a sheet: nothing lost, nothing doubled. */
std::vector<PlanProblem> checkHolidays(const std::vector<SheetRow>& rows, const std::set<Day>& holidays);

/** Visits that the old plan has from a day on and the new one lacks, on days that the new one covers. */
std::vector<PlanProblem> checkReplacement(
    const std::vector<SheetRow>& before, const std::vector<SheetRow>& after, Day from);

/** A visit worked on a day. */
struct PlannedVisit {
    const SheetRow* row = nullptr;
    Day movedFrom {}; ///< Its day in the sheet, if that is another.
};

/** The visits worked on a day, in the order of the sheet. */
std::vector<PlannedVisit> visitsOn(const std::vector<SheetRow>& rows, const std::set<Day>& holidays, Day day);

/** Lookup of visits for the requests of a day; keeps only what that needs. */
class DayPlan {
public:
    DayPlan() = default;
    DayPlan(const std::vector<SheetRow>& rows, std::set<Day> holidays);

    /** Why a visit is not worked on a day; empty if it is, or if the plan says nothing of the visit. */
    std::optional<std::string> refusalReason(const std::string& visit, Day day) const;

    size_t size() const { return m_size; }

private:
    struct Occurrence {
        Day date {};
        Day target {};
        HolidayRule rule = HolidayRule::Keep;
    };

    std::unordered_map<std::string, std::vector<Occurrence>> m_visits;
    std::set<Day> m_holidays;
    size_t m_size = 0;
};

} // namespace sequoia
