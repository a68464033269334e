/** @file PolicyTest.cpp Team queue, placement, quarantine, early refusal, parsing of jobs, settings and configuration
 * documents, Base64 and the hybrid clock. */
#include "../src/JobJson.h"

#include <sequoia/AgentCore.h>
#include <sequoia/Configuration.h>
#include <sequoia/Settings.h>

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fstream>
#include <map>
#include <unistd.h>

using namespace sequoia;
namespace leaf = boost::leaf;

namespace {

const TimePoint start { std::chrono::hours(1) };

JobKey jobKey(uint32_t n) { return { Incarnation(1), SessionNumber(1), JobSequence(n) }; }

EntryCore makeCore(EntryLimits limits = {})
{
    EntryHooks hooks;
    hooks.place = fastestGrant();
    hooks.revision = [] { return Revision(1); };
    hooks.checkVisit = [](const JobSpec& job, const TaskSpec&) {
        return job.team == "moved" ? std::optional(VisitRefusal { "moved to 2026-12-09" }) : std::nullopt;
    };
    return { Incarnation(1), limits, hooks };
}

JobSpec makeJob(uint32_t n, int tasks, Milliseconds declared, Milliseconds deadline)
{
    JobSpec spec;
    spec.key = jobKey(n);
    spec.team = "t";
    spec.deadline = deadline;
    spec.digest = n;
    spec.tasks.resize(static_cast<size_t>(tasks));
    for (auto& task : spec.tasks)
        task.declaredRunTime = declared;
    return spec;
}

/** Takes the effects of a core and returns the answer among them; null if there is none. */
JobAnswerPtr answerIn(EntryCore& core)
{
    for (auto& effect : core.takeEffects()) {
        if (auto* answer = std::get_if<DeliverAnswer>(&effect))
            return answer->answer;
    }
    return nullptr;
}

void linkAgent(EntryCore& core, uint32_t n, uint16_t grants)
{
    wire::HelloT hello;
    hello.agent = "a" + std::to_string(n);
    hello.incarnation = n;
    core.agentLinked(LinkId(n), hello, start);
    wire::OfferT offer;
    offer.grants = grants;
    wire::BodyUnion body;
    body.Set(offer);
    core.receive(LinkId(n), body, start);
}

/** Delivers the answer to a task of job 1 from the agent on link `n`, with a new grant. */
void answerTask(EntryCore& core, uint32_t n, uint16_t task, Microseconds run)
{
    wire::AnswerT answer;
    answer.task = std::make_unique<wire::TaskKey>(toWire({ jobKey(1), TaskIndex(task) }, Attempt(1)));
    answer.outcome = wire::Outcome::Succeeded;
    answer.run_us = static_cast<uint32_t>(run.count());
    answer.grants = 1;
    wire::BodyUnion body;
    body.Set(std::move(answer));
    core.receive(LinkId(n), body, start);
}

} // namespace

Test(TeamQueue, sharesByWeightAndEnforcesQuota)
{
    TeamQueue queue;
    queue.setPolicy("heavy", { 3.0, 0 });
    queue.setPolicy("light", { 1.0, 0 });
    queue.setPolicy("bound", { 100.0, 2 });
    std::map<JobKey, std::string> teams;
    uint32_t n = 0;
    for (const std::string team : { "heavy", "light", "bound" }) {
        for (int i = 0; i < 400; ++i) {
            teams[jobKey(++n)] = team;
            queue.push(team, jobKey(n), start + Microseconds(n));
        }
    }
    std::map<std::string, int> started;
    for (int i = 0; i < 402; ++i) {
        const auto job = queue.front();
        cr_assert(job.has_value());
        const auto& team = teams[*job];
        ++started[team];
        queue.erase(team, *job, start + Microseconds(raw(job->sequence)));
        queue.started(team);
    }
    cr_expect_eq(started["bound"], 2);
    cr_expect(started["heavy"] >= 295 && started["heavy"] <= 305, "team heavy started %d tasks", started["heavy"]);
    queue.ended("bound");
    cr_expect_eq(teams[*queue.front()], "bound");
}

Test(TeamQueue, smallJobsGoFirstWithoutStarvingLargeOnes)
{
    TeamQueue queue;
    queue.push("t", jobKey(1), start + Milliseconds(70000)); // 70 s of work, submitted at 0 s
    queue.push("t", jobKey(2), start + Milliseconds(1100)); // 100 ms of work, submitted at 1 s
    queue.push("t", jobKey(3), start + Milliseconds(71000)); // 100 ms of work, submitted at 70.9 s
    cr_expect(queue.front() == jobKey(2));
    queue.erase("t", jobKey(2), start + Milliseconds(1100));
    cr_expect(queue.front() == jobKey(1));
}

Test(Placement, waitsForAFastAgentOnlyIfThatIsSooner)
{
    AgentTable agents;
    const auto fast = agents.intern("fast");
    const auto slow = agents.intern("slow");
    agents.bindLink(fast, LinkId(1));
    agents.bindLink(slow, LinkId(2));
    agents.setSlowness(slow, 4.0);
    agents.setGrants(slow, 1);
    agents.setMeanRun(fast, 0.1);
    for (uint16_t i = 0; i < 8; ++i)
        agents.addOutstanding(fast, { jobKey(1), TaskIndex(i) });
    const auto place = earliestFinish(responseFirst);
    const PlacementTask longTask { { jobKey(2), TaskIndex(0) }, Milliseconds(1000), true, 1 };
    const PlacementTask shortTask { { jobKey(2), TaskIndex(0) }, Milliseconds(2), true, 1 };
    cr_expect_not(place(agents, longTask).has_value(),
        "must wait: 4 s on the slow agent, but a fast slot is expected within 13 ms");
    cr_expect(place(agents, shortTask) == slow);
    PlacementTask longQueueTask = longTask;
    longQueueTask.queuedTasks = 1000;
    cr_expect(place(agents, longQueueTask) == slow);
    agents.setGrants(fast, 1);
    cr_expect(place(agents, longTask) == fast);
}

Test(Placement, trialsTakeRepeatableTasksOnly)
{
    AgentTable agents;
    const auto agent = agents.intern("a");
    agents.bindLink(agent, LinkId(1));
    agents.setGrants(agent, 1);
    agents.at(agent).holdsTrial = true;
    PlacementTask task { { jobKey(1), TaskIndex(0) }, Milliseconds(10), false, 1 };
    cr_expect_not(fastestGrant()(agents, task).has_value());
    task.isRepeatable = true;
    cr_expect(fastestGrant()(agents, task).has_value());
}

Test(HealthGate, singleTrialsWithExponentialBackoff)
{
    AgentLimits limits;
    HealthGate gate(limits);
    cr_expect_not(gate.recordFailure(jobKey(1), "x", start));
    cr_expect_not(
        gate.recordFailure(jobKey(1), "x", start), "repeated failures of one job must not start a quarantine");
    cr_expect_not(gate.recordFailure(jobKey(2), "x", start));
    cr_expect(gate.recordFailure(jobKey(3), "x", start));
    auto now = start;
    Milliseconds pause = limits.quarantinePause;
    for (int i = 0; i < 10; ++i) {
        cr_expect_not(gate.beginTrial(now + pause - Milliseconds(1)));
        now += pause;
        cr_expect(gate.beginTrial(now));
        cr_expect_not(gate.beginTrial(now), "a second trial must not begin while one is running");
        cr_expect(gate.recordFailure(jobKey(static_cast<uint32_t>(10 + i)), "y", now));
        cr_expect_eq(gate.reason(), "y");
        pause = std::min(pause * 2, limits.quarantinePauseMax);
    }
    now += pause;
    cr_expect(gate.beginTrial(now));
    cr_expect(gate.recordSuccess());
    cr_expect(gate.health() == Health::Good);
}

Test(EntryCore, slowAgentIsTriedAgain)
{
    auto core = makeCore();
    core.openSession(start);
    linkAgent(core, 1, 1);
    linkAgent(core, 2, 1);
    // One task on each agent; the one on the second agent runs ten times as long.
    core.submit(makeJob(1, 2, Milliseconds(100), Milliseconds(5000)), WaiterId(1), start, CommandMode::Execute);
    answerTask(core, 1, 1, Microseconds(100000));
    answerTask(core, 2, 0, Microseconds(1000000));
    cr_assert_gt(core.agents().at(AgentIndex(1)).slowness, core.agents().at(AgentIndex(0)).slowness);
    core.tick(start + Milliseconds(1000));
    cr_expect_gt(core.agents().at(AgentIndex(1)).slowness, core.agents().at(AgentIndex(0)).slowness,
        "the estimate must not expire early");
    core.tick(start + Milliseconds(2100));
    cr_expect_leq(core.agents().at(AgentIndex(1)).slowness, core.agents().at(AgentIndex(0)).slowness);
}

struct RefusalRow {
    char team[8];
    int tasks;
    int declaredMs;
    int deadlineMs;
    int queuedFirst; ///< Jobs queued before, each with 10 tasks of 1 s.
    int reason; ///< FailureReason
};

ParameterizedTestParameters(EntryCore, refusesEarly)
{
    static RefusalRow rows[] = {
        { "t", 1, 5000, 1000, 0, static_cast<int>(FailureReason::Impossible) },
        { "moved", 1, 10, 1000, 0, static_cast<int>(FailureReason::Moved) },
        { "t", 1, 10, 1000, 20, static_cast<int>(FailureReason::Overloaded) },
        { "t", 500, 10, 60000, 0, static_cast<int>(FailureReason::Overloaded) },
    };
    return cr_make_param_array(RefusalRow, rows, sizeof(rows) / sizeof(RefusalRow));
}

ParameterizedTest(RefusalRow* row, EntryCore, refusesEarly)
{
    EntryLimits limits;
    limits.maxQueuedTasks = 400;
    auto core = makeCore(limits);
    core.openSession(start);
    linkAgent(core, 1, 2);
    core.tick(start);
    uint32_t n = 0;
    for (int i = 0; i < row->queuedFirst; ++i) {
        ++n;
        core.submit(makeJob(n, 10, Milliseconds(1000), Milliseconds(600000)), WaiterId(n), start, CommandMode::Execute);
    }
    core.takeEffects();
    auto job = makeJob(++n, row->tasks, Milliseconds(row->declaredMs), Milliseconds(row->deadlineMs));
    job.team = row->team;
    cr_assert_not(core.submit(job, WaiterId(n), start, CommandMode::Execute).has_value());
    const auto answer = answerIn(core);
    cr_assert(answer != nullptr);
    cr_expect_eq(static_cast<int>(answer->reason), row->reason, "%s", answer->detail.c_str());
    cr_expect(answer->isNotRun);
}

Test(EntryCore, joinsResubmissionsAndNeverRestartsExpiredJobs)
{
    EntryLimits limits;
    limits.retention = Milliseconds(1000);
    auto core = makeCore(limits);
    core.openSession(start);
    linkAgent(core, 1, 1);
    const auto job = makeJob(1, 1, Milliseconds(10), Milliseconds(500));
    cr_assert_not(core.submit(job, WaiterId(1), start, CommandMode::Execute).has_value());
    cr_assert_not(core.submit(job, WaiterId(2), start, CommandMode::Execute).has_value());
    cr_expect_eq(core.counters().starts, 1U);
    auto other = job;
    other.digest = 99;
    cr_expect(core.submit(other, WaiterId(3), start, CommandMode::Execute) == EntryError::ContentDiffers);
    core.tick(start + Milliseconds(600));
    core.tick(start + Milliseconds(8000));
    wire::AnswerT lateAnswer;
    lateAnswer.task = std::make_unique<wire::TaskKey>(toWire({ job.key, TaskIndex(0) }, Attempt(1)));
    lateAnswer.outcome = wire::Outcome::Succeeded;
    wire::BodyUnion body;
    body.Set(std::move(lateAnswer));
    core.receive(LinkId(1), body, start + Milliseconds(8000));
    core.tick(start + Milliseconds(20000));
    core.tick(start + Milliseconds(40000));
    cr_expect_eq(core.records(), 0U);
    cr_expect(core.submit(job, WaiterId(4), start + Milliseconds(40000), CommandMode::Execute) == EntryError::Expired);
    cr_expect_eq(core.counters().starts, 1U);
}

Test(EntryCore, checkModeChangesNothing)
{
    auto core = makeCore();
    core.openSession(start);
    cr_expect_not(
        core.submit(makeJob(1, 1, {}, Milliseconds(100)), WaiterId(1), start, CommandMode::Check).has_value());
    cr_expect_eq(core.records(), 0U);
    cr_expect(core.takeEffects().empty());
}

struct JobRow {
    char body[200];
    char place[40];
};

ParameterizedTestParameters(JobJson, refuses)
{
    static JobRow rows[] = {
        { "", "" },
        { "[]", "" },
        { "{\"team\":\"t\",\"deadlineMs\":1,\"tasks\":[{}]", "" },
        { "{\"deadlineMs\":1,\"tasks\":[{}]}", "team" },
        { "{\"team\":\"t\",\"tasks\":[{}]}", "deadlineMs" },
        { "{\"team\":\"t\",\"deadlineMs\":1,\"tasks\":[]}", "tasks" },
        { "{\"team\":\"t\",\"deadlineMs\":1,\"tasks\":[{}],\"extra\":1}", "extra" },
        { "{\"team\":7,\"deadlineMs\":1,\"tasks\":[{}]}", "team" },
        { "{\"team\":\"t\",\"deadlineMs\":1e99,\"tasks\":[{}]}", "deadlineMs" },
        { "{\"team\":\"t\",\"deadlineMs\":99999999999999999999,\"tasks\":[{}]}", "deadlineMs" },
        { "{\"team\":\"t\",\"deadlineMs\":-1,\"tasks\":[{}]}", "deadlineMs" },
        { "{\"team\":\"t\",\"deadlineMs\":1,\"tasks\":[{},{\"declaredMs\":\"x\"}]}", "tasks[1].declaredMs" },
        { "{\"team\":\"t\",\"deadlineMs\":1,\"tasks\":[{\"repeatable\":1}]}", "tasks[0].repeatable" },
        { "{\"team\":\"t\",\"deadlineMs\":1,\"tasks\":[{},{},{},{}]}", "tasks" },
        { "{\"team\":\"t\",\"deadlineMs\":1,\"day\":\"2026-13-01\",\"tasks\":[{}]}", "day" },
        { "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]", "" },
    };
    return cr_make_param_array(JobRow, rows, sizeof(rows) / sizeof(JobRow));
}

ParameterizedTest(JobRow* row, JobJson, refuses)
{
    const JobLimits limits { 3, Milliseconds(60000) };
    const auto place = leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(parseJob(row->body, limits));
            return std::string("accepted");
        },
        [](const JobJsonError& error) { return error.place; }, [] { return std::string("other"); });
    cr_expect_str_eq(place.c_str(), row->place, "%s: %s", row->body, place.c_str());
}

struct SettingsRow {
    char text[100];
    unsigned line;
    char message[60];
};

ParameterizedTestParameters(Settings, nameTheLine)
{
    static SettingsRow rows[] = {
        { "name = \"a\"\nhttp_thread = 4\n", 2, "did you mean http_threads?" },
        { "http_threads = 0\n", 1, "0 is not within 4 and 4096" },
        { "\n\nhttp_threads = \"x\"\n", 3, "where a number is expected" },
        { "peers = [1]\n", 1, "a list element that is not a text" },
        { "policy = \"best\"\n", 1, "is none of" },
        { "name = \n", 1, "" },
    };
    return cr_make_param_array(SettingsRow, rows, sizeof(rows) / sizeof(SettingsRow));
}

ParameterizedTest(SettingsRow* row, Settings, nameTheLine)
{
    char path[] = "/tmp/sequoia-settings-XXXXXX";
    close(mkstemp(path));
    std::ofstream(path) << row->text;
    const auto problems = leaf::try_handle_all(
        [&]() -> leaf::result<std::vector<SettingsProblem>> {
            BOOST_LEAF_CHECK(loadSettings(entrySettingRows(), path, {}));
            return std::vector<SettingsProblem>();
        },
        [](const SettingsError& error) { return error.problems; }, [] { return std::vector<SettingsProblem>(); });
    unlink(path);
    cr_assert_eq(problems.size(), 1U, "%s", row->text);
    cr_expect_eq(problems[0].line, row->line);
    cr_expect(problems[0].message.find(row->message) != std::string::npos, "%s", problems[0].message.c_str());
}

struct BoundRow {
    char setting[32];
    char key[24]; ///< The setting that is refused; empty if none is.
};

ParameterizedTestParameters(Settings, boundsThatLeaveNoTimeForLeasesAreRefused)
{
    static BoundRow rows[] = {
        { "run_lapse_ms=1250", "" },
        { "run_lapse_ms=1100", "run_lapse_ms" },
        { "caller_resend_ms=1300", "" },
        { "caller_resend_ms=0", "" },
        { "caller_resend_ms=1100", "" },
    };
    return cr_make_param_array(BoundRow, rows, sizeof(rows) / sizeof(BoundRow));
}

ParameterizedTest(BoundRow* row, Settings, boundsThatLeaveNoTimeForLeasesAreRefused)
{
    const auto key = leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(loadSettings(roomEntrySettingRows(), "", { row->setting }));
            return std::string();
        },
        [](const SettingsError& error) { return error.problems.at(0).key; }, [] { return std::string("other"); });
    cr_expect_str_eq(key.c_str(), row->key, "%s", row->setting);
}

struct DocumentRow {
    char name[12];
    char text[100];
    char fault[60];
};

ParameterizedTestParameters(Configuration, refusesDocuments)
{
    static DocumentRow rows[] = {
        { "teams", "[{\"name\":\"a\",\"wieght\":2}]", "did you mean weight?" },
        { "teams", "[{\"name\":\"a\"},{\"name\":\"a\"}]", "stands twice" },
        { "teams", "[{\"name\":\"a\",\"quota\":-1}]", "teams[0].quota" },
        { "teams", "[{\"name\":\"a\",\"weight\":0}]", "teams[0].weight" },
        { "teams", "[\n{]", "line 2" },
        { "profile", "\"fast\"", "expected \"response\"" },
        { "plan", "{\"holidays\":[\"8.12.\"]}", "plan.holidays" },
        { "other", "{}", "no such document" },
    };
    return cr_make_param_array(DocumentRow, rows, sizeof(rows) / sizeof(DocumentRow));
}

ParameterizedTest(DocumentRow* row, Configuration, refusesDocuments)
{
    const auto fault = leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(withDocument({}, row->name, row->text));
            return std::string();
        },
        [](const ConfigError& error) { return error.details.at(0); }, [] { return std::string(); });
    cr_expect(fault.find(row->fault) != std::string::npos, "%s: %s", row->text, fault.c_str());
}

Test(Configuration, holderIgnoresOlderRevisions)
{
    int activations = 0;
    ConfigHolder holder([&](const auto&) { ++activations; });
    ActiveConfiguration revision5;
    revision5.configuration.revision = Revision(5);
    ActiveConfiguration revision4;
    revision4.configuration.revision = Revision(4);
    cr_expect(holder.replaceIfNewer(revision5));
    cr_expect_not(holder.replaceIfNewer(revision4));
    cr_expect_not(holder.replaceIfNewer(revision5));
    cr_expect(holder.revision() == Revision(5));
    cr_expect_eq(activations, 1);
}

Test(Store, base64RoundTrips)
{
    std::string bytes;
    for (int i = 0; i < 300; ++i) {
        cr_assert(fromBase64(toBase64(bytes)) == bytes);
        bytes += static_cast<char>(i * 7);
    }
    cr_expect_not(fromBase64("a*b=").has_value());
    cr_expect_eq(prefixEnd("/a/"), "/a0");
}

Test(HybridClock, staysAheadOfMergedTimestamps)
{
    HybridClock clock;
    const auto first = clock.next();
    clock.merge(first + 1000000000);
    cr_expect_gt(clock.next(), first + 1000000000);
    const auto last = clock.next();
    clock.merge(1);
    cr_expect_gt(clock.next(), last);
}
