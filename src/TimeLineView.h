/** @file TimeLineView.h The time line over all processes, as text, JSON and one HTML file with an SVG. */
#pragma once

#include <sequoia/Log.h>

#include <string>
#include <vector>

namespace sequoia {

/** Sorts events into one order in which causes stand before effects. */
void orderEvents(std::vector<TimeLineEvent>& events);

std::string timeLineText(const std::vector<TimeLineEvent>& events);
std::string timeLineJson(const std::vector<TimeLineEvent>& events);
/** A self-contained page: one lane for each process, bars from the start of a task to its answer. */
std::string timeLineHtml(const std::vector<TimeLineEvent>& events, const std::string& title);

} // namespace sequoia
