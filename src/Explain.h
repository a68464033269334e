/** @file Explain.h The story of one request from the logs of all processes, and its cause in one sentence. */
#pragma once

#include <sequoia/Log.h>

#include <string>
#include <vector>

namespace sequoia {

/** What took a request's time. */
struct RequestPhase {
    std::string description; ///< Such as "waited for room".
    std::string agent; ///< Where; empty for the entry itself.
    int64_t ms = 0;
};

/** What the logs say of one request. */
struct Explanation {
    std::string job; ///< Its id.
    std::string code; ///< Cause in one word, for counting.
    std::string cause; ///< In one sentence.
    std::vector<RequestPhase> phases; ///< Of the task that ended last, in order.
    std::vector<TimeLineEvent> events; ///< Events that name the request.
    std::vector<TimeLineEvent> context; ///< What processes believed at that time that bears on it.
};

/** Explains one request; `events` are those of all processes, in the order of their stamps. */
Explanation explain(const std::vector<TimeLineEvent>& events, const std::string& job);

/** Explains all requests that were not answered well, the ones that waited longest first. */
std::vector<Explanation> explainTroubled(const std::vector<TimeLineEvent>& events);

std::string explanationText(const Explanation& explanation);
std::string explanationJson(const Explanation& explanation);

} // namespace sequoia
