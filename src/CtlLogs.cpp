/** @file CtlLogs.cpp Commands sequoiactl explain, troubled and report, which analyse the logs of all processes. */
#include "Ctl.h"
#include "Explain.h"
#include "LogLines.h"
#include "LogReport.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>
#include <map>

namespace sequoia {

namespace {

    /**
     * Parses log files, `-` for standard input; prints an error and returns empty if a file can't be read or no file
     * has an event.
     */
    std::optional<std::vector<TimeLineEvent>> readLogs(const std::vector<std::string>& files)
    {
        std::string text;
        for (const auto& file : files) {
            const auto part = readFile(file);
            if (!part) {
                fmt::print(stderr, "{}: cannot be read\n", file);
                return std::nullopt;
            }
            text += *part;
            text += '\n';
        }
        auto events = parseLogLines(text);
        if (events.empty()) {
            fmt::print(stderr, "{}: no log line of the form \"time=... event=...\"\n", fmt::join(files, ", "));
            return std::nullopt;
        }
        return events;
    }

    std::vector<std::string> wordsFrom(const CtlOptions& options, size_t first)
    {
        return { options.words.begin() + static_cast<std::ptrdiff_t>(first), options.words.end() };
    }

    ExitCode explainCommand(const CtlOptions& options)
    {
        const auto events = readLogs(wordsFrom(options, 2));
        if (!events)
            return ExitCode::Failure;
        const auto explanation = explain(*events, options.words[1]);
        std::cout << (options.output == "json" ? explanationJson(explanation) + "\n" : explanationText(explanation));
        return explanation.events.empty() ? ExitCode::Failure : ExitCode::Ok;
    }

    ExitCode troubledCommand(const CtlOptions& options)
    {
        const auto events = readLogs(wordsFrom(options, 1));
        if (!events)
            return ExitCode::Failure;
        for (const auto& explanation : explainTroubled(*events))
            std::cout << fmt::format("{}  {:<20}  {}\n", explanation.job, explanation.code, explanation.cause);
        return ExitCode::Ok;
    }

    ExitCode reportCommand(const CtlOptions& options)
    {
        const auto files = wordsFrom(options, 1);
        const auto events = readLogs(files);
        if (!events)
            return ExitCode::Failure;
        std::vector<TimeLineEvent> before;
        if (!options.before.empty()) {
            auto read = readLogs(options.before);
            if (!read)
                return ExitCode::Failure;
            before = std::move(*read);
        }
        std::cout << logReportHtml(*events, before, fmt::format("sequoiafold: {}", fmt::join(files, ", ")));
        return ExitCode::Ok;
    }

} // namespace

std::vector<CtlCommand> logCommands()
{
    return {
        { { "explain" }, "ID FILE...", 2,
            "events of one request and why it failed or was late, from log files; --output text|json", explainCommand,
            true },
        { { "troubled" }, "FILE...", 1, "requests that failed or were late, with their causes", troubledCommand, true },
        { { "report" }, "FILE...", 1, "HTML report on the jobs in log files; --before FILE to compare with another run",
            reportCommand, true },
    };
}

} // namespace sequoia
