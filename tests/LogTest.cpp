/** @file LogTest.cpp Tests of the rate limit of log lines, traces of jobs, and the Prometheus text format. */
#include <sequoia/JobTrace.h>
#include <sequoia/LogLimiter.h>
#include <sequoia/Metrics.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace sequoia;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

} // namespace

struct RateRow {
    char name[40];
    int level; ///< LogLevel
    int perSecond; ///< Lines offered.
    int seconds;
    uint64_t minWritten; ///< Limits of the number of lines written.
    uint64_t maxWritten;
};

ParameterizedTestParameters(LogLimiter, boundsEachKind)
{
    constexpr int info = static_cast<int>(LogLevel::Info);
    constexpr int warning = static_cast<int>(LogLevel::Warning);
    constexpr int error = static_cast<int>(LogLevel::Error);
    static RateRow rows[] = {
        { "rate below the limit", info, 50, 60, 3000, 3000 },
        { "burst of the bucket's size", info, 400, 1, 400, 400 },
        { "info lines far above the limit", info, 10000, 10, 1000, 1500 },
        { "warnings far above the limit", warning, 10000, 10, 3000, 4300 },
        { "errors are never suppressed", error, 1000, 5, 5000, 5000 },
    };
    return cr_make_param_array(RateRow, rows, sizeof(rows) / sizeof(RateRow));
}

ParameterizedTest(RateRow* row, LogLimiter, boundsEachKind)
{
    LogLimiter limiter;
    uint64_t written = 0;
    const int lines = row->perSecond * row->seconds;
    for (int i = 0; i < lines; ++i) {
        const auto now = start + Microseconds(int64_t(i) * 1000000 / row->perSecond);
        written += limiter.admits(static_cast<LogLevel>(row->level), "kind", now) ? 1 : 0;
    }
    cr_expect_geq(written, row->minWritten, "%s: %lu", row->name, static_cast<unsigned long>(written));
    cr_expect_leq(written, row->maxWritten, "%s: %lu", row->name, static_cast<unsigned long>(written));
    uint64_t suppressed = 0;
    for (const auto& kind : limiter.takeSuppressed())
        suppressed += kind.lines;
    cr_expect_eq(
        suppressed + written, static_cast<uint64_t>(lines), "%s: every suppressed line must be counted", row->name);
    cr_expect(limiter.takeSuppressed().empty());
}

Test(LogLimiter, floodOfOneKindDoesNotSuppressOthers)
{
    LogLimiter limiter;
    for (int i = 0; i < 10000; ++i)
        limiter.admits(LogLevel::Info, "job-answered", start);
    cr_expect_not(limiter.admits(LogLevel::Info, "job-answered", start));
    cr_expect(limiter.admits(LogLevel::Info, "agent-state", start));
    cr_expect(limiter.admits(LogLevel::Warning, "job-answered", start), "warnings must have their own limit");
}

Test(Log, suppressesLinesAboveTheRateLimit)
{
    std::vector<std::string> lines;
    LogLimiterLimits limits;
    limits.info = { 1, 3 };
    Log log(
        "test", LogLevel::Info, 0, [&](const std::string& line, LogLevel) { lines.push_back(line); }, limits);
    for (int i = 0; i < 10; ++i)
        log.event(LogLevel::Info, "often", { { "n", int64_t(i) } });
    cr_expect_eq(lines.size(), 3U);
    log.event(LogLevel::Debug, "below", {});
    cr_expect_eq(lines.size(), 3U);
}

Test(JobTrace, logsEventsInOrderAndCountsDroppedOnes)
{
    JobTrace trace;
    const RunId run { { WorkId(7), StepIndex(0), TaskIndex(3) }, RunNumber(2) };
    trace.add({ "job-queued", start, {}, false, "", { { "predicted_wait_ms", int64_t(5) } } });
    for (int i = 0; i < 300; ++i)
        trace.add({ "run-ordered", start + Milliseconds(i), run, true, "agent-1", {} });
    EffectListOf<std::variant<SendMessage, RecordEvent>> effects;
    trace.record(effects, LogLevel::Warning, WorkId(7), start + Milliseconds(1000));
    const auto events = effects.take();
    // The trace keeps 256 of the 301 events and adds one that counts the other 45.
    cr_assert_eq(events.size(), 257U, "bounded");
    const auto& first = std::get<RecordEvent>(events.front());
    cr_expect_eq(first.kind, "job-queued");
    cr_expect_eq(
        toString(first.fields[1].value), "1000", "ago_ms must be the time from the event to the end of the job");
    const auto& second = std::get<RecordEvent>(events[1]);
    cr_expect_eq(toString(second.fields[2].value), "0000000000000007.0.3");
    const auto& last = std::get<RecordEvent>(events.back());
    cr_expect_eq(last.kind, "job-steps-left-out");
    cr_expect_eq(toString(last.fields[1].value), "45");
}

Test(Metrics, seriesHaveOneHeaderAndEscapedLabels)
{
    PrometheusText out("p_");
    out.counter("answers_total", "Answers.", 3, { { "reason", "a" } });
    out.counter("answers_total", "Answers.", 4, { { "reason", "b\"\\" } });
    out.gauge("open", "Open.", 1);
    cr_expect_eq(out.text(),
        "# HELP p_answers_total Answers.\n# TYPE p_answers_total counter\np_answers_total{reason=\"a\"} 3\n"
        "p_answers_total{reason=\"b\\\"\\\\\"} 4\n# HELP p_open Open.\n# TYPE p_open gauge\np_open 1\n");
}

Test(Metrics, histogramsAreCumulativeAndBoundedInNumber)
{
    LabelledHistograms histograms(3);
    for (int i = 0; i < 190; ++i)
        histograms.add({ { "team", std::to_string(i) } }, Milliseconds(30));
    histograms.add({ { "team", "0" } }, Milliseconds(20000));
    PrometheusText out("");
    out.histograms("response_seconds", "Response.", histograms);
    const auto& text = out.text();
    cr_expect(text.find("response_seconds_bucket{team=\"0\",le=\"0.025\"} 0\n") != std::string::npos);
    cr_expect(text.find("response_seconds_bucket{team=\"0\",le=\"0.05\"} 1\n") != std::string::npos);
    cr_expect(text.find("response_seconds_bucket{team=\"0\",le=\"+Inf\"} 2\n") != std::string::npos);
    cr_expect(text.find("response_seconds_count{team=\"other\"} 187\n") != std::string::npos, "%s", text.c_str());
    cr_expect_eq(
        std::count(text.begin(), text.end(), '\n'), 2 + 4 * 15, "there must be 3 series and one for all other labels");
}
