/** @file LoadModel.h Rates of arriving work, by priority, and of the work that the servers do for one entry. */
#pragma once

#include <sequoia/Time.h>

#include <cstdint>
#include <map>

namespace sequoia {

/** Exponentially weighted rate of work. Work is in thousandths of a core times milliseconds, at slowness 1. */
class WorkRate {
public:
    explicit WorkRate(Milliseconds timeConstant)
        : m_timeConstant(timeConstant)
    {
    }

    /** Adds an amount of work. */
    void add(double work, TimePoint now);
    /** Work per millisecond. */
    double perMs(TimePoint now) const;
    /** Multiplies the rate. */
    void scale(double factor) { m_sum *= factor; }

private:
    Milliseconds m_timeConstant;
    double m_sum = 0; ///< Decayed sum at the time of the last addition.
    TimePoint m_last {}; ///< Last addition.
    TimePoint m_first {}; ///< First addition.
};

/** Parameters of the model. */
struct LoadModelLimits {
    Milliseconds arrivalTimeConstant { 1500 }; ///< Decay time of the arrival rate; a burst shows after about this time.
    Milliseconds serviceTimeConstant { 1000 }; ///< Decay time of the rate of finished work.
    /** Time until the first tasks of a backlog end; the rate of finished work is ignored before that. */
    Milliseconds serviceDelay { 300 };
    double minShare = 0.25; ///< Lower bound of the capacity, as a fraction of the entry's even share.
};

/** Estimates the arrival rate of an entry and the capacity of the servers for it. */
class LoadModel {
public:
    explicit LoadModel(LoadModelLimits limits = {});

    /** A job with this much work has arrived. */
    void recordArrival(uint32_t priority, double work, TimePoint now);
    /** A task with this much work has ended. */
    void recordCompletion(double work, TimePoint now);
    /** The capacity of the usable servers has changed. The measured rate is scaled with it, as it would follow only in
     * about its time constant; with no capacity before or after, the measurement begins anew. */
    void capacityChanged(double before, double after, TimePoint now);
    /** Whether tasks wait for resources; only then does the rate of finished work show the capacity. */
    void setBacklogged(bool isBacklogged, TimePoint now);

    /** Work per millisecond of jobs that come before this priority. */
    double arrivalRateBefore(uint32_t priority, TimePoint now) const;
    /** Work per millisecond of all jobs. */
    double arrivalRate(TimePoint now) const;
    /** Work per millisecond that the servers do for this entry; `share` is its even share of their capacity. */
    double capacity(double share, TimePoint now) const;

private:
    LoadModelLimits m_limits;
    std::map<uint32_t, WorkRate> m_arrivals; ///< By priority.
    WorkRate m_finished;
    bool m_isBacklogged = false;
    TimePoint m_backloggedSince {};
};

} // namespace sequoia
