/** @file LogReport.h One self-contained HTML page about a run, from the logs of all processes. */
#pragma once

#include <sequoia/Log.h>

#include <map>
#include <string>
#include <vector>

namespace sequoia {

/** Counts of a run. */
struct RunSummary {
    std::map<std::string, uint64_t> answers; ///< By outcome: in time, late, or status and reason.
    uint64_t missingLines = 0; ///< Log lines that the processes left out.
    double seconds = 0; ///< From the first event to the last.
    std::vector<int64_t> ages; ///< Of all answers, ms, in order.
};

RunSummary summaryOf(const std::vector<TimeLineEvent>& events);

/** The page; `before` is a run to compare with, empty for none. */
std::string logReportHtml(
    const std::vector<TimeLineEvent>& events, const std::vector<TimeLineEvent>& before, const std::string& title);

} // namespace sequoia
