/** @file ClusterSimulation.h Simulation of dispatchers, run gates and backend servers in virtual time. */
#pragma once

#include <sequoia/Dispatcher.h>
#include <sequoia/RunGate.h>

#include <memory>
#include <queue>
#include <random>

namespace sequoia::test {

/** Kind of job that callers submit. */
struct JobKind {
    std::string name;
    double perSecond = 10; ///< Mean arrival rate.
    double width = 4; ///< Mean number of tasks.
    uint32_t maxWidth = 16; ///< Maximum number of tasks.
    Milliseconds work { 100 }; ///< Mean run time of a task at slowness 1.
    Milliseconds maxWork { 400 }; ///< Maximum run time of a task at slowness 1.
    double cpu = 6200; ///< Mean processors of a task, in thousandths of a core.
    double value = 0.01; ///< Value of a job of mean size, answered in time.
    double failingShare = 0; ///< Share of jobs whose tasks always fail.
    uint32_t priority = 0; ///< Priority of its route.
    double crashingShare
        = 0; ///< Share of jobs with one task that crashes its server, between `crashesFrom` and `crashesUntil`.
    double longShare = 0; ///< Share of tasks that take `longFactor` times as long, which estimates don't tell.
    double longFactor = 7;
};

/** Fault that some servers have for a time. */
enum class ServerFaultKind : uint8_t {
    Crash, ///< The server stops and refuses connections.
    Replaced, ///< Another process of the server, under the same id, takes over at once.
    Unreachable, ///< The server stops and calls to it time out.
    Slow, ///< Runs take longer.
    Fail, ///< Runs fail after 5 ms.
    Hang ///< Runs don't end.
};

struct ServerFault {
    ServerFaultKind kind {};
    std::vector<size_t> servers;
    Milliseconds at {};
    Milliseconds length {};
    double factor = 6; ///< Factor on run times, for Slow.
    bool slowsRunning = false; ///< Runs at work become slow as well, not only those that start.
};

/** Period in which servers offer a part of their capacity; runs at work go on. */
struct CapacityChange {
    std::vector<size_t> servers;
    Milliseconds at {};
    Milliseconds length {};
    double factor = 0.5; ///< Factor on the capacity.
};

/** Period of higher load. */
struct Burst {
    std::string kind; ///< Kind of job; empty for all.
    double factor = 1.5; ///< Factor on the arrival rate.
    Milliseconds at {};
    Milliseconds length {};
};

/** Period in which the operators want a failure domain evacuated. */
struct EvacuationRequest {
    size_t domain = 0;
    Milliseconds at {};
    Milliseconds length {};
};

/** Period in which an entry has no contact to the store. */
struct StoreCut {
    size_t entry = 0;
    Milliseconds at {};
    Milliseconds length {};
};

/** Parameters of one simulation. */
struct Scenario {
    std::string name;
    uint64_t seed = 1;
    size_t entries = 3;
    std::vector<double> entryShares { 1 }; ///< Relative shares of the requests, repeated over the entries.
    size_t entryDomains = 3; ///< Failure domains to which the entries belong in turn.
    /** From `movesAt` on, the entries of a failure domain get the share of those of the next domain. */
    std::optional<Milliseconds> movesAt;
    std::vector<double> slowness { 0.7, 0.7, 1.7 }; ///< Repeated over the servers.
    std::vector<double> sizes { 1, 1, 1.5 }; ///< Relative to `serverCpu`, repeated over the servers.
    size_t servers = 11;
    int64_t serverCpu = 64000; ///< Thousandths of a core.
    std::vector<JobKind> kinds;
    double load = 1; ///< Factor on all arrival rates.
    Milliseconds length { 20000 };
    /** Callers wait this long in addition to three times the job's objective, as on the test days. */
    Milliseconds callerTimeoutMargin { 1500 };
    double stretch = 1.6;
    Milliseconds objective { 60 };
    Microseconds linkDelay { 1500 }; ///< One way, processing included.
    Microseconds serverDelay { 1000 }; ///< Round trip between agent and server.
    Milliseconds firstClockBegin {}; ///< Where the clocks of the first process of each server begin; others begin at 0.
    /** Standard deviation of the logarithm of the ratio of estimate to work, as on the test days. */
    double estimateSpread = 0.4;
    double estimateFactor = 1; ///< Factor on all estimates.
    /** Share of starts and stops that get no answer and take effect late, in whatever process of the server there is:
     * starts after `minLateness` to `maxLateness`, stops after 5 s. */
    double lateOrders = 0;
    Milliseconds minLateness { 2000 };
    Milliseconds maxLateness { 12000 };
    double lostStops = 0; ///< Share of stops that get no answer and never take effect.
    double lostPolls = 0; ///< Share of polls that get no answer.
    double heldCalls = 0; ///< Share of starts and polls that an agent sends up to 600 ms after its gate has decided.
    double lostReplies = 0; ///< Share of starts that take effect but get no answer.
    std::vector<Burst> bursts;
    std::vector<ServerFault> faults;
    std::vector<CapacityChange> capacityChanges;
    bool listsPercent = false; ///< Servers list how much of its task each run has done.
    size_t failureDomains = 1; ///< Server i is in the failure domain i modulo this.
    std::vector<EvacuationRequest> evacuations;
    std::vector<StoreCut> storeCuts;
    Milliseconds storeDelay { 10 }; ///< Longest time until an entry learns of a change of the store.
    /** A start in a failure domain this long after the request counts as a violation. */
    Milliseconds evacuationBound { 100 };
    bool guardsCapacity = false; ///< Servers reject starts that don't fit; otherwise they start whatever they are told.
    Milliseconds crashesFrom { 5000 }; ///< Jobs with a task that crashes servers arrive from here on, see JobKind.
    Milliseconds crashesUntil { 15000 };
    Milliseconds crashDelay { 8 }; ///< Time from the start of such a task to the crash.
    Milliseconds crashLength { 3500 }; ///< Time until a crashed server is back.
    /** Entry and time; it restarts 1 s later, and its callers resubmit. */
    std::vector<std::pair<size_t, Milliseconds>> entryKills;
    std::vector<std::pair<size_t, Milliseconds>> agentKills; ///< Agent and time; it restarts 150 ms later.
    /** Entry and time; a share `resetShare` of its connections, to agents and to callers, is reset. Agents link again
     * at once, and callers resubmit to any entry. */
    std::vector<std::pair<size_t, Milliseconds>> connectionResets;
    double resetShare = 0.5;
    /** Callers whose connection was reset or whose entry was killed resubmit after this time instead of `resendDelay`,
     * those of reset connections to the same entry. */
    std::optional<Milliseconds> quickResend;
    bool resendsElsewhere = false; ///< Callers whose connection was reset resubmit to the next entry.
    bool resetsLinks = true; ///< Connections to agents are reset as well as those to callers.
    /** Agent and time; the process is suspended for `suspensionLength`, and what arrives meanwhile waits. */
    std::vector<std::pair<size_t, Milliseconds>> agentSuspensions;
    Milliseconds suspensionLength { 2300 };
    /** Entry and time; the process is suspended for `entrySuspensionLength`, and what arrives meanwhile waits. */
    std::vector<std::pair<size_t, Milliseconds>> entrySuspensions;
    Milliseconds entrySuspensionLength { 4000 };
    /** Entries read the requests of callers and the ends of their connections one after the other, in this time each.
     */
    Microseconds callerReadTime { 0 };
    /** Time budget of each request; a caller without an answer by then submits its job to the next entry `resendDelay`
     * later. Otherwise callers wait for the whole job, see `callerTimeoutMargin`. */
    std::optional<Milliseconds> requestBudget;
    bool endsArrive = true; ///< Entries hear of it when a caller closes its connection.
    std::vector<std::pair<size_t, Milliseconds>> entryPartitions; ///< Entry and time; it can't reach any agent for 3 s.
    /** Entry and time; for `stallLength` messages between it and half of the agents are held up, in their order. */
    std::vector<std::pair<size_t, Milliseconds>> linkStalls;
    Milliseconds stallLength { 1900 };
    /** Entry and time; for `slowLinkLength` each message from it to half of the agents takes `slowLinkGrowth` longer
     * than the one before, up to `slowLinkDelay`. Then the links are cut for 3 s. A new connection starts without a
     * delay. */
    std::vector<std::pair<size_t, Milliseconds>> slowLinks;
    Milliseconds slowLinkLength { 3000 };
    Milliseconds slowLinkGrowth { 40 };
    Milliseconds slowLinkDelay { 1000 };
    std::optional<Milliseconds> powerLoss; ///< All entries and agents stop and start again after `powerLossLength`.
    Milliseconds powerLossLength { 1700 };
};

/** Results of one kind of job. */
struct KindResult {
    size_t submitted = 0; ///< Jobs submitted.
    size_t inTime = 0; ///< Answered correctly within the objective.
    size_t late = 0; ///< Answered correctly later, but within three times the objective.
    size_t refused = 0;
    size_t failed = 0;
    size_t givenUp = 0;
    size_t falselyFailed = 0; ///< Answered as failed though it could be done.
    double sumRatio = 0; ///< Sum of the ratios of response time to the longest task's work, over the jobs served.
    double offeredValue = 0; ///< Value of all jobs.
    double earnedValue = 0; ///< Value of the jobs served; a late one counts for a fifth.
    size_t largest = 0; ///< Number of jobs in the largest tenth.
    size_t largestServed = 0; ///< Jobs of the largest tenth that were served.
    std::vector<double> refusedAfterMs; ///< Ages of the refused jobs.

    /** Earned share of the value of all jobs. */
    double valueShare() const { return offeredValue > 0 ? earnedValue / offeredValue : 1; }
    /** Share of the jobs that were served. */
    double servedShare() const
    {
        return submitted > 0 ? static_cast<double>(inTime + late) / static_cast<double>(submitted) : 1;
    }
};

/** Value of the jobs that callers of one failure domain submitted. */
struct DomainResult {
    double offeredValue = 0;
    double earnedValue = 0;
};

/** Results of one simulation. */
struct SimulationReport {
    std::map<std::string, KindResult> kinds;
    std::map<size_t, DomainResult> domains; ///< By failure domain of the entry that a job was first submitted to.
    std::vector<double> offeredValueBySecond; ///< Value of the jobs submitted in each second.
    std::vector<double> earnedValueBySecond; ///< Value earned by the jobs submitted in each second.
    std::vector<std::string> violations; ///< Tasks with two runs at the same time, and overcommitted servers.
    uint64_t messages = 0;
    uint64_t orders = 0;
    uint64_t refusedOrders = 0;
    uint64_t wastedRuns = 0; ///< Runs stopped or lost.
    uint64_t stragglers = 0; ///< Runs that entries stopped as stragglers.
    uint64_t progressReports = 0; ///< Runs that take long, as agents told entries.
    uint64_t longRuns = 0; ///< Runs that agents took for long tasks.
    std::map<size_t, Milliseconds> firstQuarantine; ///< By server: when its agent first put it into quarantine.
    /** By server: when its agent first put it into quarantine, or took it for far slower than it is without a fault;
     * with a fault, the first time since that began. */
    std::map<size_t, Milliseconds> firstBlame;
    uint64_t startsWithoutRoom = 0; ///< Starts that servers rejected as they didn't fit.
    uint64_t crashes = 0; ///< Servers that a task crashed.
    uint64_t isolations = 0; ///< Isolations of routes, over all entries.
    uint64_t crashingJobsFailed = 0; ///< Jobs with a task that crashes servers that were answered as failed.
    uint64_t crashingJobsGivenUp = 0; ///< Those that were answered otherwise after a run of them had been ordered.
    uint64_t crashingJobs = 0; ///< Jobs with a task that crashes servers.
    /** Tasks started in each failure domain, by second. */
    std::map<size_t, std::vector<uint64_t>> startsByDomainAndSecond;
    uint64_t quarantined = 0; ///< Agents whose server is in quarantine at the end.
    uint32_t mostCrashes = 0; ///< Crashes under the task that crashed most servers.
    double strandedShare = 0; ///< Mean share of processors that were free while tasks waited.
    double valueShare() const; ///< Earned share of the value of all jobs.
    double worstWindowsShare() const; ///< Mean of the earned shares of the two worst periods of 3 s.
    double worstKindShare() const; ///< Earned share of the worst kind.
    double domainSpread() const; ///< Difference of the earned shares of the best and the worst failure domain.
    double servedShare() const; ///< Share of jobs answered correctly within three times the objective.
    /** Mean response time of served jobs over the work of their longest task. */
    double responseRatio() const;
    /** Share served of the largest tenth of a kind over the share served of the whole kind; of the worst kind. */
    double worstLargeJobRatio() const;
};

/** Callers resubmit this long after their connection has broken; specified by the users. */
constexpr Milliseconds resendDelay { 1300 };

inline DispatcherLimits simulationDispatcherLimits()
{
    DispatcherLimits limits;
    limits.resubmission.minResendDelay = resendDelay;
    return limits;
}

/** Parameters of the code under test. */
struct SimulationTuning {
    DispatcherLimits dispatcher = simulationDispatcherLimits();
    RunGateLimits gate;
    TaskPlacementLimits placement;
    bool predictsWaits = true; ///< Otherwise every job is admitted as if it were in time.
};

/**
 * Runs a scenario; the same scenario always gives the same report. Checks that no task has two runs at the same time
 * and that no server is overcommitted, and measures what callers get.
 */
SimulationReport simulate(const Scenario& scenario, const SimulationTuning& tuning = {});

/** Loads of the first two deployments. */
std::vector<JobKind> mingaLoad();
std::vector<JobKind> snevaernLoad();
Scenario mingaScenario(std::string name);
Scenario snevaernScenario(std::string name);
/** The load of the second deployment on three entries and on servers that differ in size and speed. */
Scenario akwScenario(std::string name);
/** Bursts of all jobs, of short ones and of long ones that come at the same time, at 1.3 times the usual load. */
Scenario joinedBurstsScenario(std::string name);
/** The same load and faults with one entry that sees everything at once: an upper bound for every policy. */
Scenario withPerfectView(Scenario scenario);
/** Load of the large deployment: 160 servers, and 35 entries that get unequal shares of the requests. */
Scenario largeScenario(std::string name);
/** Deployments of 12 entries that get unequal shares of the requests, and 70 or 68 servers. The usual load needs 45% of
 * the servers' processors. */
Scenario ticketsScenario(std::string name);
Scenario donationsScenario(std::string name);

} // namespace sequoia::test
