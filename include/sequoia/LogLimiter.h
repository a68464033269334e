/** @file LogLimiter.h Bounds the lines that a process logs, each kind of event by itself. */
#pragma once

#include <sequoia/Time.h>

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace sequoia {

enum class LogLevel : uint8_t;

/** Most lines of one kind and level. */
struct LogRate {
    double perSecond = 0;
    double burst = 0; ///< Lines that may come at once after a quiet time.
};

/** Bounds by level; failures keep more room than what goes well, and errors are never left out. */
struct LogLimiterLimits {
    LogRate info { 100, 400 };
    LogRate warning { 300, 1200 };
};

/** Lines of one kind that were left out. */
struct SuppressedLines {
    std::string_view kind;
    uint64_t lines = 0;
};

/** A token bucket for each kind and level, so that a flood of one kind hides no other. Not thread-safe. */
class LogLimiter {
public:
    explicit LogLimiter(const LogLimiterLimits& limits = {});
    /** Whether a line may be written now; counts it otherwise. `kind` is a literal. */
    bool admits(LogLevel level, std::string_view kind, TimePoint now);
    /** What was left out since the last call. */
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
