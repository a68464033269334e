/** @file Sheet.h The planners' sheet: rows of visits, read from CSV as spreadsheets export it. */
#pragma once

#include <boost/leaf/result.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia {

using Day = std::chrono::sys_days;

/** Reads `YYYY-MM-DD`; empty on any other text or a day that does not exist. */
std::optional<Day> parseDay(std::string_view text);
/** Writes `YYYY-MM-DD`. */
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
    Day target {}; ///< Where a Move goes.
    uint32_t line = 0; ///< Line in the file; 0 for rows read from the store.
};

/** One fault of a sheet. */
struct SheetProblem {
    uint32_t line = 0;
    std::string column;
    std::string value;
    std::string expected;
};

/** Error of this layer: all faults at once. */
struct SheetError {
    std::string file;
    std::vector<SheetProblem> problems;
};

/** Order of day and month in dates such as 08/12/2026. */
enum class DateOrder : uint8_t { Unstated, DayFirst, MonthFirst };

/** How a sheet is to be read. */
struct SheetFormat {
    std::string encoding = "utf-8"; ///< `utf-8` or `windows-1252`.
    DateOrder dateOrder = DateOrder::Unstated;
};

/** Reads a sheet; fails with SheetError naming `file`. */
boost::leaf::result<std::vector<SheetRow>> parseSheet(
    const std::string& text, const std::string& file, const SheetFormat& format);

/** Writes rows in the form kept in the store, one JSON array a line. */
std::string packRows(const std::vector<SheetRow>& rows, size_t begin, size_t end);
/** Reads what packRows wrote; empty if it is damaged. */
std::optional<std::vector<SheetRow>> unpackRows(const std::string& packed);

/** One line for a problem: file, line, column, value and what was expected. */
std::string toString(const SheetProblem& problem, const std::string& file);

} // namespace sequoia
