/** @file ResubmissionDetector.h Detects resubmitted requests by how long their callers still wait. */
#pragma once

#include <sequoia/Learned.h>
#include <sequoia/Time.h>

#include <map>
#include <string>

namespace sequoia {

/** Parameters of the model. */
struct ResubmissionDetectorLimits {
    double deviations = 2.75; ///< A budget this many deviations below the route's mean, in the logarithm, is short.
    double priorSpread = 0.3; ///< Prior standard deviation of the logarithm of budgets.
    double priorRequests = 1; ///< Weight of the prior, in requests.
    Milliseconds minResendDelay { 0 }; ///< Shortest time after which callers resubmit; set by the deployment.
    double windowRequests = 100; ///< Requests over which the mean budget of a route is averaged.
    /** With fewer requests no budget counts as short, and a much longer budget restarts the average. */
    double minRequests = 30;
    double shareWindowRequests = 1000; ///< Requests over which the share of short budgets is averaged.
    /** With a greater share of short budgets they are normal on the route and not taken for resubmissions. */
    double maxShortShare = 0.1;
    size_t maxRoutes = 1024; ///< Routes beyond this many are not learned.
};

/**
 * When entries fail, their callers resubmit all open requests at once. Such a request differs from a first one only in
 * its budget, the time that the caller still waits: it is shorter than usual on the route. The difference is taken as
 * the time that the caller has waited already. The spread of a route is learned from budgets below the mean only, as
 * most routes have a minimum budget and some callers that wait much longer.
 */
class ResubmissionDetector {
public:
    explicit ResubmissionDetector(const ResubmissionDetectorLimits& limits = {});

    /** Records a request with its budget; returns the least time that its caller has waited before, zero if none. */
    Milliseconds waitedBefore(const std::string& route, Milliseconds budget);

    /** Writes the state of all routes to `out`. */
    void saveTo(Learned& out) const { out.callerTimeouts = m_routes; }
    /** Takes over what other processes have learned, for routes that are unknown here. */
    void restore(const Learned& learned);

private:
    ResubmissionDetectorLimits m_limits;
    std::map<std::string, LearnedCallerTimeouts> m_routes;
};

} // namespace sequoia
