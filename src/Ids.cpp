/** @file Ids.cpp Text forms of identifiers. */
#include <sequoia/Ids.h>

#include <cctype>
#include <charconv>
#include <fmt/format.h>
#include <random>
#include <vector>

namespace sequoia {

namespace {

    constexpr char separator = '~';
    constexpr int hexadecimal = 16;
    constexpr int decimal = 10;
    constexpr size_t workIdDigits = 16;

    template <typename Number> std::optional<Number> parseNumber(std::string_view text, int base)
    {
        Number n {};
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n, base);
        if (ec != std::errc() || end != text.data() + text.size() || text.empty())
            return std::nullopt;
        return n;
    }

    std::vector<std::string_view> split(std::string_view text)
    {
        std::vector<std::string_view> parts;
        for (;;) {
            const auto at = text.find(separator);
            parts.push_back(text.substr(0, at));
            if (at == std::string_view::npos)
                return parts;
            text.remove_prefix(at + 1);
        }
    }

    std::optional<SessionId> sessionFrom(const std::vector<std::string_view>& parts)
    {
        const auto owner = parseNumber<uint64_t>(parts[1], hexadecimal);
        const auto number = parseNumber<uint64_t>(parts[2], decimal);
        const bool isAddress = parts[0].find(':') != std::string_view::npos;
        if (!owner || !number || !isAddress)
            return std::nullopt;
        return SessionId { std::string(parts[0]), Incarnation(*owner), SessionNumber(*number) };
    }

} // namespace

std::string toString(const SessionId& id)
{
    return fmt::format("{}~{:016x}~{}", id.address, raw(id.owner), raw(id.number));
}

std::string toString(const JobId& id) { return fmt::format("{}~{}", toString(id.session), raw(id.sequence)); }

std::string toString(WorkId id)
{
    auto text = fmt::format("{:016x}", id.number);
    for (size_t i = 0; i < workIdDigits; ++i) {
        if ((id.upperCase >> (workIdDigits - 1 - i)) % 2 != 0)
            text[i] = static_cast<char>(std::toupper(static_cast<unsigned char>(text[i])));
    }
    return text;
}

std::string toString(const JobKey& key)
{
    return fmt::format("{:016x}~{}~{}", raw(key.owner), raw(key.session), raw(key.sequence));
}

std::string toString(const TaskKey& key) { return fmt::format("{}~{}", toString(key.job), raw(key.index)); }

std::optional<WorkId> parseWorkId(std::string_view text)
{
    const auto number = parseNumber<uint64_t>(text, hexadecimal);
    if (!number || text.size() != workIdDigits)
        return std::nullopt;
    uint16_t upperCase = 0;
    for (const unsigned char c : text)
        upperCase = static_cast<uint16_t>(upperCase << 1U | (std::isupper(c) != 0 ? 1U : 0U));
    return WorkId(*number, upperCase);
}

std::optional<SessionId> parseSessionId(std::string_view text)
{
    const auto parts = split(text);
    if (parts.size() != 3)
        return std::nullopt;
    return sessionFrom(parts);
}

std::optional<JobId> parseJobId(std::string_view text)
{
    const auto parts = split(text);
    if (parts.size() != 4)
        return std::nullopt;
    const auto session = sessionFrom(parts);
    const auto sequence = parseNumber<uint32_t>(parts[3], decimal);
    if (!session || !sequence)
        return std::nullopt;
    return JobId { *session, JobSequence(*sequence) };
}

Incarnation drawIncarnation()
{
    std::random_device device;
    const uint64_t high = device();
    return Incarnation((high << 32U) | device());
}

} // namespace sequoia
