/** @file Settings.h Settings of the programs, read from TOML and checked against tables of defaults and ranges. */
#pragma once

#include <sequoia/generated/Settings_generated.h>

#include <boost/leaf/result.hpp>
#include <string>
#include <variant>
#include <vector>

namespace sequoia {

using EntrySettings = schema::EntrySettingsT;
using AgentSettings = schema::AgentSettingsT;

using RoomEntrySettings = schema::RoomEntrySettingsT;
using RoomAgentSettings = schema::RoomAgentSettingsT;
using LoadSettings = schema::LoadSettingsT;

/** One problem found in the settings. */
struct SettingsProblem {
    std::string file; ///< `--set` for an override on the command line.
    uint32_t line = 0; ///< 0 if the problem has no line.
    std::string key;
    std::string message; ///< What was found and what was expected.
};

/** Error of loadSettings with all problems found. */
struct SettingsError {
    std::vector<SettingsProblem> problems;
};

/** Description of one setting of a program whose settings are of type T. */
template <typename T> struct SettingRow {
    using Number = int64_t T::*;
    using Text = std::string T::*;
    using List = std::vector<std::string> T::*;

    std::string_view key;
    std::variant<Number, Text, List> field;
    int64_t defaultNumber = 0;
    int64_t minNumber = 0;
    int64_t maxNumber = 0;
    std::string_view defaultText;
    std::string_view choices; ///< Allowed values, separated by `|`; empty if any text is allowed.
    std::string_view help;
};

/** Settings of sequoia-entry. */
const std::vector<SettingRow<EntrySettings>>& entrySettingRows();
/** Settings of sequoia-agent. */
const std::vector<SettingRow<AgentSettings>>& agentSettingRows();

/** Settings of sequoia-platform-entry, which places jobs by the free resources of the backend servers. */
const std::vector<SettingRow<RoomEntrySettings>>& roomEntrySettingRows();
/** Settings of sequoia-platform-agent, which reports the free resources of its backend server. */
const std::vector<SettingRow<RoomAgentSettings>>& roomAgentSettingRows();

/** Settings of sequoia-load: the load scenario. */
const std::vector<SettingRow<LoadSettings>>& loadSettingRows();

/**
 * Sets the defaults, reads the TOML file (none if the path is empty) and applies the `key=value` overrides; fails with
 * SettingsError.
 */
template <typename T>
boost::leaf::result<T> loadSettings(
    const std::vector<SettingRow<T>>& rows, const std::string& path, const std::vector<std::string>& overrides);

/** Formats the table as a section of Markdown. */
template <typename T> std::string describeSettings(const std::vector<SettingRow<T>>& rows, const std::string& title);

/** The candidate with the smallest edit distance to `word`; empty if none is similar. */
std::string nearestWord(const std::string& word, const std::vector<std::string>& candidates);

/** Formats a problem as `file:line: key: message`. */
std::string toString(const SettingsProblem& problem);

} // namespace sequoia
