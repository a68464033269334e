/** @file Dispatcher.h The deterministic state of an entry that places jobs by room: jobs, queue, agents, runs. */
#pragma once

#include <sequoia/Effects.h>
#include <sequoia/EstimateModel.h>
#include <sequoia/JobTrace.h>
#include <sequoia/LoadModel.h>
#include <sequoia/ResubmissionDetector.h>
#include <sequoia/TaskPlacement.h>
#include <sequoia/Work.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace sequoia {

/** Bounds of a dispatcher. */
struct DispatcherLimits {
    Milliseconds linkSilence { 400 }; ///< A link with runs that is silent this long is replaced.
    Milliseconds heartbeatInterval { 100 }; ///< Longest quiet time on a link with runs.
    Milliseconds idleHeartbeatInterval { 800 }; ///< Longest quiet time on a link without.
    Milliseconds idleLinkTimeout { 2000 }; ///< A link without runs that is silent this long is replaced.
    Milliseconds runLapse { 1250 }; ///< Runs at an agent that is out of reach this long are over; see RunGateLimits.
    Milliseconds demandPeriod { 40 }; ///< Waiting work is told to an agent this often.
    Milliseconds settleTime {
        1500
    }; ///< After the first command; agents are found meanwhile, and nothing is refused for load.
    Milliseconds summaryPeriod { 5000 }; ///< The state is logged this often.
    size_t maxOpenJobs = 4000;
    size_t maxQueuedTasks = 40000;
    uint64_t traceSampleInterval = 64; ///< Of so many jobs that went well, the decisions about one are logged.
    size_t backfillDepth = 24; ///< Jobs behind a job without room that are tried.
    double stragglerFactor = 2; ///< A run is stopped and repeated elsewhere after this many times its expected time.
    Milliseconds runNumberRetention { 20000 }; ///< Run numbers of ended jobs are remembered for this time.
    Milliseconds stragglerMargin { 40 }; ///< Added to the expected time before a run counts as stuck.
    ResubmissionDetectorLimits resubmission; ///< How repeated requests are told from first ones.
};

/** Give an answer to a caller. */
struct AnswerCaller {
    WaiterId waiter {};
    WorkId job {};
    WorkAnswer answer;
};

using DispatchEffect = std::variant<SendMessage, CloseLink, AnswerCaller, RecordEvent>;

/** Counters of a dispatcher. */
struct DispatcherCounters {
    uint64_t jobs = 0;
    std::map<std::pair<WorkStatus, std::string_view>, uint64_t> answers; ///< By status and reason.
    uint64_t callersGone = 0;
    uint64_t resubmittedJobs = 0; ///< Jobs whose caller is taken to have waited before.
    uint64_t orders = 0; ///< Runs ordered.
    std::map<wire::Refusal, uint64_t> refusals; ///< Orders that an agent refused.
    uint64_t failedRuns = 0;
    uint64_t lostRuns = 0; ///< Runs whose end was not seen.
    uint64_t stragglers = 0; ///< Runs stopped because they took too long.
    uint64_t demands = 0;
    uint64_t resourceUpdates = 0; ///< Reports of room that agents sent by themselves.
    uint64_t messagesSent = 0;
    uint64_t messagesReceived = 0;

    /** Jobs with an answer of this status. */
    uint64_t answered(WorkStatus status) const;
    uint64_t refusedOrders() const;
};

/** An agent as this entry sees it. */
struct AgentView {
    std::string name;
    std::string service;
    std::string failureDomain;
    std::vector<std::string> labels;
    Incarnation incarnation {};
    LinkId link {};
    bool isLinked = false;
    bool isPreferred = true; ///< See AgentShares.h.
    wire::GateState state = wire::GateState::Closed;
    Resources total;
    Resources free; ///< What the agent said last less what was ordered since.
    uint32_t ordersSent = 0; ///< On this link.
    std::deque<std::pair<uint32_t, Resources>>
        unacknowledgedOrders; ///< Orders that `free` does not allow for at the agent yet.
    double slowness = 1.0;
    double slownessSpread = 0; ///< Deviation of the logarithm of the slowness from the truth.
    int64_t serverStartedMs = 0; ///< Start of the backend server's life, ms since 1970.
    uint32_t slownessSamples = 0; ///< Jobs behind the slowness.
    TimePoint freeReportedAt {}; ///< When `free` was last heard.
    TimePoint lastHeard {};
    TimePoint lastSent {};
    TimePoint unlinkedAt {}; ///< When the link ended.
    TimePoint lastSuccess {}; ///< When a run there last succeeded.
    TimePoint nextDemand {};
    std::unordered_set<RunId> runs; ///< Ordered, end not heard of.

    /** Whether it takes runs of a service now. */
    bool acceptsRunsOf(const std::string& name) const
    {
        return isLinked && state != wire::GateState::Closed && service == name;
    }
    /** Whether it has a label; an empty one stands for any. */
    bool hasLabel(const std::string& label) const
    {
        return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
    }
};

/** Behaviour that the dispatcher gets from its owner. */
struct DispatcherHooks {
    PlacementHook place;
    AdmitHook admit;
};

/**
 * State of one entry. Every change is a command with the time in it; the same commands give the same effects.
 * Not thread-safe: it belongs to the control thread.
 */
class Dispatcher {
public:
    Dispatcher(DispatcherLimits limits, TaskPlacementLimits policy, DispatcherHooks hooks);

    /** Takes a job, refuses it, or joins the open one of the same id. `budget` is how long the caller waits. */
    void submit(WorkSpec spec, RoutePolicy route, Milliseconds budget, WaiterId waiter, TimePoint now);
    /** The caller of a job has gone; without other callers the job ends. */
    void callerGone(WorkId job, WaiterId waiter, TimePoint now);

    /** Refuses new jobs from now on; the open ones go on. */
    void stop() { m_isStopping = true; }
    /** Answers every open job, since the process ends. */
    void answerAllJobs(TimePoint now);
    /** Whether a job has no answer yet. */
    bool isOpen(WorkId job) const { return m_jobs.contains(job); }
    /** Ends a job for its caller; false if there is none. */
    bool cancel(WorkId job, TimePoint now);
    /** Jobs of a route of which nothing was ordered yet. */
    size_t waitingJobs(const std::string& route) const;

    /** An agent said Hello on a link. */
    void agentLinked(LinkId link, const wire::HelloT& hello, TimePoint now);
    void linkClosed(LinkId link, TimePoint now);
    /** A message of an agent. */
    void receive(LinkId link, const wire::BodyUnion& body, TimePoint now);

    /** Entries that share the agents, this one among them, and its position in their common order. */
    void setEntries(size_t entries, size_t position);
    /** What traffic has taught this entry. */
    Learned learned() const;
    /** Takes what was learned before this process started, or by other entries. */
    void restore(const Learned& learned);
    /** What is known of the speed of an agent's server. */
    LearnedSpeed speedOf(const std::string& agent) const;
    /** Time passes: silence, lapses, stragglers, jobs that have become worthless. */
    void tick(TimePoint now);

    std::vector<DispatchEffect> takeEffects();
    const DispatcherCounters& counters() const { return m_counters; }
    const std::vector<AgentView>& agents() const { return m_agents; }
    size_t openJobs() const { return m_jobs.size(); }
    size_t queuedTasks() const { return m_queuedTasks; }
    size_t linkedAgents() const;

private:
    enum class TaskState : uint8_t { Blocked, Ready, Ordered, Done };

    struct Task {
        TaskState state = TaskState::Blocked;
        RunNumber run {}; ///< Its latest run.
        uint32_t failures = 0;
        uint32_t refusals = 0;
        size_t agent = 0; ///< Where its latest run was ordered.
        TimePoint orderedAt {};
        bool isStopping = false;
        uint32_t stragglerStops = 0; ///< Runs stopped because they took too long; each doubles the time allowed.
        std::vector<size_t> avoidedAgents; ///< Agents where a run failed, was lost or got stuck.
    };

    struct Step {
        std::vector<Task> tasks;
        std::vector<uint32_t> ready; ///< Positions of ready tasks.
        size_t done = 0;
        Milliseconds expected { 0 }; ///< Run time of a task at slowness 1; zero if unknown.
        Microseconds maxRunTime { 0 }; ///< Of the tasks that are done, brought to slowness 1.
        Microseconds totalRunTime { 0 };
    };

    /** Order of jobs: those with runs, those that can meet their objective, late ones, stale ones; then by latest
     * start. */
    struct QueueKey {
        uint8_t band = 0;
        uint32_t priority = 0;
        TimePoint latestStart {};
        WorkId job {};
        auto operator<=>(const QueueKey&) const = default;
    };

    struct Job {
        WorkSpec spec;
        RoutePolicy route;
        std::vector<WaiterId> waiters;
        TimePoint arrival {}; ///< Of its first request, as far as that is known.
        Milliseconds waitedBefore { 0 }; ///< Part of its age that its caller is taken to have waited before.
        TimePoint deadline {}; ///< Its callers leave.
        std::vector<Step> steps;
        std::vector<Milliseconds>
            criticalPaths; ///< By step: longest chain of expected times from its start to the job's end.
        size_t tasksLeft = 0;
        bool isLate = false; ///< It waits behind all that can be in time.
        uint32_t orders = 0;
        uint32_t refusals = 0;
        uint32_t failures = 0;
        TimePoint firstOrderAt {};
        std::optional<QueueKey> queueKey;
        JobTrace trace;
        RunNumber firstRun { 1 }; ///< Numbers start here; above those of an earlier job of the same id.
    };

    /** Fills a new job in: its tasks, expected times and first steps. */
    void initializeJob(Job& job, WorkSpec spec, RoutePolicy route, Milliseconds budget, TimePoint now);
    /** Why a new job can't be taken; empty if it can. */
    std::string_view rejectionReason(const Job& job) const;
    /** Whether an agent that is linked could ever run a task of a step. */
    bool couldRun(const Job& job, size_t step, const AgentView& agent) const;
    std::optional<size_t> agentOf(LinkId link) const;
    /** Chooses the agents that this entry orders from first. */
    void updatePreferredAgents();
    Job* findJob(WorkId id);
    QueuedJob queuedJob(const Job& job, TimePoint now) const;
    /** Work of the tasks of a job that wait. */
    static double waitingWork(const Job& job);
    /** What an entry knows of its load, but for what goes before a given job. */
    LoadView loadView(TimePoint now) const;
    LoadView loadBefore(const QueueKey& key, TimePoint now) const;
    /** Moves jobs back that can no longer be in time, and refuses those that have become worthless. */
    void reviewQueue(TimePoint now);
    /** Slowness of the agents that take work, weighted by their room. */
    double meanSlowness() const;
    QueueKey keyOf(const Job& job, TimePoint now) const;
    void makeReady(Job& job, size_t step);
    void requeue(Job& job, TimePoint now);
    void removeFromQueue(Job& job);
    void dispatchQueued(TimePoint now);
    bool placeJob(Job& job, TimePoint now);
    bool placeStep(Job& job, size_t step, TimePoint now);
    std::vector<size_t> eligibleAgents(const Job& job, size_t step) const;
    static int64_t maxTasksAt(const Job& job, size_t step, size_t agent);
    void sendRunOrder(Job& job, size_t step, uint32_t index, size_t agent, TimePoint now);
    /** Takes what a message tells of room and speed. */
    template <typename Message> static void updateResources(AgentView& agent, const Message& message, TimePoint now);
    void sendDemands(TimePoint now);
    void onReport(size_t agent, const wire::RoomReportT& report, TimePoint now);
    void onResult(size_t agent, const wire::RunResultT& result, TimePoint now);
    void runEnded(Job& job, const RunId& id, size_t agent, const wire::RunResultT& result, TimePoint now);
    void taskDone(Job& job, size_t step, Task& task, Microseconds ran, TimePoint now);
    /** Tells the model of run times what the tasks of a job took. */
    void learnRunTimes(const Job& job);
    void retryTask(Job& job, const RunId& id, Task& task, TimePoint now);
    void finish(WorkId id, WorkAnswer answer, TimePoint now);
    /** Time from its arrival in which a job should be answered. */
    static Microseconds objectiveOf(const Job& job);
    /** Runs of a job that have not ended, with their agents, times and estimates, for the log. */
    std::string unfinishedText(const Job& job, TimePoint now) const;
    void stopRuns(Job& job, TimePoint now);
    /** Notes what became of a run in the job's trace. */
    static void traceRun(
        std::string_view kind, Job& job, const RunId& id, const AgentView& agent, std::string reason, TimePoint now);
    void sendStop(size_t agent, const std::vector<RunId>& ids, TimePoint now);
    void markRunsLost(size_t agent, std::string_view cause, TimePoint now);
    void tickLinks(TimePoint now);
    void tickQueue(TimePoint now);
    void tickStragglers(TimePoint now);
    /** Longest time that a task of a step has shown to take at slowness 1, as far as other servers tell. */
    Microseconds observedRunTime(const Job& job, size_t step, const Task& task, TimePoint now) const;
    /** Whether a run has taken too long, and another server could still do it in time. */
    bool isStraggler(const Job& job, size_t step, const Task& task, TimePoint now) const;
    void recordSummary(TimePoint now);
    template <typename Message> void send(AgentView& agent, Message message, TimePoint now)
    {
        m_effects.send(agent.link, std::move(message));
        agent.lastSent = now;
        ++m_counters.messagesSent;
    }

    DispatcherLimits m_limits;
    TaskPlacementLimits m_placementLimits;
    DispatcherHooks m_hooks;
    EffectListOf<DispatchEffect> m_effects;
    DispatcherCounters m_counters;
    EstimateModel m_estimates;
    LoadModel m_load;
    ResubmissionDetector m_resubmissions;
    std::map<std::string, LearnedSpeed> m_restoredSpeeds; ///< By agent, from before this process.
    double m_meanSlowness = 1; ///< Of the agents on the whole, by their room.
    std::unordered_map<WorkId, Job> m_jobs;
    std::set<QueueKey> m_queue; ///< Jobs with ready tasks.
    std::vector<AgentView> m_agents; ///< Positions are never reused.
    std::unordered_map<std::string, size_t> m_agentByName;
    std::map<LinkId, size_t> m_agentByLink;

    /** Run numbers of an ended job; a job of the same id goes on above them. */
    struct EndedJob {
        RunNumber highestRun {};
        TimePoint expires {};
    };
    std::unordered_map<WorkId, EndedJob> m_endedJobs;
    TimePoint m_nextSummary {};
    TimePoint m_lastTick {};
    TimePoint m_settledAt {}; ///< When the agents count as known.
    size_t m_queuedTasks = 0;
    size_t m_entryCount = 1;
    size_t m_entryPosition = 0; ///< Of this entry among them.
    bool m_isPreferenceStale = false; ///< Agents or entries have come or gone since agents were preferred.
    bool m_isStopping = false;
    uint64_t m_salt = 0;
};

} // namespace sequoia
