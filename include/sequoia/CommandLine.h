/** @file CommandLine.h Options that every daemon has, exit codes, and waiting for a stop signal. */
#pragma once

#include <sequoia/Settings.h>

#include <functional>
#include <optional>
#include <string>

namespace sequoia {

/** Exit codes of all programs. */
enum class ExitCode : uint8_t {
    Ok = 0,
    Failure = 1, ///< The work could not be done.
    Usage = 2, ///< Unknown command, option or missing argument.
    BadSettings = 3,
    Conflict = 4, ///< Another edit came first.
    StoreUnavailable = 5,
    OutcomeUnknown = 6, ///< The write may or may not have taken effect.
    Refused = 7 ///< The input breaks a rule; nothing was changed.
};

/** Options of a daemon. */
struct DaemonOptions {
    std::string settingsFile;
    std::vector<std::string> overrides;
    bool isCheckOnly = false;
};

/** Reads the options of a daemon; an exit code if there is nothing more to do. */
std::variant<DaemonOptions, ExitCode> parseDaemonOptions(
    int argc, char** argv, const std::string& purpose, const std::function<std::string()>& describe);

/** Loads settings and prints every problem; empty if there was one. */
template <typename T>
std::optional<T> loadOrReport(const std::vector<SettingRow<T>>& rows, const DaemonOptions& options);

/** Blocks the stop signals in this thread and those that it starts. Call it first. */
void blockStopSignals();
/** Waits for SIGTERM or SIGINT; calls `reload` for each SIGHUP, and now and then without one. */
int waitForStopSignal(const std::function<void(const char* cause)>& reload = {});

/** Returned by main. */
constexpr int toInt(ExitCode code) { return static_cast<int>(code); }

} // namespace sequoia
