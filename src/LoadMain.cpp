/** @file LoadMain.cpp sequoia-load: sends jobs as callers do, checks the answers, and reports response times and
 * message counts. */
#include "LoadCaller.h"

#include <sequoia/CommandLine.h>

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <sequoia/Sheet.h>
#include <sstream>
#include <thread>

namespace sequoia {

namespace {

    namespace leaf = boost::leaf;

    constexpr Milliseconds progressPeriod { 2000 };
    constexpr Milliseconds countPeriod { 400 };

    /** Reads the visits of the scenario's day from its sheet; empty without a sheet, nullopt if it can't be read. */
    std::optional<std::vector<LoadVisit>> readVisits(LoadSettings& settings)
    {
        if (settings.sheet.empty())
            return std::vector<LoadVisit>();
        std::ifstream file(settings.sheet, std::ios::binary);
        std::stringstream text;
        text << file.rdbuf();
        if (!file) {
            fmt::print(stderr, "{}: cannot be read\n", settings.sheet);
            return std::nullopt;
        }
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<std::vector<LoadVisit>>> {
                BOOST_LEAF_AUTO(rows, parseSheet(text.str(), settings.sheet, {}));
                if (settings.day.empty() && !rows.empty())
                    settings.day = toString(rows.front().date);
                std::vector<LoadVisit> visits;
                for (const auto& row : rows) {
                    if (toString(row.date) == settings.day)
                        visits.push_back({ row.visit, row.team, row.isRepeatable });
                }
                return std::optional(std::move(visits));
            },
            [](const SheetError& error) {
                for (const auto& problem : error.problems)
                    fmt::print(stderr, "{}\n", toString(problem, error.file));
                return std::optional<std::vector<LoadVisit>>();
            },
            [] { return std::optional<std::vector<LoadVisit>>(); });
    }

    /** Runs the load and returns its report. */
    LoadReport runLoad(const LoadSettings& settings, const std::vector<LoadVisit>& visits)
    {
        LoadTally tally;
        const auto jobs = generateJobs(settings, visits);
        StartCounter starts(settings.backends);
        MessageCounter messages(settings.entries);
        messages.recordBaseline();
        std::atomic<size_t> nextJob { 0 };
        std::atomic<bool> isDone { false };
        std::thread collector([&] {
            while (!isDone) {
                starts.collect();
                std::this_thread::sleep_for(countPeriod);
            }
        });
        std::thread progress([&] {
            while (!isDone) {
                std::this_thread::sleep_for(progressPeriod);
                fmt::print(stderr, "progress: {} of {} jobs sent, {} complete, {} failed\n",
                    std::min(nextJob.load(), jobs.size()), jobs.size(), tally.complete.load(), tally.failed.load());
            }
        });
        const auto begin = Clock::now();
        std::vector<std::thread> callers;
        for (int64_t i = 0; i < settings.callers; ++i) {
            callers.emplace_back([&, i] {
                LoadCaller caller(settings, static_cast<size_t>(i), tally);
                for (size_t n = nextJob++; n < jobs.size(); n = nextJob++)
                    caller.run(jobs[n], begin);
            });
        }
        for (auto& caller : callers)
            caller.join();
        isDone = true;
        collector.join();
        progress.join();
        starts.collect();
        return makeReport(tally, starts, messages);
    }

    int run(int argc, char** argv)
    {
        std::string format = "text";
        std::vector<char*> remainingArgs;
        for (int i = 0; i < argc; ++i) {
            const std::string argument = argv[i];
            if (argument == "--report" && i + 1 < argc)
                format = argv[++i];
            else
                remainingArgs.push_back(argv[i]);
        }
        const auto parsed = parseDaemonOptions(static_cast<int>(remainingArgs.size()), remainingArgs.data(),
            "sequoia-load: sends the jobs of a scenario, checks every answer, and reports with --report json or text.\n"
            "Exit code 1 if an answer was missing, partial, foreign or changed, a task was started twice, or a job "
            "that ran was reported as not run.",
            [] { return describeSettings(loadSettingRows(), "sequoia-load"); });
        if (const auto* code = std::get_if<ExitCode>(&parsed))
            return toInt(*code);
        auto settings = loadOrReport(loadSettingRows(), std::get<DaemonOptions>(parsed));
        if (!settings)
            return toInt(ExitCode::BadSettings);
        if (settings->entries.empty()) {
            fmt::print(stderr, "entries: at least one address is needed\n");
            return toInt(ExitCode::BadSettings);
        }
        const auto visits = readVisits(*settings);
        if (!visits)
            return toInt(ExitCode::Refused);
        if (std::get<DaemonOptions>(parsed).isCheckOnly) {
            std::cout << "settings are good\n";
            return toInt(ExitCode::Ok);
        }
        const auto report = runLoad(*settings, *visits);
        std::cout << (format == "json" ? toJson(report) : toText(report)) << std::endl;
        return toInt(report.isClean() ? ExitCode::Ok : ExitCode::Failure);
    }

} // namespace

} // namespace sequoia

int main(int argc, char** argv) { return sequoia::run(argc, argv); }
