/** @file Placement.h The choice of an agent for a task, and the baselines that it is measured against. */
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

/** Position of an agent in its entry's table; never reused. */
enum class AgentIndex : uint32_t {};

/** What an entry knows of an agent. */
struct AgentRecord {
    std::string name;
    std::string failureDomain;
    std::string httpAddress;
    Incarnation incarnation {};
    LinkId link {};
    bool isLinked = false;
    bool isWithdrawn = false; ///< It takes no new work.
    uint32_t grants = 0; ///< Unused grants held from it.
    bool holdsTrial = false; ///< One of the grants is a trial after a quarantine.
    double slowness = 1.0; ///< Run time over declared run time, smoothed.
    uint32_t samples = 0; ///< Answers that the estimates rest on, up to the few that a new agent needs.
    double meanRunSeconds = 0.2; ///< Mean run time here, smoothed.
    std::unordered_set<TaskKey> outstanding; ///< Started, not answered.
    size_t bucket = 0; ///< Of its speed, in the table's sums.
    double slotsFreedPerSecond = 0; ///< Slots that it frees in a second, as counted in the sums.
    TimePoint lastHeard {};
    TimePoint lastSent {};
    TimePoint lastStarted {}; ///< Last start of this entry there.
    TimePoint unacknowledgedSince {}; ///< First answer since the last message to it; zero if there is none.
    TimePoint lostAt {}; ///< When the link ended, if it is not linked.
    TimePoint nextRelinkRequest {};
    TimePoint nextNeed {}; ///< Before that no further Need is sent.
    Microseconds needPause {}; ///< Pause after the next unanswered Need.
};

/** Agents of an entry, with an index of those that can take a start. */
class AgentTable {
public:
    /** The record of a name, made on first use. */
    AgentIndex intern(const std::string& name);
    AgentRecord& at(AgentIndex index) { return m_agents[raw(index)]; }
    const AgentRecord& at(AgentIndex index) const { return m_agents[raw(index)]; }
    /** The linked agent of a link. */
    std::optional<AgentIndex> byLink(LinkId link) const;
    void bindLink(AgentIndex index, LinkId link);
    void unbindLink(LinkId link);

    /** Changes the grants held from an agent and keeps the index right. */
    void setGrants(AgentIndex index, uint32_t grants);
    /** Changes the speed estimate and keeps the index right. */
    void setSlowness(AgentIndex index, double slowness);
    /** Agents with grants, fastest first. */
    const std::set<std::pair<double, AgentIndex>>& agentsWithGrants() const { return m_agentsWithGrants; }

    /** Smoothed times of one run; keeps the sums right. */
    void setMeanRun(AgentIndex index, double seconds);
    /** Slots a second that linked agents faster than a slowness free. */
    double slotsFreedPerSecondByFaster(double slowness) const;
    /** Slowness of the fastest agents that work for this entry; empty if none does. */
    std::optional<double> slownessOfFastestBusy() const;

    size_t size() const { return m_agents.size(); }
    uint32_t totalGrants() const { return m_totalGrants; }
    uint32_t totalOutstanding() const { return m_totalOutstanding; }
    void addOutstanding(AgentIndex index, const TaskKey& task);
    bool removeOutstanding(AgentIndex index, const TaskKey& task);

private:
    static constexpr size_t bucketCount = 48; ///< Of slowness, a quarter apart.

    void refreshSums(AgentIndex index);

    std::array<double, bucketCount> m_slotsFreedPerSecond {};
    std::array<uint32_t, bucketCount> m_busyAgents {}; ///< Agents with starts outstanding.
    std::vector<AgentRecord> m_agents;
    std::unordered_map<std::string, AgentIndex> m_byName;
    std::unordered_map<LinkId, AgentIndex> m_byLink;
    std::set<std::pair<double, AgentIndex>> m_agentsWithGrants;
    uint32_t m_totalGrants = 0;
    uint32_t m_totalOutstanding = 0;
};

/** The task that waits for a place. */
struct PlacementTask {
    TaskKey key;
    Milliseconds declaredRunTime {};
    bool isRepeatable = false;
    size_t queuedTasks = 0; ///< Waiting tasks of the entry, this one included.
};

/** Chooses an agent, or nothing if the task should wait. */
using PlacementPolicy = std::function<std::optional<AgentIndex>(const AgentTable&, const PlacementTask&)>;

/** The fastest agent that has granted a slot. */
PlacementPolicy fastestGrant();
/** When a task waits for a faster agent instead of taking a grant of a slow one. */
struct WaitPolicy {
    double minSlownessRatio = 1; ///< Slowness here over that of the fastest working agent.
    double maxFinishRatio = 1; ///< Expected time there, with the wait, over the time here.
};

/** Uses all but much slower agents at once. */
constexpr WaitPolicy responseFirst { 2.5, 0.6 };
/** Waits for slots that come back with answers, which costs no message. */
constexpr WaitPolicy messagesFirst { 1.2, 1.0 };

/** The fastest grant, unless a faster agent is expected to be free soon enough to answer earlier. */
PlacementPolicy earliestFinish(WaitPolicy hold);
/** Baseline: any linked agent, which may refuse. */
PlacementPolicy randomWithRefusal(uint64_t seed);
/** Baseline: the linked agent with the fewest of this entry's starts outstanding, which may refuse. */
PlacementPolicy leastOutstanding();
/** Baseline: the less busy of two random agents by this entry's view, which may refuse. */
PlacementPolicy twoChoices(uint64_t seed);
/** A policy by its name and profile in the settings; empty if there is none of that name. */
std::optional<PlacementPolicy> placementPolicy(const std::string& name, const std::string& profile, uint64_t seed);

} // namespace sequoia
