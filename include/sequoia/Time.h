/** @file Time.h Clocks, time points and durations. */
#pragma once

#include <chrono>
#include <ctime>
#include <functional>

namespace sequoia {

using namespace std::chrono_literals; // NOLINT(google-build-using-namespace)

using Clock = std::chrono::steady_clock; ///< Monotonic; its values are meaningless in other processes.
using TimePoint = Clock::time_point;
using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

/** Source of the current time; tests replace it. */
using ClockHook = std::function<TimePoint()>;

/** Monotonic time that also advances while the VM is suspended; for time limits that other processes rely on. */
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
