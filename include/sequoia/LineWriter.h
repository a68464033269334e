/** @file LineWriter.h Writes log lines to a file descriptor without blocking the threads that log. */
#pragma once

#include <sequoia/Time.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace sequoia {

/** Limits of a LineWriter. */
struct LineWriterLimits {
    size_t maxBufferedBytes = 256U << 10U; ///< Further lines are dropped and counted.
    Milliseconds flushPeriod { 50 }; ///< Time for which lines are collected before they are written.
    Milliseconds closeTimeout { 300 }; ///< For writing the last lines in the destructor.
};

/** Buffers lines and writes them on its own thread. If the reader stops reading, it drops lines instead of blocking. */
class LineWriter {
public:
    explicit LineWriter(int descriptor, LineWriterLimits limits = {});
    /** Writes the buffered lines, for at most `closeTimeout`. */
    ~LineWriter();
    LineWriter(const LineWriter&) = delete;
    LineWriter& operator=(const LineWriter&) = delete;

    /** Adds one line with its line break. Low-priority lines may only use half of the buffer. */
    void write(const std::string& line, bool isLowPriority = false);
    /** Number of lines dropped since the start. */
    uint64_t dropped() const;
    /** Number of lines and bytes accepted since the start, without the dropped ones. */
    uint64_t lines() const;
    uint64_t bytes() const;

private:
    void run();
    /** Writes text, until the time `until` at most; returns the part that was not written. */
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
