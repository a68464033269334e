/** @file PrioritySharesTest.cpp Processors kept by priority: the rule, the recent use, and simulated clusters. */
#include "ClusterSimulation.h"

#include <sequoia/PriorityShares.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace sequoia;
using namespace sequoia::test;

namespace {

constexpr int64_t total = 30000;
constexpr TimePoint start { std::chrono::seconds(100) };

} // namespace

struct KeptRow {
    char name[64];
    PriorityUse uses[3];
    size_t n; ///< Number of uses.
    uint32_t priority;
    int64_t expected;
};

ParameterizedTestParameters(PriorityShares, keptCpu)
{
    static KeptRow rows[] = {
        { "one priority", { { 1, 0, 9000, true } }, 1, 1, 0 },
        { "one priority, order of another", { { 1, 9000, 9000, false } }, 1, 2, 0 },
        { "urgent use below its recent use", { { 0, 2000, 6000, true, true }, { 1, 5000, 5000, false } }, 2, 1, 4000 },
        { "urgent orders aren't refused", { { 0, 2000, 6000, true, false }, { 1, 5000, 5000, true } }, 2, 1, 0 },
        { "urgent use above its recent use", { { 0, 8000, 6000, true, true }, { 1, 5000, 5000, false } }, 2, 1, 0 },
        { "most for the urgent ones", { { 0, 0, 20000, true, true }, { 1, 5000, 5000, false } }, 2, 1, 10000 },
        { "two urgent priorities",
            { { 0, 2000, 4000, true, true }, { 1, 2000, 5000, true, true }, { 2, 5000, 5000, false } }, 3, 2, 5000 },
        { "above its recent use is no gain for another",
            { { 0, 9000, 4000, true, true }, { 1, 2000, 5000, true, true }, { 2, 5000, 5000, false } }, 3, 2, 3000 },
        { "below the floor, not held back for urgent ones", { { 0, 0, 8000, true, true }, { 1, 2999, 5000, false } }, 2,
            1, 0 },
        { "floor of the less urgent one", { { 0, 20000, 20000, false }, { 1, 0, 9000, true } }, 2, 0, 3000 },
        { "floor in part", { { 0, 20000, 20000, false }, { 1, 1000, 9000, true } }, 2, 0, 2000 },
        { "floor of the least urgent one",
            { { 0, 20000, 20000, false }, { 1, 4000, 9000, true }, { 2, 0, 9000, true } }, 3, 0, 3000 },
        { "floor of two", { { 0, 20000, 20000, false }, { 1, 0, 9000, true }, { 2, 0, 9000, true } }, 3, 0, 3000 },
        { "floor is in use", { { 0, 20000, 20000, false }, { 1, 4000, 9000, true } }, 2, 0, 0 },
        { "floor of one without recent use", { { 0, 20000, 20000, false }, { 1, 0, 0, true } }, 2, 0, 3000 },
        { "no floor for one that doesn't wait", { { 0, 20000, 20000, false }, { 1, 0, 9000, false } }, 2, 0, 0 },
        { "both sides", { { 0, 1000, 2000, true, true }, { 1, 9000, 9000, false }, { 2, 500, 500, true } }, 3, 1,
            3500 },
        { "order of an unknown priority", { { 0, 1000, 2000, true, true }, { 1, 1000, 1000, false } }, 2, 7, 0 },
    };
    return cr_make_param_array(KeptRow, rows, sizeof(rows) / sizeof(KeptRow));
}

ParameterizedTest(KeptRow* row, PriorityShares, keptCpu)
{
    PriorityShareLimits limits;
    limits.maxUrgentShare = 1.0 / 3; // 10,000
    limits.floorShare = 0.1;
    const auto kept = keptCpu(total, { row->uses, row->uses + row->n }, row->priority, limits);
    cr_expect_eq(kept, row->expected, "%s: %ld", row->name, kept);
}

Test(PriorityShares, recentUseIsAMaximumThatDecaysToTheUse)
{
    constexpr Milliseconds timeConstant { 1000 };
    RecentUse use;
    use.add(8000, start, timeConstant);
    use.add(-6000, start + Milliseconds(1000), timeConstant);
    cr_expect_eq(use.now(), 2000);
    cr_expect_eq(use.recent(start + Milliseconds(1000), timeConstant), 8000);
    cr_expect_eq(use.recent(start + Milliseconds(2000), timeConstant), 2000 + 2207); // 6000 / e
    cr_expect_leq(use.recent(start + Milliseconds(12000), timeConstant), 2001, "An idle priority keeps nothing.");
}

Test(PriorityShares, priorityIsForgottenOnceItHasNoRunsAndNoOrders)
{
    PriorityShareLimits limits;
    limits.retention = Milliseconds(5000);
    PriorityShares shares(limits);
    shares.use(0, 4000, start);
    shares.want(1, start);
    shares.forgetOld(start + Milliseconds(6000));
    cr_expect_eq(shares.mostUrgent(), 0U, "It has a run.");
    shares.use(0, -4000, start + Milliseconds(6000));
    shares.want(3, start + Milliseconds(11000));
    shares.forgetOld(start + Milliseconds(12000));
    cr_expect_eq(shares.mostUrgent(), 3U);
}

namespace {

/** Three kinds of jobs as on the tickets deployment, on half of its servers and at half of its load. */
Scenario sharedScenario(double load, uint64_t seed)
{
    Scenario scenario;
    scenario.seed = seed;
    scenario.entries = 12;
    scenario.servers = 34;
    scenario.serverCpu = 32000;
    scenario.sizes = { 1, 1, 1, 1.5 };
    scenario.slowness = { 1.0, 1.3 };
    scenario.kinds = { { "check-in", 90.5, 8, 32, Milliseconds(51), Milliseconds(204), 3300, 0.00485, 0, 0 },
        { "release", 264, 2, 8, Milliseconds(170), Milliseconds(680), 3300, 0.00167, 0, 1 },
        { "purchase", 16.5, 4, 16, Milliseconds(760), Milliseconds(3040), 3300, 0.0267, 0, 2 } };
    scenario.load = load;
    scenario.length = Milliseconds(5000);
    return scenario;
}

SimulationTuning withShares()
{
    SimulationTuning tuning;
    tuning.gate.shares.maxUrgentShare = 0.12;
    tuning.gate.shares.floorShare = 0.1;
    return tuning;
}

double earnedShare(const SimulationReport& report, const char* kind)
{
    const auto& result = report.kinds.at(kind);
    return result.earnedValue / result.offeredValue;
}

} // namespace

struct SharedLoadRow {
    char name[32];
    double load;
    double urgentFactor; ///< Further factor on the load of the urgent kind.
    uint64_t seed;
};

ParameterizedTestParameters(ClusterSimulation, urgentJobsAreServedBestAndTheOthersKeepTheirFloor)
{
    static SharedLoadRow rows[] = {
        { "2.0 times the load", 2.0, 1, 1 },
        { "2.0 times the load", 2.0, 1, 2 },
        { "2.4 times the load", 2.4, 1, 3 },
        { "2.8 times the load", 2.8, 1, 4 },
        { "flood of urgent jobs", 1.0, 5, 5 },
    };
    return cr_make_param_array(SharedLoadRow, rows, sizeof(rows) / sizeof(SharedLoadRow));
}

ParameterizedTest(
    SharedLoadRow* row, ClusterSimulation, urgentJobsAreServedBestAndTheOthersKeepTheirFloor, .timeout = 120)
{
    // Guards against urgent jobs that are served worse than others, since these hold the servers for longer, and
    // against a kind of job that is starved.
    auto scenario = sharedScenario(row->load, row->seed);
    scenario.bursts = { { "check-in", row->urgentFactor, Milliseconds(0), scenario.length } };
    const auto report = simulate(scenario, withShares());
    const auto before = simulate(scenario);
    cr_expect(report.violations.empty(), "%s", row->name);
    const auto checkIn = earnedShare(report, "check-in");
    // A tenth of the processors of a deployment is a third of what its purchases take at 2.8 times the load.
    constexpr double leastShare = 0.3;
    for (const auto* name : { "release", "purchase" }) {
        const auto share = earnedShare(report, name);
        cr_expect_geq(share, leastShare, "%s: %s %f", row->name, name, share);
        if (row->urgentFactor == 1)
            cr_expect_geq(checkIn, share, "%s: check-in %f, %s %f", row->name, checkIn, name, share);
    }
    cr_expect_geq(checkIn, earnedShare(before, "check-in"), "%s: check-in %f", row->name, checkIn);
    cr_expect_geq(report.valueShare(), before.valueShare(), "%s: all %f, without shares %f", row->name,
        report.valueShare(), before.valueShare());
}

Test(ClusterSimulation, onePriorityIsServedAsWithoutShares, .timeout = 60)
{
    auto scenario = sharedScenario(2, 6);
    for (auto& kind : scenario.kinds)
        kind.priority = 1;
    const auto report = simulate(scenario, withShares());
    const auto before = simulate(scenario);
    cr_expect_eq(report.orders, before.orders);
    cr_expect_eq(report.refusedOrders, before.refusedOrders);
    cr_expect_eq(report.messages, before.messages);
    cr_expect_eq(report.strandedShare, before.strandedShare);
    cr_expect(report.earnedValueBySecond == before.earnedValueBySecond);
    for (const auto& [name, kind] : report.kinds) {
        const auto& other = before.kinds.at(name);
        cr_expect_eq(kind.inTime, other.inTime, "%s", name.c_str());
        cr_expect_eq(kind.late, other.late, "%s", name.c_str());
        cr_expect_eq(kind.sumRatio, other.sumRatio, "%s", name.c_str());
        cr_expect(kind.refusedAfterMs == other.refusedAfterMs, "%s", name.c_str());
    }
}
