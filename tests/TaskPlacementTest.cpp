/** @file TaskPlacementTest.cpp Placement and admission: single decisions, and simulations under load and faults. */
#include "ClusterSimulation.h"

#include <sequoia/AgentShares.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <numeric>

using namespace sequoia;
using namespace sequoia::test;

namespace {

PlacementRequest requestOf(Milliseconds estimate, int64_t count = 1)
{
    PlacementRequest request;
    request.resources = { 1000, 64, 0 };
    request.count = count;
    request.estimate = estimate;
    request.stretch = 1.6;
    request.objective = Milliseconds(60);
    request.remaining = Milliseconds(1500);
    return request;
}

PlacementCandidate candidateOf(int64_t cpu, double slowness)
{
    PlacementCandidate candidate;
    candidate.free = { cpu, 1 << 20, 0 };
    candidate.slowness = slowness;
    candidate.maxTasks = INT64_MAX;
    return candidate;
}

/** Name of a simulation in the messages of its expectations. */
std::string nameOf(uint64_t seed, const char* row = nullptr)
{
    return (row == nullptr ? "" : std::string(row) + ", ") + "seed " + std::to_string(seed);
}

void expectNoViolations(const SimulationReport& report, const std::string& name)
{
    cr_expect(report.violations.empty(), "%s: %zu violations", name.c_str(), report.violations.size());
    for (const auto& violation : report.violations)
        cr_expect_fail("%s: %s", name.c_str(), violation.c_str());
}

void expectServed(const SimulationReport& report, double share, const std::string& name)
{
    cr_expect_geq(report.servedShare(), share, "%s: served %f", name.c_str(), report.servedShare());
}

} // namespace

struct FitCountRow {
    char name[32];
    Resources part;
    Resources whole;
    int64_t limit;
    int64_t expected;
};

ParameterizedTestParameters(Resources, timesFitting)
{
    static FitCountRow rows[] = {
        { "limited by processors", { 1000, 10, 0 }, { 3500, 1000, 0 }, 10, 3 },
        { "limited by memory", { 1000, 10, 0 }, { 9000, 25, 0 }, 10, 2 },
        { "limited by accelerators", { 1, 1, 1 }, { 100, 100, 0 }, 10, 0 },
        { "limited by the maximum", { 1, 1, 0 }, { 100, 100, 0 }, 7, 7 },
        { "no resources needed", { 0, 0, 0 }, { 0, 0, 0 }, 7, 7 },
        { "overcommitted", { 1000, 1, 0 }, { -5, 100, 0 }, 7, 0 },
        { "accelerators overcommitted", { 1000, 1, 0 }, { 5000, 100, -1 }, 7, 0 },
        { "memory overcommitted", { 1000, 0, 0 }, { 5000, -1, 0 }, 7, 0 },
    };
    return cr_make_param_array(FitCountRow, rows, sizeof(rows) / sizeof(FitCountRow));
}

ParameterizedTest(FitCountRow* row, Resources, timesFitting)
{
    cr_expect_eq(timesFitting(row->part, row->whole, row->limit), row->expected, "%s", row->name);
    cr_expect_eq(row->part.fitsIn(row->whole), timesFitting(row->part, row->whole, 1) == 1, "%s", row->name);
}

struct FitRow {
    char name[40];
    int estimateMs;
    int waitedMs;
    int remainingMs;
    double slowness;
    int expectedFit; ///< Expected Fit.
};

ParameterizedTestParameters(TaskPlacement, fits)
{
    static FitRow rows[] = {
        { "short on a slow server", 60, 0, 1500, 1.7, static_cast<int>(Fit::Safe) },
        { "short on a slow server, after a wait", 60, 60, 1440, 2.5, static_cast<int>(Fit::Late) },
        { "long on a fast server", 900, 0, 1500, 0.7, static_cast<int>(Fit::Safe) },
        { "long, in time if the estimate is right", 900, 0, 1500, 1.3, static_cast<int>(Fit::Likely) },
        { "long on a slow server", 900, 0, 1500, 1.7, static_cast<int>(Fit::Late) },
        { "longer than the caller waits", 3600, 0, 1500, 1.0, static_cast<int>(Fit::MissesDeadline) },
    };
    return cr_make_param_array(FitRow, rows, sizeof(rows) / sizeof(FitRow));
}

ParameterizedTest(FitRow* row, TaskPlacement, fits)
{
    auto request = requestOf(Milliseconds(row->estimateMs));
    request.waited = Milliseconds(row->waitedMs);
    request.remaining = Milliseconds(row->remainingMs);
    cr_expect_eq(
        static_cast<int>(fitOf(candidateOf(1000, row->slowness), request, {})), row->expectedFit, "%s", row->name);
}

struct ShareRow {
    char name[40];
    size_t agents;
    size_t entries;
    size_t minPreferred; ///< Bounds of the number of agents that an entry prefers.
    size_t maxPreferred;
};

ParameterizedTestParameters(AgentShares, everyAgentIsPreferredBySomeEntryAndSharesAreEqual)
{
    static ShareRow rows[] = {
        { "one entry", 11, 1, 11, 11 },
        { "first deployments", 11, 3, 4, 5 },
        { "large deployment", 160, 35, 5, 6 },
        { "evenly divisible", 12, 4, 3, 3 },
        { "more entries than agents", 3, 7, 1, 2 },
        { "no agents", 0, 3, 0, 0 },
    };
    return cr_make_param_array(ShareRow, rows, sizeof(rows) / sizeof(ShareRow));
}

ParameterizedTest(ShareRow* row, AgentShares, everyAgentIsPreferredBySomeEntryAndSharesAreEqual)
{
    std::vector<size_t> entriesOf(row->agents);
    for (size_t entry = 0; entry < row->entries; ++entry) {
        size_t preferred = 0;
        for (size_t agent = 0; agent < row->agents; ++agent) {
            if (!isPreferredAgent(agent, row->agents, entry, row->entries))
                continue;
            ++preferred;
            ++entriesOf[agent];
        }
        cr_expect_geq(preferred, row->minPreferred, "%s: entry %zu", row->name, entry);
        cr_expect_leq(preferred, row->maxPreferred, "%s: entry %zu", row->name, entry);
    }
    for (const auto n : entriesOf)
        cr_expect_geq(n, 1U, "%s", row->name);
}

struct PreferredRow {
    char name[56];
    bool isFirstPreferred;
    int64_t firstFree; ///< Thousandths of a core, of 10 cores.
    double firstSlowness;
    int64_t secondFree; ///< The second server is preferred, and slow.
    size_t expectedCandidate; ///< Position of the expected server.
};

ParameterizedTestParameters(TaskPlacement, prefersServersOfTheEntrysShare)
{
    static PreferredRow rows[] = {
        { "equal servers", false, 10000, 1.2, 10000, 1 },
        { "another entry's server is faster", false, 10000, 0.7, 10000, 1 },
        { "both are preferred, the first is faster", true, 5000, 0.7, 10000, 0 },
        { "the preferred one has no reserve left", false, 9000, 0.7, 2000, 0 },
        { "neither server has a reserve left", false, 5000, 0.7, 2000, 1 },
        { "the preferred server is full", false, 2000, 0.7, 0, 0 },
    };
    return cr_make_param_array(PreferredRow, rows, sizeof(rows) / sizeof(PreferredRow));
}

ParameterizedTest(PreferredRow* row, TaskPlacement, prefersServersOfTheEntrysShare)
{
    std::vector<PlacementCandidate> candidates { candidateOf(row->firstFree, row->firstSlowness),
        candidateOf(row->secondFree, 1.2) };
    candidates[0].isPreferred = row->isFirstPreferred;
    for (auto& candidate : candidates)
        candidate.total = { 10000, 1 << 20, 0 };
    const auto choice = choosePlacement(candidates, requestOf(Milliseconds(60)), {});
    cr_assert(choice.has_value(), "%s", row->name);
    cr_expect_eq(choice->candidate, row->expectedCandidate, "%s", row->name);
}

Test(ClusterSimulation, manyEntriesUseFreeResourcesWithoutConflicts, .timeout = 300)
{
    // 1.25 times the load of the large deployment leaves a third of the processors free, so a scheduler with full
    // knowledge would finish all short jobs in time (the ideal queue of docs/PLATFORM.md: 0.993 at 1.4 times). The test
    // fails if entries order from the same servers on outdated reports, and their orders are refused.
    auto scenario = largeScenario("many entries");
    scenario.load = 1.25;
    scenario.length = Milliseconds(5000);
    const auto report = simulate(scenario);
    cr_expect(report.violations.empty());
    for (const auto* name : { "scan", "fill" }) {
        const auto& kind = report.kinds.at(name);
        cr_expect_geq(static_cast<double>(kind.inTime), 0.98 * static_cast<double>(kind.submitted),
            "%s: %zu of %zu in time", name, kind.inTime, kind.submitted);
    }
    cr_expect_leq(
        report.refusedOrders, report.orders / 2, "%lu of %lu orders refused", report.refusedOrders, report.orders);
}

struct ReserveRow {
    char name[48];
    int estimateMs;
    int64_t fastFree; ///< Thousandths of a core, of 10 cores.
    size_t expectedCandidate; ///< 0 is the fast server, 1 the slow one.
};

ParameterizedTestParameters(TaskPlacement, shortTasksLeaveAReserveOnFastServers)
{
    static ReserveRow rows[] = {
        { "short, the fast server is empty", 60, 10000, 0 },
        { "short, the reserve is just kept", 60, 3000, 0 },
        { "short, the reserve would be used", 60, 2900, 1 },
        { "long, the fast server is empty", 900, 10000, 0 },
        { "long, the reserve is used", 900, 1000, 0 },
    };
    return cr_make_param_array(ReserveRow, rows, sizeof(rows) / sizeof(ReserveRow));
}

ParameterizedTest(ReserveRow* row, TaskPlacement, shortTasksLeaveAReserveOnFastServers)
{
    std::vector<PlacementCandidate> candidates { candidateOf(row->fastFree, 0.55), candidateOf(10000, 1.2) };
    for (auto& candidate : candidates)
        candidate.total = { 10000, 1 << 20, 0 };
    const auto choice = choosePlacement(candidates, requestOf(Milliseconds(row->estimateMs)), {});
    cr_assert(choice.has_value());
    cr_expect_eq(choice->candidate, row->expectedCandidate, "%s", row->name);
}

/** A server whose slowness is known from few jobs may be slower than it seems. */
Test(TaskPlacement, longTasksAvoidServersOfUnknownSpeed)
{
    std::vector<PlacementCandidate> candidates { candidateOf(9000, 1.2), candidateOf(9000, 1.0) };
    candidates[1].slownessSpread = 0.5;
    auto request = requestOf(Milliseconds(900));
    request.remaining = Milliseconds(6000);
    const auto choice = choosePlacement(candidates, request, {});
    cr_assert(choice.has_value());
    cr_expect_eq(choice->candidate, 0U);
}

Test(TaskPlacement, tasksOfAJobArePlacedTogetherIfTheyFit)
{
    const std::vector<PlacementCandidate> candidates { candidateOf(2000, 1.0), candidateOf(9000, 1.0),
        candidateOf(4000, 1.0) };
    const auto choice = choosePlacement(candidates, requestOf(Milliseconds(100), 8), {});
    cr_assert(choice.has_value());
    cr_expect_eq(choice->candidate, 1U);
    cr_expect_eq(choice->count, 8);
}

Test(TaskPlacement, waitsABoundedTimeForAFastServer)
{
    const std::vector<PlacementCandidate> candidates { candidateOf(0, 0.55), candidateOf(9000, 1.3) };
    auto request = requestOf(Milliseconds(900));
    cr_expect_not(
        choosePlacement(candidates, request, {}).has_value(), "it must wait, as the fast server may become free");
    request.waited = Milliseconds(250);
    request.remaining -= request.waited;
    const auto choice = choosePlacement(candidates, request, {});
    cr_assert(choice.has_value());
    cr_expect_eq(choice->candidate, 1U);
}

Test(TaskPlacement, serverOnTrialGetsOneTask)
{
    std::vector<PlacementCandidate> candidates { candidateOf(9000, 1.0), candidateOf(9000, 1.0) };
    candidates[1].isTrial = true;
    candidates[1].maxTasks = 1;
    const auto choice = choosePlacement(candidates, requestOf(Milliseconds(100), 8), {});
    cr_assert(choice.has_value());
    cr_expect_eq(choice->candidate, 1U);
    cr_expect_eq(choice->count, 1);
}

struct AdmitRow {
    char name[64];
    double ahead;
    double queued;
    double capacity;
    double overtaking;
    double arriving;
    int ageMs;
    int remainingMs;
    int expectedDecision; ///< Expected AdmissionDecision.
};

ParameterizedTestParameters(TaskPlacement, admits)
{
    constexpr int inTime = static_cast<int>(AdmissionDecision::InTime);
    constexpr int late = static_cast<int>(AdmissionDecision::Late);
    constexpr int reject = static_cast<int>(AdmissionDecision::Reject);
    // The job takes 100 ms; its objective is 220 ms, so that it may wait 110 ms.
    static AdmitRow rows[] = {
        { "empty queue", 0, 0, 0, 0, 0, 0, 1500, inTime },
        { "short queue", 10000, 10000, 100, 0, 0, 0, 1500, inTime },
        { "queue longer than the objective, but not than its caller", 50000, 50000, 100, 0, 0, 0, 1500, late },
        { "queue longer than the late limit, but not than its caller", 70000, 70000, 100, 0, 0, 0, 1500, reject },
        { "past the late limit, queue shorter than its caller waits", 20000, 20000, 100, 0, 0, 700, 800, late },
        { "queue longer than its caller waits", 200000, 200000, 100, 0, 0, 0, 1500, reject },
        { "more urgent work takes most of the capacity", 5000, 5000, 100, 90, 90, 0, 1500, late },
        { "queue only behind the job", 0, 200000, 100, 0, 0, 0, 1500, inTime },
        { "older than its objective, with nothing ahead of it", 0, 10000, 100, 0, 0, 200, 1500, late },
        { "its deadline is near", 30000, 30000, 100, 0, 0, 0, 300, reject },
        { "no capacity", 10000, 10000, 0, 0, 0, 0, 1500, reject },
    };
    return cr_make_param_array(AdmitRow, rows, sizeof(rows) / sizeof(AdmitRow));
}

ParameterizedTest(AdmitRow* row, TaskPlacement, admits)
{
    const QueuedJob job { Milliseconds(100), 1.6, Milliseconds(60), Milliseconds(row->ageMs),
        Milliseconds(row->remainingMs), 1 };
    const LoadView load { row->ahead, row->queued, row->capacity, row->overtaking, row->arriving, true };
    const auto admission = admit(job, load, {});
    cr_expect_eq(static_cast<int>(admission.decision), row->expectedDecision, "%s", row->name);
    cr_expect_eq(admission.retryAfter.count() > 0, admission.decision == AdmissionDecision::Reject, "%s", row->name);
    auto incomplete = load;
    incomplete.isComplete = false;
    cr_expect(admit(job, incomplete, {}).decision == AdmissionDecision::InTime,
        "%s: no job is refused while agents are being discovered", row->name);
}

/**
 * A simulation and lower bounds of what callers must get. The bounds follow from the users' requirements: under usual
 * load nearly all jobs in time; under overload no kind and no size of job starves.
 */
struct SimulationRow {
    char name[40];
    bool isSnevaern;
    double load;
    int faultKind; ///< ServerFaultKind, -1 for none.
    size_t faultyServers; ///< Number of servers with the fault.
    double failingShare;
    double lateOrders;
    double lostReplies;
    bool killsEntry;
    bool partitionsEntry;
    double minValueShare;
    double minKindShare;
    double minLargeJobRatio;
};

ParameterizedTestParameters(ClusterSimulation, meetsServiceObjectives)
{
    constexpr int none = -1;
    static SimulationRow rows[] = {
        { "minga, usual load", false, 1.0, none, 0, 0, 0, 0, false, false, 0.95, 0.8, 0.5 },
        { "snevaern, usual load", true, 1.0, none, 0, 0, 0, 0, false, false, 0.95, 0.8, 0.5 },
        { "minga, high load", false, 1.25, none, 0, 0, 0, 0, false, false, 0.95, 0.8, 0.5 },
        { "snevaern, high load", true, 1.25, none, 0, 0, 0, 0, false, false, 0.95, 0.8, 0.5 },
        { "minga, overload", false, 1.5, none, 0, 0, 0, 0, false, false, 0.8, 0.5, 0.5 },
        { "snevaern, overload", true, 1.5, none, 0, 0, 0, 0, false, false, 0.8, 0.5, 0.5 },
        { "two servers unreachable", false, 1.0, static_cast<int>(ServerFaultKind::Unreachable), 2, 0, 0, 0, false,
            false, 0.9, 0.8, 0.5 },
        { "two servers crash", true, 1.0, static_cast<int>(ServerFaultKind::Crash), 2, 0, 0, 0, false, false, 0.9, 0.8,
            0.5 },
        { "two servers hang", false, 1.0, static_cast<int>(ServerFaultKind::Hang), 2, 0, 0, 0, false, false, 0.9, 0.8,
            0.5 },
        { "two servers slow", true, 1.0, static_cast<int>(ServerFaultKind::Slow), 2, 0, 0, 0, false, false, 0.9, 0.8,
            0.5 },
        { "one server fails all runs", false, 1.0, static_cast<int>(ServerFaultKind::Fail), 1, 0, 0, 0, false, false,
            0.9, 0.8, 0.5 },
        { "poison", false, 1.0, none, 0, 0.05, 0, 0, false, false, 0.85, 0.8, 0.5 },
        { "starts and stops take effect late", false, 1.0, none, 0, 0, 0.05, 0, false, false, 0.9, 0.8, 0.5 },
        { "lost replies", true, 1.0, none, 0, 0, 0, 0.05, false, false, 0.85, 0.8, 0.5 },
        { "an entry is killed", false, 1.0, none, 0, 0, 0, 0, true, false, 0.85, 0.8, 0.5 },
        { "an entry is partitioned", true, 1.0, none, 0, 0, 0, 0, false, true, 0.75, 0.7, 0.5 },
        { "all faults together", false, 1.1, static_cast<int>(ServerFaultKind::Unreachable), 2, 0.03, 0.03, 0.03, true,
            true, 0.6, 0.5, 0.5 },
    };
    return cr_make_param_array(SimulationRow, rows, sizeof(rows) / sizeof(SimulationRow));
}

ParameterizedTest(SimulationRow* row, ClusterSimulation, meetsServiceObjectives, .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        auto scenario = row->isSnevaern ? snevaernScenario(row->name) : mingaScenario(row->name);
        scenario.seed = seed;
        scenario.load = row->load;
        scenario.lateOrders = row->lateOrders;
        scenario.lostReplies = row->lostReplies;
        for (auto& kind : scenario.kinds)
            kind.failingShare = row->failingShare;
        if (row->faultKind >= 0) {
            std::vector<size_t> servers;
            for (size_t i = 0; i < row->faultyServers; ++i)
                servers.push_back((seed + i * 4) % scenario.servers);
            const auto fault = static_cast<ServerFaultKind>(row->faultKind);
            scenario.faults = { { fault, servers, Milliseconds(5000), Milliseconds(4000) },
                { fault, servers, Milliseconds(13000), Milliseconds(3000) } };
        }
        if (row->killsEntry)
            scenario.entryKills = { { 0, Milliseconds(7000) }, { 1, Milliseconds(7500) } };
        if (row->partitionsEntry)
            scenario.entryPartitions = { { 0, Milliseconds(10000) } };
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed, row->name));
        cr_expect_geq(report.valueShare(), row->minValueShare, "%s, seed %d: share of the value %f", row->name,
            static_cast<int>(seed), report.valueShare());
        cr_expect_geq(report.worstKindShare(), row->minKindShare, "%s, seed %d: share of the worst kind %f", row->name,
            static_cast<int>(seed), report.worstKindShare());
        cr_expect_geq(report.worstLargeJobRatio(), row->minLargeJobRatio, "%s, seed %d: ratio of large jobs %f",
            row->name, static_cast<int>(seed), report.worstLargeJobRatio());
    }
}

/**
 * Joined bursts bring more work than the servers can do. Jobs that would end too late to be worth anything must not
 * take room from others: callers get at least 97% of what one entry with a perfect view would give them.
 */
Test(ClusterSimulation, joinedBurstsServeNearlyAsMuchAsAPerfectView, .timeout = 120)
{
    constexpr uint64_t seeds = 6;
    double earned = 0;
    double possible = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        auto scenario = joinedBurstsScenario("joined bursts");
        scenario.seed = seed;
        earned += simulate(scenario).valueShare();
        possible += simulate(withPerfectView(scenario)).valueShare();
    }
    cr_expect_geq(earned, 0.97 * possible, "worth %.3f, with a perfect view %.3f", earned / seeds, possible / seeds);
}

/**
 * Servers leave a share of all calls unanswered and carry them out seconds later. A call that gets lost must cost its
 * job little time, and the server little room.
 */
Test(ClusterSimulation, servesCallersWhileThreeCallsInTenGetLost, .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        auto scenario = akwScenario("three calls in ten get lost");
        scenario.seed = seed;
        scenario.lateOrders = 0.3;
        scenario.lostPolls = 0.3;
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed));
        expectServed(report, 0.92, nameOf(seed));
        const double possible = simulate(withPerfectView(scenario)).valueShare();
        cr_expect_geq(report.valueShare(), 0.97 * possible, "seed %d: worth %.3f, with a perfect view %.3f",
            static_cast<int>(seed), report.valueShare(), possible);
    }
}

/**
 * A start that an agent sent before it was killed may reach the server late. It must not run beside a run of the same
 * task that the restarted agent started.
 */
Test(ClusterSimulation, runsOfAKilledAgentNeverOverlapTheirReplacements, .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        auto scenario = mingaScenario("agents are killed, starts and stops take effect late");
        scenario.seed = seed;
        scenario.load = 1.25;
        scenario.lateOrders = 0.1;
        for (size_t i = 0; i < 6 * scenario.servers; ++i)
            scenario.agentKills.emplace_back(i % scenario.servers, Milliseconds(1000 + 250 * i));
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed));
        expectServed(report, 0.5, nameOf(seed));
    }
}

/**
 * With far too short estimates, runs are stopped as stragglers. Each stop doubles the time allowed, as otherwise no job
 * would ever end.
 */
Test(ClusterSimulation, jobsEndWithEstimatesTenTimesTooShort, .timeout = 60)
{
    auto scenario = mingaScenario("estimates ten times too short");
    scenario.load = 0.7;
    scenario.estimateFactor = 0.1;
    const auto report = simulate(scenario);
    cr_expect(report.violations.empty());
    cr_expect_geq(
        report.servedShare(), 0.95, "served %f, share of the value %f", report.servedShare(), report.valueShare());
}

/** Load of servers with long tasks: 3 in 100 take seven times as long, and estimates don't tell which ones. */
Scenario longTasksScenario(uint64_t seed, double load)
{
    Scenario scenario;
    scenario.name = "long tasks";
    scenario.seed = seed;
    scenario.slowness = { 1.0, 1.3 };
    scenario.sizes = { 1 };
    scenario.serverCpu = 32000;
    scenario.load = load;
    scenario.listsPercent = true;
    scenario.kinds = { { "check-in", 29, 8, 32, Milliseconds(51), Milliseconds(204), 3300, 0.00485, 0, 0 },
        { "release", 85, 2, 8, Milliseconds(170), Milliseconds(680), 3300, 0.00167, 0, 1 },
        { "purchase", 5.3, 4, 16, Milliseconds(760), Milliseconds(3040), 3300, 0.0267, 0, 2 } };
    for (auto& kind : scenario.kinds)
        kind.longShare = 0.03;
    return scenario;
}

/** Long tasks on good servers must be left to end there, and no server may be taken for a slow or stuck one. */
struct LongTaskRow {
    char name[24];
    double load;
};

ParameterizedTestParameters(ClusterSimulation, longTasksAreNotTakenForStuck)
{
    static LongTaskRow rows[] = { { "usual load", 1 }, { "low load", 0.15 }, { "high load", 1.3 } };
    return cr_make_param_array(LongTaskRow, rows, sizeof(rows) / sizeof(LongTaskRow));
}

ParameterizedTest(LongTaskRow* row, ClusterSimulation, longTasksAreNotTakenForStuck, .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        const auto report = simulate(longTasksScenario(seed, row->load));
        const auto name = nameOf(seed, row->name);
        expectNoViolations(report, name);
        cr_expect_eq(
            report.stragglers, 0U, "%s: %d runs were stopped", name.c_str(), static_cast<int>(report.stragglers));
        cr_expect_geq(report.longRuns, 1U, "%s: the scenario has no long tasks", name.c_str());
        // 3 in 100 tasks are long, and some of the others exceed their estimates as much.
        cr_expect_leq(static_cast<double>(report.progressReports), 0.12 * static_cast<double>(report.orders),
            "%s: %d progress reports for %d orders", name.c_str(), static_cast<int>(report.progressReports),
            static_cast<int>(report.orders));
        cr_expect(report.firstBlame.empty(), "%s: %zu servers were blamed", name.c_str(), report.firstBlame.size());
    }
}

/** Servers that hang or are slow must be found as fast as by run times alone, although long tasks are left running. */
struct BadServerRow {
    char name[40];
    ServerFaultKind fault;
    double longShare; ///< Share of long tasks while the servers list percents; there are none without.
};

ParameterizedTestParameters(ClusterSimulation, badServersAreFoundAsFastWithPercents)
{
    static BadServerRow rows[] = {
        { "hangs", ServerFaultKind::Hang, 0 },
        { "eight times slower", ServerFaultKind::Slow, 0 },
        { "eight times slower, long tasks", ServerFaultKind::Slow, 0.03 },
    };
    return cr_make_param_array(BadServerRow, rows, sizeof(rows) / sizeof(BadServerRow));
}

ParameterizedTest(BadServerRow* row, ClusterSimulation, badServersAreFoundAsFastWithPercents, .timeout = 120)
{
    constexpr size_t server = 2;
    constexpr Milliseconds faultAt { 5000 };
    constexpr Milliseconds tolerance { 20 }; // A tick.
    constexpr uint64_t seeds = 100; // The time differs by some 100 ms from one to the next.
    const auto meanTime = [&](bool listsPercent) {
        Milliseconds sum {};
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            auto scenario = longTasksScenario(seed, 1);
            scenario.length = Milliseconds(7000);
            scenario.faults = { { row->fault, { server }, faultAt, Milliseconds(4000), 8, true } };
            scenario.listsPercent = listsPercent;
            for (auto& kind : scenario.kinds)
                kind.longShare = listsPercent ? row->longShare : 0;
            const auto report = simulate(scenario);
            expectNoViolations(report, nameOf(seed, row->name));
            const auto found = report.firstBlame.find(server);
            cr_expect(found != report.firstBlame.end(), "%s, seed %d: not found", row->name, static_cast<int>(seed));
            sum += found == report.firstBlame.end() ? scenario.length : found->second - faultAt;
        }
        return static_cast<int>((sum / seeds).count());
    };
    const auto byProgress = meanTime(true);
    const auto byTimeAlone = meanTime(false);
    cr_log_info("%s: found after %d ms, by run times alone after %d ms", row->name, byProgress, byTimeAlone);
    cr_expect_leq(byProgress, byTimeAlone + tolerance.count(), "%s: found after %d ms, by run times alone after %d ms",
        row->name, byProgress, byTimeAlone);
}

/** Callers of reset connections send their jobs again, while the agents that run them have lost their links, too. */
struct ResetRow {
    char name[24];
    int resendMs; ///< To the same entry after this time; 0 for the usual delay, to any entry.
};

ParameterizedTestParameters(ClusterSimulation, runsOfResetConnectionsNeverOverlapTheirResubmission)
{
    static ResetRow rows[] = { { "sent again later", 0 }, { "sent again at once", 10 } };
    return cr_make_param_array(ResetRow, rows, sizeof(rows) / sizeof(ResetRow));
}

ParameterizedTest(ResetRow* row, ClusterSimulation, runsOfResetConnectionsNeverOverlapTheirResubmission, .timeout = 60)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        auto scenario = mingaScenario("connections are reset while servers are slow");
        scenario.seed = seed;
        scenario.load = 0.5;
        if (row->resendMs > 0)
            scenario.quickResend = Milliseconds(row->resendMs);
        std::vector<size_t> servers(scenario.servers);
        std::iota(servers.begin(), servers.end(), size_t(0));
        scenario.faults = { { ServerFaultKind::Slow, servers, Milliseconds(2000), scenario.length, 3 } };
        for (size_t i = 0; i < 3 * scenario.entries; ++i)
            scenario.connectionResets.emplace_back(i % scenario.entries, Milliseconds(3000 + 1500 * i));
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed, row->name));
        expectServed(report, 0.5, nameOf(seed, row->name));
    }
}

/** Callers give up and send their jobs to another entry before the first one has read their requests. */
struct LateReadingRow {
    char name[48];
    bool suspendsEntries;
    int readMs; ///< For each request and each end of a connection.
    bool endsArrive; ///< Otherwise the ends of the callers' connections get lost, as behind a cut.
};

ParameterizedTestParameters(ClusterSimulation, jobsThatWereReadLateNeverRunBesideTheirResubmission)
{
    static LateReadingRow rows[] = {
        { "suspended", true, 5, true },
        { "suspended, ends of connections get lost", true, 5, false },
        { "slow in a burst", false, 10, true },
        { "slow in a burst, ends of connections get lost", false, 10, false },
    };
    return cr_make_param_array(LateReadingRow, rows, sizeof(rows) / sizeof(LateReadingRow));
}

ParameterizedTest(
    LateReadingRow* row, ClusterSimulation, jobsThatWereReadLateNeverRunBesideTheirResubmission, .timeout = 60)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        auto scenario = mingaScenario("callers give up before entries read their requests");
        scenario.seed = seed;
        scenario.load = 0.6;
        scenario.requestBudget = Milliseconds(1500);
        scenario.callerReadTime = Milliseconds(row->readMs);
        scenario.endsArrive = row->endsArrive;
        if (row->suspendsEntries) {
            for (size_t i = 0; i < scenario.entries; ++i)
                scenario.entrySuspensions.emplace_back(i, Milliseconds(2500 + 5500 * i));
        } else {
            scenario.entryShares = { 4, 1, 1 };
            scenario.bursts = { { "", 4, Milliseconds(4000), Milliseconds(3000) } };
        }
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed, row->name));
        expectServed(report, row->suspendsEntries ? 0.5 : 0.2, nameOf(seed, row->name));
    }
}

/** Callers send their jobs to another entry while the runs that the first one ordered are being stopped. */
struct ElsewhereRow {
    char name[48];
    bool killsEntries; ///< Entries are killed; otherwise connections are reset.
    double lostStops;
    bool isEverywhere; ///< All entries at the same time.
};

ParameterizedTestParameters(ClusterSimulation, runsOfAnotherEntryNeverOverlapTheirResubmission)
{
    static ElsewhereRow rows[] = {
        { "reset connections", false, 0, false },
        { "reset connections, stops get lost", false, 0.5, false },
        { "reset connections of all entries", false, 0, true },
        { "killed entries", true, 0, false },
        { "killed entries, stops get lost", true, 0.5, false },
    };
    return cr_make_param_array(ElsewhereRow, rows, sizeof(rows) / sizeof(ElsewhereRow));
}

ParameterizedTest(ElsewhereRow* row, ClusterSimulation, runsOfAnotherEntryNeverOverlapTheirResubmission, .timeout = 60)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        auto scenario = mingaScenario("callers turn to another entry");
        scenario.seed = seed;
        scenario.load = 0.7;
        scenario.lostStops = row->lostStops;
        scenario.quickResend = Milliseconds(10);
        scenario.resendsElsewhere = true;
        auto& disturbances = row->killsEntries ? scenario.entryKills : scenario.connectionResets;
        for (size_t i = 0; i < 10; ++i) {
            for (size_t entry = 0; entry < scenario.entries; ++entry) {
                if (row->isEverywhere || entry == i % scenario.entries)
                    disturbances.emplace_back(entry, Milliseconds(3000 + 1500 * i));
            }
        }
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed, row->name));
        expectServed(report, 0.8, nameOf(seed, row->name));
    }
}

/** Why the agents of runs can't tell other entries that their caller has gone. */
enum class Unreachable : uint8_t {
    Suspended, ///< Their processes are suspended.
    CutOff, ///< They are cut off from the entry whose callers leave.
    HeldUp ///< Messages between them and this entry are held up.
};

struct UnreachableRow {
    char name[32];
    Unreachable kind;
    double lostStops;
};

ParameterizedTestParameters(ClusterSimulation, runsThatTheirAgentsCannotTellOfNeverOverlapTheirResubmission)
{
    static UnreachableRow rows[] = {
        { "suspended", Unreachable::Suspended, 0 },
        { "cut off", Unreachable::CutOff, 0 },
        { "cut off, stops get lost", Unreachable::CutOff, 0.5 },
        { "held up", Unreachable::HeldUp, 0 },
    };
    return cr_make_param_array(UnreachableRow, rows, sizeof(rows) / sizeof(UnreachableRow));
}

ParameterizedTest(UnreachableRow* row, ClusterSimulation, runsThatTheirAgentsCannotTellOfNeverOverlapTheirResubmission,
    .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        auto scenario = mingaScenario("callers turn to another entry, beside agents that are out of reach");
        scenario.seed = seed;
        scenario.load = 0.4;
        scenario.lostStops = row->lostStops;
        scenario.quickResend = Milliseconds(10);
        scenario.resendsElsewhere = true;
        scenario.resetsLinks = false;
        scenario.resetShare = 0.8;
        scenario.slowLinkLength = Milliseconds(0);
        std::vector<size_t> servers(scenario.servers);
        std::iota(servers.begin(), servers.end(), size_t(0));
        scenario.faults = { { ServerFaultKind::Slow, servers, Milliseconds(2000), scenario.length, 2 } };
        for (size_t i = 0; i < 4; ++i) {
            const auto entry = i % scenario.entries;
            const Milliseconds when { 3000 + 4500 * i };
            if (row->kind == Unreachable::Suspended) {
                for (size_t agent = i; agent < scenario.servers; agent += 3)
                    scenario.agentSuspensions.emplace_back(agent, when);
            } else {
                auto& faults = row->kind == Unreachable::CutOff ? scenario.slowLinks : scenario.linkStalls;
                faults.emplace_back(entry, when);
            }
            for (const int64_t delay : { 50, 150, 300 })
                scenario.connectionResets.emplace_back(entry, when + Milliseconds(delay));
        }
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed, row->name));
        expectServed(report, 0.5, nameOf(seed, row->name));
    }
}

/** Agents are suspended, and a share of the entry's links is reset with its callers' connections. The other agents link
 * again `linksAfter` the first reset. */
static void resetLinksWithCallers(double share, Milliseconds linksAfter)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        auto scenario
            = mingaScenario("callers turn to another entry, beside suspended agents and links that are reset");
        scenario.seed = seed;
        scenario.load = 0.4;
        scenario.quickResend = Milliseconds(10);
        scenario.resendsElsewhere = true;
        scenario.resetShare = share;
        std::vector<size_t> servers(scenario.servers);
        std::iota(servers.begin(), servers.end(), size_t(0));
        scenario.faults = { { ServerFaultKind::Slow, servers, Milliseconds(2000), scenario.length, 2 } };
        for (size_t i = 0; i < 4; ++i) {
            const auto entry = i % scenario.entries;
            const Milliseconds when { 3000 + 4500 * i };
            for (size_t agent = i; agent < scenario.servers; agent += 3)
                scenario.agentSuspensions.emplace_back(agent, when);
            for (const int64_t delay : { 50, 150, 300 })
                scenario.connectionResets.emplace_back(entry, when + Milliseconds(delay) - linksAfter);
        }
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed));
    }
}

Test(ClusterSimulation, runsAreKnownElsewhereWhenMostLinksAreResetWithCallers, .timeout = 120)
{
    resetLinksWithCallers(0.8, Milliseconds(0));
}

Test(ClusterSimulation, runsAreKnownElsewhereWhenAllLinksAreResetWithCallers, .timeout = 120)
{
    resetLinksWithCallers(1, Milliseconds(0));
}

/** Jobs are sent again after 10 ms; what an entry tells on a new link takes 3 ms to the other entries. */
Test(ClusterSimulation, runsAreKnownElsewhereWhenNewLinksComeBeforeCallers, .timeout = 120)
{
    resetLinksWithCallers(0.8, Milliseconds(6));
    resetLinksWithCallers(1, Milliseconds(6));
}

/** As after a lost packet: callers are faster than what an entry tells on its new links. */
Test(ClusterSimulation, runsAreKnownElsewhereWhenNewLinksComeAfterCallers, .timeout = 120)
{
    resetLinksWithCallers(1, Milliseconds(20));
}

/** Callers of a killed entry send their jobs again, while servers answer polls but hardly any stop gets through. */
Test(ClusterSimulation, runsOfLostEntriesNeverOverlapTheirReplacementsWhileStopsGetLost, .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        auto scenario = mingaScenario("entries are killed and cut off while stops get lost on slow servers");
        scenario.seed = seed;
        scenario.load = 0.5;
        scenario.lostStops = 0.95;
        std::vector<size_t> servers(scenario.servers);
        std::iota(servers.begin(), servers.end(), size_t(0));
        scenario.faults = { { ServerFaultKind::Slow, servers, Milliseconds(2000), scenario.length, 3 } };
        for (size_t i = 0; i < 5; ++i)
            scenario.entryKills.emplace_back(i % scenario.entries, Milliseconds(3000 + 3000 * i));
        scenario.entryPartitions = { { 0, Milliseconds(5000) }, { 1, Milliseconds(13000) } };
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed));
        expectServed(report, 0.2, nameOf(seed));
    }
}

/** A start that is sent to a server may reach its next process, which has the same id and has seen no fence. */
Test(ClusterSimulation, startsThatReachTheNextServerProcessNeverOverlapTheirReplacements, .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        auto scenario = mingaScenario("server processes are replaced, starts and stops take effect late");
        scenario.seed = seed;
        scenario.lateOrders = 0.1;
        for (size_t i = 0; i < 6 * scenario.servers; ++i)
            scenario.faults.push_back(
                { ServerFaultKind::Replaced, { i % scenario.servers }, Milliseconds(1000 + 250 * i), Milliseconds(0) });
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed));
        expectServed(report, 0.7, nameOf(seed));
    }
}

/** How server processes of the same id follow one another, and what their agents do meanwhile. */
struct SuccessionRow {
    char name[56];
    Milliseconds downTime;
    bool killsAgents; ///< The agent restarts while its server is down.
    double lostPolls;
    Milliseconds firstClockBegin {}; ///< The clock of a server's first process begins there.
};

ParameterizedTestParameters(ClusterSimulation, lateStartsAtTheNextServerProcessNeverOverlapTheirReplacements)
{
    static SuccessionRow rows[] = {
        { "replaced at once", Milliseconds(0), false, 0 },
        { "down for 30 ms", Milliseconds(30), false, 0 },
        { "down for 300 ms", Milliseconds(300), false, 0 },
        { "down for 300 ms, agents restart", Milliseconds(300), true, 0 },
        { "agents restart, clocks begun far above 0", Milliseconds(300), true, 0, Milliseconds(1'000'000) },
        { "down for 900 ms", Milliseconds(900), false, 0 },
        { "down for 900 ms, polls get lost", Milliseconds(900), false, 0.3 },
    };
    return cr_make_param_array(SuccessionRow, rows, sizeof(rows) / sizeof(SuccessionRow));
}

ParameterizedTest(SuccessionRow* row, ClusterSimulation, lateStartsAtTheNextServerProcessNeverOverlapTheirReplacements,
    .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        auto scenario = mingaScenario(row->name);
        scenario.seed = seed;
        scenario.load = 0.5;
        scenario.lateOrders = 0.3;
        scenario.minLateness = Milliseconds(0);
        scenario.maxLateness = Milliseconds(1500);
        scenario.lostPolls = row->lostPolls;
        scenario.firstClockBegin = row->firstClockBegin;
        for (size_t i = 0; i < 3 * scenario.servers; ++i) {
            const Milliseconds when(1000 + 500 * i);
            scenario.faults.push_back({ ServerFaultKind::Crash, { i % scenario.servers }, when, row->downTime });
            if (row->killsAgents)
                scenario.agentKills.emplace_back(i % scenario.servers, when + row->downTime / 2);
        }
        // So many crashes isolate routes whose tasks ran at several of them by chance, for most of the time.
        SimulationTuning withoutIsolation;
        withoutIsolation.dispatcher.crashes.maxIsolation = Milliseconds(0);
        for (const auto& tuning : { SimulationTuning(), withoutIsolation }) {
            const auto report = simulate(scenario, tuning);
            expectNoViolations(report, nameOf(seed, row->name));
            if (tuning.dispatcher.crashes.maxIsolation.count() == 0)
                expectServed(report, 0.8, nameOf(seed, row->name));
        }
    }
}

/** Agents that send some calls late must not take leases for ended that those calls renew. */
Test(ClusterSimulation, leasesOfCallsThatAreSentLateEndInTime, .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        auto scenario = mingaScenario("calls are sent late, polls get lost");
        scenario.seed = seed;
        scenario.load = 0.5;
        scenario.heldCalls = 0.3;
        scenario.lostPolls = 0.6;
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed));
        expectServed(report, 0.3, nameOf(seed));
    }
}

/** Orders that are held up arrive after their entry has given them up and has placed the tasks elsewhere. */
Test(ClusterSimulation, ordersThatAreHeldUpNeverOverlapTheirReplacements, .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        auto scenario = mingaScenario("links stall");
        scenario.seed = seed;
        scenario.load = 0.3;
        for (size_t i = 0; i < 8; ++i)
            scenario.linkStalls.emplace_back(i % scenario.entries, Milliseconds(2000 + 2200 * i));
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed));
        expectServed(report, 0.5, nameOf(seed));
    }
}

/** An entry whose messages arrive later and later is cut off or killed: agents go on hearing of it after it has given
 * its runs up, or after its callers have sent their jobs again. */
struct SlowLinkRow {
    char name[40];
    bool isKilled;
};

ParameterizedTestParameters(ClusterSimulation, runsOfEntriesOnSlowLinksNeverOverlapTheirReplacements)
{
    static SlowLinkRow rows[] = { { "cut off", false }, { "killed", true } };
    return cr_make_param_array(SlowLinkRow, rows, sizeof(rows) / sizeof(SlowLinkRow));
}

ParameterizedTest(
    SlowLinkRow* row, ClusterSimulation, runsOfEntriesOnSlowLinksNeverOverlapTheirReplacements, .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        auto scenario = mingaScenario("links of entries slow down, stops get lost on slow servers");
        scenario.seed = seed;
        scenario.load = 0.5;
        scenario.lostStops = 0.95;
        std::vector<size_t> servers(scenario.servers);
        std::iota(servers.begin(), servers.end(), size_t(0));
        scenario.faults = { { ServerFaultKind::Slow, servers, Milliseconds(2000), scenario.length, 3 } };
        for (size_t i = 0; i < 4; ++i) {
            const Milliseconds from(2000 + 4500 * i);
            scenario.slowLinks.emplace_back(i % scenario.entries, from);
            if (row->isKilled)
                scenario.entryKills.emplace_back(
                    i % scenario.entries, from + scenario.slowLinkLength - Milliseconds(20));
        }
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed, row->name));
        expectServed(report, 0.2, nameOf(seed, row->name));
    }
}

/** A simulation in which servers shrink to half and grow again, and a lower bound of what callers must get. */
struct CapacityRow {
    char name[56];
    bool isSnevaern;
    double load;
    size_t shrinking; ///< Number of servers that shrink.
    bool guardsCapacity;
    double lostShare; ///< Share of late orders, and of lost replies.
    bool fits; ///< The load fits into what is left of the servers; otherwise a perfect view shows what is possible.
    double minShareOfPossible;
};

ParameterizedTestParameters(ClusterSimulation, shrinkingServersAreNotOvercommitted)
{
    static CapacityRow rows[] = {
        { "some servers, usual load", false, 1, 4, false, 0, true, 0.95 },
        { "some servers, usual load, small tasks", true, 1, 4, false, 0, true, 0.95 },
        { "some servers guard their capacity", false, 1, 4, true, 0, true, 0.95 },
        { "all servers, a load that still fits", false, 0.6, 11, false, 0, true, 0.95 },
        { "all servers, a load that still fits, small tasks", true, 0.6, 11, false, 0, true, 0.95 },
        { "all servers guard their capacity", true, 0.6, 11, true, 0, true, 0.95 },
        { "all servers, usual load", false, 1, 11, false, 0, false, 0.95 },
        { "all servers, usual load, small tasks", true, 1, 11, false, 0, false, 0.95 },
        { "late orders and lost replies", false, 1, 11, false, 0.05, false, 0.9 },
        { "late orders and lost replies, small tasks", true, 1, 11, false, 0.05, false, 0.9 },
    };
    return cr_make_param_array(CapacityRow, rows, sizeof(rows) / sizeof(CapacityRow));
}

ParameterizedTest(CapacityRow* row, ClusterSimulation, shrinkingServersAreNotOvercommitted, .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        auto scenario = row->isSnevaern ? snevaernScenario(row->name) : mingaScenario(row->name);
        scenario.seed = seed;
        scenario.load = row->load;
        scenario.lateOrders = scenario.lostReplies = row->lostShare;
        scenario.guardsCapacity = row->guardsCapacity;
        std::vector<size_t> servers;
        for (size_t i = 0; i < row->shrinking; ++i)
            servers.push_back((seed + i * 3) % scenario.servers);
        scenario.capacityChanges = { { servers, Milliseconds(4000), Milliseconds(3000) },
            { servers, Milliseconds(9000), Milliseconds(700) }, { servers, Milliseconds(12000), Milliseconds(4000) } };
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed, row->name));
        const double possible = row->fits ? 1 : simulate(withPerfectView(scenario)).valueShare();
        cr_expect_geq(report.valueShare(), row->minShareOfPossible * possible,
            "%s, seed %d: share of the value %f, possible %f", row->name, static_cast<int>(seed), report.valueShare(),
            possible);
        cr_expect_leq(report.startsWithoutRoom, report.orders / 100, "%s, seed %d: %lu of %lu starts had no room",
            row->name, static_cast<int>(seed), report.startsWithoutRoom, report.orders);
    }
}

struct CrashRow {
    char name[48];
    size_t kind; ///< Position of the kind whose jobs crash servers.
    double share; ///< Share of its jobs that do.
    bool killsEntry;
    bool killsAgents;
    uint32_t maxCrashes; ///< Under one task.
};

ParameterizedTestParameters(ClusterSimulation, tasksThatCrashServersDoNotTakeTheOthersDown)
{
    static CrashRow rows[] = {
        { "one scan in ten", 0, 0.1, false, false, 3 },
        { "one scan in ten, an entry is killed", 0, 0.1, true, false, 3 },
        { "one scan in ten, agents are killed", 0, 0.1, false, true, 3 },
        { "one fill in fifty", 2, 0.02, false, false, 3 },
        { "one reroute in ten", 1, 0.1, false, false, 3 },
    };
    return cr_make_param_array(CrashRow, rows, sizeof(rows) / sizeof(CrashRow));
}

ParameterizedTest(CrashRow* row, ClusterSimulation, tasksThatCrashServersDoNotTakeTheOthersDown, .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        auto scenario = mingaScenario(row->name);
        scenario.seed = seed;
        if (row->killsEntry)
            scenario.entryKills = { { 0, Milliseconds(8000) } };
        for (size_t i = 0; row->killsAgents && i < scenario.servers; ++i)
            scenario.agentKills.emplace_back(i, Milliseconds(4000 + 900 * i));
        const auto n = static_cast<int>(seed);
        const auto possible = simulate(scenario); // Without such tasks.
        scenario.kinds[row->kind].crashingShare = row->share;
        const auto report = simulate(scenario);
        expectNoViolations(report, nameOf(seed, row->name));
        cr_expect_leq(report.mostCrashes, row->maxCrashes, "%s, seed %d: %u crashes", row->name, n, report.mostCrashes);
        cr_expect_leq(report.crashingJobsGivenUp, report.crashingJobsFailed,
            "%s, seed %d: %zu jobs not shown as failed", row->name, n, static_cast<size_t>(report.crashingJobsGivenUp));
        for (size_t i = 0; i < scenario.kinds.size(); ++i) {
            const auto& kind = report.kinds.at(scenario.kinds[i].name);
            cr_expect_eq(kind.falselyFailed, 0U, "%s, seed %d: %zu jobs of kind %zu failed that could be done",
                row->name, n, kind.falselyFailed, i);
            const double wanted = i == row->kind ? 0 : 0.95 * possible.kinds.at(scenario.kinds[i].name).servedShare();
            cr_expect_geq(kind.servedShare(), wanted, "%s, seed %d: kind %zu served %f, wanted %f", row->name, n, i,
                kind.servedShare(), wanted);
        }
    }
}

/** Servers that crash for another cause than their tasks use up nobody's tries, and isolate no route. */
Test(ClusterSimulation, ordinaryCrashesNeitherGiveUpTasksNorIsolateRoutes, .timeout = 60)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        auto scenario = mingaScenario("servers crash, alone and together");
        scenario.seed = seed;
        for (size_t i = 0; i < 8; ++i)
            scenario.faults.push_back(
                { ServerFaultKind::Crash, { (seed + i) % scenario.servers, (seed + i + 4) % scenario.servers },
                    Milliseconds(3000 + 2000 * i), Milliseconds(1500) });
        const auto report = simulate(scenario);
        const auto n = static_cast<int>(seed);
        expectNoViolations(report, nameOf(seed));
        cr_expect_eq(report.isolations, 0U, "seed %d: %zu isolations", n, static_cast<size_t>(report.isolations));
        for (const auto& [name, kind] : report.kinds)
            cr_expect_eq(kind.falselyFailed, 0U, "seed %d: %zu jobs of %s failed", n, kind.falselyFailed, name.c_str());
        expectServed(report, 0.95, nameOf(seed));
    }
}

namespace {

/** Three failure domains of four servers; two thirds of them can carry the load. */
Scenario evacuationScenario(std::string name)
{
    auto scenario = mingaScenario(std::move(name));
    scenario.servers = 12;
    scenario.failureDomains = 3;
    scenario.load = 0.7;
    scenario.length = Milliseconds(16000);
    scenario.evacuations = { { 0, Milliseconds(4000), Milliseconds(6000) } };
    return scenario;
}

} // namespace

/** Faults and requests beside or instead of the usual request. */
struct EvacuationCase {
    const char* name;
    void (*change)(Scenario& scenario);
    double minServed; ///< Share of jobs.
};

const EvacuationCase evacuationCases[] = {
    { "one domain", [](Scenario&) {}, 0.97 },
    { "withdrawn and repeated",
        [](Scenario& scenario) {
            scenario.evacuations = { { 0, Milliseconds(3000), Milliseconds(2000) },
                { 0, Milliseconds(6000), Milliseconds(2000) }, { 0, Milliseconds(8200), Milliseconds(1800) } };
        },
        0.97 },
    { "two domains",
        [](Scenario& scenario) {
            scenario.evacuations.push_back({ 1, Milliseconds(6000), Milliseconds(4000) });
            scenario.load = 0.3;
        },
        0.97 },
    { "starts without an answer",
        [](Scenario& scenario) {
            scenario.lostReplies = 0.3;
            scenario.lostPolls = 0.1;
        },
        0.8 },
    { "an entry without the store",
        [](Scenario& scenario) {
            scenario.storeCuts = { { 0, Milliseconds(2000), Milliseconds(13000) } };
        },
        0.95 },
    { "an entry without the store from within the evacuation",
        [](Scenario& scenario) {
            scenario.storeCuts = { { 1, Milliseconds(6000), Milliseconds(7000) } };
        },
        0.95 },
    { "agents restart, an entry is without the store",
        [](Scenario& scenario) {
            scenario.storeCuts = { { 0, Milliseconds(2000), Milliseconds(13000) } };
            for (size_t i = 0; i < scenario.servers; i += 3)
                scenario.agentKills.emplace_back(i, Milliseconds(5000 + 300 * static_cast<int64_t>(i)));
        },
        0.9 },
    { "an entry restarts",
        [](Scenario& scenario) {
            scenario.entryKills = { { 0, Milliseconds(5000) } };
        },
        0.9 },
    { "an entry is suspended from before the request to after it",
        [](Scenario& scenario) {
            scenario.entrySuspensions = { { 0, Milliseconds(3500) } };
        },
        0.7 },
    { "an entry is suspended while the request is withdrawn and repeated",
        [](Scenario& scenario) {
            scenario.entrySuspensions = { { 0, Milliseconds(5000) } };
            scenario.evacuations
                = { { 0, Milliseconds(4000), Milliseconds(1500) }, { 0, Milliseconds(6500), Milliseconds(3500) } };
        },
        0.7 },
    { "all machines lose power", [](Scenario& scenario) { scenario.powerLoss = Milliseconds(6000); }, 0.6 },
    { "an entry can't reach the agents",
        [](Scenario& scenario) {
            scenario.entryPartitions = { { 0, Milliseconds(3500) } };
        },
        0.7 },
    { "agents are suspended",
        [](Scenario& scenario) {
            scenario.agentSuspensions = { { 0, Milliseconds(3900) }, { 3, Milliseconds(3000) } };
        },
        0.9 },
};

// Pointers to functions don't survive the copy of a row to the process of its test.
struct EvacuationRow {
    size_t index;
};

ParameterizedTestParameters(ClusterSimulation, nothingStartsInAnEvacuatedDomain)
{
    static std::vector<EvacuationRow> rows;
    for (size_t i = 0; i < std::size(evacuationCases); ++i)
        rows.push_back({ i });
    return cr_make_param_array(EvacuationRow, rows.data(), rows.size());
}

/** The simulation checks that no task starts there from shortly after the request until its withdrawal; double runs
 * and exceeded capacity are violations as in all simulations. */
ParameterizedTest(EvacuationRow* row, ClusterSimulation, nothingStartsInAnEvacuatedDomain, .timeout = 120)
{
    const auto& test = evacuationCases[row->index];
    for (const uint64_t seed : { 1, 2, 3 }) {
        auto scenario = evacuationScenario(test.name);
        scenario.seed = seed;
        test.change(scenario);
        const auto report = simulate(scenario);
        for (const auto& violation : report.violations)
            cr_expect_fail("%s, seed %zu: %s", test.name, static_cast<size_t>(seed), violation.c_str());
        cr_expect_geq(report.servedShare(), test.minServed, "%s, seed %zu: served %f", test.name,
            static_cast<size_t>(seed), report.servedShare());
        const auto& starts = report.startsByDomainAndSecond.at(0);
        cr_expect_gt(starts.at(2), 0U, "%s: before the request", test.name);
        cr_expect_gt(starts.at(10), 0U, "%s: the servers are used again at once", test.name);
        cr_expect_eq(report.quarantined, 0U, "%s", test.name);
    }
}
