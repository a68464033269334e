/** @file SpeedModel.h Learns how slow a backend server is from the run times of its tasks. */
#pragma once

#include <sequoia/Time.h>

#include <cstdint>

namespace sequoia {

/** Figures of the model. */
struct SpeedModelLimits {
    double priorSpread = 0.5; ///< Deviation of the logarithm of slowness over all servers; a factor of 1.6 either way.
    double sampleSpread = 0.35; ///< Deviation of the logarithm of one run time over its expected time.
    double minWeight = 0.04; ///< Of a new sample; older ones are forgotten at this rate.
    double minBaselineWeight = 0.01; ///< The same for the usual slowness.
    double changeFactor = 2.5; ///< A run this many times longer or shorter than believed may show a change.
    uint32_t changeSamples = 3; ///< So many in a row do.
    double maxFactor = 32; ///< A single run counts for no more.
    Milliseconds staleAfter { 1000 }; ///< Without samples for this time the belief goes back to the usual.
    Milliseconds halfLife { 2000 }; ///< Of the way back.
};

/**
 * Slowness of one server: run time over the time expected at slowness 1. Two averages of the logarithm are kept: the
 * present one, which follows changes, and the usual one. A server that has become slow gets little work, so nothing
 * would show that it has recovered: without new samples the present belief returns to the usual one.
 */
class SpeedModel {
public:
    explicit SpeedModel(const SpeedModelLimits& limits = {});

    /** A run has taken `ran`, or has not ended after that time. Runs of one job are alike, so one of them is enough. */
    void learn(Milliseconds expected, Microseconds ran, TimePoint now);
    double slowness(TimePoint now) const;
    /** Deviation of the logarithm of the slowness from the truth. */
    double spread() const;
    /** Takes what was learned of the same server before, unless more is known here. */
    void restore(double slowness, uint32_t samples);
    uint32_t samples() const { return m_samples; }
    /** Another server, of which nothing is known, has taken its place. */
    void reset();

private:
    double current(TimePoint now) const;

    SpeedModelLimits m_limits;
    double m_current = 0; ///< Logarithm, when the last sample came.
    double m_baseline = 0;
    uint32_t m_samples = 0;
    uint32_t m_currentSamples = 0; ///< Since the last change.
    uint32_t m_streak = 0; ///< Samples in a row on one side of the belief, far from it.
    double m_streakSum = 0;
    bool m_isStreakSlow = false;
    TimePoint m_lastSample {};
};

} // namespace sequoia
