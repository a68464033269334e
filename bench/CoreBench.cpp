/** @file CoreBench.cpp CPU time and memory of the entry and agent cores on one thread, by the number of agents, teams,
 * waiting tasks and records, with fitted lines. */
#include <sequoia/AgentCore.h>
#include <sequoia/EntryCore.h>

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <malloc.h>
#include <random>

using namespace sequoia;

namespace {

constexpr uint16_t slotsPerAgent = 8;
constexpr size_t tasksPerJob = 10;

size_t heapBytes() { return mallinfo2().uordblks; }

EntryCore makeCore()
{
    EntryLimits limits;
    limits.maxOpenJobs = 10000000;
    limits.maxQueuedTasks = 10000000;
    EntryHooks hooks;
    hooks.place = earliestFinish(responseFirst);
    hooks.revision = [] { return Revision(1); };
    hooks.checkVisit = [](const JobSpec&, const TaskSpec&) { return std::optional<VisitRefusal>(); };
    return { Incarnation(1), limits, std::move(hooks) };
}

/** An entry core with linked agents and a queue of constant length. */
class Load {
public:
    Load(size_t agents, size_t teams, size_t queue)
        : m_core(makeCore())
        , m_teams(teams)
        , m_queue(queue)
    {
        m_session = m_core.openSession(m_now);
        fill();
        for (size_t i = 0; i < agents; ++i)
            link(i);
    }

    /** Answers starts until `starts` are done; each answer grants the next start. Returns the seconds per start. */
    double run(size_t starts)
    {
        const auto begin = Clock::now();
        size_t done = 0;
        while (done < starts) {
            auto effects = m_core.takeEffects();
            std::vector<std::pair<LinkId, wire::TaskKey>> running;
            for (auto& effect : effects) {
                auto* send = std::get_if<SendMessage>(&effect);
                if (send != nullptr && send->body.type == wire::Body::Start)
                    running.emplace_back(send->link, *send->body.AsStart()->task);
            }
            for (const auto& [link, task] : running)
                answer(link, task);
            done += running.size();
            m_now += Milliseconds(1);
            fill();
        }
        return std::chrono::duration<double>(Clock::now() - begin).count() / static_cast<double>(done);
    }

    EntryCore& core() { return m_core; }

private:
    void link(size_t i)
    {
        wire::HelloT hello;
        hello.agent = fmt::format("agent-{}", i);
        hello.incarnation = i + 1;
        hello.http_address = "127.0.0.1:10000";
        m_core.agentLinked(LinkId(i + 1), hello, m_now);
        wire::OfferT offer;
        offer.grants = slotsPerAgent;
        wire::BodyUnion body;
        body.Set(offer);
        m_core.receive(LinkId(i + 1), body, m_now);
    }

    void answer(LinkId link, const wire::TaskKey& task)
    {
        wire::AnswerT answer;
        answer.task = std::make_unique<wire::TaskKey>(task);
        answer.outcome = wire::Outcome::Succeeded;
        answer.run_us = 200000 + static_cast<uint32_t>(raw(link) % 7) * 50000;
        answer.grants = 1;
        wire::BodyUnion body;
        body.Set(std::move(answer));
        m_core.receive(link, body, m_now);
    }

    void fill()
    {
        while (m_core.queuedTasks() < m_queue) {
            JobSpec spec;
            spec.key = { Incarnation(1), m_session, JobSequence(++m_jobs) };
            spec.team = fmt::format("team-{}", m_jobs % m_teams);
            spec.deadline = Milliseconds(600000);
            spec.digest = m_jobs;
            spec.tasks.resize(tasksPerJob);
            for (auto& task : spec.tasks) {
                task.payload = "{\"runMs\":200,\"token\":\"1-23-4\"}";
                task.declaredRunTime = Milliseconds(200);
            }
            m_core.submit(std::move(spec), WaiterId(m_jobs), m_now, CommandMode::Execute);
        }
    }

    EntryCore m_core;
    TimePoint m_now { std::chrono::hours(1) };
    SessionNumber m_session {};
    uint32_t m_jobs = 0;
    size_t m_teams;
    size_t m_queue;
};

/** Least-squares line through points, with the root mean square of the residuals. */
struct Fit {
    double offset = 0;
    double slope = 0;
    double error = 0;
};

Fit fitLine(const std::vector<double>& x, const std::vector<double>& y)
{
    const auto n = static_cast<double>(x.size());
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (size_t i = 0; i < x.size(); ++i) {
        sx += x[i];
        sy += y[i];
        sxx += x[i] * x[i];
        sxy += x[i] * y[i];
    }
    Fit fit;
    fit.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    fit.offset = (sy - fit.slope * sx) / n;
    for (size_t i = 0; i < x.size(); ++i)
        fit.error += std::pow(y[i] - fit.offset - fit.slope * x[i], 2) / n;
    fit.error = std::sqrt(fit.error);
    return fit;
}

constexpr size_t measuredStarts = 200000;

double startCost(size_t agents, size_t teams, size_t queue)
{
    constexpr int repeats = 3;
    double best = 1;
    for (int i = 0; i < repeats; ++i) {
        Load load(agents, teams, queue);
        load.run(measuredStarts / 10);
        best = std::min(best, load.run(measuredStarts));
    }
    return best;
}

void printSeries(const char* label, const std::vector<double>& sizes, const std::function<double(size_t)>& cost)
{
    std::vector<double> logs;
    std::vector<double> costs;
    for (const double n : sizes) {
        costs.push_back(cost(static_cast<size_t>(n)) * 1e6);
        logs.push_back(std::log2(n));
        fmt::print(
            "  {:<8} {:>8.0f}: {:.2f} us per start, {:.0f} starts/s\n", label, n, costs.back(), 1e6 / costs.back());
    }
    const auto fit = fitLine(logs, costs);
    fmt::print("  fit: {:.2f} us + {:.3f} us x log2({}), error {:.3f} us\n", fit.offset, fit.slope, label, fit.error);
}

void printMemory(const char* label, const std::vector<double>& sizes, const std::function<size_t(size_t)>& bytesFor)
{
    std::vector<double> bytes;
    for (const double n : sizes) {
        bytes.push_back(static_cast<double>(bytesFor(static_cast<size_t>(n))));
        fmt::print("  {:<16} {:>8.0f}: {:.0f} bytes\n", label, n, bytes.back());
    }
    const auto fit = fitLine(sizes, bytes);
    fmt::print(
        "  fit: {:.0f} bytes + {:.0f} bytes x {}, error {:.0f} bytes\n", fit.offset, fit.slope, label, fit.error);
}

size_t agentRecordBytes(size_t records)
{
    AgentLimits limits;
    AgentCore core(Incarnation(1), limits);
    const TimePoint now { std::chrono::hours(1) };
    wire::WelcomeT welcome;
    welcome.incarnation = 1;
    core.entryLinked(LinkId(1), welcome, now);
    core.backendAnnounced(slotsPerAgent, now);
    core.takeEffects();
    const size_t before = heapBytes();
    for (size_t i = 0; i < records; ++i) {
        const TaskKey task { { Incarnation(1), SessionNumber(1), JobSequence(i + 1) }, TaskIndex(0) };
        wire::StartT start;
        start.task = std::make_unique<wire::TaskKey>(toWire(task, Attempt(1)));
        start.agent_incarnation = 1;
        start.task_count = 1;
        wire::BodyUnion body;
        body.Set(std::move(start));
        core.receive(LinkId(1), body, now);
        core.backendFinished(
            task, { wire::Outcome::Succeeded, "", "an answer of thirty-two bytes...", Microseconds(1) }, now);
        core.takeEffects();
    }
    return heapBytes() - before;
}

/** CPU time of the ticks of an idle entry, in per cent of one processor core. */
double tickShare(size_t agents)
{
    constexpr int ticksPerSecond = 100;
    constexpr int seconds = 60;
    auto core = makeCore();
    TimePoint now { std::chrono::hours(1) };
    for (size_t i = 0; i < agents; ++i) {
        wire::HelloT hello;
        hello.agent = fmt::format("agent-{}", i);
        hello.incarnation = i + 1;
        core.agentLinked(LinkId(i + 1), hello, now);
    }
    core.takeEffects();
    const auto begin = Clock::now();
    for (int i = 0; i < ticksPerSecond * seconds; ++i) {
        now += Milliseconds(1000 / ticksPerSecond);
        core.tick(now);
        core.takeEffects();
        if (i % ticksPerSecond == 0) {
            // Heartbeats of the agents, at the interval that the entry requests.
            const auto due = agents * 1000 / static_cast<size_t>(core.heartbeatInterval().count()) + 1;
            wire::BodyUnion beat;
            beat.Set(wire::BeatT());
            for (size_t n = 0; n < due; ++n)
                core.receive(LinkId((static_cast<size_t>(i) / ticksPerSecond * due + n) % agents + 1), beat, now);
        }
    }
    return std::chrono::duration<double>(Clock::now() - begin).count() / seconds * 100;
}

} // namespace

int main()
{
    fmt::print("starts, 10 tasks per job, each answer grants the next start\n");
    fmt::print("target: 920 agents, 190 teams, 10,000 waiting tasks\n");
    const double cost = startCost(920, 190, 10000);
    fmt::print("  {:.2f} us per start, {:.0f} starts/s\n", cost * 1e6, 1 / cost);
    printSeries("agents", { 58, 115, 230, 460, 920 }, [](size_t n) { return startCost(n, 190, 10000); });
    printSeries("teams", { 12, 24, 48, 95, 190 }, [](size_t n) { return startCost(920, n, 10000); });
    printSeries("queue", { 1250, 2500, 5000, 10000, 20000 }, [](size_t n) { return startCost(920, 190, n); });
    fmt::print("ticks of an idle entry core, 100 per second\n");
    std::vector<double> agentCounts { 115, 230, 460, 920 };
    std::vector<double> shares;
    for (const double n : agentCounts) {
        shares.push_back(tickShare(static_cast<size_t>(n)));
        fmt::print("  agents {:>6.0f}: {:.3f} % of a core\n", n, shares.back());
    }
    const auto tickFit = fitLine(agentCounts, shares);
    fmt::print("  fit: {:.4f} % + {:.6f} % x agents, error {:.4f} %\n", tickFit.offset, tickFit.slope, tickFit.error);
    fmt::print("memory of an entry core\n");
    printMemory("linked agents", { 115, 230, 460, 920 }, [](size_t n) {
        const size_t before = heapBytes();
        Load load(n, 1, 0);
        load.core().takeEffects();
        return heapBytes() - before;
    });
    printMemory("waiting tasks", { 2500, 5000, 10000, 20000 }, [](size_t n) {
        const size_t before = heapBytes();
        Load load(0, 190, n);
        load.core().takeEffects();
        return heapBytes() - before;
    });
    printMemory("answered jobs", { 2500, 5000, 10000, 20000 }, [](size_t n) {
        const size_t before = heapBytes();
        Load load(10, 1, 100);
        load.run(n * tasksPerJob);
        load.core().takeEffects();
        return heapBytes() - before;
    });
    fmt::print("memory of an agent core\n");
    printMemory("records", { 1000, 2000, 4000, 8000 }, agentRecordBytes);
    return 0;
}
