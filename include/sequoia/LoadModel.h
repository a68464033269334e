/** @file LoadModel.h Rates of work as one entry sees them: what arrives, by priority, and what its share of the servers
 * does. */
#pragma once

#include <sequoia/Time.h>

#include <cstdint>
#include <map>

namespace sequoia {

/** A rate of work whose older parts weigh less. Work is in thousandths of a core times milliseconds at slowness 1. */
class WorkRate {
public:
    explicit WorkRate(Milliseconds memory)
        : m_timeConstant(memory)
    {
    }

    void add(double work, TimePoint now);
    /** Work per millisecond. */
    double perMs(TimePoint now) const;

private:
    Milliseconds m_timeConstant;
    double m_sum = 0; ///< As of the last addition.
    TimePoint m_last {};
    TimePoint m_first {}; ///< Of all additions.
};

/** Figures of the model. */
struct LoadModelLimits {
    Milliseconds arrivalTimeConstant { 1500 }; ///< A burst shows after about this time.
    Milliseconds serviceTimeConstant { 1000 }; ///< Time over which finished work is averaged.
    Milliseconds serviceDelay { 300 }; ///< Work that was begun first after a start is finished after about this time.
    double minShare = 0.25; ///< Servers that take work do at least this part of an even share.
};

/** What an entry knows of its load. */
class LoadModel {
public:
    explicit LoadModel(LoadModelLimits limits = {});

    /** A job with this much work has come. */
    void recordArrival(uint32_t priority, double work, TimePoint now);
    /** A task has ended after this much work. */
    void recordCompletion(double work, TimePoint now);
    /** Whether tasks wait for room; only then finished work shows what the servers can do for this entry. */
    void setBacklogged(bool isBacklogged, TimePoint now);

    /** Work per millisecond of jobs with a priority before this one. */
    double arrivalRateBefore(uint32_t priority, TimePoint now) const;
    double arrivalRate(TimePoint now) const;
    /** Work per millisecond that is done for this entry; `share` is its even share of the servers. */
    double capacity(double share, TimePoint now) const;

private:
    LoadModelLimits m_limits;
    std::map<uint32_t, WorkRate> m_arrivals;
    WorkRate m_finished;
    bool m_isBacklogged = false;
    TimePoint m_backloggedSince {};
};

} // namespace sequoia
