/** @file CtlSheet.cpp Commands sequoiactl sheet and sequoiactl holiday. */
#include "Ctl.h"

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <iostream>
#include <map>

namespace sequoia {

namespace leaf = boost::leaf;

namespace {

    /** Error for input that was refused; its lines are printed, and nothing is changed. */
    struct RefusedInput {
        std::vector<std::string> lines;
    };

    std::string describe(const PlanProblem& problem, const std::string& file)
    {
        const auto place = problem.line > 0 ? fmt::format("{}:{}: ", file, problem.line) : "";
        return fmt::format("{}visit {} on {}: {}", place, problem.visit, toString(problem.date), problem.message);
    }

    leaf::result<void> failOnProblems(const std::vector<PlanProblem>& problems, const std::string& file)
    {
        if (problems.empty())
            return {};
        RefusedInput refused;
        for (const auto& problem : problems)
            refused.lines.push_back(describe(problem, file));
        return leaf::new_error(std::move(refused));
    }

    /** The configuration in the store, with the rows of its sheet. */
    struct CurrentPlan {
        Configuration configuration;
        std::vector<SheetRow> rows;
    };

    leaf::result<CurrentPlan> readCurrent(const ConfigEditor& editor)
    {
        CurrentPlan out;
        BOOST_LEAF_ASSIGN(out.configuration, editor.read());
        BOOST_LEAF_ASSIGN(out.rows, editor.readParts(out.configuration.plan.parts));
        return out;
    }

    leaf::result<std::vector<SheetRow>> readSheet(const CtlOptions& options, const std::string& path)
    {
        const auto text = readFile(path);
        if (!text)
            return leaf::new_error(RefusedInput { { path + ": cannot be read" } });
        BOOST_LEAF_AUTO(rows, parseSheet(*text, path, options.format));
        BOOST_LEAF_CHECK(failOnProblems(checkSheet(rows), path));
        return rows;
    }

    void printDifferences(const std::vector<SheetRow>& before, const std::vector<SheetRow>& after)
    {
        const auto text = [](const SheetRow& row) {
            const auto rule = row.rule == HolidayRule::Keep ? std::string("keep")
                : row.rule == HolidayRule::Cancel           ? std::string("cancel")
                                                            : "move:" + toString(row.target);
            return fmt::format("{} {} {} {} {} {} {} {}", toString(row.date), row.crew, row.route, row.visit, row.team,
                row.kind, row.isRepeatable ? "yes" : "no", rule);
        };
        std::set<std::string> oldLines;
        std::set<std::string> newLines;
        for (const auto& row : before)
            oldLines.insert(text(row));
        for (const auto& row : after)
            newLines.insert(text(row));
        for (const auto& line : oldLines) {
            if (!newLines.contains(line))
                std::cout << "- " << line << '\n';
        }
        for (const auto& line : newLines) {
            if (!oldLines.contains(line))
                std::cout << "+ " << line << '\n';
        }
    }

    ExitCode reportSheetErrors(const std::function<leaf::result<ExitCode>()>& call)
    {
        return reportErrors([&] {
            return leaf::try_handle_some(
                call,
                [](const SheetError& error) -> leaf::result<ExitCode> {
                    for (const auto& problem : error.problems)
                        fmt::print(stderr, "{}\n", toString(problem, error.file));
                    return ExitCode::Refused;
                },
                [](const RefusedInput& refused) -> leaf::result<ExitCode> {
                    for (const auto& line : refused.lines)
                        fmt::print(stderr, "{}\n", line);
                    return ExitCode::Refused;
                });
        });
    }

    ExitCode checkCommand(const CtlOptions& options)
    {
        return reportSheetErrors([&]() -> leaf::result<ExitCode> {
            BOOST_LEAF_AUTO(rows, readSheet(options, options.words[2]));
            std::map<Day, size_t> days;
            for (const auto& row : rows)
                ++days[row.date];
            for (const auto& [day, n] : days)
                std::cout << toString(day) << "  " << n << " visits\n";
            std::cout << rows.size() << " rows, no problems found\n";
            return ExitCode::Ok;
        });
    }

    ExitCode diffCommand(const CtlOptions& options)
    {
        return reportSheetErrors([&]() -> leaf::result<ExitCode> {
            const Store store(options.store, Milliseconds(3000));
            const ConfigEditor editor(store, options.cluster);
            BOOST_LEAF_AUTO(rows, readSheet(options, options.words[2]));
            BOOST_LEAF_AUTO(current, readCurrent(editor));
            printDifferences(current.rows, rows);
            return ExitCode::Ok;
        });
    }

    /** Checks a sheet against the plan in force; a dry run makes the same checks. */
    leaf::result<void> checkApply(
        const CtlOptions& options, const CurrentPlan& current, const std::vector<SheetRow>& rows)
    {
        const auto& file = options.words[2];
        BOOST_LEAF_CHECK(failOnProblems(checkHolidays(rows, current.configuration.plan.holidays), file));
        if (!options.mayRemove)
            BOOST_LEAF_CHECK(failOnProblems(checkReplacement(current.rows, rows, todayOf(options)), file));
        return {};
    }

    ExitCode applyCommand(const CtlOptions& options)
    {
        return reportSheetErrors([&]() -> leaf::result<ExitCode> {
            const Store store(options.store, Milliseconds(3000));
            const ConfigEditor editor(store, options.cluster);
            BOOST_LEAF_AUTO(rows, readSheet(options, options.words[2]));
            BOOST_LEAF_AUTO(current, readCurrent(editor));
            BOOST_LEAF_CHECK(checkApply(options, current, rows));
            if (options.isDryRun) {
                printDifferences(current.rows, rows);
                std::cout << "dry run: " << rows.size() << " rows would be applied\n";
                return ExitCode::Ok;
            }
            BOOST_LEAF_AUTO(parts, editor.writeParts(rows));
            const auto note = fmt::format("sheet of {} rows", rows.size());
            const auto change = [&](Configuration configuration) -> leaf::result<Configuration> {
                // The checks above hold only for the revision that was read; a newer one must be checked again.
                if (configuration.revision != current.configuration.revision)
                    return leaf::new_error(ConfigError { ConfigErrorKind::Conflict,
                        { "the configuration has changed in the meantime; apply the sheet again" } });
                configuration.plan.parts = parts;
                return configuration;
            };
            BOOST_LEAF_AUTO(committed, editor.edit(options.author, note, change));
            std::cout << "revision " << raw(committed.revision) << ": " << note << '\n';
            return ExitCode::Ok;
        });
    }

    ExitCode showCommand(const CtlOptions& options)
    {
        return reportSheetErrors([&]() -> leaf::result<ExitCode> {
            const auto day = parseDay(options.day);
            if (!day)
                return leaf::new_error(RefusedInput { { "--day: expected a date such as 2026-12-08" } });
            const Store store(options.store, Milliseconds(3000));
            const ConfigEditor editor(store, options.cluster);
            BOOST_LEAF_AUTO(current, readCurrent(editor));
            const auto visits = visitsOn(current.rows, current.configuration.plan.holidays, *day);
            for (const auto& visit : visits) {
                const auto& row = *visit.row;
                const auto moved
                    = visit.movedFrom == Day() ? "" : fmt::format("  moved from {}", toString(visit.movedFrom));
                std::cout << fmt::format(
                    "{:<16} {:<12} {:<16} {:<12}{}\n", row.crew, row.route, row.visit, row.team, moved);
            }
            std::cout << visits.size() << " visits on " << options.day << '\n';
            return ExitCode::Ok;
        });
    }

    ExitCode holidayCommand(const CtlOptions& options, bool isConfirmed)
    {
        return reportSheetErrors([&]() -> leaf::result<ExitCode> {
            const auto& text = options.words[2];
            const auto day = parseDay(text);
            if (!day)
                return leaf::new_error(
                    RefusedInput { { fmt::format("\"{}\": expected a date such as 2026-12-08", text) } });
            if (*day <= todayOf(options))
                return leaf::new_error(RefusedInput {
                    { fmt::format("{} has started or is past; its plan can no longer be changed", text) } });
            const Store store(options.store, Milliseconds(3000));
            const ConfigEditor editor(store, options.cluster);
            size_t affected = 0;
            const auto change = [&](Configuration configuration) -> leaf::result<Configuration> {
                BOOST_LEAF_AUTO(rows, editor.readParts(configuration.plan.parts));
                auto& holidays = configuration.plan.holidays;
                if (isConfirmed)
                    holidays.insert(*day);
                else
                    holidays.erase(*day);
                BOOST_LEAF_CHECK(failOnProblems(checkHolidays(rows, holidays), "sheet"));
                for (const auto& row : rows)
                    affected += row.date == *day && row.rule != HolidayRule::Keep ? 1 : 0;
                return configuration;
            };
            const auto* verb = isConfirmed ? "confirmed" : "withdrawn";
            if (options.isDryRun) {
                BOOST_LEAF_AUTO(before, editor.read());
                BOOST_LEAF_CHECK(change(before));
                std::cout << "dry run: holiday " << text << " would be " << verb << ", " << affected
                          << " visits change\n";
                return ExitCode::Ok;
            }
            BOOST_LEAF_AUTO(committed, editor.edit(options.author, fmt::format("holiday {} {}", text, verb), change));
            std::cout << "revision " << raw(committed.revision) << ": holiday " << text << ' ' << verb << ", "
                      << affected << " visits change\n";
            return ExitCode::Ok;
        });
    }

} // namespace

std::vector<CtlCommand> sheetCommands()
{
    return {
        { { "sheet", "check" }, "FILE", 1, "check a sheet on its own", checkCommand },
        { { "sheet", "diff" }, "FILE", 1, "show what a sheet would change", diffCommand },
        { { "sheet", "apply" }, "FILE", 1, "make a sheet the one in force", applyCommand },
        { { "sheet", "show" }, "--day DATE", 0, "list the visits that take place on a day", showCommand },
        { { "holiday", "confirm" }, "DATE", 1, "make a future day a holiday",
            [](const CtlOptions& options) { return holidayCommand(options, true); } },
        { { "holiday", "withdraw" }, "DATE", 1, "make a future day a working day again",
            [](const CtlOptions& options) { return holidayCommand(options, false); } },
    };
}

} // namespace sequoia
