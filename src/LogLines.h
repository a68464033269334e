/** @file LogLines.h Reads the log lines of the programs back into events. */
#pragma once

#include <sequoia/Log.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia {

/** Reads one line; text before `time=` is skipped, as collectors put it there. Empty if it is no event. */
std::optional<TimeLineEvent> parseLogLine(std::string_view line);

/** Reads all events of a text, in the order of their stamps. */
std::vector<TimeLineEvent> parseLogLines(std::string_view text);

/** Value of a field; empty if there is none. */
std::string fieldOf(const TimeLineEvent& event, std::string_view key);
/** Value of a numeric field; `fallback` if there is none or it is no number. */
int64_t numberOf(const TimeLineEvent& event, std::string_view key, int64_t fallback = 0);

/** Escapes text for HTML. */
std::string htmlEscaped(const std::string& text);

/** Kind and fields of an event on one line. */
std::string describe(const TimeLineEvent& event);

} // namespace sequoia
