/** @file Learned.h What entries have learned from traffic, in the form in which it is kept in the shared store. */
#pragma once

#include <sequoia/Time.h>

#include <map>
#include <optional>
#include <string>

namespace sequoia {

/** Weighted sums of run times on a route; x is the logarithm of the estimate, y that of the run time. */
struct LearnedRunTimes {
    double weight = 0; ///< Jobs, older ones counting less.
    double meanX = 0;
    double meanY = 0;
    double sumXX = 0; ///< Of squared differences from the mean.
    double sumXY = 0;
    double sumResidual = 0; ///< Of squared differences from the expected time.
};

/** How long callers of a route usually wait. */
struct LearnedCallerTimeouts {
    double requests = 0; ///< Older ones counting less.
    double mean = 0; ///< Of the logarithm of the times, ms.
    double squares = 0; ///< Twice the squared differences of times below the mean.
    double shortShare = 0; ///< Requests whose caller waits much shorter.
};

/** Slowness of a backend server. */
struct LearnedSpeed {
    int64_t life = 0; ///< Start of the server's life that this is about, ms since 1970.
    double slowness = 1;
    uint32_t samples = 0;
};

/** All of it. */
struct Learned {
    std::map<std::string, LearnedRunTimes> declared; ///< By route, of jobs with an estimate.
    std::map<std::string, LearnedRunTimes> undeclared; ///< By route, of jobs without.
    std::map<std::string, LearnedCallerTimeouts> callerTimeouts; ///< By route.
    std::map<std::string, LearnedSpeed> speeds; ///< By agent.

    /** Takes what another one knows better, by the number of cases behind it. */
    void merge(const Learned& other);
};

/** One JSON object. */
std::string toText(const Learned& learned);
/** Empty if the text is not what `toText` writes. */
std::optional<Learned> parseLearned(const std::string& text);

} // namespace sequoia
