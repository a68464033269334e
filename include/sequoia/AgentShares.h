/** @file AgentShares.h Which agents an entry orders from first: code of its own, for many entries on the same agents.
 */
#pragma once

#include <cstddef>

namespace sequoia {

/**
 * Whether an agent is among those that an entry prefers. All entries know the same order of the linked agents and of
 * the entries; each entry prefers an equal span of the agents, so that each agent is preferred by some entry, and
 * neighbours overlap where the numbers don't divide. Answers a normal load on many entries: their views of an agent
 * that they all order from are old by the time that it takes to tell them all, and orders for room that is gone are
 * refused.
 */
constexpr bool isPreferredAgent(size_t agent, size_t agents, size_t entry, size_t entries)
{
    // In units of which an agent has `entries` and an entry has `agents`.
    const auto agentBegin = agent * entries;
    const auto entryBegin = entry * agents;
    return agentBegin < entryBegin + agents && entryBegin < agentBegin + entries;
}

} // namespace sequoia
