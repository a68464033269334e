/** @file AgentCore.h Deterministic state machine of an agent: slots, grants, at-most-once starts and the backend
 * server's health. */
#pragma once

#include <sequoia/Effects.h>

#include <map>
#include <unordered_map>
#include <unordered_set>

namespace sequoia {

/** Limits and time-outs of an agent core. */
struct AgentLimits {
    Milliseconds retention { 120000 }; ///< How long results and tombstones are kept.
    Milliseconds linkSilence { 1500 }; ///< A link this silent is closed if tasks run or an answer is unacknowledged.
    Milliseconds heartbeatInterval { 3000 }; ///< Shortest heartbeat interval; an entry may ask for a longer one.
    Milliseconds revisionGrace { 11000 }; ///< How long starts under an older configuration are accepted.
    uint32_t quarantineFailures = 3; ///< Consecutive failures, each of another job, that start a quarantine.
    Milliseconds quarantinePause { 1000 }; ///< Pause before the first trial.
    Milliseconds quarantinePauseMax { 4000 }; ///< Bounds the time until a recovered server is tried again.
    double stallFactor = 8; ///< A task that runs this many times its declared run time is stalled.
    Milliseconds stallMinimum { 8000 }; ///< No task is considered stalled before this run time.
};

/** Result of a call to the backend server. */
struct BackendResult {
    wire::Outcome outcome = wire::Outcome::Failed; ///< Succeeded, Failed or, if no connection was made, NotStarted.
    std::string reason;
    std::string body;
    Microseconds run {};
};

/** Health of the backend server as seen by its agent. */
enum class Health : uint8_t {
    Good,
    Quarantined, ///< No grants until the next trial.
    Trial ///< A single task is granted or running.
};

/** Circuit breaker: consecutive failures start a quarantine; single trials after growing pauses end it. */
class HealthGate {
public:
    explicit HealthGate(AgentLimits limits)
        : m_limits(limits)
    {
    }
    /** Records a success; true if that ends a quarantine. */
    bool recordSuccess();
    /** Records a failure; true if that starts or extends a quarantine. */
    bool recordFailure(const JobKey& job, const std::string& reason, TimePoint now);
    /** Starts or extends a quarantine for any reason, such as a stall. */
    void quarantine(const std::string& reason, TimePoint now);
    /** Begins a trial if one is due; true if it has begun. */
    bool beginTrial(TimePoint now);
    Health health() const { return m_health; }
    /** Number of jobs that failed since the last success. */
    size_t failures() const { return m_failedJobs.size(); }
    const std::string& reason() const { return m_reason; }
    TimePoint nextTrial() const { return m_nextTrial; }

private:
    AgentLimits m_limits;
    Health m_health = Health::Good;
    std::string m_reason; ///< Why the quarantine was started or extended; kept until it ends.
    std::unordered_set<JobKey> m_failedJobs; ///< Since the last success.
    Milliseconds m_pause {};
    TimePoint m_nextTrial {};
};

/** State of one agent. Every change is a command that carries the current time. Only the control thread may call it. */
class AgentCore {
public:
    AgentCore(Incarnation self, AgentLimits limits);

    /** Registers the link to an entry that accepted this agent's Hello. */
    void entryLinked(LinkId link, const wire::WelcomeT& welcome, TimePoint now);
    void linkClosed(LinkId link, TimePoint now);
    /** Handles a message from an entry. */
    void receive(LinkId link, const wire::BodyUnion& body, TimePoint now);

    /** The backend server announced itself, or renewed its announcement. */
    void backendAnnounced(uint32_t slots, TimePoint now);
    /** The backend server has left, or its announcement has expired; running tasks continue. */
    void backendLeft(const std::string& reason, TimePoint now);
    /** A call to the backend server has ended. */
    void backendFinished(const TaskKey& task, BackendResult result, TimePoint now);
    /** Withdraws all grants and refuses starts until resume(); running tasks continue. */
    void drain(TimePoint now);
    void resume(TimePoint now);

    /** Handles everything that is due: silent links, stalls, trials, expired records. */
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
    /** Newest configuration revision seen on a start. */
    Revision newestRevision() const { return Revision(m_newestRevision); }

private:
    struct EntryLink {
        Incarnation entry {};
        uint32_t grants = 0;
        uint32_t pendingRecall = 0; ///< Grants asked back and not returned yet.
        uint32_t running = 0;
        Microseconds oldestWait {};
        uint32_t backlog = 0; ///< Waiting tasks of the entry, less the slots granted to it since.
        TimePoint lastHeard {};
        TimePoint lastSent {};
        /** First answer that no message of the entry has followed; zero if there is none. */
        TimePoint unacknowledgedSince {};
        Milliseconds heartbeatInterval {}; ///< Heartbeat interval that the entry has announced.
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
        bool isAbandoned = false; ///< Its owner has failed the job.
        bool isReported = false; ///< This agent's results were sent to a recovering entry.
        std::set<LinkId> recoverers; ///< Entries that wait for the running tasks to end.
        TimePoint expires {};
    };

    bool isOpen() const { return m_slots > 0 && !m_isDraining && m_health.health() == Health::Good; }
    /** Slots less those suspended after failures. */
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
    /** Entry that gets a freed slot: the owner of the task that ended, unless another one has waited much longer. */
    LinkId chooseLinkForSlot(LinkId owner) const;
    void distributeGrants(TimePoint now);
    /** Tells all entries that this agent accepts work again, and distributes its slots. */
    void offerToAll(TimePoint now);
    void offer(LinkId link, uint32_t grants, bool trial, TimePoint now);
    /** Recalls grants above the fair share if an entry has neither grants nor running tasks. */
    void recallExcessGrants();
    /** Recalls grants from the entry that holds most of them, for an entry with a backlog and no grants. */
    void recallGrantsFor(LinkId requesterId, TimePoint now);
    void withdraw(const std::string& reason, TimePoint now);
    /** Restarts the retention period of a job record. */
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
    uint32_t m_granted = 0; ///< Sum of the grants of all links.
    bool m_isDraining = false;
    TimePoint m_trialOffered {};
    uint64_t m_newestRevision = 0;
    TimePoint m_newestRevisionSince {};
    std::map<LinkId, EntryLink> m_links;
    std::unordered_map<JobKey, JobRecord> m_jobs;
    std::unordered_set<TaskKey> m_runningTasks;
    std::unordered_map<Incarnation, TimePoint> m_fenced; ///< Entries fenced as ended, and when the fence expires.
    std::set<std::pair<TimePoint, JobKey>> m_expiries;
    EffectList m_effects;
};

} // namespace sequoia
