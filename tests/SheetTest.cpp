/** @file SheetTest.cpp Tests parsing of sheets, the problems found in them, and the effect of holidays on a plan. */
#include <sequoia/DayPlan.h>

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string>

using namespace sequoia;
namespace leaf = boost::leaf;

namespace {

#define HEAD "date;crew;route;visit;team;kind;repeatable;on_holiday\r\n"

struct Parsed {
    std::vector<SheetRow> rows;
    std::vector<SheetProblem> problems;
};

Parsed parse(const std::string& text, const SheetFormat& format = {})
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<Parsed> {
            BOOST_LEAF_AUTO(rows, parseSheet(text, "f.csv", format));
            return Parsed { std::move(rows), {} };
        },
        [](const SheetError& error) {
            return Parsed { {}, error.problems };
        },
        [] { return Parsed(); });
}

SheetRow row(const char* date, const char* crew, const char* visit, HolidayRule rule, const char* target = "2026-01-01")
{
    SheetRow out;
    out.date = *parseDay(date);
    out.crew = crew;
    out.visit = visit;
    out.team = "t";
    out.rule = rule;
    out.target = *parseDay(target);
    return out;
}

} // namespace

struct GoodRow {
    char text[300];
    size_t rows;
    char encoding[16];
    int order;
};

ParameterizedTestParameters(Sheet, accepts)
{
    static GoodRow rows[] = {
        { HEAD "2026-12-08;C;R;V1;t;k;yes;keep\r\n", 1, "utf-8", 0 },
        { "\xEF\xBB\xBF" HEAD "2026-12-08;C;R;V1;t;k;no;cancel\r\n;;;;;;;\r\n\r\n", 1, "utf-8", 0 },
        { "date,crew,route,visit,team,kind,repeatable,on_holiday\n2026-12-08,\"C, \xC3\xB1\",R,V1,t,k,1,keep\n", 1,
            "utf-8", 0 },
        { "Date\tCrew\tRoute\tVisit\tTeam\tKind\tRepeatable\tOn_Holiday\t\t\n2026-12-"
          "08\tC\tR\tV1\tt\tk\tfalse\tkeep\t\t\n",
            1, "utf-8", 0 },
        { HEAD "08/12/2026;C;R;V1;t;k;yes;move:09/12/2026\r\n", 1, "utf-8", 1 },
        { HEAD "12/08/2026;C;R;V1;t;k;yes;keep\r\n", 1, "utf-8", 2 },
        { HEAD "25/12/2026;C;R;V1;t;k;yes;keep\r\n", 1, "utf-8", 0 },
        { HEAD "2026-12-08;\"two\r\nlines\";R;V1;t;k;yes;keep\r\n2026-12-08;C;R;V2;t;k;yes;keep\r\n", 2, "utf-8", 0 },
        { HEAD "2026-12-08;C\xF1;R;V1;t;k;yes;keep\r\n", 1, "windows-1252", 0 },
    };
    return cr_make_param_array(GoodRow, rows, sizeof(rows) / sizeof(GoodRow));
}

ParameterizedTest(GoodRow* good, Sheet, accepts)
{
    const auto parsed = parse(good->text, { good->encoding, static_cast<DateOrder>(good->order) });
    for (const auto& problem : parsed.problems)
        cr_log_error("%s", toString(problem, "f.csv").c_str());
    cr_assert_eq(parsed.rows.size(), good->rows, "%s", good->text);
}

struct BadRow {
    char text[300];
    unsigned line;
    char column[16];
};

ParameterizedTestParameters(Sheet, refuses)
{
    static BadRow rows[] = {
        { "", 1, "" },
        { "date;crew\r\n", 1, "route" },
        { HEAD "2026-02-30;C;R;V1;t;k;yes;keep\r\n", 2, "date" },
        { HEAD "08/12/2026;C;R;V1;t;k;yes;keep\r\n", 2, "date" },
        { HEAD "2026-12-08;;R;V1;t;k;yes;keep\r\n", 2, "crew" },
        { HEAD "2026-12-08;C;R;V1;t;k;maybe;keep\r\n", 2, "repeatable" },
        { HEAD "2026-12-08;C;R;V1;t;k;yes;later\r\n", 2, "on_holiday" },
        { HEAD "2026-12-08;C;R;V1;t;k;yes;move:tomorrow\r\n", 2, "on_holiday" },
        // The line number counts physical lines, also those within a quoted field.
        { HEAD "2026-12-08;\"a\r\nb\";R;V1;t;k;yes;keep\r\n2026-12-08;C;R;V2;t;k;yes;never\r\n", 4, "on_holiday" },
        { HEAD "2026-12-08;C;R;V1;t;k;yes;keep;extra\r\n", 2, "column 9" },
        // Invalid UTF-8.
        { HEAD "2026-12-08;C\xF1;R;V1;t;k;yes;keep\r\n", 2, "" },
        // A quoted field that is not closed.
        { HEAD "2026-12-08;\"C;R;V1;t;k;yes;keep\r\n", 2, "" },
        { "date;crew;route;visit;team;kind;repeatable;on_holiday;colour\r\n", 1, "colour" },
    };
    return cr_make_param_array(BadRow, rows, sizeof(rows) / sizeof(BadRow));
}

ParameterizedTest(BadRow* bad, Sheet, refuses)
{
    const auto parsed = parse(bad->text);
    cr_assert_not(parsed.problems.empty(), "%s", bad->text);
    cr_assert_eq(parsed.problems.front().line, bad->line, "%s: line %u", bad->text, parsed.problems.front().line);
    cr_assert_str_eq(parsed.problems.front().column.c_str(), bad->column);
}

Test(Sheet, reportsAllProblemsAtOnce)
{
    const auto parsed
        = parse(HEAD "x;C;R;V1;t;k;yes;keep\r\n2026-12-08;C;R;V2;t;k;x;keep\r\n2026-12-08;C;R;;t;k;no;x\r\n");
    cr_assert_eq(parsed.problems.size(), 4U);
}

Test(Sheet, packsAndUnpacks)
{
    const std::vector<SheetRow> rows { row("2026-12-08", "Ñ", "V", HolidayRule::Move, "2026-12-09") };
    const auto back = unpackRows(packRows(rows, 0, 1));
    cr_assert(back.has_value());
    cr_assert_eq(back->front().crew, rows.front().crew);
    cr_assert(back->front().target == rows.front().target);
    cr_assert_not(unpackRows("[1,2]\n").has_value());
}

Test(DayPlan, rejectsLostAndDuplicateVisits)
{
    const auto move = HolidayRule::Move;
    const auto keep = HolidayRule::Keep;
    // The same visit twice on a day.
    cr_expect_eq(checkSheet({ row("2026-12-08", "c", "v", keep), row("2026-12-08", "c", "v", keep) }).size(), 1U);
    cr_expect_eq(checkSheet({ row("2026-12-08", "c", "v", move, "2026-12-09") }).size(), 1U,
        "the crew must work on the target day");
    // A move to a day on which the visit is planned already.
    cr_expect_eq(
        checkSheet({ row("2026-12-08", "c", "v", move, "2026-12-09"), row("2026-12-09", "c", "v", keep) }).size(), 1U);
    // Both rows of a cycle are reported.
    cr_expect_eq(
        checkSheet({ row("2026-12-08", "c", "v", move, "2026-12-09"), row("2026-12-09", "c", "v", move, "2026-12-08") })
            .size(),
        2U, "cycle");
    // A valid move: the crew works on the target day and the visit is not planned there.
    cr_expect(
        checkSheet({ row("2026-12-08", "c", "v", move, "2026-12-09"), row("2026-12-09", "c", "w", keep) }).empty());
    // The target day of the move is a holiday too.
    cr_expect_eq(checkHolidays({ row("2026-12-08", "c", "v", move, "2026-12-09") },
                     { *parseDay("2026-12-08"), *parseDay("2026-12-09") })
                     .size(),
        1U);
    // The new sheet drops a visit on a day that it covers; allowed only before the given day.
    cr_expect_eq(checkReplacement({ row("2026-12-08", "c", "v", keep) }, { row("2026-12-08", "c", "w", keep) },
                     *parseDay("2026-12-07"))
                     .size(),
        1U);
    cr_expect(checkReplacement(
        { row("2026-12-08", "c", "v", keep) }, { row("2026-12-08", "c", "w", keep) }, *parseDay("2026-12-09"))
                  .empty());
}

Test(DayPlan, holidayMovesEachVisitOnce)
{
    const std::vector<SheetRow> rows { row("2026-12-08", "c", "moved", HolidayRule::Move, "2026-12-09"),
        row("2026-12-08", "c", "kept", HolidayRule::Keep), row("2026-12-08", "c", "gone", HolidayRule::Cancel),
        row("2026-12-09", "c", "next", HolidayRule::Keep) };
    const std::set<Day> holidays { *parseDay("2026-12-08") };
    cr_expect_eq(visitsOn(rows, holidays, *parseDay("2026-12-08")).size(), 1U);
    cr_expect_eq(visitsOn(rows, holidays, *parseDay("2026-12-09")).size(), 2U);
    const DayPlan plan(rows, holidays);
    cr_expect(plan.refusalReason("moved", *parseDay("2026-12-08")).has_value());
    cr_expect(plan.refusalReason("moved", *parseDay("2026-12-08"))->find("2026-12-09") != std::string::npos);
    cr_expect_not(plan.refusalReason("moved", *parseDay("2026-12-09")).has_value());
    cr_expect_not(plan.refusalReason("kept", *parseDay("2026-12-08")).has_value());
    cr_expect(plan.refusalReason("gone", *parseDay("2026-12-08")).has_value());
    cr_expect(plan.refusalReason("gone", *parseDay("2026-12-09")).has_value());
    cr_expect_not(plan.refusalReason("unplanned", *parseDay("2026-12-08")).has_value());
}
