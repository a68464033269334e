/** @file Time.h Clock types used by every signature that holds a time. */
#pragma once

#include <chrono>
#include <functional>

namespace sequoia {

using namespace std::chrono_literals; // NOLINT(google-build-using-namespace)

using Clock = std::chrono::steady_clock; ///< Monotonic; never compared between processes.
using TimePoint = Clock::time_point;
using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

/** Source of the time; tests replace it. */
using ClockHook = std::function<TimePoint()>;

/** Rounds any duration down to whole milliseconds. */
template <typename D> constexpr Milliseconds toMilliseconds(D d) { return std::chrono::duration_cast<Milliseconds>(d); }

/** Rounds any duration down to whole microseconds. */
template <typename D> constexpr Microseconds toMicroseconds(D d) { return std::chrono::duration_cast<Microseconds>(d); }

} // namespace sequoia
