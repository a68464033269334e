/** @file Resources.h Amount of processors, memory and accelerators. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace sequoia {

namespace wire {
    struct Room;
}

/** Resources of a backend server or a task; a negative member means that the server is overcommitted. */
struct Resources {
    int64_t cpu = 0; ///< Thousandths of a core.
    int64_t memory = 0; ///< MB.
    int64_t accelerators = 0;

    bool operator==(const Resources&) const = default;
    /** Whether this amount is available in another one. */
    bool fitsIn(const Resources& other) const
    {
        return cpu <= other.cpu && memory <= other.memory && accelerators <= other.accelerators;
    }
    Resources& operator+=(const Resources& other)
    {
        cpu += other.cpu;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
    Resources& operator-=(const Resources& other)
    {
        cpu -= other.cpu;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }
    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
    friend Resources operator*(Resources a, int64_t n) { return { a.cpu * n, a.memory * n, a.accelerators * n }; }
};

/** How many times `part` fits into `whole`; at most `limit`. */
int64_t timesFitting(const Resources& part, const Resources& whole, int64_t limit);
/** Minimum of each member. */
Resources componentwiseMin(const Resources& a, const Resources& b);
/** `cpu/memory/accelerators`, for logs. */
std::string toString(const Resources& resources);

/** Negative members are sent as zero. */
wire::Room toWire(const Resources& resources);
Resources fromWire(const wire::Room* resources);

} // namespace sequoia
