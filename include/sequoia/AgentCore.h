/** @file AgentCore.h The deterministic state of an agent: slots, grants, the start-once gate and its backend's health.
 */
#pragma once

#include <sequoia/Effects.h>

#include <map>
#include <unordered_map>
#include <unordered_set>

namespace sequoia {

/** Bounds of an agent core. */
struct AgentLimits {
    Milliseconds retention { 120000 }; ///< How long results and tombstones are kept.
    Milliseconds linkSilence { 1500 }; ///< Longest silence of a link with running tasks.
    Milliseconds heartbeatInterval { 3000 }; ///< Longest quiet time of a link until the entry names its own.
    Milliseconds revisionGrace { 11000 }; ///< How long starts under an older configuration are taken.
    uint32_t quarantineFailures = 3; ///< Failures in a row, from as many jobs, that stop new work.
    Milliseconds quarantinePause { 1000 }; ///< Pause before the first trial.
    Milliseconds quarantinePauseMax { 4000 }; ///< A server that is good again is tried within this time.
    double stallFactor = 8; ///< A task that runs this many times its declared time is stalled.
    Milliseconds stallMinimum { 8000 }; ///< No task counts as stalled before.
};

/** What came of a call to the backend server. */
struct BackendResult {
    wire::Outcome outcome = wire::Outcome::Failed; ///< Succeeded, Failed or, if no connection was made, NotStarted.
    std::string reason;
    std::string body;
    Microseconds run {};
};

/** State of an agent's trust in its backend server. */
enum class Health : uint8_t {
    Good,
    Quarantined, ///< No work until the next trial.
    Trial ///< One task is granted or running.
};

/** Quarantine after failures in a row, ended by single trials with growing pauses. */
class HealthGate {
public:
    explicit HealthGate(AgentLimits limits)
        : m_limits(limits)
    {
    }
    /** Takes note of a success; true if that ends a quarantine. */
    bool recordSuccess();
    /** Takes note of a failure; true if that starts or prolongs a quarantine. */
    bool recordFailure(const JobKey& job, const std::string& reason, TimePoint now);
    /** Starts a quarantine for another cause, such as a stall. */
    void quarantine(const std::string& reason, TimePoint now);
    /** True once when a trial is due. */
    bool beginTrial(TimePoint now);
    Health health() const { return m_health; }
    /** Jobs with a failure since the last success. */
    size_t failures() const { return m_failedJobs.size(); }
    const std::string& reason() const { return m_reason; }
    TimePoint nextTrial() const { return m_nextTrial; }

private:
    AgentLimits m_limits;
    Health m_health = Health::Good;
    std::string m_reason; ///< Why the quarantine began; kept until it ends.
    std::unordered_set<JobKey> m_failedJobs; ///< Since the last success.
    Milliseconds m_pause {};
    TimePoint m_nextTrial {};
};

/** State of one agent. Every change is a command with the time in it. Belongs to the control thread. */
class AgentCore {
public:
    AgentCore(Incarnation self, AgentLimits limits);

    /** The entry accepted this agent's Hello. */
    void entryLinked(LinkId link, const wire::WelcomeT& welcome, TimePoint now);
    void linkClosed(LinkId link, TimePoint now);
    /** A message from an entry. */
    void receive(LinkId link, const wire::BodyUnion& body, TimePoint now);

    /** The backend server announced itself or renewed. */
    void backendAnnounced(uint32_t slots, TimePoint now);
    /** The backend server has left or its announcement has lapsed; running tasks go on. */
    void backendLeft(const std::string& reason, TimePoint now);
    /** A call to the backend server has ended. */
    void backendFinished(const TaskKey& task, BackendResult result, TimePoint now);
    /** Takes no more work, for good or until resume. */
    void drain(TimePoint now);
    void resume(TimePoint now);

    /** Time passes: silence, stalls, trials, retention. */
    void tick(TimePoint now);

    std::vector<Effect> takeEffects() { return m_effects.take(); }
    uint32_t running() const { return m_running; }
    uint32_t slots() const { return m_slots; }
    bool isDraining() const { return m_isDraining; }
    const HealthGate& health() const { return m_health; }
    size_t links() const { return m_links.size(); }
    /** The link to an entry, if there is one. */
    std::optional<LinkId> linkOf(Incarnation entry) const;
    size_t records() const { return m_jobs.size(); }
    /** Newest configuration seen on a start. */
    Revision newestRevision() const { return Revision(m_newestRevision); }

private:
    struct EntryLink {
        Incarnation entry {};
        uint32_t grants = 0;
        uint32_t pendingRecall = 0; ///< Grants asked back.
        uint32_t running = 0;
        Microseconds oldestWait {};
        uint32_t backlog = 0; ///< Waiting tasks there, less those granted since.
        TimePoint lastHeard {};
        TimePoint lastSent {};
        TimePoint unacknowledgedSince {}; ///< First answer since the entry was last heard; zero if there is none.
        Milliseconds heartbeatInterval {}; ///< Longest quiet time that the entry promises.
    };

    struct TaskRecord {
        wire::Outcome outcome = wire::Outcome::Running;
        Attempt attempt {};
        std::string reason;
        std::string body;
        Microseconds run {};
        TimePoint started {};
        Milliseconds declaredRunTime {};
    };

    struct JobRecord {
        std::map<TaskIndex, TaskRecord> tasks;
        uint16_t taskCount = 0;
        uint32_t running = 0;
        bool isAbandoned = false; ///< Its home has failed it.
        bool isReported = false; ///< A recoverer knows what this agent knew.
        std::set<LinkId> recoverers; ///< Asked while tasks were running.
        TimePoint expires {};
    };

    bool isOpen() const { return m_slots > 0 && !m_isDraining && m_health.health() == Health::Good; }
    uint32_t usableSlots() const;
    uint32_t freeSlots() const;
    std::optional<std::string> refusal(LinkId link, const wire::StartT& start, const TaskKey& task, TimePoint now);
    void onStart(LinkId link, const wire::StartT& start, TimePoint now);
    void onQuery(LinkId link, const wire::QueryT& query, TimePoint now);
    void onRecover(LinkId link, const wire::RecoverT& message, TimePoint now);
    void onAbandon(LinkId link, const wire::AbandonT& message, TimePoint now);
    void onReturn(LinkId link, const wire::ReturnT& message, TimePoint now);
    void updateBacklog(EntryLink& link, const std::unique_ptr<wire::Backlog>& backlog);
    void sendRecovered(LinkId link, const JobKey& key, JobRecord& job);
    wire::AnswerT answerOf(const TaskKey& task, const TaskRecord& record) const;
    void sendAnswer(const TaskKey& task, const TaskRecord& record, TimePoint now);
    LinkId chooseLinkForSlot(LinkId home) const;
    void distributeGrants(TimePoint now);
    void offerToAll(TimePoint now);
    void offer(LinkId link, uint32_t grants, bool trial, TimePoint now);
    /** Asks for grants back so that an entry without any gets its share. */
    void recallExcessGrants();
    void recallGrantsFor(LinkId needy, TimePoint now);
    void withdraw(const std::string& reason, TimePoint now);
    void extendRetention(const JobKey& key, JobRecord& job, TimePoint now);
    void recordOutcome(const TaskKey& task, const TaskRecord& record, TimePoint now);
    void tickLinks(TimePoint now);
    void tickStalls(TimePoint now);
    void tickTrial(TimePoint now);

    Incarnation m_self;
    AgentLimits m_limits;
    HealthGate m_health;
    uint32_t m_slots = 0;
    uint32_t m_running = 0;
    uint32_t m_granted = 0; ///< Sum over the links.
    bool m_isDraining = false;
    TimePoint m_trialOffered {};
    uint64_t m_newestRevision = 0;
    TimePoint m_newestRevisionSince {};
    std::map<LinkId, EntryLink> m_links;
    std::unordered_map<JobKey, JobRecord> m_jobs;
    std::unordered_set<TaskKey> m_runningTasks;
    std::unordered_map<Incarnation, TimePoint> m_fenced; ///< Ended entries, and until when that is kept.
    std::set<std::pair<TimePoint, JobKey>> m_expiries;
    EffectList m_effects;
};

} // namespace sequoia
