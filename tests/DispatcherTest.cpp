/** @file DispatcherTest.cpp Decisions of one entry: refusals, steps, labels, stragglers, lost runs, answers. */
#include <sequoia/Dispatcher.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <sstream>

using namespace sequoia;

namespace {

constexpr int64_t agentCpu = 10000;

/** A dispatcher with linked agents whose messages are sent by the test. */
class DispatcherFixture {
public:
    explicit DispatcherFixture(size_t agents = 2)
        : dispatcher({}, {},
            { [this](const auto& candidates, const auto& request) {
                 ++placements;
                 return choosePlacement(candidates, request, {});
             },
                [this](const auto& job, const auto& load) {
                    lastCapacity = load.capacity;
                    return admitsAll ? Admission() : admit(job, load, {});
                },
                [this](WaiterId waiter) { return !left.contains(raw(waiter)); } })
    {
        dispatcher.tick(now);
        for (size_t i = 0; i < agents; ++i)
            link(i);
        advance(DispatcherLimits().settleTime);
    }

    /** Links an agent; `restart` counts its restarts, each of which is another incarnation. */
    void link(size_t i, uint64_t restart = 0, const std::string& failureDomain = "", bool takesRelays = true)
    {
        wire::HelloT hello;
        hello.failure_domain = failureDomain;
        hello.agent = "agent" + std::to_string(i);
        hello.incarnation = 100 + i + 1000 * restart;
        hello.relays = takesRelays;
        hello.evacuations = takesEvacuations;
        hello.upper_case = takesUpperCase;
        dispatcher.agentLinked(LinkId(i), hello, now, now);
        wire::RoomReportT report;
        report.service = "service";
        report.labels = { "label" + std::to_string(i) };
        report.state = wire::GateState::Open;
        report.total = std::make_unique<wire::Room>(agentCpu, 1000, 1);
        report.free = std::make_unique<wire::Room>(agentCpu, 1000, 1);
        report.slowness = 1;
        deliver(i, std::move(report));
    }

    /** An agent reports another capacity of its server; `free` are the processors that no run uses. */
    void reportCapacity(size_t agent, int64_t cpu, int64_t free, uint32_t ordersSeen = 1000)
    {
        wire::RoomReportT report;
        report.service = "service";
        report.labels = { "label" + std::to_string(agent) };
        report.state = wire::GateState::Open;
        report.total = std::make_unique<wire::Room>(static_cast<uint32_t>(cpu), 1000, 1);
        report.free = std::make_unique<wire::Room>(static_cast<uint32_t>(free), 1000, 1);
        report.orders_seen = ordersSeen;
        report.slowness = 1;
        deliver(agent, std::move(report));
    }

    /** The store tells which failure domains are to be evacuated. */
    void evacuate(uint64_t version, const std::vector<std::string>& domains)
    {
        dispatcher.setEvacuations(domains, StoreVersion(version), "store", now);
        collectEffects();
    }

    /** The gate of an agent reports that it is closed because of an evacuation. */
    void reportEvacuated(size_t agent)
    {
        wire::RoomReportT report;
        report.service = "service";
        report.labels = { "label" + std::to_string(agent) };
        report.state = wire::GateState::Closed;
        report.reason = "evacuated";
        report.total = std::make_unique<wire::Room>(agentCpu, 1000, 1);
        report.free = std::make_unique<wire::Room>(agentCpu, 1000, 1);
        report.slowness = 1;
        deliver(agent, std::move(report));
    }

    /** Two servers crash under the task of a run, so that its route is isolated. */
    void reportCrashes(const RunId& id)
    {
        for (uint32_t n = 1; n <= 2; ++n) {
            wire::ServerCrashT crash;
            crash.agent_incarnation = 100 + n;
            crash.number = 1;
            auto run = std::make_unique<wire::CrashedRunT>();
            run->id = std::make_unique<wire::RunId>(toWire(id));
            run->route = "route";
            run->age_ms = 10;
            run->is_latest = true;
            run->is_suspect = n == 2;
            crash.runs.push_back(std::move(run));
            deliver(0, std::move(crash));
        }
    }

    /** Delivers a message of an agent. */
    template <typename Message> void deliver(size_t agent, Message message)
    {
        wire::BodyUnion body;
        body.Set(std::move(message));
        dispatcher.receive(LinkId(agent), body, now, now);
        collectEffects();
    }

    /** Agent of the last run of a job with one task. */
    size_t agentOf(uint64_t id) const
    {
        size_t last = SIZE_MAX;
        for (const auto& [run, agent] : agentByRun) {
            if (run.task.job.number == id)
                last = agent;
        }
        return last;
    }

    /** Submits a job of one step. */
    void submit(uint64_t id, StepSpec step, Milliseconds budget = Milliseconds(2000), uint32_t priority = 0,
        const std::string& routeName = "route")
    {
        submit(id, std::vector { std::move(step) }, budget, priority, routeName);
    }

    void submit(uint64_t id, std::vector<StepSpec> steps, Milliseconds budget = Milliseconds(2000),
        uint32_t priority = 0, const std::string& routeName = "route")
    {
        WorkSpec spec;
        spec.id = WorkId(id);
        spec.steps = std::move(steps);
        RoutePolicy route;
        route.name = routeName;
        route.service = "service";
        route.stretch = 1.6;
        route.objective = Milliseconds(60);
        route.maxFailures = 3;
        route.priority = priority;
        dispatcher.submit(std::move(spec), std::move(route), { WaiterId(id), now - age, budget }, now);
        collectEffects();
    }

    /** Delivers the result of a run from its agent. */
    void end(const RunId& id, wire::RunOutcome outcome, Milliseconds ran = Milliseconds(100),
        wire::Refusal refusal = wire::Refusal::None, uint32_t activeRun = 0, const std::string& reason = "")
    {
        wire::RunResultT result;
        result.reason = reason;
        result.refusal = refusal;
        result.active_run = activeRun;
        result.id = std::make_unique<wire::RunId>(toWire(id));
        result.upper_case = id.task.job.upperCase;
        result.outcome = outcome;
        result.run_us = static_cast<uint32_t>(Microseconds(ran).count());
        result.free = std::make_unique<wire::Room>(agentCpu, 1000, 1);
        result.orders_seen = 1000;
        result.slowness = 1;
        deliver(agentByRun.at(id), std::move(result));
    }

    /** Advances the clock; the agents send heartbeats. */
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

    /** Records the answers, run orders and stops among the effects. */
    void collectEffects()
    {
        for (auto& effect : dispatcher.takeEffects()) {
            if (auto* answer = std::get_if<AnswerCaller>(&effect)) {
                answers[answer->job.number] = answer->answer;
                answeredJobs.push_back(answer->job);
            }
            const auto* send = std::get_if<SendMessage>(&effect);
            if (send == nullptr)
                continue;
            agentTimes[raw(send->link)] = send->agentTime;
            if (const auto* told = send->body.AsEvacuations())
                evacuationsTold[raw(send->link)].push_back(*told);
            if (const auto* order = send->body.AsRunOrder()) {
                orders.push_back(fromWire(*order->id, order->upper_case));
                agentByRun[orders.back()] = raw(send->link);
            } else if (const auto* stop = send->body.AsRunStop()) {
                for (const auto& id : runsOf(stop->ids, stop->upper_case))
                    stops.push_back(id);
            } else if (const auto* relayed = send->body.AsRelayedOrphans()) {
                relays.push_back(raw(send->link));
                lastRelayed = *relayed;
            }
        }
    }

    TimePoint now { std::chrono::seconds(100) };
    Milliseconds age {}; ///< Of the requests that are submitted.
    std::set<uint64_t> left; ///< Jobs whose callers have ended their connections.
    size_t placements = 0; ///< Calls of the placement policy.
    bool admitsAll = false; ///< Otherwise jobs are admitted by the load.
    double lastCapacity = 0; ///< In the load of the last admission.
    bool takesEvacuations = true; ///< Agents that link know the message.
    bool takesUpperCase = true; ///< Agents that link tell ids apart by the case of their letters.
    std::map<size_t, std::vector<wire::EvacuationsT>> evacuationsTold; ///< By agent.
    Dispatcher dispatcher;
    std::map<uint64_t, WorkAnswer> answers;
    std::vector<WorkId> answeredJobs; ///< In the order of their answers.
    std::vector<RunId> orders;
    std::map<RunId, size_t> agentByRun;
    std::vector<RunId> stops;
    std::vector<size_t> relays; ///< Agents that were told of orphaned runs.
    wire::RelayedOrphansT lastRelayed; ///< What they were told.
    std::map<size_t, TimePoint> agentTimes; ///< The agent time of the last message to each agent.
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

Test(Dispatcher, messagesGoBackWithTheLatestTimeOfTheirAgent)
{
    DispatcherFixture fixture(1);
    const auto agentTime = TimePoint(Milliseconds(5));
    wire::BodyUnion body;
    body.Set(wire::BeatT());
    fixture.dispatcher.receive(LinkId(0), body, agentTime, fixture.now);
    fixture.submit(1, stepOf(1, 1000));
    cr_assert_eq(fixture.orders.size(), 1U);
    cr_expect(fixture.agentTimes[0] == agentTime);
}

Test(Dispatcher, prefersItsShareOfTheAgentsAndFallsBackToOthers)
{
    constexpr size_t entries = 2;
    for (size_t position = 0; position < entries; ++position) {
        DispatcherFixture fixture(4);
        fixture.dispatcher.setEntries(entries, position);
        fixture.tick();
        const std::set<size_t> preferred { 2 * position, 2 * position + 1 };
        for (uint64_t id = 1; id <= 6; ++id) {
            fixture.submit(id, stepOf(1, 1000));
            cr_expect(preferred.contains(fixture.agentOf(id)), "entry %zu: agent %zu", position, fixture.agentOf(id));
        }
        for (const auto agent : preferred)
            fixture.dispatcher.linkClosed(LinkId(agent), fixture.now);
        fixture.advance(DispatcherLimits().relinkWait);
        fixture.submit(7, stepOf(1, 1000));
        cr_expect_lt(fixture.agentOf(7), 4U);
        cr_expect_not(preferred.contains(fixture.agentOf(7)));
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
        { "label of one server", { 1000, 10, 0 }, "label1", true },
        { "label of no server", { 1000, 10, 0 }, "label9", false },
    };
    return cr_make_param_array(FitsRow, rows, sizeof(rows) / sizeof(FitsRow));
}

ParameterizedTest(FitsRow* row, Dispatcher, rejectsTasksThatFitNoServer)
{
    DispatcherFixture fixture;
    auto step = stepOf(1, 1000);
    step.resources = row->room;
    step.requiredLabel = row->label;
    fixture.submit(1, step);
    cr_expect_eq(fixture.orders.size(), row->isTaken ? 1U : 0U, "%s", row->name);
    cr_expect_eq(fixture.answers.contains(1), !row->isTaken, "%s", row->name);
    if (row->isTaken)
        return;
    cr_expect(fixture.answers.at(1).status == WorkStatus::NotRun, "%s", row->name);
    cr_expect_eq(fixture.answers.at(1).reason, "no-server-fits", "%s", row->name);
}

Test(Dispatcher, stepStartsWhenTheStepsItDependsOnAreDone)
{
    DispatcherFixture fixture;
    std::vector steps { stepOf(2, 1000), stepOf(1, 1000) };
    steps[1].dependsOn = { 0 };
    fixture.submit(1, std::move(steps));
    cr_assert_eq(fixture.orders.size(), 2U);
    fixture.end(fixture.orders[0], wire::RunOutcome::Done);
    cr_expect_eq(fixture.orders.size(), 2U, "the second step must wait for both tasks of the first");
    fixture.end(fixture.orders[1], wire::RunOutcome::Failed);
    cr_assert_eq(fixture.orders.size(), 3U);
    cr_expect_eq(raw(fixture.orders[2].task.step), 0U, "the failed task must run again first");
    fixture.end(fixture.orders[2], wire::RunOutcome::Done);
    cr_assert_eq(fixture.orders.size(), 4U);
    cr_expect_eq(raw(fixture.orders[3].task.step), 1U);
    fixture.end(fixture.orders[3], wire::RunOutcome::Done);
    cr_assert(fixture.answers.contains(1));
    cr_expect(fixture.answers.at(1).status == WorkStatus::Succeeded);
}

/** Where a job stands when its caller closes the connection, which the entry has not noticed yet. */
enum class LeavingAt : uint8_t { WaitingForRoom, NextStep, Repeat };

struct LeavingRow {
    char name[32];
    LeavingAt at;
};

ParameterizedTestParameters(Dispatcher, noRunIsOrderedForACallerWhoseEndWaitsInTheSocket)
{
    static LeavingRow rows[] = {
        { "first run", LeavingAt::WaitingForRoom },
        { "run of the next step", LeavingAt::NextStep },
        { "repeated run", LeavingAt::Repeat },
    };
    return cr_make_param_array(LeavingRow, rows, sizeof(rows) / sizeof(LeavingRow));
}

/** The caller has sent the job to another entry, so that a run here would be the second one of its task. */
ParameterizedTest(LeavingRow* row, Dispatcher, noRunIsOrderedForACallerWhoseEndWaitsInTheSocket)
{
    DispatcherFixture fixture(1);
    std::vector steps { stepOf(1, agentCpu) };
    if (row->at == LeavingAt::NextStep) {
        steps.push_back(stepOf(1, agentCpu));
        steps[1].dependsOn = { 0 };
    }
    fixture.submit(1, steps);
    cr_assert_eq(fixture.orders.size(), 1U);
    const uint64_t leaving = row->at == LeavingAt::WaitingForRoom ? 2 : 1;
    if (row->at == LeavingAt::WaitingForRoom)
        fixture.submit(2, stepOf(1, 1000));
    cr_assert_eq(fixture.orders.size(), 1U);
    fixture.left.insert(leaving);
    const bool isFailed = row->at == LeavingAt::Repeat;
    fixture.end(fixture.orders[0], isFailed ? wire::RunOutcome::Failed : wire::RunOutcome::Done);
    for (size_t i = 1; i < fixture.orders.size(); ++i)
        cr_expect_neq(fixture.orders[i].task.job.number, leaving, "%s", row->name);
    cr_expect_not(fixture.dispatcher.isOpen(WorkId(leaving)), "%s", row->name);
}

struct ReadLateRow {
    char name[32];
    Milliseconds age; ///< Of the request when it is read.
    bool isAccepted;
};

ParameterizedTestParameters(Dispatcher, requestsReadAfterTheirBudgetAreRefusedAsNotRun)
{
    static ReadLateRow rows[] = {
        { "at once", Milliseconds(0), true },
        { "early enough", Milliseconds(500), true },
        { "after the budget", Milliseconds(1500), false },
        { "long after the budget", Milliseconds(4000), false },
    };
    return cr_make_param_array(ReadLateRow, rows, sizeof(rows) / sizeof(ReadLateRow));
}

/** Their callers may have sent the jobs to another entry, though no end of a connection shows it. */
ParameterizedTest(ReadLateRow* row, Dispatcher, requestsReadAfterTheirBudgetAreRefusedAsNotRun)
{
    DispatcherFixture fixture(1);
    fixture.age = row->age;
    fixture.submit(1, stepOf(1, 1000), Milliseconds(1500));
    cr_expect_eq(fixture.orders.size(), row->isAccepted ? 1U : 0U, "%s", row->name);
    if (row->isAccepted) {
        // The caller's time counts from when the request came.
        fixture.advance(Milliseconds(1500) - row->age);
        cr_assert(fixture.answers.contains(1), "%s", row->name);
        cr_expect(fixture.answers.at(1).status == WorkStatus::GivenUp, "%s", row->name);
        return;
    }
    cr_assert(fixture.answers.contains(1), "%s", row->name);
    cr_expect(fixture.answers.at(1).status == WorkStatus::NotRun, "%s", row->name);
}

Test(Dispatcher, taskFailuresAreLimitedByTheRoute)
{
    DispatcherFixture fixture(6);
    fixture.submit(1, stepOf(1, 1000));
    constexpr size_t maxFailures = 3; // As the route in `submit` has it.
    for (size_t i = 0; i < maxFailures; ++i) {
        cr_assert_eq(fixture.orders.size(), i + 1);
        fixture.end(fixture.orders[i], wire::RunOutcome::Failed);
    }
    fixture.advance(Milliseconds(200));
    cr_expect_eq(fixture.orders.size(), maxFailures);
    cr_assert(fixture.answers.contains(1));
    cr_expect(fixture.answers.at(1).status == WorkStatus::Failed);
}

Test(Dispatcher, refusalsOfAnUnsuitableServerAreNoAttempts)
{
    DispatcherFixture fixture(1);
    fixture.submit(1, stepOf(1, 1000));
    constexpr size_t refusals = 5; // More than the route allows failures.
    for (size_t i = 0; i < refusals; ++i) {
        cr_assert_eq(fixture.orders.size(), i + 1);
        fixture.end(fixture.orders.back(), wire::RunOutcome::NotStarted, Milliseconds(0), wire::Refusal::Unsuitable);
    }
    fixture.end(fixture.orders.back(), wire::RunOutcome::Done);
    cr_assert(fixture.answers.contains(1));
    cr_expect(fixture.answers.at(1).status == WorkStatus::Succeeded);
}

Test(Dispatcher, requiredLabelSelectsItsServerAtEveryPosition)
{
    for (size_t i = 0; i < 3; ++i) {
        DispatcherFixture fixture(3);
        auto step = stepOf(2, 1000);
        step.requiredLabel = "label" + std::to_string(i);
        fixture.submit(1, step);
        cr_assert_eq(fixture.orders.size(), 2U);
        for (const auto& id : fixture.orders)
            cr_expect_eq(fixture.agentByRun.at(id), i);
    }
}

struct IdCaseRow {
    char name[48];
    WorkId first;
    WorkId second;
    bool isKnownToAgents; ///< Whether agents tell ids apart by case.
    size_t orders;
};

ParameterizedTestParameters(Dispatcher, jobsWhoseIdsDifferInCaseAreTwoJobs)
{
    static IdCaseRow rows[] = { { "lower case and upper case", WorkId(0xab), WorkId(0xab, 3), true, 2 },
        { "upper case and lower case", WorkId(0xab, 3), WorkId(0xab), true, 2 },
        { "one digit each", WorkId(0xab, 1), WorkId(0xab, 2), true, 2 },
        { "agents of an earlier release", WorkId(0xab), WorkId(0xab, 3), false, 1 } };
    return cr_make_param_array(IdCaseRow, rows, sizeof(rows) / sizeof(IdCaseRow));
}

// Guards against a job that isn't run and gets the answer of another one, whose id differs only in case (UNASKED).
ParameterizedTest(IdCaseRow* row, Dispatcher, jobsWhoseIdsDifferInCaseAreTwoJobs)
{
    DispatcherFixture fixture(0);
    fixture.takesUpperCase = row->isKnownToAgents;
    fixture.link(0);
    fixture.advance(DispatcherLimits().settleTime);
    uint64_t waiter = 0;
    for (const auto& id : { row->first, row->second }) {
        WorkSpec spec;
        spec.id = id;
        spec.steps.push_back(stepOf(1, 1000));
        RoutePolicy route;
        route.service = "service";
        fixture.dispatcher.submit(
            std::move(spec), std::move(route), { WaiterId(++waiter), fixture.now, Milliseconds(2000) }, fixture.now);
        fixture.collectEffects();
    }
    cr_assert_eq(fixture.orders.size(), row->orders, "%s: %zu", row->name, fixture.orders.size());
    cr_expect(fixture.orders[0].task.job == row->first, "%s", row->name);
    fixture.end(fixture.orders[0], wire::RunOutcome::Done);
    cr_expect(fixture.answeredJobs == std::vector({ row->first }), "%s", row->name);
    if (row->orders == 1)
        return;
    cr_expect(fixture.orders[1].task.job == row->second, "%s", row->name);
    fixture.dispatcher.cancel(row->second, fixture.now);
    fixture.collectEffects();
    cr_expect(fixture.stops == std::vector({ fixture.orders[1] }), "%s", row->name);
}

Test(Dispatcher, keepsJobsOpenUntilTheFirstAgentIsLinked)
{
    DispatcherFixture fixture(0);
    Dispatcher fresh({}, {},
        { [](const auto& candidates, const auto& request) { return choosePlacement(candidates, request, {}); },
            [](const auto& job, const auto& load) { return admit(job, load, {}); } });
    fresh.tick(fixture.now);
    WorkSpec spec;
    spec.id = WorkId(1);
    spec.steps.push_back(stepOf(1, 1000));
    RoutePolicy route;
    route.service = "service";
    fresh.submit(std::move(spec), std::move(route), { WaiterId(1), fixture.now, Milliseconds(2000) }, fixture.now);
    cr_expect(fresh.isOpen(WorkId(1)));
}

/**
 * In a burst an entry with little processor time gets many messages while all servers are full. If it rated all servers
 * for all waiting jobs each time, its messages would wait for hundreds of milliseconds.
 */
Test(Dispatcher, fullServersAreNotRatedForWaitingJobs)
{
    DispatcherFixture fixture;
    for (uint64_t job = 1; job <= 30; ++job)
        fixture.submit(job, stepOf(1, agentCpu));
    const auto before = fixture.placements;
    for (int i = 0; i < 50; ++i) {
        wire::RoomUpdateT update;
        update.free = std::make_unique<wire::Room>(agentCpu / 10, 1000, 1);
        update.orders_seen = 1;
        fixture.deliver(0, std::move(update));
    }
    cr_expect_eq(fixture.placements, before, "%zu placements were computed", fixture.placements - before);
    wire::RoomUpdateT update;
    update.free = std::make_unique<wire::Room>(agentCpu, 1000, 1);
    update.orders_seen = 1;
    fixture.deliver(0, std::move(update));
    cr_expect_gt(fixture.placements, before, "a server with room is used");
}

Test(Dispatcher, underOverloadJobsThatCanBeInTimeGoFirst)
{
    DispatcherFixture fixture(1);
    // The first job takes the only server; of the others fewer fit into their budgets than are submitted.
    fixture.submit(1, stepOf(1, agentCpu, Milliseconds(100)));
    for (uint64_t id = 2; id <= 30; ++id)
        fixture.submit(id, stepOf(1, agentCpu, Milliseconds(100)), Milliseconds(1200));
    size_t refusedAtOnce = 0;
    for (const auto& [id, answer] : fixture.answers) {
        cr_expect(answer.status == WorkStatus::NotRun);
        cr_expect_gt(answer.retryAfter.count(), 0, "a refusal for load must name a time to retry");
        ++refusedAtOnce;
    }
    cr_expect_geq(refusedAtOnce, 15U,
        "29 jobs of 100 ms don't fit into 1,200 ms one after the other, but only %zu were refused", refusedAtOnce);
    // Another job is either queued or answered, never dropped.
    fixture.submit(100, stepOf(1, agentCpu, Milliseconds(100)), Milliseconds(1200), 0);
    cr_expect(fixture.dispatcher.isOpen(WorkId(100)) || fixture.answers.contains(100));
    fixture.end(fixture.orders.front(), wire::RunOutcome::Done);
    cr_assert_eq(fixture.orders.size(), 2U, "freed resources must be used at once");
}

struct NotRunRow {
    char name[40];
    int outcome; ///< wire::RunOutcome of the only run; -1 if none is ordered.
    int status; ///< Expected WorkStatus after the deadline.
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
    DispatcherFixture fixture(1);
    if (row->outcome < 0)
        fixture.submit(9, stepOf(1, agentCpu, Milliseconds(5000)), Milliseconds(20000));
    fixture.submit(1, stepOf(1, agentCpu, Milliseconds(100)), Milliseconds(400));
    if (row->outcome >= 0) {
        cr_assert_eq(fixture.orders.size(), 1U);
        // This job takes the server as soon as it is free.
        fixture.submit(9, stepOf(1, agentCpu, Milliseconds(5000)), Milliseconds(20000));
        fixture.end(fixture.orders.front(), static_cast<wire::RunOutcome>(row->outcome));
    }
    fixture.advance(Milliseconds(600));
    cr_assert(fixture.answers.contains(1), "%s", row->name);
    cr_expect_eq(static_cast<int>(fixture.answers.at(1).status), row->status, "%s", row->name);
}

Test(Dispatcher, longRunsOnSeveralServersAreNotStragglers)
{
    DispatcherFixture fixture(3);
    fixture.submit(1, stepOf(3, 9000, Milliseconds(100)), Milliseconds(10000));
    cr_assert_eq(fixture.orders.size(), 3U, "one task on each server");
    // Small jobs end on all three servers meanwhile, so none of the servers hangs.
    for (uint64_t id = 100; id < 108; ++id) {
        const auto before = fixture.orders.size();
        fixture.submit(id, stepOf(3, 1000, Milliseconds(100)));
        fixture.advance(Milliseconds(100));
        for (size_t i = before; i < fixture.orders.size(); ++i)
            fixture.end(fixture.orders[i], wire::RunOutcome::Done);
    }
    cr_expect(fixture.stops.empty(),
        "runs that take 800 ms instead of 100 ms on all servers must not be stopped: the estimate is too short");
}

Test(Dispatcher, stragglerIsStoppedAndRunOnAnotherServer)
{
    DispatcherFixture fixture(3);
    fixture.submit(1, stepOf(2, agentCpu, Milliseconds(100)), Milliseconds(10000));
    cr_assert_eq(fixture.orders.size(), 2U);
    fixture.advance(Milliseconds(100));
    fixture.end(fixture.orders[0], wire::RunOutcome::Done, Milliseconds(100));
    fixture.advance(Milliseconds(400));
    cr_assert_eq(
        fixture.stops.size(), 1U, "a run must be stopped after 500 ms if the other task of its step took 100 ms");
    cr_expect(fixture.stops[0] == fixture.orders[1]);
    fixture.end(fixture.orders[1], wire::RunOutcome::Stopped);
    cr_assert_eq(fixture.orders.size(), 3U);
    cr_expect_neq(fixture.agentByRun.at(fixture.orders[2]), fixture.agentByRun.at(fixture.orders[1]),
        "the task must be repeated on another server");
}

/** What an agent tells of a run of 100 ms at 150 ms; its server and the other one may differ in speed. */
struct KeptRow {
    char name[48];
    uint32_t remainingMs;
    uint32_t workMs;
    bool isStuck;
    float otherSlowness;
    bool isOtherFull;
    int stoppedAtMs; ///< At the latest; -1 if it is never stopped before 760 ms.
};

ParameterizedTestParameters(Dispatcher, runsThatProgressAreStoppedOnlyIfTheyCanEndSoonerElsewhere)
{
    static KeptRow rows[] = {
        { "long task", 550, 700, false, 1, false, -1 },
        { "long task, the other server is much faster", 550, 700, false, 0.4F, false, 260 },
        { "long task, the other server is little faster", 550, 700, false, 0.6F, false, -1 },
        { "long task, the faster server is full", 550, 700, false, 0.4F, true, -1 },
        { "slow server", 550, 100, false, 1, false, 260 },
        { "slow server, the end is near", 150, 100, false, 1, false, -1 },
        { "no progress any more", 550, 700, true, 1, false, 260 },
        { "should have ended long ago", 100, 700, false, 1, false, 420 },
    };
    return cr_make_param_array(KeptRow, rows, sizeof(rows) / sizeof(KeptRow));
}

ParameterizedTest(KeptRow* row, Dispatcher, runsThatProgressAreStoppedOnlyIfTheyCanEndSoonerElsewhere)
{
    DispatcherFixture fixture(2);
    fixture.submit(1, stepOf(1, 9000, Milliseconds(100)), Milliseconds(10000));
    cr_assert_eq(fixture.orders.size(), 1U);
    const auto since = fixture.now;
    const auto run = fixture.orders.front();
    const auto agent = fixture.agentByRun.at(run);
    fixture.advance(Milliseconds(140));
    wire::RoomUpdateT other;
    other.free = std::make_unique<wire::Room>(row->isOtherFull ? 1000 : agentCpu, 1000, 1);
    other.orders_seen = 1000;
    other.slowness = row->otherSlowness;
    fixture.deliver(1 - agent, std::move(other));
    wire::RoomUpdateT update;
    update.free = std::make_unique<wire::Room>(1000, 900, 1);
    update.orders_seen = 1;
    update.slowness = 1;
    update.progress.emplace_back(toWire(run), row->remainingMs, row->workMs, uint8_t(20), row->isStuck);
    fixture.deliver(agent, std::move(update));
    int stoppedAt = -1;
    const bool endsInTime = row->stoppedAtMs < 0;
    const auto end = endsInTime ? Milliseconds(140 + row->remainingMs) : Milliseconds(760);
    while (fixture.now - since < end && stoppedAt < 0) {
        fixture.advance(Milliseconds(20));
        if (!fixture.stops.empty())
            stoppedAt = static_cast<int>(toMilliseconds(fixture.now - since).count());
    }
    cr_expect(endsInTime ? stoppedAt < 0 : stoppedAt > 0 && stoppedAt <= row->stoppedAtMs, "%s: stopped after %d ms",
        row->name, stoppedAt);
}

Test(Dispatcher, restartOfAnAgentEndsItsRuns)
{
    DispatcherFixture fixture(2);
    fixture.submit(1, stepOf(1, agentCpu));
    cr_assert_eq(fixture.orders.size(), 1U);
    fixture.link(fixture.agentByRun.at(fixture.orders[0]));
    cr_expect_eq(fixture.orders.size(), 1U,
        "a run must not be repeated while the same incarnation of its agent may still have it");
    fixture.link(fixture.agentByRun.at(fixture.orders[0]), 1);
    cr_assert_eq(fixture.orders.size(), 2U);
    cr_expect_gt(raw(fixture.orders[1].run), raw(fixture.orders[0].run));
}

Test(Dispatcher, resubmittedRequestJoinsTheOpenJob)
{
    DispatcherFixture fixture;
    fixture.submit(1, stepOf(1, 1000));
    fixture.submit(1, stepOf(1, 1000));
    cr_expect_eq(fixture.orders.size(), 1U);
    fixture.end(fixture.orders[0], wire::RunOutcome::Done);
    cr_expect(fixture.answers.at(1).status == WorkStatus::Succeeded);
    // The caller may not have received the answer: the job runs again, with higher run numbers.
    fixture.submit(1, stepOf(1, 1000));
    cr_assert_eq(fixture.orders.size(), 2U);
    cr_expect_gt(raw(fixture.orders[1].run), raw(fixture.orders[0].run));
}

struct StopRow {
    char name[32];
    bool isJobEnded; ///< The caller leaves; otherwise the run is stopped as a straggler.
    bool isStopSent; ///< The stop was sent before the link broke, and was lost with it.
};

ParameterizedTestParameters(Dispatcher, lostStopsAreSentAgainWhenTheAgentLinksAgain)
{
    static StopRow rows[] = {
        { "job ended without a link", true, false },
        { "stop of an ended job lost", true, true },
        { "stop of a straggler lost", false, true },
    };
    return cr_make_param_array(StopRow, rows, sizeof(rows) / sizeof(StopRow));
}

ParameterizedTest(StopRow* row, Dispatcher, lostStopsAreSentAgainWhenTheAgentLinksAgain)
{
    DispatcherFixture fixture;
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000));
    const auto run = fixture.orders.back();
    const auto agent = fixture.agentByRun.at(run);
    if (!row->isStopSent)
        fixture.dispatcher.linkClosed(LinkId(agent), fixture.now);
    if (row->isJobEnded)
        fixture.dispatcher.callerGone(WorkId(1), WaiterId(1), fixture.now);
    else
        fixture.advance(Milliseconds(400));
    fixture.collectEffects();
    cr_assert_eq(fixture.stops.size(), row->isStopSent ? 1U : 0U, "%s", row->name);
    fixture.stops.clear();
    if (row->isStopSent)
        fixture.dispatcher.linkClosed(LinkId(agent), fixture.now);
    fixture.link(agent);
    fixture.end(run, wire::RunOutcome::Running);
    cr_assert_eq(fixture.stops.size(), 1U, "%s", row->name);
    cr_expect(fixture.stops.back() == run, "%s", row->name);
    cr_expect_eq(fixture.orders.size(), 1U, "%s: the task must not run again before its run is over", row->name);
}

struct ResubmittedRow {
    char name[32];
    wire::RunOutcome outcome; ///< Of the earlier run, after the job was submitted again.
    bool isAgentLost; ///< The agent is lost instead of reporting the outcome.
    size_t orders; ///< Expected in all.
};

ParameterizedTestParameters(Dispatcher, resubmittedJobWaitsForTheEndOfItsEarlierRuns)
{
    static ResubmittedRow rows[] = {
        { "stopped", wire::RunOutcome::Stopped, false, 2 },
        { "done before its stop", wire::RunOutcome::Done, false, 1 },
        { "agent out of reach", wire::RunOutcome::Lost, true, 2 },
    };
    return cr_make_param_array(ResubmittedRow, rows, sizeof(rows) / sizeof(ResubmittedRow));
}

ParameterizedTest(ResubmittedRow* row, Dispatcher, resubmittedJobWaitsForTheEndOfItsEarlierRuns)
{
    DispatcherFixture fixture;
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000));
    const auto run = fixture.orders.back();
    fixture.dispatcher.callerGone(WorkId(1), WaiterId(1), fixture.now);
    fixture.collectEffects();
    fixture.answers.clear();
    fixture.now += Milliseconds(10);
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000));
    fixture.advance(Milliseconds(40));
    cr_assert_eq(fixture.orders.size(), 1U, "%s: the earlier run is still being stopped", row->name);
    if (row->isAgentLost) {
        fixture.dispatcher.linkClosed(LinkId(fixture.agentByRun.at(run)), fixture.now);
        fixture.advance(DispatcherLimits().runLapse + Milliseconds(20));
    } else {
        fixture.end(run, row->outcome);
    }
    cr_expect_eq(fixture.orders.size(), row->orders, "%s: %zu orders", row->name, fixture.orders.size());
    cr_expect_eq(fixture.answers.contains(1), row->outcome == wire::RunOutcome::Done, "%s", row->name);
    if (row->orders == 2)
        cr_expect_gt(raw(fixture.orders.back().run), raw(run.run), "%s", row->name);
}

/** How an entry learns of a run that another entry ordered. */
enum class Learns : uint8_t {
    BeforeTheJob, ///< Its agent tells that it is orphaned, before the job is submitted here.
    WhileItWaits, ///< The same while the job waits for resources.
    FromARefusal, ///< An order is refused, as the run is on that server.
};

struct ForeignRow {
    char name[48];
    Learns learns;
    wire::RunOutcome outcome; ///< Of the other entry's run.
    bool isAgentLost; ///< The agent is lost instead of reporting the outcome.
    size_t orders; ///< Expected after the end of the run.
};

ParameterizedTestParameters(Dispatcher, jobWaitsForTheEndOfARunThatAnotherEntryOrdered)
{
    static ForeignRow rows[] = {
        { "told before, stopped", Learns::BeforeTheJob, wire::RunOutcome::Stopped, false, 1 },
        { "told before, done", Learns::BeforeTheJob, wire::RunOutcome::Done, false, 0 },
        { "told before, agent lost", Learns::BeforeTheJob, wire::RunOutcome::Lost, true, 1 },
        { "told while it waits, stopped", Learns::WhileItWaits, wire::RunOutcome::Stopped, false, 1 },
        { "refused, stopped", Learns::FromARefusal, wire::RunOutcome::Stopped, false, 1 },
        { "refused, done", Learns::FromARefusal, wire::RunOutcome::Done, false, 0 },
    };
    return cr_make_param_array(ForeignRow, rows, sizeof(rows) / sizeof(ForeignRow));
}

ParameterizedTest(ForeignRow* row, Dispatcher, jobWaitsForTheEndOfARunThatAnotherEntryOrdered)
{
    DispatcherFixture fixture;
    const RunId run { { WorkId(1), StepIndex(0), TaskIndex(0) }, RunNumber(5) };
    wire::OrphanedRunsT orphans;
    orphans.ids.push_back(toWire(run));
    size_t agent = 0;
    if (row->learns == Learns::BeforeTheJob)
        fixture.deliver(agent, std::move(orphans));
    if (row->learns == Learns::WhileItWaits) {
        fixture.reportCapacity(0, agentCpu, 0);
        fixture.reportCapacity(1, agentCpu, 0);
    }
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000));
    if (row->learns == Learns::WhileItWaits) {
        fixture.deliver(agent, std::move(orphans));
        fixture.reportCapacity(1, agentCpu, agentCpu);
    }
    if (row->learns == Learns::FromARefusal) {
        const auto refused = fixture.orders.back();
        agent = fixture.agentByRun.at(refused);
        fixture.orders.clear();
        fixture.end(refused, wire::RunOutcome::NotStarted, Milliseconds(0), wire::Refusal::Occupied, raw(run.run));
    }
    fixture.advance(Milliseconds(40));
    cr_assert(fixture.orders.empty(), "%s: the other entry's run isn't over", row->name);
    cr_assert_eq(fixture.stops.size(), 1U, "%s", row->name);
    cr_expect(fixture.stops.back() == run, "%s", row->name);
    if (row->isAgentLost) {
        fixture.dispatcher.linkClosed(LinkId(agent), fixture.now);
        fixture.advance(DispatcherLimits().runLapse + Milliseconds(20));
    } else {
        fixture.agentByRun[run] = agent;
        fixture.end(run, row->outcome);
    }
    cr_expect_eq(fixture.orders.size(), row->orders, "%s: %zu orders", row->name, fixture.orders.size());
    cr_expect_eq(fixture.answers.contains(1), row->outcome == wire::RunOutcome::Done, "%s", row->name);
    if (row->orders > 0)
        cr_expect_gt(raw(fixture.orders.back().run), raw(run.run), "%s", row->name);
}

/** Why nobody waits for a job when its request is read. */
struct NoCallerRow {
    char name[32];
    bool hasLeft; ///< Its connection has ended; otherwise the request is older than its budget.
    bool isRelayed; ///< The run is told by its entry instead of its agent.
};

ParameterizedTestParameters(Dispatcher, jobWithoutCallerStopsNoRunsOfOtherEntries)
{
    static NoCallerRow rows[] = {
        { "caller left", true, false },
        { "caller left, relayed run", true, true },
        { "read too late", false, false },
        { "read too late, relayed run", false, true },
    };
    return cr_make_param_array(NoCallerRow, rows, sizeof(rows) / sizeof(NoCallerRow));
}

ParameterizedTest(NoCallerRow* row, Dispatcher, jobWithoutCallerStopsNoRunsOfOtherEntries)
{
    DispatcherFixture fixture;
    const RunId run { { WorkId(1), StepIndex(0), TaskIndex(0) }, RunNumber(5) };
    if (row->isRelayed) {
        wire::RelayedOrphansT relayed;
        auto runs = std::make_unique<wire::AgentRunsT>();
        runs->agent = "agent0";
        runs->agent_incarnation = 100;
        runs->lapse_ms = 1250;
        runs->ids.push_back(toWire(run));
        relayed.agents.push_back(std::move(runs));
        fixture.deliver(1, std::move(relayed));
    } else {
        wire::OrphanedRunsT orphans;
        orphans.ids.push_back(toWire(run));
        fixture.deliver(0, std::move(orphans));
    }
    constexpr Milliseconds budget { 2000 };
    if (row->hasLeft)
        fixture.left.insert(1);
    else
        fixture.age = budget;
    fixture.submit(1, stepOf(1, 1000), budget);
    fixture.advance(Milliseconds(40));
    cr_expect(fixture.stops.empty(), "%s: the caller may wait for this run at another entry", row->name);
    cr_expect(fixture.orders.empty(), "%s", row->name);
    cr_expect(fixture.answers.contains(1) && fixture.answers[1].status == WorkStatus::NotRun, "%s", row->name);
    fixture.left.clear();
    fixture.age = {};
    fixture.submit(1, stepOf(1, 1000), budget);
    cr_expect(fixture.orders.empty(), "%s: the run is forgotten", row->name);
    cr_assert_eq(fixture.stops.size(), 1U, "%s", row->name);
    cr_expect(fixture.stops.back() == run, "%s", row->name);
}

Test(Dispatcher, orphanedRunsAreRememberedUntilTheirCallersHaveSentAgain)
{
    DispatcherFixture fixture;
    wire::OrphanedRunsT orphans;
    for (const uint64_t job : { 1, 2 })
        orphans.ids.push_back(toWire(RunId { { WorkId(job), StepIndex(0), TaskIndex(0) }, RunNumber(1) }));
    fixture.deliver(0, std::move(orphans));
    constexpr Milliseconds resendDelay { 1300 };
    fixture.advance(resendDelay + Milliseconds(20));
    fixture.submit(1, stepOf(1, 1000));
    cr_expect_eq(fixture.orders.size(), 0U, "its run may be on a server that is down");
    fixture.advance(DispatcherLimits().orphanRetention);
    fixture.submit(2, stepOf(1, 1000));
    cr_expect_eq(fixture.orders.size(), 1U);
}

/** How the agent that has a relayed run stands to the entry that is told of it. */
enum class AgentIs : uint8_t {
    Linked,
    Unlinked, ///< Its link was lost long ago.
    Unknown, ///< It has never linked.
};

/** What the entry hears of the agent afterwards. */
enum class Hears : uint8_t {
    Nothing,
    TheEnd, ///< The result of the run, on the link.
    LinkLost, ///< The link breaks.
    LinkedWithRun, ///< It links and has the run.
    LinkedWithoutRun, ///< It links and the run is over, or never arrived.
    Restarted, ///< Another incarnation of it links.
};

struct RelayedRow {
    char name[40];
    AgentIs agent;
    Hears hears;
    bool isJobFirst; ///< The job waits here before the entry is told.
    bool isOtherIncarnation; ///< This entry knew another incarnation of the agent than the one that has the run.
    bool isHeld; ///< The task isn't ordered before the run must have lapsed.
};

ParameterizedTestParameters(Dispatcher, jobWaitsForTheRunsThatAnotherEntryTellsOf)
{
    static RelayedRow rows[] = {
        { "linked, ends", AgentIs::Linked, Hears::TheEnd, false, false, false },
        { "linked, ends, job first", AgentIs::Linked, Hears::TheEnd, true, false, false },
        { "linked, link lost", AgentIs::Linked, Hears::LinkLost, false, false, true },
        { "unlinked, unheard of", AgentIs::Unlinked, Hears::Nothing, false, false, true },
        { "unlinked, unheard of, job first", AgentIs::Unlinked, Hears::Nothing, true, false, true },
        { "unlinked, links with it", AgentIs::Unlinked, Hears::LinkedWithRun, false, false, true },
        { "unlinked, links without it", AgentIs::Unlinked, Hears::LinkedWithoutRun, false, false, false },
        { "unlinked, restarted", AgentIs::Unlinked, Hears::Restarted, false, false, false },
        { "other life, unheard of", AgentIs::Unlinked, Hears::Nothing, false, true, true },
        { "other life, links with it", AgentIs::Unlinked, Hears::LinkedWithRun, false, true, true },
        { "other life, restarted", AgentIs::Unlinked, Hears::Restarted, false, true, false },
        { "unknown, unheard of", AgentIs::Unknown, Hears::Nothing, false, false, true },
        { "unknown, unheard of, job first", AgentIs::Unknown, Hears::Nothing, true, false, true },
        { "unknown, links with it", AgentIs::Unknown, Hears::LinkedWithRun, false, false, true },
        { "unknown, links without it", AgentIs::Unknown, Hears::LinkedWithoutRun, false, false, false },
    };
    return cr_make_param_array(RelayedRow, rows, sizeof(rows) / sizeof(RelayedRow));
}

ParameterizedTest(RelayedRow* row, Dispatcher, jobWaitsForTheRunsThatAnotherEntryTellsOf)
{
    constexpr size_t agent = 2;
    constexpr uint64_t restarts = 1; // Of the incarnation that has the run.
    const Milliseconds lapse = DispatcherLimits().runLapse;
    DispatcherFixture fixture(2);
    if (row->agent != AgentIs::Unknown)
        fixture.link(agent, row->isOtherIncarnation ? restarts - 1 : restarts);
    if (row->agent == AgentIs::Unlinked) {
        fixture.dispatcher.linkClosed(LinkId(agent), fixture.now);
        fixture.advance(2 * lapse);
    }
    const RunId run { { WorkId(1), StepIndex(0), TaskIndex(0) }, RunNumber(5) };
    const auto tell = [&] {
        wire::RelayedOrphansT message;
        auto& runs = *message.agents.emplace_back(std::make_unique<wire::AgentRunsT>());
        runs.agent = "agent" + std::to_string(agent);
        runs.agent_incarnation = 100 + agent + 1000 * restarts;
        runs.lapse_ms = static_cast<uint32_t>(lapse.count());
        runs.ids.push_back(toWire(run));
        fixture.deliver(0, std::move(message));
    };
    if (!row->isJobFirst) {
        tell();
        tell(); // By another agent.
    } else {
        for (const size_t i : { 0, 1, 2 })
            fixture.reportCapacity(i, agentCpu, 0);
    }
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000));
    if (row->isJobFirst) {
        tell();
        tell();
        for (const size_t i : { 0, 1 })
            fixture.reportCapacity(i, agentCpu, agentCpu);
    }
    fixture.advance(Milliseconds(100));
    cr_assert(fixture.orders.empty(), "%s: the run may be there", row->name);
    cr_expect_eq(fixture.stops.size(), row->agent == AgentIs::Linked ? 1U : 0U, "%s", row->name);
    fixture.agentByRun[run] = agent;
    switch (row->hears) {
    case Hears::Nothing:
        break;
    case Hears::TheEnd:
        fixture.end(run, wire::RunOutcome::Stopped);
        break;
    case Hears::LinkLost:
        fixture.dispatcher.linkClosed(LinkId(agent), fixture.now);
        break;
    case Hears::LinkedWithRun:
        fixture.link(agent, restarts);
        cr_expect(fixture.orders.empty(), "%s: the agent has not answered the query", row->name);
        fixture.end(run, wire::RunOutcome::NotStarted, Milliseconds(0), wire::Refusal::Occupied, raw(run.run));
        cr_expect_eq(fixture.stops.size(), 1U, "%s", row->name);
        break;
    case Hears::LinkedWithoutRun:
        fixture.link(agent, restarts);
        cr_expect(fixture.orders.empty(), "%s: the agent has not answered the query", row->name);
        fixture.end(run, wire::RunOutcome::NotStarted);
        break;
    case Hears::Restarted:
        fixture.link(agent, restarts + 1);
        break;
    }
    if (row->isHeld) {
        fixture.advance(lapse - Milliseconds(140));
        cr_expect(fixture.orders.empty(), "%s: the run has not lapsed", row->name);
        if (row->hears == Hears::LinkedWithRun)
            fixture.end(run, wire::RunOutcome::Stopped);
        fixture.advance(Milliseconds(200));
    }
    cr_assert_eq(fixture.orders.size(), 1U, "%s: %zu orders", row->name, fixture.orders.size());
    cr_expect_gt(raw(fixture.orders.back().run), raw(run.run), "%s", row->name);
    if (row->hears == Hears::TheEnd) {
        tell(); // What arrives late tells of a run that is over.
        cr_expect_eq(fixture.dispatcher.counters().jobsElsewhere, 0U, "%s", row->name);
    }
}

struct RelaysRow {
    char name[40];
    char failureDomains[8]; ///< One letter an agent, those heard of most recently first.
    bool isCallerGone; ///< Otherwise the job is cancelled.
    char relays[8]; ///< Positions of the agents that are expected to be told.
};

ParameterizedTestParameters(Dispatcher, entryRelaysTheRunsOfACallerThatLeft)
{
    static RelaysRow rows[] = {
        { "one agent", "a", true, "0" },
        { "one failure domain", "aaaa", true, "012" },
        { "two failure domains", "aaab", true, "031" },
        { "three failure domains", "aabbc", true, "024" },
        { "cancelled", "aaaa", false, "" },
    };
    return cr_make_param_array(RelaysRow, rows, sizeof(rows) / sizeof(RelaysRow));
}

ParameterizedTest(RelaysRow* row, Dispatcher, entryRelaysTheRunsOfACallerThatLeft)
{
    DispatcherFixture fixture(0);
    const std::string domains = row->failureDomains;
    for (size_t i = domains.size(); i-- > 0;) {
        fixture.now += Milliseconds(1);
        fixture.link(i, 0, std::string(1, domains[i]));
    }
    fixture.submit(1, stepOf(2, 1000));
    cr_assert_eq(fixture.orders.size(), 2U, "%s", row->name);
    if (row->isCallerGone)
        fixture.dispatcher.callerGone(WorkId(1), WaiterId(1), fixture.now);
    else
        fixture.dispatcher.cancel(WorkId(1), fixture.now);
    fixture.collectEffects();
    std::string relays;
    for (const auto relay : fixture.relays)
        relays += std::to_string(relay);
    cr_expect(relays == row->relays, "%s: told %s", row->name, relays.c_str());
    size_t told = 0;
    for (const auto& runs : fixture.lastRelayed.agents) {
        for (const auto& id : runs->ids) {
            ++told;
            const auto agent = fixture.agentByRun.at(fromWire(id, 0));
            cr_expect(runs->agent == "agent" + std::to_string(agent), "%s", row->name);
            cr_expect_eq(runs->agent_incarnation, 100 + agent, "%s", row->name);
        }
    }
    cr_expect_eq(told, row->isCallerGone ? 2U : 0U, "%s", row->name);
}

Test(Dispatcher, relayedRunsOfAnAgentWithoutALinkAreToldAgainWhenItLinks)
{
    DispatcherFixture fixture(2);
    constexpr Milliseconds unlinked { 300 };
    const auto lapse = static_cast<uint32_t>(DispatcherLimits().runLapse.count());
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000));
    const auto run = fixture.orders.back();
    const auto agent = fixture.agentByRun.at(run);
    fixture.dispatcher.linkClosed(LinkId(agent), fixture.now);
    fixture.now += unlinked;
    fixture.dispatcher.callerGone(WorkId(1), WaiterId(1), fixture.now);
    fixture.collectEffects();
    cr_assert_eq(fixture.relays.size(), 1U);
    cr_expect_eq(fixture.relays.front(), 1 - agent);
    cr_assert_eq(fixture.lastRelayed.agents.size(), 1U);
    cr_expect_eq(fixture.lastRelayed.agents.front()->lapse_ms, lapse - unlinked.count());
    fixture.link(agent);
    cr_expect_eq(fixture.relays.size(), 3U);
    cr_assert_eq(fixture.lastRelayed.agents.size(), 1U);
    cr_expect_eq(fixture.lastRelayed.agents.front()->lapse_ms, lapse);
    cr_expect(fromWire(fixture.lastRelayed.agents.front()->ids.front(), 0) == run);
    fixture.end(run, wire::RunOutcome::Stopped);
    fixture.dispatcher.linkClosed(LinkId(agent), fixture.now);
    fixture.link(agent);
    cr_expect_eq(fixture.relays.size(), 3U, "the run is over");
}

/** All links are lost with the caller; the agent of the run stays away, and others link one after another. */
Test(Dispatcher, runsOfAgentsWithoutALinkAreToldWhenOtherAgentsLinkAgain)
{
    constexpr size_t agents = 12;
    DispatcherFixture fixture(agents);
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000));
    const auto run = fixture.orders.back();
    const auto agent = fixture.agentByRun.at(run);
    const auto loseLinks = [&] {
        for (size_t i = 0; i < agents; ++i)
            fixture.dispatcher.linkClosed(LinkId(i), fixture.now);
    };
    const auto linkOthers = [&] {
        for (size_t i = 0; i < agents; ++i) {
            if (i == agent)
                continue;
            fixture.now += Milliseconds(1);
            fixture.link(i);
        }
    };
    loseLinks();
    fixture.dispatcher.callerGone(WorkId(1), WaiterId(1), fixture.now);
    fixture.collectEffects();
    cr_assert(fixture.relays.empty(), "there is no link");
    fixture.now += Milliseconds(20);
    fixture.link((agent + 1) % agents);
    cr_assert_eq(fixture.relays.size(), 1U, "nobody is told of the run");
    cr_expect_eq(fixture.relays.front(), (agent + 1) % agents);
    cr_expect(fromWire(fixture.lastRelayed.agents.front()->ids.front(), 0) == run);
    fixture.relays.clear();
    loseLinks(); // What was sent may be lost with them.
    linkOthers();
    const std::set<size_t> told(fixture.relays.begin(), fixture.relays.end());
    cr_expect_geq(told.size(), 2U);
    cr_expect_leq(fixture.relays.size(), 3U, "the number of messages grows with the number of agents");
    fixture.relays.clear();
    loseLinks();
    linkOthers();
    cr_expect(!fixture.relays.empty(), "what was sent on the lost links counts");
    fixture.relays.clear();
    fixture.advance(DispatcherLimits().runLapse + Milliseconds(40));
    loseLinks();
    linkOthers();
    cr_expect(fixture.relays.empty(), "the run is over");
}

/** All links but that of the run's agent are lost with the caller; this agent is suspended and passes nothing on. */
Test(Dispatcher, runsOfASuspendedAgentAreToldWhenOtherAgentsLinkAgain)
{
    constexpr size_t agents = 12;
    DispatcherFixture fixture(agents);
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000));
    const auto run = fixture.orders.back();
    const auto agent = fixture.agentByRun.at(run);
    for (size_t i = 0; i < agents; ++i) {
        if (i != agent)
            fixture.dispatcher.linkClosed(LinkId(i), fixture.now);
    }
    fixture.dispatcher.callerGone(WorkId(1), WaiterId(1), fixture.now);
    fixture.collectEffects();
    cr_assert_eq(fixture.relays.size(), 1U);
    cr_expect_eq(fixture.relays.front(), agent);
    fixture.relays.clear();
    const auto other = (agent + 1) % agents;
    fixture.link(other);
    cr_expect(std::find(fixture.relays.begin(), fixture.relays.end(), other) != fixture.relays.end(),
        "only the suspended agent is told of the run");
    cr_expect(fromWire(fixture.lastRelayed.agents.front()->ids.front(), 0) == run);
    for (size_t i = 2; i < agents; ++i)
        fixture.link((agent + i) % agents);
    cr_expect_leq(fixture.relays.size(), 6U, "the number of messages grows with the number of agents");
    fixture.relays.clear();
    fixture.end(run, wire::RunOutcome::Stopped);
    fixture.dispatcher.linkClosed(LinkId(other), fixture.now);
    fixture.link(other);
    cr_expect(fixture.relays.empty(), "the run is over");
}

/** On the new link the lease of the run counts anew; its job is open again, for another caller. */
Test(Dispatcher, stoppedRunsOfAReopenedJobAreToldAgainWhenTheirAgentLinks)
{
    DispatcherFixture fixture(2);
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000));
    const auto run = fixture.orders.back();
    const auto agent = fixture.agentByRun.at(run);
    fixture.dispatcher.callerGone(WorkId(1), WaiterId(1), fixture.now);
    fixture.collectEffects();
    const auto before = fixture.relays.size();
    fixture.dispatcher.linkClosed(LinkId(agent), fixture.now);
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000)); // A second caller of the job; it is held here.
    fixture.now += Milliseconds(60);
    fixture.link(agent);
    fixture.collectEffects();
    cr_expect_gt(fixture.relays.size(), before, "the run's lease counts anew, and the others aren't told");
}

/** Entries number their runs independently of each other. */
Test(Dispatcher, runOfARestartedAgentIsNotTakenForOneThatIsOver)
{
    DispatcherFixture fixture(3);
    const RunId run { { WorkId(1), StepIndex(0), TaskIndex(0) }, RunNumber(1) };
    const auto tell = [&] {
        wire::OrphanedRunsT message;
        message.ids.push_back(toWire(run));
        fixture.deliver(2, std::move(message));
    };
    tell();
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000));
    fixture.agentByRun[run] = 2;
    fixture.end(run, wire::RunOutcome::Stopped);
    fixture.dispatcher.callerGone(WorkId(1), WaiterId(1), fixture.now);
    fixture.collectEffects();
    for (const auto& id : std::vector<RunId>(fixture.orders))
        fixture.end(id, wire::RunOutcome::Stopped);
    fixture.dispatcher.linkClosed(LinkId(2), fixture.now);
    fixture.now += Milliseconds(20);
    fixture.link(2, 1);
    tell();
    const auto before = fixture.orders.size();
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000));
    fixture.advance(Milliseconds(100));
    cr_expect_eq(fixture.orders.size(), before, "ordered beside the run at the restarted agent");
}

Test(Dispatcher, agentsOfEarlierReleasesAreNotToldOfOrphanedRuns)
{
    DispatcherFixture fixture(2);
    fixture.submit(1, stepOf(1, 1000));
    fixture.link(0, 0, "", false);
    fixture.dispatcher.callerGone(WorkId(1), WaiterId(1), fixture.now);
    fixture.collectEffects();
    cr_assert_eq(fixture.relays.size(), 1U);
    cr_expect_eq(fixture.relays.front(), 1U);
}

struct SeveralOrphansRow {
    char name[48];
    uint32_t runs[2]; ///< Numbers of the runs at the two agents; entries that don't know each other's use the same.
    size_t endsFirst; ///< Agent of the run that ends first.
};

ParameterizedTestParameters(Dispatcher, taskWaitsForAllOrphanedRunsOfIt)
{
    static SeveralOrphansRow rows[] = {
        { "same number, the first agent's ends first", { 1, 1 }, 0 },
        { "same number, the second agent's ends first", { 1, 1 }, 1 },
        { "lower number first", { 1, 2 }, 0 },
        { "higher number first", { 1, 2 }, 1 },
    };
    return cr_make_param_array(SeveralOrphansRow, rows, sizeof(rows) / sizeof(SeveralOrphansRow));
}

ParameterizedTest(SeveralOrphansRow* row, Dispatcher, taskWaitsForAllOrphanedRunsOfIt)
{
    DispatcherFixture fixture;
    const auto runAt = [&](size_t agent) {
        return RunId { { WorkId(1), StepIndex(0), TaskIndex(0) }, RunNumber(row->runs[agent]) };
    };
    for (const size_t agent : { 0, 1 }) {
        wire::OrphanedRunsT orphans;
        orphans.ids.push_back(toWire(runAt(agent)));
        fixture.deliver(agent, std::move(orphans));
    }
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000));
    cr_expect_eq(fixture.stops.size(), 2U, "%s: both are stopped at once", row->name);
    for (const auto agent : { row->endsFirst, 1 - row->endsFirst }) {
        fixture.advance(Milliseconds(40));
        cr_assert(fixture.orders.empty(), "%s: the run at agent %zu isn't over", row->name, agent);
        fixture.agentByRun[runAt(agent)] = agent;
        fixture.end(runAt(agent), wire::RunOutcome::Stopped);
    }
    cr_assert_eq(fixture.orders.size(), 1U, "%s", row->name);
    cr_expect_gt(raw(fixture.orders.back().run), std::max(row->runs[0], row->runs[1]), "%s", row->name);
}

struct SuspendedEntryRow {
    char name[32];
    int64_t pauseMs; ///< For which the entry does nothing.
    bool isTold; ///< A message that tells of an orphaned run waits meanwhile; it is read after the job.
    size_t atOnce; ///< Orders expected before the message is read.
    size_t later; ///< Orders expected in all, when messages that arrived have been read.
};

ParameterizedTestParameters(Dispatcher, entryThatWasSuspendedReadsWhatWaitsBeforeItStartsJobs)
{
    static SuspendedEntryRow rows[] = {
        { "not suspended", 20, false, 1, 1 },
        { "suspended", 600, false, 0, 1 },
        { "suspended, told", 600, true, 0, 0 },
        { "suspended shortly, told", 150, true, 0, 0 },
    };
    return cr_make_param_array(SuspendedEntryRow, rows, sizeof(rows) / sizeof(SuspendedEntryRow));
}

ParameterizedTest(SuspendedEntryRow* row, Dispatcher, entryThatWasSuspendedReadsWhatWaitsBeforeItStartsJobs)
{
    DispatcherFixture fixture;
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000)); // The shorter silence limit holds for links with runs.
    fixture.submit(2, stepOf(1, 9500), Milliseconds(5000));
    const auto others = fixture.orders.size();
    fixture.now += Milliseconds(row->pauseMs);
    fixture.submit(3, stepOf(1, 400), Milliseconds(5000));
    cr_expect_eq(fixture.orders.size() - others, row->atOnce, "%s", row->name);
    fixture.tick();
    cr_expect_eq(fixture.dispatcher.linkedAgents(), 2U, "%s: messages may wait on the links", row->name);
    if (row->isTold) {
        wire::OrphanedRunsT orphans;
        orphans.ids.push_back(toWire(RunId { { WorkId(3), StepIndex(0), TaskIndex(0) }, RunNumber(1) }));
        fixture.deliver(0, std::move(orphans));
    }
    fixture.advance(DispatcherLimits().relinkWait + Milliseconds(20));
    cr_expect_eq(fixture.orders.size() - others, row->later, "%s", row->name);
}

/** Intervals of the ticks of an entry whose VM is slow or throttled. */
struct SlowEntryRow {
    char name[24];
    int64_t cycleMs;
};

ParameterizedTestParameters(Dispatcher, slowEntryStartsJobsAndNoticesSilentAgents)
{
    static SlowEntryRow rows[] = { { "throttled", 110 }, { "slow", 120 }, { "very slow", 240 } };
    return cr_make_param_array(SlowEntryRow, rows, sizeof(rows) / sizeof(SlowEntryRow));
}

/** Each tick counted as the end of a suspension, after which no job starts and no link is silent for a while. */
ParameterizedTest(SlowEntryRow* row, Dispatcher, slowEntryStartsJobsAndNoticesSilentAgents)
{
    DispatcherFixture fixture(2);
    const auto cycle = [&](std::initializer_list<size_t> agents) {
        fixture.now += Milliseconds(row->cycleMs);
        for (const auto i : agents)
            fixture.deliver(i, wire::BeatT());
    };
    cycle({ 0, 1 });
    fixture.tick();
    cycle({ 0, 1 });
    fixture.submit(1, stepOf(1, 100), Milliseconds(1500));
    fixture.tick();
    const auto submitted = fixture.now;
    while (fixture.orders.empty() && fixture.now < submitted + Milliseconds(1500)) {
        cycle({ 0, 1 });
        fixture.tick();
    }
    cr_assert_eq(fixture.orders.size(), 1U, "%s", row->name);
    cr_expect_leq(toMilliseconds(fixture.now - submitted).count(), 2 * row->cycleMs, "%s", row->name);
    const auto silent = fixture.agentByRun.at(fixture.orders.back());
    const auto silentFrom = fixture.now;
    while (fixture.dispatcher.linkedAgents() == 2 && fixture.now < silentFrom + Milliseconds(5000)) {
        cycle({ 1 - silent });
        fixture.tick();
    }
    const auto allowed
        = DispatcherLimits().linkSilence + DispatcherLimits().relinkWait + Milliseconds(2 * row->cycleMs);
    cr_expect_leq(
        toMilliseconds(fixture.now - silentFrom).count(), allowed.count(), "%s: an agent is silent", row->name);
}

struct TakenOverRow {
    char name[16];
    wire::RunOutcome outcome;
};

ParameterizedTestParameters(Dispatcher, jobThatAnotherEntryHasIsNotRepeated)
{
    static TakenOverRow rows[] = {
        { "stopped", wire::RunOutcome::Stopped },
        { "lost", wire::RunOutcome::Lost },
        { "not started", wire::RunOutcome::NotStarted },
        { "failed", wire::RunOutcome::Failed },
        { "done", wire::RunOutcome::Done },
    };
    return cr_make_param_array(TakenOverRow, rows, sizeof(rows) / sizeof(TakenOverRow));
}

ParameterizedTest(TakenOverRow* row, Dispatcher, jobThatAnotherEntryHasIsNotRepeated)
{
    DispatcherFixture fixture;
    fixture.submit(1, stepOf(2, 1000));
    const auto run = fixture.orders.back();
    const auto other = fixture.orders.front();
    fixture.end(run, row->outcome, Milliseconds(10), wire::Refusal::TakenOver);
    cr_expect_eq(fixture.orders.size(), 2U, "its run at the other entry would have another one beside it");
    cr_assert(fixture.answers.contains(1));
    cr_expect(fixture.answers.at(1).status == WorkStatus::GivenUp);
    cr_expect_eq(std::count(fixture.stops.begin(), fixture.stops.end(), other), 1);
}

struct AdoptedStepRow {
    char name[32];
    wire::RunOutcome outcome; ///< Of the earlier run of the second step.
    bool endsFirst; ///< It ends before the first step is done again.
};

ParameterizedTestParameters(Dispatcher, adoptedRunOfALaterStepIsNotOrderedBesideItself)
{
    static AdoptedStepRow rows[] = {
        { "stopped early", wire::RunOutcome::Stopped, true },
        { "stopped late", wire::RunOutcome::Stopped, false },
        { "done early", wire::RunOutcome::Done, true },
        { "done late", wire::RunOutcome::Done, false },
    };
    return cr_make_param_array(AdoptedStepRow, rows, sizeof(rows) / sizeof(AdoptedStepRow));
}

ParameterizedTest(AdoptedStepRow* row, Dispatcher, adoptedRunOfALaterStepIsNotOrderedBesideItself)
{
    DispatcherFixture fixture;
    std::vector steps { stepOf(1, 1000), stepOf(1, 1000) };
    steps[1].dependsOn = { 0 };
    fixture.submit(1, steps, Milliseconds(5000));
    fixture.end(fixture.orders.back(), wire::RunOutcome::Done);
    const auto run = fixture.orders.back();
    fixture.dispatcher.callerGone(WorkId(1), WaiterId(1), fixture.now);
    fixture.collectEffects();
    fixture.answers.clear();
    fixture.orders.clear();
    fixture.submit(1, steps, Milliseconds(5000));
    cr_assert_eq(fixture.orders.size(), 1U, "%s: only the first step may start", row->name);
    if (row->endsFirst)
        fixture.end(run, row->outcome);
    cr_expect_eq(fixture.orders.size(), 1U, "%s: the first step isn't done yet", row->name);
    fixture.end(fixture.orders.front(), wire::RunOutcome::Done);
    if (!row->endsFirst) {
        cr_expect_eq(fixture.orders.size(), 1U, "%s: the earlier run isn't over yet", row->name);
        fixture.end(run, row->outcome);
    }
    const bool isDone = row->outcome == wire::RunOutcome::Done;
    cr_expect_eq(fixture.orders.size(), isDone ? 1U : 2U, "%s: %zu orders", row->name, fixture.orders.size());
    cr_expect_eq(fixture.answers.contains(1), isDone, "%s", row->name);
}

struct CapacityRow {
    char name[48];
    int64_t firstCpu; ///< Processors of the first server after the change; the second one is full.
    int64_t secondCpu;
    bool isSecondLinked;
    bool isRefused; ///< Jobs that need 8 of 10 cores are refused, the waiting one and another.
    bool isOrdered; ///< The waiting job is ordered.
};

ParameterizedTestParameters(Dispatcher, changedCapacityDecidesAtOnceWhatFits)
{
    static CapacityRow rows[] = {
        { "unchanged", agentCpu, agentCpu, true, false, false },
        { "one server has shrunk", 4000, agentCpu, true, false, false },
        { "both servers have shrunk", 4000, 4000, true, true, false },
        { "a server without a link would be large enough", 4000, agentCpu, false, false, false },
        { "one server has grown", 2 * agentCpu, 4000, true, false, true },
    };
    return cr_make_param_array(CapacityRow, rows, sizeof(rows) / sizeof(CapacityRow));
}

ParameterizedTest(CapacityRow* row, Dispatcher, changedCapacityDecidesAtOnceWhatFits)
{
    DispatcherFixture fixture(2);
    for (size_t i = 0; i < 2; ++i)
        fixture.reportCapacity(i, agentCpu, 0);
    fixture.submit(1, stepOf(1, 8000, Milliseconds(500)), Milliseconds(4000));
    cr_assert(fixture.orders.empty());
    if (!row->isSecondLinked)
        fixture.dispatcher.linkClosed(LinkId(1), fixture.now);
    fixture.reportCapacity(0, row->firstCpu, std::max<int64_t>(row->firstCpu - agentCpu, 0));
    if (row->isSecondLinked)
        fixture.reportCapacity(1, row->secondCpu, 0);
    cr_expect_eq(!fixture.orders.empty(), row->isOrdered, "%s", row->name);
    fixture.now += Milliseconds(20);
    fixture.tick();
    cr_expect_eq(fixture.answers.contains(1), row->isRefused, "%s: the waiting job", row->name);
    if (!row->isRefused)
        return;
    fixture.submit(2, stepOf(1, 8000, Milliseconds(500)), Milliseconds(4000));
    cr_assert(fixture.answers.contains(2), "%s", row->name);
    for (const auto id : { 1, 2 }) {
        cr_expect(fixture.answers.at(id).status == WorkStatus::NotRun, "%s", row->name);
        cr_expect_eq(fixture.answers.at(id).reason, "no-server-fits", "%s", row->name);
        cr_expect_gt(fixture.answers.at(id).retryAfter.count(), 0, "%s: the server may grow again", row->name);
    }
    fixture.reportCapacity(0, agentCpu, agentCpu);
    fixture.submit(3, stepOf(1, 8000));
    cr_expect_eq(fixture.orders.size(), 1U, "%s: nothing stays refused", row->name);
}

/** A waiting job of a type whose agents have just restarted must not be refused before they know their servers. */
Test(Dispatcher, agentWithoutAServerRefusesNoWaitingJob)
{
    DispatcherFixture fixture(1);
    fixture.reportCapacity(0, agentCpu, 0);
    fixture.submit(1, stepOf(1, 8000, Milliseconds(500)), Milliseconds(4000));
    fixture.deliver(0, wire::RoomReportT());
    fixture.tick();
    cr_expect_not(fixture.answers.contains(1));
    fixture.reportCapacity(0, agentCpu, agentCpu);
    cr_expect_eq(fixture.orders.size(), 1U);
}

/** Orders on their way when a server shrinks take room that its report doesn't know of. */
Test(Dispatcher, ordersUnderWayCountAgainstAShrunkServer)
{
    DispatcherFixture fixture(1);
    fixture.submit(1, stepOf(1, 4000));
    fixture.submit(2, stepOf(1, 4000));
    cr_assert_eq(fixture.orders.size(), 2U);
    fixture.reportCapacity(0, 6000, 2000, 1); // The agent has seen the first of the two orders.
    cr_expect_eq(fixture.dispatcher.agents().front().free.cpu, -2000);
    cr_expect_eq(fixture.dispatcher.agents().front().total.cpu, 6000);
    fixture.submit(3, stepOf(1, 1000));
    cr_expect_eq(fixture.orders.size(), 2U);
    fixture.reportCapacity(0, 6000, 2000, 2); // It has refused the second one.
    cr_expect_eq(fixture.orders.size(), 3U);
}

struct IsolationRow {
    char name[40];
    bool hasOtherRoute; ///< Jobs of another route of the service arrive as well.
    bool isConfined; ///< Jobs of the route that crashes servers run on one of the servers only.
};

ParameterizedTestParameters(Dispatcher, isolationProtectsOtherRoutesOnly)
{
    static IsolationRow rows[] = {
        { "another route", true, true },
        { "no other route to protect", false, false },
    };
    return cr_make_param_array(IsolationRow, rows, sizeof(rows) / sizeof(IsolationRow));
}

ParameterizedTest(IsolationRow* row, Dispatcher, isolationProtectsOtherRoutesOnly)
{
    DispatcherFixture fixture(4);
    if (row->hasOtherRoute)
        fixture.submit(1, stepOf(1, 1000), Milliseconds(5000), 0, "other");
    fixture.submit(2, stepOf(1, 1000), Milliseconds(5000));
    fixture.reportCrashes(fixture.orders.back());
    cr_assert(fixture.answers.contains(2), "%s", row->name);
    cr_expect_eq(fixture.answers.at(2).reason, "crashes-servers", "%s", row->name);
    fixture.submit(3, stepOf(8, 1000), Milliseconds(5000));
    std::set<size_t> agents;
    for (const auto& [run, agent] : fixture.agentByRun) {
        if (run.task.job.number == 3)
            agents.insert(agent);
    }
    fixture.submit(4, stepOf(4, 5000), Milliseconds(5000));
    for (const auto& [run, agent] : fixture.agentByRun) {
        if (run.task.job.number == 4)
            agents.insert(agent);
    }
    cr_expect_eq(agents.size() == 1, row->isConfined, "%s: %zu servers", row->name, agents.size());
}

namespace {

/** Agents 0 and 1 are in the failure domain "a", 2 and 3 in "b". */
class EvacuationFixture : public DispatcherFixture {
public:
    EvacuationFixture()
        : DispatcherFixture(0)
    {
        for (size_t i = 0; i < 4; ++i)
            link(i, 0, i < 2 ? "a" : "b");
    }

    /** Agents that get the tasks of a job that fills all usable ones. */
    std::set<size_t> agentsOfNextJob()
    {
        const auto before = orders.size();
        submit(++m_lastJob, stepOf(4, agentCpu / 2 + 1));
        std::set<size_t> agents;
        for (size_t i = before; i < orders.size(); ++i)
            agents.insert(agentByRun.at(orders[i]));
        dispatcher.cancel(WorkId(m_lastJob), now);
        for (auto i = before; i < orders.size(); ++i)
            end(orders[i], wire::RunOutcome::Stopped);
        return agents;
    }

private:
    uint64_t m_lastJob = 1000;
};

} // namespace

struct EntryEvacuationRow {
    char name[56];
    char states[48]; ///< Store version and domains of each, as in "5:a,b 6:".
    char expected[8]; ///< Agents that get orders.
};

ParameterizedTestParameters(Dispatcher, ordersNothingFromAgentsOfEvacuatedDomains)
{
    static EntryEvacuationRow rows[] = {
        { "none", "5:", "0123" },
        { "one domain", "5:a", "23" },
        { "two domains", "5:a,b", "" },
        { "one of two withdrawn", "5:a,b 6:b", "01" },
        { "withdrawn", "5:a 6:", "0123" },
        { "repeated", "5:a 6: 7:a", "23" },
        { "an older answer of the store", "5:a 4:", "23" },
        { "an older request", "5: 4:a", "0123" },
        { "a domain without servers", "5:c", "0123" },
    };
    return cr_make_param_array(EntryEvacuationRow, rows, sizeof(rows) / sizeof(EntryEvacuationRow));
}

ParameterizedTest(EntryEvacuationRow* row, Dispatcher, ordersNothingFromAgentsOfEvacuatedDomains)
{
    EvacuationFixture fixture;
    std::istringstream states(row->states);
    for (std::string state; states >> state;) {
        std::vector<std::string> domains;
        std::istringstream list(state.substr(2));
        for (std::string domain; std::getline(list, domain, ',');)
            domains.push_back(domain);
        fixture.evacuate(std::stoull(state), domains);
    }
    std::string agents;
    for (const auto agent : fixture.agentsOfNextJob())
        agents += std::to_string(agent);
    cr_expect_eq(agents, std::string(row->expected), "%s: %s", row->name, agents.c_str());
}

Test(Dispatcher, agentsThatKnowTheMessageAreToldOfEvacuationsBeforeTheirOrders)
{
    EvacuationFixture fixture;
    cr_expect(fixture.evacuationsTold.empty(), "nothing is known yet");
    fixture.evacuate(5, { "a" });
    for (size_t i = 0; i < 4; ++i)
        cr_assert_eq(fixture.evacuationsTold[i].size(), 1U, "agent %zu", i);
    cr_expect_eq(fixture.evacuationsTold[3].back().version, 5U);
    cr_expect_eq(fixture.evacuationsTold[3].back().domains.size(), 1U);
    fixture.evacuate(8, { "a" });
    cr_expect_eq(fixture.evacuationsTold[0].back().version, 8U, "an agent must be able to ignore states before 8");
    fixture.evacuate(7, {});
    cr_expect_eq(fixture.evacuationsTold[0].size(), 2U, "older states are not told");
    fixture.takesEvacuations = false;
    fixture.link(2, 1, "b");
    cr_expect_eq(fixture.evacuationsTold[2].size(), 2U, "an agent of an earlier release would close the link");
    fixture.takesEvacuations = true;
    fixture.submit(1, stepOf(1, agentCpu)); // Waits for agent 4 if the others are full.
    fixture.submit(2, stepOf(1, agentCpu));
    const auto orders = fixture.orders.size();
    fixture.submit(3, stepOf(1, agentCpu));
    cr_assert_eq(fixture.orders.size(), orders);
    fixture.link(4, 0, "c");
    cr_expect_eq(fixture.evacuationsTold[4].size(), 1U);
    cr_expect_eq(fixture.agentOf(3), 4U);
}

/** A job that no usable server is large enough for would wait until its caller leaves. */
Test(Dispatcher, jobThatOnlyAnEvacuatedDomainCouldServeIsRefusedAtOnce)
{
    EvacuationFixture fixture;
    auto step = stepOf(1, agentCpu);
    step.requiredLabel = "label0";
    fixture.submit(1, step);
    fixture.submit(2, step);
    cr_assert_eq(fixture.orders.size(), 1U);
    fixture.evacuate(5, { "a" });
    cr_expect_not(fixture.answers.contains(1), "what runs goes on");
    cr_assert(fixture.answers.contains(2), "what waits is refused");
    fixture.submit(3, step);
    cr_assert(fixture.answers.contains(3), "what arrives is refused");
    for (const uint64_t id : { 2, 3 }) {
        cr_expect(fixture.answers.at(id).status == WorkStatus::NotRun);
        cr_expect_eq(fixture.answers.at(id).reason, "no-server-fits");
    }
    fixture.end(fixture.orders[0], wire::RunOutcome::Done);
    cr_expect(fixture.answers.at(1).status == WorkStatus::Succeeded);
    fixture.evacuate(6, {});
    fixture.submit(4, step);
    cr_expect_eq(fixture.agentOf(4), 0U);
}

/** The request arrives while agents are being discovered: no job is refused for want of them. */
Test(Dispatcher, evacuationDuringTheDiscoveryOfAgentsRefusesNoWaitingJob)
{
    DispatcherFixture fixture(0);
    Dispatcher starting({}, {},
        { [](const auto& candidates, const auto& request) { return choosePlacement(candidates, request, {}); },
            [](const auto& job, const auto& load) { return admit(job, load, {}); } });
    starting.tick(fixture.now);
    WorkSpec spec;
    spec.id = WorkId(1);
    spec.steps = { stepOf(1, 1000) };
    RoutePolicy route;
    route.service = "service";
    route.objective = Milliseconds(60);
    starting.submit(spec, route, { WaiterId(1), fixture.now, Milliseconds(2000) }, fixture.now);
    starting.setEvacuations({ "a" }, StoreVersion(5), "store", fixture.now);
    cr_expect(starting.isOpen(WorkId(1)));
}

/** The measured rate of finished work would show the loss only after about a second, in which too many jobs would be
 * admitted that can't be in time. */
Test(Dispatcher, admissionSeesTheCapacityOfAnEvacuatedDomainAtOnce)
{
    EvacuationFixture fixture;
    fixture.admitsAll = true;
    // Servers do half of their capacity: each run of 300 ms takes 600 ms. Always some jobs wait.
    uint64_t id = 0;
    for (int round = 0; round < 8; ++round) {
        for (int n = 0; n < (round == 0 ? 10 : 4); ++n)
            fixture.submit(++id, stepOf(1, agentCpu, Milliseconds(300)), Milliseconds(20000));
        fixture.advance(Milliseconds(600));
        const std::vector running(fixture.orders.end() - 4, fixture.orders.end());
        for (const auto& run : running)
            fixture.end(run, wire::RunOutcome::Done, Milliseconds(300));
    }
    fixture.tick();
    cr_expect_lt(fixture.lastCapacity, 3 * agentCpu, "the measured rate is in use: %f", fixture.lastCapacity);
    const auto before = fixture.lastCapacity;
    fixture.evacuate(5, { "a" });
    constexpr double tolerance = 0.01;
    cr_expect_float_eq(fixture.lastCapacity / before, 0.5, tolerance, "%f", fixture.lastCapacity / before);
    const auto halved = fixture.lastCapacity;
    for (const auto& run : std::vector(fixture.orders.end() - 4, fixture.orders.end())) {
        if (fixture.agentByRun.at(run) < 2)
            fixture.end(run, wire::RunOutcome::Done, Milliseconds(300));
    }
    fixture.tick();
    cr_expect_leq(fixture.lastCapacity, halved, "what ends in the evacuated domain shows no capacity");
    fixture.evacuate(6, {});
    cr_expect_float_eq(fixture.lastCapacity / before, 1.0, tolerance, "%f", fixture.lastCapacity / before);
}

/** The entries of an evacuated domain would otherwise prefer unusable agents only, and order from what others prefer.
 */
Test(Dispatcher, preferredAgentsAreChosenAmongUsableOnes)
{
    for (size_t position = 0; position < 2; ++position) {
        EvacuationFixture fixture;
        fixture.dispatcher.setEntries(2, position);
        fixture.tick();
        fixture.evacuate(5, { "a" });
        fixture.submit(1, stepOf(1, 1000));
        cr_expect_eq(fixture.agentOf(1), 2 + position, "entry %zu: agent %zu", position, fixture.agentOf(1));
    }
}

/** An entry without contact to the store learns of the evacuation from the reports of the gates. */
Test(Dispatcher, reportsOfEvacuatedGatesCountAsTheRequest)
{
    EvacuationFixture fixture;
    auto step = stepOf(1, agentCpu);
    step.requiredLabel = "label0";
    fixture.submit(1, step);
    fixture.submit(2, step);
    cr_assert_eq(fixture.orders.size(), 1U);
    fixture.reportEvacuated(0);
    cr_assert(fixture.answers.contains(2));
    cr_expect_eq(fixture.answers.at(2).reason, "no-server-fits");
    fixture.reportCapacity(0, agentCpu, agentCpu);
    fixture.submit(3, step);
    cr_expect_eq(fixture.agentOf(3), 0U, "the server is used again at once");
}

/** A task whose order a gate refused because of an evacuation avoided this server, and waited for the others. */
Test(Dispatcher, refusalByAnEvacuatedGateIsNoReasonToAvoidTheServer)
{
    EvacuationFixture fixture;
    fixture.evacuate(5, { "b" });
    fixture.submit(1, stepOf(2, agentCpu), Milliseconds(20000));
    cr_assert_eq(fixture.orders.size(), 2U);
    const auto refused = fixture.orders[0];
    const auto agent = fixture.agentByRun.at(refused);
    fixture.reportEvacuated(agent);
    fixture.end(refused, wire::RunOutcome::NotStarted, {}, wire::Refusal::Closed, 0, "evacuated");
    cr_assert_eq(fixture.orders.size(), 2U);
    fixture.reportCapacity(agent, agentCpu, agentCpu);
    cr_assert_eq(fixture.orders.size(), 3U, "the server is used again at once");
    cr_expect_eq(fixture.agentByRun.at(fixture.orders[2]), agent);
}

/** A run was stopped as a straggler although all other servers that could repeat it were evacuated. */
Test(Dispatcher, evacuatedAgentsAreNoAlternativesOfStragglers)
{
    DispatcherFixture fixture(0);
    fixture.link(0, 0, "a");
    fixture.submit(1, stepOf(1, 1000), Milliseconds(20000));
    cr_assert_eq(fixture.orders.size(), 1U);
    fixture.link(1, 0, "b");
    fixture.evacuate(5, { "b" });
    fixture.advance(Milliseconds(1000));
    cr_expect(fixture.stops.empty());
    fixture.evacuate(6, {});
    fixture.advance(Milliseconds(20));
    cr_expect_eq(fixture.stops.size(), 1U);
}

/** The servers chosen for isolated routes were unusable ones, and the jobs of these routes waited for them. */
Test(Dispatcher, isolatedRoutesGetUsableServers)
{
    EvacuationFixture fixture;
    fixture.submit(1, stepOf(1, 1000), Milliseconds(5000), 0, "other");
    fixture.submit(2, stepOf(1, 1000), Milliseconds(5000));
    fixture.reportCrashes(fixture.orders.back());
    fixture.submit(3, stepOf(1, 1000), Milliseconds(5000));
    const auto confined = fixture.agentOf(3);
    cr_assert_lt(confined, 4U);
    const bool isInA = confined < 2;
    fixture.evacuate(5, { isInA ? "a" : "b" });
    for (const auto& agent : fixture.dispatcher.agents())
        cr_expect(!agent.isForIsolatedRoutes || agent.isUsable(), "%s", agent.name.c_str());
    fixture.submit(4, stepOf(2, 1000), Milliseconds(5000));
    cr_assert_lt(fixture.agentOf(4), 4U);
    cr_expect_eq(fixture.agentOf(4) >= 2, isInA, "agent %zu", fixture.agentOf(4));
    fixture.submit(5, stepOf(1, 1000), Milliseconds(5000), 0, "other");
    cr_expect_neq(fixture.agentOf(5), fixture.agentOf(4), "the routes stay apart");
}
