/** @file Daemon.h Main function of the daemons: options, settings, signals, exit codes. */
#pragma once

#include <sequoia/AsyncHttp.h>
#include <sequoia/CommandLine.h>
#include <sequoia/EntryControl.h>
#include <sequoia/HttpService.h>
#include <sequoia/Link.h>
#include <sequoia/SettingsFile.h>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <iostream>

namespace sequoia {

/** A daemon's name, purpose and settings. */
template <typename Settings> struct DaemonSpec {
    std::string name;
    std::string purpose; ///< One sentence for `--help`.
    const std::vector<SettingRow<Settings>>& rows;
    std::vector<std::string> liveSettings; ///< Keys of the settings that can change without a restart.
    std::string settingsVariable; ///< Environment variable with the path of the settings file; empty for none.
    /** Keys of the listen addresses, for the error message if one can't be bound. */
    std::vector<std::string> addressSettings;
};

/** The object that does a daemon's work, from `start` to `stop`. */
template <typename Settings> class DaemonProcess {
public:
    virtual ~DaemonProcess() = default;
    virtual void start() = 0;
    /** Stops gracefully; returns once the process may end. */
    virtual void stop() = 0;
    /** Applies new settings, as far as they can change without a restart. */
    virtual void applySettings(const Settings&) { }
    virtual Log& log() = 0;
};

/** Reads the options and settings, runs the process until a stop signal, and returns the exit code. */
template <typename Settings>
int runDaemon(int argc, char** argv, const DaemonSpec<Settings>& spec,
    const std::function<std::unique_ptr<DaemonProcess<Settings>>(caf::actor_system&, const Settings&)>& make)
{
    const auto parsed
        = parseDaemonOptions(argc, argv, spec.purpose, [&] { return describeSettings(spec.rows, spec.name); });
    if (const auto* code = std::get_if<ExitCode>(&parsed))
        return toInt(*code);
    auto options = std::get<DaemonOptions>(parsed);
    const char* file = spec.settingsVariable.empty() ? nullptr : std::getenv(spec.settingsVariable.c_str());
    if (file != nullptr && options.settingsFile.empty())
        options.settingsFile = file;
    const auto settings = loadOrReport(spec.rows, options);
    if (!settings)
        return toInt(ExitCode::BadSettings);
    if (options.isCheckOnly) {
        std::cout << "settings are good\n";
        return toInt(ExitCode::Ok);
    }
    blockStopSignals();
    NonPollingActorConfig config;
    caf::actor_system system(config);
    const auto cannotListen = [&] {
        fmt::print(stderr, "one of {} is malformed or in use\n", fmt::join(spec.addressSettings, ", "));
        return toInt(ExitCode::Failure);
    };
    try {
        const auto process = make(system, *settings);
        process->start();
        SettingsFile<Settings> settingsFile(spec.rows, options, *settings, spec.liveSettings);
        const auto reload = [&](const char* cause) {
            if (const auto changed = settingsFile.reload(process->log(), cause))
                process->applySettings(*changed);
        };
        waitForStopSignal(spec.liveSettings.empty() ? std::function<void(const char*)>() : reload);
        process->stop();
    } catch (LinkError) {
        return cannotListen();
    } catch (HttpError) {
        return cannotListen();
    } catch (AsyncHttpError) {
        return cannotListen();
    }
    return toInt(ExitCode::Ok);
}

} // namespace sequoia
