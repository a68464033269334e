/** @file PlacementBench.cpp Simulates heavy loads and faults, and prints what callers get. */
#include "Tunables.h"

#include <ClusterSimulation.h>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/program_options.hpp>
#include <cmath>
#include <fmt/format.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace sequoia;
using namespace sequoia::test;

std::vector<Scenario> scenarios()
{
    std::vector<Scenario> out;
    for (const bool isMinga : { true, false }) {
        const auto make = [&](const std::string& name) {
            return isMinga ? mingaScenario("minga " + name) : snevaernScenario("snevaern " + name);
        };
        for (const double load : { 0.7, 1.0, 1.25, 1.5, 1.8, 2.3 }) {
            auto scenario = make(fmt::format("load {:.2f}", load));
            scenario.load = load;
            out.push_back(scenario);
        }
        auto burst = make("burst 1.8 of all");
        burst.bursts = { { "", 1.8, Milliseconds(6000), Milliseconds(4000) } };
        out.push_back(burst);
        auto power = make("all lose power");
        power.powerLoss = Milliseconds(10000);
        out.push_back(power);
        auto unreachable = make("2 of 11 unreachable");
        unreachable.faults = { { ServerFaultKind::Unreachable, { 0, 4 }, Milliseconds(6000), Milliseconds(5000) } };
        out.push_back(unreachable);
        auto hang = make("2 of 11 hang");
        hang.faults = { { ServerFaultKind::Hang, { 1, 5 }, Milliseconds(6000), Milliseconds(5000) } };
        out.push_back(hang);
        auto slow = make("2 of 11 slow");
        slow.faults = { { ServerFaultKind::Slow, { 1, 5 }, Milliseconds(6000), Milliseconds(6000), 6.5 } };
        out.push_back(slow);
        auto fail = make("1 of 11 fails all");
        fail.faults = { { ServerFaultKind::Fail, { 1 }, Milliseconds(6000), Milliseconds(6000) } };
        out.push_back(fail);
        auto late = make("5% starts, stops late");
        late.lateOrders = 0.05;
        out.push_back(late);
        auto failing = make("5% of jobs fail");
        for (auto& kind : failing.kinds)
            kind.failingShare = 0.05;
        out.push_back(failing);
    }
    for (const double load : { 1.0, 1.5, 1.8 }) {
        auto scenario = akwScenario(fmt::format("akw load {:.2f}", load));
        scenario.load = load;
        out.push_back(scenario);
    }
    for (const double share : { 0.05, 0.3 }) {
        auto scenario = akwScenario(fmt::format("akw {:.0f}% of calls lost", share * 100));
        scenario.lateOrders = scenario.lostPolls = share;
        out.push_back(scenario);
    }
    out.push_back(joinedBurstsScenario("akw joined bursts"));
    auto outage = akwScenario("akw all lose power");
    outage.powerLoss = Milliseconds(10000);
    out.push_back(outage);
    for (const double load : { 0.7, 1.0, 1.25 }) {
        auto scenario = largeScenario(fmt::format("large load {:.2f}", load));
        scenario.load = load;
        out.push_back(scenario);
    }
    for (const bool isTickets : { true, false }) {
        const auto make = [&](const std::string& name) {
            return isTickets ? ticketsScenario("tickets " + name) : donationsScenario("donations " + name);
        };
        for (const double load : { 1.0, 2.0, 2.3, 2.8 }) {
            auto scenario = make(fmt::format("load {:.2f}", load));
            scenario.load = load;
            out.push_back(scenario);
        }
        const std::string urgent = isTickets ? "check-in" : "check";
        const std::string second = isTickets ? "release" : "receipt";
        auto one = make("burst of one kind");
        one.load = 1.5;
        one.bursts = { { second, 2.3, Milliseconds(2000), Milliseconds(4500) } };
        out.push_back(one);
        auto two = make("burst of two kinds");
        two.load = 1.4;
        two.bursts = { { urgent, 2.3, Milliseconds(2000), Milliseconds(4000) },
            { second, 2.3, Milliseconds(2500), Milliseconds(4500) } };
        out.push_back(two);
        auto uneven = make("burst, uneven entries");
        uneven.load = 1.3;
        uneven.bursts = two.bursts;
        uneven.entryShares = { 4, 1, 1, 4, 1, 1, 4, 1, 1, 1, 1, 1 };
        out.push_back(uneven);
    }
    auto power = largeScenario("large, all lose power");
    power.powerLoss = Milliseconds(5000);
    out.push_back(power);
    return out;
}

/** Sums over the seeds of a scenario, and all violations; the columns of the output, from `valueShare` to `wasted`. */
struct Summary {
    size_t simulations = 0;
    double valueShare = 0;
    double worstWindowsShare = 0;
    double worstKindShare = 0;
    double domainSpread = 0;
    double served = 0;
    double response = 0;
    double worstLargeJobRatio = 0;
    double stranded = 0;
    double refusedOrders = 0;
    double messages = 0;
    double wasted = 0;
    std::map<std::string, KindResult> kinds;
    std::vector<std::string> violations;

    void add(const SimulationReport& report)
    {
        const auto orders = static_cast<double>(std::max<uint64_t>(report.orders, 1));
        ++simulations;
        valueShare += report.valueShare();
        worstWindowsShare += report.worstWindowsShare();
        worstKindShare += report.worstKindShare();
        domainSpread += report.domainSpread();
        served += report.servedShare();
        response += report.responseRatio();
        worstLargeJobRatio += report.worstLargeJobRatio();
        stranded += report.strandedShare;
        refusedOrders += static_cast<double>(report.refusedOrders) / orders;
        messages += static_cast<double>(report.messages) / orders;
        wasted += static_cast<double>(report.wastedRuns);
        for (const auto& [name, kind] : report.kinds) {
            kinds[name].inTime += kind.inTime;
            kinds[name].late += kind.late;
            kinds[name].refused += kind.refused;
            kinds[name].failed += kind.failed;
            kinds[name].givenUp += kind.givenUp;
            kinds[name].offeredValue += kind.offeredValue;
            kinds[name].earnedValue += kind.earnedValue;
        }
        violations.insert(violations.end(), report.violations.begin(), report.violations.end());
    }
};

void print(const std::string& name, const Summary& sum)
{
    const auto mean = [&](double total) { return total / static_cast<double>(sum.simulations); };
    fmt::print("{:<32}{:>7.3f}{:>7.3f}{:>7.3f}{:>7.3f}{:>7.3f}{:>7.2f}{:>7.2f}{:>7.3f}{:>7.3f}{:>8.2f}{:>8.0f}", name,
        mean(sum.valueShare), mean(sum.worstWindowsShare), mean(sum.worstKindShare), mean(sum.domainSpread),
        mean(sum.served), mean(sum.response), mean(sum.worstLargeJobRatio), mean(sum.stranded), mean(sum.refusedOrders),
        mean(sum.messages), mean(sum.wasted));
    for (const auto& [kindName, kind] : sum.kinds)
        fmt::print("  {} {:.3f} {}/{}/{}/{}/{}", kindName, kind.valueShare(), kind.inTime, kind.late, kind.refused,
            kind.failed, kind.givenUp);
    fmt::print("\n");
    constexpr size_t maxPrinted = 3;
    for (size_t i = 0; i < std::min(sum.violations.size(), maxPrinted); ++i)
        fmt::print("    VIOLATION {}\n", sum.violations[i]);
}

/** Runs scenarios with seeds from 1; the reports of a scenario follow one another. */
std::vector<SimulationReport> runAll(
    const std::vector<Scenario>& scenarios, uint64_t seeds, size_t threads, const SimulationTuning& tuning)
{
    std::vector<SimulationReport> reports(scenarios.size() * seeds);
    boost::asio::thread_pool pool(threads);
    for (size_t i = 0; i < reports.size(); ++i) {
        boost::asio::post(pool, [&, i] {
            auto scenario = scenarios[i / seeds];
            scenario.seed = i % seeds + 1;
            reports[i] = simulate(scenario, tuning);
        });
    }
    pool.join();
    return reports;
}

/** Mean of paired differences, and its standard error. */
struct PairedDifference {
    double mean = 0;
    double standardError = 0;
};

PairedDifference compare(const SimulationReport* before, const SimulationReport* after, uint64_t seeds)
{
    const auto n = static_cast<double>(seeds);
    double sum = 0;
    double squares = 0;
    for (uint64_t i = 0; i < seeds; ++i) {
        const double difference = after[i].valueShare() - before[i].valueShare();
        sum += difference;
        squares += difference * difference;
    }
    const double variance = seeds > 1 ? (squares - sum * sum / n) / (n - 1) : 0;
    return { sum / n, std::sqrt(std::max(variance, 0.0) / n) };
}

/** Prints a row for each simulation, for comparisons that are paired by seed. */
void printJson(const std::vector<Scenario>& scenarios, const std::vector<SimulationReport>& reports, uint64_t seeds)
{
    nlohmann::ordered_json rows = nlohmann::ordered_json::array();
    for (size_t i = 0; i < reports.size(); ++i) {
        const auto& report = reports[i];
        nlohmann::ordered_json kinds;
        for (const auto& [name, kind] : report.kinds)
            kinds[name] = { { "worth", kind.valueShare() }, { "jobs", kind.submitted }, { "in_time", kind.inTime },
                { "late", kind.late }, { "refused", kind.refused }, { "failed", kind.failed },
                { "given_up", kind.givenUp } };
        const double orders = static_cast<double>(std::max<uint64_t>(report.orders, 1));
        rows.push_back({ { "scenario", scenarios[i / seeds].name }, { "seed", i % seeds + 1 },
            { "worth", report.valueShare() }, { "worst_windows", report.worstWindowsShare() },
            { "worst_kind", report.worstKindShare() }, { "domain_spread", report.domainSpread() },
            { "served", report.servedShare() }, { "largest", report.worstLargeJobRatio() },
            { "refused_orders", static_cast<double>(report.refusedOrders) / orders },
            { "violations", report.violations.size() }, { "kinds", kinds } });
    }
    std::cout << rows.dump(1) << "\n";
}

/** Switches each mechanism off and prints what that changes in each scenario. */
void printAblation(
    const std::vector<Scenario>& scenarios, uint64_t seeds, size_t threads, const SimulationTuning& tuning, bool asJson)
{
    const auto whole = runAll(scenarios, seeds, threads, tuning);
    nlohmann::ordered_json rows = nlohmann::ordered_json::array();
    for (const auto& mechanism : bench::mechanisms()) {
        auto without = tuning;
        for (const auto& assignment : mechanism.switchOff)
            bench::applyTunable(without, assignment);
        const auto reports = runAll(scenarios, seeds, threads, without);
        for (size_t i = 0; i < scenarios.size(); ++i) {
            const auto change = compare(&whole[i * seeds], &reports[i * seeds], seeds);
            rows.push_back({ { "mechanism", mechanism.name }, { "scenario", scenarios[i].name },
                { "change", change.mean }, { "standard_error", change.standardError }, { "plays", seeds } });
            if (!asJson)
                fmt::print("{:<32}{:<32}{:>+8.4f} +- {:.4f}  {} plays\n", mechanism.name, scenarios[i].name,
                    change.mean, change.standardError, seeds);
        }
    }
    if (asJson)
        std::cout << rows.dump(1) << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    options::options_description described(
        "room-bench: response and value of jobs under heavy loads and faults, in simulated time");
    described.add_options()("help", "show this text")("filter", options::value<std::string>()->default_value(""),
        "run only scenarios whose name contains this text")("seeds", options::value<uint64_t>()->default_value(4),
        "number of simulations of each scenario, with seeds from 1")(
        "threads", options::value<size_t>()->default_value(3), "number of simulations that run in parallel")(
        "perfect-view", "run each scenario also with a single entry that sees everything at once")("set",
        options::value<std::vector<std::string>>()->composing()->default_value({}, ""),
        "change a parameter of the code: name=value; may be repeated")(
        "ablate", "switch each mechanism off in turn; prints the change of worth, paired by seed")(
        "json", "print a row for each simulation, or the ablation, as JSON");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
    } catch (const options::error& error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
    if (given.contains("help")) {
        std::cout << described;
        return 0;
    }
    std::vector<Scenario> chosen;
    for (auto& scenario : scenarios()) {
        if (scenario.name.find(given["filter"].as<std::string>()) != std::string::npos)
            chosen.push_back(std::move(scenario));
        else
            continue;
        if (given.contains("perfect-view"))
            chosen.push_back(withPerfectView(chosen.back()));
    }
    const auto seeds = given["seeds"].as<uint64_t>();
    const auto threads = given["threads"].as<size_t>();
    SimulationTuning tuning;
    for (const auto& assignment : given["set"].as<std::vector<std::string>>()) {
        if (const auto error = bench::applyTunable(tuning, assignment); !error.empty()) {
            fmt::print(stderr, "--set: {}\n", error);
            return 2;
        }
    }
    if (given.contains("ablate")) {
        printAblation(chosen, seeds, threads, tuning, given.contains("json"));
        return 0;
    }
    const auto reports = runAll(chosen, seeds, threads, tuning);
    if (given.contains("json")) {
        printJson(chosen, reports, seeds);
        return 0;
    }
    fmt::print("{:<32}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>8}{:>8}"
               "  by kind: worth in time/late/refused/failed/given up\n",
        "scenario", "worth", "worst", "kind", "domain", "served", "resp", "size", "strand", "refus", "msg/run",
        "waste");
    bool isClean = true;
    for (size_t i = 0; i < chosen.size(); ++i) {
        Summary sum;
        for (uint64_t seed = 0; seed < seeds; ++seed)
            sum.add(reports[i * seeds + seed]);
        print(chosen[i].name, sum);
        isClean = isClean && sum.violations.empty();
    }
    return isClean ? 0 : 1;
}
