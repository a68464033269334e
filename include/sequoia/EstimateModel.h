/** @file EstimateModel.h Predicts run times from declared estimates, by route. */
#pragma once

#include <sequoia/Learned.h>
#include <sequoia/Time.h>

#include <map>
#include <string>

namespace sequoia {

/** Parameters of the model. */
struct EstimateModelLimits {
    double windowJobs = 400; ///< Effective length of the exponential window, jobs; a few seconds on a busy route.
    double priorJobs = 12; ///< Weight of the prior that estimates are exact, jobs.
    double priorSpread = 0.4; ///< Prior deviation of log (run time / estimate); the users state an error of 40%.
    size_t maxRoutes = 1024; ///< Limit of memory; further routes aren't learned.
};

/**
 * Predicts run times on a server of slowness 1. A declared estimate is off by a random factor, so that most jobs with a
 * short estimate take longer, and most with a long one take less (regression to the mean): the expected time lies
 * between the estimate and the mean of the route. The model is a linear regression of the logarithm of run times on
 * that of estimates, one for each route.
 * Agents compute their slowness from expected times. The mean of all expected times is therefore kept at the mean of
 * the estimates; otherwise expected times and slowness could drift together without bound.
 */
class EstimateModel {
public:
    explicit EstimateModel(const EstimateModelLimits& limits = {});

    /** Expected run time of a task; zero if nothing was declared and nothing is known. */
    Milliseconds expected(const std::string& route, Milliseconds estimate) const;
    /** Standard deviation of log (run time / expected time). */
    double spread(const std::string& route) const;
    /** Adds a sample: a task with this estimate took `ran`, normalised to slowness 1. One task of a job is enough. */
    void learn(const std::string& route, Milliseconds estimate, Microseconds ran);

    /** Writes the state of the model to `out`. */
    void saveTo(Learned& out) const;
    /** Adds what another process, or an earlier one, has learned about routes that are unknown here. */
    void restore(const Learned& learned);

private:
    double slopeOf(const LearnedRunTimes& route) const;
    double expectedLog(const LearnedRunTimes& route, double x) const;
    /** Sums of a route; null if it is unknown. Jobs without an estimate have sums of their own, as they don't enter the
     * regression. */
    const LearnedRunTimes* find(const std::string& route, Milliseconds estimate) const;

    EstimateModelLimits m_limits;
    std::map<std::string, LearnedRunTimes> m_declared; ///< By route, jobs with an estimate.
    std::map<std::string, LearnedRunTimes> m_undeclared; ///< By route, jobs without an estimate.
    double m_offset = 0; ///< Mean of log run time - log estimate over the jobs of all routes with an estimate.
    double m_offsetWeight = 0; ///< Jobs in `m_offset`, older ones weighing less.
};

} // namespace sequoia
