/** @file RoomWorld.h Dispatchers, run gates and stand-ins of backend servers in simulated time, with a judge. */
#pragma once

#include <sequoia/Dispatcher.h>
#include <sequoia/RunGate.h>

#include <memory>
#include <queue>
#include <random>

namespace sequoia::test {

/** A kind of job that callers send. */
struct JobKind {
    std::string name;
    double perSecond = 10;
    double width = 4; ///< Mean number of tasks.
    uint32_t maxWidth = 16;
    Milliseconds work { 100 }; ///< Mean run time at speed 1.
    Milliseconds maxWork { 400 };
    double cpu = 6200; ///< Mean processors of a task, thousandths.
    double value = 0.01;
    double failingShare = 0; ///< Share of jobs whose tasks always fail.
    uint32_t priority = 0; ///< Of the route.
};

/** Trouble that strikes some servers for a time. */
enum class ServerFaultKind : uint8_t { Crash, Unreachable, Slow, Fail, Hang };

struct ServerFault {
    ServerFaultKind kind {};
    std::vector<size_t> servers;
    Milliseconds at {};
    Milliseconds length {};
    double factor = 6; ///< Of run times, for Slow.
};

/** Times of higher load. */
struct Burst {
    std::string kind; ///< Empty for all.
    double factor = 1.5;
    Milliseconds at {};
    Milliseconds length {};
};

/** One play. */
struct Scenario {
    std::string name;
    uint64_t seed = 1;
    size_t entries = 3;
    std::vector<double> entryShares { 1 }; ///< Of the callers, by turns over the entries.
    std::vector<double> slowness { 0.7, 0.7, 1.7 }; ///< By turns over the servers.
    std::vector<double> sizes { 1, 1, 1.5 };
    size_t servers = 11;
    int64_t serverCpu = 64000;
    std::vector<JobKind> kinds;
    double load = 1; ///< Factor on all rates.
    Milliseconds length { 20000 };
    Milliseconds callerTimeoutMargin { 1500 }; ///< Added to three times the objective of a job, as on the days played.
    double stretch = 1.6;
    Milliseconds objective { 60 };
    Microseconds linkDelay { 1500 }; ///< One way, with processing.
    Microseconds serverDelay { 1000 };
    double estimateSpread = 0.4; ///< Deviation of the logarithm of estimates over work, as on the days played.
    double estimateFactor = 1; ///< All estimates are off by this as well.
    double lateOrders = 0; ///< Share of starts and stops that are carried out 2 to 12 s later, without an answer.
    double lostReplies = 0; ///< Share of starts that are carried out without an answer.
    std::vector<Burst> bursts;
    std::vector<ServerFault> faults;
    std::vector<std::pair<size_t, Milliseconds>> entryKills; ///< The entry restarts 1 s later; callers send again.
    std::vector<std::pair<size_t, Milliseconds>> agentKills; ///< The agent restarts 150 ms later.
    std::vector<std::pair<size_t, Milliseconds>> entryPartitions; ///< Silent from all agents for 3 s.
    std::optional<Milliseconds> powerLoss; ///< All entries and agents stop, and start again after `powerLossLength`.
    Milliseconds powerLossLength { 1700 };
};

/** What callers of one kind got. */
struct KindResult {
    size_t submitted = 0;
    size_t inTime = 0;
    size_t late = 0;
    size_t refused = 0;
    size_t failed = 0;
    size_t givenUp = 0;
    double sumRatio = 0; ///< Of response over the longest task's work, of jobs that were served.
    double offeredValue = 0;
    double earnedValue = 0;
    size_t largest = 0; ///< Jobs of the largest tenth.
    size_t largestServed = 0;
    std::vector<double> refusedAfterMs;
};

/** What a play showed. */
struct SimulationReport {
    std::map<std::string, KindResult> kinds;
    std::vector<double> offeredValueBySecond; ///< By second.
    std::vector<double> earnedValueBySecond;
    std::vector<std::string> violations;
    uint64_t messages = 0;
    uint64_t orders = 0;
    uint64_t refusedOrders = 0;
    uint64_t wastedRuns = 0;
    double strandedShare = 0; ///< Mean share of processors that were free while tasks waited.
    double valueShare() const;
    double worstWindowsShare() const; ///< Share earned in the two worst spans of 3 s.
    double worstKindShare() const;
    double servedShare() const;
    /** Mean response of served jobs over the work of their longest task. */
    double responseRatio() const;
    /** Share served of the largest tenth of a kind over the share served of the kind. */
    double worstLargeJobRatio() const;
};

/** Callers whose connection broke send again after this time; from the pages. */
constexpr Milliseconds resendDelay { 1300 };

inline DispatcherLimits simulationDispatcherLimits()
{
    DispatcherLimits limits;
    limits.resubmission.minResendDelay = resendDelay;
    return limits;
}

/** Changes to the figures under test. */
struct SimulationTuning {
    DispatcherLimits dispatcher = simulationDispatcherLimits();
    RunGateLimits gate;
    TaskPlacementLimits placement;
};

/** Plays a scenario; the same scenario gives the same report. */
SimulationReport simulate(const Scenario& scenario, const SimulationTuning& tuning = {});

/** The loads of the two first deployments. */
std::vector<JobKind> mingaLoad();
std::vector<JobKind> snevaernLoad();
Scenario mingaScenario(std::string name);
Scenario snevaernScenario(std::string name);
/** The load of the large deployment: 35 entries that see unequal parts of it, on 160 servers. */
Scenario largeScenario(std::string name);

} // namespace sequoia::test
