/** @file RoomBench.cpp Plays heavy loads against placing, ordering and refusing, and prints what callers got. */
#include <RoomWorld.h>

#include <fmt/format.h>

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
        for (const double load : { 0.7, 1.0, 1.25, 1.5, 1.8 }) {
            auto scenario = make(fmt::format("load {:.2f}", load));
            scenario.load = load;
            out.push_back(scenario);
        }
        auto burst = make("burst 1.8 of all");
        burst.bursts = { { "", 1.8, Milliseconds(6000), Milliseconds(4000) } };
        out.push_back(burst);
        auto crash = make("2 of 11 crash, dark");
        crash.faults = { { ServerTrouble::Dark, { 0, 4 }, Milliseconds(6000), Milliseconds(5000) } };
        out.push_back(crash);
        auto hang = make("2 of 11 hang");
        hang.faults = { { ServerTrouble::Hang, { 1, 5 }, Milliseconds(6000), Milliseconds(5000) } };
        out.push_back(hang);
        auto slow = make("2 of 11 slow");
        slow.faults = { { ServerTrouble::Slow, { 1, 5 }, Milliseconds(6000), Milliseconds(6000), 6.5 } };
        out.push_back(slow);
        auto fail = make("1 of 11 fails all");
        fail.faults = { { ServerTrouble::Fail, { 1 }, Milliseconds(6000), Milliseconds(6000) } };
        out.push_back(fail);
        auto late = make("5% of orders late");
        late.lateOrders = 0.05;
        out.push_back(late);
        auto poison = make("5% poison");
        for (auto& kind : poison.kinds)
            kind.poison = 0.05;
        out.push_back(poison);
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string only = argc > 1 ? argv[1] : "";
    fmt::print("{:<28}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>8}{:>8}  by kind: in aim/late/refused/failed/given up\n",
        "scenario", "worth", "worst", "kind", "served", "size", "strand", "refus", "msg/run", "waste");
    for (const auto& scenario : scenarios()) {
        if (scenario.name.find(only) == std::string::npos)
            continue;
        const auto report = play(scenario);
        const auto orders = static_cast<double>(std::max<uint64_t>(report.orders, 1));
        fmt::print("{:<28}{:>7.3f}{:>7.3f}{:>7.3f}{:>7.3f}{:>7.2f}{:>7.3f}{:>7.3f}{:>8.2f}{:>8}", scenario.name,
            report.worth(), report.worstWindows(), report.worstKind(), report.servedShare(), report.worstSize(),
            report.strandedShare, static_cast<double>(report.refusedOrders) / orders,
            static_cast<double>(report.messages) / orders, report.wastedRuns);
        for (const auto& [name, kind] : report.kinds)
            fmt::print("  {} {}/{}/{}/{}/{}", name, kind.inAim, kind.late, kind.refused, kind.failed, kind.gaveUp);
        fmt::print("\n");
        for (size_t i = 0; i < std::min<size_t>(report.violations.size(), 3); ++i)
            fmt::print("    VIOLATION {}\n", report.violations[i]);
    }
    return 0;
}
