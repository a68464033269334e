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
struct Room {
    int64_t cpu = 0; ///< Thousandths of a core.
    int64_t memory = 0; ///< MB.
    int64_t accelerators = 0;

    bool operator==(const Room&) const = default;
    /** Whether this amount can be taken from another one. */
    bool fitsIn(const Room& other) const
    {
        return cpu <= other.cpu && memory <= other.memory && accelerators <= other.accelerators;
    }
    Room& operator+=(const Room& other)
    {
        cpu += other.cpu;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
    Room& operator-=(const Room& other)
    {
        cpu -= other.cpu;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }
    friend Room operator+(Room a, const Room& b) { return a += b; }
    friend Room operator-(Room a, const Room& b) { return a -= b; }
    friend Room operator*(Room a, int64_t n) { return { a.cpu * n, a.memory * n, a.accelerators * n }; }
};

/** How many times `part` can be taken from `whole`; at most `most`. */
int64_t timesFitting(const Room& part, const Room& whole, int64_t most);
/** The smaller of the two in each dimension. */
Room smallerOf(const Room& a, const Room& b);
/** Writes `cpu/memory/accelerators` for logs. */
std::string toString(const Room& room);

/** Negative parts are sent as zero. */
wire::Room toWire(const Room& room);
Room fromWire(const wire::Room* room);

} // namespace sequoia
