/** @file Log.cpp Event log and hybrid logical clock. */
#include <sequoia/Log.h>

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace sequoia {

namespace {

    constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };

    /** Quotes a value that is empty or contains blanks, quotes, equals signs or line breaks. */
    std::string quoted(const std::string& value)
    {
        if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos)
            return value;
        std::string out = "\"";
        for (const char c : value) {
            if (c == '"' || c == '\\')
                out += '\\';
            if (c == '\n') {
                out += "\\n";
                continue;
            }
            out += c;
        }
        return out + '"';
    }

    std::string toLine(const TimeLineEvent& event)
    {
        auto line = fmt::format("time={} level={} process={} event={}", event.stamp,
            levelNames.at(static_cast<size_t>(event.level)), quoted(event.process), event.kind);
        for (const auto& field : event.fields)
            line += fmt::format(" {}={}", field.key, quoted(field.value));
        return line + '\n';
    }

    bool matches(const TimeLineEvent& event, std::string_view filter)
    {
        if (filter.empty())
            return true;
        return std::any_of(event.fields.begin(), event.fields.end(),
            [&](const TimeLineEvent::Field& field) { return field.value.find(filter) != std::string::npos; });
    }

} // namespace

LogLevel parseLogLevel(std::string_view text)
{
    const auto it = std::find(levelNames.begin(), levelNames.end(), text);
    if (it == levelNames.end())
        return LogLevel::Info;
    return static_cast<LogLevel>(it - levelNames.begin());
}

uint64_t HybridClock::next()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto n = static_cast<uint64_t>(toMicroseconds(wall).count());
    uint64_t last = m_last.load();
    uint64_t stamp = 0;
    do {
        stamp = std::max(n, last + 1);
    } while (!m_last.compare_exchange_weak(last, stamp));
    return stamp;
}

void HybridClock::merge(uint64_t stamp)
{
    uint64_t last = m_last.load();
    while (last < stamp && !m_last.compare_exchange_weak(last, stamp)) { }
}

Log::Log(std::string process, LogLevel level, size_t ringSize, LineSink sink, const LogLimiterLimits& limits)
    : m_process(std::move(process))
    , m_level(level)
    , m_ringSize(ringSize)
    , m_sink(std::move(sink))
    , m_limiter(limits)
{
}

std::string toString(const LogValue& value)
{
    return std::visit(
        [](const auto& v) -> std::string {
            using T = std::decay_t<decltype(v)>;
            if constexpr (std::is_same_v<T, std::string>)
                return v;
            else if constexpr (std::is_same_v<T, int64_t>)
                return fmt::to_string(v);
            else
                return toString(v);
        },
        value);
}

TimeLineEvent Log::toTimeLineEvent(const Recorded& event) const
{
    TimeLineEvent out { event.stamp, event.level, m_process, std::string(event.kind), {} };
    for (const auto& field : event.fields)
        out.fields.push_back({ std::string(field.key), toString(field.value) });
    return out;
}

void Log::writeRateLimited(const Recorded& event)
{
    constexpr Milliseconds reportPeriod { 5000 };
    std::vector<SuppressedLines> suppressed;
    bool isAdmitted = false;
    {
        const std::lock_guard lock(m_limiterMutex);
        const auto now = Clock::now();
        isAdmitted = m_limiter.admits(event.level, event.kind, now);
        if (now >= m_nextSuppressedReport) {
            m_nextSuppressedReport = now + reportPeriod;
            suppressed = m_limiter.takeSuppressed();
        }
    }
    for (const auto& lines : suppressed) {
        m_sink(toLine(toTimeLineEvent({ m_clock.next(), LogLevel::Warning, "lines-left-out",
                   { { "kind", std::string(lines.kind) }, { "lines", static_cast<int64_t>(lines.lines) } } })),
            LogLevel::Warning);
    }
    if (isAdmitted)
        m_sink(toLine(toTimeLineEvent(event)), event.level);
}

void Log::event(LogLevel level, std::string_view kind, std::vector<LogField> fields)
{
    Recorded event { m_clock.next(), level, kind, std::move(fields) };
    const bool isPrinted = level >= m_level.load();
    if (isPrinted && m_sink)
        writeRateLimited(event);
    else if (isPrinted)
        fmt::print(stderr, "{}", toLine(toTimeLineEvent(event)));
    if (m_ringSize == 0)
        return;
    const std::lock_guard lock(m_mutex);
    m_ring.push_back(std::move(event));
    if (m_ring.size() > m_ringSize)
        m_ring.pop_front();
}

std::vector<TimeLineEvent> Log::events(uint64_t since, std::string_view filter) const
{
    std::vector<Recorded> recent;
    {
        const std::lock_guard lock(m_mutex);
        std::copy_if(m_ring.begin(), m_ring.end(), std::back_inserter(recent),
            [&](const Recorded& event) { return event.stamp > since; });
    }
    std::vector<TimeLineEvent> found;
    for (const auto& event : recent) {
        auto text = toTimeLineEvent(event);
        if (matches(text, filter))
            found.push_back(std::move(text));
    }
    return found;
}

} // namespace sequoia
