/** @file CommandLine.cpp Command line options and signal handling of the daemons. */
#include <sequoia/CommandLine.h>

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <malloc.h>

namespace sequoia {

namespace options = boost::program_options;
namespace leaf = boost::leaf;

namespace {

    constexpr auto version = SEQUOIA_VERSION;
    constexpr int mallocArenas = 4; // By default, many short-lived threads would leave behind one arena each.

    sigset_t stopSignals()
    {
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, SIGTERM);
        sigaddset(&set, SIGINT);
        sigaddset(&set, SIGHUP);
        return set;
    }

} // namespace

std::variant<DaemonOptions, ExitCode> parseDaemonOptions(
    int argc, char** argv, const std::string& purpose, const std::function<std::string()>& describe)
{
    DaemonOptions out;
    options::options_description all("Options");
    // clang-format off
    all.add_options()
        ("help,h", "show this text")
        ("version", "show the version")
        ("settings,s", options::value(&out.settingsFile), "TOML file with settings")
        ("set", options::value(&out.overrides)->composing(), "override one setting: key=value, or key=a,b for a list")
        ("check-settings,check", options::bool_switch(&out.isCheckOnly), "check the settings and exit")
        ("describe-settings", "list every setting as Markdown");
    // clang-format on
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, all), values);
        options::notify(values);
    } catch (const options::error& error) {
        fmt::print(stderr, "{}: {}; see --help\n", argv[0], error.what());
        return ExitCode::Usage;
    }
    if (values.contains("help")) {
        std::cout << purpose << "\n\n"
                  << all << "\nExit codes: 0 stopped gracefully, 1 failure, 2 usage, 3 bad settings.\n";
        return ExitCode::Ok;
    }
    if (values.contains("version")) {
        std::cout << version << '\n';
        return ExitCode::Ok;
    }
    if (values.contains("describe-settings")) {
        std::cout << describe();
        return ExitCode::Ok;
    }
    return out;
}

template <typename T>
std::optional<T> loadOrReport(const std::vector<SettingRow<T>>& rows, const DaemonOptions& options)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<T>> {
            BOOST_LEAF_AUTO(settings, loadSettings(rows, options.settingsFile, options.overrides));
            return std::optional<T>(std::move(settings));
        },
        [](const SettingsError& error) {
            for (const auto& problem : error.problems)
                fmt::print(stderr, "{}\n", toString(problem));
            return std::optional<T>();
        },
        [] { return std::optional<T>(); });
}

template std::optional<EntrySettings> loadOrReport(const std::vector<SettingRow<EntrySettings>>&, const DaemonOptions&);
template std::optional<RoomEntrySettings> loadOrReport(
    const std::vector<SettingRow<RoomEntrySettings>>&, const DaemonOptions&);
template std::optional<RoomAgentSettings> loadOrReport(
    const std::vector<SettingRow<RoomAgentSettings>>&, const DaemonOptions&);
template std::optional<LoadSettings> loadOrReport(const std::vector<SettingRow<LoadSettings>>&, const DaemonOptions&);
template std::optional<AgentSettings> loadOrReport(const std::vector<SettingRow<AgentSettings>>&, const DaemonOptions&);

void blockStopSignals()
{
    mallopt(M_ARENA_MAX, mallocArenas);
    std::signal(SIGPIPE, SIG_IGN);
    const auto set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

int waitForStopSignal(const std::function<void(const char* cause)>& reload)
{
    constexpr timespec pollPeriod { 1, 0 }; // A settings file may change without a signal.
    const auto set = stopSignals();
    for (;;) {
        const int signal = reload ? sigtimedwait(&set, nullptr, &pollPeriod) : sigwaitinfo(&set, nullptr);
        if (signal == SIGTERM || signal == SIGINT)
            return signal;
        if (reload)
            reload(signal == SIGHUP ? "signal" : "file");
    }
}

} // namespace sequoia
