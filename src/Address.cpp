/** @file Address.cpp Parsing of network addresses. */
#include <sequoia/Address.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace sequoia {

namespace {

    bool isAsciiAlphanumeric(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    }

    bool isHost(std::string_view text)
    {
        constexpr size_t maxHostBytes = 253; // The limit of the domain name system.
        if (text.empty() || text.size() > maxHostBytes)
            return false;
        const bool isBracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
        const std::string_view otherCharacters = isBracketed ? ":.%" : ".-_";
        const auto name = isBracketed ? text.substr(1, text.size() - 2) : text;
        return std::all_of(name.begin(), name.end(),
            [&](char c) { return isAsciiAlphanumeric(c) || otherCharacters.find(c) != std::string_view::npos; });
    }

} // namespace

std::optional<std::pair<std::string, int>> splitAddress(const std::string& address)
{
    const auto at = address.rfind(':');
    int port = 0;
    if (at == std::string::npos || !isHost(std::string_view(address).substr(0, at)))
        return std::nullopt;
    const auto* last = address.data() + address.size();
    const auto [end, ec] = std::from_chars(address.data() + at + 1, last, port);
    if (ec != std::errc() || end != last || port < 0 || port > UINT16_MAX)
        return std::nullopt;
    return std::pair(address.substr(0, at), port);
}

bool isDialable(const std::string& address)
{
    const auto parts = splitAddress(address);
    return parts && parts->second > 0;
}

} // namespace sequoia
