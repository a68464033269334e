/** @file AgentShares.h Which agents an entry orders from first, where several entries share the agents. */
#pragma once

#include <cstddef>

namespace sequoia {

/**
 * Whether an entry prefers an agent; both are given by their positions. All entries sort the linked agents and the
 * entries alike. Each entry prefers a contiguous range of the same length, so that every agent is preferred by at least
 * one entry; ranges of neighbours overlap where the numbers don't divide. Without this, many entries would order from
 * the same agents on outdated reports of their free resources, and the agents would refuse those orders.
 */
constexpr bool isPreferredAgent(size_t agent, size_t agents, size_t entry, size_t entries)
{
    // Both ranges are scaled to `agents * entries` units: an agent spans `entries` of them, an entry `agents`.
    const auto agentBegin = agent * entries;
    const auto entryBegin = entry * agents;
    return agentBegin < entryBegin + agents && entryBegin < agentBegin + entries;
}

} // namespace sequoia
