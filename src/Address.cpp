/** @file Address.cpp Parsing of network addresses. */
#include <sequoia/Address.h>

#include <charconv>
#include <cstdint>

namespace sequoia {

std::optional<std::pair<std::string, int>> splitAddress(const std::string& address)
{
    const auto at = address.rfind(':');
    int port = 0;
    if (at == std::string::npos)
        return std::nullopt;
    const auto* last = address.data() + address.size();
    const auto [end, ec] = std::from_chars(address.data() + at + 1, last, port);
    if (ec != std::errc() || end != last || port < 0 || port > UINT16_MAX)
        return std::nullopt;
    return std::pair(address.substr(0, at), port);
}

} // namespace sequoia
