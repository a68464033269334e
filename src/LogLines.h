/** @file LogLines.h Parses log lines into events. */
#pragma once

#include <sequoia/Log.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia {

/** Parses one line. Text before `time=` is skipped, as log collectors add prefixes. Empty if it is not an event. */
std::optional<TimeLineEvent> parseLogLine(std::string_view line);

/** Parses all lines of a text and sorts the events by stamp; other lines are skipped. */
std::vector<TimeLineEvent> parseLogLines(std::string_view text);

/** Value of a field; empty if the event does not have it. */
std::string fieldOf(const TimeLineEvent& event, std::string_view key);
/** Value of a numeric field; `fallback` if the event does not have it or it is not a number. */
int64_t numberOf(const TimeLineEvent& event, std::string_view key, int64_t fallback = 0);

/** Escapes text for use in HTML and its attributes. */
std::string htmlEscaped(const std::string& text);

/** Formats the kind and fields of an event on one line. */
std::string describe(const TimeLineEvent& event);

} // namespace sequoia
