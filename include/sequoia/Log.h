/** @file Log.h Event log of a process: key=value lines, and a ring buffer of recent events for the timeline. */
#pragma once

#include <sequoia/Ids.h>
#include <sequoia/LogLimiter.h>
#include <sequoia/Time.h>

#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sequoia {

/** Severity of an event. Lines are written from the configured level upwards; the ring holds events of all levels. */
enum class LogLevel : uint8_t { Debug, Info, Warning, Error };

/** Reads `debug`, `info`, `warning` or `error`; Info for any other text. */
LogLevel parseLogLevel(std::string_view text);

/** Value of a field. Identifiers are kept in binary form and only formatted when the event is printed or read. */
using LogValue = std::variant<std::string, int64_t, JobKey, TaskKey, WorkId>;

/** One key=value pair of an event. */
struct LogField {
    std::string_view key; ///< A string literal, as it is not copied.
    LogValue value;
};

/** Formats a value. */
std::string toString(const LogValue& value);

/** One event, with its fields as text. */
struct TimeLineEvent {
    struct Field {
        std::string key;
        std::string value;
    };

    uint64_t stamp = 0; ///< Hybrid logical time, µs since 1970; a cause has a lower stamp than its effect.
    LogLevel level = LogLevel::Info;
    std::string process;
    std::string kind; ///< Event kind, such as `task-start`.
    std::vector<Field> fields;
};

/** Hybrid logical clock: wall-clock time, but always ahead of every stamp issued or received. Thread-safe. */
class HybridClock {
public:
    /** Issues a stamp for an event of this process, in µs since 1970. */
    uint64_t next();
    /** Advances the clock to a stamp received from another process. */
    void merge(uint64_t stamp);

private:
    std::atomic<uint64_t> m_last { 0 };
};

/** Receives complete lines; must not block. */
using LineSink = std::function<void(const std::string& line, LogLevel level)>;

/** Event log of one process. Thread-safe. */
class Log {
public:
    /** Without a sink, lines go to standard error. Lines to a sink are rate-limited. */
    Log(std::string process, LogLevel level, size_t ringSize, LineSink sink = {}, const LogLimiterLimits& limits = {});

    /** Adds an event to the ring and writes it as one line if its level is high enough. `kind` is a string literal. */
    void event(LogLevel level, std::string_view kind, std::vector<LogField> fields);

    /** Events of the ring with a stamp above `since` and, unless `filter` is empty, with a value that contains it. */
    std::vector<TimeLineEvent> events(uint64_t since, std::string_view filter) const;

    /** Changes the level from which lines are written. */
    void setLevel(LogLevel level) { m_level = level; }

    HybridClock& clock() { return m_clock; }
    const std::string& process() const { return m_process; }

private:
    struct Recorded {
        uint64_t stamp = 0;
        LogLevel level = LogLevel::Info;
        std::string_view kind;
        std::vector<LogField> fields;
    };

    TimeLineEvent toTimeLineEvent(const Recorded& event) const;
    /** Writes a line to the sink unless the rate limit suppresses it; reports suppressed lines periodically. */
    void writeRateLimited(const Recorded& event);

    std::string m_process;
    std::atomic<LogLevel> m_level;
    size_t m_ringSize;
    LineSink m_sink;
    std::mutex m_limiterMutex; ///< Guards the two members below.
    LogLimiter m_limiter;
    TimePoint m_nextSuppressedReport {}; ///< When suppressed lines are reported next.
    HybridClock m_clock;
    mutable std::mutex m_mutex;
    std::deque<Recorded> m_ring;
};

} // namespace sequoia
