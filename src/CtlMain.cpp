/** @file CtlMain.cpp Options, help and main function of sequoiactl. */
#include "ConfigSynchronizer.h"
#include "Ctl.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sequoia/HttpService.h>
#include <sequoia/JsonNesting.h>
#include <sstream>

namespace sequoia {

namespace options = boost::program_options;
namespace leaf = boost::leaf;

namespace {

    std::string environment(const char* name, const char* fallback)
    {
        const char* value = std::getenv(name);
        return value == nullptr ? fallback : value;
    }

    std::vector<CtlCommand> allCommands()
    {
        auto all = sheetCommands();
        for (auto more : { configCommands(), clusterCommands(), logCommands() })
            all.insert(all.end(), more.begin(), more.end());
        return all;
    }

    std::string joined(const std::vector<std::string>& words) { return fmt::format("{}", fmt::join(words, " ")); }

    void printHelp(const options::options_description& description)
    {
        std::cout
            << "sequoiactl: command line tool for operators and planners\n\nUsage: sequoiactl COMMAND [ARGUMENT...] "
               "[OPTION...]\n\nCommands:\n";
        for (const auto& command : allCommands())
            std::cout << fmt::format("  {:<44} {}\n", joined(command.words) + " " + command.arguments, command.help);
        std::cout << "  completion                                   print a completion script for bash\n\n"
                  << description;
        std::cout
            << "\nExit codes: 0 done, 1 failure, 2 usage, 4 another edit was committed first, 5 the store is\n"
               "unavailable and nothing was changed, 6 the outcome of a write is unknown, 7 the input was refused\n"
               "and nothing was changed.\n";
    }

    void printCompletion(const options::options_description& description)
    {
        std::string words;
        for (const auto& command : allCommands())
            words += joined(command.words) + " ";
        for (const auto& option : description.options())
            words += "--" + option->long_name() + " ";
        std::cout << "complete -W \"" << words << "\" -o default sequoiactl\n";
    }

    /** Parses `11s`, `500ms` or a number of seconds. */
    std::optional<Milliseconds> parseWait(const std::string& text)
    {
        int64_t n = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        const std::string unit(end, text.data() + text.size());
        if (ec != std::errc() || n < 0)
            return std::nullopt;
        if (unit == "ms")
            return Milliseconds(n);
        if (unit == "s" || unit.empty())
            return Milliseconds(n * 1000);
        return std::nullopt;
    }

    const CtlCommand* findCommand(const std::vector<CtlCommand>& commands, const std::vector<std::string>& words)
    {
        for (const auto& command : commands) {
            const auto& fixed = command.words;
            const bool isMatch = words.size() >= fixed.size() && std::equal(fixed.begin(), fixed.end(), words.begin());
            if (isMatch)
                return &command;
        }
        return nullptr;
    }

    ExitCode usage(const std::string& message)
    {
        fmt::print(stderr, "sequoiactl: {}; see --help\n", message);
        return ExitCode::Usage;
    }

    ExitCode runCommand(const CtlOptions& parsed)
    {
        const auto commands = allCommands();
        const auto* command = findCommand(commands, parsed.words);
        if (command == nullptr) {
            std::vector<std::string> names;
            names.reserve(commands.size());
            for (const auto& known : commands)
                names.push_back(joined(known.words));
            const auto suggestion = nearestWord(joined(parsed.words), names);
            return usage(fmt::format("unknown command \"{}\"{}", joined(parsed.words),
                suggestion.empty() ? "" : ", did you mean \"" + suggestion + "\"?"));
        }
        const auto minWords = command->words.size() + command->argumentCount;
        if (parsed.words.size() < minWords || (parsed.words.size() > minWords && !command->isVariadic))
            return usage(fmt::format("expected: {} {}", joined(command->words), command->arguments));
        return command->run(parsed);
    }

    ExitCode run(int argc, char** argv)
    {
        CtlOptions parsed;
        std::string dateOrder;
        std::string wait;
        options::options_description visible("Options");
        // clang-format off
    visible.add_options()
        ("help,h", "show this help")
        ("version", "show the version")
        ("store", options::value(&parsed.store)->default_value(environment("SEQUOIA_STORE", "")), "address of the platform's store")
        ("entry", options::value(&parsed.entry)->default_value(environment("SEQUOIA_ENTRY", "")), "HTTP address of any entry")
        ("cluster", options::value(&parsed.cluster)->default_value(environment("SEQUOIA_CLUSTER", "sequoia")), "name of the cluster")
        ("token", options::value(&parsed.token)->default_value(environment("SEQUOIA_TOKEN", "")), "secret of the cluster's processes")
        ("author", options::value(&parsed.author)->default_value(environment("USER", "operator")), "author recorded with an edit")
        ("dry-run", options::bool_switch(&parsed.isDryRun), "check and show the changes without making them")
        ("encoding", options::value(&parsed.format.encoding)->default_value("utf-8"), "encoding of the sheet: utf-8 or windows-1252")
        ("date-order", options::value(&dateOrder)->default_value(""), "order of day and month in dates with slashes in the sheet: dmy or mdy")
        ("allow-removals", options::bool_switch(&parsed.mayRemove), "let a sheet drop visits of the plan in force")
        ("day", options::value(&parsed.day), "day to show, YYYY-MM-DD")
        ("today", options::value(&parsed.today)->default_value(""), "date to use as today, YYYY-MM-DD")
        ("filter", options::value(&parsed.filter)->default_value(""), "time line: events with this job, task or agent")
        ("since", options::value(&parsed.since)->default_value(0), "time line: events after this time stamp, µs")
        ("output", options::value(&parsed.output)->default_value("text"), "output format: text, json or html")
        ("before", options::value(&parsed.before)->composing(), "report: log file of a run to compare with; may be repeated")
        ("wait", options::value(&wait)->default_value("0"), "maximum time to wait, such as 11s")
        ("watch", options::bool_switch(&parsed.isWatching), "repeat every second");
        // clang-format on
        options::options_description all;
        all.add(visible).add_options()("words", options::value(&parsed.words));
        options::positional_options_description positions;
        positions.add("words", -1);
        options::variables_map values;
        try {
            options::store(options::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
            options::notify(values);
        } catch (const options::error& error) {
            return usage(error.what());
        }
        if (values.contains("help") || parsed.words.empty()) {
            printHelp(visible);
            return values.contains("help") ? ExitCode::Ok : ExitCode::Usage;
        }
        if (values.contains("version")) {
            std::cout << SEQUOIA_VERSION << '\n';
            return ExitCode::Ok;
        }
        if (parsed.words.front() == "completion") {
            printCompletion(visible);
            return ExitCode::Ok;
        }
        if (parsed.format.encoding != "utf-8" && parsed.format.encoding != "windows-1252")
            return usage("--encoding: expected utf-8 or windows-1252");
        if (!dateOrder.empty() && dateOrder != "dmy" && dateOrder != "mdy")
            return usage("--date-order: expected dmy or mdy");
        if (!dateOrder.empty())
            parsed.format.dateOrder = dateOrder == "dmy" ? DateOrder::DayFirst : DateOrder::MonthFirst;
        if (!parsed.today.empty() && !parseDay(parsed.today))
            return usage("--today: expected a date such as 2026-12-08");
        const auto maxWait = parseWait(wait);
        if (!maxWait)
            return usage("--wait: expected a time such as 11s");
        parsed.wait = *maxWait;
        return runCommand(parsed);
    }

    ExitCode exitCodeOf(ConfigErrorKind kind)
    {
        switch (kind) {
        case ConfigErrorKind::Invalid:
        case ConfigErrorKind::UnknownRevision:
            return ExitCode::Refused;
        case ConfigErrorKind::Conflict:
            return ExitCode::Conflict;
        case ConfigErrorKind::StoreUnavailable:
            return ExitCode::StoreUnavailable;
        case ConfigErrorKind::OutcomeUnknown:
            return ExitCode::OutcomeUnknown;
        }
        return ExitCode::Failure;
    }

} // namespace

Day todayOf(const CtlOptions& options)
{
    if (const auto day = parseDay(options.today))
        return *day;
    return std::chrono::floor<std::chrono::days>(std::chrono::system_clock::now());
}

ExitCode reportErrors(const std::function<leaf::result<ExitCode>()>& call)
{
    return leaf::try_handle_all(
        call,
        [](const ConfigError& error) {
            for (const auto& line : error.details)
                fmt::print(stderr, "{}\n", line);
            return exitCodeOf(error.kind);
        },
        [] {
            fmt::print(stderr, "unexpected error\n");
            return ExitCode::Failure;
        });
}

std::optional<std::string> readFile(const std::string& path)
{
    std::stringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    text << file.rdbuf();
    return text.str();
}

std::vector<KnownEntry> knownEntries(const CtlOptions& options)
{
    std::vector<KnownEntry> out;
    if (!options.entry.empty()) {
        auto client = makeHttpClient(options.entry, Milliseconds(1500));
        const auto reply = client.Get("/v1/links");
        const auto json = reply ? parseUntrusted(reply->body) : nlohmann::json();
        if (json.is_object() && json.contains("entries")) {
            for (const auto& entry : json.at("entries")) {
                if (auto known = parseRegistration(entry.dump()))
                    out.push_back({ std::move(known->name), std::move(known->http) });
            }
            return out;
        }
    }
    if (options.store.empty())
        return out;
    const Store store(options.store, Milliseconds(3000));
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::vector<KnownEntry>> {
            BOOST_LEAF_AUTO(stored, store.list(StoreKeys(options.cluster).entries));
            for (const auto& value : stored) {
                if (auto known = parseRegistration(value.value))
                    out.push_back({ std::move(known->name), std::move(known->http) });
            }
            return out;
        },
        [] { return std::vector<KnownEntry>(); });
}

} // namespace sequoia

int main(int argc, char** argv) { return sequoia::toInt(sequoia::run(argc, argv)); }
