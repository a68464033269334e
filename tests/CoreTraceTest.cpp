/**
 * @file CoreTraceTest.cpp Drives the entry and agent cores through random traces that model/dispatch.pml allows:
 * frames lost, duplicated, reordered and delayed, links replaced, agents restarted, and the entry that owns the jobs
 * killed while another one recovers them. Checks that no task runs twice and that every job gets one answer, which is
 * neither partial nor falsely "not run".
 */
#include <sequoia/AgentCore.h>
#include <sequoia/EntryCore.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstdlib>
#include <deque>
#include <memory>
#include <random>

using namespace sequoia;

namespace {

constexpr size_t agentCount = 3;
constexpr size_t entryCount = 2;
constexpr size_t jobCount = 6;

/** Number of random traces, and the probability of each fault in per mille of the steps, frames or tasks. */
struct TraceRow {
    char name[32];
    unsigned traces;
    unsigned loseLink;
    unsigned duplicate;
    unsigned reorder;
    unsigned restartAgent;
    unsigned killOwner;
    unsigned cancel;
    unsigned drain;
    unsigned failTask;
};

/** A frame that was sent but not received yet. */
struct FrameInFlight {
    size_t entry = 0;
    size_t agent = 0;
    uint32_t epoch = 0; ///< Connection on which it was sent; see Trace::m_epochs.
    bool isToAgent = false;
    wire::BodyUnion body;
};

/** One random trace, with the state that the checks need. */
class Trace {
public:
    Trace(const TraceRow& row, unsigned seed)
        : m_row(row)
        , m_random(seed)
    {
        for (size_t i = 0; i < entryCount; ++i)
            startEntry(i);
        for (size_t i = 0; i < agentCount; ++i)
            startAgent(i);
        for (size_t e = 0; e < entryCount; ++e) {
            for (size_t a = 0; a < agentCount; ++a)
                link(e, a);
        }
    }

    void run()
    {
        const auto session = m_entries[0].core->openSession(m_now);
        for (size_t i = 0; i < jobCount; ++i)
            submit(session, i);
        for (int step = 0; step < 1500; ++step)
            doStep();
        if (m_isOwnerDead)
            recoverAll();
        finishAllJobs();
        check();
    }

private:
    struct EntryState {
        std::unique_ptr<EntryCore> core;
        Incarnation incarnation {};
    };
    struct AgentState {
        std::unique_ptr<AgentCore> core;
        Incarnation incarnation {};
        std::vector<TaskKey> running;
    };
    struct ObservedJob {
        JobSpec spec;
        JobAnswerPtr answer; ///< First answer that was delivered.
        bool isAnswerChangeAllowed = false; ///< An agent restart has lost records, so a second answer may differ.
    };

    bool chance(unsigned perMille) { return m_random() % 1000 < perMille; }

    void startEntry(size_t e)
    {
        EntryLimits limits;
        limits.retryAttempts = 50;
        EntryHooks hooks;
        hooks.place = fastestGrant();
        hooks.revision = [] { return Revision(1); };
        hooks.checkVisit = [](const JobSpec&, const TaskSpec&) { return std::optional<VisitRefusal>(); };
        m_entries[e].incarnation = Incarnation(++m_nextIncarnation);
        m_entries[e].core = std::make_unique<EntryCore>(m_entries[e].incarnation, limits, hooks);
    }

    void startAgent(size_t a)
    {
        AgentLimits limits;
        limits.quarantineFailures = 1000;
        m_agents[a].incarnation = Incarnation(++m_nextIncarnation);
        m_agents[a].core = std::make_unique<AgentCore>(m_agents[a].incarnation, limits);
        m_agents[a].running.clear();
        m_agents[a].core->backendAnnounced(2, m_now);
    }

    LinkId linkId(size_t e, size_t a) const { return LinkId(1 + m_epochs[e][a] * 100 + e * 10 + a); }

    void link(size_t e, size_t a)
    {
        if (e == 0 && m_isOwnerDead)
            return;
        const auto old = linkId(e, a);
        m_entries[e].core->linkClosed(old, m_now);
        m_agents[a].core->linkClosed(old, m_now);
        ++m_epochs[e][a];
        wire::HelloT hello;
        hello.agent = "agent" + std::to_string(a);
        hello.incarnation = raw(m_agents[a].incarnation);
        wire::WelcomeT welcome;
        welcome.incarnation = raw(m_entries[e].incarnation);
        m_entries[e].core->agentLinked(linkId(e, a), hello, m_now);
        m_agents[a].core->entryLinked(linkId(e, a), welcome, m_now);
        collect();
    }

    void submit(SessionNumber session, size_t i)
    {
        JobSpec spec;
        spec.key = { m_entries[0].incarnation, session, JobSequence(i + 1) };
        spec.team = "t";
        spec.deadline = Milliseconds(20000);
        spec.digest = i;
        spec.tasks.resize(1 + m_random() % 3);
        m_jobs[spec.key].spec = spec;
        m_entries[0].core->submit(spec, WaiterId(i), m_now, CommandMode::Execute);
        collect();
    }

    void collect()
    {
        for (size_t e = 0; e < entryCount; ++e) {
            if (e == 0 && m_isOwnerDead)
                continue;
            for (auto& effect : m_entries[e].core->takeEffects())
                fromEntry(e, effect);
        }
        for (size_t a = 0; a < agentCount; ++a) {
            for (auto& effect : m_agents[a].core->takeEffects())
                fromAgent(a, effect);
        }
    }

    void fromEntry(size_t e, Effect& effect)
    {
        if (auto* send = std::get_if<SendMessage>(&effect)) {
            for (size_t a = 0; a < agentCount; ++a) {
                if (send->link == linkId(e, a))
                    m_framesInFlight.push_back({ e, a, m_epochs[e][a], true, std::move(send->body) });
            }
        } else if (auto* answer = std::get_if<DeliverAnswer>(&effect)) {
            answered(answer->job, answer->answer);
        }
    }

    void fromAgent(size_t a, Effect& effect)
    {
        if (auto* send = std::get_if<SendMessage>(&effect)) {
            for (size_t e = 0; e < entryCount; ++e) {
                if (send->link == linkId(e, a))
                    m_framesInFlight.push_back({ e, a, m_epochs[e][a], false, std::move(send->body) });
            }
        } else if (auto* call = std::get_if<CallBackend>(&effect)) {
            ++m_starts[call->task];
            cr_assert_eq(
                m_starts[call->task], 1U, "%s: task %s started twice", m_row.name, toString(call->task).c_str());
            const auto& observed = m_jobs[call->task.job];
            cr_assert(!observed.answer || !observed.answer->isNotRun, "%s: start after \"not run\"", m_row.name);
            m_agents[a].running.push_back(call->task);
        }
    }

    void answered(const JobKey& key, const JobAnswerPtr& answer)
    {
        auto& observed = m_jobs[key];
        if (answer->status == JobStatus::Complete)
            cr_assert_eq(answer->answers.size(), observed.spec.tasks.size(), "%s: partial answer", m_row.name);
        if (answer->isNotRun) {
            for (const auto& [task, n] : m_starts)
                cr_assert(task.job != key, "%s: false \"not run\"", m_row.name);
        }
        if (observed.answer && !observed.isAnswerChangeAllowed)
            cr_assert(observed.answer->status == answer->status, "%s: two answers for job %s", m_row.name,
                toString(key).c_str());
        if (!observed.answer)
            observed.answer = answer;
    }

    void doStep()
    {
        m_now += Milliseconds(m_random() % 20);
        if (!m_framesInFlight.empty() && chance(700))
            deliver();
        else if (chance(500))
            finishTask();
        if (chance(m_row.loseLink))
            link(m_random() % entryCount, m_random() % agentCount);
        if (chance(m_row.restartAgent))
            restartAgent(m_random() % agentCount);
        if (!m_isOwnerDead && chance(m_row.killOwner))
            killOwner();
        if (!m_isOwnerDead && chance(m_row.cancel)) {
            auto it = m_jobs.begin();
            std::advance(it, static_cast<std::ptrdiff_t>(m_random() % m_jobs.size()));
            m_entries[0].core->cancel(it->first, m_now, CommandMode::Execute);
        }
        if (chance(m_row.drain)) {
            auto& agent = *m_agents[m_random() % agentCount].core;
            if (agent.isDraining())
                agent.resume(m_now);
            else
                agent.drain(m_now);
        }
        // Recovers a job whose owner is still running, as when the owner is unreachable only.
        if (!m_isOwnerDead && m_row.killOwner > 0 && chance(2))
            m_entries[1].core->recover(anyJob(), false, WaiterId(++m_nextWaiter), m_now);
        collect();
        tick();
    }

    const JobKey& anyJob()
    {
        auto it = m_jobs.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(m_random() % m_jobs.size()));
        return it->first;
    }

    void deliver()
    {
        const size_t n = chance(m_row.reorder) ? m_random() % m_framesInFlight.size() : 0;
        const auto frame = m_framesInFlight[n];
        const bool isDuplicated = chance(m_row.duplicate);
        if (!isDuplicated)
            m_framesInFlight.erase(m_framesInFlight.begin() + static_cast<std::ptrdiff_t>(n));
        // Frames of a replaced connection are lost.
        if (frame.epoch != m_epochs[frame.entry][frame.agent]
            || (frame.entry == 0 && m_isOwnerDead && !frame.isToAgent))
            return;
        const auto id = linkId(frame.entry, frame.agent);
        if (frame.isToAgent)
            m_agents[frame.agent].core->receive(id, frame.body, m_now);
        else
            m_entries[frame.entry].core->receive(id, frame.body, m_now);
    }

    void finishTask()
    {
        auto& agent = m_agents[m_random() % agentCount];
        if (agent.running.empty())
            return;
        const size_t n = m_random() % agent.running.size();
        const auto task = agent.running[n];
        agent.running.erase(agent.running.begin() + static_cast<std::ptrdiff_t>(n));
        BackendResult result;
        result.outcome = chance(m_row.failTask) ? wire::Outcome::Failed : wire::Outcome::Succeeded;
        result.body = toString(task);
        agent.core->backendFinished(task, result, m_now);
    }

    void restartAgent(size_t a)
    {
        for (const auto& [task, n] : m_starts)
            m_jobs[task.job].isAnswerChangeAllowed = true;
        for (auto& [key, observed] : m_jobs)
            observed.isAnswerChangeAllowed = true;
        startAgent(a);
        for (size_t e = 0; e < entryCount; ++e)
            link(e, a);
    }

    void killOwner()
    {
        m_isOwnerDead = true;
        for (size_t a = 0; a < agentCount; ++a)
            m_agents[a].core->linkClosed(linkId(0, a), m_now);
        collect();
        recoverAll();
    }

    void recoverAll()
    {
        for (const auto& [key, observed] : m_jobs)
            m_entries[1].core->recover(key, true, WaiterId(++m_nextWaiter), m_now);
        collect();
    }

    void tick()
    {
        for (size_t e = m_isOwnerDead ? 1 : 0; e < entryCount; ++e)
            m_entries[e].core->tick(m_now);
        for (auto& agent : m_agents)
            agent.core->tick(m_now);
        collect();
    }

    /** Stops all faults and runs until all jobs can have finished. */
    void finishAllJobs()
    {
        for (auto& agent : m_agents) {
            if (agent.core->isDraining())
                agent.core->resume(m_now);
        }
        for (size_t e = 0; e < entryCount; ++e) {
            for (size_t a = 0; a < agentCount; ++a)
                link(e, a);
        }
        for (int i = 0; i < 4000; ++i) {
            m_now += Milliseconds(10);
            while (!m_framesInFlight.empty())
                deliverInOrder();
            finishTask();
            collect();
            tick();
        }
    }

    void deliverInOrder()
    {
        const auto frame = m_framesInFlight.front();
        m_framesInFlight.pop_front();
        const bool isLost = frame.epoch != m_epochs[frame.entry][frame.agent] || (frame.entry == 0 && m_isOwnerDead);
        if (isLost)
            return;
        const auto id = linkId(frame.entry, frame.agent);
        if (frame.isToAgent)
            m_agents[frame.agent].core->receive(id, frame.body, m_now);
        else
            m_entries[frame.entry].core->receive(id, frame.body, m_now);
        collect();
    }

    void check()
    {
        for (const auto& [key, observed] : m_jobs)
            cr_assert(observed.answer != nullptr, "%s: job %s has no answer", m_row.name, toString(key).c_str());
    }

    const TraceRow& m_row;
    std::mt19937 m_random;
    TimePoint m_now { std::chrono::hours(1) };
    EntryState m_entries[entryCount];
    AgentState m_agents[agentCount];
    uint32_t m_epochs[entryCount][agentCount] {};
    std::deque<FrameInFlight> m_framesInFlight;
    std::map<JobKey, ObservedJob> m_jobs;
    std::map<TaskKey, unsigned> m_starts;
    bool m_isOwnerDead = false;
    uint64_t m_nextIncarnation = 0;
    uint64_t m_nextWaiter = 1000;
};

} // namespace

ParameterizedTestParameters(CoreTrace, invariantsHold)
{
    static TraceRow rows[] = {
        { "quiet", 20, 0, 0, 0, 0, 0, 0, 0, 0 },
        { "failing-tasks", 50, 0, 0, 0, 0, 0, 0, 0, 100 },
        { "replaced-links", 200, 30, 0, 0, 0, 0, 0, 0, 0 },
        { "doubled-frames", 200, 0, 200, 0, 0, 0, 0, 0, 0 },
        { "shuffled-frames", 200, 5, 100, 400, 0, 0, 0, 0, 0 },
        { "restarted-agents", 200, 5, 0, 0, 5, 0, 0, 0, 0 },
        { "killed-home", 300, 5, 50, 100, 0, 8, 0, 0, 50 },
        { "cancelled", 200, 5, 50, 100, 0, 0, 20, 0, 0 },
        { "cancelled-killed", 300, 5, 50, 100, 0, 5, 10, 0, 20 },
        { "drained", 200, 5, 0, 0, 0, 0, 0, 20, 0 },
        { "everything", 400, 10, 100, 200, 3, 3, 5, 10, 30 },
    };
    return cr_make_param_array(TraceRow, rows, sizeof(rows) / sizeof(TraceRow));
}

ParameterizedTest(TraceRow* row, CoreTrace, invariantsHold, .timeout = 120)
{
    const char* factor = std::getenv("SEQUOIA_TRACES");
    const unsigned traces = row->traces * (factor == nullptr ? 1 : static_cast<unsigned>(std::atoi(factor)));
    for (unsigned seed = 1; seed <= traces; ++seed)
        Trace(*row, seed).run();
}
