/** @file CommandLine.h Common command line options of the daemons, exit codes and signal handling. */
#pragma once

#include <sequoia/Settings.h>

#include <functional>
#include <optional>
#include <string>

namespace sequoia {

/** Exit codes of all programs. */
enum class ExitCode : uint8_t {
    Ok = 0,
    Failure = 1, ///< The command or daemon failed.
    Usage = 2, ///< Unknown command, option or missing argument.
    BadSettings = 3,
    Conflict = 4, ///< Somebody else has changed the same data in the meantime.
    StoreUnavailable = 5,
    OutcomeUnknown = 6, ///< The write may or may not have taken effect.
    Refused = 7 ///< The input is not valid; nothing was changed.
};

/** Options of a daemon. */
struct DaemonOptions {
    std::string settingsFile;
    std::vector<std::string> overrides;
    bool isCheckOnly = false;
};

/** Parses the options of a daemon; returns an exit code if the program has to end, such as after `--help`. */
std::variant<DaemonOptions, ExitCode> parseDaemonOptions(
    int argc, char** argv, const std::string& purpose, const std::function<std::string()>& describe);

/** Loads the settings. Prints every problem to standard error; empty if there was one. */
template <typename T>
std::optional<T> loadOrReport(const std::vector<SettingRow<T>>& rows, const DaemonOptions& options);

/**
 * Blocks SIGTERM, SIGINT and SIGHUP in this thread and in threads that it starts later, ignores SIGPIPE, and limits the
 * arenas of malloc. To be called before any thread is started.
 */
void blockStopSignals();
/** Waits for SIGTERM or SIGINT. Calls `reload` for each SIGHUP, and also once a second without one. */
int waitForStopSignal(const std::function<void(const char* cause)>& reload = {});

/** Value of an exit code for `main`. */
constexpr int toInt(ExitCode code) { return static_cast<int>(code); }

} // namespace sequoia
