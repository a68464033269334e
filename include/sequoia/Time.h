/** @file Time.h Clock types used by every signature that holds a time. */
#pragma once

#include <chrono>
#include <ctime>
#include <functional>

namespace sequoia {

using namespace std::chrono_literals; // NOLINT(google-build-using-namespace)

using Clock = std::chrono::steady_clock; ///< Monotonic; never compared between processes.
using TimePoint = Clock::time_point;
using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

/** Source of the time; tests replace it. */
using ClockHook = std::function<TimePoint()>;

/** Monotonic time that goes on while the VM is suspended; for bounds that others rely on. */
inline TimePoint suspendAwareNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

/** Rounds any duration down to whole milliseconds. */
template <typename D> constexpr Milliseconds toMilliseconds(D d) { return std::chrono::duration_cast<Milliseconds>(d); }

/** Rounds any duration down to whole microseconds. */
template <typename D> constexpr Microseconds toMicroseconds(D d) { return std::chrono::duration_cast<Microseconds>(d); }

} // namespace sequoia
