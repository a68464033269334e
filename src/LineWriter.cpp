/** @file LineWriter.cpp Writer thread with a bounded buffer. */
#include <sequoia/LineWriter.h>

#include <algorithm>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace sequoia {

LineWriter::LineWriter(int descriptor, LineWriterLimits limits)
    : m_descriptor(descriptor)
    , m_limits(limits)
    , m_thread([this] { run(); })
{
}

LineWriter::~LineWriter()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_all();
    m_thread.join();
}

void LineWriter::write(const std::string& line, bool isLowPriority)
{
    const auto maxBytes = isLowPriority ? m_limits.maxBufferedBytes / 2 : m_limits.maxBufferedBytes;
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_buffer.size() + line.size() > maxBytes) {
            ++m_dropped;
            return;
        }
        wasEmpty = m_buffer.empty();
        m_buffer += line;
        ++m_lines;
        m_bytes += line.size();
    }
    if (wasEmpty)
        m_wakeUp.notify_one();
}

uint64_t LineWriter::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

uint64_t LineWriter::lines() const
{
    const std::lock_guard lock(m_mutex);
    return m_lines;
}

uint64_t LineWriter::bytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_bytes;
}

void LineWriter::run()
{
    std::string text;
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_wakeUp.wait(lock, [this] { return m_isStopping || !m_buffer.empty(); });
        if (!m_isStopping)
            m_wakeUp.wait_for(lock, m_limits.flushPeriod, [this] { return m_isStopping; });
        const bool isLast = m_isStopping;
        if (m_dropped > m_reportedDropped) {
            m_buffer += fmt::format("level=warning event=lines-dropped lines={}\n", m_dropped - m_reportedDropped);
            m_reportedDropped = m_dropped;
        }
        text += std::exchange(m_buffer, {});
        lock.unlock();
        text = flush(std::move(text), Clock::now() + (isLast ? m_limits.closeTimeout : m_limits.flushPeriod));
        lock.lock();
        if (isLast)
            return;
        // Puts the unwritten rest back in front; it counts towards the limit of the buffer.
        m_buffer.insert(0, std::exchange(text, {}));
    }
}

std::string LineWriter::flush(std::string text, TimePoint until) const
{
    constexpr size_t chunkBytes = 4096; // PIPE_BUF: a pipe that polls as writable accepts this much without blocking.
    size_t written = 0;
    while (written < text.size()) {
        const auto left = std::max(toMilliseconds(until - Clock::now()), Milliseconds(0));
        pollfd ready { m_descriptor, POLLOUT, 0 };
        if (::poll(&ready, 1, static_cast<int>(left.count())) <= 0)
            break;
        const auto n = ::write(m_descriptor, text.data() + written, std::min(chunkBytes, text.size() - written));
        if (n < 0) {
            text.clear(); // The reader has closed its end, so the text is discarded.
            return text;
        }
        written += static_cast<size_t>(n);
    }
    text.erase(0, written);
    return text;
}

} // namespace sequoia
