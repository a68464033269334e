/** @file TeamQueue.h Waiting jobs, fair between teams by weight and quota, short and old jobs first within a team. */
#pragma once

#include <sequoia/Ids.h>
#include <sequoia/Time.h>

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sequoia {

/** Share and bound of a team. */
struct TeamPolicy {
    double weight = 1.0; ///< Share of the starts while others wait.
    uint32_t quota = 0; ///< Most tasks running at once from this entry; 0 for no bound.
};

/** Queue of one entry. Every operation costs the logarithm of teams or of waiting jobs. */
class TeamQueue {
public:
    /** Sets the policy of a team; unknown teams get the default one. */
    void setPolicy(const std::string& team, TeamPolicy policy);

    /** Adds a job; the one with the smallest key of its team starts first. */
    void push(const std::string& team, const JobKey& job, TimePoint virtualDue);
    /** Takes a job out, wherever it stands. */
    void erase(const std::string& team, const JobKey& job, TimePoint virtualDue);

    /** The job that starts next: of the team that is furthest behind its share. */
    std::optional<JobKey> front() const;

    /** Charges a start to a team. */
    void started(const std::string& team);
    /** Ends a start of a team. */
    void ended(const std::string& team);

    /** Waiting jobs of each team that has any. */
    std::vector<std::pair<std::string, size_t>> depths() const;

private:
    struct Team {
        TeamPolicy policy;
        double virtualTime = 0; ///< Starts divided by weight.
        uint32_t running = 0;
        std::set<std::pair<TimePoint, JobKey>> waiting;
        bool isReady = false; ///< Stands in m_ready.
    };

    size_t intern(const std::string& team);
    void refresh(size_t team);

    std::unordered_map<std::string, size_t> m_byName;
    std::vector<std::string> m_names;
    std::vector<Team> m_teams;
    std::set<std::pair<double, size_t>> m_ready;
    double m_virtualNow = 0;
};

} // namespace sequoia
