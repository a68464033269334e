/** @file Settings.cpp Loads settings from TOML and overrides, and checks them against their table. */
#include <sequoia/Settings.h>

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <numeric>
#include <optional>
#include <toml++/toml.h>

namespace sequoia {

namespace {

    size_t editDistance(const std::string& a, const std::string& b)
    {
        std::vector<size_t> row(b.size() + 1);
        std::iota(row.begin(), row.end(), 0);
        for (size_t i = 1; i <= a.size(); ++i) {
            size_t diagonal = std::exchange(row[0], i);
            for (size_t j = 1; j <= b.size(); ++j) {
                const size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
                diagonal = std::exchange(row[j], std::min({ row[j] + 1, row[j - 1] + 1, substitution }));
            }
        }
        return row.back();
    }

    bool isChoice(std::string_view choices, std::string_view value)
    {
        if (choices.empty())
            return true;
        for (;;) {
            const auto at = choices.find('|');
            if (choices.substr(0, at) == value)
                return true;
            if (at == std::string_view::npos)
                return false;
            choices.remove_prefix(at + 1);
        }
    }

    /** Sets one field; returns an error text if the value is not allowed. */
    template <typename T> std::optional<std::string> assign(T& settings, const SettingRow<T>& row, int64_t value)
    {
        const auto* field = std::get_if<typename SettingRow<T>::Number>(&row.field);
        if (field == nullptr)
            return fmt::format("a number where text is expected");
        if (value < row.minNumber || value > row.maxNumber)
            return fmt::format("{} is not within {} and {}", value, row.minNumber, row.maxNumber);
        settings.** field = value;
        return std::nullopt;
    }

    template <typename T>
    std::optional<std::string> assign(T& settings, const SettingRow<T>& row, const std::string& value)
    {
        const auto* field = std::get_if<typename SettingRow<T>::Text>(&row.field);
        if (field == nullptr)
            return fmt::format(
                "\"{}\" where {} is expected", value, row.field.index() == 0 ? "a number" : "a list of texts");
        if (!isChoice(row.choices, value))
            return fmt::format("\"{}\" is none of {}", value, row.choices);
        settings.** field = value;
        return std::nullopt;
    }

    template <typename T>
    std::optional<std::string> assign(T& settings, const SettingRow<T>& row, const std::vector<std::string>& value)
    {
        const auto* field = std::get_if<typename SettingRow<T>::List>(&row.field);
        if (field == nullptr)
            return fmt::format("a list where a single value is expected");
        settings.** field = value;
        return std::nullopt;
    }

    template <typename T>
    std::optional<std::string> assignNode(T& settings, const SettingRow<T>& row, const toml::node& node)
    {
        if (const auto* number = node.as_integer())
            return assign(settings, row, number->get());
        if (const auto* string = node.as_string())
            return assign(settings, row, string->get());
        const auto* array = node.as_array();
        if (array == nullptr)
            return "a value of the wrong type";
        std::vector<std::string> texts;
        for (const auto& element : *array) {
            const auto* string = element.as_string();
            if (string == nullptr)
                return "a list element that is not a text";
            texts.push_back(string->get());
        }
        return assign(settings, row, texts);
    }

    template <typename T> const SettingRow<T>* findRow(const std::vector<SettingRow<T>>& rows, std::string_view key)
    {
        const auto it = std::find_if(rows.begin(), rows.end(), [&](const auto& row) { return row.key == key; });
        return it == rows.end() ? nullptr : &*it;
    }

    template <typename T> std::string unknownKey(const std::vector<SettingRow<T>>& rows, const std::string& key)
    {
        std::vector<std::string> keys;
        keys.reserve(rows.size());
        for (const auto& row : rows)
            keys.emplace_back(row.key);
        const auto suggestion = nearestWord(key, keys);
        return suggestion.empty() ? "unknown setting" : fmt::format("unknown setting, did you mean {}?", suggestion);
    }

    template <typename T> void setDefaults(T& settings, const std::vector<SettingRow<T>>& rows)
    {
        for (const auto& row : rows) {
            if (const auto* number = std::get_if<typename SettingRow<T>::Number>(&row.field))
                settings.** number = row.defaultNumber;
            if (const auto* text = std::get_if<typename SettingRow<T>::Text>(&row.field))
                settings.** text = row.defaultText;
        }
    }

    template <typename T>
    void readFile(T& settings, const std::vector<SettingRow<T>>& rows, const std::string& path,
        std::vector<SettingsProblem>& problems)
    {
        toml::table table;
        try {
            table = toml::parse_file(path);
        } catch (const toml::parse_error& error) {
            problems.push_back({ path, error.source().begin.line, "", std::string(error.description()) });
            return;
        }
        for (const auto& [name, node] : table) {
            const std::string key(name.str());
            const auto* row = findRow(rows, key);
            const auto problem = row == nullptr ? unknownKey(rows, key) : assignNode(settings, *row, node);
            if (problem)
                problems.push_back({ path, node.source().begin.line, key, *problem });
        }
    }

    bool isUtf8(const std::string& text)
    {
        try {
            nlohmann::json(text).dump();
            return true;
        } catch (const nlohmann::json::exception&) {
            return false;
        }
    }

    template <typename T>
    std::optional<std::string> assignText(T& settings, const SettingRow<T>& row, const std::string& value)
    {
        if (!isUtf8(value)) // Texts of settings go into JSON; the reader of files rejects other ones by itself.
            return "expected text in UTF-8";
        if (std::holds_alternative<typename SettingRow<T>::Text>(row.field))
            return assign(settings, row, value);
        if (std::holds_alternative<typename SettingRow<T>::Number>(row.field)) {
            int64_t n = 0;
            const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), n);
            if (ec != std::errc() || end != value.data() + value.size())
                return fmt::format("\"{}\" where a number is expected", value);
            return assign(settings, row, n);
        }
        std::vector<std::string> texts;
        std::string rest = value;
        while (!rest.empty()) {
            const auto at = rest.find(',');
            texts.push_back(rest.substr(0, at));
            rest = at == std::string::npos ? "" : rest.substr(at + 1);
        }
        return assign(settings, row, texts);
    }

    template <typename T> std::string rangeText(const SettingRow<T>& row)
    {
        if (row.field.index() == 0)
            return fmt::format("{} to {}", row.minNumber, row.maxNumber);
        if (row.field.index() == 2)
            return "list of texts";
        return row.choices.empty() ? "text" : fmt::format("{}", fmt::join(std::string(row.choices), ""));
    }

} // namespace

std::string nearestWord(const std::string& word, const std::vector<std::string>& candidates)
{
    constexpr size_t maxDistance = 4;
    std::string best;
    size_t bestDistance = maxDistance;
    for (const auto& candidate : candidates) {
        const size_t distance = editDistance(word, candidate);
        if (distance < bestDistance) {
            bestDistance = distance;
            best = candidate;
        }
    }
    return best;
}

std::string toString(const SettingsProblem& problem)
{
    const auto location = problem.line > 0 ? fmt::format("{}:{}", problem.file, problem.line) : problem.file;
    return problem.key.empty() ? fmt::format("{}: {}", location, problem.message)
                               : fmt::format("{}: {}: {}", location, problem.key, problem.message);
}

template <typename T>
boost::leaf::result<T> loadSettings(
    const std::vector<SettingRow<T>>& rows, const std::string& path, const std::vector<std::string>& overrides)
{
    T settings;
    SettingsError error;
    setDefaults(settings, rows);
    if (!path.empty())
        readFile(settings, rows, path, error.problems);
    for (const auto& text : overrides) {
        const auto at = text.find('=');
        const auto key = text.substr(0, at);
        const auto* row = findRow(rows, key);
        std::optional<std::string> problem;
        if (at == std::string::npos)
            problem = "expected key=value";
        else if (row == nullptr)
            problem = unknownKey(rows, key);
        else
            problem = assignText(settings, *row, text.substr(at + 1));
        if (problem)
            error.problems.push_back({ "--set", 0, key, *problem });
    }
    if (!error.problems.empty())
        return boost::leaf::new_error(std::move(error));
    return settings;
}

template <typename T> std::string describeSettings(const std::vector<SettingRow<T>>& rows, const std::string& title)
{
    auto out = fmt::format("## {}\n\n| key | default | allowed | meaning |\n|---|---|---|---|\n", title);
    for (const auto& row : rows) {
        const auto value = row.field.index() == 0 ? fmt::to_string(row.defaultNumber) : std::string(row.defaultText);
        auto range = rangeText(row);
        for (size_t at = range.find('|'); at != std::string::npos; at = range.find('|', at + 3))
            range.replace(at, 1, " , ");
        out += fmt::format("| `{}` | {} | {} | {} |\n", row.key, value, range, row.help);
    }
    return out + '\n';
}

template boost::leaf::result<EntrySettings> loadSettings(
    const std::vector<SettingRow<EntrySettings>>&, const std::string&, const std::vector<std::string>&);
template boost::leaf::result<AgentSettings> loadSettings(
    const std::vector<SettingRow<AgentSettings>>&, const std::string&, const std::vector<std::string>&);
template boost::leaf::result<RoomEntrySettings> loadSettings(
    const std::vector<SettingRow<RoomEntrySettings>>&, const std::string&, const std::vector<std::string>&);
template boost::leaf::result<RoomAgentSettings> loadSettings(
    const std::vector<SettingRow<RoomAgentSettings>>&, const std::string&, const std::vector<std::string>&);
template std::string describeSettings(const std::vector<SettingRow<RoomEntrySettings>>&, const std::string&);
template std::string describeSettings(const std::vector<SettingRow<RoomAgentSettings>>&, const std::string&);
template boost::leaf::result<LoadSettings> loadSettings(
    const std::vector<SettingRow<LoadSettings>>&, const std::string&, const std::vector<std::string>&);
template std::string describeSettings(const std::vector<SettingRow<LoadSettings>>&, const std::string&);
template std::string describeSettings(const std::vector<SettingRow<EntrySettings>>&, const std::string&);
template std::string describeSettings(const std::vector<SettingRow<AgentSettings>>&, const std::string&);

} // namespace sequoia
