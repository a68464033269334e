/** @file RouteTable.cpp Route look-up by host and longest path prefix. */
#include <sequoia/RouteTable.h>

namespace sequoia {

const Route* RouteTable::find(const HostName& host, std::string_view path) const
{
    const Route* best = nullptr;
    for (const auto& route : routes) {
        const bool matches = (!route.host || *route.host == host) && path.starts_with(route.prefix);
        if (matches && (best == nullptr || route.prefix.size() > best->prefix.size()))
            best = &route;
    }
    return best;
}

} // namespace sequoia
