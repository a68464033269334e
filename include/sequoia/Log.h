/** @file Log.h Events of a process: key=value lines on standard error and a bounded ring for the time line. */
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

/** Severity of an event; the ring keeps Debug and above, the text output what the settings say. */
enum class LogLevel : uint8_t { Debug, Info, Warning, Error };

/** Reads `debug`, `info`, `warning` or `error`; Info for any other text. */
LogLevel parseLogLevel(std::string_view text);

/** Value of a field; identifiers are written out only when somebody reads them. */
using LogValue = std::variant<std::string, int64_t, JobKey, TaskKey, WorkId>;

/** One key=value pair of an event. */
struct LogField {
    std::string_view key; ///< A literal.
    LogValue value;
};

/** Text of a value. */
std::string toString(const LogValue& value);

/** One event as the time line shows it. */
struct TimeLineEvent {
    /** One field as text. */
    struct Field {
        std::string key;
        std::string value;
    };

    uint64_t stamp = 0; ///< Hybrid logical time, µs since 1970; causes before effects over all processes.
    LogLevel level = LogLevel::Info;
    std::string process; ///< Name of the process.
    std::string kind; ///< Event kind, such as `task-start`.
    std::vector<Field> fields;
};

/** Hybrid logical clock: wall time that never falls behind a stamp received. Thread-safe. */
class HybridClock {
public:
    /** A stamp for an event of this process, in µs. */
    uint64_t next();
    /** Takes note of a stamp received from another process. */
    void merge(uint64_t stamp);

private:
    std::atomic<uint64_t> m_last { 0 };
};

/** Takes whole lines; must not block. */
using LineSink = std::function<void(const std::string& line, LogLevel level)>;

/** Event output of one process. Thread-safe. */
class Log {
public:
    /** Lines go to standard error if there is no sink; the rate of those that go to a sink is bounded. */
    Log(std::string process, LogLevel level, size_t ringSize, LineSink sink = {}, const LogLimiterLimits& limits = {});

    /** Records an event and, at or above the level, prints it as one line. `kind` is a literal. */
    void event(LogLevel level, std::string_view kind, std::vector<LogField> fields);

    /** Events of the ring with a stamp above `since`, whose fields contain `filter` (all if empty). */
    std::vector<TimeLineEvent> events(uint64_t since, std::string_view filter) const;

    /** Changes what is printed while the process runs. */
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
    /** Writes a line to the sink unless there are too many of its kind. */
    void writeRateLimited(const Recorded& event);

    std::string m_process;
    std::atomic<LogLevel> m_level;
    size_t m_ringSize;
    LineSink m_sink;
    std::mutex m_limiterMutex; ///< Guards the two below.
    LogLimiter m_limiter;
    TimePoint m_nextSuppressedReport {}; ///< When the lines left out are told again.
    HybridClock m_clock;
    mutable std::mutex m_mutex;
    std::deque<Recorded> m_ring;
};

} // namespace sequoia
