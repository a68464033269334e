/** @file LogLines.cpp Parsing of key=value lines. */
#include "LogLines.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace sequoia {

namespace {

    /** Parses the next `key=value` and removes it from `rest`; false at the end of the line or if it is malformed. */
    bool takeField(std::string_view& rest, TimeLineEvent::Field& field)
    {
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos || equals == 0)
            return false;
        field.key = std::string(rest.substr(0, equals));
        field.value.clear();
        rest.remove_prefix(equals + 1);
        if (rest.empty() || rest.front() != '"') {
            const auto end = std::min(rest.find(' '), rest.size());
            field.value = std::string(rest.substr(0, end));
            rest.remove_prefix(end);
            return true;
        }
        for (size_t i = 1; i < rest.size(); ++i) {
            if (rest[i] == '"') {
                rest.remove_prefix(i + 1);
                return true;
            }
            if (rest[i] == '\\' && i + 1 < rest.size())
                ++i;
            field.value += rest[i];
        }
        return false;
    }

} // namespace

std::optional<TimeLineEvent> parseLogLine(std::string_view line)
{
    const auto begin = line.find("time=");
    if (begin == std::string_view::npos)
        return std::nullopt;
    auto rest = line.substr(begin);
    while (!rest.empty() && (rest.back() == '\n' || rest.back() == '\r' || rest.back() == ' '))
        rest.remove_suffix(1);
    TimeLineEvent event;
    TimeLineEvent::Field field;
    while (!rest.empty()) {
        if (!takeField(rest, field))
            return std::nullopt;
        if (field.key == "time" && event.stamp == 0) {
            const auto [end, ec]
                = std::from_chars(field.value.data(), field.value.data() + field.value.size(), event.stamp);
            if (ec != std::errc() || end != field.value.data() + field.value.size())
                return std::nullopt;
        } else if (field.key == "level")
            event.level = parseLogLevel(field.value);
        else if (field.key == "process")
            event.process = field.value;
        else if (field.key == "event" && event.kind.empty())
            event.kind = field.value;
        else
            event.fields.push_back(field);
    }
    return event.kind.empty() ? std::nullopt : std::optional(std::move(event));
}

std::vector<TimeLineEvent> parseLogLines(std::string_view text)
{
    std::vector<TimeLineEvent> events;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        if (auto event = parseLogLine(text.substr(0, end)))
            events.push_back(std::move(*event));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    std::stable_sort(events.begin(), events.end(), [](const auto& a, const auto& b) { return a.stamp < b.stamp; });
    return events;
}

std::string fieldOf(const TimeLineEvent& event, std::string_view key)
{
    for (const auto& field : event.fields) {
        if (field.key == key)
            return field.value;
    }
    return {};
}

int64_t numberOf(const TimeLineEvent& event, std::string_view key, int64_t fallback)
{
    const auto text = fieldOf(event, key);
    int64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && end == text.data() + text.size() && !text.empty() ? n : fallback;
}

std::string htmlEscaped(const std::string& text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        case '\'':
            out += "&#39;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

std::string describe(const TimeLineEvent& event)
{
    std::string out = event.kind;
    for (const auto& field : event.fields)
        out += fmt::format(" {}={}", field.key, field.value);
    return out;
}

} // namespace sequoia
