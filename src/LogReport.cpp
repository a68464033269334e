/** @file LogReport.cpp Charts, gate states and explained requests as HTML and SVG. */
#include "LogReport.h"

#include "Explain.h"
#include "LogLines.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <functional>
#include <set>

namespace sequoia {

namespace {

    constexpr double pageWidth = 1200;
    constexpr double leftMargin = 150;
    constexpr double chartHeight = 160;
    constexpr double bandHeight = 18;
    constexpr uint64_t usInSecond = 1000000;
    constexpr double usPerSecond = usInSecond;
    constexpr size_t maxExplanations = 40; // Keeps the page small and readable.

    /** Outcome of a job and its colour. `outcomes` lists them in the order in which the chart stacks them. */
    struct Outcome {
        std::string_view name;
        std::string_view colour;
    };
    constexpr std::array<Outcome, 5> outcomes { { { "in time", "#2e7d4f" }, { "late", "#d9a520" },
        { "not run", "#8a8a8a" }, { "given up", "#c0392b" }, { "failed", "#6c3483" } } };

    size_t outcomeOf(const TimeLineEvent& answer)
    {
        const auto status = fieldOf(answer, "status");
        if (status == "succeeded")
            return fieldOf(answer, "in_time") == "false" ? 1 : 0;
        return status == "not-run" ? 2 : status == "given-up" ? 3 : 4;
    }

    /** Time axis: maps stamps to horizontal positions. */
    struct Axis {
        uint64_t first = 0;
        uint64_t last = 1;

        explicit Axis(const std::vector<TimeLineEvent>& events)
        {
            if (events.empty())
                return;
            first = events.front().stamp;
            last = std::max(events.back().stamp, first + 1);
        }
        /** Whole seconds since the first event. */
        size_t second(uint64_t stamp) const { return (std::clamp(stamp, first, last) - first) / usInSecond; }
        double seconds() const { return static_cast<double>(last - first) / usPerSecond; }
        double x(uint64_t stamp) const
        {
            const auto at = std::clamp(stamp, first, last) - first;
            return leftMargin
                + static_cast<double>(at) / static_cast<double>(last - first) * (pageWidth - leftMargin - 10);
        }
    };

    std::string ticks(const Axis& axis, double height)
    {
        constexpr int n = 10;
        std::string out;
        for (int i = 0; i <= n; ++i) {
            const auto stamp = axis.first + (axis.last - axis.first) * static_cast<uint64_t>(i) / n;
            out += fmt::format("<line x1='{0:.1f}' y1='0' x2='{0:.1f}' y2='{1:.0f}' stroke='#eee'/><text x='{0:.1f}' "
                               "y='{2:.0f}' class='tick'>{3:.1f} s</text>",
                axis.x(stamp), height, height + 12, static_cast<double>(stamp - axis.first) / usPerSecond);
        }
        return out;
    }

    std::string svg(double height, const std::string& body)
    {
        return fmt::format(
            "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 {} {:.0f}'>{}</svg>", pageWidth, height + 18, body);
    }

    /** Bar chart of the answers in each second, stacked by outcome. */
    std::string answersChart(const std::vector<TimeLineEvent>& events, const Axis& axis)
    {
        const auto buckets = static_cast<size_t>(axis.seconds()) + 1;
        std::vector<std::array<int, outcomes.size()>> counts(buckets);
        for (const auto& event : events) {
            if (event.kind == "job-answered")
                ++counts[axis.second(event.stamp)][outcomeOf(event)];
        }
        int maximum = 1;
        for (const auto& bucket : counts) {
            int sum = 0;
            for (const int n : bucket)
                sum += n;
            maximum = std::max(maximum, sum);
        }
        std::string body = ticks(axis, chartHeight);
        for (size_t i = 0; i < buckets; ++i) {
            double y = chartHeight;
            const auto x = axis.x(axis.first + static_cast<uint64_t>(static_cast<double>(i) * usPerSecond));
            const auto next = axis.x(axis.first + static_cast<uint64_t>(static_cast<double>(i + 1) * usPerSecond));
            for (size_t k = 0; k < outcomes.size(); ++k) {
                const double height = chartHeight * counts[i][k] / maximum;
                y -= height;
                if (counts[i][k] > 0)
                    body += fmt::format("<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{:.1f}' fill='{}'>"
                                        "<title>{} {} at {} s</title></rect>",
                        x, y, std::max(next - x - 1, 1.0), height, outcomes[k].colour, counts[i][k], outcomes[k].name,
                        i);
            }
        }
        body += fmt::format("<text x='4' y='14' class='name'>maximum: {} a second</text>", maximum);
        return svg(chartHeight, body);
    }

    /** Line chart of a number that processes log periodically, with a line for each process. */
    std::string numberChart(const std::vector<TimeLineEvent>& events, const Axis& axis, std::string_view kind,
        const std::function<double(const TimeLineEvent&)>& value, const std::string& name)
    {
        std::map<std::string, std::string> lines;
        double maximum = 1;
        for (const auto& event : events) {
            if (event.kind == kind)
                maximum = std::max(maximum, value(event));
        }
        for (const auto& event : events) {
            if (event.kind == kind)
                lines[event.process] += fmt::format(
                    "{:.1f},{:.1f} ", axis.x(event.stamp), chartHeight - chartHeight * value(event) / maximum);
        }
        std::string body = ticks(axis, chartHeight);
        for (const auto& [process, points] : lines)
            body += fmt::format(
                "<polyline points='{}' fill='none' stroke='#1f5fa8' opacity='.6'><title>{}</title></polyline>", points,
                htmlEscaped(process));
        body += fmt::format("<text x='4' y='14' class='name'>{} {:.0f}</text>", name, maximum);
        return svg(chartHeight, body);
    }

    std::string bandColour(const std::string& state, const std::string& reason)
    {
        if (state == "Open")
            return "#bfe3c9";
        if (state == "Trial")
            return "#f4dc8c";
        return reason.starts_with("quarantined") ? "#e59a8f" : "#cfcfcf";
    }

    /** Bands of the state of each agent's gate over time: open, on trial, or closed and why. */
    std::string gateStateBands(const std::vector<TimeLineEvent>& events, const Axis& axis)
    {
        struct Band {
            uint64_t start = 0;
            std::string state;
            std::string reason;
        };
        std::map<std::string, std::vector<Band>> bands;
        for (const auto& event : events) {
            if (event.kind == "gate-state")
                bands[event.process].push_back({ event.stamp, fieldOf(event, "state"), fieldOf(event, "reason") });
            else if (event.kind == "started" && event.process.starts_with("side"))
                bands[event.process].push_back({ event.stamp, "Closed", "starting" });
        }
        std::string body;
        double y = 0;
        for (const auto& [process, list] : bands) {
            body += fmt::format(
                "<text x='4' y='{:.0f}' class='name'>{}</text>", y + bandHeight - 5, htmlEscaped(process));
            for (size_t i = 0; i < list.size(); ++i) {
                const auto end = i + 1 < list.size() ? list[i + 1].start : axis.last;
                body += fmt::format(
                    "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{:.1f}' fill='{}'><title>{} {} {}"
                    "</title></rect>",
                    axis.x(list[i].start), y + 2, std::max(axis.x(end) - axis.x(list[i].start), 0.5), bandHeight - 4,
                    bandColour(list[i].state, list[i].reason), htmlEscaped(process), list[i].state,
                    htmlEscaped(list[i].reason));
            }
            y += bandHeight;
        }
        const std::set<std::string_view> markedKinds { "configuration", "store-lost", "store-regained", "stopping",
            "started", "suspended", "owner-lost" };
        for (const auto& event : events) {
            if (markedKinds.contains(event.kind))
                body
                    += fmt::format("<line x1='{0:.1f}' y1='0' x2='{0:.1f}' y2='{1:.0f}' stroke='#1f5fa8' opacity='.35'>"
                                   "<title>{2}: {3}</title></line>",
                        axis.x(event.stamp), y, htmlEscaped(event.process), htmlEscaped(describe(event)));
        }
        return svg(y, ticks(axis, y) + body);
    }

    std::string summaryTable(const RunSummary& now, const RunSummary& before, bool hasBefore)
    {
        std::set<std::string> names;
        for (const auto* summary : { &now, &before }) {
            for (const auto& [name, n] : summary->answers)
                names.insert(name);
        }
        const auto count = [](const RunSummary& summary, const std::string& name) {
            const auto it = summary.answers.find(name);
            return it == summary.answers.end() ? uint64_t(0) : it->second;
        };
        const auto quantile = [](const RunSummary& summary, double q) {
            if (summary.ages.empty())
                return int64_t(0);
            const auto at = static_cast<size_t>(q * static_cast<double>(summary.ages.size() - 1));
            return summary.ages[at];
        };
        std::string rows;
        const auto row = [&](const std::string& name, const std::string& value, const std::string& other) {
            rows += fmt::format("<tr><td>{}</td><td class='n'>{}</td>{}</tr>", htmlEscaped(name), value,
                hasBefore ? "<td class='n'>" + other + "</td>" : "");
        };
        for (const auto& name : names)
            row(name, fmt::to_string(count(now, name)), fmt::to_string(count(before, name)));
        for (const double q : { 0.5, 0.99 })
            row(fmt::format("time to the answer, percentile {}, ms", q * 100), fmt::to_string(quantile(now, q)),
                fmt::to_string(quantile(before, q)));
        row("seconds", fmt::format("{:.1f}", now.seconds), fmt::format("{:.1f}", before.seconds));
        row("log lines suppressed or dropped", fmt::to_string(now.missingLines), fmt::to_string(before.missingLines));
        return fmt::format(
            "<table><tr><th></th><th>this run</th>{}</tr>{}</table>", hasBefore ? "<th>before</th>" : "", rows);
    }

    /** Counts the late, refused and failed requests by cause, and explains those that took longest to be answered. */
    std::string explanationsHtml(const std::vector<TimeLineEvent>& events)
    {
        const auto explanations = explainTroubled(events);
        std::map<std::string, size_t> causes;
        std::string list;
        for (size_t i = 0; i < explanations.size(); ++i) {
            const auto& explanation = explanations[i];
            ++causes[explanation.code];
            if (i < maxExplanations)
                list += fmt::format("<details><summary><code>{}</code> {}</summary><pre>{}</pre></details>",
                    explanation.job, htmlEscaped(explanation.cause), htmlEscaped(explanationText(explanation)));
        }
        std::string counts;
        for (const auto& [code, n] : causes)
            counts += fmt::format("<tr><td>{}</td><td class='n'>{}</td></tr>", htmlEscaped(code), n);
        return fmt::format(
            "<h2>Late, refused and failed requests, by cause</h2><table>{}</table><h2>The {} that waited "
            "longest</h2>{}",
            counts, std::min(explanations.size(), maxExplanations), list);
    }

    double cpuUsePercent(const TimeLineEvent& event)
    {
        const auto part = [&](const char* key) {
            const auto text = fieldOf(event, key);
            // The field starts with the number of processors; strtod ignores the rest.
            return std::strtod(text.c_str(), nullptr);
        };
        const double total = part("total");
        constexpr double percent = 100;
        return total > 0 ? part("used") / total * percent : 0;
    }

} // namespace

RunSummary summaryOf(const std::vector<TimeLineEvent>& events)
{
    RunSummary out;
    if (!events.empty())
        out.seconds = static_cast<double>(events.back().stamp - events.front().stamp) / usPerSecond;
    for (const auto& event : events) {
        if (event.kind == "lines-left-out" || event.kind == "lines-dropped")
            out.missingLines += static_cast<uint64_t>(numberOf(event, "lines"));
        if (event.kind != "job-answered")
            continue;
        const auto outcome = outcomeOf(event);
        auto name = std::string(outcomes.at(outcome).name);
        if (outcome > 1)
            name += ": " + fieldOf(event, "reason");
        ++out.answers[name];
        out.ages.push_back(numberOf(event, "age_ms"));
    }
    std::sort(out.ages.begin(), out.ages.end());
    return out;
}

std::string logReportHtml(
    const std::vector<TimeLineEvent>& events, const std::vector<TimeLineEvent>& before, const std::string& title)
{
    const Axis axis(events);
    std::string legend;
    for (const auto& outcome : outcomes)
        legend += fmt::format("<span class='key' style='background:{}'></span>{} ", outcome.colour, outcome.name);
    const auto queued = [](const TimeLineEvent& event) { return static_cast<double>(numberOf(event, "queued_tasks")); };
    std::string out = fmt::format("<!doctype html><html><meta charset='utf-8'><title>{0}</title><style>"
                                  "body{{font:14px sans-serif;margin:16px;color:#222;max-width:1240px}}"
                                  "svg{{width:100%;border:1px solid #ddd;margin-bottom:8px}}.tick{{font-size:10px;"
                                  "fill:#666;text-anchor:middle}}.name{{font-size:11px;fill:#333}}td{{padding:1px 14px "
                                  "1px 0}}.n{{text-align:right}}.key{{display:inline-block;width:12px;height:12px;"
                                  "margin:0 4px 0 12px}}pre{{font-size:11px;overflow-x:auto}}summary{{margin:2px 0}}"
                                  "</style><h1>{0}</h1>",
        htmlEscaped(title));
    out += summaryTable(summaryOf(events), summaryOf(before), !before.empty());
    out += "<h2>Answers</h2><p>" + legend + "</p>" + answersChart(events, axis);
    out += "<h2>Waiting tasks, by entry</h2>" + numberChart(events, axis, "entry-summary", queued, "maximum:");
    out += "<h2>Processors in use, by server</h2>"
        + numberChart(events, axis, "gate-summary", cpuUsePercent, "maximum, %:");
    out += "<h2>State of each agent's backend server</h2><p>Green: accepts work. Yellow: on trial. Red: quarantined. "
           "Grey: closed for another reason. Lines: starts, stops, configurations, loss of the store. Hover for "
           "details.</p>"
        + gateStateBands(events, axis);
    return out + explanationsHtml(events) + "</html>";
}

} // namespace sequoia
