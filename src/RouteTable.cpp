/** @file RouteTable.cpp Route look-up by host and longest path prefix. */
#include <sequoia/RouteTable.h>

#include <algorithm>
#include <cctype>

namespace sequoia {

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    host = host.substr(0, host.find(':'));
    std::string name(host);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const Route* best = nullptr;
    for (const auto& route : routes) {
        const bool matches = (route.host.empty() || route.host == name) && path.starts_with(route.prefix);
        if (matches && (best == nullptr || route.prefix.size() > best->prefix.size()))
            best = &route;
    }
    return best;
}

} // namespace sequoia
