/** @file RouteTable.h Routes of callers' jobs: which requests belong to which service, under one version. */
#pragma once

#include <sequoia/Work.h>

#include <memory>
#include <string_view>
#include <vector>

namespace sequoia {

/** A route and the requests that it takes. */
struct Route {
    std::string host; ///< Lower case; empty for any.
    std::string prefix; ///< Start of the path.
    RoutePolicy policy;
};

/** All routes of one configuration. */
struct RouteTable {
    uint64_t version = 0; ///< Grows in uneven steps.
    std::vector<Route> routes;

    /** The route with the longest prefix of a path; null if there is none. `host` may carry a port. */
    const Route* find(std::string_view host, std::string_view path) const;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace sequoia
