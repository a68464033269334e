/** @file Room.cpp Arithmetic on amounts of room. */
#include <sequoia/Resources.h>

#include <fmt/format.h>
#include <sequoia/generated/Messages_generated.h>

namespace sequoia {

namespace {

    int64_t timesFitting(int64_t part, int64_t whole, int64_t most)
    {
        if (part <= 0)
            return most;
        return std::clamp<int64_t>(whole / part, 0, most);
    }

    uint32_t unsignedPart(int64_t n) { return static_cast<uint32_t>(std::clamp<int64_t>(n, 0, UINT32_MAX)); }

} // namespace

int64_t timesFitting(const Resources& part, const Resources& whole, int64_t most)
{
    most = timesFitting(part.cpu, whole.cpu, most);
    most = timesFitting(part.memory, whole.memory, most);
    return timesFitting(part.accelerators, whole.accelerators, most);
}

Resources componentwiseMin(const Resources& a, const Resources& b)
{
    return { std::min(a.cpu, b.cpu), std::min(a.memory, b.memory), std::min(a.accelerators, b.accelerators) };
}

std::string toString(const Resources& room)
{
    return fmt::format("{}/{}/{}", room.cpu, room.memory, room.accelerators);
}

wire::Room toWire(const Resources& room)
{
    return { unsignedPart(room.cpu), unsignedPart(room.memory), unsignedPart(room.accelerators) };
}

Resources fromWire(const wire::Room* room)
{
    if (room == nullptr)
        return {};
    return { room->cpu(), room->memory(), room->accelerators() };
}

} // namespace sequoia
