/** @file RunGate.h Deterministic state machine of an agent that admits runs to its backend server: the only process
 * that starts and stops runs there. */
#pragma once

#include <sequoia/AgentCore.h>
#include <sequoia/CallTimeModel.h>
#include <sequoia/CrashRecords.h>
#include <sequoia/Evacuations.h>
#include <sequoia/Metrics.h>
#include <sequoia/PriorityShares.h>
#include <sequoia/Resources.h>
#include <sequoia/RunProgress.h>
#include <sequoia/SpeedModel.h>
#include <sequoia/Work.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>

namespace sequoia {

/** Time-outs, periods and limits of a run gate. */
struct RunGateLimits {
    Milliseconds lease { 700 }; ///< The server ends runs by itself this long after it received the last renewal.
    Milliseconds pollWait { 150 }; ///< The server answers a poll at the latest after this time.
    Milliseconds pollTimeout { 120 }; ///< Added to `pollWait`; after both, the poll counts as lost.
    Milliseconds refusedPollInterval { 20 }; ///< Interval of polls while the server refuses connections.
    /** If a greater share of calls gets lost, several polls wait at the same time: one that is lost would otherwise
     * hide the ends of runs until its time-out. */
    double maxLostCallShare = 0.02;
    size_t pollsWhileCallsGetLost = 2; ///< Number of polls that wait at the same time then.
    Milliseconds startTimeout { 50 }; ///< Longest time-out of a start call; usually shorter, see CallTimeModel.h.
    /** A start call without an answer is repeated until it has been sent this often; the run is then fenced. */
    uint32_t maxStartCalls = 3;
    Milliseconds stopTimeout { 100 }; ///< Time-out of a stop call; the call is then repeated.
    /** Share added to a lease before the agent takes it as ended; deployments guarantee that server clocks are at most
     * 2% slow. */
    double clockDriftMargin = 0.03;
    /** A link with runs is closed if its entry has answered no message that was sent in this time. */
    Milliseconds ownerTimeout { 500 };
    /** Runs of an entry whose link was closed are stopped unless it links again within this time. */
    Milliseconds relinkGrace { 300 };
    /** Entries take runs at an agent for over this long after they have lost their link to it; see DispatcherLimits.
     * This and `resendDelay` hold for entries that don't tell theirs in Welcome. */
    Milliseconds runLapse { 1250 };
    Milliseconds resendDelay { 1300 }; ///< Callers send a job again this long after their connection has broken.
    /** Runs are over this long before their tasks may be started elsewhere: clocks of VMs don't go at the same rate. */
    Milliseconds boundMargin { 100 };
    Milliseconds heartbeatInterval { 100 }; ///< Longest time without a message to an entry with runs.
    /** Longest time without a message to an entry without runs. An order answers a message that may be as old as this,
     * and the lease of its run counts from there. */
    Milliseconds idleHeartbeatInterval { 400 };
    /** How long freed resources stay reserved for a waiting entry: a round trip to it, and its time to schedule. */
    Milliseconds reservationTime { 5 };
    /** Shortest time between updates of free resources to an entry; longer with many entries. A reservation for the
     * entry is reported at once. */
    Milliseconds updatePeriod { 40 };
    Milliseconds crashRetention { 60000 }; ///< How long crashes of the server are told to entries that link.
    /** A crash is blamed on this many jobs, those whose runs were started last: most crashes follow soon on a start. */
    size_t latestJobs = 3;
    /** A suspect isn't started beside a run of another job that was ordered within this time, as a crash soon after
     * couldn't be told to be of one or the other. */
    Milliseconds suspectDistance { 30 };
    size_t maxCrashes = 32; ///< At most this many crashes are remembered.
    Milliseconds resultRetention { 10000 }; ///< How long results of runs are kept for entries that link again.
    /** Longest lease that an earlier process of this agent may have granted; set by the deployment. */
    Milliseconds maxLease { 1050 };
    /** Reports of a server whose sequence numbers rise for this long below that of an earlier one replace it. */
    Milliseconds lowerReportsTime { 3000 };
    Milliseconds suspensionThreshold { 400 }; ///< A process that did nothing for this long was suspended.
    Milliseconds summaryPeriod { 5000 }; ///< Interval of the summary in the log.
    /** Quarantine of a server whose runs fail. */
    AgentLimits health { .quarantinePause = Milliseconds(300), .quarantinePauseMax = Milliseconds(1200) };
    RunProgressLimits progress; ///< When runs count as stuck, and their server as slow.
    PriorityShareLimits shares; ///< What is kept for other priorities than that of an order.
    /** Nothing is kept with fewer linked entries. A few entries see most of the load, so that the order of their queues
     * is enough, and what is kept costs capacity. */
    size_t sharesMinEntries = 0;

    /** A run has to be over this long after this agent sent the last message that the run's owner has answered: then
     * the owner, which had the link when it received that message, or an entry that gets the job again may start its
     * task elsewhere. */
    Milliseconds ownerBound() const { return std::min(runLapse, resendDelay) - boundMargin; }
    /** The shortest `runLapse` and `resendDelay` that leave time to stop the runs of a lost owner, and then a lease. */
    Milliseconds shortestLapse() const
    {
        return ownerTimeout + relinkGrace + toMilliseconds(minLease() * (1 + clockDriftMargin)) + boundMargin;
    }
    /** The same for the message that a stop of its owner answers; the owner may have had to link again to send the
     * stop. */
    Milliseconds stopBound() const { return resendDelay - relinkGrace - boundMargin; }
    /** A run that starts under a shorter lease could end before its next renewal. */
    Milliseconds minLease() const { return std::min(lease, pollWait + pollTimeout); }
};

/** What a backend server announces about itself. */
struct ServerReport {
    std::string instance; ///< Id of the server; some platforms keep it over restarts.
    int64_t startedMs = 0; ///< Start of the server's process, ms since 1970; identifies its incarnation.
    std::string service;
    Resources total;
    std::vector<std::string> labels;
    bool isDraining = false;
    uint64_t sequence = 0; ///< Grows within an incarnation; a report that arrives late is recognised by it.
};

/** Result of a start call. */
enum class StartOutcome : uint8_t {
    Started,
    RunTooLow, ///< The server has seen this run number of the task, or a higher one.
    Expired, ///< The lease had ended when the call arrived.
    NoRoom,
    Unhealthy, ///< The server refuses work; nothing was started.
    OtherIncarnation, ///< Another incarnation of the server answered; nothing was started.
    Invalid, ///< The server found the call malformed.
    Unreachable, ///< No connection; nothing was sent.
    NoAnswer ///< The run may have started, or may start later.
};

/** A run in progress in a server's listing. */
struct ListedRun {
    RunId id;
    std::optional<uint32_t> percent {}; ///< How much of its task is done, 0 to 100; empty if the server doesn't tell.
};

/** How a run in a server's listing ended; `Lapsed` is an ended lease. */
enum class EndKind : uint8_t { Done, Failed, Stopped, Lapsed };

/** An ended run in a server's listing. */
struct ListedEnd {
    uint64_t number = 0; ///< Counts the ends of one incarnation of the server, from 1.
    RunId id;
    EndKind kind = EndKind::Failed;
};

/** Answer to a poll of the server. */
struct Listing {
    int64_t startedMs = 0; ///< Incarnation of the server that answered.
    std::optional<Milliseconds> clock; ///< Reading of the server's own clock, which is monotonic within an incarnation.
    std::vector<ListedRun> running;
    /** Rows of runs in progress that can't be read, by the text of what they have of task and run. Such a row may be
     * any run, so that a run that isn't in `running` may be there. */
    std::vector<std::string> unreadableRunning;
    std::vector<ListedEnd> ended;
    size_t unreadableEnded = 0; ///< Rows of ended runs that can't be read.
};

/** Result of a poll. */
enum class PollOutcome : uint8_t {
    Listed,
    Refused, ///< Connection refused and no other open: the server's process has ended.
    StaleFence, ///< The server has seen a higher fence; its listing holds the clock only.
    OtherInstance, ///< The server has another id than the one that the poll was meant for.
    NoAnswer
};

/** Effect: start a run on the server. */
struct StartRun {
    RunId id;
    std::string payload;
    std::string instance;
    int64_t serverStartedMs = 0; ///< Start time of the server's process that the run is meant for, ms since 1970.
    int64_t fence = 0; ///< Fencing token; the server ignores a call with a lower one than it has seen.
    /** End of the lease, by this agent's clock, which goes on while the process is suspended. */
    TimePoint leaseEnd {};
    Milliseconds timeout {};
};
/** Effect: stop a run; a run that the server doesn't have is kept from starting later. */
struct StopRun {
    RunId id;
    std::string instance;
    int64_t fence = 0;
    Milliseconds timeout {};
};
/** Effect: renew the lease of all runs, acknowledge ends, and list the runs. */
struct PollServer {
    uint64_t number = 0; ///< Sequence number of the poll.
    int64_t fence = 0;
    std::optional<TimePoint> leaseEnd; ///< As for StartRun; empty if the lease isn't renewed.
    Milliseconds wait {}; ///< The server answers after this time, or earlier if a run ends.
    Milliseconds timeout {};
    uint64_t seenUpTo = 0; ///< The server may drop the ends up to this number.
    std::string instance {}; ///< Id of the server that it is meant for; empty for any.
};

using GateEffect = std::variant<SendMessage, CloseLink, StartRun, StopRun, PollServer, RecordEvent>;

/** Counters of a run gate, for the metrics. */
struct RunGateCounters {
    uint64_t orders = 0;
    std::map<wire::Refusal, uint64_t> refusals; ///< Orders that the agent refused without a call to the server.
    /** Those of them, by priority, that would have fitted without what is kept for other priorities. */
    std::map<uint32_t, uint64_t> refusalsForKept;
    uint64_t done = 0;
    uint64_t failed = 0;
    uint64_t stopped = 0;
    uint64_t lost = 0;
    uint64_t repeatedStarts = 0; ///< Start calls that were sent again.
    uint64_t unansweredStarts = 0; ///< Start calls without an answer.
    uint64_t crashes = 0; ///< Crashes of the server with runs on it.
    uint64_t evacuations = 0; ///< Evacuations of the agent's failure domain.
    uint64_t polls = 0;
    uint64_t incarnations = 0; ///< Incarnations of the server that were seen.
    uint64_t refutedServerEnds = 0; ///< Ends of the server's process that a later listing of that process refuted.
    std::map<std::string, uint64_t> outlivedRuns; ///< Runs that were listed after their end, by the reason of the end.
    std::map<std::string, uint64_t> stuckRuns; ///< Runs held against the server as stuck or slow, by the reason.
    uint64_t longRuns = 0; ///< Runs that take long because of their task, on a server at its usual speed.
    uint64_t progressReports = 0; ///< Runs that take long, as entries were told.
    uint64_t messagesSent = 0;

    /** Orders refused, for any reason. */
    uint64_t refused() const
    {
        uint64_t sum = 0;
        for (const auto& [reason, count] : refusals)
            sum += count;
        return sum;
    }
};

/**
 * State of one agent. Each command takes the present time, from a clock that goes on while the process is suspended;
 * results are effects, to be carried out by the caller. Not thread-safe: only the control thread uses it.
 */
class RunGate {
public:
    /** `startedAt` is the VM's time, from which the fence begins: higher than that of the agent's process before. */
    RunGate(Incarnation self, RunGateLimits limits, std::chrono::system_clock::time_point startedAt,
        std::string failureDomain = {});

    /** The server announced itself. Returns false if the report is older than one that was processed before. */
    bool serverAnnounced(const ServerReport& report, TimePoint now);
    /** The server announced that its process ends. */
    void serverLeft(const std::string& instance, TimePoint now);

    void startAnswered(const RunId& id, StartOutcome outcome, TimePoint now);
    void stopAnswered(const RunId& id, bool isAnswered, TimePoint now);
    void pollAnswered(uint64_t number, PollOutcome outcome, const Listing& listing, TimePoint now);

    /** An entry has answered Hello. `agentTime` is that of the frame, also in `receive`: zero from entries that send
     * none. */
    void entryLinked(LinkId link, const wire::WelcomeT& welcome, TimePoint agentTime, TimePoint now);
    void linkClosed(LinkId link, TimePoint now);
    void receive(LinkId link, const wire::BodyUnion& body, TimePoint agentTime, TimePoint now);

    /** Refuses further runs; the present ones go on to their end. */
    void drain(TimePoint now);
    void tick(TimePoint now);

    /** Whether no run of an earlier process of this agent can still be on the server. The agent links to entries only
     * then, as they take its new incarnation as proof of this. */
    bool isRecovered() const { return m_isRecovered; }
    size_t runs() const { return m_runs.size(); }
    Resources used() const { return m_used; }
    Resources total() const { return m_server ? m_server->total : Resources(); }
    /** Processors that are kept from runs of each priority for those of others. */
    std::vector<KeptCpu> kept(TimePoint now) const;
    /** Ratio of actual to expected run times. */
    double slowness(TimePoint now) const { return m_speed.slowness(now); }
    wire::GateState state(TimePoint now) const;
    std::string closedReason(TimePoint now) const;
    /** Whether the agent's failure domain is evacuated, as far as entries have told. */
    bool isEvacuated() const { return m_evacuations.contains(m_failureDomain); }
    const Evacuations& evacuations() const { return m_evacuations; }
    const HealthGate& health() const { return m_health; }
    const RunGateCounters& counters() const { return m_counters; }
    /** Times from the order to the end of runs, by outcome. */
    const LabelledHistograms& runSeconds() const { return m_runSeconds; }
    /** Times from the order to the server's answer to the start call. */
    const LabelledHistograms& startSeconds() const { return m_startSeconds; }
    std::vector<GateEffect> takeEffects();

private:
    enum class RunState : uint8_t {
        Starting, ///< The start call was sent and isn't answered.
        Running,
        /** The start call wasn't answered, or was overtaken by a stop. The run may still start until the server answers
         * a stop call, so that a listing without the run doesn't show yet that it is over. */
        Fencing,
        Stopping ///< Being stopped; it holds its resources until a listing shows its end.
    };

    /** Progress of a run as its owner was told. */
    struct ToldProgress {
        TimePoint end {}; ///< Predicted end.
        Milliseconds work {};
        bool isStuck = false;
    };

    /** Run time of a run that takes long for an unknown cause. */
    struct SpeedSample {
        Milliseconds expected {};
        Microseconds ran {};
    };

    struct Run {
        RunState state = RunState::Starting;
        Resources resources;
        uint32_t priority = 0;
        std::string payload; ///< For another start call; empty once one was answered.
        int64_t serverStartedMs = 0; ///< Incarnation of the server that it was ordered for, or that has listed it.
        uint32_t startCalls = 0;
        std::string instance; ///< The id that its start calls carry. A stop has to carry it, too: see onOrder.
        std::string route;
        uint64_t startNumber = 0; ///< Counts the orders that were accepted.
        TimePoint suspectUntil {}; ///< Until then it is suspected to crash the server; see CrashRecords.h.
        TimePoint startCalled {}; ///< When the last start call was sent.
        Incarnation owner {}; ///< Entry that ordered the run; zero if unknown.
        /** Other entries that have asked for its end, as its job was submitted to them. They get its result, too. */
        std::vector<Incarnation> successors;
        bool isOrphaned = false; ///< Its caller or its owner has gone; entries that link are told.
        Milliseconds estimate {};
        TimePoint ordered {};
        TimePoint started {}; ///< When the start call was answered; zero before.
        /** The run is over if this poll or a later one doesn't list it; 0 until the number is known. */
        uint64_t firstConclusivePoll = 0;
        TimePoint nextStop {};
        /** When its owner was last confirmed to have a link, if that one was not replaced. */
        TimePoint ownerConfirmed {};
        TimePoint overBy = TimePoint::max(); ///< Its task may be started elsewhere from then on.
        bool isListed = false; ///< A listing has shown it running.
        bool isSample = false; ///< Its run time is a sample for `m_speed`; only one run of a job is.
        bool isStuck = false; ///< It has taken much longer than expected, which was reported to `m_health`.
        RunProgress progress;
        bool isOverdue = false; ///< It makes progress, but takes longer than a run without progress may.
        SlowCause cause = SlowCause::Unknown; ///< Why it takes long, once that is known.
        std::optional<ToldProgress> told; ///< What its owner was told on its present link.

        /** Whether a start call without an answer may still arrive at the server. */
        bool mayStartLate() const { return started == TimePoint() || startCalls > 1; }
    };

    /** Result of an ended run, kept for an owner that links again. */
    struct EndedRun {
        wire::RunOutcome outcome {};
        wire::Refusal refusal {};
        std::string reason;
        TimePoint expires {};
        uint64_t lastPoll = 0; ///< The last poll that was sent before the end; the listing of a later one refutes it.
        int64_t endListedBy = 0; ///< Incarnation of the server that listed the end; zero if none did.
    };

    /** A row of a run in progress that can't be read. */
    struct UnreadableRun {
        TimePoint overBy {}; ///< No lease is granted beyond.
        /** First poll that was sent when all leases had ended: a row in its answer is no run of this agent. */
        uint64_t firstPollWithoutLease = 0; ///< 0 until it was sent.
        bool isDisproved = false; ///< It was listed without a lease: it is no run.
    };

    struct EntryLink {
        Incarnation entry {};
        TimePoint lastHeard {};
        /** When this agent sent the latest message that the entry has answered: the entry had the link then, whatever
         * the time that messages take. */
        TimePoint confirmed {};
        Milliseconds ownerBound {}; ///< RunGateLimits::ownerBound with the figures of this entry.
        bool hasAgentTimes = false; ///< The entry sends them; otherwise `confirmed` is `lastHeard`.
        bool takesRelays = false; ///< The entry knows RelayedOrphans, unlike earlier releases.
        TimePoint lastSent {};
        uint32_t ordersSeen = 0;
        size_t runs = 0;
        TimePoint busySince {}; ///< When it got its first run; until then its entry may answer rarely.
        uint32_t demandTasks = 0;
        Resources demandResources; ///< Smallest amount that its waiting tasks can use.
        uint8_t demandBand = 0; ///< Priority band of its first waiting job.
        uint32_t demandPriority = 0; ///< Of that job within its band.
        uint32_t demandRoutePriority = 0; ///< Of its route.
        TimePoint demandDue {}; ///< Latest start of its first waiting job that meets the deadline.
        TimePoint demandUntil {};
        Resources reserved; ///< Freed resources that are reserved for it.
        TimePoint reservedUntil {};
        TimePoint lastUpdate {};
        Resources lastFree; ///< Free resources in the last message to it.
        std::vector<KeptCpu> lastKept; ///< What was kept of them, as in the same message.
    };

    /** An entry with runs and without a link. */
    struct LostOwner {
        TimePoint unlinkedAt {};
        TimePoint confirmed {}; ///< As for its link.
        Milliseconds ownerBound {};
    };

    void detectSuspension(TimePoint now);
    static void confirm(EntryLink& link, TimePoint agentTime, TimePoint now);
    /** The entry may have given up its runs and orders on this link. */
    bool isSilent(const EntryLink& link, TimePoint now) const;
    void closeSilentLink(LinkId link, TimePoint now);
    bool isListingFresh(TimePoint now) const;
    /** Resources that the runs may take together. */
    Resources capacity() const;
    /** The part of it that may be used; less than all of it while runs fail. */
    Resources usableResources() const;
    Resources freeResources() const;
    /** Resources that an entry may use; none at all while any of them is overcommitted. */
    Resources freeFor(const EntryLink& link, TimePoint now) const;
    /** The same for tasks of a priority: less what is kept for other ones. */
    Resources freeFor(const EntryLink& link, uint32_t priority, TimePoint now) const;
    /** Nothing is kept with few entries, nor while many calls of the server get lost: the runs of these calls hold
     * resources until they are known to be over, so that the recent use doesn't tell what a priority needs. */
    bool areSharesKept() const;
    int64_t keptFrom(uint32_t priority, TimePoint now) const;
    /** The priority that an order or a demand tells. One of an entry of an earlier release, which doesn't tell it,
     * counts as most urgent: nothing but the floor of the others is kept from it. */
    uint32_t priorityOf(const flatbuffers::Optional<uint32_t>& priority) const;
    /** Whether what is kept has changed by more than `cpu` from that in the last message on a link. */
    static bool isKeptChanged(const EntryLink& link, const std::vector<KeptCpu>& kept, int64_t cpu);
    void onOrder(LinkId link, const wire::RunOrderT& order, TimePoint now);
    /** Whether the server is of the service, and has the label, that an order names. */
    bool isSuitable(const wire::RunOrderT& order) const;
    wire::Refusal refusalOf(EntryLink& link, const RunId& id, const wire::RunOrderT& order, TimePoint now) const;
    /** The run of a task that is on the server, at most one. */
    std::map<RunId, Run>::const_iterator activeRunOf(const TaskId& task) const;
    void recordRefusal(const EntryLink& link, const RunId& id, wire::Refusal refusal, uint32_t priority, TimePoint now);
    /** Sends a start call; the server ignores a repeated one if it has the run, or had it. */
    void callStart(const RunId& id, Run& run, TimePoint now);
    void onStops(LinkId link, const wire::RunStopT& message, TimePoint now);
    void onQuery(LinkId link, const std::vector<RunId>& ids, TimePoint now);
    /** An entry tells which failure domains are evacuated. */
    void onEvacuations(LinkId link, const wire::EvacuationsT& message, TimePoint now);
    void stopRun(const RunId& id, Run& run, TimePoint now);
    /** An entry that didn't order a run asks for its end. */
    void addSuccessor(Run& run, EntryLink& link, TimePoint now);
    /** Tells an entry of orphaned runs. */
    void sendOrphans(LinkId link, const std::vector<RunId>& ids, TimePoint now);
    /** Tells all entries but the one on `except`. */
    void sendOrphansToOthers(const std::vector<RunId>& ids, std::optional<LinkId> except, TimePoint now);
    /** Passes on what an entry tells the other ones of its runs. */
    void relayOrphans(LinkId from, const wire::RelayedOrphansT& message, TimePoint now);
    /** Stops a run that a start call may have started; it is over once a stop was answered and a poll shows no run. */
    void fenceRun(const RunId& id, Run& run, TimePoint now);
    void endRun(
        const RunId& id, wire::RunOutcome outcome, wire::Refusal refusal, const std::string& reason, TimePoint now);
    void endAll(const std::string& reason, TimePoint now);
    /** The server's process has ended: tells all entries which runs were there, unless it was told to leave. */
    void recordCrash(std::vector<CrashedRun> runs, TimePoint now);
    /** Runs that were ordered before the connection to the server broke, and which jobs of them were ordered last. */
    std::vector<CrashedRun> crashedRuns(TimePoint now) const;
    /** Tells an entry that has linked of the crashes before. */
    void sendCrashes(LinkId link, TimePoint now);
    wire::ServerCrashT crashMessage(const ServerCrash& crash, TimePoint when, TimePoint now) const;
    /** The job of the suspects on the server; empty if there are none. */
    std::optional<WorkId> suspectedJob(TimePoint now) const;
    /** Whether a run of the job can't start because of suspects of another job, or as a suspect beside a run that has
     * just been ordered. */
    bool isBlockedBySuspects(WorkId job, bool isSuspect, TimePoint now) const;
    /** Reserves free resources for waiting entries, the most urgent first, and informs them; the one on `resultLink` is
     * informed by the result that is sent to it next. */
    void reserveFreed(std::optional<LinkId> resultLink, TimePoint now);
    /** The server's process has ended; ends the runs whose start can't reach the next one. */
    void processEnded(TimePoint now);
    void processEnds(const Listing& listing, TimePoint now);
    void processRunning(uint64_t number, const Listing& listing, TimePoint now);
    /** Follows the rows that can't be read in a listing that wasn't overtaken. */
    void processUnreadable(uint64_t number, const std::set<std::string>& rows, TimePoint now);
    /** Whether a run that isn't among the running ones of a listing with these unreadable rows isn't running. */
    bool provesAbsence(const std::set<std::string>& rows) const;
    /** Whether a row that can't be read may be a run. */
    bool hasUnreadableRuns() const;
    /** Tells unreadable rows with the same text apart. */
    static std::set<std::string> unreadableRows(const Listing& listing);
    /** Whether the server made a listing before one that was processed: replies on different connections may overtake
     * each other. */
    bool isOvertaken(const Listing& listing) const;
    /** Records a listed run that this process doesn't know, or has taken for over. */
    void recordUnknownRun(uint64_t number, const RunId& id);
    /** Writes the free resources for an entry, and the server's slowness, into a message to it. */
    template <typename Message> void fillResources(Message& message, EntryLink& link, TimePoint now);
    void sendResult(LinkId link, const RunId& id, wire::RunOutcome outcome, wire::Refusal refusal,
        const std::string& reason, Microseconds runTime, TimePoint now, RunNumber activeRun = {});
    void sendReport(LinkId link, TimePoint now);
    void sendReports(TimePoint now);
    void sendUpdate(LinkId id, EntryLink& link, TimePoint now);
    /** Returns true, and remembers the job, if no run of it was ordered here recently. */
    bool selectSample(WorkId job);
    /** Takes the time from the start of a run to `end` as a sample of the server's speed. */
    void updateSpeedEstimate(Run& run, TimePoint end, TimePoint now);
    /** Whether a report of the process in use is older than one that was accepted before. */
    bool isLate(const ServerReport& report, TimePoint now);
    /** Whether the report of a process other than the one in use replaces it at once; otherwise a listing decides. */
    bool acceptOtherProcess(const ServerReport& report);
    /** Uses the report of the process that answers polls, if another one is in use. */
    void selectReport(TimePoint now);
    /** Whether both claim to be of the same process, under different ids. A listing doesn't tell the id. */
    static bool isRival(const ServerReport& a, const ServerReport& b);
    /** The server has another id than the report in use: uses the other one of the same process. */
    void instanceRefused(const std::string& instance, TimePoint now);
    void useOtherReport(TimePoint now);
    /** Another process of the server has answered with this listing; it may have runs that were ordered before. */
    void startIncarnation(const Listing& listing, TimePoint now);
    /** The earliest time by which a run has to be over; no lease may last longer, as a lease holds for all runs. */
    TimePoint leaseLimit() const;
    /** The longest lease that a call may grant now if it has to end by `limit`. */
    Milliseconds grantableLease(TimePoint limit, TimePoint now) const;
    /** Returns the end of the lease for a call, and remembers it. */
    TimePoint grantLease(TimePoint now);
    /** Until a new process of the server has seen the fence, calls that were meant for the one before, whose clock was
     * another one, may give it the longest lease. */
    void extendLease(uint64_t number, TimePoint now);
    void poll(Milliseconds wait, TimePoint now, std::string instance = {});
    /** Number of polls that should wait at the same time, from the share of lost calls. */
    size_t waitingPollsWanted() const;
    /** Sends polls until as many wait as are wanted. */
    void sendWaitingPolls(TimePoint now);
    /** Updates the share of lost calls. */
    void recordCall(bool isAnswered);
    /** All further calls carry this fence. */
    void setFence(int64_t fence);
    /** The server has seen a higher fence: tries the next one for all further calls, and polls at once. */
    void raiseFence(TimePoint now);
    void tickLinks(TimePoint now);
    void tickOwners(TimePoint now);
    void tickStops(TimePoint now);
    void tickHealth(TimePoint now);
    RunTimes timesOf(const Run& run, double slowness, TimePoint now) const;
    /** What the other runs on the server, and its latest ones, show about a run that takes long. */
    SlowRunEvidence evidenceOn(const RunId& id, const Run& run, double slowness, TimePoint now) const;
    void recordNormalRun(const Run& run);
    /** Judges why a run that makes progress takes long: the server is blamed only if it is slow. */
    void judgeLongRun(const RunId& id, Run& run, double slowness, TimePoint now);
    /** Holds a run against the server that takes too long. */
    void recordStuck(const RunId& id, Run& run, const std::string& reason, TimePoint end, TimePoint now);
    /** Tells entries of their runs that take long and make progress, so that they don't stop them. */
    void reportProgress(TimePoint now);
    void recordSummary(TimePoint now);
    /** Key of a run's job in the health gate, which counts jobs with failures. */
    static JobKey healthKey(const RunId& id);
    std::optional<LinkId> linkOf(Incarnation entry) const;
    /** When the owner of a run was last confirmed to have a link to this agent; zero if that isn't known. */
    TimePoint confirmedOf(const Run& run) const;
    /** Whether the result of a run is to be sent to an entry. */
    static bool concerns(const Run& run, Incarnation entry);
    /** Returns the runs that lose their owner. */
    std::vector<RunId> removeLink(LinkId id, TimePoint now);
    void recordRun(
        LogLevel level, std::string_view kind, const RunId& id, const Run& run, std::string reason, TimePoint now);
    template <typename Message> void send(LinkId link, Message message, TimePoint now)
    {
        m_effects.send(link, std::move(message), now);
        m_links.at(link).lastSent = now;
        ++m_counters.messagesSent;
    }

    static constexpr int64_t maxFence = int64_t(1) << 52; // All JSON readers keep integers up to this exact.

    Incarnation m_self;
    RunGateLimits m_limits;
    std::string m_failureDomain;
    Evacuations m_evacuations; ///< The newest that any entry has told.
    Milliseconds m_stopBound; ///< RunGateLimits::stopBound with the shortest delay that an entry has told.
    HealthGate m_health;
    EffectListOf<GateEffect> m_effects;
    RunGateCounters m_counters;
    LabelledHistograms m_runSeconds;
    LabelledHistograms m_startSeconds;
    std::optional<ServerReport> m_server;
    std::optional<ServerReport> m_otherServer; ///< Last report of another process; at most one is kept.
    /** The last poll that was meant for one id. */
    struct InstanceProbe {
        uint64_t poll = 0;
        std::string instance;
    };
    InstanceProbe m_probe;
    /** Reports of the process in use that came after one with a higher sequence number. */
    struct LowerReports {
        uint64_t sequence = 0; ///< Of the last one.
        TimePoint since {}; ///< When the first of those that rise arrived; zero if there are none.
    };
    LowerReports m_lowerReports;
    /** What the runs took when the server refused another one for want of room; limits them until its next report. */
    std::optional<Resources> m_roomLimit;
    int64_t m_serverStartedMs = 0; ///< Incarnation of the server that the runs belong to; 0 until it is known.
    bool m_isServerGone = false; ///< It refused a connection, or announced its end, and hasn't answered since.
    bool m_isProcessEnded = false; ///< It refused a connection and hasn't answered since.
    bool m_isDraining = false; ///< This agent drains, not the server.
    bool m_isRecovered = false;
    std::optional<TimePoint> m_oldLeasesEnd; ///< By then all leases that an earlier process gave have ended.
    std::map<RunId, Run> m_runs;
    std::map<RunId, EndedRun> m_endedRuns;
    /** Crashes of the server, and when they were seen. */
    std::deque<std::pair<ServerCrash, TimePoint>> m_crashes;
    bool m_isCrashRecorded = false; ///< The end of the present server process was recorded.
    std::vector<CrashedRun> m_lapsedRuns; ///< Runs that were lost with their lease since the last listing.
    uint64_t m_lastStartNumber = 0;
    /** Runs in the last listing that this process didn't start, or has taken for over: when they have to be over. */
    std::map<RunId, TimePoint> m_unknownRuns;
    std::map<std::string, UnreadableRun> m_unreadableRuns; ///< Of the last listing.
    size_t m_unreadableEnded = 0; ///< Rows of ended runs in the last listing that can't be read.
    TimePoint m_unreadableEndListed {}; ///< When a listing last had one; zero if none did.
    Resources m_used; ///< Sum over `m_runs`.
    PriorityShares m_shares; ///< Use of the processors by priority.
    std::map<LinkId, EntryLink> m_links;
    std::map<Incarnation, LostOwner> m_lostOwners;
    SpeedModel m_speed;
    CallTimeModel m_callTime;
    bool m_listsPercent = false; ///< The present incarnation of the server tells how far its runs are.
    /** Jobs whose run took long for an unknown cause and has ended, since a run was normal. Several of them show that
     * the server is slow even if it has one run at a time. */
    std::map<WorkId, SpeedSample> m_unexplained;
    TimePoint m_lastNormalOrder {}; ///< When the latest run was ordered that took no longer than a normal one.
    std::array<WorkId, 8> m_sampledJobs {}; ///< Latest jobs of which a run was selected as a sample; a ring buffer.
    size_t m_nextSampled = 0;
    uint64_t m_pollNumber = 0;
    int64_t m_firstFence; ///< The VM's time at the start of this process, ms since 1970.
    int64_t m_fence; ///< Fence of all calls.
    int64_t m_startFence = 0; ///< Fence of the last start call.
    uint64_t m_fencedFromPoll = 0; ///< First poll that carries the fence.
    std::set<uint64_t> m_pendingPolls; ///< Polls without an answer yet.
    Milliseconds m_listedClock {}; ///< The server's clock in the newest listing of the present incarnation.
    /** The last poll that was sent before the latest listing of the present incarnation: another one that answers a
     * later poll has replaced it. */
    uint64_t m_sentBeforeListing = 0;
    uint64_t m_lastListedPoll = 0; ///< The latest poll that was answered with a listing.
    double m_lostCallShare = 0; ///< Share of start calls and polls without an answer, smoothed.
    /** When the first poll later than the last listed one got no answer since that listing; zero if none did. */
    TimePoint m_pollLostAt {};
    bool m_isPollLost = false; ///< The last poll had no answer: polls don't renew leases until one is answered.
    TimePoint m_nextPoll {};
    TimePoint m_lastPoll {}; ///< When the last poll was sent.
    TimePoint m_lastListed {}; ///< When the last listing arrived.
    bool m_mayHaveEarlierLease = false; ///< See extendLease.
    TimePoint m_leaseEnds {}; ///< All runs have ended by then unless their lease is renewed.
    uint64_t m_seenUpTo = 0; ///< Number of the last end that was processed.
    TimePoint m_nextSummary {};
    TimePoint m_lastTick {}; ///< Compared with the present time to detect a suspension.
    wire::GateState m_reportedState = wire::GateState::Closed; ///< Last state that was sent to entries.
};

} // namespace sequoia
