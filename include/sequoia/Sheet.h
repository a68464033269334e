/** @file Sheet.h The planners' sheet: one row for each planned visit, read from the CSV that spreadsheets export. */
#pragma once

#include <boost/leaf/result.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia {

using Day = std::chrono::sys_days;

/** Parses `YYYY-MM-DD`; empty for any other text and for dates that do not exist. */
std::optional<Day> parseDay(std::string_view text);
/** Formats a date as `YYYY-MM-DD`. */
std::string toString(Day day);

/** What happens to a visit when its day is confirmed as a holiday. */
enum class HolidayRule : uint8_t { Keep, Cancel, Move };

/** One row of the sheet. */
struct SheetRow {
    Day date {};
    std::string crew;
    std::string route;
    std::string visit;
    std::string team;
    std::string kind;
    bool isRepeatable = false;
    HolidayRule rule = HolidayRule::Keep;
    Day target {}; ///< New date of the visit if the rule is Move.
    uint32_t line = 0; ///< Line in the file; 0 for rows read from the store.
};

/** One problem found in a sheet. */
struct SheetProblem {
    uint32_t line = 0;
    std::string column;
    std::string value;
    std::string expected;
};

/** Error of parseSheet with all problems found in the file. */
struct SheetError {
    std::string file;
    std::vector<SheetProblem> problems;
};

/** Order of day and month in dates such as 08/12/2026. */
enum class DateOrder : uint8_t { Unstated, DayFirst, MonthFirst };

/** Encoding and date format of a sheet file. */
struct SheetFormat {
    std::string encoding = "utf-8"; ///< `utf-8` or `windows-1252`.
    DateOrder dateOrder = DateOrder::Unstated;
};

/** Parses a sheet; fails with SheetError, whose `file` is the argument. */
boost::leaf::result<std::vector<SheetRow>> parseSheet(
    const std::string& text, const std::string& file, const SheetFormat& format);

/** Serializes the rows [begin, end) for the store, one JSON array per line. */
std::string packRows(const std::vector<SheetRow>& rows, size_t begin, size_t end);
/** Parses the output of packRows; empty if it is damaged. */
std::optional<std::vector<SheetRow>> unpackRows(const std::string& packed);

/** Formats a problem as one line: file, line, column, value and what was expected. */
std::string toString(const SheetProblem& problem, const std::string& file);

} // namespace sequoia
