/** @file RunGateTest.cpp The gate of one backend server: what it starts, stops, believes and tells. */
#include <sequoia/RunGate.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace sequoia;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };
constexpr Incarnation self { 7 };
constexpr LinkId firstLink { 1 };
constexpr LinkId secondLink { 2 };

RunId runId(uint64_t job, uint32_t run = 1) { return { { WorkId(job), StepIndex(0), TaskIndex(0) }, RunNumber(run) }; }

/** A gate with its time, links and collected effects. */
class Fixture {
public:
    explicit Fixture(RunGateLimits limits = {}, std::optional<Milliseconds> clock = {})
        : limits(limits)
        , gate(self, limits)
    {
        announce();
        gate.tick(now);
        Listing first;
        first.clock = clock;
        answerPoll(first);
        for (const auto& [link, entry] : { std::pair(firstLink, 11), std::pair(secondLink, 12) })
            linkEntry(link, static_cast<uint64_t>(entry));
        collectEffects();
    }

    void announce(bool isDraining = false, int64_t born = 1)
    {
        ServerReport report;
        report.instance = "i-1";
        report.startedMs = born;
        report.service = "service";
        report.total = { 10000, 1000, 0 };
        report.isDraining = isDraining;
        report.sequence = ++sequence;
        gate.serverAnnounced(report, now);
    }

    void linkEntry(LinkId link, uint64_t entry)
    {
        wire::WelcomeT welcome;
        welcome.entry = "entry";
        welcome.incarnation = entry;
        gate.entryLinked(link, welcome, now);
    }

    /** Answers the newest look. */
    void answerPoll(Listing listing, PollOutcome outcome = PollOutcome::Listed)
    {
        collectEffects();
        if (listing.startedMs == 0)
            listing.startedMs = 1;
        gate.pollAnswered(lastPoll, outcome, listing, now);
        collectEffects();
    }

    /** Time passes with looks that show the given listing. */
    void advance(Milliseconds time, const Listing& listing = {})
    {
        for (const auto until = now + time; now < until;) {
            now += Milliseconds(20);
            sendHeartbeats();
            gate.tick(now);
            answerPoll(listing);
        }
    }

    /** Both entries show that they are there. */
    void sendHeartbeats()
    {
        wire::BodyUnion beat;
        beat.Set(wire::BeatT());
        gate.receive(firstLink, beat, now);
        gate.receive(secondLink, beat, now);
    }

    void order(
        LinkId link, const RunId& id, int64_t cpu = 4000, uint32_t maxPerServer = 0, uint64_t incarnation = raw(self))
    {
        wire::RunOrderT order;
        order.id = std::make_unique<wire::RunId>(toWire(id));
        order.agent_incarnation = incarnation;
        order.room = std::make_unique<wire::Room>(toWire(Resources { cpu, 64, 0 }));
        order.estimate_ms = 100;
        order.remaining_ms = 1000;
        order.max_per_server = maxPerServer;
        wire::BodyUnion body;
        body.Set(std::move(order));
        gate.receive(link, body, now);
        collectEffects();
    }

    void stop(LinkId link, const RunId& id)
    {
        wire::RunStopT stop;
        stop.ids.push_back(toWire(id));
        wire::BodyUnion body;
        body.Set(std::move(stop));
        gate.receive(link, body, now);
        collectEffects();
    }

    void query(LinkId link, const RunId& id)
    {
        wire::RunQueryT query;
        query.ids.push_back(toWire(id));
        wire::BodyUnion body;
        body.Set(std::move(query));
        gate.receive(link, body, now);
        collectEffects();
    }

    void answerStart(const RunId& id, StartOutcome outcome)
    {
        gate.startAnswered(id, outcome, now);
        collectEffects();
    }

    void collectEffects()
    {
        for (auto& effect : gate.takeEffects()) {
            if (auto* run = std::get_if<StartRun>(&effect)) {
                starts.push_back(run->id);
                lastStartFence = run->fence;
            } else if (auto* run = std::get_if<StopRun>(&effect))
                stops.push_back(run->id);
            else if (auto* look = std::get_if<PollServer>(&effect)) {
                lastPoll = look->number;
                lastLease = look->lease;
                lastSeenUpTo = look->seenUpTo;
                lastFence = look->fence;
            } else if (auto* close = std::get_if<CloseLink>(&effect))
                closed.push_back(close->link);
            else if (auto* send = std::get_if<SendMessage>(&effect))
                recordMessage(*send);
        }
    }

    /** The last result told of a run; empty if there was none. */
    std::optional<wire::RunOutcome> outcome(const RunId& id) const
    {
        const auto it = results.find(id);
        return it == results.end() ? std::nullopt : std::optional(it->second);
    }

    RunGateLimits limits;
    RunGate gate;
    TimePoint now = start;
    uint64_t sequence = 0;
    uint64_t lastPoll = 0;
    uint64_t lastSeenUpTo = 0;
    int64_t lastFence = 0;
    int64_t lastStartFence = 0;
    Milliseconds lastLease {};
    std::vector<RunId> starts;
    std::vector<RunId> stops;
    std::vector<LinkId> closed;
    std::map<RunId, wire::RunOutcome> results;
    std::map<RunId, wire::Refusal> refusals;
    std::map<LinkId, Resources> free;
    wire::GateState reportedState = wire::GateState::Closed;

private:
    void recordMessage(const SendMessage& send)
    {
        if (const auto* result = send.body.AsRunResult()) {
            results[fromWire(*result->id)] = result->outcome;
            refusals[fromWire(*result->id)] = result->refusal;
            free[send.link] = fromWire(result->free.get());
        } else if (const auto* report = send.body.AsRoomReport()) {
            reportedState = report->state;
            free[send.link] = fromWire(report->free.get());
        } else if (const auto* update = send.body.AsRoomUpdate())
            free[send.link] = fromWire(update->free.get());
    }
};

Listing listingOf(std::vector<RunId> running, std::vector<ListedEnd> ended = {})
{
    Listing listing;
    listing.startedMs = 1;
    for (const auto& id : running)
        listing.running.push_back({ id });
    listing.ended = std::move(ended);
    return listing;
}

} // namespace

Test(RunGate, restartedAgentFencesOrdersOfItsPredecessor)
{
    Fixture bench(RunGateLimits {}, Milliseconds(5000));
    cr_expect_gt(bench.lastFence, 5000, "higher than any that an earlier process read from the same clock");
    cr_expect_not(bench.gate.isRecovered(), "the first look carried no fence: orders of before may still arrive");
    cr_expect_eq(bench.lastLease.count(), 0, "runs of before are not prolonged");
    bench.answerPoll({});
    cr_expect(bench.gate.isRecovered());
    bench.order(firstLink, runId(1));
    cr_expect_eq(bench.lastStartFence, bench.lastFence, "starts carry it");
}

Test(RunGate, startsInFlightAreFencedWhenTheLeaseHasEnded)
{
    Fixture bench(RunGateLimits {}, Milliseconds(5000));
    bench.answerPoll({});
    bench.order(firstLink, runId(1));
    const auto fence = bench.lastStartFence;
    bench.answerStart(runId(1), StartOutcome::NoAnswer);
    for (int i = 0; i < 200; ++i) {
        bench.now += Milliseconds(20);
        bench.sendHeartbeats();
        bench.gate.tick(bench.now);
        bench.answerPoll({}, PollOutcome::NoAnswer);
    }
    cr_assert(bench.outcome(runId(1)) == wire::RunOutcome::Lost, "its task may run elsewhere now");
    cr_expect_gt(bench.lastFence, fence, "a look that renews the lease comes with a higher fence than the start");
}

Test(RunGate, recoversFromAFenceAheadOfTheServerClock)
{
    Fixture bench(RunGateLimits {}, Milliseconds(5000));
    constexpr int64_t seen = int64_t(1) << 40; // By an earlier process, from the clock of another life.
    int looks = 0;
    for (; bench.lastFence < seen && looks < 60; ++looks) {
        Listing refused;
        refused.clock = Milliseconds(5000 + looks);
        bench.answerPoll(refused, PollOutcome::StaleFence);
        bench.now += Milliseconds(1);
        bench.gate.tick(bench.now);
        bench.collectEffects();
    }
    cr_expect_lt(looks, 40, "%d looks", looks);
    cr_expect_not(bench.gate.isRecovered());
    bench.answerPoll({});
    cr_expect(bench.gate.isRecovered());
}

Test(RunGate, neverExceedsTheServersResources)
{
    Fixture bench;
    bench.order(firstLink, runId(1));
    bench.order(secondLink, runId(2));
    bench.order(firstLink, runId(3));
    cr_expect_eq(bench.starts.size(), 2U);
    cr_expect(bench.refusals[runId(3)] == wire::Refusal::NoRoom);
    // A run that is being stopped takes its room until its end is listed.
    bench.answerStart(runId(1), StartOutcome::Started);
    bench.stop(firstLink, runId(1));
    bench.gate.stopAnswered(runId(1), true, bench.now);
    bench.order(firstLink, runId(4));
    cr_expect_eq(bench.starts.size(), 2U);
    bench.answerPoll(listingOf({ runId(2) }, { { 1, runId(1), EndKind::Stopped } }));
    cr_expect(bench.outcome(runId(1)) == wire::RunOutcome::Stopped);
    bench.order(firstLink, runId(5));
    cr_expect_eq(bench.starts.size(), 3U);
}

Test(RunGate, unansweredStartEndsAfterAnAnsweredStopAndPoll)
{
    Fixture bench;
    bench.order(firstLink, runId(1));
    bench.answerStart(runId(1), StartOutcome::NoAnswer);
    cr_expect_eq(bench.stops.size(), 1U);
    cr_expect_not(bench.outcome(runId(1)).has_value(), "it may still start");
    bench.gate.stopAnswered(runId(1), false, bench.now);
    bench.now += Milliseconds(20);
    bench.gate.tick(bench.now);
    bench.collectEffects();
    cr_expect_eq(bench.stops.size(), 2U, "a lost stop is repeated");
    bench.gate.stopAnswered(runId(1), true, bench.now);
    bench.collectEffects();
    cr_expect_not(bench.outcome(runId(1)).has_value(), "the stop may have met a run that was just started");
    bench.answerPoll(listingOf({}));
    cr_expect(bench.outcome(runId(1)) == wire::RunOutcome::NotStarted);
    cr_expect_eq(bench.gate.used().cpu, 0);
}

Test(RunGate, unansweredStartThatRanReportsItsEnd)
{
    Fixture bench;
    bench.order(firstLink, runId(1));
    bench.answerStart(runId(1), StartOutcome::NoAnswer);
    bench.answerPoll(listingOf({}, { { 1, runId(1), EndKind::Done } }));
    cr_expect(bench.outcome(runId(1)) == wire::RunOutcome::Done);
}

Test(RunGate, taskRunsForOneEntryAtATime)
{
    Fixture bench;
    bench.order(firstLink, runId(1, 1));
    bench.order(secondLink, runId(1, 1));
    bench.order(secondLink, runId(1, 2));
    cr_expect_eq(bench.starts.size(), 1U);
    cr_expect(bench.refusals[runId(1, 2)] == wire::Refusal::Occupied);
}

Test(RunGate, orderThatArrivesAfterItsStopIsNotStarted)
{
    Fixture bench;
    bench.stop(firstLink, runId(1));
    cr_expect(bench.outcome(runId(1)) == wire::RunOutcome::Stopped);
    bench.order(firstLink, runId(1));
    cr_expect(bench.starts.empty());
}

Test(RunGate, queryOfAnUnknownRunFencesIt)
{
    Fixture bench;
    bench.query(firstLink, runId(1));
    cr_expect(bench.outcome(runId(1)) == wire::RunOutcome::NotStarted);
    bench.order(firstLink, runId(1));
    cr_expect(bench.starts.empty());
}

struct SilenceRow {
    char name[32];
    bool closes; ///< The link breaks, else it goes silent.
    bool relinks; ///< The entry links again at once.
    int waitMs;
    bool isStopped;
};

ParameterizedTestParameters(RunGate, runsOfLostEntriesAreStopped)
{
    static SilenceRow rows[] = {
        { "silent for a moment", false, false, 300, false },
        { "silent", false, false, 900, true },
        { "link broken for a moment", true, false, 200, false },
        { "link broken", true, false, 400, true },
        { "link broken and back", true, true, 400, false },
    };
    return cr_make_param_array(SilenceRow, rows, sizeof(rows) / sizeof(SilenceRow));
}

ParameterizedTest(SilenceRow* row, RunGate, runsOfLostEntriesAreStopped)
{
    Fixture bench;
    bench.order(firstLink, runId(1));
    bench.answerStart(runId(1), StartOutcome::Started);
    if (row->closes)
        bench.gate.linkClosed(firstLink, bench.now);
    if (row->relinks)
        bench.linkEntry(firstLink, 11);
    for (const auto until = bench.now + Milliseconds(row->waitMs); bench.now < until;) {
        bench.now += Milliseconds(20);
        if (row->relinks)
            bench.sendHeartbeats();
        bench.gate.tick(bench.now);
        bench.answerPoll(listingOf({ runId(1) }));
    }
    cr_expect_eq(!bench.stops.empty(), row->isStopped, "%s", row->name);
}

Test(RunGate, suspensionClosesLinksAndEndsRuns)
{
    Fixture bench;
    bench.order(firstLink, runId(1));
    bench.answerStart(runId(1), StartOutcome::Started);
    bench.now += Milliseconds(4000);
    bench.order(firstLink, runId(2)); // It waited in the connection meanwhile.
    cr_expect_eq(bench.starts.size(), 1U);
    cr_expect_eq(bench.closed.size(), 2U);
    cr_expect_eq(bench.gate.runs(), 0U, "the lease has ended");
}

Test(RunGate, shortSuspensionClosesLinksBeforeTheOwnerTimeout)
{
    Fixture bench;
    bench.now += bench.limits.suspensionThreshold + Milliseconds(10);
    bench.order(firstLink, runId(1));
    cr_expect(bench.starts.empty(), "its entry may have given the run up meanwhile");
    cr_expect_eq(bench.closed.size(), 2U);
}

Test(RunGate, orderForAnotherAgentIncarnationIsRejected)
{
    Fixture bench;
    bench.order(firstLink, runId(1), 4000, 0, raw(self) + 1);
    cr_expect(bench.starts.empty());
    cr_expect(bench.refusals[runId(1)] == wire::Refusal::OtherLife);
}

Test(RunGate, listingPolledBeforeTheStartEndsNoRun)
{
    Fixture bench;
    const auto before = bench.lastPoll;
    bench.order(firstLink, runId(1));
    bench.answerStart(runId(1), StartOutcome::Started);
    bench.gate.pollAnswered(before, PollOutcome::Listed, listingOf({}), bench.now);
    bench.collectEffects();
    cr_expect_not(bench.outcome(runId(1)).has_value(), "the server may have listed before it started the run");
    bench.answerPoll({});
    cr_expect(bench.outcome(runId(1)) == wire::RunOutcome::Lost);
}

Test(RunGate, announcedServerRestartEndsRunsBeforeAPoll)
{
    Fixture bench;
    bench.order(firstLink, runId(1));
    bench.answerStart(runId(1), StartOutcome::Started);
    bench.announce(false, 2);
    bench.collectEffects();
    cr_expect(bench.outcome(runId(1)) == wire::RunOutcome::Lost);
    cr_expect_eq(bench.gate.runs(), 0U);
}

Test(RunGate, lostPollAnswerDoesNotMarkRunsOverdue)
{
    Fixture bench;
    for (uint64_t job = 1; job <= 4; ++job) {
        bench.order(firstLink, runId(job), 2000);
        bench.answerStart(runId(job), StartOutcome::Started);
    }
    bench.answerPoll(listingOf({ runId(1), runId(2), runId(3), runId(4) }));
    const auto lost = bench.lastPoll;
    for (int i = 0; i < 13; ++i) { // 260 ms, where 100 ms are expected.
        bench.now += Milliseconds(20);
        bench.sendHeartbeats();
        bench.gate.tick(bench.now);
        bench.collectEffects();
    }
    cr_expect_eq(bench.lastPoll, lost + 1, "once they are overdue another look is sent, one only");
    cr_expect(bench.reportedState == wire::GateState::Open, "nothing shows that they haven't ended");
    bench.answerPoll(listingOf({},
        { { 1, runId(1), EndKind::Done }, { 2, runId(2), EndKind::Done }, { 3, runId(3), EndKind::Done },
            { 4, runId(4), EndKind::Done } }));
    cr_expect(bench.reportedState == wire::GateState::Open);
    cr_expect(bench.outcome(runId(4)) == wire::RunOutcome::Done);
}

Test(RunGate, leasesAreNotRenewedWhileTheServerDoesNotAnswer)
{
    Fixture bench;
    bench.order(firstLink, runId(1));
    bench.answerStart(runId(1), StartOutcome::Started);
    bench.answerPoll(listingOf({ runId(1) }));
    cr_expect_eq(bench.lastLease.count(), bench.limits.lease.count());
    const auto since = bench.now;
    bool isRenewed = false;
    while (bench.gate.runs() > 0 && bench.now - since < Milliseconds(2000)) {
        bench.now += Milliseconds(100);
        bench.sendHeartbeats();
        bench.answerPoll({}, PollOutcome::NoAnswer);
        bench.gate.tick(bench.now);
        bench.collectEffects();
        isRenewed |= bench.lastLease.count() > 0;
    }
    cr_expect_not(isRenewed, "a run whose lease is renewed unseen would never be known to be over");
    cr_expect(bench.outcome(runId(1)) == wire::RunOutcome::Lost);
    const auto bound = bench.limits.lease + bench.limits.pollWait + bench.limits.pollTimeout;
    cr_expect_leq((bench.now - since).count(), std::chrono::nanoseconds(bound).count());
    cr_expect_geq((bench.now - since).count(), std::chrono::nanoseconds(bench.limits.lease).count());
}

Test(RunGate, refusedConnectionEndsAllRuns)
{
    Fixture bench;
    bench.order(firstLink, runId(1));
    bench.answerStart(runId(1), StartOutcome::Started);
    bench.answerPoll({}, PollOutcome::Refused);
    cr_expect(bench.outcome(runId(1)) == wire::RunOutcome::Lost);
    cr_expect(bench.reportedState == wire::GateState::Closed);
}

Test(RunGate, serverRestartEndsAllRunsAndResetsEndNumbers)
{
    Fixture bench;
    bench.order(firstLink, runId(1));
    bench.answerStart(runId(1), StartOutcome::Started);
    bench.answerPoll(listingOf({ runId(1) }, { { 40, runId(9), EndKind::Done } }));
    auto listing = listingOf({});
    listing.startedMs = 2;
    bench.announce(false, 2);
    bench.answerPoll(listing);
    cr_expect(bench.outcome(runId(1)) == wire::RunOutcome::Lost);
    bench.order(firstLink, runId(2));
    bench.answerStart(runId(2), StartOutcome::Started);
    listing.ended = { { 1, runId(2), EndKind::Done } };
    bench.answerPoll(listing);
    cr_expect(bench.outcome(runId(2)) == wire::RunOutcome::Done, "ends are numbered from 1 again");
}

Test(RunGate, pingOfAnEarlierServerIncarnationIsIgnored)
{
    Fixture bench;
    bench.announce(false, 2);
    auto listing = listingOf({});
    listing.startedMs = 2;
    bench.answerPoll(listing);
    cr_expect(bench.reportedState == wire::GateState::Open);
    ServerReport late;
    late.instance = "i-1";
    late.startedMs = 1;
    late.service = "service";
    late.isDraining = true;
    late.sequence = 1000;
    cr_expect_not(bench.gate.serverAnnounced(late, bench.now));
    bench.collectEffects();
    cr_expect(bench.gate.state(bench.now) == wire::GateState::Open);
}

Test(RunGate, drainingServerGetsNoNewRuns)
{
    Fixture bench;
    bench.order(firstLink, runId(1));
    bench.announce(true);
    bench.collectEffects();
    cr_expect(bench.reportedState == wire::GateState::Closed, "entries hear of it at once");
    bench.order(firstLink, runId(2));
    cr_expect_eq(bench.starts.size(), 1U);
    cr_expect(bench.stops.empty(), "what runs may end");
}

Test(RunGate, unknownRunsAreStoppedBeforeRecoveryCompletes)
{
    RunGate gate(self, {});
    gate.tick(start);
    gate.pollAnswered(1, PollOutcome::Listed, listingOf({ runId(5) }), start);
    cr_expect_not(gate.isRecovered());
    bool isStopped = false;
    for (auto& effect : gate.takeEffects())
        isStopped |= std::holds_alternative<StopRun>(effect);
    cr_expect(isStopped);
    gate.pollAnswered(2, PollOutcome::Listed, listingOf({}), start + Milliseconds(100));
    cr_expect(gate.isRecovered());
}

Test(RunGate, failingServerIsClosedAndTriedOneRunAtATime)
{
    Fixture bench;
    for (uint64_t job = 1; job <= 3; ++job) {
        bench.order(firstLink, runId(job), 1000);
        bench.answerStart(runId(job), StartOutcome::Started);
        bench.answerPoll(listingOf({}, { { job, runId(job), EndKind::Failed } }));
    }
    cr_expect(bench.gate.state(bench.now) == wire::GateState::Closed);
    bench.order(firstLink, runId(4), 1000);
    cr_expect(bench.refusals[runId(4)] == wire::Refusal::Unhealthy);
    bench.advance(bench.limits.health.quarantinePause);
    cr_expect(bench.gate.state(bench.now) == wire::GateState::Trial);
    bench.order(firstLink, runId(5), 9000); // Failures must not have shrunk the room for the trial.
    bench.order(firstLink, runId(6), 1000);
    cr_expect_eq(bench.starts.size(), 4U, "one at a time");
    bench.answerStart(runId(5), StartOutcome::Started);
    bench.answerPoll(listingOf({}, { { 4, runId(5), EndKind::Done } }));
    cr_expect(bench.gate.state(bench.now) == wire::GateState::Open);
}

Test(RunGate, freedResourcesAreReservedForTheMostUrgentEntry)
{
    Fixture bench;
    bench.order(firstLink, runId(1), 5000);
    bench.order(firstLink, runId(2), 5000);
    for (const auto& [link, slack] : { std::pair(firstLink, 500), std::pair(secondLink, 10) }) {
        wire::DemandT demand;
        demand.tasks = 1;
        demand.smallest = std::make_unique<wire::Room>(toWire(Resources { 5000, 64, 0 }));
        demand.slack_ms = slack;
        demand.valid_ms = 1000;
        wire::BodyUnion body;
        body.Set(std::move(demand));
        bench.gate.receive(link, body, bench.now);
    }
    bench.answerStart(runId(1), StartOutcome::Started);
    bench.answerPoll(listingOf({ runId(2) }, { { 1, runId(1), EndKind::Done } }));
    cr_expect_eq(bench.free[secondLink].cpu, 5000);
    cr_expect_eq(bench.free[firstLink].cpu, 0);
    bench.order(firstLink, runId(3), 5000);
    cr_expect(bench.refusals[runId(3)] == wire::Refusal::NoRoom);
    bench.order(secondLink, runId(4), 5000);
    cr_expect_eq(bench.starts.size(), 3U);
}

Test(RunGate, limitsTasksOfAStepPerServer)
{
    Fixture bench;
    for (uint16_t i = 0; i < 3; ++i)
        bench.order(firstLink, { { WorkId(1), StepIndex(0), TaskIndex(i) }, RunNumber(1) }, 1000, 2);
    cr_expect_eq(bench.starts.size(), 2U);
}

/** Runs of one job are alike, and of several the shortest ends first: one of each job counts, whenever it ends. */
Test(RunGate, speedModelTakesOneSamplePerJob)
{
    Fixture bench;
    uint64_t ends = 0;
    for (uint64_t job = 1; job <= 40; ++job) {
        std::vector<RunId> ids;
        for (uint16_t i = 0; i < 4; ++i) {
            ids.push_back({ { WorkId(job), StepIndex(0), TaskIndex(i) }, RunNumber(1) });
            bench.order(firstLink, ids.back(), 1000);
            bench.answerStart(ids.back(), StartOutcome::Started);
        }
        // The one ordered first ends last, after twice the estimate.
        bench.advance(Milliseconds(100), listingOf(ids));
        for (size_t i = 3; i > 0; --i) {
            const auto id = ids.back();
            ids.pop_back();
            bench.answerPoll(listingOf(ids, { { ++ends, id, EndKind::Done } }));
        }
        bench.advance(Milliseconds(100), listingOf(ids));
        bench.answerPoll(listingOf({}, { { ++ends, ids.front(), EndKind::Done } }));
    }
    cr_expect_float_eq(bench.gate.slowness(bench.now), 2.0, 0.2, "%f", bench.gate.slowness(bench.now));
}

struct RefusedRow {
    char name[24];
    int outcome; ///< StartOutcome
    int refusal; ///< wire::Refusal
};

ParameterizedTestParameters(RunGate, rejectedStartsFreeTheirResources)
{
    static RefusedRow rows[] = {
        { "run too low", static_cast<int>(StartOutcome::RunTooLow), static_cast<int>(wire::Refusal::RunTooLow) },
        { "lease ended", static_cast<int>(StartOutcome::Expired), static_cast<int>(wire::Refusal::Expired) },
        { "no room", static_cast<int>(StartOutcome::NoRoom), static_cast<int>(wire::Refusal::NoRoom) },
        { "unhealthy", static_cast<int>(StartOutcome::Unhealthy), static_cast<int>(wire::Refusal::Unhealthy) },
        { "other life", static_cast<int>(StartOutcome::OtherIncarnation), static_cast<int>(wire::Refusal::OtherLife) },
        { "malformed", static_cast<int>(StartOutcome::Invalid), static_cast<int>(wire::Refusal::Invalid) },
        { "unreachable", static_cast<int>(StartOutcome::Unreachable), static_cast<int>(wire::Refusal::Closed) },
    };
    return cr_make_param_array(RefusedRow, rows, sizeof(rows) / sizeof(RefusedRow));
}

ParameterizedTest(RefusedRow* row, RunGate, rejectedStartsFreeTheirResources)
{
    Fixture bench;
    bench.order(firstLink, runId(1));
    bench.answerStart(runId(1), static_cast<StartOutcome>(row->outcome));
    cr_expect(bench.outcome(runId(1)) == wire::RunOutcome::NotStarted, "%s", row->name);
    cr_expect_eq(static_cast<int>(bench.refusals[runId(1)]), row->refusal, "%s", row->name);
    cr_expect_eq(bench.gate.used().cpu, 0, "%s", row->name);
}
