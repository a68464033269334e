/** @file RunGate.h The deterministic state of an agent that gives out room: the only authority on its backend server.
 */
#pragma once

#include <sequoia/AgentCore.h>
#include <sequoia/Metrics.h>
#include <sequoia/Resources.h>
#include <sequoia/SpeedModel.h>
#include <sequoia/Work.h>

#include <array>
#include <map>
#include <set>

namespace sequoia {

/** Bounds of a run gate. */
struct RunGateLimits {
    Milliseconds lease { 700 }; ///< Runs end by themselves this long after the last renewal reached the server.
    Milliseconds pollWait { 150 }; ///< The server answers a look at the latest after this time.
    Milliseconds pollTimeout { 120 }; ///< Added to `lookWait`; then the look counts as lost.
    Milliseconds startTimeout { 50 }; ///< A start without an answer is fenced off after this time.
    Milliseconds stopTimeout { 100 }; ///< A stop without an answer is sent again after this time.
    double clockDriftMargin = 0.03; ///< The server's clock is at most 2% slow; from the deployment.
    Milliseconds ownerTimeout { 500 }; ///< Runs of an entry that is silent this long are stopped.
    Milliseconds relinkGrace { 300 }; ///< An entry whose link broke has this long to link again.
    Milliseconds heartbeatInterval { 100 }; ///< Longest quiet time on a link with runs.
    Milliseconds idleHeartbeatInterval { 800 }; ///< Longest quiet time on a link without.
    Milliseconds idleLinkTimeout { 2000 }; ///< A link without runs that is silent this long is closed.
    Milliseconds reservationTime { 5 }; ///< Room is kept for an entry that waits: a round trip to it, and its turn.
    Milliseconds updatePeriod { 40 }; ///< An entry hears of changed room at most this often.
    Milliseconds resultRetention { 10000 }; ///< Ends of runs are remembered for entries that link again.
    Milliseconds maxLease { 1050 }; ///< No lease of an earlier process lives longer; from the deployment.
    Milliseconds suspensionThreshold { 400 }; ///< A pause of the process this long means that it was suspended.
    Milliseconds summaryPeriod { 5000 }; ///< The state is logged this often.
    AgentLimits health { .quarantinePause = Milliseconds(300),
        .quarantinePauseMax = Milliseconds(1200) }; ///< Quarantine of a server that fails what it starts.
};

/** What a backend server says of itself. */
struct ServerReport {
    std::string instance; ///< Its id; kept over restarts on some platforms.
    int64_t startedMs = 0; ///< Start of this life, ms since 1970.
    std::string service;
    Resources total;
    std::vector<std::string> labels;
    bool isDraining = false;
    uint64_t sequence = 0; ///< Grows within a life; tells late reports.
};

/** How a start went. */
enum class StartOutcome : uint8_t {
    Started,
    RunTooLow, ///< A run with this number or a higher one has been there.
    Expired, ///< The lease had ended when it arrived.
    NoRoom,
    Unhealthy, ///< The server refuses work; it did nothing.
    OtherIncarnation, ///< Another life of the server answered; it did nothing.
    Invalid, ///< The server calls the order malformed.
    Unreachable, ///< No connection; nothing was sent.
    NoAnswer ///< It may be carried out now or later.
};

/** One run as the server lists it. */
struct ListedRun {
    RunId id;
};

/** How a listed run ended. */
enum class EndKind : uint8_t { Done, Failed, Stopped, Lapsed };

/** One end as the server lists it. */
struct ListedEnd {
    uint64_t number = 0; ///< Grows by one with each end of a life.
    RunId id;
    EndKind kind = EndKind::Failed;
};

/** What a look at the server showed. */
struct Listing {
    int64_t startedMs = 0; ///< Life of the server.
    std::optional<Milliseconds> clock; ///< Time on the server's own clock, which grows through a life.
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

/** How a look went. */
enum class PollOutcome : uint8_t {
    Listed,
    Refused, ///< Nobody listens there: the server's process has ended.
    StaleFence, ///< The server has seen a higher fence; only the clock is told.
    NoAnswer
};

/** Start a run on the server. */
struct StartRun {
    RunId id;
    std::string payload;
    std::string instance;
    int64_t fence = 0; ///< The server does nothing for a call with a lower fence than it has seen.
    Milliseconds lease {}; ///< From now.
    Milliseconds timeout {};
};
/** Stop a run; one that is not there will never start. */
struct StopRun {
    RunId id;
    std::string instance;
    int64_t fence = 0;
    Milliseconds timeout {};
};
/** Renew the lease, forget ends, and list. */
struct PollServer {
    uint64_t number = 0; ///< Of the look.
    int64_t fence = 0;
    Milliseconds lease {};
    Milliseconds wait {}; ///< The server answers at the latest after this time, earlier with a new end.
    Milliseconds timeout {};
    uint64_t seenUpTo = 0; ///< Ends up to this number may be forgotten.
};

using GateEffect = std::variant<SendMessage, CloseLink, StartRun, StopRun, PollServer, RecordEvent>;

/** Counters of a run gate. */
struct RunGateCounters {
    uint64_t orders = 0;
    std::map<wire::Refusal, uint64_t> refusals; ///< Orders refused at the gate.
    uint64_t done = 0;
    uint64_t failed = 0;
    uint64_t stopped = 0;
    uint64_t lost = 0;
    uint64_t unansweredStarts = 0; ///< Starts without an answer.
    uint64_t polls = 0;
    uint64_t incarnations = 0; ///< Lives of the server that were seen.
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
 * State of one agent. Every change is a command with the time in it; the time must count suspensions of the process.
 * Not thread-safe: it belongs to the control thread.
 */
class RunGate {
public:
    RunGate(Incarnation self, RunGateLimits limits);

    /** The server announced itself. False if the report is older than one already taken. */
    bool serverAnnounced(const ServerReport& report, TimePoint now);
    /** The server said that it ends. */
    void serverLeft(const std::string& instance, TimePoint now);

    void startAnswered(const RunId& id, StartOutcome outcome, TimePoint now);
    void stopAnswered(const RunId& id, bool isAnswered, TimePoint now);
    void pollAnswered(uint64_t number, PollOutcome outcome, const Listing& listing, TimePoint now);

    void entryLinked(LinkId link, const wire::WelcomeT& welcome, TimePoint now);
    void linkClosed(LinkId link, TimePoint now);
    void receive(LinkId link, const wire::BodyUnion& body, TimePoint now);

    /** Takes no more runs; those that run end. */
    void drain(TimePoint now);
    void tick(TimePoint now);

    /** Whether nothing of before this process can still run on the server, so that entries may be told of it. */
    bool isRecovered() const { return m_isRecovered; }
    size_t runs() const { return m_runs.size(); }
    Resources used() const { return m_used; }
    Resources total() const { return m_server ? m_server->total : Resources(); }
    /** Run time over the expected time. */
    double slowness(TimePoint now) const { return m_speed.slowness(now); }
    wire::GateState state(TimePoint now) const;
    std::string closedReason(TimePoint now) const;
    const HealthGate& health() const { return m_health; }
    const RunGateCounters& counters() const { return m_counters; }
    /** Times from orders to ends, by outcome. */
    const LabelledHistograms& runSeconds() const { return m_runSeconds; }
    /** Times from orders to the server's replies. */
    const LabelledHistograms& startSeconds() const { return m_startSeconds; }
    std::vector<GateEffect> takeEffects();

private:
    enum class RunState : uint8_t {
        Starting, ///< Sent to the server, not answered.
        Running,
        Fencing, ///< No answer to its start: it is over once a stop is answered.
        Stopping ///< Being stopped; it takes room until its end is listed.
    };

    struct Run {
        RunState state = RunState::Starting;
        Resources resources;
        Incarnation owner {}; ///< Entry that ordered it; zero if unknown.
        Milliseconds estimate {};
        TimePoint ordered {};
        TimePoint started {}; ///< When its start was answered.
        uint64_t firstConclusivePoll
            = 0; ///< A look of this number or a later one lists it, or it is over; 0 if unknown.
        TimePoint nextStop {};
        bool isListed = false; ///< It was seen running.
        bool isSample = false; ///< Its run time tells the server's speed; one run of a job does.
        bool isStuck = false; ///< It has taken much longer than expected.
    };

    /** How a run ended, for owners that link again. */
    struct EndedRun {
        wire::RunOutcome outcome {};
        std::string reason;
        TimePoint expires {};
    };

    struct EntryLink {
        Incarnation entry {};
        TimePoint lastHeard {};
        TimePoint lastSent {};
        uint32_t ordersSeen = 0;
        size_t runs = 0;
        uint32_t demandTasks = 0;
        Resources demandResources; ///< Smallest room that its waiting work can use.
        uint8_t demandBand = 0; ///< Of its first waiting job.
        uint32_t demandPriority = 0;
        TimePoint demandDue {}; ///< Latest start of its first waiting job.
        TimePoint demandUntil {};
        Resources reserved; ///< Room kept for it.
        TimePoint reservedUntil {};
        TimePoint lastUpdate {};
        Resources lastFree; ///< As told to it.
    };

    void detectSuspension(TimePoint now);
    bool isListingFresh(TimePoint now) const;
    Resources freeResources() const;
    Resources freeFor(const EntryLink& link, TimePoint now) const;
    void onOrder(LinkId link, const wire::RunOrderT& order, TimePoint now);
    wire::Refusal refusalOf(EntryLink& link, const RunId& id, const wire::RunOrderT& order, TimePoint now) const;
    void onStops(LinkId link, const std::vector<wire::RunId>& ids, TimePoint now);
    void onQuery(LinkId link, const std::vector<wire::RunId>& ids, TimePoint now);
    void stopRun(const RunId& id, Run& run, TimePoint now);
    void endRun(
        const RunId& id, wire::RunOutcome outcome, wire::Refusal refusal, const std::string& reason, TimePoint now);
    void endAll(const std::string& reason, TimePoint now);
    void reserveFreed(std::optional<LinkId> told, TimePoint now);
    void processEnds(const Listing& listing, TimePoint now);
    void processRunning(uint64_t number, const Listing& listing, TimePoint now);
    /** Writes the room that an entry may count on, and the server's speed, into a message to it. */
    template <typename Message> void fillResources(Message& message, EntryLink& link, TimePoint now);
    void sendResult(LinkId link, const RunId& id, wire::RunOutcome outcome, wire::Refusal refusal,
        const std::string& reason, Microseconds run, TimePoint now);
    void sendReport(LinkId link, TimePoint now);
    void sendReports(TimePoint now);
    void sendUpdate(LinkId link, EntryLink& entry, TimePoint now);
    /** Whether a run is the first one of its job that is ordered here. */
    bool selectSample(WorkId job);
    void updateSpeedEstimate(Run& run, TimePoint now);
    void startIncarnation(int64_t born, TimePoint now);
    void poll(Milliseconds wait, TimePoint now);
    /** All calls from now on carry this fence. */
    void setFence(int64_t fence);
    /** Takes a fence of `least` or more for all further calls, and looks again. */
    void raiseFence(int64_t least, TimePoint now);
    void tickLinks(TimePoint now);
    void tickOwners(TimePoint now);
    void tickStops(TimePoint now);
    void tickHealth(TimePoint now);
    void recordSummary(TimePoint now);
    /** Key under which the health gate counts failures of a job. */
    static JobKey healthKey(const RunId& id);
    std::optional<LinkId> linkOf(Incarnation entry) const;
    void recordRun(
        LogLevel level, std::string_view kind, const RunId& id, const Run& run, std::string reason, TimePoint now);
    template <typename Message> void send(LinkId link, Message message, TimePoint now)
    {
        m_effects.send(link, std::move(message));
        m_links.at(link).lastSent = now;
        ++m_counters.messagesSent;
    }

    Incarnation m_self;
    RunGateLimits m_limits;
    HealthGate m_health;
    EffectListOf<GateEffect> m_effects;
    RunGateCounters m_counters;
    LabelledHistograms m_runSeconds;
    LabelledHistograms m_startSeconds;
    std::optional<ServerReport> m_server;
    int64_t m_serverStartedMs = 0; ///< Life of the server that runs belong to; 0 until it is known.
    bool m_isServerGone = false; ///< Nobody listens at its address.
    bool m_isDraining = false; ///< This agent is.
    bool m_isRecovered = false;
    std::optional<TimePoint> m_oldLeasesEnd; ///< Leases of before this process have ended by then.
    std::map<RunId, Run> m_runs;
    std::map<RunId, EndedRun> m_endedRuns;
    std::set<RunId> m_unknownRuns; ///< Listed runs that nobody here ordered.
    Resources m_used;
    std::map<LinkId, EntryLink> m_links;
    std::map<Incarnation, TimePoint> m_lostOwners; ///< Entries with runs and without a link, and since when.
    SpeedModel m_speed;
    std::array<WorkId, 8> m_sampledJobs {}; ///< Jobs of which a run was sampled, the latest ones.
    size_t m_nextSampled = 0;
    uint64_t m_pollNumber = 0;
    int64_t m_fence = 0; ///< Calls of an earlier process of this agent carry a lower one; 0 until the clock is known.
    uint64_t m_fencedFromPoll = 0; ///< Look from which on the fence was sent.
    std::set<uint64_t> m_pendingPolls; ///< Sent, not answered.
    bool m_isPollLost = false; ///< The last look had no answer: leases are not renewed until one has.
    TimePoint m_nextPoll {};
    TimePoint m_lastPoll {}; ///< Sent.
    TimePoint m_lastListed {};
    TimePoint m_leaseEnds {}; ///< No run lives longer without a further renewal.
    uint64_t m_seenUpTo = 0;
    TimePoint m_nextSummary {};
    TimePoint m_lastTick {};
    wire::GateState m_reportedState = wire::GateState::Closed;
};

} // namespace sequoia
