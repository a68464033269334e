/** @file Resources.cpp Arithmetic on resources. */
#include <sequoia/Resources.h>

#include <fmt/format.h>
#include <sequoia/generated/Messages_generated.h>

namespace sequoia {

namespace {

    int64_t timesFitting(int64_t part, int64_t whole, int64_t limit)
    {
        if (part <= 0)
            return whole < 0 ? 0 : limit;
        return std::clamp<int64_t>(whole / part, 0, limit);
    }

    uint32_t unsignedPart(int64_t n) { return static_cast<uint32_t>(std::clamp<int64_t>(n, 0, UINT32_MAX)); }

} // namespace

int64_t timesFitting(const Resources& part, const Resources& whole, int64_t limit)
{
    limit = timesFitting(part.cpu, whole.cpu, limit);
    limit = timesFitting(part.memory, whole.memory, limit);
    return timesFitting(part.accelerators, whole.accelerators, limit);
}

Resources componentwiseMin(const Resources& a, const Resources& b)
{
    return { std::min(a.cpu, b.cpu), std::min(a.memory, b.memory), std::min(a.accelerators, b.accelerators) };
}

std::string toString(const Resources& resources)
{
    return fmt::format("{}/{}/{}", resources.cpu, resources.memory, resources.accelerators);
}

wire::Room toWire(const Resources& resources)
{
    return { unsignedPart(resources.cpu), unsignedPart(resources.memory), unsignedPart(resources.accelerators) };
}

Resources fromWire(const wire::Room* resources)
{
    if (resources == nullptr)
        return {};
    return { resources->cpu(), resources->memory(), resources->accelerators() };
}

} // namespace sequoia
