/** @file JobClaimsTest.cpp Claims of jobs: as an agent keeps them, as entries ask for them, and at a run gate. */
#include <sequoia/Dispatcher.h>
#include <sequoia/JobClaims.h>
#include <sequoia/RunGate.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <array>

using namespace sequoia;

namespace {

constexpr Incarnation none {};
constexpr Incarnation first { 11 };
constexpr Incarnation second { 12 };
constexpr Incarnation third { 13 };
constexpr WorkId job { 1 };
constexpr WorkId otherJob { 2 };
constexpr TimePoint lapse { std::chrono::seconds(100) };

} // namespace

Test(JobClaims, aJobIsNeverClaimedByTwoEntries)
{
    JobClaims claims;
    cr_expect(claims.claim(first, job));
    cr_expect_not(claims.claim(second, job));
    cr_expect(claims.claim(first, job), "the holder may ask again");
    cr_expect_eq(claims.holderOf(job), first);
    cr_expect(claims.claim(second, otherJob), "another job has a claim of its own");
    cr_expect_eq(claims.held(), 2U);
}

Test(JobClaims, entriesThatWaitAreNotPassedOver)
{
    JobClaims claims;
    claims.claim(first, job);
    claims.claim(second, job);
    claims.claim(third, job);
    claims.claim(second, job); // Asked twice, it gets the claim once.
    cr_expect((claims.release(first, { job }) == std::vector<ClaimOfEntry> { { job, second } }));
    cr_expect_eq(claims.holderOf(job), second);
    cr_expect((claims.release(second, { job }) == std::vector<ClaimOfEntry> { { job, third } }));
    cr_expect_eq(claims.holderOf(job), third);
    cr_expect(claims.release(third, { job }).empty());
    cr_expect_eq(claims.holderOf(job), none);
    cr_expect_eq(claims.held(), 0U, "a claim that nobody holds must be forgotten");
}

Test(JobClaims, anEntryThatOnlyWaitsDoesNotEndTheClaimOfTheHolder)
{
    JobClaims claims;
    claims.claim(first, job);
    claims.claim(second, job);
    claims.claim(third, job);
    cr_expect(claims.release(second, { job }).empty());
    cr_expect_eq(claims.holderOf(job), first);
    cr_expect((claims.release(first, { job }) == std::vector<ClaimOfEntry> { { job, third } }),
        "an entry that has given up must not get the claim");
}

Test(JobClaims, releaseOfAnUnknownJobChangesNothing)
{
    JobClaims claims;
    claims.claim(first, job);
    cr_expect(claims.release(first, { otherJob }).empty());
    cr_expect(claims.release(third, { job, otherJob }).empty());
    cr_expect_eq(claims.holderOf(job), first);
    cr_expect_eq(claims.held(), 1U);
}

struct LapseRow {
    char name[48];
    Milliseconds expiredAt; ///< From `lapse` on.
    bool isWaitedFor;
    bool isLinkedBefore; ///< The holder links again before.
    bool isHeld; ///< The holder still holds the claim then.
};

ParameterizedTestParameters(JobClaims, claimsOfALostHolderLapseWhenItsRunsAreOverAndNotBefore)
{
    static LapseRow rows[] = {
        { "before, nobody waits", Milliseconds(-1), false, false, true },
        { "before, another waits", Milliseconds(-1), true, false, true },
        { "at the time, nobody waits", Milliseconds(0), false, false, false },
        { "at the time, another waits", Milliseconds(0), true, false, false },
        { "later, another waits", Milliseconds(500), true, false, false },
        { "linked before, nobody waits", Milliseconds(500), false, true, true },
        { "linked before, another waits", Milliseconds(500), true, true, true },
    };
    return cr_make_param_array(LapseRow, rows, sizeof(rows) / sizeof(LapseRow));
}

ParameterizedTest(LapseRow* row, JobClaims, claimsOfALostHolderLapseWhenItsRunsAreOverAndNotBefore)
{
    JobClaims claims;
    claims.claim(first, job);
    claims.claim(third, otherJob);
    if (row->isWaitedFor)
        claims.claim(second, job);
    claims.entryLost(first, lapse);
    cr_expect(claims.isLost(first), "%s", row->name);
    cr_expect_not(claims.isLost(third), "%s", row->name);
    if (row->isLinkedBefore)
        claims.entryLinked(first);
    const auto granted = claims.expire(lapse + row->expiredAt);
    const bool isPassedOn = !row->isHeld && row->isWaitedFor;
    cr_expect_eq(granted.size(), isPassedOn ? 1U : 0U, "%s", row->name);
    if (isPassedOn)
        cr_expect((granted.front() == ClaimOfEntry { job, second }), "%s", row->name);
    cr_expect_eq(claims.holderOf(job), row->isHeld ? first : isPassedOn ? second : none, "%s", row->name);
    cr_expect_eq(claims.isLost(first), row->isHeld && !row->isLinkedBefore, "%s", row->name);
    cr_expect_eq(claims.holderOf(otherJob), third, "%s", row->name);
}

Test(JobClaims, anEntryWithoutALinkIsNotGrantedWhatItWaitedFor)
{
    JobClaims claims;
    claims.claim(first, job);
    claims.claim(second, job);
    claims.claim(third, job);
    claims.entryLost(second, lapse);
    cr_expect((claims.release(first, { job }) == std::vector<ClaimOfEntry> { { job, third } }));
}

struct TakeOverRow {
    char name[48];
    Incarnation holder;
    bool isLost; ///< The holder has no link.
    bool isLinkedAgain;
    Incarnation predecessor;
    bool isGranted;
};

ParameterizedTestParameters(JobClaims, onlyTheClaimOfALostPredecessorIsTakenOver)
{
    static TakeOverRow rows[] = {
        { "holder without a link", first, true, false, first, true },
        { "holder with a link", first, false, false, first, false },
        { "holder that has linked again", first, true, true, first, false },
        { "another holder without a link", first, true, false, third, false },
        { "another holder with a link", third, false, false, first, false },
        { "holder without a link, no predecessor", first, true, false, none, false },
    };
    return cr_make_param_array(TakeOverRow, rows, sizeof(rows) / sizeof(TakeOverRow));
}

ParameterizedTest(TakeOverRow* row, JobClaims, onlyTheClaimOfALostPredecessorIsTakenOver)
{
    JobClaims claims;
    claims.claim(row->holder, job);
    if (row->isLost)
        claims.entryLost(row->holder, lapse);
    if (row->isLinkedAgain)
        claims.entryLinked(row->holder);
    cr_expect_eq(claims.claim(second, job, row->predecessor), row->isGranted, "%s", row->name);
    cr_expect_eq(claims.holderOf(job), row->isGranted ? second : row->holder, "%s", row->name);
}

Test(JobClaims, aClaimThatWasTakenOverDoesNotLapseWithItsPredecessor)
{
    JobClaims claims;
    claims.claim(first, job);
    claims.claim(second, job);
    claims.claim(third, job);
    claims.entryLost(first, lapse);
    cr_expect(claims.claim(second, job, first));
    cr_expect((claims.waitingFor(second) == std::vector<ClaimOfEntry> { { job, third } }));
    cr_expect(claims.expire(lapse).empty());
    cr_expect_eq(claims.holderOf(job), second);
    cr_expect_not(claims.claim(first, job), "the predecessor must wait when it is back");
    cr_expect((claims.release(second, { job }) == std::vector<ClaimOfEntry> { { job, third } }),
        "the new holder must not wait for its own claim");
}

Test(JobClaims, claimsThatAnEntryNoLongerNamesDoNotStayHeld)
{
    JobClaims claims;
    const WorkId waitedFor { 3 };
    const WorkId ofThird { 4 };
    claims.claim(first, job);
    claims.claim(first, otherJob);
    claims.claim(second, otherJob);
    claims.claim(second, waitedFor);
    claims.claim(first, waitedFor);
    claims.claim(third, ofThird);
    cr_expect((claims.releaseOthers(first, { job }) == std::vector<ClaimOfEntry> { { otherJob, second } }));
    cr_expect_eq(claims.holderOf(job), first);
    cr_expect_eq(claims.holderOf(otherJob), second);
    cr_expect_eq(claims.holderOf(ofThird), third, "claims of others stay");
    cr_expect(claims.release(second, { waitedFor }).empty(), "nor does it wait for other claims");
    cr_expect(claims.releaseOthers(first, {}).empty());
    cr_expect_eq(claims.holderOf(job), none);
}

Test(JobClaims, entriesThatWaitForALostHolderAreAllNamed)
{
    JobClaims claims;
    claims.claim(first, job);
    claims.claim(first, otherJob);
    claims.claim(second, job);
    claims.claim(third, job);
    claims.claim(third, WorkId(3));
    claims.claim(second, WorkId(3));
    cr_expect((claims.waitingFor(first) == std::vector<ClaimOfEntry> { { job, second }, { job, third } }));
    cr_expect((claims.waitingFor(third) == std::vector<ClaimOfEntry> { { WorkId(3), second } }));
    cr_expect(claims.waitingFor(second).empty());
}

namespace {

constexpr size_t agentCount = 4;
constexpr uint64_t otherEntry = 77;

/** A claim as an agent was asked for it. */
struct AskedClaim {
    size_t agent = 0;
    std::vector<uint64_t> jobs;
    bool isComplete = false;
    uint64_t predecessor = 0;
};

/** A dispatcher with four agents in two failure domains, whose messages are sent by the test. */
class ClaimFixture {
public:
    /** `keepers`: the agents that keep claims. */
    explicit ClaimFixture(std::set<size_t> keepers = { 0, 1, 2, 3 })
        : keepers(std::move(keepers))
        , dispatcher({}, {},
              { [](const auto& candidates, const auto& request) { return choosePlacement(candidates, request, {}); },
                  [](const auto& candidate, const auto& load) { return admit(candidate, load, {}); } })
    {
        dispatcher.tick(now);
        for (size_t i = 0; i < agentCount; ++i)
            link(i);
        advance(DispatcherLimits().settleTime);
        claims.clear();
    }

    static std::string domainOf(size_t agent) { return agent < agentCount / 2 ? "a" : "b"; }

    void link(size_t i)
    {
        wire::HelloT hello;
        hello.agent = "agent" + std::to_string(i);
        hello.failure_domain = domainOf(i);
        hello.incarnation = 100 + i;
        hello.relays = true;
        hello.claims = keepers.contains(i);
        unlinked.erase(i);
        dispatcher.agentLinked(LinkId(i), hello, now, now);
        wire::RoomReportT report;
        report.service = "service";
        report.state = wire::GateState::Open;
        report.total = std::make_unique<wire::Room>(10000, 1000, 1);
        report.free = std::make_unique<wire::Room>(10000, 1000, 1);
        report.slowness = 1;
        deliver(i, std::move(report));
    }

    void unlink(size_t i)
    {
        unlinked.insert(i);
        dispatcher.linkClosed(LinkId(i), now);
        collectEffects();
    }

    template <typename Message> void deliver(size_t agent, Message message)
    {
        wire::BodyUnion body;
        body.Set(std::move(message));
        dispatcher.receive(LinkId(agent), body, now, now);
        collectEffects();
    }

    /** Submits a job of one step. */
    void submit(uint64_t id, uint32_t tasks = 1)
    {
        StepSpec step;
        step.count = tasks;
        step.resources = { 1000, 10, 0 };
        step.estimate = Milliseconds(100);
        WorkSpec spec;
        spec.id = WorkId(id);
        spec.steps = { step };
        RoutePolicy route;
        route.name = "route";
        route.service = "service";
        route.stretch = 1.6;
        route.objective = Milliseconds(5000); // Jobs are not given up while they wait for claims.
        route.maxFailures = 3;
        dispatcher.submit(std::move(spec), std::move(route), { WaiterId(id), now, Milliseconds(6000) }, now);
        collectEffects();
    }

    /** Tells that an entry has lost its link to an agent, or has linked again. */
    void tellEntryState(size_t agent, bool isLinked = false)
    {
        wire::EntryStateT state;
        state.entry = otherEntry;
        state.is_linked = isLinked;
        deliver(agent, std::move(state));
    }

    void answerClaim(size_t agent, uint64_t id, bool isGranted, bool isLost = false)
    {
        wire::JobClaimResultT result;
        result.job = id;
        result.granted = isGranted;
        result.holder = isGranted ? 0 : otherEntry;
        result.is_lost = isLost;
        deliver(agent, std::move(result));
    }

    void end(const RunId& id, wire::RunOutcome outcome)
    {
        wire::RunResultT result;
        result.id = std::make_unique<wire::RunId>(toWire(id));
        result.outcome = outcome;
        result.run_us = 100000;
        result.free = std::make_unique<wire::Room>(10000, 1000, 1);
        result.orders_seen = 1000;
        result.slowness = 1;
        deliver(agentByRun.at(id), std::move(result));
    }

    /** Advances the clock; agents with a link send heartbeats, except silent ones. */
    void advance(Milliseconds time)
    {
        for (const auto until = now + time; now < until;) {
            now += Milliseconds(5);
            for (size_t i = 0; i < agentCount; ++i) {
                if (!unlinked.contains(i) && !silent.contains(i))
                    deliver(i, wire::BeatT());
            }
            dispatcher.tick(now);
            collectEffects();
        }
    }

    /** Agents that were asked for the claim of a job, in the order of the messages. */
    std::vector<size_t> asked(uint64_t id) const
    {
        std::vector<size_t> agents;
        for (const auto& claim : claims) {
            if (!claim.isComplete && claim.jobs == std::vector { id })
                agents.push_back(claim.agent);
        }
        return agents;
    }

    /** Agents that were asked to take over a claim. */
    std::vector<size_t> takenOver() const
    {
        std::vector<size_t> agents;
        for (const auto& claim : claims) {
            if (claim.predecessor != 0)
                agents.push_back(claim.agent);
        }
        return agents;
    }

    void collectEffects()
    {
        for (auto& effect : dispatcher.takeEffects()) {
            const auto* send = std::get_if<SendMessage>(&effect);
            if (send == nullptr)
                continue;
            const size_t agent = raw(send->link);
            if (const auto* order = send->body.AsRunOrder()) {
                orders.push_back(fromWire(*order->id));
                agentByRun[orders.back()] = agent;
            } else if (const auto* claim = send->body.AsJobClaim()) {
                claims.push_back({ agent, claim->jobs, claim->is_complete, claim->predecessor });
            } else if (const auto* release = send->body.AsJobRelease()) {
                for (const auto id : release->jobs)
                    releases.emplace_back(agent, id);
            }
        }
    }

    std::set<size_t> keepers;
    TimePoint now { std::chrono::seconds(100) };
    Dispatcher dispatcher;
    std::set<size_t> unlinked;
    std::set<size_t> silent;
    std::vector<RunId> orders;
    std::map<RunId, size_t> agentByRun;
    std::vector<AskedClaim> claims;
    std::vector<std::pair<size_t, uint64_t>> releases; ///< Agents and jobs.
};

} // namespace

Test(JobClaims, jobsAreNotDelayedWhileNoEntryHasLostALink)
{
    ClaimFixture fixture;
    std::set<size_t> agents;
    for (uint64_t id = 1; id <= 16; ++id) {
        fixture.submit(id);
        cr_expect_eq(fixture.orders.size(), id, "job %zu must be ordered at once", size_t(id));
        const auto asked = fixture.asked(id);
        cr_assert_eq(asked.size(), 2U);
        cr_expect_neq(ClaimFixture::domainOf(asked[0]), ClaimFixture::domainOf(asked[1]));
        agents.insert(asked.begin(), asked.end());
    }
    cr_expect_eq(agents.size(), agentCount, "claims must not all go to the same agents");
}

Test(JobClaims, entriesAskTheSameAgentsWhateverOrderTheseLinkIn)
{
    ClaimFixture one;
    ClaimFixture other;
    for (size_t i = agentCount; i-- > 0;) {
        other.unlink(i);
        other.link(i);
    }
    other.claims.clear();
    for (uint64_t id = 1; id <= 16; ++id) {
        one.submit(id);
        other.submit(id);
        const auto a = one.asked(id);
        const auto b = other.asked(id);
        cr_expect(std::set(a.begin(), a.end()) == std::set(b.begin(), b.end()), "job %zu", size_t(id));
    }
}

/** Answers to the two claims of a job, by agent asked. */
struct AnswerRow {
    char name[48];
    size_t firstAnswer; ///< Which of the two agents answers first.
    bool isRefused; ///< The first answer is a refusal; the same agent grants the claim last.
};

ParameterizedTestParameters(JobClaims, noRunIsOrderedBeforeBothAgentsGrantAfterAnEntryLostALink)
{
    static AnswerRow rows[] = {
        { "granted by the first, then the second", 0, false },
        { "granted by the second, then the first", 1, false },
        { "refused by the first at first", 0, true },
        { "refused by the second at first", 1, true },
    };
    return cr_make_param_array(AnswerRow, rows, sizeof(rows) / sizeof(AnswerRow));
}

ParameterizedTest(AnswerRow* row, JobClaims, noRunIsOrderedBeforeBothAgentsGrantAfterAnEntryLostALink)
{
    ClaimFixture fixture;
    fixture.tellEntryState(3);
    fixture.submit(1);
    const auto asked = fixture.asked(1);
    cr_assert_eq(asked.size(), 2U, "%s", row->name);
    cr_expect(fixture.orders.empty(), "%s: before any answer", row->name);
    fixture.answerClaim(asked[row->firstAnswer], 1, !row->isRefused);
    cr_expect(fixture.orders.empty(), "%s: after one answer", row->name);
    fixture.answerClaim(asked[1 - row->firstAnswer], 1, true);
    if (row->isRefused) {
        fixture.advance(Milliseconds(500)); // Far longer than a claim may stay unanswered.
        cr_expect(fixture.orders.empty(), "%s: while refused", row->name);
        fixture.answerClaim(asked[row->firstAnswer], 1, true);
    }
    cr_expect_eq(fixture.orders.size(), 1U, "%s: the last answer must be followed by the order", row->name);
}

Test(JobClaims, aJobIsNotOrderedWhileBothAgentsRefuse)
{
    ClaimFixture fixture;
    fixture.tellEntryState(0);
    fixture.submit(1);
    const auto asked = fixture.asked(1);
    cr_assert_eq(asked.size(), 2U);
    for (const auto agent : asked)
        fixture.answerClaim(agent, 1, false);
    fixture.advance(DispatcherLimits().orphanRetention + Milliseconds(500));
    cr_expect(fixture.orders.empty(), "a refusal must outlast the time in which new jobs wait");
    cr_expect(fixture.dispatcher.isOpen(WorkId(1)));
    cr_expect_eq(fixture.asked(1).size(), 2U, "nobody else may be asked instead");
    fixture.answerClaim(asked[0], 1, true);
    cr_expect(fixture.orders.empty());
    fixture.answerClaim(asked[1], 1, true);
    cr_expect_eq(fixture.orders.size(), 1U);
}

Test(JobClaims, aRunIsNotRepeatedWhileAnotherEntryHoldsTheClaim)
{
    ClaimFixture fixture;
    fixture.submit(1);
    cr_assert_eq(fixture.orders.size(), 1U);
    const auto asked = fixture.asked(1);
    fixture.answerClaim(asked[0], 1, false);
    fixture.answerClaim(asked[1], 1, true);
    fixture.end(fixture.orders[0], wire::RunOutcome::Failed);
    fixture.advance(Milliseconds(100));
    cr_expect_eq(fixture.orders.size(), 1U);
    fixture.answerClaim(asked[0], 1, true);
    cr_expect_eq(fixture.orders.size(), 2U);
}

struct SilentAgentRow {
    char name[48];
    size_t granting; ///< Which of the two agents answers.
    bool isSilent; ///< The other sends no heartbeats either.
};

ParameterizedTestParameters(JobClaims, anAgentThatDoesNotAnswerDoesNotBlockAJob)
{
    static SilentAgentRow rows[] = {
        { "second without an answer", 0, false },
        { "first without an answer", 1, false },
        { "second silent", 0, true },
        { "first silent", 1, true },
    };
    return cr_make_param_array(SilentAgentRow, rows, sizeof(rows) / sizeof(SilentAgentRow));
}

ParameterizedTest(SilentAgentRow* row, JobClaims, anAgentThatDoesNotAnswerDoesNotBlockAJob)
{
    ClaimFixture fixture;
    fixture.tellEntryState(3);
    fixture.submit(1);
    const auto asked = fixture.asked(1);
    cr_assert_eq(asked.size(), 2U, "%s", row->name);
    if (row->isSilent)
        fixture.silent.insert(asked[1 - row->granting]);
    fixture.answerClaim(asked[row->granting], 1, true);
    fixture.advance(DispatcherLimits().claimTimeout - Milliseconds(5));
    cr_expect(fixture.orders.empty(), "%s: before the time-out", row->name);
    fixture.advance(Milliseconds(5));
    cr_expect_eq(fixture.orders.size(), 1U, "%s", row->name);
}

Test(JobClaims, furtherAgentsAreAskedWhenNeitherAnswers)
{
    ClaimFixture fixture;
    fixture.tellEntryState(3);
    fixture.submit(1);
    const auto asked = fixture.asked(1);
    cr_assert_eq(asked.size(), 2U);
    fixture.advance(DispatcherLimits().claimTimeout);
    cr_expect(fixture.orders.empty(), "no answer must not count as a grant");
    const auto all = fixture.asked(1);
    cr_assert_eq(all.size(), agentCount);
    cr_expect_eq((std::set(all.begin(), all.end()).size()), agentCount, "each agent is asked once");
    fixture.answerClaim(all[2], 1, true);
    fixture.answerClaim(all[3], 1, true);
    fixture.advance(DispatcherLimits().claimTimeout);
    cr_expect_eq(fixture.orders.size(), 1U);
}

/** What becomes of the last agent that hasn't told of the entry's runs. */
enum class LastAgent : uint8_t { Tells, TellsOfNewLink, IsUnlinked };

struct LostHolderRow {
    char name[48];
    LastAgent last;
    Milliseconds wait; ///< After that.
    bool isTakenOver;
};

ParameterizedTestParameters(JobClaims, aClaimIsTakenOverOnlyWhenAllAgentsHaveToldOfTheHoldersRuns)
{
    static LostHolderRow rows[] = {
        { "told by the last agent", LastAgent::Tells, Milliseconds(0), true },
        { "linked to the last agent", LastAgent::TellsOfNewLink, Milliseconds(1500), false },
        { "last agent just unlinked", LastAgent::IsUnlinked, Milliseconds(1200), false },
        { "runs of the last agent lapsed", LastAgent::IsUnlinked, Milliseconds(1300), true },
    };
    return cr_make_param_array(LostHolderRow, rows, sizeof(rows) / sizeof(LostHolderRow));
}

ParameterizedTest(LostHolderRow* row, JobClaims, aClaimIsTakenOverOnlyWhenAllAgentsHaveToldOfTheHoldersRuns)
{
    ClaimFixture fixture;
    fixture.tellEntryState(0);
    fixture.submit(1);
    const auto asked = fixture.asked(1);
    cr_assert_eq(asked.size(), 2U, "%s", row->name);
    fixture.answerClaim(asked[0], 1, false, true);
    fixture.answerClaim(asked[1], 1, true);
    std::vector<size_t> others;
    for (size_t i = 0; i < agentCount; ++i) {
        if (std::find(asked.begin(), asked.end(), i) == asked.end())
            others.push_back(i);
    }
    for (const auto agent : { asked[0], asked[1], others[0] }) {
        fixture.tellEntryState(agent);
        fixture.advance(Milliseconds(20));
        cr_expect(fixture.takenOver().empty(), "%s: not all have told", row->name);
    }
    switch (row->last) {
    case LastAgent::Tells:
        fixture.tellEntryState(others[1]);
        break;
    case LastAgent::TellsOfNewLink:
        fixture.tellEntryState(others[1], true);
        break;
    case LastAgent::IsUnlinked:
        fixture.unlink(others[1]);
        break;
    }
    fixture.advance(row->wait);
    cr_expect(fixture.orders.empty(), "%s: still refused", row->name);
    if (!row->isTakenOver) {
        cr_expect(fixture.takenOver().empty(), "%s", row->name);
        cr_expect(fixture.dispatcher.isOpen(WorkId(1)), "%s: the job still waits", row->name);
        return;
    }
    cr_expect(fixture.takenOver() == std::vector { asked[0] }, "%s: at the agent that refused", row->name);
    cr_expect_eq(fixture.claims.back().predecessor, otherEntry, "%s", row->name);
    cr_expect(fixture.claims.back().jobs == std::vector<uint64_t> { 1 }, "%s", row->name);
    cr_expect_not(fixture.claims.back().isComplete, "%s: other claims there would end", row->name);
    fixture.advance(Milliseconds(100));
    cr_expect_eq(fixture.takenOver().size(), 1U, "%s: it is asked for once", row->name);
    cr_expect(fixture.orders.empty(), "%s: before the answer", row->name);
    fixture.answerClaim(asked[0], 1, true);
    cr_expect_eq(fixture.orders.size(), 1U, "%s", row->name);
}

Test(JobClaims, theClaimOfAnEntryThatLinksAgainIsNotTakenOver)
{
    ClaimFixture fixture;
    for (size_t i = 0; i < agentCount; ++i)
        fixture.tellEntryState(i);
    fixture.tellEntryState(2, true);
    fixture.submit(1);
    const auto asked = fixture.asked(1);
    cr_assert_eq(asked.size(), 2U);
    fixture.answerClaim(asked[0], 1, false, true);
    fixture.answerClaim(asked[1], 1, false, true);
    fixture.advance(Milliseconds(100));
    cr_expect(fixture.takenOver().empty());
    fixture.tellEntryState(2);
    const auto taken = fixture.takenOver();
    cr_expect((std::set(taken.begin(), taken.end()) == std::set(asked.begin(), asked.end())));
    cr_expect_eq(taken.size(), 2U);
}

Test(JobClaims, theClaimOfAHolderWithALinkIsNotTakenOver)
{
    ClaimFixture fixture;
    for (size_t i = 0; i < agentCount; ++i)
        fixture.tellEntryState(i);
    fixture.submit(1);
    const auto asked = fixture.asked(1);
    cr_assert_eq(asked.size(), 2U);
    fixture.answerClaim(asked[0], 1, false);
    fixture.answerClaim(asked[1], 1, true);
    fixture.advance(Milliseconds(500));
    cr_expect(fixture.takenOver().empty());
    fixture.answerClaim(asked[0], 1, false, true); // The holder loses its link there.
    cr_expect(fixture.takenOver() == std::vector { asked[0] });
}

/** How a job of two tasks ends. */
enum class JobEnd : uint8_t { Done, CallerGone, Cancelled };

struct ReleaseRow {
    char name[32];
    JobEnd end;
};

ParameterizedTestParameters(JobClaims, aClaimIsNotReleasedWhileTheJobIsOpenOrHasRuns)
{
    static ReleaseRow rows[] = {
        { "done", JobEnd::Done },
        { "caller gone", JobEnd::CallerGone },
        { "cancelled", JobEnd::Cancelled },
    };
    return cr_make_param_array(ReleaseRow, rows, sizeof(rows) / sizeof(ReleaseRow));
}

ParameterizedTest(ReleaseRow* row, JobClaims, aClaimIsNotReleasedWhileTheJobIsOpenOrHasRuns)
{
    ClaimFixture fixture;
    fixture.submit(1, 2);
    cr_assert_eq(fixture.orders.size(), 2U, "%s", row->name);
    const auto asked = fixture.asked(1);
    for (const auto agent : asked)
        fixture.answerClaim(agent, 1, true);
    const auto ended = row->end == JobEnd::Done ? wire::RunOutcome::Done : wire::RunOutcome::Stopped;
    if (row->end == JobEnd::CallerGone)
        fixture.dispatcher.callerGone(WorkId(1), WaiterId(1), fixture.now);
    if (row->end == JobEnd::Cancelled)
        cr_expect(fixture.dispatcher.cancel(WorkId(1), fixture.now), "%s", row->name);
    fixture.collectEffects();
    cr_expect_eq(fixture.dispatcher.isOpen(WorkId(1)), row->end == JobEnd::Done, "%s", row->name);
    fixture.advance(Milliseconds(50));
    cr_expect(fixture.releases.empty(), "%s: both runs go on", row->name);
    fixture.end(fixture.orders[0], ended);
    cr_expect(fixture.releases.empty(), "%s: one run goes on", row->name);
    fixture.end(fixture.orders[1], ended);
    cr_expect_not(fixture.dispatcher.isOpen(WorkId(1)), "%s", row->name);
    cr_expect_eq(fixture.releases.size(), 2U, "%s", row->name);
    for (const auto agent : asked) {
        const std::pair<size_t, uint64_t> release { agent, 1 };
        cr_expect(std::find(fixture.releases.begin(), fixture.releases.end(), release) != fixture.releases.end(), "%s",
            row->name);
    }
}

Test(JobClaims, aJobWhoseRunsAreOverKeepsItsClaimWhileItIsOpen)
{
    ClaimFixture fixture;
    fixture.submit(1);
    const auto asked = fixture.asked(1);
    fixture.answerClaim(asked[0], 1, false); // Nothing is ordered any more.
    fixture.end(fixture.orders[0], wire::RunOutcome::Failed);
    fixture.advance(Milliseconds(50));
    cr_expect(fixture.dispatcher.isOpen(WorkId(1)));
    cr_expect(fixture.releases.empty());
    fixture.dispatcher.callerGone(WorkId(1), WaiterId(1), fixture.now);
    fixture.collectEffects();
    cr_expect_eq(fixture.releases.size(), 2U, "a job without runs gives up its claims, and those that it waits for");
}

Test(JobClaims, anAgentThatLinksAgainIsToldTheClaimsThatItWasAskedForAndNoOthers)
{
    ClaimFixture fixture;
    std::set<uint64_t> expected;
    constexpr size_t relinked = 1;
    for (uint64_t id = 1; id <= 8; ++id) {
        fixture.submit(id);
        const auto asked = fixture.asked(id);
        if (std::find(asked.begin(), asked.end(), relinked) != asked.end())
            expected.insert(id);
    }
    cr_assert_not(expected.empty());
    cr_assert_lt(expected.size(), 8U);
    fixture.unlink(relinked);
    // A claim that is over by then is not named.
    const auto over = *expected.begin();
    for (const auto& run : fixture.orders) {
        if (raw(run.task.job) == over && fixture.agentByRun.at(run) != relinked) {
            fixture.end(run, wire::RunOutcome::Done);
            expected.erase(over);
        }
    }
    for (const auto& [agent, id] : fixture.releases)
        cr_expect_neq(agent, relinked, "an agent without a link is sent nothing");
    fixture.claims.clear();
    fixture.link(relinked);
    cr_assert_eq(fixture.claims.size(), 1U);
    const auto& claim = fixture.claims.front();
    cr_expect_eq(claim.agent, relinked);
    cr_expect(claim.isComplete);
    cr_expect_eq(claim.predecessor, 0U);
    cr_expect_eq(claim.jobs.size(), expected.size());
    cr_expect((std::set(claim.jobs.begin(), claim.jobs.end()) == expected));
}

Test(JobClaims, aJobWaitsForAnAgentThatLinksAgainBeforeItAnswered)
{
    ClaimFixture fixture;
    fixture.tellEntryState(3);
    fixture.submit(1);
    const auto asked = fixture.asked(1);
    cr_assert_eq(asked.size(), 2U);
    fixture.unlink(asked[0]);
    fixture.link(asked[0]);
    cr_expect(fixture.claims.back().isComplete);
    cr_expect(fixture.claims.back().jobs == std::vector<uint64_t> { 1 });
    fixture.answerClaim(asked[1], 1, true);
    cr_expect(fixture.orders.empty(), "it is asked again and may refuse");
    fixture.answerClaim(asked[0], 1, true);
    cr_expect_eq(fixture.orders.size(), 1U);
}

Test(JobClaims, aRunIsNotRepeatedWithoutAClaimWhenTheAgentsThatGrantedItAreGone)
{
    ClaimFixture fixture;
    uint64_t id = 0;
    std::vector<size_t> asked;
    do { // Until a run isn't at an agent that keeps its job's claim.
        cr_assert_lt(id, 32U);
        fixture.submit(++id);
        asked = fixture.asked(id);
        for (const auto agent : asked)
            fixture.answerClaim(agent, id, true);
    } while (std::find(asked.begin(), asked.end(), fixture.agentByRun.at(fixture.orders.back())) != asked.end());
    const auto run = fixture.orders.back();
    for (const auto agent : asked)
        fixture.unlink(agent);
    fixture.advance(DispatcherLimits().relinkWait + Milliseconds(20));
    fixture.end(run, wire::RunOutcome::Failed);
    const auto isOrderedAgain
        = [&] { return fixture.orders.back().task.job == WorkId(id) && fixture.orders.back() != run; };
    cr_expect_not(isOrderedAgain(), "nobody keeps other entries from it");
    const auto all = fixture.asked(id);
    cr_assert_eq(all.size(), agentCount, "the other agents are asked");
    fixture.answerClaim(all[2], id, true);
    fixture.answerClaim(all[3], id, true);
    cr_expect(isOrderedAgain());
}

struct KeeperRow {
    char name[32];
    std::array<bool, agentCount> keepsClaims;
    size_t asked;
};

ParameterizedTestParameters(JobClaims, agentsOfEarlierReleasesGetNoClaimsAndBlockNoJobs)
{
    static KeeperRow rows[] = {
        { "no agent", { false, false, false, false }, 0 },
        { "one agent", { false, true, false, false }, 1 },
        { "one failure domain", { true, true, false, false }, 2 },
        { "one of each failure domain", { true, false, true, false }, 2 },
    };
    return cr_make_param_array(KeeperRow, rows, sizeof(rows) / sizeof(KeeperRow));
}

ParameterizedTest(KeeperRow* row, JobClaims, agentsOfEarlierReleasesGetNoClaimsAndBlockNoJobs)
{
    std::set<size_t> keepers;
    for (size_t i = 0; i < agentCount; ++i) {
        if (row->keepsClaims[i])
            keepers.insert(i);
    }
    ClaimFixture fixture(keepers);
    fixture.submit(1);
    cr_expect_eq(fixture.orders.size(), 1U, "%s: on a calm day", row->name);
    fixture.unlink(3);
    fixture.link(3);
    fixture.submit(2);
    const auto asked = fixture.asked(2);
    cr_expect_eq(asked.size(), row->asked, "%s", row->name);
    for (const auto agent : asked)
        fixture.answerClaim(agent, 2, true);
    cr_expect_eq(fixture.orders.size(), 2U, "%s: after the loss of a link", row->name);
    fixture.end(fixture.orders[0], wire::RunOutcome::Done);
    fixture.end(fixture.orders.back(), wire::RunOutcome::Done);
    for (const auto& claim : fixture.claims)
        cr_expect(keepers.contains(claim.agent), "%s: claim sent to agent %zu", row->name, claim.agent);
    for (const auto& [agent, id] : fixture.releases)
        cr_expect(keepers.contains(agent), "%s: release sent to agent %zu", row->name, agent);
}

namespace {

constexpr LinkId firstLink { 1 };
constexpr LinkId secondLink { 2 };
constexpr LinkId thirdLink { 3 };

/** Entry of each link. */
constexpr Incarnation entryOf(LinkId link) { return Incarnation(10 + raw(link)); }

/** A run gate with entries, three at first, whose messages are sent by the test. */
class GateFixture {
public:
    /** `takers`: the links whose entries know claims. */
    explicit GateFixture(std::set<LinkId> takers = { firstLink, secondLink, thirdLink })
        : gate(Incarnation(7), {}, std::chrono::system_clock::time_point(std::chrono::hours(500000)))
        , takers(std::move(takers))
    {
        ServerReport report;
        report.instance = "i-1";
        report.startedMs = 1;
        report.service = "service";
        report.total = { 10000, 1000, 0 };
        report.sequence = 1;
        gate.serverAnnounced(report, now);
        gate.tick(now);
        answerPoll();
        for (const auto link : { firstLink, secondLink, thirdLink })
            linkEntry(link);
    }

    void linkEntry(LinkId link)
    {
        wire::WelcomeT welcome;
        welcome.entry = "entry";
        welcome.incarnation = raw(entryOf(link));
        welcome.relays = true;
        welcome.claims = takers.contains(link);
        linked.insert(link);
        gate.entryLinked(link, welcome, now, now);
        collectEffects();
    }

    void unlink(LinkId link)
    {
        linked.erase(link);
        gate.linkClosed(link, now);
        collectEffects();
    }

    template <typename Message> void deliver(LinkId link, Message message)
    {
        wire::BodyUnion body;
        body.Set(std::move(message));
        gate.receive(link, body, now, now);
        collectEffects();
    }

    void claim(LinkId link, std::vector<uint64_t> jobs, Incarnation predecessor = {}, bool isComplete = false)
    {
        wire::JobClaimT message;
        message.jobs = std::move(jobs);
        message.predecessor = raw(predecessor);
        message.is_complete = isComplete;
        deliver(link, std::move(message));
    }

    void release(LinkId link, std::vector<uint64_t> jobs)
    {
        wire::JobReleaseT message;
        message.jobs = std::move(jobs);
        deliver(link, std::move(message));
    }

    /** Orders a run, which starts. */
    void startRun(LinkId link, uint64_t id)
    {
        const RunId run { { WorkId(id), StepIndex(0), TaskIndex(0) }, RunNumber(1) };
        wire::RunOrderT order;
        order.id = std::make_unique<wire::RunId>(toWire(run));
        order.agent_incarnation = 7;
        order.room = std::make_unique<wire::Room>(toWire(Resources { 1000, 64, 0 }));
        order.estimate_ms = 100;
        order.remaining_ms = 1000;
        order.route = "route";
        deliver(link, std::move(order));
        gate.startAnswered(run, StartOutcome::Started, now);
        collectEffects();
    }

    void answerPoll()
    {
        collectEffects();
        Listing listing;
        listing.startedMs = 1;
        gate.pollAnswered(lastPoll, PollOutcome::Listed, listing, now);
        collectEffects();
    }

    /** Advances the clock; the linked entries send heartbeats and polls are answered. */
    void advance(Milliseconds time)
    {
        for (const auto until = now + time; now < until;) {
            now += Milliseconds(20);
            for (const auto link : linked)
                deliver(link, wire::BeatT());
            gate.tick(now);
            answerPoll();
        }
    }

    void collectEffects()
    {
        for (auto& effect : gate.takeEffects()) {
            if (const auto* poll = std::get_if<PollServer>(&effect))
                lastPoll = poll->number;
            const auto* send = std::get_if<SendMessage>(&effect);
            if (send == nullptr)
                continue;
            types[send->link].push_back(send->body.type);
            if (const auto* result = send->body.AsJobClaimResult())
                results[send->link].push_back(*result);
            else if (const auto* state = send->body.AsEntryState())
                states[send->link].emplace_back(state->entry, state->is_linked);
        }
    }

    void forgetMessages()
    {
        types.clear();
        results.clear();
        states.clear();
    }

    /** Position of the first message of a type on a link; the number of messages if there is none. */
    size_t positionOf(LinkId link, wire::Body type)
    {
        const auto& sent = types[link];
        return static_cast<size_t>(std::find(sent.begin(), sent.end(), type) - sent.begin());
    }

    TimePoint now { std::chrono::seconds(100) };
    RunGate gate;
    std::set<LinkId> takers;
    std::set<LinkId> linked;
    uint64_t lastPoll = 0;
    std::map<LinkId, std::vector<wire::Body>> types; ///< Of the messages sent.
    std::map<LinkId, std::vector<wire::JobClaimResultT>> results;
    std::map<LinkId, std::vector<std::pair<uint64_t, bool>>> states; ///< Entries, and whether they have a link.
};

using States = std::vector<std::pair<uint64_t, bool>>;

} // namespace

Test(JobClaims, anAgentRefusesAClaimThatAnotherEntryHoldsUntilItIsReleased)
{
    GateFixture fixture;
    fixture.claim(firstLink, { 1, 2 });
    cr_assert_eq(fixture.results[firstLink].size(), 2U);
    for (const auto& result : fixture.results[firstLink])
        cr_expect(result.granted);
    fixture.claim(secondLink, { 1 });
    cr_assert_eq(fixture.results[secondLink].size(), 1U);
    const auto refused = fixture.results[secondLink].front();
    cr_expect_eq(refused.job, 1U);
    cr_expect_not(refused.granted);
    cr_expect_eq(refused.holder, raw(entryOf(firstLink)));
    cr_expect_not(refused.is_lost);
    fixture.advance(Milliseconds(2000));
    cr_expect_eq(fixture.results[secondLink].size(), 1U, "the claim of a holder with a link doesn't lapse");
    fixture.release(firstLink, { 1 });
    cr_assert_eq(fixture.results[secondLink].size(), 2U);
    cr_expect_eq(fixture.results[secondLink].back().job, 1U);
    cr_expect(fixture.results[secondLink].back().granted);
    fixture.claim(thirdLink, { 2 });
    cr_expect_not(fixture.results[thirdLink].back().granted, "the other job is still claimed");
}

struct LostLinkRow {
    char name[48];
    bool asksBefore; ///< The other entry asks before the holder loses its link.
    Milliseconds wait; ///< After the loss of the link.
    bool relinks; ///< The holder links again then, and names its claim.
    bool isGranted; ///< The other entry has the claim when the runs of the holder are over.
};

ParameterizedTestParameters(JobClaims, theClaimOfAnEntryWithoutALinkIsRefusedUntilItsRunsAreOver)
{
    static LostLinkRow rows[] = {
        { "asked before", true, Milliseconds(500), false, true },
        { "asked after", false, Milliseconds(500), false, true },
        { "asked before, holder back in time", true, Milliseconds(500), true, false },
        { "asked after, holder back in time", false, Milliseconds(500), true, false },
    };
    return cr_make_param_array(LostLinkRow, rows, sizeof(rows) / sizeof(LostLinkRow));
}

ParameterizedTest(LostLinkRow* row, JobClaims, theClaimOfAnEntryWithoutALinkIsRefusedUntilItsRunsAreOver)
{
    GateFixture fixture;
    const auto bound = RunGateLimits().ownerBound();
    fixture.claim(firstLink, { 1 });
    if (row->asksBefore)
        fixture.claim(secondLink, { 1 });
    fixture.unlink(firstLink);
    if (!row->asksBefore)
        fixture.claim(secondLink, { 1 });
    auto& results = fixture.results[secondLink];
    cr_assert_eq(results.size(), row->asksBefore ? 2U : 1U, "%s", row->name);
    cr_expect_not(results.back().granted, "%s", row->name);
    cr_expect_eq(results.back().holder, raw(entryOf(firstLink)), "%s", row->name);
    cr_expect(results.back().is_lost, "%s", row->name);
    if (row->asksBefore)
        cr_expect_not(results.front().is_lost, "%s", row->name);
    const auto refusals = results.size();
    fixture.advance(row->wait);
    if (row->relinks) {
        fixture.linkEntry(firstLink);
        fixture.claim(firstLink, { 1 }, {}, true);
        cr_expect(fixture.results[firstLink].back().granted, "%s", row->name);
    }
    fixture.advance(bound - row->wait - Milliseconds(20));
    cr_expect_eq(results.size(), refusals, "%s: runs of the holder may go on", row->name);
    fixture.advance(Milliseconds(40));
    cr_expect_eq(results.size(), refusals + (row->isGranted ? 1U : 0U), "%s", row->name);
    cr_expect_eq(results.back().granted, row->isGranted, "%s", row->name);
}

Test(JobClaims, anAgentLetsOnlyTheNamedPredecessorBeReplaced)
{
    GateFixture fixture;
    fixture.claim(firstLink, { 1 });
    fixture.claim(secondLink, { 1 }, entryOf(firstLink));
    cr_expect_not(fixture.results[secondLink].back().granted, "the holder has a link");
    fixture.unlink(firstLink);
    fixture.claim(secondLink, { 1 }, entryOf(thirdLink));
    cr_expect_not(fixture.results[secondLink].back().granted, "another entry holds it");
    fixture.claim(secondLink, { 1 }, entryOf(firstLink));
    cr_expect(fixture.results[secondLink].back().granted);
    fixture.linkEntry(firstLink);
    fixture.claim(firstLink, { 1 }, {}, true);
    cr_expect_not(fixture.results[firstLink].back().granted, "two entries would run the job");
    cr_expect_eq(fixture.results[firstLink].back().holder, raw(entryOf(secondLink)));
    cr_expect_not(fixture.results[firstLink].back().is_lost);
}

Test(JobClaims, claimsLeftOutOfACompleteListGoToEntriesThatWait)
{
    GateFixture fixture;
    fixture.claim(firstLink, { 1, 2 });
    fixture.claim(secondLink, { 1, 2 });
    fixture.claim(firstLink, { 2 }, {}, true);
    const auto& results = fixture.results[secondLink];
    cr_assert_eq(results.size(), 3U);
    cr_expect_eq(results.back().job, 1U);
    cr_expect(results.back().granted);
    cr_expect(fixture.results[firstLink].back().granted);
}

Test(JobClaims, anEntryIsNotToldOfALostLinkBeforeTheRunsOfThatEntry)
{
    GateFixture fixture;
    fixture.claim(firstLink, { 1 });
    fixture.claim(secondLink, { 1 });
    fixture.startRun(firstLink, 1);
    fixture.forgetMessages();
    fixture.unlink(firstLink);
    const States lost { { raw(entryOf(firstLink)), false } };
    for (const auto link : { secondLink, thirdLink }) {
        const auto sent = fixture.types[link].size();
        const auto state = fixture.positionOf(link, wire::Body::EntryState);
        cr_expect(fixture.states[link] == lost);
        cr_assert_lt(state, sent);
        cr_expect_lt(fixture.positionOf(link, wire::Body::OrphanedRuns), state);
    }
    cr_expect_lt(fixture.positionOf(secondLink, wire::Body::OrphanedRuns),
        fixture.positionOf(secondLink, wire::Body::JobClaimResult), "a claim may be taken over on this result");
    cr_expect(fixture.results[thirdLink].empty(), "it doesn't wait for the claim");
    // The same for an entry that links only now.
    fixture.unlink(thirdLink);
    fixture.forgetMessages();
    fixture.linkEntry(thirdLink);
    cr_expect(fixture.states[thirdLink] == lost, "its own link is no news to an entry");
    cr_expect_lt(
        fixture.positionOf(thirdLink, wire::Body::OrphanedRuns), fixture.positionOf(thirdLink, wire::Body::EntryState));
    fixture.forgetMessages();
    fixture.linkEntry(firstLink);
    const States back { { raw(entryOf(firstLink)), true } };
    cr_expect(fixture.states[secondLink] == back);
    cr_expect(fixture.states[thirdLink] == back);
    cr_expect(fixture.states[firstLink].empty());
}

Test(JobClaims, aLinkThatReplacesAnotherIsNotTakenForALostEntry)
{
    GateFixture fixture;
    fixture.claim(firstLink, { 1 });
    fixture.claim(secondLink, { 1 });
    fixture.forgetMessages();
    wire::WelcomeT welcome;
    welcome.entry = "entry";
    welcome.incarnation = raw(entryOf(firstLink));
    welcome.claims = true;
    fixture.gate.entryLinked(LinkId(9), welcome, fixture.now, fixture.now);
    fixture.collectEffects();
    fixture.gate.linkClosed(firstLink, fixture.now); // The end of the old link is noticed after the new one.
    fixture.collectEffects();
    cr_expect(fixture.states[secondLink].empty());
    cr_expect(fixture.results[secondLink].empty());
    fixture.linked.erase(firstLink);
    fixture.linked.insert(LinkId(9));
    fixture.advance(Milliseconds(2000));
    cr_expect(fixture.results[secondLink].empty(), "the claim must not lapse");
}

Test(JobClaims, entriesThatLinkLongAfterALossAreNotToldOfIt)
{
    GateFixture fixture;
    fixture.unlink(firstLink);
    fixture.advance(RunGateLimits().lostEntryRetention + Milliseconds(20));
    fixture.unlink(secondLink);
    fixture.forgetMessages();
    fixture.linkEntry(secondLink);
    cr_expect(fixture.states[secondLink].empty());
}

Test(JobClaims, entriesOfEarlierReleasesAreNotToldOfEntries)
{
    GateFixture fixture({ firstLink, secondLink });
    fixture.startRun(firstLink, 1);
    fixture.unlink(firstLink);
    fixture.unlink(thirdLink);
    fixture.linkEntry(thirdLink);
    fixture.linkEntry(firstLink);
    fixture.advance(Milliseconds(100));
    cr_expect_not(fixture.states[secondLink].empty());
    cr_expect(fixture.states[thirdLink].empty(), "it would close the link");
    cr_expect(fixture.results[thirdLink].empty());
    cr_expect_not(fixture.types[thirdLink].empty());
}
