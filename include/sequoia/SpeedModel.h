/** @file SpeedModel.h Estimates the slowness of a backend server from the run times of its tasks. */
#pragma once

#include <sequoia/Time.h>

#include <cstdint>

namespace sequoia {

/** Parameters of the model. */
struct SpeedModelLimits {
    double priorSpread = 0.5; ///< Standard deviation of log slowness over all servers; a factor of 1.6 either way.
    double sampleSpread = 0.35; ///< Standard deviation of log (run time / expected time) of a single run.
    double minWeight = 0.04; ///< Smallest weight of a new sample in the current average; sets its rate of decay.
    double minBaselineWeight = 0.01; ///< Smallest weight of a new sample in the baseline.
    double changeFactor = 2.5; ///< A run longer or shorter than predicted by this factor is an outlier.
    uint32_t changeSamples = 3; ///< So many outliers in a row, all on one side, are taken for a change of the server.
    double maxFactor = 32; ///< Bound of run time / expected time, so that no single run dominates the average.
    Milliseconds staleAfter { 1000 }; ///< Time without samples after which the current average begins to decay.
    Milliseconds halfLife { 2000 }; ///< Half-life of the decay to the baseline.
};

/**
 * Slowness of one server: the ratio of the run time to the time expected at slowness 1. The model keeps two averages of
 * its logarithm: a current one, which follows changes, and a long-term baseline. A server that has become slow gets
 * little work, so that too few samples would show its recovery; without new samples the current average therefore
 * decays towards the baseline.
 */
class SpeedModel {
public:
    explicit SpeedModel(const SpeedModelLimits& limits = {});

    /** Adds a sample: a run took `ran`, or has run that long already. Runs of one job are alike, so that one sample of
     * a job is enough. */
    void learn(Milliseconds expected, Microseconds ran, TimePoint now);
    double slowness(TimePoint now) const;
    /** Standard error of the logarithm of `slowness()`. */
    double spread() const;
    /** Sets what an earlier process learned about the same server, unless this model has at least as many samples. */
    void restore(double slowness, uint32_t samples);
    uint32_t samples() const { return m_samples; }
    /** Forgets everything, as another server has taken the place of the one before. */
    void reset();

private:
    double current(TimePoint now) const;

    SpeedModelLimits m_limits;
    double m_current = 0; ///< Current average of log slowness, as of `m_lastSample`.
    double m_baseline = 0; ///< Long-term average of log slowness.
    uint32_t m_samples = 0; ///< Samples in the baseline.
    uint32_t m_currentSamples = 0; ///< Samples in the current average; restarts at a change.
    uint32_t m_streak = 0; ///< Outliers in a row on the same side.
    double m_streakSum = 0; ///< Sum of log (run time / expected time) over these outliers.
    bool m_isStreakSlow = false; ///< Whether the last sample was above the current average.
    TimePoint m_lastSample {};
};

} // namespace sequoia
