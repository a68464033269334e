/** @file EstimateModel.h Learns how run times relate to declared estimates, by route. */
#pragma once

#include <sequoia/Learned.h>
#include <sequoia/Time.h>

#include <map>
#include <string>

namespace sequoia {

/** Figures of the model. */
struct EstimateModelLimits {
    double windowJobs = 400; ///< Older jobs weigh less; a few seconds of a busy route.
    double priorJobs = 12; ///< Weight of the belief that estimates are right as declared.
    double priorSpread = 0.4; ///< Deviation of the logarithm of run time over estimate; from the users' 40%.
    size_t maxRoutes = 1024; ///< Routes beyond this many are not learned.
};

/**
 * Expected run times. A declared estimate is off by a random factor, so that of jobs with a short estimate most take
 * longer, and of jobs with a long one most take less: the expected time lies between the estimate and what is usual on
 * the route. The model is a regression of the logarithm of run times on that of estimates, one for each route.
 * Times are those on a server of slowness 1. Since agents learn their slowness from expected times, the mean of all
 * expected times is kept at the mean of the estimates; else the two could drift together.
 */
class EstimateModel {
public:
    explicit EstimateModel(const EstimateModelLimits& limits = {});

    /** Expected run time of a task; zero if nothing was declared and nothing is known. */
    Milliseconds expected(const std::string& route, Milliseconds estimate) const;
    /** Deviation of the logarithm of run time over expected time. */
    double spread(const std::string& route) const;
    /** A task with this estimate has run `ran`, brought to slowness 1. One task of a job is enough. */
    void learn(const std::string& route, Milliseconds estimate, Microseconds ran);

    /** Adds what is known to `out`. */
    void saveTo(Learned& out) const;
    /** Takes what an earlier process or another one has learned, for routes that are not known here. */
    void restore(const Learned& learned);

private:
    double slopeOf(const LearnedRunTimes& route) const;
    double expectedLog(const LearnedRunTimes& route, double x) const;
    /** Jobs that declare nothing are kept apart, as they say nothing of estimates. */
    const LearnedRunTimes* find(const std::string& route, Milliseconds estimate) const;

    EstimateModelLimits m_limits;
    std::map<std::string, LearnedRunTimes> m_declared;
    std::map<std::string, LearnedRunTimes> m_undeclared;
    double m_offset = 0; ///< Mean over all declared jobs of y - x.
    double m_offsetWeight = 0;
};

} // namespace sequoia
