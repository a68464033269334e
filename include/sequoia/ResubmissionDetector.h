/** @file CallerPatience.h Tells how long a caller has waited before this request, from how long it still waits. */
#pragma once

#include <sequoia/Learned.h>
#include <sequoia/Time.h>

#include <map>
#include <string>

namespace sequoia {

/** Figures of the model. */
struct ResubmissionDetectorLimits {
    double deviations = 2.75; ///< A time so far below the usual one, in the logarithm, is none of a first request.
    double priorSpread = 0.3; ///< Deviation of the logarithm of times until more is known.
    double priorRequests = 1; ///< Weight of that belief.
    Milliseconds minResendDelay { 0 }; ///< Callers send again no sooner than this; from the deployment.
    double windowRequests = 100; ///< Requests over which the usual time of a route is averaged.
    double minRequests = 30; ///< Until so many have come, nothing counts as short, and a much longer time starts anew.
    double shareWindowRequests = 1000; ///< Requests over which the share of short ones is averaged.
    double maxShortShare
        = 0.1; ///< Where more requests than this share are short, short times are usual and tell nothing.
    size_t maxRoutes = 1024; ///< Routes beyond this many are not learned.
};

/**
 * After an entry has died, or all of them, callers send again what they had sent before, and all at once. Such a
 * request looks like a new one but for its deadline, which is nearer than that of the route's other requests. What a
 * caller has lost of the usual time is taken as the time that it has waited already. Times below the usual one tell
 * what is usual there: most routes have a least time, and some callers that wait much longer.
 */
class ResubmissionDetector {
public:
    explicit ResubmissionDetector(const ResubmissionDetectorLimits& limits = {});

    /** Takes note of a request whose caller waits for `budget`; gives the least time that it has waited before. */
    Milliseconds waitedBefore(const std::string& route, Milliseconds budget);

    /** Adds what is known to `out`. */
    void saveTo(Learned& out) const { out.callerTimeouts = m_routes; }
    /** Takes what an earlier process or another one has learned, for routes that are not known here. */
    void restore(const Learned& learned);

private:
    ResubmissionDetectorLimits m_limits;
    std::map<std::string, LearnedCallerTimeouts> m_routes;
};

} // namespace sequoia
