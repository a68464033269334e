/** @file TimeLineView.h Renders the timeline of all processes as text, JSON or an HTML page with an SVG. */
#pragma once

#include <sequoia/Log.h>

#include <string>
#include <vector>

namespace sequoia {

/** Sorts events by their hybrid logical stamps, so that causes precede effects. */
void orderEvents(std::vector<TimeLineEvent>& events);

std::string timeLineText(const std::vector<TimeLineEvent>& events);
std::string timeLineJson(const std::vector<TimeLineEvent>& events);
/** Renders a page that needs no other files: a lane for each process, and bars from each task's start to its answer. */
std::string timeLineHtml(const std::vector<TimeLineEvent>& events, const std::string& title);

} // namespace sequoia
