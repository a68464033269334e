/** @file EntryCore.h Deterministic state machine of an entry: sessions, jobs, queues, grants and recovery. */
#pragma once

#include <sequoia/Effects.h>
#include <sequoia/Placement.h>
#include <sequoia/TeamQueue.h>

#include <map>

namespace sequoia {

/** Limits and time-outs of an entry core. */
struct EntryLimits {
    size_t maxOpenJobs = 20000; ///< Jobs that have not been answered.
    size_t maxQueuedTasks = 200000;
    Milliseconds maxDeadline { 600000 };
    Milliseconds retention { 120000 }; ///< How long an answer is kept for resubmitted jobs.
    Milliseconds sessionIdleTimeout { 3600000 }; ///< A session without job records ends after this idle time.
    Milliseconds linkSilence { 1500 }; ///< A link with outstanding starts that is silent this long is replaced.
    Milliseconds heartbeatInterval { 3000 }; ///< Shortest heartbeat interval; see EntryCore::heartbeatInterval.
    Milliseconds agentLostTimeout { 6000 }; ///< The outcome of starts at an unlinked agent is unknown after this time.
    Milliseconds speedEstimateTtl { 2000 }; ///< How long the speed estimate of an agent without starts stays valid.
    uint32_t retryAttempts = 8; ///< Refused starts allowed for a job, in addition to one for each of its tasks.
};

/** Explains why the day plan does not allow a visit. */
struct VisitRefusal {
    std::string detail; ///< Explanation for the caller, with the new date if there is one.
};

/** Callbacks that the process provides to the core. */
struct EntryHooks {
    PlacementPolicy place;
    /** Checks a task against the day plan; empty if it may run today. */
    std::function<std::optional<VisitRefusal>(const JobSpec&, const TaskSpec&)> checkVisit;
    std::function<Revision()> revision; ///< Revision of the active configuration.
};

/** Errors of submit, poll, cancel and acknowledge. */
enum class EntryError : uint8_t {
    UnknownSession,
    ContentDiffers, ///< The job id was submitted before with different content.
    TooManyJobs,
    UnknownJob, ///< No job of this id was submitted; from acknowledge() also: not answered yet.
    Expired, ///< The record has been deleted: the outcome is unknown and the job is never started again.
    Acknowledged, ///< The caller has acknowledged the answer, which deleted it.
    Stopping ///< The entry is shutting down and accepts no new jobs.
};

/** Result of a command: empty on success, otherwise the reason of the refusal. */
using CommandResult = std::optional<EntryError>;

/** Counters of an entry core. */
struct EntryCounters {
    uint64_t starts = 0;
    uint64_t refusedStarts = 0;
    uint64_t answers = 0;
    uint64_t needs = 0; ///< Need messages sent.
    uint64_t returns = 0; ///< Return messages sent.
    uint64_t queries = 0; ///< Query and Recover messages sent.
    uint64_t abandons = 0; ///< Abandon messages sent.
    uint64_t heartbeatsSent = 0;
    uint64_t heartbeatsReceived = 0;
    uint64_t messagesReceived = 0;
    uint64_t messagesSent = 0;
    uint64_t jobsComplete = 0;
    uint64_t jobsFailed = 0;
    uint64_t jobsNotRun = 0;
    /** Messages sent and received, without heartbeats. */
    uint64_t messages() const { return messagesSent + messagesReceived - heartbeatsSent - heartbeatsReceived; }
    /** Overhead: messages that are neither an accepted start nor its answer, without heartbeats. */
    uint64_t wasted() const { return messages() - 2 * (starts - refusedStarts); }
};

/**
 * State of one entry. Every change is a command that carries the current time, so the same sequence of commands always
 * produces the same effects. Not thread-safe: only the control thread may call it.
 */
class EntryCore {
public:
    EntryCore(Incarnation self, EntryLimits limits, EntryHooks hooks);

    SessionNumber openSession(TimePoint now);
    /** Whether a session exists and accepts new jobs. */
    bool isOpen(SessionNumber session) const { return !m_isStopping && m_sessions.contains(session); }

    /** Submits a job, or joins the one with the same id. The waiter gets the answer by a DeliverAnswer effect. */
    CommandResult submit(JobSpec spec, WaiterId waiter, TimePoint now, CommandMode mode);
    /** Adds a waiter to a known job. */
    CommandResult poll(const JobKey& job, WaiterId waiter, TimePoint now);
    /** Fails a job: its waiting tasks are not started; running ones continue, but their results are ignored. */
    CommandResult cancel(const JobKey& job, TimePoint now, CommandMode mode);
    /** Deletes the answer of a job; its key is kept until the retention period ends. */
    CommandResult acknowledge(const JobKey& job, CommandMode mode);
    /** Removes a waiter whose request ended before the answer. */
    void dropWaiter(const JobKey& job, WaiterId waiter);

    /** Handles a message from an agent. */
    void receive(LinkId link, const wire::BodyUnion& body, TimePoint now);
    void linkClosed(LinkId link, TimePoint now);
    /** Registers the link to an agent whose Hello was accepted. */
    void agentLinked(LinkId link, const wire::HelloT& hello, TimePoint now);

    /** Fails jobs with a visit that the new day plan has moved, unless a task of the job may have run already. */
    void dayPlanChanged(TimePoint now);
    void setTeamPolicy(const std::string& team, TeamPolicy policy) { m_queue.setPolicy(team, policy); }

    /**
     * Recovers the answer of another entry's job, or of a forfeited own one, from the records of the agents; starts no
     * task. The waiter gets the answer as soon as the records determine it, or once all agents have replied. With
     * `isOwnerEnded` false the owner may still be running but unreachable; then only an answer that the owner must
     * reach as well is delivered.
     */
    void recover(const JobKey& job, bool isOwnerEnded, WaiterId waiter, TimePoint now);

    /** Refuses new jobs from now on; open jobs continue. */
    void stop() { m_isStopping = true; }
    bool isIdle() const { return m_openJobs == 0 && m_withheldAnswers.empty(); }

    /** Handles everything that is due: deadlines, retries, silent links, expired records. */
    void tick(TimePoint now);

    std::vector<Effect> takeEffects();
    const EntryCounters& counters() const { return m_counters; }
    const AgentTable& agents() const { return m_agents; }
    const TeamQueue& queue() const { return m_queue; }
    size_t openJobs() const { return m_openJobs; }
    size_t queuedTasks() const { return m_queuedTasks; }
    size_t records() const { return m_jobs.size(); }
    /** Heartbeat interval of a link; grows with the number of agents to keep all heartbeats within their budget. */
    Milliseconds heartbeatInterval() const;

private:
    enum class TaskState : uint8_t { Waiting, Started, Succeeded };

    struct Job {
        JobSpec spec;
        TimePoint deadline {};
        TimePoint virtualFinish {}; ///< Key in the team queue: time of arrival plus the declared work.
        TimePoint expires {}; ///< When the record is deleted.
        std::vector<TaskState> states;
        std::vector<Attempt> attempts; ///< By task: number of its latest start.
        std::vector<uint32_t> waiting; ///< Indices of waiting tasks, by declared run time, the longest last.
        std::vector<std::string> answers;
        size_t succeeded = 0;
        std::vector<AgentIndex> startedAgents; ///< Agents that were sent starts of the job; may repeat.
        std::set<AgentIndex> pendingAbandons; ///< Agents that have not confirmed the Abandon yet.
        bool isForfeited = false; ///< Another entry may have answered it by recovery, so this entry recovers it, too.
        bool isPublished = false; ///< The answer may be delivered.
        TimePoint publishAt {}; ///< When the answer is delivered even if confirmations are missing.
        size_t outstanding = 0; ///< Starts whose outcome is not known yet.
        size_t possibleRuns = 0; ///< Starts sent, less those proved not to have run.
        uint32_t refusals = 0;
        bool isQueued = false;
        bool isAcknowledged = false;
        TimePoint retryAt {}; ///< End of the back-off after a refused start; zero if there is none.
        JobAnswerPtr answer;
        std::vector<WaiterId> waiters;
    };

    struct Session {
        uint32_t expiredBelow = 0; ///< Jobs with a lower sequence number and no record have expired.
        size_t records = 0;
        TimePoint lastUsed {};
    };

    struct Recovery {
        bool isOwnerEnded = false; ///< The owner is known to have ended.
        std::set<AgentIndex> pending; ///< Agents whose reply is outstanding.
        std::map<TaskIndex, wire::AnswerT> found;
        size_t taskCount = 0; ///< Zero until an agent has reported it.
        JobAnswerPtr answer;
        std::vector<WaiterId> waiters;
        TimePoint expires {};
    };

    void finish(Job& job, JobAnswer answer, TimePoint now);
    /** Withholds the answer of a failed job until its agents have recorded the failure or agentLostTimeout has passed:
     * an entry that recovers the job must not get another answer from them. */
    void abandon(Job& job, TimePoint now);
    void sendAbandon(const JobKey& job, AgentIndex agent);
    void onAbandoned(Job& job, AgentIndex agent, bool isRefused, TimePoint now);
    /** Delivers the answer of a job; later requests get it at once. */
    void publishAnswer(Job& job);
    /** Frees the state of the tasks of an answered job once no start is outstanding. */
    void releaseTaskState(Job& job);
    void fail(Job& job, FailureReason reason, std::string detail, TimePoint now);
    void enqueue(Job& job);
    void dequeue(Job& job);
    /** Why a new job is not queued; empty if it is. */
    std::optional<FailureReason> refusalReason(const JobSpec& spec, std::string& detail) const;
    /** Estimated wait of a new job: the queued work divided by the recently usable slots. */
    Milliseconds expectedWait() const;
    void updateCapacity(TimePoint now);
    void dispatchQueued(TimePoint now);
    bool startNext(Job& job, TimePoint now);
    std::optional<AgentIndex> chooseAgent(const Job& job, TaskIndex task) const;
    void start(Job& job, TaskIndex task, AgentIndex agent, TimePoint now);
    wire::Backlog backlog(TimePoint now) const;
    Job* findJob(const JobKey& key);
    EntryError missingJobError(const JobKey& key) const;
    void expireSessions(TimePoint now);

    void onAnswer(AgentIndex agent, const wire::AnswerT& answer, TimePoint now);
    void queryOutstanding(AgentIndex agent);
    /** Ends an outstanding start, whatever its outcome. */
    void closeStart(AgentIndex agent, const TaskKey& task);
    Attempt attemptOf(const TaskKey& task) const;
    void onSucceeded(Job& job, TaskIndex task, const std::string& body, TimePoint now);
    void updateSpeedEstimate(AgentIndex agent, Microseconds run, Milliseconds declared);
    /** An agent rated slow gets no starts that would correct an outdated estimate, so the estimate expires. */
    void expireSpeedEstimate(AgentIndex agent, TimePoint now);
    void onNotStarted(Job& job, TaskIndex task, const std::string& reason, TimePoint now);
    void onState(AgentIndex agent, const wire::StateT& state, TimePoint now);
    void onRecall(AgentIndex agent, uint32_t requested, TimePoint now);
    void sendRecover(const JobKey& job, const Recovery& recovery, AgentIndex agent);
    void onRecovered(AgentIndex agent, const wire::RecoveredT& message, TimePoint now);
    void concludeRecovery(const JobKey& key, Recovery& recovery);
    /** Fails all jobs with outstanding starts at an agent, since their outcome is unknown. */
    void failOutstandingStarts(AgentIndex agent, const std::string& reason, TimePoint now);
    void requestGrants(TimePoint now);
    /** Requests a new link to an agent with outstanding starts, until agentLostTimeout has passed. */
    void tickUnlinkedAgent(AgentIndex agent, TimePoint now);
    void tickAgents(TimePoint now);
    void tickJobs(TimePoint now);
    void expireRecords(TimePoint now);

    Incarnation m_self;
    EntryLimits m_limits;
    EntryHooks m_hooks;
    uint64_t m_nextSession = 1;
    std::unordered_map<SessionNumber, Session> m_sessions;
    TimePoint m_lastSessionCheck {};
    bool m_isStopping = false;
    std::unordered_map<JobKey, Job> m_jobs;
    std::unordered_map<JobKey, Recovery> m_recoveries;
    std::set<std::pair<TimePoint, JobKey>> m_deadlines;
    /** Answered jobs whose answers are withheld, by publishAt; see abandon(). */
    std::set<std::pair<TimePoint, JobKey>> m_withheldAnswers;
    std::set<std::pair<TimePoint, JobKey>> m_retries;
    std::set<std::pair<TimePoint, JobKey>> m_expiries;
    std::set<std::pair<TimePoint, JobKey>> m_queuedByVirtualFinish; ///< Queued jobs by their virtual finish time.
    TeamQueue m_queue;
    AgentTable m_agents;
    size_t m_openJobs = 0;
    size_t m_queuedTasks = 0;
    double m_capacity = 0; ///< Recently usable slots; decays slowly, so that a lost link does not look like overload.
    TimePoint m_lastCapacityUpdate {};
    TimePoint m_lastAgentCheck {};
    TimePoint m_nextNeedSweep {}; ///< Earliest time of the next Need messages.
    Microseconds m_queuedWork {}; ///< Sum of the declared run times of the queued tasks.
    EntryCounters m_counters;
    EffectList m_effects;
};

} // namespace sequoia
