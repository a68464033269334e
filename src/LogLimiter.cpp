/** @file LogLimiter.cpp Token buckets that limit the rate of log lines. */
#include <sequoia/LogLimiter.h>

#include <sequoia/Log.h>

#include <algorithm>
#include <utility>

namespace sequoia {

LogLimiter::LogLimiter(const LogLimiterLimits& limits)
    : m_limits(limits)
{
}

bool LogLimiter::admits(LogLevel level, std::string_view kind, TimePoint now)
{
    if (level >= LogLevel::Error)
        return true;
    const auto& rate = level >= LogLevel::Warning ? m_limits.warning : m_limits.info;
    const auto [it, isNew] = m_buckets.try_emplace({ kind, level }, Bucket { rate.burst, now, 0 });
    auto& bucket = it->second;
    const double seconds = std::chrono::duration<double>(now - bucket.lastRefill).count();
    bucket.tokens = std::min(bucket.tokens + seconds * rate.perSecond, rate.burst);
    bucket.lastRefill = now;
    if (bucket.tokens < 1) {
        ++bucket.suppressed;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

std::vector<SuppressedLines> LogLimiter::takeSuppressed()
{
    std::vector<SuppressedLines> out;
    for (auto& [key, bucket] : m_buckets) {
        if (bucket.suppressed > 0)
            out.push_back({ key.first, std::exchange(bucket.suppressed, 0) });
    }
    return out;
}

} // namespace sequoia
