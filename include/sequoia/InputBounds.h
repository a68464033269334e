/** @file InputBounds.h Bounds of numbers that come from other processes. */
#pragma once

#include <cstdint>

namespace sequoia {

/** Upper bound of times, ms: the year 4000 for those since 1970. Sums of such times can't overflow. */
constexpr int64_t maxTimeMs = 64'060'588'800'000;

} // namespace sequoia
