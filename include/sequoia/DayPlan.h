/** @file DayPlan.h Determines which visits take place on which day, with the confirmed holidays applied. */
#pragma once

#include <sequoia/Sheet.h>

#include <set>
#include <unordered_map>

namespace sequoia {

/** One error in a plan, with the visit and date that it concerns. */
struct PlanProblem {
    uint32_t line = 0; ///< Line in the sheet file; 0 if the row does not come from a file.
    std::string visit;
    Day date {};
    std::string message;
};

/**
 * Checks a sheet on its own: no visit is listed twice for a day, no move duplicates a visit or goes to a day on which
 * the crew does not work, and the moves of a visit form no cycle.
 */
std::vector<PlanProblem> checkSheet(const std::vector<SheetRow>& rows);

/** Checks that no visit is lost with these holidays, that is, moved to a day that is a holiday itself. */
std::vector<PlanProblem> checkHolidays(const std::vector<SheetRow>& rows, const std::set<Day>& holidays);

/** Finds visits of the old plan on or after `from` that the new plan lacks although it covers their day. */
std::vector<PlanProblem> checkReplacement(
    const std::vector<SheetRow>& before, const std::vector<SheetRow>& after, Day from);

/** A visit that takes place on the day asked for. */
struct PlannedVisit {
    const SheetRow* row = nullptr;
    Day movedFrom {}; ///< Its date in the sheet if a holiday moved it; otherwise the default value.
};

/** Visits that take place on a day, in the order of the sheet. */
std::vector<PlannedVisit> visitsOn(const std::vector<SheetRow>& rows, const std::set<Day>& holidays, Day day);

/** Index by visit that tells whether a request for a visit on a day agrees with the plan. */
class DayPlan {
public:
    DayPlan() = default;
    DayPlan(const std::vector<SheetRow>& rows, std::set<Day> holidays);

    /** Why a visit does not take place on a day; empty if it does, or if the visit is not in the plan at all. */
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
