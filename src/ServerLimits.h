/** @file ServerLimits.h Limits of the HTTP ports of the platform's processes. */
#pragma once

#include <sequoia/AsyncHttp.h>
#include <sequoia/Log.h>

#include <algorithm>

namespace sequoia {

/** Connections on each port but that of callers, so that these ports leave descriptors for callers, links and calls. */
constexpr size_t maxPeerConnections = 48;

/** Limits of a port of peers, which logs the requests that it refuses. */
inline AsyncHttpLimits peerServerLimits(size_t maxTrailerBytes, Log& log)
{
    AsyncHttpLimits limits;
    limits.maxConnections = maxPeerConnections;
    limits.maxTrailerBytes = maxTrailerBytes;
    limits.onRefusal = [&log](int status, const std::string& reason) {
        log.event(LogLevel::Info, "request-refused", { { "status", status }, { "reason", reason } });
    };
    return limits;
}

/**
 * Connections of callers that an entry takes: at most `maxConnections`, and not more than leave descriptors for files,
 * links of agents, the other ports and calls. `maxDescriptors` is what the process may open; 0 if that is unknown.
 */
inline size_t callerConnections(size_t maxConnections, size_t maxDescriptors)
{
    constexpr size_t reserved = 700; // 200 for files, 3 * 48 on other ports, 350 for links and calls.
    constexpr size_t least = 64;
    if (maxDescriptors == 0)
        return maxConnections;
    return std::min(maxConnections, maxDescriptors > reserved + least ? maxDescriptors - reserved : least);
}

} // namespace sequoia
