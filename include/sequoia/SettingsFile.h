/** @file SettingsFile.h Reloads a settings file when it has changed and reports which changes take effect. */
#pragma once

#include <sequoia/CommandLine.h>
#include <sequoia/Log.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <fstream>
#include <sstream>

namespace sequoia {

/** Keys of the settings whose values differ. */
template <typename T>
std::vector<std::string> changedSettings(const std::vector<SettingRow<T>>& rows, const T& before, const T& after)
{
    std::vector<std::string> keys;
    for (const auto& row : rows) {
        const bool isChanged = std::visit([&](auto field) { return before.*field != after.*field; }, row.field);
        if (isChanged)
            keys.emplace_back(row.key);
    }
    return keys;
}

/** The settings file of a running process. Not thread-safe. */
template <typename T> class SettingsFile {
public:
    /** `reloadableKeys` are the settings that take effect without a restart. */
    SettingsFile(const std::vector<SettingRow<T>>& rows, DaemonOptions options, T current,
        std::vector<std::string> reloadableKeys)
        : m_rows(rows)
        , m_options(std::move(options))
        , m_current(std::move(current))
        , m_reloadableKeys(std::move(reloadableKeys))
        , m_text(read())
    {
    }

    /**
     * Reloads the file if its text has changed. Returns the new settings if they are valid and a reloadable one
     * differs; problems are logged with file, line and key, and the old settings stay in use.
     */
    std::optional<T> reload(Log& log, const char* cause)
    {
        auto text = read();
        if (text == m_text)
            return std::nullopt;
        m_text = std::move(text);
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<T>> {
                BOOST_LEAF_AUTO(settings, loadSettings(m_rows, m_options.settingsFile, m_options.overrides));
                return apply(std::move(settings), log, cause);
            },
            [&](const SettingsError& error) {
                for (const auto& problem : error.problems)
                    log.event(
                        LogLevel::Error, "settings-refused", { { "cause", cause }, { "problem", toString(problem) } });
                return std::optional<T>();
            },
            [&] {
                log.event(LogLevel::Error, "settings-refused", { { "cause", cause }, { "problem", "unreadable" } });
                return std::optional<T>();
            });
    }

private:
    std::optional<T> apply(T settings, Log& log, const char* cause)
    {
        std::vector<std::string> applied;
        std::vector<std::string> needRestart;
        for (const auto& key : changedSettings(m_rows, m_current, settings)) {
            const bool isReloadable
                = std::find(m_reloadableKeys.begin(), m_reloadableKeys.end(), key) != m_reloadableKeys.end();
            (isReloadable ? applied : needRestart).push_back(key);
        }
        log.event(LogLevel::Info, "settings-read",
            { { "cause", cause }, { "taken", fmt::format("{}", fmt::join(applied, ",")) },
                { "after_restart", fmt::format("{}", fmt::join(needRestart, ",")) } });
        m_current = settings;
        return applied.empty() ? std::nullopt : std::optional(std::move(settings));
    }

    std::string read() const
    {
        std::stringstream text;
        text << std::ifstream(m_options.settingsFile).rdbuf();
        return text.str();
    }

    const std::vector<SettingRow<T>>& m_rows;
    DaemonOptions m_options;
    T m_current;
    std::vector<std::string> m_reloadableKeys;
    std::string m_text;
};

} // namespace sequoia
