/** @file LineWriter.h Writes log lines to a file descriptor without ever holding up the threads that log. */
#pragma once

#include <sequoia/Time.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace sequoia {

/** Bounds of a line writer. */
struct LineWriterLimits {
    size_t maxBufferedBytes = 256U << 10U; ///< Further lines are dropped and counted.
    Milliseconds flushPeriod { 50 }; ///< Lines are gathered for this time.
    Milliseconds closeTimeout { 300 }; ///< For the last lines, if the reader is slow.
};

/** Buffers lines and writes them on a thread of its own; a reader that stops reading costs lines, not time. */
class LineWriter {
public:
    explicit LineWriter(int descriptor, LineWriterLimits limits = {});
    /** Writes what is buffered, for a bounded time. */
    ~LineWriter();
    LineWriter(const LineWriter&) = delete;
    LineWriter& operator=(const LineWriter&) = delete;

    /** Takes one line with its line break. Ordinary lines leave half of the buffer to the others. */
    void write(const std::string& line, bool isOrdinary = false);
    /** Lines dropped since the start. */
    uint64_t dropped() const;
    /** Lines and bytes taken since the start. */
    uint64_t lines() const;
    uint64_t bytes() const;

private:
    void run();
    /** Writes all it can before the time; returns what is left. */
    std::string flush(std::string text, TimePoint until) const;

    int m_descriptor;
    LineWriterLimits m_limits;
    mutable std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::string m_buffer;
    uint64_t m_lines = 0;
    uint64_t m_bytes = 0;
    uint64_t m_dropped = 0;
    uint64_t m_reportedDropped = 0;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace sequoia
