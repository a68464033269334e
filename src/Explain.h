/** @file Explain.h Finds in the logs of all processes why a request was late, failed or refused. */
#pragma once

#include <sequoia/Log.h>

#include <string>
#include <vector>

namespace sequoia {

/** A period in the processing of a task. */
struct RequestPhase {
    std::string description; ///< Such as "waited for room" or "ran".
    std::string agent; ///< Agent on which it was spent; empty for the entry itself.
    int64_t ms = 0;
};

/** Result of the analysis of one request. */
struct Explanation {
    std::string job; ///< Identifier of the job.
    std::string code; ///< Cause as a short code, for counting.
    std::string cause; ///< Cause in one sentence.
    std::vector<RequestPhase> phases; ///< Periods of the task that determined when the job ended, in order.
    std::vector<TimeLineEvent> events; ///< Events about the request, in order of time.
    std::vector<TimeLineEvent> context; ///< State changes of the processes involved, just before or during the request.
};

/** Explains one request. `events` holds the events of all processes, sorted by stamp. */
Explanation explain(const std::vector<TimeLineEvent>& events, const std::string& job);

/** Explains all requests that failed, were refused or were late; those that took longest to be answered come first. */
std::vector<Explanation> explainTroubled(const std::vector<TimeLineEvent>& events);

std::string explanationText(const Explanation& explanation);
std::string explanationJson(const Explanation& explanation);

} // namespace sequoia
