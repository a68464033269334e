/** @file LogLimiter.h Rate limit of log lines, separate for each kind of event. */
#pragma once

#include <sequoia/Time.h>

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace sequoia {

enum class LogLevel : uint8_t;

/** Rate limit of the lines of one kind and level. */
struct LogRate {
    double perSecond = 0;
    double burst = 0; ///< Capacity of the token bucket: lines that may come at once after a pause.
};

/** Rate limits by level. Warnings have a higher limit than routine events, and errors are never suppressed. */
struct LogLimiterLimits {
    LogRate info { 100, 400 };
    LogRate warning { 300, 1200 };
};

/** Number of suppressed lines of one kind. */
struct SuppressedLines {
    std::string_view kind;
    uint64_t lines = 0;
};

/** A token bucket for each kind and level, so that many lines of one kind suppress no other. Not thread-safe. */
class LogLimiter {
public:
    explicit LogLimiter(const LogLimiterLimits& limits = {});
    /** Whether a line may be written now; if not, it is counted as suppressed. `kind` is a string literal. */
    bool admits(LogLevel level, std::string_view kind, TimePoint now);
    /** Lines suppressed since the last call. */
    std::vector<SuppressedLines> takeSuppressed();

private:
    struct Bucket {
        double tokens = 0;
        TimePoint lastRefill {};
        uint64_t suppressed = 0;
    };

    LogLimiterLimits m_limits;
    std::map<std::pair<std::string_view, LogLevel>, Bucket> m_buckets;
};

} // namespace sequoia
