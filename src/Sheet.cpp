/** @file Sheet.cpp Parses the planners' sheet with libcsv. */
#include <sequoia/Sheet.h>

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <csv.h>
#include <fmt/format.h>
#include <iconv.h>
#include <map>
#include <nlohmann/json.hpp>

namespace sequoia {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

    enum class Column : uint8_t { Date, Crew, Route, Visit, Team, Kind, Repeatable, OnHoliday };

    constexpr std::array<std::string_view, 8> columnNames { "date", "crew", "route", "visit", "team", "kind",
        "repeatable", "on_holiday" };
    constexpr size_t maxProblems = 1000; // Further problems of a sheet are dropped.
    constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

    std::string_view nameOf(Column column) { return columnNames.at(static_cast<size_t>(column)); }

    std::string trimmed(std::string_view text)
    {
        const auto first = text.find_first_not_of(" \t\r\n");
        if (first == std::string_view::npos)
            return {};
        return std::string(text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1));
    }

    std::string toLower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
        return text;
    }

    /** Converts to UTF-8; empty if a byte is invalid in the encoding, with its position in `badOffset`. */
    std::optional<std::string> toUtf8(const std::string& text, const std::string& encoding, size_t& badOffset)
    {
        const auto converter = iconv_open("UTF-8", encoding == "windows-1252" ? "WINDOWS-1252" : "UTF-8");
        std::string out(text.size() * 3 + 4, '\0');
        auto* in = const_cast<char*>(text.data());
        auto* to = out.data();
        size_t inLeft = text.size();
        size_t outLeft = out.size();
        const size_t rv = iconv(converter, &in, &inLeft, &to, &outLeft);
        iconv_close(converter);
        badOffset = text.size() - inLeft;
        if (rv == static_cast<size_t>(-1))
            return std::nullopt;
        out.resize(out.size() - outLeft);
        return out;
    }

    std::optional<int> parseNumber(std::string_view text)
    {
        int n = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        if (ec != std::errc() || end != text.data() + text.size() || text.empty())
            return std::nullopt;
        return n;
    }

    std::optional<Day> makeDay(std::optional<int> year, std::optional<int> month, std::optional<int> day)
    {
        if (!year || !month || !day || *month < 1 || *day < 1)
            return std::nullopt;
        const std::chrono::year_month_day date { std::chrono::year(*year),
            std::chrono::month(static_cast<unsigned>(*month)), std::chrono::day(static_cast<unsigned>(*day)) };
        constexpr int firstYear = 1970;
        constexpr int lastYear = 2200;
        if (!date.ok() || *year < firstYear || *year > lastYear)
            return std::nullopt;
        return Day(date);
    }

    /** Parses a date with slashes; if it is ambiguous, returns empty and sets `expected` for the error message. */
    std::optional<Day> parseSlashDate(const std::string& text, DateOrder order, std::string& expected)
    {
        const auto first = text.find('/');
        const auto second = text.find('/', first + 1);
        if (first == std::string::npos || second == std::string::npos)
            return std::nullopt;
        const std::string_view view = text;
        const auto a = parseNumber(view.substr(0, first));
        const auto b = parseNumber(view.substr(first + 1, second - first - 1));
        const auto year = parseNumber(view.substr(second + 1));
        const auto dayFirst = makeDay(year, b, a);
        const auto monthFirst = makeDay(year, a, b);
        if (order == DateOrder::DayFirst)
            return dayFirst;
        if (order == DateOrder::MonthFirst)
            return monthFirst;
        if (dayFirst && monthFirst && *dayFirst != *monthFirst) {
            expected = "an unambiguous date: use YYYY-MM-DD or set --date-order";
            return std::nullopt;
        }
        return dayFirst ? dayFirst : monthFirst;
    }

    char detectDelimiter(const std::string& text)
    {
        const std::string header = text.substr(0, text.find('\n'));
        char best = ';';
        std::ptrdiff_t maxCount = 0;
        for (const char c : { ';', ',', '\t' }) {
            const auto count = std::count(header.begin(), header.end(), c);
            if (count > maxCount) {
                maxCount = count;
                best = c;
            }
        }
        return best;
    }

    /** Parses the records of a sheet and collects the problems with their line numbers. */
    class SheetReader {
    public:
        SheetReader(std::string file, const SheetFormat& format)
            : m_format(format)
            , m_error { std::move(file), {} }
        {
        }

        void parse(const std::string& text)
        {
            csv_parser parser {};
            csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI);
            csv_set_delim(&parser, static_cast<unsigned char>(detectDelimiter(text)));
            size_t at = 0;
            while (at < text.size() && !m_isMalformed) {
                // Feeds one physical line at a time, so that the line on which each record starts is known.
                ++m_line;
                const size_t end = std::min(text.find('\n', at), text.size() - 1);
                const size_t n = end + 1 - at;
                if (csv_parse(&parser, text.data() + at, n, onField, onRow, this) != n)
                    reportMalformed(csv_strerror(csv_error(&parser)));
                at = end + 1;
            }
            if (!m_isMalformed && csv_fini(&parser, onField, onRow, this) != 0)
                reportMalformed("quoted field is not closed");
            csv_free(&parser);
            if (m_columns.empty() && !m_isMalformed)
                addProblem(1, "", "", "a header line with the column names");
        }

        leaf::result<std::vector<SheetRow>> result()
        {
            if (!m_error.problems.empty())
                return leaf::new_error(std::move(m_error));
            return std::move(m_rows);
        }

        void addProblem(uint32_t line, std::string_view column, const std::string& value, const std::string& expected)
        {
            if (m_error.problems.size() < maxProblems)
                m_error.problems.push_back({ line, std::string(column), value, expected });
        }

    private:
        static void onField(void* data, size_t n, void* self)
        {
            static_cast<SheetReader*>(self)->m_fields.emplace_back(static_cast<const char*>(data), n);
        }

        static void onRow(int, void* self) { static_cast<SheetReader*>(self)->endRecord(); }

        void reportMalformed(const std::string& why)
        {
            m_isMalformed = true;
            addProblem(m_recordLine, "", "", "well-formed CSV (" + why + ")");
        }

        void endRecord()
        {
            const uint32_t line = std::exchange(m_recordLine, m_line + 1);
            auto fields = std::exchange(m_fields, {});
            for (auto& field : fields)
                field = trimmed(field);
            while (!fields.empty() && fields.back().empty())
                fields.pop_back();
            if (fields.empty())
                return;
            if (m_columns.empty())
                parseHeader(line, fields);
            else
                parseRecord(line, fields);
        }

        void parseHeader(uint32_t line, const std::vector<std::string>& fields)
        {
            m_columns.assign(fields.size(), std::nullopt);
            for (size_t i = 0; i < fields.size(); ++i) {
                const auto it = std::find(columnNames.begin(), columnNames.end(), toLower(fields[i]));
                if (it == columnNames.end()) {
                    if (!fields[i].empty())
                        addProblem(line, fields[i], fields[i],
                            "one of date, crew, route, visit, team, kind, repeatable, on_holiday");
                    continue;
                }
                const auto column = static_cast<Column>(it - columnNames.begin());
                if (std::find(m_columns.begin(), m_columns.end(), column) != m_columns.end())
                    addProblem(line, *it, fields[i], "each column once");
                m_columns[i] = column;
            }
            for (size_t i = 0; i < columnNames.size(); ++i) {
                if (std::find(m_columns.begin(), m_columns.end(), static_cast<Column>(i)) == m_columns.end())
                    addProblem(line, columnNames.at(i), "", "a column with this name");
            }
        }

        void parseRecord(uint32_t line, const std::vector<std::string>& fields)
        {
            SheetRow row;
            row.line = line;
            std::array<bool, columnNames.size()> isSeen {};
            for (size_t i = 0; i < fields.size(); ++i) {
                if (i >= m_columns.size()) {
                    addProblem(line, fmt::format("column {}", i + 1), fields[i], "no value beyond the header");
                    continue;
                }
                if (!m_columns[i])
                    continue;
                isSeen.at(static_cast<size_t>(*m_columns[i])) = true;
                parseField(row, *m_columns[i], fields[i]);
            }
            for (size_t i = 0; i < isSeen.size(); ++i) {
                if (!isSeen.at(i))
                    parseField(row, static_cast<Column>(i), "");
            }
            m_rows.push_back(std::move(row));
        }

        void parseField(SheetRow& row, Column column, const std::string& value)
        {
            const auto required = [&](std::string& out) {
                if (value.empty())
                    addProblem(row.line, nameOf(column), value, "a value");
                out = value;
            };
            switch (column) {
            case Column::Date:
                row.date = parseDate(row.line, column, value);
                break;
            case Column::Crew:
                required(row.crew);
                break;
            case Column::Route:
                row.route = value;
                break;
            case Column::Visit:
                required(row.visit);
                break;
            case Column::Team:
                required(row.team);
                break;
            case Column::Kind:
                row.kind = value;
                break;
            case Column::Repeatable:
                row.isRepeatable = parseBool(row.line, value);
                break;
            case Column::OnHoliday:
                parseHolidayRule(row, value);
                break;
            }
        }

        Day parseDate(uint32_t line, Column column, const std::string& value)
        {
            std::string expected = "a date such as 2026-12-08";
            const bool hasSlash = value.find('/') != std::string::npos;
            const auto day = hasSlash ? parseSlashDate(value, m_format.dateOrder, expected) : parseDay(value);
            if (!day)
                addProblem(line, nameOf(column), value, expected);
            return day.value_or(Day());
        }

        bool parseBool(uint32_t line, const std::string& value)
        {
            const auto text = toLower(value);
            const bool isTrue = text == "yes" || text == "true" || text == "1";
            const bool isFalse = text == "no" || text == "false" || text == "0";
            if (!isTrue && !isFalse)
                addProblem(line, nameOf(Column::Repeatable), value, "yes or no");
            return isTrue;
        }

        void parseHolidayRule(SheetRow& row, const std::string& value)
        {
            constexpr std::string_view movePrefix = "move:";
            const auto text = toLower(value);
            if (text == "keep") {
                row.rule = HolidayRule::Keep;
            } else if (text == "cancel") {
                row.rule = HolidayRule::Cancel;
            } else if (text.rfind(movePrefix, 0) == 0) {
                row.rule = HolidayRule::Move;
                row.target = parseDate(row.line, Column::OnHoliday, trimmed(value.substr(movePrefix.size())));
            } else {
                addProblem(row.line, nameOf(Column::OnHoliday), value, "keep, cancel or move:DATE");
            }
        }

        SheetFormat m_format;
        SheetError m_error;
        std::vector<std::optional<Column>> m_columns;
        std::vector<std::string> m_fields;
        std::vector<SheetRow> m_rows;
        uint32_t m_line = 0;
        uint32_t m_recordLine = 1;
        bool m_isMalformed = false;
    };

} // namespace

std::optional<Day> parseDay(std::string_view text)
{
    constexpr size_t length = 10;
    if (text.size() != length || text[4] != '-' || text[7] != '-')
        return std::nullopt;
    return makeDay(parseNumber(text.substr(0, 4)), parseNumber(text.substr(5, 2)), parseNumber(text.substr(8, 2)));
}

std::string toString(Day day)
{
    const std::chrono::year_month_day date(day);
    return fmt::format("{:04}-{:02}-{:02}", static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
        static_cast<unsigned>(date.day()));
}

leaf::result<std::vector<SheetRow>> parseSheet(
    const std::string& text, const std::string& file, const SheetFormat& format)
{
    SheetReader reader(file, format);
    size_t badOffset = 0;
    auto utf8 = toUtf8(text, format.encoding, badOffset);
    if (!utf8) {
        const auto line = std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(badOffset), '\n') + 1;
        reader.addProblem(static_cast<uint32_t>(line), "",
            fmt::format("byte 0x{:02x}", static_cast<unsigned char>(text[badOffset])),
            format.encoding + " text (see --encoding)");
        return reader.result();
    }
    if (utf8->starts_with(byteOrderMark))
        utf8->erase(0, byteOrderMark.size());
    reader.parse(*utf8);
    return reader.result();
}

std::string packRows(const std::vector<SheetRow>& rows, size_t begin, size_t end)
{
    std::string out;
    for (size_t i = begin; i < end; ++i) {
        const auto& row = rows[i];
        const auto target = row.rule == HolidayRule::Move ? toString(row.target) : "";
        out += Json::array({ toString(row.date), row.crew, row.route, row.visit, row.team, row.kind, row.isRepeatable,
                               static_cast<int>(row.rule), target })
                   .dump();
        out += '\n';
    }
    return out;
}

std::optional<std::vector<SheetRow>> unpackRows(const std::string& packed)
{
    std::vector<SheetRow> rows;
    size_t at = 0;
    try {
        while (at < packed.size()) {
            const size_t end = packed.find('\n', at);
            const auto cells = Json::parse(packed.substr(at, end - at));
            SheetRow row;
            const auto date = parseDay(cells.at(0).get<std::string>());
            if (!date)
                return std::nullopt;
            row.date = *date;
            cells.at(1).get_to(row.crew);
            cells.at(2).get_to(row.route);
            cells.at(3).get_to(row.visit);
            cells.at(4).get_to(row.team);
            cells.at(5).get_to(row.kind);
            cells.at(6).get_to(row.isRepeatable);
            const auto rule = cells.at(7).is_number_integer() ? cells.at(7).get<int64_t>() : -1;
            if (rule < 0 || rule > static_cast<int64_t>(HolidayRule::Move))
                return std::nullopt;
            row.rule = static_cast<HolidayRule>(rule);
            row.target = parseDay(cells.at(8).get<std::string>()).value_or(Day());
            rows.push_back(std::move(row));
            at = end == std::string::npos ? packed.size() : end + 1;
        }
    } catch (const Json::exception&) {
        return std::nullopt;
    }
    return rows;
}

std::string toString(const SheetProblem& problem, const std::string& file)
{
    auto out = fmt::format("{}:{}: ", file, problem.line);
    if (!problem.column.empty())
        out += fmt::format("column {}: ", problem.column);
    return out + fmt::format("\"{}\": expected {}", problem.value, problem.expected);
}

} // namespace sequoia
