/** @file Room.h Processors, memory and accelerators as one amount. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace sequoia {

namespace wire {
    struct Room;
}

/** An amount of what a backend server has; negative parts mean that it is overcommitted. */
struct Resources {
    int64_t cpu = 0; ///< Thousandths of a core.
    int64_t memory = 0; ///< MB.
    int64_t accelerators = 0;

    bool operator==(const Resources&) const = default;
    /** Whether this amount can be taken from another one. */
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

/** How many times `part` can be taken from `whole`; at most `most`. */
int64_t timesFitting(const Resources& part, const Resources& whole, int64_t most);
/** The smaller of the two in each dimension. */
Resources componentwiseMin(const Resources& a, const Resources& b);
/** Writes `cpu/memory/accelerators` for logs. */
std::string toString(const Resources& room);

/** Negative parts are sent as zero. */
wire::Room toWire(const Resources& room);
Resources fromWire(const wire::Room* room);

} // namespace sequoia
