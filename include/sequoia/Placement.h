/** @file Placement.h Placement policies that choose an agent for a task, and the baselines for their comparison. */
#pragma once

#include <sequoia/Ids.h>
#include <sequoia/Time.h>

#include <array>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace sequoia {

/** Index of an agent in the table of an entry; never reused. */
enum class AgentIndex : uint32_t {};

/** What an entry knows about an agent. */
struct AgentRecord {
    std::string name;
    std::string failureDomain;
    std::string httpAddress;
    Incarnation incarnation {};
    LinkId link {};
    bool isLinked = false;
    bool isWithdrawn = false; ///< It has withdrawn its grants and accepts no starts.
    uint32_t grants = 0; ///< Unused grants that this entry holds.
    bool holdsTrial = false; ///< One of the grants is for a trial task after a quarantine.
    double slowness = 1.0; ///< Measured over declared run time, exponentially smoothed.
    uint32_t samples = 0; ///< Answers in the estimates; not counted further once their weight is constant.
    double meanRunSeconds = 0.2; ///< Run time on this agent, exponentially smoothed.
    std::unordered_set<TaskKey> outstanding; ///< Tasks started but not answered.
    size_t bucket = 0; ///< Bucket of its slowness in the sums of the table.
    double slotsFreedPerSecond = 0; ///< Slots that it is expected to free, as added to the sum of its bucket.
    TimePoint lastHeard {};
    TimePoint lastSent {};
    TimePoint lastStarted {}; ///< Last start sent by this entry.
    TimePoint unacknowledgedSince {}; ///< First answer that no message to it has followed; zero if there is none.
    TimePoint lostAt {}; ///< When its last link ended; valid if it is not linked.
    TimePoint nextRelinkRequest {};
    TimePoint nextNeed {}; ///< Earliest time of the next Need message.
    Microseconds needPause {}; ///< Pause after the next Need message; doubles until an Offer arrives.
};

/** Agents of an entry, with an index of those with grants. */
class AgentTable {
public:
    /** Index of the agent of a name; adds a record on first use. */
    AgentIndex intern(const std::string& name);
    AgentRecord& at(AgentIndex index) { return m_agents[raw(index)]; }
    const AgentRecord& at(AgentIndex index) const { return m_agents[raw(index)]; }
    /** The agent at the other end of a link. */
    std::optional<AgentIndex> byLink(LinkId link) const;
    void bindLink(AgentIndex index, LinkId link);
    void unbindLink(LinkId link);

    /** Sets the number of grants held from an agent and updates the index. */
    void setGrants(AgentIndex index, uint32_t grants);
    /** Sets the slowness estimate of an agent and updates the index. */
    void setSlowness(AgentIndex index, double slowness);
    /** Agents with grants, by slowness, the fastest first. */
    const std::set<std::pair<double, AgentIndex>>& agentsWithGrants() const { return m_agentsWithGrants; }

    /** Sets the mean run time of an agent and updates the sums. */
    void setMeanRun(AgentIndex index, double seconds);
    /** Slots that agents faster than `slowness` are expected to free per second for this entry. */
    double slotsFreedPerSecondByFaster(double slowness) const;
    /** Slowness of the fastest agents with outstanding starts; empty if there are none. */
    std::optional<double> slownessOfFastestBusy() const;

    size_t size() const { return m_agents.size(); }
    uint32_t totalGrants() const { return m_totalGrants; }
    uint32_t totalOutstanding() const { return m_totalOutstanding; }
    void addOutstanding(AgentIndex index, const TaskKey& task);
    bool removeOutstanding(AgentIndex index, const TaskKey& task);

private:
    static constexpr size_t bucketCount = 48; ///< Buckets of slowness; each bound is 1.25 times the one before.

    void refreshSums(AgentIndex index);

    std::array<double, bucketCount> m_slotsFreedPerSecond {};
    std::array<uint32_t, bucketCount> m_busyAgents {}; ///< By bucket: agents with outstanding starts.
    std::vector<AgentRecord> m_agents;
    std::unordered_map<std::string, AgentIndex> m_byName;
    std::unordered_map<LinkId, AgentIndex> m_byLink;
    std::set<std::pair<double, AgentIndex>> m_agentsWithGrants;
    uint32_t m_totalGrants = 0;
    uint32_t m_totalOutstanding = 0;
};

/** A task to place. */
struct PlacementTask {
    TaskKey key;
    Milliseconds declaredRunTime {};
    bool isRepeatable = false;
    size_t queuedTasks = 0; ///< All waiting tasks of the entry, including this one.
};

/** Chooses the agent for a task; empty if the task should wait. */
using PlacementPolicy = std::function<std::optional<AgentIndex>(const AgentTable&, const PlacementTask&)>;

/** Chooses the fastest agent that has granted a slot. */
PlacementPolicy fastestGrant();

/** Conditions under which a task waits for a faster agent instead of using a grant of a slower one. */
struct WaitPolicy {
    double minSlownessRatio = 1; ///< Slowness of the slower agent over that of the fastest busy one.
    double maxFinishRatio = 1; ///< Time to finish on the faster agent, with the wait, over the time on the slower one.
};

/** Profile `response`: uses a free agent at once unless it is much slower. */
constexpr WaitPolicy responseFirst { 2.5, 0.6 };
/** Profile `messages`: prefers to wait for a slot that is granted with an answer, which costs no extra message. */
constexpr WaitPolicy messagesFirst { 1.2, 1.0 };

/** The fastest grant, unless waiting for a faster agent is expected to finish the task earlier. */
PlacementPolicy earliestFinish(WaitPolicy wait);
/** Baseline: a random linked agent, which may refuse the start. */
PlacementPolicy randomWithRefusal(uint64_t seed);
/** Baseline: the linked agent with the fewest of this entry's outstanding starts, which may refuse the start. */
PlacementPolicy leastOutstanding();
/** Baseline: of two random agents the one with fewer of this entry's starts, which may refuse the start. */
PlacementPolicy twoChoices(uint64_t seed);
/** Creates the policy of a name and profile of the settings; empty if the name is unknown. */
std::optional<PlacementPolicy> placementPolicy(const std::string& name, const std::string& profile, uint64_t seed);

} // namespace sequoia
