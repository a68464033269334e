/** @file FaultTest.cpp Runs a load on real processes, injects one or two faults, and checks that no task is started
 * twice, no answer is missing, partial, foreign or changed, and no job that ran is reported as not run. Starts are
 * counted by the backend server stand-ins. */
#include "TestCluster.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstdlib>
#include <fmt/format.h>
#include <thread>

using namespace sequoia;
using namespace sequoia::testing;

namespace {

constexpr Milliseconds faultAt { 2000 };
constexpr Milliseconds faultLength { 2500 };

void sleepFor(Milliseconds time) { std::this_thread::sleep_for(time); }

/** Seed of the run, from SEQUOIA_SEED; soak runs set a new one each time. */
unsigned seedOfRun()
{
    const char* text = std::getenv("SEQUOIA_SEED");
    return text == nullptr ? 1 : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

/** Chooses by seed which of `n` processes a fault hits; numbers start at 1. */
size_t chooseTarget(const TestCluster& fleet, size_t n) { return 1 + fleet.options().seed % n; }
std::string entryOf(const TestCluster& fleet)
{
    return fmt::format("entry{}", chooseTarget(fleet, fleet.options().entries));
}
std::string agentOf(const TestCluster& fleet)
{
    return fmt::format("agent{}", chooseTarget(fleet, fleet.options().agents));
}
std::string backendOf(const TestCluster& fleet)
{
    return fmt::format("backend{}", chooseTarget(fleet, fleet.options().agents));
}
std::string linkOf(const TestCluster& fleet)
{
    return fmt::format("link{}", chooseTarget(fleet, fleet.options().entries));
}
std::string httpOf(const TestCluster& fleet)
{
    return fmt::format("http{}", chooseTarget(fleet, fleet.options().entries));
}

void killAndRestart(TestCluster& fleet, const std::string& name)
{
    fleet.kill(name);
    sleepFor(faultLength / 2);
    fleet.restart(name);
}

void freezeAndThaw(TestCluster& fleet, const std::string& name)
{
    fleet.freeze(name);
    sleepFor(faultLength);
    fleet.thaw(name);
}

void applyRouteFault(TestCluster& fleet, const std::string& route, const Json& on, const Json& off)
{
    fleet.route(route, on);
    sleepFor(faultLength);
    fleet.route(route, off);
}

void noFault(TestCluster&) { }
void killEntry(TestCluster& fleet) { killAndRestart(fleet, entryOf(fleet)); }
void killAgent(TestCluster& fleet) { killAndRestart(fleet, agentOf(fleet)); }
void killBackend(TestCluster& fleet) { killAndRestart(fleet, backendOf(fleet)); }
void freezeEntry(TestCluster& fleet) { freezeAndThaw(fleet, entryOf(fleet)); }
void freezeAgent(TestCluster& fleet) { freezeAndThaw(fleet, agentOf(fleet)); }
void freezeBackend(TestCluster& fleet) { freezeAndThaw(fleet, backendOf(fleet)); }
void silenceLinks(TestCluster& fleet) { fleet.route(linkOf(fleet), { { "silenceExisting", true } }); }
void silenceCallers(TestCluster& fleet) { fleet.route(httpOf(fleet), { { "silenceExisting", true } }); }
void cutLinks(TestCluster& fleet) { applyRouteFault(fleet, linkOf(fleet), { { "cut", true } }, { { "cut", false } }); }
void cutCallers(TestCluster& fleet)
{
    applyRouteFault(fleet, httpOf(fleet), { { "cut", true } }, { { "cut", false } });
}
void cutToAgents(TestCluster& fleet)
{
    applyRouteFault(fleet, linkOf(fleet), { { "silent", true }, { "direction", "to-client" } },
        { { "silent", false }, { "direction", "both" } });
}
void cutToEntry(TestCluster& fleet)
{
    applyRouteFault(fleet, linkOf(fleet), { { "silent", true }, { "direction", "to-target" } },
        { { "silent", false }, { "direction", "both" } });
}
void delayLinks(TestCluster& fleet)
{
    applyRouteFault(fleet, linkOf(fleet), { { "delayMs", 60 } }, { { "delayMs", 0 } });
}
void shuffleLinks(TestCluster& fleet)
{
    for (size_t i = 1; i <= fleet.options().entries; ++i)
        fleet.route(fmt::format("link{}", i), { { "double", 0.3 }, { "reorder", 0.3 } });
    sleepFor(faultLength);
    for (size_t i = 1; i <= fleet.options().entries; ++i)
        fleet.route(fmt::format("link{}", i), { { "double", 0 }, { "reorder", 0 } });
}
void storeDown(TestCluster& fleet)
{
    fleet.storeFault({ { "downMs", 60000 } });
    sleepFor(faultLength);
}
void storeSlow(TestCluster& fleet)
{
    fleet.storeFault({ { "slowMs", 1500 } });
    sleepFor(faultLength);
}
void storeCut(TestCluster& fleet) { applyRouteFault(fleet, "store", { { "cut", true } }, { { "cut", false } }); }
void backendFails(TestCluster& fleet)
{
    fleet.backendMode(chooseTarget(fleet, fleet.options().agents), "fail");
    sleepFor(faultLength);
    fleet.backendMode(chooseTarget(fleet, fleet.options().agents), "good");
}
void backendStalls(TestCluster& fleet)
{
    fleet.backendMode(chooseTarget(fleet, fleet.options().agents), "stall");
    sleepFor(faultLength);
    fleet.backendMode(chooseTarget(fleet, fleet.options().agents), "good");
}
void backendLeaves(TestCluster& fleet)
{
    fleet.backendMode(chooseTarget(fleet, fleet.options().agents), "leave");
    sleepFor(faultLength);
    fleet.backendMode(chooseTarget(fleet, fleet.options().agents), "good");
}
void stopEntry(TestCluster& fleet)
{
    cr_expect_eq(fleet.stop(entryOf(fleet)), 0);
    fleet.restart(entryOf(fleet));
}
void stopAgent(TestCluster& fleet)
{
    cr_expect_eq(fleet.stop(agentOf(fleet)), 0);
    fleet.restart(agentOf(fleet));
}
void confirmHoliday(TestCluster& fleet) { fleet.runCtl({ "holiday", "confirm", "2026-12-08" }); }

using FaultFunction = void (*)(TestCluster&);

/** One fault, or two at the same time. */
struct FaultRow {
    char name[40];
    FaultFunction first;
    FaultFunction second;
    int cancelledPerMille;
    bool losesNothing; ///< Jobs may fail only by cancellation or because of a holiday.
};

FaultRow rows[] = {
    { "none", noFault, nullptr, 0, true },
    { "kill-entry", killEntry, nullptr, 0, false },
    { "kill-agent", killAgent, nullptr, 0, false },
    { "kill-backend", killBackend, nullptr, 0, false },
    { "freeze-entry", freezeEntry, nullptr, 0, true },
    { "freeze-agent", freezeAgent, nullptr, 0, true },
    { "freeze-backend", freezeBackend, nullptr, 0, true },
    { "silence-links", silenceLinks, nullptr, 0, true },
    { "silence-callers", silenceCallers, nullptr, 0, true },
    { "cut-links", cutLinks, nullptr, 0, true },
    { "cut-callers", cutCallers, nullptr, 0, true },
    { "cut-to-agents", cutToAgents, nullptr, 0, true },
    { "cut-to-entry", cutToEntry, nullptr, 0, true },
    { "delay-links", delayLinks, nullptr, 0, true },
    { "shuffle-links", shuffleLinks, nullptr, 0, true },
    { "store-down", storeDown, nullptr, 0, true },
    { "store-slow", storeSlow, nullptr, 0, true },
    { "store-cut", storeCut, nullptr, 0, true },
    { "backend-fails", backendFails, nullptr, 0, false },
    { "backend-stalls", backendStalls, nullptr, 0, true },
    { "backend-leaves", backendLeaves, nullptr, 0, true },
    { "stop-entry", stopEntry, nullptr, 0, true },
    { "stop-agent", stopAgent, nullptr, 0, true },
    { "cancel-wave", confirmHoliday, nullptr, 400, true },
    { "kill-entry+silence", killEntry, silenceLinks, 0, false },
    { "kill-entry+store-down", killEntry, storeDown, 0, false },
    { "kill-agent+silence", killAgent, silenceLinks, 0, false },
    { "freeze-entry+silence", freezeEntry, silenceLinks, 0, false },
    { "freeze-agent+store-down", freezeAgent, storeDown, 0, true },
    { "silence+store-down", silenceLinks, storeDown, 0, true },
    { "kill-entry+kill-agent", killEntry, killAgent, 0, false },
};

/** Runs a load, injects the faults of a row meanwhile, and checks the report. */
void runFault(const FaultRow& row, unsigned seed)
{
    TestClusterOptions options;
    options.seed = seed;
    options.slowness = { 1.0, 1.5, 2.0 };
    TestCluster fleet(options);
    cr_assert_eq(fleet.runCtl({ "sheet", "apply", std::string(SEQUOIA_SOURCE) + "/examples/sheet.csv" }), 0);
    cr_assert_eq(fleet.runCtl({ "config", "status", "--wait", "11s" }), 0);
    const auto load = fleet.startLoad({ "seconds=8", "jobs_per_minute=2400", "tasks_max=6", "run_ms_max=500",
        "long_ms=1500", "callers=96", "deadline_ms=12000", "patience_ms=10000", "resubmitted_per_mille=150",
        fmt::format("cancelled_per_mille={}", row.cancelledPerMille),
        "sheet=" + std::string(SEQUOIA_SOURCE) + "/examples/sheet.csv", "day=2026-12-08" });
    sleepFor(faultAt);
    std::thread second([&] {
        if (row.second != nullptr)
            row.second(fleet);
    });
    row.first(fleet);
    second.join();
    const auto report = TestCluster::finishLoad(*load);
    const auto text = report.dump();
    cr_log_info("%s seed %u: %s", row.name, seed, text.c_str());
    std::printf("fault %s seed %u %s\n", row.name, seed, text.c_str());
    for (const auto* field :
        { "doubledStarts", "partialAnswers", "foreignAnswers", "changedAnswers", "falseNotRun", "jobsUnanswered" })
        cr_expect_eq(report[field].get<int>(), 0, "%s seed %u: %s: %s", row.name, seed, field, text.c_str());
    cr_expect_gt(report["jobsComplete"].get<int>(), 0, "%s: at least one job must complete", row.name);
    if (!row.losesNothing)
        return;
    for (const auto& [reason, n] : report["failuresByReason"].items()) {
        const bool isExpected = reason == "cancelled" || reason == "moved";
        cr_expect(isExpected, "%s seed %u: %d jobs failed: %s: %s", row.name, seed, n.get<int>(), reason.c_str(),
            text.c_str());
    }
    cr_expect_eq(report["jobsUnknown"].get<int>(), 0, "%s seed %u: %s", row.name, seed, text.c_str());
}

} // namespace

/** In a test of its own, so that KNOWN-RED.txt can name it without the other rows. */
FaultRow killEntryAndFreezeAgent { "kill-entry+freeze-agent", killEntry, freezeAgent, 0, false };

void runIfSelected(const FaultRow& row)
{
    const char* only = std::getenv("SEQUOIA_FAULT");
    if (only == nullptr || std::string(only) == row.name)
        runFault(row, seedOfRun());
}

/**
 * Parameter of a test: the index of its row. The row itself can't be passed, because the functions in it have other
 * addresses in the process that runs the test.
 */
struct FaultCase {
    size_t row;
};

ParameterizedTestParameters(Fault, invariantsHold)
{
    static FaultCase cases[sizeof(rows) / sizeof(FaultRow)];
    for (size_t i = 0; i < sizeof(rows) / sizeof(FaultRow); ++i)
        cases[i].row = i;
    return cr_make_param_array(FaultCase, cases, sizeof(rows) / sizeof(FaultRow));
}

ParameterizedTest(FaultCase* test, Fault, invariantsHold, .timeout = 120) { runIfSelected(rows[test->row]); }

Test(Fault, invariantsHoldWithAKilledEntryAndAFrozenAgent, .timeout = 120) { runIfSelected(killEntryAndFreezeAgent); }
