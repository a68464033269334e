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
struct Room {
    int64_t cpu = 0; ///< Thousandths of a core.
    int64_t memory = 0; ///< MB.
    int64_t accelerators = 0;

    bool operator==(const Room&) const = default;
    /** Whether this amount is available in another one. */
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

/** How many times `part` fits into `whole`; at most `limit`. */
int64_t timesFitting(const Room& part, const Room& whole, int64_t limit);
/** Minimum of each member. */
Room smallerOf(const Room& a, const Room& b);
/** `cpu/memory/accelerators`, for logs. */
std::string toString(const Room& resources);

/** Negative members are sent as zero. */
wire::Room toWire(const Room& resources);
Room fromWire(const wire::Room* resources);

} // namespace sequoia
