/** @file PriorityShares.h Processors of a backend server that are kept from runs of one priority for those of others.
 */
#pragma once

#include <sequoia/Time.h>

#include <cstdint>
#include <map>
#include <vector>

namespace sequoia {

/** Limits of what is kept, and times. With both shares 0, the default, nothing is kept. */
struct PriorityShareLimits {
    /** At most this share of the server is kept for more urgent priorities. 0.12 is measured to be a good one on 12
     * entries; with 0.5 servers stood idle between bursts, and callers lost more by it than urgent jobs gained. See
     * docs/design/priority-shares.md. */
    double maxUrgentShare = 0;
    /** At most this share of the server is kept for less urgent priorities whose tasks wait, for those that use less
     * than it, so that none of them is starved. Runs of a priority that uses less aren't held back for more urgent
     * ones. */
    double floorShare = 0;
    /** How long a priority counts as waiting after a demand or a refused order. Entries repeat their demands about
     * every 200 ms on a cluster of 70 agents. */
    Milliseconds wantedTime { 300 };
    Milliseconds timeConstant { 1000 }; ///< Of the decay of the recent use towards the present one.
    Milliseconds retention { 60000 }; ///< A priority without orders for this long is forgotten.
};

/** Processors of one priority, in thousandths of a core. */
struct PriorityUse {
    uint32_t priority = 0; ///< 0 is the most urgent.
    int64_t now = 0; ///< In use.
    int64_t recent = 0; ///< Recently in use at the same time; see RecentUse.
    bool isWanted = false; ///< Tasks of this priority have just waited for servers.
    bool isRefused = false; ///< An order of this priority has just been refused for want of resources.
};

/** Processors that are kept from orders of a priority. */
struct KeptCpu {
    uint32_t priority = 0;
    int64_t cpu = 0; ///< Thousandths of a core.

    bool operator==(const KeptCpu&) const = default;
};

/**
 * The processors of a server with `total` that an order of a priority may not take: for the more urgent priorities what
 * they have used recently, less what they use now; for the less urgent ones what they lack to the floor. The former
 * only for priorities whose orders were just refused, the latter only for those whose tasks wait, so that nothing is
 * kept where there is capacity for all.
 */
int64_t keptCpu(
    int64_t total, const std::vector<PriorityUse>& uses, uint32_t priority, const PriorityShareLimits& limits = {});

/** The processors of `free` that are left once `kept` of them are kept. Overcommitted resources stay as they are. */
int64_t lessKept(int64_t free, int64_t kept);

/** Processors in use over time: a maximum that decays towards the present use. A moving average keeps too little for a
 * job of many tasks, whose runs come at once. */
class RecentUse {
public:
    int64_t now() const { return m_now; }
    void add(int64_t cpu, TimePoint now, Milliseconds timeConstant);
    int64_t recent(TimePoint now, Milliseconds timeConstant) const;

private:
    int64_t m_now = 0;
    double m_recent = 0; ///< As of `m_changed`.
    TimePoint m_changed {};
};

/** The processors in use on one server by priority, and what is kept from each. Not thread-safe. */
class PriorityShares {
public:
    explicit PriorityShares(const PriorityShareLimits& limits = {});

    /** Runs of a priority take more processors, or fewer if `cpu` is negative. */
    void use(uint32_t priority, int64_t cpu, TimePoint now);
    /** Tasks of a priority wait for servers. */
    void want(uint32_t priority, TimePoint now);
    /** An order of a priority didn't fit. */
    void refuse(uint32_t priority, TimePoint now);
    /** The most urgent priority that is known; 0 if none is. */
    uint32_t mostUrgent() const { return m_uses.empty() ? 0 : m_uses.begin()->first; }
    int64_t kept(uint32_t priority, int64_t total, TimePoint now) const;
    /** The priorities from which something is kept, in their order. */
    std::vector<KeptCpu> allKept(int64_t total, TimePoint now) const;
    /** Forgets priorities that were not seen for a long time. */
    void forgetOld(TimePoint now);

private:
    struct Entry {
        RecentUse use;
        TimePoint seen {}; ///< Last order, end of a run, or demand.
        TimePoint wantedUntil {};
        TimePoint refusedUntil {};
    };
    std::vector<PriorityUse> uses(TimePoint now) const;

    PriorityShareLimits m_limits;
    std::map<uint32_t, Entry> m_uses; ///< By priority.
};

} // namespace sequoia
