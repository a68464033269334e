/** @file Tunables.h Parameters of the code under test by name, for experiments with the simulation. */
#pragma once

#include <ClusterSimulation.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia::bench {

/** A parameter that an experiment may change. */
struct Tunable {
    std::string_view name;
    std::function<void(test::SimulationTuning&, double)> set;
};

/** All parameters, each with its name. */
const std::vector<Tunable>& tunables();

/** Applies `name=value`; an empty text if that worked, an error message otherwise. */
std::string applyTunable(test::SimulationTuning& tuning, const std::string& assignment);

/** A mechanism, and the assignment that switches it off. */
struct Mechanism {
    std::string_view name;
    std::vector<std::string> switchOff; ///< Assignments, as for `applyTunable`.
};

/** The mechanisms that an ablation switches off one at a time. */
const std::vector<Mechanism>& mechanisms();

} // namespace sequoia::bench
