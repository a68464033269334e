/** @file ExplainTest.cpp Tests of parsing log lines, of the cause derived for a request, and of the HTML report. */
#include "Explain.h"
#include "LogLines.h"
#include "LogReport.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <random>

using namespace sequoia;

namespace {

/** Log of an entry that accepts job j1 at 1,000 ms and answers it after `ageMs`; `lines` are put in between. */
std::string answered(const std::string& status, int ageMs, const std::string& fields, const std::string& lines = "")
{
    return fmt::format("time=1000000 level=info process=entry-a event=job-accepted job=j1\n{}"
                       "time={} level=warning process=entry-a event=job-answered job=j1 status={} age_ms={} {}\n",
        lines, (1000 + ageMs) * 1000, status, ageMs, fields);
}

/** Log line of an entry about a run of task 0.0 of job j1. */
std::string run(int atMs, const std::string& kind, const std::string& agent, const std::string& fields = "")
{
    return fmt::format("time={} level=info process=entry-a event={} job=j1 task=0.0 run=1 agent={} ago_ms=0 {}\n",
        atMs * 1000, kind, agent, fields);
}

struct ExplainCase {
    const char* name;
    std::string lines;
    const char* code;
    const char* part; ///< Text that the cause must contain.
};

std::vector<ExplainCase> explainCases()
{
    const std::string closed = "time=900000 level=warning process=agent-7 event=gate-state state=Closed "
                               "reason=\"server-silent\"\n";
    const std::string expected = "expected_ms=100 slowness_percent=100";
    return {
        { "refused while servers were silent",
            closed
                + "time=1000000 level=info process=entry-a event=job-refused job=j1 predicted_wait_ms=4100 "
                  "arriving_per_ms=40 capacity_per_ms=8\n"
                + answered("not-run", 0, "reason=overloaded queued_ms=0 in_time=false"),
            "overloaded", "1 closed: agent-7 (server-silent)" },
        { "no server is large enough", answered("not-run", 0, "reason=no-server-fits in_time=false"), "no-server-fits",
            "no known server is large enough" },
        { "its request was read late", answered("not-run", 0, "reason=read-too-late in_time=false"), "read-too-late",
            "its caller may have given up" },
        { "its route is isolated", closed + answered("not-run", 0, "reason=route-isolated route=scans in_time=false"),
            "route-isolated", "tasks of its route scans crash servers" },
        { "it crashes servers",
            answered("failed", 300, "reason=crashes-servers in_time=false",
                run(1000, "run-ordered", "agent-1", expected) + run(1010, "run-lost", "agent-1", "reason=server-gone")
                    + run(1010, "run-ordered", "agent-2", expected)
                    + run(1030, "run-lost", "agent-2", "reason=server-gone")),
            "crashes-servers", "here on agent-1, agent-2" },
        { "late because a run was lost",
            answered("succeeded", 1200, "in_time=false",
                run(1000, "run-ordered", "agent-1", expected)
                    + run(1900, "run-lost", "agent-1", "reason=agent-out-of-reach")
                    + run(1900, "run-ordered", "agent-2", expected) + run(2000, "run-done", "agent-2")),
            "run-lost", "agent-1 cost 900 ms: lost (agent-out-of-reach)" },
        { "a start had no answer",
            answered("succeeded", 300, "in_time=false",
                run(1000, "run-ordered", "agent-1", expected) + run(1110, "run-refused", "agent-1", "reason=Unanswered")
                    + run(1200, "run-ordered", "agent-2", expected) + run(1300, "run-done", "agent-2")),
            "start-unanswered", "agent-1 cost 110 ms: start without an answer, stopped" },
        { "its caller had waited for another entry",
            answered("succeeded", 978, "in_time=false waited_before_ms=878",
                run(1878, "run-ordered", "agent-1", "expected_ms=52 slowness_percent=178")
                    + run(1978, "run-done", "agent-1")),
            "sent-again", "of which its caller had spent 878 ms with an earlier try" },
        { "its caller left an entry that had just started",
            "time=1000000 level=info process=entry-a event=job-queued job=j1 predicted_wait_ms=0 view_complete=false\n"
                + answered("not-run", 1349, "reason=caller-gone waited_before_ms=1262 in_time=false"),
            "caller-gone",
            "1262 ms with an earlier try that got no answer, then 87 ms of waiting for room at entry-a, which had "
            "just" },
        { "late on a slow server",
            answered("succeeded", 400, "in_time=false",
                run(1000, "run-ordered", "agent-1", "expected_ms=100 slowness_percent=400")
                    + run(1400, "run-done", "agent-1")),
            "slow-server", "takes 400% of the expected time" },
        { "the estimate was too short",
            answered("succeeded", 900, "in_time=false",
                run(1000, "run-ordered", "agent-1", expected) + run(1900, "run-done", "agent-1")),
            "longer-than-expected", "took 900 ms, where 100 ms were expected" },
        { "late because it waited for room",
            answered("succeeded", 900, "in_time=false",
                run(1800, "run-ordered", "agent-1", expected) + run(1900, "run-done", "agent-1")),
            "waited-for-room", "waited 800 ms for room; no server was closed" },
        { "a task that fails wherever it runs",
            answered("failed", 300, "in_time=false",
                run(1000, "run-ordered", "agent-1") + run(1100, "run-failed", "agent-1")
                    + run(1100, "run-ordered", "agent-2") + run(1200, "run-failed", "agent-2")),
            "task-fails", "1 on agent-1, 1 on agent-2" },
        { "a run that never ended",
            answered("given-up", 2000, "in_time=false", run(1000, "run-ordered", "agent-1", expected)), "no-end",
            "had not ended after 2000 ms" },
        { "its entry was lost",
            "time=1000000 level=warning process=agent-1 event=run-owner-lost job=j1 task=0.0 run=1 reason=\"owner "
            "silent\" ms=300\n",
            "entry-lost", "agent-1 stopped its run" },
        { "answered twice",
            answered("succeeded", 100, "in_time=true")
                + "time=3000000 level=info process=entry-b event=job-answered job=j1 status=not-run reason=stopping "
                  "age_ms=0 in_time=false\n",
            "stopping", "answered 2 times, last by entry-b" },
        { "refused before a job was created",
            "time=1000000 level=info process=entry-a event=request-refused target=/j1 status=413 "
            "reason=\"body too large\"\n",
            "request-refused", "status 413 by entry-a: body too large" },
        { "no line about it", "time=1 level=info process=entry-a event=started\n", "unseen", "no process logged it" },
    };
}

} // namespace

Test(Explain, namesTheCauseInOneSentence)
{
    for (const auto& row : explainCases()) {
        const auto explanation = explain(parseLogLines(row.lines), "j1");
        cr_expect_str_eq(explanation.code.c_str(), row.code, "%s: %s, %s", row.name, explanation.code.c_str(),
            explanation.cause.c_str());
        cr_expect(explanation.cause.find(row.part) != std::string::npos, "%s: %s", row.name, explanation.cause.c_str());
        cr_expect(explanationJson(explanation).find(row.code) != std::string::npos, "%s", row.name);
    }
}

Test(Explain, failedAndLateRequestsAreListedLongestFirst)
{
    const auto text = answered("succeeded", 50, "in_time=true")
        + "time=2000000 level=info process=entry-a event=job-answered job=j2 status=succeeded age_ms=700 "
          "in_time=false\n"
          "time=2500000 level=info process=entry-a event=job-answered job=j3 status=not-run reason=stopping age_ms=900 "
          "queued_ms=900\n";
    const auto troubled = explainTroubled(parseLogLines(text));
    cr_assert_eq(troubled.size(), 2U, "a request answered in time must not be listed");
    cr_expect_str_eq(troubled[0].job.c_str(), "j3");
    cr_expect_str_eq(troubled[0].code.c_str(), "stopping");
    cr_expect_str_eq(troubled[1].job.c_str(), "j2");
}

Test(LogLines, parsesQuotedValuesAndSkipsCollectorPrefixes)
{
    const auto event = parseLogLine(
        "host-3 | time=12 level=warning process=a event=odd reason=\"a \\\"quoted\\\" word\" empty= n=-5\r");
    cr_assert(event.has_value());
    cr_expect_eq(event->stamp, 12U);
    cr_expect_str_eq(event->kind.c_str(), "odd");
    cr_expect_str_eq(fieldOf(*event, "reason").c_str(), "a \"quoted\" word");
    cr_expect_str_eq(fieldOf(*event, "empty").c_str(), "");
    cr_expect_eq(numberOf(*event, "n"), -5);
    cr_expect_eq(numberOf(*event, "reason", 7), 7);
}

struct NoEventRow {
    char line[64];
};

ParameterizedTestParameters(LogLines, skipsLinesThatAreNotEvents)
{
    static NoEventRow rows[]
        = { { "" }, { "time=" }, { "time=x event=a" }, { "time=1 process=a" }, { "time=1 event=a reason=\"open" },
              { "some other text" }, { "time=1 event=a =b" }, { "time=99999999999999999999 event=a" } };
    return cr_make_param_array(NoEventRow, rows, sizeof(rows) / sizeof(NoEventRow));
}

ParameterizedTest(NoEventRow* row, LogLines, skipsLinesThatAreNotEvents)
{
    cr_expect_not(parseLogLine(row->line).has_value(), "%s", row->line);
    cr_expect_eq(
        parseLogLines(std::string(row->line) + "\ntime=1 event=a\n").size(), 1U, "the next line must be parsed");
}

Test(LogLines, corruptedTextDoesNotCrashTheTools)
{
    std::string whole;
    for (const auto& row : explainCases())
        whole += row.lines;
    std::mt19937 random(1);
    for (int i = 0; i < 2000; ++i) {
        auto text = whole;
        for (int k = 0; k < 8; ++k) {
            const auto at = random() % text.size();
            if (random() % 3 == 0)
                text.erase(at, random() % 40);
            else
                text[at] = static_cast<char>(random());
        }
        const auto events = parseLogLines(text);
        explain(events, "j1");
        if (i % 20 == 0)
            cr_expect(logReportHtml(events, {}, "damaged").find("</html>") != std::string::npos);
    }
}

Test(LogReport, showsOutcomesCausesAndAComparison)
{
    std::string text;
    for (const auto& row : explainCases())
        text += row.lines;
    const auto events = parseLogLines(text + "time=5000000 level=warning process=<b> event=gate-state state=Closed\n");
    const auto before = parseLogLines(answered("succeeded", 100, "in_time=true"));
    const auto page = logReportHtml(events, before, "a <run>");
    cr_expect(page.find("a &lt;run&gt;") != std::string::npos, "the title must be escaped");
    cr_expect(page.find("<b>") == std::string::npos, "names of processes must be escaped");
    cr_expect(
        page.find("http://") == page.find("http://www.w3.org/2000/svg"), "the page must not refer to other files");
    const auto summary = summaryOf(events);
    cr_expect_gt(summary.ages.size(), 5U);
    cr_expect_float_eq(summary.seconds, 4.999, 1.0);
}
