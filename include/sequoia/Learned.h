/** @file Learned.h State of the learned models of entries, as stored in the shared store. */
#pragma once

#include <sequoia/Time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoia {

/** Weighted sums of the regression on a route; x is the logarithm of the estimate in ms, y that of the run time. */
struct LearnedRunTimes {
    double weight = 0; ///< Jobs, older ones weighing less.
    double meanX = 0;
    double meanY = 0;
    double sumXX = 0; ///< Sum of (x - meanX) squared.
    double sumXY = 0; ///< Sum of (x - meanX)(y - meanY).
    double sumResidual = 0; ///< Sum of squared differences of y from its prediction.
};

/** Distribution of the time-outs of a route's callers. */
struct LearnedCallerTimeouts {
    double requests = 0; ///< Requests, older ones weighing less.
    double mean = 0; ///< Mean of the logarithm of the time-outs in ms.
    double squares = 0; ///< Twice the sum of squared differences from the mean, over logarithms below the mean.
    double shortShare = 0; ///< Share of requests whose caller waits much shorter than usual on the route.
};

/** Slowness of a backend server. */
struct LearnedSpeed {
    int64_t life = 0; ///< Incarnation of the server: its start, ms since 1970.
    double slowness = 1;
    uint32_t samples = 0;
};

/** A task that was running on servers when they crashed; see CrashSuspicion. */
struct LearnedSuspicion {
    uint32_t total = 0;
    uint32_t crashes = 0;
    uint32_t blamed = 0;
    bool hasCrashedAsSuspect = false;
    uint32_t ageMs = 0; ///< Of its run at the last crash, ms.
};

/** State of all models of an entry. */
struct Learned {
    std::map<std::string, LearnedRunTimes> declared; ///< By route, from jobs with an estimate.
    std::map<std::string, LearnedRunTimes> undeclared; ///< By route, from jobs without an estimate.
    std::map<std::string, LearnedCallerTimeouts> callerTimeouts; ///< By route.
    std::map<std::string, LearnedSpeed> speeds; ///< By agent.
    std::map<std::string, LearnedSuspicion> suspicions; ///< By task.

    /** For each key takes the value with more samples behind it; for a server, a newer incarnation counts before more
     * samples; for a task, one with more crashes. */
    void merge(const Learned& other);
};

/** Serialises to a JSON object. */
std::string toText(const Learned& learned);
/** Parses a text that `toText` wrote; empty if it is malformed. Values that can't be ours are skipped; `problems`, if
 * not null, gets their places. */
std::optional<Learned> parseLearned(const std::string& text, std::vector<std::string>* problems = nullptr);

} // namespace sequoia
