/** @file RouteTable.h Versioned table that maps callers' requests to services. */
#pragma once

#include <sequoia/HostName.h>
#include <sequoia/Work.h>

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace sequoia {

/** A route and the pattern of the requests that it matches. */
struct Route {
    std::optional<HostName> host; ///< Empty matches any host.
    std::string prefix; ///< Prefix of the path.
    RoutePolicy policy;
};

/** All routes of one configuration. */
struct RouteTable {
    uint64_t version = 0; ///< Grows with each change, not always by one.
    std::vector<Route> routes;

    /** The matching route with the longest prefix; null if none matches. */
    const Route* find(const HostName& host, std::string_view path) const;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace sequoia
