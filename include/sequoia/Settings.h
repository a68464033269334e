/** @file Settings.h Settings of the programs: tables with default, bounds and help, read from TOML. */
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

/** One fault of a settings file. */
struct SettingsProblem {
    std::string file;
    uint32_t line = 0; ///< 0 if the fault has no line.
    std::string key;
    std::string message; ///< What was found and what was expected.
};

/** Error of this layer: all faults at once. */
struct SettingsError {
    std::vector<SettingsProblem> problems;
};

/** One setting of a program with settings type T. */
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
    std::string_view choices; ///< Allowed texts, separated by `|`; empty for any.
    std::string_view help;
};

/** Table of an entry's settings. */
const std::vector<SettingRow<EntrySettings>>& entrySettingRows();
/** Table of an agent's settings. */
const std::vector<SettingRow<AgentSettings>>& agentSettingRows();

/** Table of an entry that places jobs by room. */
const std::vector<SettingRow<RoomEntrySettings>>& roomEntrySettingRows();
/** Table of an agent that gives out room. */
const std::vector<SettingRow<RoomAgentSettings>>& roomAgentSettingRows();

/** Table of a load scenario. */
const std::vector<SettingRow<LoadSettings>>& loadSettingRows();

/** Reads a TOML file (defaults only if the path is empty) and then `key=value` overrides; fails with SettingsError. */
template <typename T>
boost::leaf::result<T> loadSettings(
    const std::vector<SettingRow<T>>& rows, const std::string& path, const std::vector<std::string>& overrides);

/** Writes the table as a Markdown section. */
template <typename T> std::string describeSettings(const std::vector<SettingRow<T>>& rows, const std::string& title);

/** The candidate most like `word` by edit distance; empty if none is close. */
std::string nearestWord(const std::string& word, const std::vector<std::string>& candidates);

/** One line for a problem: `file:line: key: message`. */
std::string toString(const SettingsProblem& problem);

} // namespace sequoia
