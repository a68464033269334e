/** @file LogReport.h HTML report on the jobs in a period, from the logs of all processes. */
#pragma once

#include <sequoia/Log.h>

#include <map>
#include <string>
#include <vector>

namespace sequoia {

/** Summary of a set of logs. */
struct RunSummary {
    std::map<std::string, uint64_t> answers; ///< By outcome: "in time", "late", or the status with the reason.
    uint64_t missingLines = 0; ///< Log lines that were suppressed by the rate limit or dropped.
    double seconds = 0; ///< From the first event to the last.
    std::vector<int64_t> ages; ///< Time from the request to its answer, ms, of all answers, ascending.
};

RunSummary summaryOf(const std::vector<TimeLineEvent>& events);

/** Renders the report as a page that needs no other files. `before` holds events to compare with, or none. */
std::string logReportHtml(
    const std::vector<TimeLineEvent>& events, const std::vector<TimeLineEvent>& before, const std::string& title);

} // namespace sequoia
