/** @file TeamQueue.h Weighted fair queue of jobs between teams; within a team, short and old jobs come first. */
#pragma once

#include <sequoia/Ids.h>
#include <sequoia/Time.h>

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sequoia {

/** Weight and quota of a team. */
struct TeamPolicy {
    double weight = 1.0; ///< Share of the starts while several teams have waiting jobs.
    uint32_t quota = 0; ///< Limit of running tasks of this entry; 0 for none.
};

/** Job queue of one entry. Operations on a job take time logarithmic in the number of teams and waiting jobs. */
class TeamQueue {
public:
    /** Sets the policy of a team; teams without one use the default values. */
    void setPolicy(const std::string& team, TeamPolicy policy);

    /** Adds a job; the job with the earliest virtual finish time of its team starts first. */
    void push(const std::string& team, const JobKey& job, TimePoint virtualFinish);
    /** Removes a job at any position. */
    void erase(const std::string& team, const JobKey& job, TimePoint virtualFinish);

    /** The next job to start: the first one of the ready team with the lowest virtual time. */
    std::optional<JobKey> front() const;

    /** Records the start of a task: advances the virtual time of the team and counts towards its quota. */
    void started(const std::string& team);
    /** Records the end of a started task, which no longer counts towards the quota. */
    void ended(const std::string& team);

    /** Number of waiting jobs of each team that has any. */
    std::vector<std::pair<std::string, size_t>> depths() const;

private:
    struct Team {
        TeamPolicy policy;
        double virtualTime = 0; ///< Starts divided by the weight; raised to m_virtualNow when the team becomes ready.
        uint32_t running = 0;
        std::set<std::pair<TimePoint, JobKey>> waiting;
        bool isReady = false; ///< Listed in m_ready.
    };

    size_t intern(const std::string& team);
    /** Updates whether a team is ready: it has waiting jobs and is below its quota. */
    void refresh(size_t team);

    std::unordered_map<std::string, size_t> m_byName;
    std::vector<std::string> m_names;
    std::vector<Team> m_teams;
    std::set<std::pair<double, size_t>> m_ready; ///< Teams that may start a job, by virtual time.
    double m_virtualNow = 0; ///< Largest virtual time at which a start was recorded.
};

} // namespace sequoia
