/** @file Tunables.cpp Table of the parameters and mechanisms that experiments change. */
#include "Tunables.h"

#include <charconv>
#include <fmt/format.h>

namespace sequoia::bench {

namespace {

    Milliseconds ms(double value) { return Milliseconds(static_cast<int64_t>(value)); }

} // namespace

const std::vector<Tunable>& tunables()
{
    static const std::vector<Tunable> all {
        { "start_calls", [](auto& t, double v) { t.gate.maxStartCalls = static_cast<uint32_t>(v); } },
        { "waiting_polls", [](auto& t, double v) { t.gate.pollsWhileCallsGetLost = static_cast<size_t>(v); } },
        { "reservation_ms", [](auto& t, double v) { t.gate.reservationTime = ms(v); } },
        { "relink_grace_ms", [](auto& t, double v) { t.gate.relinkGrace = ms(v); } },
        { "quarantine_failures",
            [](auto& t, double v) { t.gate.health.quarantineFailures = static_cast<uint32_t>(v); } },
        { "demand_period_ms", [](auto& t, double v) { t.dispatcher.demandPeriod = ms(v); } },
        { "backfill_depth", [](auto& t, double v) { t.dispatcher.backfillDepth = static_cast<size_t>(v); } },
        { "straggler_factor", [](auto& t, double v) { t.dispatcher.stragglerFactor = v; } },
        { "resubmission_routes",
            [](auto& t, double v) { t.dispatcher.resubmission.maxRoutes = static_cast<size_t>(v); } },
        { "settle_ms", [](auto& t, double v) { t.dispatcher.settleTime = ms(v); } },
        { "late_factor", [](auto& t, double v) { t.placement.lateFactor = v; } },
        { "run_time_deviations", [](auto& t, double v) { t.placement.maxRunTimeDeviations = v; } },
        { "min_run_time_deviations", [](auto& t, double v) { t.placement.minRunTimeDeviations = v; } },
        { "slowness_deviations", [](auto& t, double v) { t.placement.slownessDeviations = v; } },
        { "slowness_margin", [](auto& t, double v) { t.placement.minSlownessMargin = v; } },
        { "reserved_share", [](auto& t, double v) { t.placement.reservedShare = v; } },
        { "contended_reserved_share", [](auto& t, double v) { t.placement.contendedReservedShare = v; } },
        { "late_overtaking_share", [](auto& t, double v) { t.placement.lateOvertakingShare = v; } },
        { "max_hold_share", [](auto& t, double v) { t.placement.maxHoldShare = v; } },
        { "admission", [](auto& t, double v) { t.predictsWaits = v != 0; } },
    };
    return all;
}

std::string applyTunable(test::SimulationTuning& tuning, const std::string& assignment)
{
    const auto equals = assignment.find('=');
    if (equals == std::string::npos)
        return fmt::format("\"{}\" is not of the form name=value", assignment);
    const auto name = std::string_view(assignment).substr(0, equals);
    double value = 0;
    const char* const end = assignment.data() + assignment.size();
    if (const auto [at, error] = std::from_chars(assignment.data() + equals + 1, end, value);
        error != std::errc() || at != end)
        return fmt::format("the value of \"{}\" is not a number", assignment);
    for (const auto& tunable : tunables()) {
        if (tunable.name != name)
            continue;
        tunable.set(tuning, value);
        return "";
    }
    return fmt::format("there is no parameter \"{}\"", name);
}

const std::vector<Mechanism>& mechanisms()
{
    static const std::vector<Mechanism> all {
        { "starts sent again", { "start_calls=1" } },
        { "several waiting polls", { "waiting_polls=1" } },
        { "predicted waits, early refusal", { "admission=0" } },
        { "band Stale", { "late_factor=1000" } },
        { "resubmission detection", { "resubmission_routes=0" } },
        { "reserve on fast servers", { "reserved_share=0" } },
        { "reserve on others' servers", { "contended_reserved_share=0" } },
        { "wait for a Safe server", { "max_hold_share=0" } },
        { "margin of run times", { "run_time_deviations=0", "min_run_time_deviations=0" } },
        { "margin of slowness", { "slowness_deviations=0", "slowness_margin=1" } },
        { "late overtaking share", { "late_overtaking_share=0" } },
        { "stragglers are stopped", { "straggler_factor=1000000" } },
        { "quarantine and trials", { "quarantine_failures=1000000" } },
        { "room kept for demand", { "reservation_ms=0" } },
        { "demand messages", { "demand_period_ms=1000000" } },
        { "relink grace", { "relink_grace_ms=0" } },
        { "backfill", { "backfill_depth=1" } },
        { "settle time", { "settle_ms=0" } },
    };
    return all;
}

} // namespace sequoia::bench
