/** @file TimeLineView.cpp Rendering of the timeline. */
#include "TimeLineView.h"

#include "LogLines.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

namespace sequoia {

using Json = nlohmann::ordered_json;

namespace {

    constexpr double pageWidth = 1200;
    constexpr double laneHeight = 34;
    constexpr double leftMargin = 130;
    constexpr double topMargin = 40;
    constexpr double microsecondsPerMs = 1000;
    constexpr int ticks = 8;

    std::string_view colourOf(const TimeLineEvent& event)
    {
        if (event.level >= LogLevel::Warning)
            return "#c0392b";
        if (event.kind == "job-submitted" || event.kind == "job-answered")
            return "#1f5fa8";
        if (event.kind == "backend-call")
            return "#2e7d4f";
        return "#777777";
    }

    /** Layout: a lane for each process, and a horizontal time axis. */
    class Page {
    public:
        explicit Page(const std::vector<TimeLineEvent>& events)
            : m_first(events.empty() ? 0 : events.front().stamp)
            , m_last(events.empty() ? 1 : std::max(events.back().stamp, events.front().stamp + 1))
        {
            for (const auto& event : events)
                m_lanes.try_emplace(event.process, 0);
            size_t n = 0;
            for (auto& [process, lane] : m_lanes)
                lane = n++;
        }

        double x(uint64_t stamp) const
        {
            const auto share = static_cast<double>(stamp - m_first) / static_cast<double>(m_last - m_first);
            return leftMargin + share * (pageWidth - leftMargin - 20);
        }
        double y(const std::string& process) const
        {
            return topMargin + laneHeight * (static_cast<double>(m_lanes.at(process)) + 0.5);
        }
        double height() const { return topMargin + laneHeight * static_cast<double>(m_lanes.size()) + 30; }

        std::string laneGrid() const
        {
            std::string out;
            for (const auto& [process, lane] : m_lanes) {
                out += fmt::format(
                    "<text x='8' y='{:.0f}' class='lane'>{}</text>", y(process) + 4, htmlEscaped(process));
                out += fmt::format("<line x1='{0}' x2='{1}' y1='{2:.0f}' y2='{2:.0f}' stroke='#ddd'/>", leftMargin,
                    pageWidth - 20, y(process));
            }
            for (int i = 0; i <= ticks; ++i) {
                const auto stamp = m_first + (m_last - m_first) * static_cast<uint64_t>(i) / ticks;
                const auto ms = static_cast<double>(stamp - m_first) / microsecondsPerMs;
                out += fmt::format("<line x1='{0:.1f}' x2='{0:.1f}' y1='{1}' y2='{2:.0f}' stroke='#eee'/>", x(stamp),
                    topMargin - 8, height() - 20);
                out += fmt::format(
                    "<text x='{:.1f}' y='{}' class='tick'>{:.1f} ms</text>", x(stamp), topMargin - 14, ms);
            }
            return out;
        }

    private:
        uint64_t m_first;
        uint64_t m_last;
        std::map<std::string, size_t> m_lanes;
    };

    /** Draws a bar from each task's `task-start` to its `task-answer`, in the lane of the entry. */
    std::string taskBars(const std::vector<TimeLineEvent>& events, const Page& page)
    {
        std::string out;
        std::map<std::string, const TimeLineEvent*> startEvents;
        for (const auto& event : events) {
            const auto task = fieldOf(event, "task");
            if (event.kind == "task-start")
                startEvents[task] = &event;
            if (event.kind != "task-answer" || !startEvents.contains(task))
                continue;
            const auto& start = *startEvents[task];
            const bool isGood = fieldOf(event, "outcome") == "Succeeded";
            const auto offset = static_cast<double>(std::hash<std::string>()(task) % 5) * 3 - 8;
            out += fmt::format("<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='3' fill='{}' "
                               "opacity='.55'><title>{} on {}: {}</title></rect>",
                page.x(start.stamp), page.y(start.process) + offset,
                std::max(page.x(event.stamp) - page.x(start.stamp), 1.0), isGood ? "#2e7d4f" : "#c0392b",
                htmlEscaped(task), htmlEscaped(fieldOf(event, "agent")), htmlEscaped(fieldOf(event, "outcome")));
        }
        return out;
    }

} // namespace

void orderEvents(std::vector<TimeLineEvent>& events)
{
    std::stable_sort(events.begin(), events.end(), [](const auto& a, const auto& b) { return a.stamp < b.stamp; });
}

std::string timeLineText(const std::vector<TimeLineEvent>& events)
{
    std::string out;
    const uint64_t first = events.empty() ? 0 : events.front().stamp;
    for (const auto& event : events) {
        const auto ms = static_cast<double>(event.stamp - first) / microsecondsPerMs;
        out += fmt::format("{:>12.3f} ms  {:<12} {}\n", ms, event.process, describe(event));
    }
    return out;
}

std::string timeLineJson(const std::vector<TimeLineEvent>& events)
{
    auto out = Json::array();
    for (const auto& event : events) {
        auto fields = Json::object();
        for (const auto& field : event.fields)
            fields[field.key] = field.value;
        out.push_back({ { "stamp", event.stamp }, { "process", event.process }, { "event", event.kind },
            { "fields", std::move(fields) } });
    }
    return out.dump(1, ' ', false, Json::error_handler_t::replace);
}

std::string timeLineHtml(const std::vector<TimeLineEvent>& events, const std::string& title)
{
    const Page page(events);
    std::string svg
        = fmt::format("<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 {} {:.0f}'>", pageWidth, page.height());
    svg += page.laneGrid();
    svg += taskBars(events, page);
    for (const auto& event : events) {
        svg += fmt::format("<circle cx='{:.1f}' cy='{:.1f}' r='3.5' fill='{}'><title>{}</title></circle>",
            page.x(event.stamp), page.y(event.process), colourOf(event), htmlEscaped(describe(event)));
    }
    svg += "</svg>";
    std::string rows;
    for (const auto& event : events) {
        const auto ms = static_cast<double>(event.stamp - events.front().stamp) / microsecondsPerMs;
        rows += fmt::format("<tr><td>{:.3f}</td><td>{}</td><td>{}</td></tr>\n", ms, htmlEscaped(event.process),
            htmlEscaped(describe(event)));
    }
    return fmt::format(
        "<!doctype html><meta charset='utf-8'><title>{0}</title>"
        "<style>body{{font:14px "
        "sans-serif;margin:16px;color:#222}}.lane{{font-size:12px}}.tick{{font-size:10px;fill:#666;text-anchor:middle}}"
        "td{{padding:1px 12px 1px 0;font:12px monospace;vertical-align:top}}td:first-child{{text-align:right}}"
        "svg{{width:100%;border:1px solid #ddd}}</style>"
        "<h1>{0}</h1><p>Blue: jobs. Green: calls to backend servers, and bars from a start to its answer. Red: "
        "warnings and failures. Grey: other events. "
        "Hover for details.</p>{1}<table>{2}</table>",
        htmlEscaped(title), svg, rows);
}

} // namespace sequoia
