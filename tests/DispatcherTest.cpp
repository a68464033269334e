/** @file DispatcherTest.cpp Decisions of one entry about jobs: refusals, order, runs that take too long, answers. */
#include <sequoia/Dispatcher.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace sequoia;

namespace {

constexpr int64_t agentCpu = 10000;

/** An entry with linked agents whose messages the test plays. */
class DispatcherFixture {
public:
    explicit DispatcherFixture(size_t agents = 2)
        : dispatcher({}, {},
            { [](const auto& candidates, const auto& request) { return choosePlacement(candidates, request, {}); },
                [](const auto& work, const auto& load) { return admit(work, load, {}); } })
    {
        dispatcher.tick(now);
        for (size_t i = 0; i < agents; ++i)
            link(i);
        now += DispatcherLimits().settleTime;
        tick();
    }

    void link(size_t i, uint64_t life = 0)
    {
        wire::HelloT hello;
        hello.agent = "agent" + std::to_string(i);
        hello.incarnation = 100 + i + 1000 * life;
        dispatcher.agentLinked(LinkId(i), hello, now);
        wire::RoomReportT report;
        report.service = "service";
        report.labels = { "label" + std::to_string(i) };
        report.state = wire::GateState::Open;
        report.total = std::make_unique<wire::Room>(agentCpu, 1000, 1);
        report.free = std::make_unique<wire::Room>(agentCpu, 1000, 1);
        report.slowness = 1;
        deliver(i, std::move(report));
    }

    template <typename Message> void deliver(size_t agent, Message message)
    {
        wire::BodyUnion body;
        body.Set(std::move(message));
        dispatcher.receive(LinkId(agent), body, now);
        collectEffects();
    }

    /** Where the last run of a job's only task was ordered. */
    size_t agentOf(uint64_t id) const
    {
        size_t place = SIZE_MAX;
        for (const auto& [run, agent] : agentByRun) {
            if (raw(run.task.job) == id)
                place = agent;
        }
        return place;
    }

    /** Sends a job of one step. */
    void submit(uint64_t id, StepSpec step, Milliseconds budget = Milliseconds(2000), uint32_t priority = 0)
    {
        submit(id, std::vector { std::move(step) }, budget, priority);
    }

    void submit(
        uint64_t id, std::vector<StepSpec> steps, Milliseconds budget = Milliseconds(2000), uint32_t priority = 0)
    {
        WorkSpec spec;
        spec.id = WorkId(id);
        spec.steps = std::move(steps);
        RoutePolicy route;
        route.name = "route";
        route.service = "service";
        route.stretch = 1.6;
        route.objective = Milliseconds(60);
        route.maxFailures = 3;
        route.priority = priority;
        dispatcher.submit(std::move(spec), std::move(route), budget, WaiterId(id), now);
        collectEffects();
    }

    /** An agent tells the end of a run. */
    void end(const RunId& id, wire::RunOutcome outcome, Milliseconds ran = Milliseconds(100))
    {
        wire::RunResultT result;
        result.id = std::make_unique<wire::RunId>(toWire(id));
        result.outcome = outcome;
        result.run_us = static_cast<uint32_t>(Microseconds(ran).count());
        result.free = std::make_unique<wire::Room>(agentCpu, 1000, 1);
        result.orders_seen = 1000;
        result.slowness = 1;
        deliver(agentByRun.at(id), std::move(result));
    }

    /** Time passes; agents stay alive. */
    void advance(Milliseconds time)
    {
        for (const auto until = now + time; now < until;) {
            now += Milliseconds(20);
            for (size_t i = 0; i < dispatcher.agents().size(); ++i)
                deliver(i, wire::BeatT());
            tick();
        }
    }

    void tick()
    {
        dispatcher.tick(now);
        collectEffects();
    }

    void collectEffects()
    {
        for (auto& effect : dispatcher.takeEffects()) {
            if (auto* answer = std::get_if<AnswerCaller>(&effect))
                answers[raw(answer->job)] = answer->answer;
            const auto* send = std::get_if<SendMessage>(&effect);
            if (send == nullptr)
                continue;
            if (const auto* order = send->body.AsRunOrder()) {
                orders.push_back(fromWire(*order->id));
                agentByRun[orders.back()] = raw(send->link);
            } else if (const auto* stop = send->body.AsRunStop()) {
                for (const auto& id : stop->ids)
                    stops.push_back(fromWire(id));
            }
        }
    }

    TimePoint now { std::chrono::seconds(100) };
    Dispatcher dispatcher;
    std::map<uint64_t, WorkAnswer> answers;
    std::vector<RunId> orders;
    std::map<RunId, size_t> agentByRun;
    std::vector<RunId> stops;
};

StepSpec stepOf(uint32_t count, int64_t cpu, Milliseconds estimate = Milliseconds(100))
{
    StepSpec step;
    step.count = count;
    step.resources = { cpu, 10, 0 };
    step.estimate = estimate;
    return step;
}

} // namespace

Test(Dispatcher, prefersItsShareOfTheAgentsAndFallsBackToOthers)
{
    constexpr size_t entries = 2;
    for (size_t position = 0; position < entries; ++position) {
        DispatcherFixture bench(4);
        bench.dispatcher.setEntries(entries, position);
        bench.tick();
        const std::set<size_t> share { 2 * position, 2 * position + 1 };
        for (uint64_t id = 1; id <= 6; ++id) {
            bench.submit(id, stepOf(1, 1000));
            cr_expect(share.contains(bench.agentOf(id)), "entry %zu: agent %zu", position, bench.agentOf(id));
        }
        for (const auto agent : share)
            bench.dispatcher.linkClosed(LinkId(agent), bench.now);
        bench.tick();
        bench.submit(7, stepOf(1, 1000));
        cr_expect_lt(bench.agentOf(7), 4U);
        cr_expect_not(share.contains(bench.agentOf(7)));
    }
}

struct FitsRow {
    char name[32];
    Resources room;
    char label[16];
    bool isTaken;
};

ParameterizedTestParameters(Dispatcher, rejectsTasksThatFitNoServer)
{
    static FitsRow rows[] = {
        { "fits", { agentCpu, 1000, 1 }, "", true },
        { "too many processors", { agentCpu + 1, 10, 0 }, "", false },
        { "too much memory", { 1000, 1001, 0 }, "", false },
        { "too many accelerators", { 1000, 10, 2 }, "", false },
        { "a label that one has", { 1000, 10, 0 }, "label1", true },
        { "a label that none has", { 1000, 10, 0 }, "label9", false },
    };
    return cr_make_param_array(FitsRow, rows, sizeof(rows) / sizeof(FitsRow));
}

ParameterizedTest(FitsRow* row, Dispatcher, rejectsTasksThatFitNoServer)
{
    DispatcherFixture bench;
    auto step = stepOf(1, 1000);
    step.resources = row->room;
    step.requiredLabel = row->label;
    bench.submit(1, step);
    cr_expect_eq(bench.orders.size(), row->isTaken ? 1U : 0U, "%s", row->name);
    cr_expect_eq(bench.answers.contains(1), !row->isTaken, "%s", row->name);
    if (row->isTaken)
        return;
    cr_expect(bench.answers.at(1).status == WorkStatus::NotRun, "%s", row->name);
    cr_expect_eq(bench.answers.at(1).reason, "no-server-fits", "%s", row->name);
}

Test(Dispatcher, stepStartsWhenTheStepsItDependsOnAreDone)
{
    DispatcherFixture bench;
    std::vector steps { stepOf(2, 1000), stepOf(1, 1000) };
    steps[1].dependsOn = { 0 };
    bench.submit(1, std::move(steps));
    cr_assert_eq(bench.orders.size(), 2U);
    bench.end(bench.orders[0], wire::RunOutcome::Done);
    cr_expect_eq(bench.orders.size(), 2U, "one task of the first step still runs");
    bench.end(bench.orders[1], wire::RunOutcome::Failed);
    cr_assert_eq(bench.orders.size(), 3U);
    cr_expect_eq(raw(bench.orders[2].task.step), 0U, "it has failed and runs again");
    bench.end(bench.orders[2], wire::RunOutcome::Done);
    cr_assert_eq(bench.orders.size(), 4U);
    cr_expect_eq(raw(bench.orders[3].task.step), 1U);
    bench.end(bench.orders[3], wire::RunOutcome::Done);
    cr_assert(bench.answers.contains(1));
    cr_expect(bench.answers.at(1).status == WorkStatus::Succeeded);
}

Test(Dispatcher, taskFailuresAreLimitedByTheRoute)
{
    DispatcherFixture bench(6);
    bench.submit(1, stepOf(1, 1000));
    constexpr size_t allowed = 3; // Of the bench's route.
    for (size_t i = 0; i < allowed; ++i) {
        cr_assert_eq(bench.orders.size(), i + 1);
        bench.end(bench.orders[i], wire::RunOutcome::Failed);
    }
    bench.advance(Milliseconds(200));
    cr_expect_eq(bench.orders.size(), allowed);
    cr_assert(bench.answers.contains(1));
    cr_expect(bench.answers.at(1).status == WorkStatus::Failed);
}

Test(Dispatcher, requiredLabelSelectsItsServerAtEveryPosition)
{
    for (size_t i = 0; i < 3; ++i) {
        DispatcherFixture bench(3);
        auto step = stepOf(2, 1000);
        step.requiredLabel = "label" + std::to_string(i);
        bench.submit(1, step);
        cr_assert_eq(bench.orders.size(), 2U);
        for (const auto& id : bench.orders)
            cr_expect_eq(bench.agentByRun.at(id), i);
    }
}

Test(Dispatcher, keepsJobsOpenUntilTheFirstAgentIsLinked)
{
    DispatcherFixture bench(0);
    Dispatcher fresh({}, {},
        { [](const auto& candidates, const auto& request) { return choosePlacement(candidates, request, {}); },
            [](const auto& work, const auto& load) { return admit(work, load, {}); } });
    fresh.tick(bench.now);
    WorkSpec spec;
    spec.id = WorkId(1);
    spec.steps.push_back(stepOf(1, 1000));
    RoutePolicy route;
    route.service = "service";
    fresh.submit(std::move(spec), std::move(route), Milliseconds(2000), WaiterId(1), bench.now);
    cr_expect(fresh.isOpen(WorkId(1)));
}

Test(Dispatcher, underOverloadJobsThatCanBeInTimeGoFirst)
{
    DispatcherFixture bench(1);
    // One long job takes all room; then come more than can be in time.
    bench.submit(1, stepOf(1, agentCpu, Milliseconds(100)));
    for (uint64_t id = 2; id <= 30; ++id)
        bench.submit(id, stepOf(1, agentCpu, Milliseconds(100)), Milliseconds(1200));
    size_t refusedAtOnce = 0;
    for (const auto& [id, answer] : bench.answers) {
        cr_expect(answer.status == WorkStatus::NotRun);
        cr_expect_gt(answer.retryAfter.count(), 0, "it says when the queue will be short enough");
        ++refusedAtOnce;
    }
    cr_expect_geq(
        refusedAtOnce, 15U, "29 jobs of 100 ms don't fit into 1,200 ms behind each other: %zu", refusedAtOnce);
    // A new one that is more urgent overtakes all that wait.
    bench.submit(100, stepOf(1, agentCpu, Milliseconds(100)), Milliseconds(1200), 0);
    cr_expect(bench.dispatcher.isOpen(WorkId(100)) || bench.answers.contains(100));
    bench.end(bench.orders.front(), wire::RunOutcome::Done);
    cr_assert_eq(bench.orders.size(), 2U, "freed room is used at once");
}

struct NotRunRow {
    char name[40];
    int outcome; ///< wire::RunOutcome of the one run; -1 for no order.
    int status; ///< WorkStatus when the caller's deadline passes.
};

ParameterizedTestParameters(Dispatcher, answersNotRunOnlyIfNoRunWasOrdered)
{
    static NotRunRow rows[] = {
        { "never ordered", -1, static_cast<int>(WorkStatus::NotRun) },
        { "lost", static_cast<int>(wire::RunOutcome::Lost), static_cast<int>(WorkStatus::GivenUp) },
        { "running", static_cast<int>(wire::RunOutcome::Running), static_cast<int>(WorkStatus::GivenUp) },
        { "failed", static_cast<int>(wire::RunOutcome::Failed), static_cast<int>(WorkStatus::GivenUp) },
    };
    return cr_make_param_array(NotRunRow, rows, sizeof(rows) / sizeof(NotRunRow));
}

ParameterizedTest(NotRunRow* row, Dispatcher, answersNotRunOnlyIfNoRunWasOrdered)
{
    DispatcherFixture bench(1);
    if (row->outcome < 0)
        bench.submit(9, stepOf(1, agentCpu, Milliseconds(5000)), Milliseconds(20000));
    bench.submit(1, stepOf(1, agentCpu, Milliseconds(100)), Milliseconds(400));
    if (row->outcome >= 0) {
        cr_assert_eq(bench.orders.size(), 1U);
        bench.submit(9, stepOf(1, agentCpu, Milliseconds(5000)), Milliseconds(20000)); // Takes the room that it leaves.
        bench.end(bench.orders.front(), static_cast<wire::RunOutcome>(row->outcome));
    }
    bench.advance(Milliseconds(600));
    cr_assert(bench.answers.contains(1), "%s", row->name);
    cr_expect_eq(static_cast<int>(bench.answers.at(1).status), row->status, "%s", row->name);
}

Test(Dispatcher, longRunsOnSeveralServersAreNotStragglers)
{
    DispatcherFixture bench(3);
    bench.submit(1, stepOf(3, 9000, Milliseconds(100)), Milliseconds(10000));
    cr_assert_eq(bench.orders.size(), 3U, "one on each server");
    // Small jobs end there meanwhile, so the servers work.
    for (uint64_t id = 100; id < 108; ++id) {
        const auto before = bench.orders.size();
        bench.submit(id, stepOf(3, 1000, Milliseconds(100)));
        bench.advance(Milliseconds(100));
        for (size_t i = before; i < bench.orders.size(); ++i)
            bench.end(bench.orders[i], wire::RunOutcome::Done);
    }
    cr_expect(bench.stops.empty(), "800 ms for an estimate of 100 ms, on all servers: the estimate is wrong");
}

Test(Dispatcher, stragglerIsStoppedAndRunOnAnotherServer)
{
    DispatcherFixture bench(3);
    bench.submit(1, stepOf(2, agentCpu, Milliseconds(100)), Milliseconds(10000));
    cr_assert_eq(bench.orders.size(), 2U);
    bench.advance(Milliseconds(100));
    bench.end(bench.orders[0], wire::RunOutcome::Done, Milliseconds(100));
    bench.advance(Milliseconds(400));
    cr_assert_eq(bench.stops.size(), 1U, "500 ms, while its fellow took 100 ms");
    cr_expect(bench.stops[0] == bench.orders[1]);
    bench.end(bench.orders[1], wire::RunOutcome::Stopped);
    cr_assert_eq(bench.orders.size(), 3U);
    cr_expect_neq(bench.agentByRun.at(bench.orders[2]), bench.agentByRun.at(bench.orders[1]), "on another server");
}

Test(Dispatcher, restartOfAnAgentEndsItsRuns)
{
    DispatcherFixture bench(2);
    bench.submit(1, stepOf(1, agentCpu));
    cr_assert_eq(bench.orders.size(), 1U);
    bench.link(bench.agentByRun.at(bench.orders[0]));
    cr_expect_eq(bench.orders.size(), 1U, "the same life may still run it, and is asked");
    bench.link(bench.agentByRun.at(bench.orders[0]), 1);
    cr_assert_eq(bench.orders.size(), 2U);
    cr_expect_gt(raw(bench.orders[1].run), raw(bench.orders[0].run));
}

Test(Dispatcher, resubmittedRequestJoinsTheOpenJob)
{
    DispatcherFixture bench;
    bench.submit(1, stepOf(1, 1000));
    bench.submit(1, stepOf(1, 1000));
    cr_expect_eq(bench.orders.size(), 1U);
    bench.end(bench.orders[0], wire::RunOutcome::Done);
    cr_expect(bench.answers.at(1).status == WorkStatus::Succeeded);
    // The caller may have missed the answer: the job runs again, with higher run numbers.
    bench.submit(1, stepOf(1, 1000));
    cr_assert_eq(bench.orders.size(), 2U);
    cr_expect_gt(raw(bench.orders[1].run), raw(bench.orders[0].run));
}
