/** @file ClusterSimulation.cpp Implementation of the simulation: event queue, servers, connections, callers. */
#include "ClusterSimulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <numeric>

namespace sequoia::test {

namespace {

    using FloatMs = std::chrono::duration<double, std::milli>;

    constexpr double lateFactor = 3; // An answer is worthless after this many times the objective.
    const TimePoint simulationStart { std::chrono::seconds(1000) };

    TimePoint at(Milliseconds ms) { return simulationStart + ms; }

    /** Events ordered by time. */
    class EventQueue {
    public:
        void add(TimePoint when, std::function<void()> action)
        {
            m_events.push({ when, ++m_number, std::move(action) });
        }
        TimePoint now() const { return m_now; }
        void run(TimePoint until)
        {
            while (!m_events.empty() && m_events.top().when <= until) {
                auto event = std::move(const_cast<Event&>(m_events.top()));
                m_events.pop();
                m_now = event.when;
                event.action();
            }
        }

    private:
        struct Event {
            TimePoint when;
            uint64_t number;
            std::function<void()> action;
            bool operator<(const Event& other) const
            {
                return std::pair(when, number) > std::pair(other.when, other.number);
            }
        };
        std::priority_queue<Event> m_events;
        uint64_t m_number = 0;
        TimePoint m_now = simulationStart;
    };

    /** A submitted job with its true work, which the code under test does not know. */
    struct SimulatedJob {
        size_t kind = 0;
        size_t failureDomain = 0;
        TimePoint sent {};
        std::vector<Milliseconds> work; ///< By task, at slowness 1.
        Resources resources;
        Milliseconds estimate {};
        FloatMs objective {}; ///< Latency objective, from the true work.
        bool alwaysFails = false;
        std::optional<size_t> crashingTask; ///< Crashes the servers that start it.
        bool isAnswered = false;
        double value = 0;
        double size = 0; ///< Work relative to the mean of its kind.
        bool isServed = false;
    };

    class ClusterSimulation;

    /** Simulated backend server: runs, numbered ends of runs, lease, restarts. */
    class SimulatedServer {
    public:
        SimulatedServer(ClusterSimulation& simulation, size_t index, Resources total, double slowness)
            : m_simulation(simulation)
            , m_index(index)
            , m_size(total)
            , m_total(total)
            , m_judgedTotal(total)
            , m_slowness(slowness)
        {
        }

        StartOutcome start(const RunId& id, int64_t fence, TimePoint leaseEnd);
        void stop(const RunId& id, int64_t fence);
        /** False for a call with a lower fence than an earlier call had. */
        bool acceptsFence(int64_t fence);
        Listing listing(uint64_t seenUpTo);
        /** The server's own clock, which starts at zero when it restarts. */
        Milliseconds clock() const;
        void setClockBegin(Milliseconds begin) { m_clockBegin = begin; }
        void renew(TimePoint leaseEnd);
        /** The present runs take longer from now on; none of them fails. */
        void slowRunsDown(double factor);
        /** Changes the capacity to a part of the server's size. A smaller one is judged once it was announced. */
        void scale(double factor);
        /** The agent was told the present capacity: starts that arrive from now on must fit. */
        void judgeTotal() { m_judgedTotal = m_total; }
        /** Ends all runs if the lease has ended. */
        void endRunsOfEndedLease();
        void crash();
        void restart();

        Resources total() const { return m_total; }
        Resources used() const { return m_used; }
        bool isUp() const { return m_isUp; }
        int64_t startedMs() const { return m_startedMs; }
        /** An agent's poll has brought the present process its fence. */
        bool hasFencedPoll() const { return m_hasFencedPoll; }
        void receivedPoll(int64_t fence) { m_hasFencedPoll |= fence > 0; }
        bool hasEndAfter(uint64_t number) const { return !m_ended.empty() && m_ended.back().number > number; }
        bool isUnreachable = false;
        bool isHanging = false;
        bool isFailing = false;
        double slowFactor = 1;
        std::vector<std::function<void()>> onEnd; ///< Completes the waiting polls.

    private:
        void end(const RunId& id, uint64_t token, EndKind kind);

        ClusterSimulation& m_simulation;
        size_t m_index;
        Resources m_size;
        Resources m_total;
        Resources m_judgedTotal; ///< The capacity that the agent knows, or a larger present one.
        double m_slowness;
        bool m_isUp = true;
        int64_t m_startedMs = 1;
        struct Run {
            Resources resources;
            uint64_t token;
            TimePoint started {};
            Milliseconds time {}; ///< Zero if it makes no progress.
            double doneBefore = 0; ///< Share of the task that was done at `started`.
        };
        double doneShareOf(const Run& run) const;
        std::map<RunId, Run> m_runs;
        std::map<TaskId, RunNumber> m_highest; ///< Highest run stopped or ended, by task.
        std::vector<ListedEnd> m_ended;
        uint64_t m_lastEndNumber = 0;
        uint64_t m_lastToken = 0;
        Resources m_used;
        TimePoint m_leaseEnd {};
        TimePoint m_startedAt {};
        Milliseconds m_clockBegin {};
        int64_t m_fence = 0; ///< Highest fence seen since the last restart.
        bool m_hasFencedPoll = false;
    };

    /** A connection between an entry and an agent. */
    struct Connection {
        size_t entry = 0;
        size_t agent = 0;
        bool isOpen = true;
        Milliseconds delay {}; ///< Of the messages to the agent, in addition to that of all links.
    };

    class ClusterSimulation {
    public:
        ClusterSimulation(const Scenario& scenario, const SimulationTuning& tuning)
            : m_scenario(scenario)
            , m_tuning(tuning)
            , m_generator(scenario.seed)
        {
            for (size_t i = 0; i < scenario.servers; ++i) {
                const auto size = scenario.sizes[i % scenario.sizes.size()];
                const Resources total { static_cast<int64_t>(static_cast<double>(scenario.serverCpu) * size), 1 << 20,
                    0 };
                m_servers.push_back(std::make_unique<SimulatedServer>(
                    *this, i, total, scenario.slowness[i % scenario.slowness.size()]));
                m_servers.back()->setClockBegin(scenario.firstClockBegin);
                m_gateIncarnations.push_back(0);
                m_gates.emplace_back();
                startGate(i);
            }
            m_entries.resize(scenario.entries);
            m_incarnations.resize(scenario.entries);
            m_isPartitioned.resize(scenario.entries);
            m_suspendedUntil.resize(scenario.servers);
            m_entrySuspendedUntil.resize(scenario.entries);
            m_callerArrivals.resize(scenario.entries);
            for (size_t i = 0; i < scenario.entries; ++i)
                startEntry(i);
            const auto seconds = static_cast<size_t>(scenario.length.count() / 1000 + 5);
            m_report.offeredValueBySecond.resize(seconds);
            m_report.earnedValueBySecond.resize(seconds);
        }

        SimulationReport run();

        EventQueue events;

        SimulatedJob& job(WorkId id) { return m_jobs.at(id); }
        bool listsPercent() const { return m_scenario.listsPercent; }
        bool guardsCapacity() const { return m_scenario.guardsCapacity; }
        void countStartWithoutRoom() { ++m_report.startsWithoutRoom; }
        bool chance(double share) { return share > 0 && std::uniform_real_distribution<>(0, 1)(m_generator) < share; }

        void taskBegins(const TaskId& task, size_t server)
        {
            const auto domain = server % m_scenario.failureDomains;
            auto& starts = m_report.startsByDomainAndSecond[domain];
            starts.resize(m_report.offeredValueBySecond.size());
            ++starts.at(static_cast<size_t>(toMilliseconds(events.now() - simulationStart).count() / 1000));
            const auto evacuated = m_evacuated.find(domain);
            if (evacuated != m_evacuated.end() && events.now() > evacuated->second + m_scenario.evacuationBound)
                violation(fmt::format("task {} was started in the evacuated domain {}", toString(task), domain));
            auto& places = m_runningOn[task];
            if (!places.empty())
                violation(fmt::format(
                    "task {} runs on servers {} and {} at the same time", toString(task), *places.begin(), server));
            places.insert(server);
        }
        void taskEnds(const TaskId& task, size_t server) { m_runningOn[task].erase(server); }
        /** A task that crashes servers was started. */
        void crashLater(size_t server, const TaskId& task)
        {
            constexpr uint32_t maxCrashes = 3;
            const auto& crashes = m_crashes[task];
            if (crashes >= maxCrashes)
                violation(fmt::format("task {} was started after {} crashes", toString(task), crashes));
            const auto startedMs = m_servers[server]->startedMs();
            events.add(events.now() + m_scenario.crashDelay, [this, server, task, startedMs] {
                auto& crashed = *m_servers[server];
                if (!crashed.isUp() || crashed.startedMs() != startedMs || !m_runningOn[task].contains(server))
                    return;
                ++m_report.crashes;
                m_report.mostCrashes = std::max(m_report.mostCrashes, ++m_crashes[task]);
                crashed.crash();
                events.add(events.now() + m_scenario.crashLength, [&crashed] { crashed.restart(); });
            });
        }
        void violation(std::string text)
        {
            m_report.violations.push_back(
                fmt::format("{} ms: {}", toMilliseconds(events.now() - simulationStart).count(), text));
        }

    private:
        void startEntry(size_t i);
        void startGate(size_t i);
        /** The operators request the evacuation of a failure domain, or withdraw the request. */
        void changeEvacuation(size_t domain, bool isRequested);
        /** An entry lists the store, or gets the answer to a watch. */
        void readStore(size_t entry);
        std::vector<std::string> evacuatedDomains() const;
        void killEntry(size_t i, Milliseconds downTime);
        void killGate(size_t i, Milliseconds downTime);
        void losePower();
        void resetConnections(size_t entry);
        void resubmit(WorkId id, size_t entry, Milliseconds delay = resendDelay);
        void announce(size_t i);
        /** Calls `action` for the gate of an agent, after the suspension of its process, unless the process has ended.
         */
        void withGate(size_t agent, std::function<void(RunGate&)> action);
        bool isSuspended(size_t agent) const { return m_suspendedUntil[agent] > events.now(); }
        /** Calls `action` for an entry, after the suspension of its process, unless the process has ended. */
        void withEntry(size_t entry, std::function<void(Dispatcher&)> action);
        bool isEntrySuspended(size_t entry) const { return m_entrySuspendedUntil[entry] > events.now(); }
        /** An entry reads something of a caller once it has read what came before. `read` gets the earliest time at
         * which it may have come, as far as the entry knows. */
        void arriveFromCaller(size_t entry, std::function<void(Dispatcher&, TimePoint arrival)> read);
        void readNextOfCallers(size_t entry);
        void link(size_t entry, size_t agent);
        void closeLink(LinkId id, bool byEntry);
        /** When a message that is sent now on a connection arrives. */
        TimePoint arrivalOn(const Connection& connection) const;
        void stallLinks(size_t entry);
        void slowLinksDown(size_t entry);
        bool isCut(const Connection& connection) const;
        void sendToAgent(SendMessage message);
        void sendToEntry(SendMessage message);
        void applyEntryEffects(size_t i);
        void applyGateEffects(size_t i);
        void scheduleArrival(size_t kind);
        /** Entry that the load balancer chooses for a request. */
        size_t drawEntry();
        double rate(size_t kind) const;
        void submit(WorkId id, size_t entry);
        void answered(WorkId id, const WorkAnswer& answer);
        /** Carries out a call of an agent to its server, perhaps after a delay. */
        void call(size_t agent, std::function<void()> send);
        void startRun(size_t i, const StartRun& action);
        void stopRun(size_t i, const StopRun& action);
        void poll(size_t i, const PollServer& action);
        void ping(size_t i);
        void measureStranded();

        const Scenario& m_scenario;
        SimulationTuning m_tuning;
        std::mt19937_64 m_generator;
        std::vector<std::unique_ptr<SimulatedServer>> m_servers;
        std::vector<std::unique_ptr<RunGate>> m_gates;
        std::vector<std::unique_ptr<Dispatcher>> m_entries;
        std::vector<uint64_t> m_incarnations;
        std::vector<uint64_t> m_gateIncarnations;
        uint64_t m_lastGateIncarnation = 100;
        std::vector<bool> m_isPartitioned;
        std::vector<TimePoint> m_suspendedUntil; ///< By agent.
        std::vector<TimePoint> m_entrySuspendedUntil;
        struct Arrival {
            TimePoint earliest {};
            std::function<void(Dispatcher&, TimePoint arrival)> read;
        };
        std::vector<std::deque<Arrival>> m_callerArrivals; ///< By entry; what it hasn't read yet.
        std::map<std::pair<size_t, size_t>, TimePoint> m_stalledUntil; ///< By entry and agent.
        std::map<std::pair<size_t, size_t>, TimePoint> m_slowUntil; ///< By entry and agent; cut for 3 s from then on.
        std::map<LinkId, Connection> m_connections;
        uint32_t m_lastLink = 0;
        uint64_t m_lastJob = 0;
        uint64_t m_lastWaiter = 0;
        std::map<WaiterId, size_t> m_waiters;
        std::map<WorkId, SimulatedJob> m_jobs;
        std::map<TaskId, std::set<size_t>> m_runningOn;
        std::set<std::pair<size_t, RunId>> m_toldResults; ///< Runs that are over, as their agent has told an entry.
        std::map<TaskId, uint32_t> m_crashes; ///< Servers that each task has crashed.
        std::map<size_t, TimePoint> m_evacuated; ///< Evacuated failure domains, and since when.
        uint64_t m_storeVersion = 1;
        uint64_t m_pings = 0;
        double m_stranded = 0;
        size_t m_strandedSamples = 0;
        SimulationReport m_report;
    };

    Milliseconds SimulatedServer::clock() const
    {
        return m_clockBegin + toMilliseconds(m_simulation.events.now() - m_startedAt);
    }

    bool SimulatedServer::acceptsFence(int64_t fence)
    {
        if (fence < m_fence)
            return false;
        m_fence = fence;
        return true;
    }

    StartOutcome SimulatedServer::start(const RunId& id, int64_t fence, TimePoint leaseEnd)
    {
        if (!acceptsFence(fence))
            return StartOutcome::OtherIncarnation;
        if (m_runs.contains(id))
            return StartOutcome::Started;
        if (const auto it = m_highest.find(id.task); it != m_highest.end() && id.run <= it->second)
            return StartOutcome::RunTooLow;
        // A start that arrives after the end of its lease takes effect if the server's lease was renewed meanwhile: the
        // worst case that the platform's rules allow.
        if (std::max(leaseEnd, m_leaseEnd) <= m_simulation.events.now())
            return StartOutcome::Expired;
        renew(leaseEnd);
        auto& job = m_simulation.job(id.task.job);
        if (m_simulation.guardsCapacity() && !(m_used + job.resources).fitsIn(m_total)) {
            m_simulation.countStartWithoutRoom();
            return StartOutcome::NoRoom;
        }
        m_used += job.resources;
        if (!m_used.fitsIn(m_judgedTotal))
            m_simulation.violation(fmt::format("server {} overcommitted: {}", m_index, toString(m_used)));
        m_simulation.taskBegins(id.task, m_index);
        const auto token = ++m_lastToken;
        m_runs[id] = { job.resources, token, m_simulation.events.now() };
        if (job.crashingTask == raw(id.task.index))
            m_simulation.crashLater(m_index, id.task);
        if (isHanging)
            return StartOutcome::Started;
        const bool fails = job.alwaysFails || isFailing;
        const auto work = FloatMs(job.work.at(raw(id.task.index))) * m_slowness * slowFactor;
        const auto time = isFailing ? Milliseconds(5) : toMilliseconds(job.alwaysFails ? work / 2 : work);
        m_runs[id].time = time;
        m_simulation.events.add(m_simulation.events.now() + time,
            [this, id, token, fails] { end(id, token, fails ? EndKind::Failed : EndKind::Done); });
        return StartOutcome::Started;
    }

    void SimulatedServer::end(const RunId& id, uint64_t token, EndKind kind)
    {
        const auto it = m_runs.find(id);
        if (it == m_runs.end() || it->second.token != token)
            return;
        m_used -= it->second.resources;
        m_runs.erase(it);
        m_simulation.taskEnds(id.task, m_index);
        m_highest[id.task] = std::max(m_highest[id.task], id.run);
        m_ended.push_back({ ++m_lastEndNumber, id, kind });
        for (const auto& completePoll : std::exchange(onEnd, {}))
            completePoll();
    }

    void SimulatedServer::stop(const RunId& id, int64_t fence)
    {
        if (!acceptsFence(fence))
            return;
        m_highest[id.task] = std::max(m_highest[id.task], id.run);
        const auto it = m_runs.find(id);
        if (it == m_runs.end())
            return;
        const auto token = it->second.token;
        m_simulation.events.add(
            m_simulation.events.now() + Milliseconds(40), [this, id, token] { end(id, token, EndKind::Stopped); });
    }

    Listing SimulatedServer::listing(uint64_t seenUpTo)
    {
        std::erase_if(m_ended, [&](const ListedEnd& end) { return end.number <= seenUpTo; });
        Listing out;
        out.startedMs = m_startedMs;
        out.clock = clock();
        const auto percentOf = [&](const Run& run) -> std::optional<uint32_t> {
            if (!m_simulation.listsPercent())
                return std::nullopt;
            return static_cast<uint32_t>(100 * doneShareOf(run));
        };
        for (const auto& [id, run] : m_runs)
            out.running.push_back({ id, percentOf(run) });
        out.ended = m_ended;
        return out;
    }

    void SimulatedServer::renew(TimePoint leaseEnd)
    {
        endRunsOfEndedLease();
        if (leaseEnd <= m_leaseEnd)
            return;
        m_leaseEnd = leaseEnd;
        m_simulation.events.add(leaseEnd, [this] { endRunsOfEndedLease(); });
    }

    void SimulatedServer::endRunsOfEndedLease()
    {
        if (m_simulation.events.now() < m_leaseEnd)
            return;
        while (!m_runs.empty())
            end(m_runs.begin()->first, m_runs.begin()->second.token, EndKind::Lapsed);
    }

    double SimulatedServer::doneShareOf(const Run& run) const
    {
        return run.time.count() == 0
            ? 0
            : run.doneBefore + FloatMs(m_simulation.events.now() - run.started) / FloatMs(run.time);
    }

    void SimulatedServer::slowRunsDown(double factor)
    {
        for (auto& [id, run] : m_runs) {
            run.doneBefore = doneShareOf(run);
            run.started = m_simulation.events.now();
            run.time = toMilliseconds(run.time * factor);
            run.token = ++m_lastToken;
            m_simulation.events.add(run.started + toMicroseconds(run.time * (1 - run.doneBefore)),
                [this, id = id, token = run.token] { end(id, token, EndKind::Done); });
        }
    }

    void SimulatedServer::scale(double factor)
    {
        m_total = { static_cast<int64_t>(static_cast<double>(m_size.cpu) * factor),
            static_cast<int64_t>(static_cast<double>(m_size.memory) * factor), m_size.accelerators };
        if (m_judgedTotal.fitsIn(m_total))
            judgeTotal();
    }

    void SimulatedServer::crash()
    {
        m_isUp = false;
        for (const auto& [id, run] : m_runs)
            m_simulation.taskEnds(id.task, m_index);
        m_runs.clear();
        m_highest.clear();
        m_ended.clear();
        m_lastEndNumber = 0;
        m_used = {};
        const auto waitingPolls = std::exchange(onEnd, {});
        for (const auto& breakConnection : waitingPolls) {
            if (!isUnreachable)
                breakConnection();
        }
    }

    void SimulatedServer::restart()
    {
        m_isUp = true;
        m_startedMs = std::max(m_startedMs + 1, toMilliseconds(m_simulation.events.now().time_since_epoch()).count());
        m_startedAt = m_simulation.events.now();
        m_clockBegin = {};
        m_fence = 0;
        m_hasFencedPoll = false;
        m_leaseEnd = {};
        isUnreachable = false;
    }

    void ClusterSimulation::startGate(size_t i)
    {
        m_gateIncarnations[i] = ++m_lastGateIncarnation;
        const std::chrono::system_clock::time_point startedAt(
            std::chrono::duration_cast<std::chrono::system_clock::duration>(events.now().time_since_epoch()));
        m_gates[i] = std::make_unique<RunGate>(Incarnation(m_lastGateIncarnation), m_tuning.gate, startedAt,
            fmt::format("domain{}", i % m_scenario.failureDomains));
    }

    void ClusterSimulation::startEntry(size_t i)
    {
        m_incarnations[i] = 1000 * (i + 1) + (m_incarnations[i] % 1000) + 1;
        DispatcherHooks hooks { [this](const auto& candidates, const auto& request) {
                                   return choosePlacement(candidates, request, m_tuning.placement);
                               },
            [this](const auto& job, const auto& load) {
                return m_tuning.predictsWaits ? admit(job, load, m_tuning.placement) : Admission();
            },
            [this, i](WaiterId waiter) {
                const auto it = m_waiters.find(waiter);
                return it != m_waiters.end() && it->second == i;
            } };
        m_entries[i] = std::make_unique<Dispatcher>(m_tuning.dispatcher, m_tuning.placement, hooks);
        m_entries[i]->setEntries(m_scenario.entries, i);
        // An entry accepts no job before it has a configuration, and the evacuations come with it.
        if (!m_scenario.evacuations.empty())
            m_entries[i]->setEvacuations(evacuatedDomains(), StoreVersion(m_storeVersion), "store", events.now());
    }

    std::vector<std::string> ClusterSimulation::evacuatedDomains() const
    {
        std::vector<std::string> domains;
        for (const auto& [domain, since] : m_evacuated)
            domains.push_back(fmt::format("domain{}", domain));
        return domains;
    }

    void ClusterSimulation::changeEvacuation(size_t domain, bool isRequested)
    {
        ++m_storeVersion;
        if (isRequested)
            m_evacuated.emplace(domain, events.now());
        else
            m_evacuated.erase(domain);
        for (size_t i = 0; i < m_entries.size(); ++i)
            readStore(i);
    }

    void ClusterSimulation::readStore(size_t entry)
    {
        const bool isCut = std::any_of(m_scenario.storeCuts.begin(), m_scenario.storeCuts.end(), [&](const auto& cut) {
            return cut.entry == entry && at(cut.at) <= events.now() && events.now() < at(cut.at + cut.length);
        });
        if (isCut || !m_entries[entry])
            return;
        const Milliseconds delay { std::uniform_int_distribution<int64_t>(1, m_scenario.storeDelay.count())(
            m_generator) };
        events.add(events.now() + delay,
            [this, entry, domains = evacuatedDomains(), version = m_storeVersion, incarnation = m_incarnations[entry]] {
                if (m_incarnations[entry] != incarnation)
                    return;
                withEntry(entry, [this, domains, version](Dispatcher& dispatcher) {
                    dispatcher.setEvacuations(domains, StoreVersion(version), "store", events.now());
                });
            });
    }

    void ClusterSimulation::killEntry(size_t i, Milliseconds downTime)
    {
        for (auto& [id, connection] : m_connections) {
            if (connection.entry == i && connection.isOpen)
                closeLink(id, true);
        }
        m_entries[i].reset();
        m_callerArrivals[i].clear();
        for (const auto& [waiter, entry] : m_waiters) {
            if (entry != i)
                continue;
            // The caller's connection breaks, so it resubmits.
            resubmit(WorkId(raw(waiter)), (i + 1) % m_scenario.entries, m_scenario.quickResend.value_or(resendDelay));
        }
        std::erase_if(m_waiters, [&](const auto& waiter) { return waiter.second == i; });
        events.add(events.now() + downTime, [this, i] { startEntry(i); });
    }

    void ClusterSimulation::resetConnections(size_t entry)
    {
        for (auto& [id, connection] : m_connections) {
            if (!m_scenario.resetsLinks || connection.entry != entry || !connection.isOpen
                || !chance(m_scenario.resetShare))
                continue;
            connection.isOpen = false;
            m_entries[entry]->linkClosed(id, events.now());
            withGate(connection.agent, [this, id = id](RunGate& gate) { gate.linkClosed(id, events.now()); });
        }
        std::vector<WaiterId> gone;
        for (const auto& [waiter, itsEntry] : m_waiters) {
            if (itsEntry == entry && chance(m_scenario.resetShare))
                gone.push_back(waiter);
        }
        for (const auto waiter : gone) {
            const WorkId id { raw(waiter) };
            m_waiters.erase(waiter);
            m_entries[entry]->callerGone(id, waiter, events.now());
            if (m_scenario.resendsElsewhere)
                resubmit(id, (entry + 1) % m_scenario.entries, m_scenario.quickResend.value_or(resendDelay));
            else if (m_scenario.quickResend)
                resubmit(id, entry, *m_scenario.quickResend);
            else
                resubmit(id, drawEntry());
        }
        applyEntryEffects(entry);
        for (size_t i = 0; i < m_gates.size(); ++i)
            applyGateEffects(i);
    }

    void ClusterSimulation::resubmit(WorkId id, size_t entry, Milliseconds delay)
    {
        events.add(events.now() + delay, [this, id, entry] {
            if (!job(id).isAnswered)
                submit(id, entry);
        });
    }

    void ClusterSimulation::killGate(size_t i, Milliseconds downTime)
    {
        for (auto& [id, connection] : m_connections) {
            if (connection.agent == i && connection.isOpen)
                closeLink(id, false);
        }
        m_gates[i].reset();
        events.add(events.now() + downTime, [this, i] {
            startGate(i);
            announce(i);
        });
    }

    void ClusterSimulation::losePower()
    {
        constexpr int maxDelayMs = 150; // Machines don't restart at the same time.
        std::uniform_int_distribution<> delay(0, maxDelayMs);
        for (size_t i = 0; i < m_entries.size(); ++i)
            killEntry(i, m_scenario.powerLossLength + Milliseconds(delay(m_generator)));
        for (size_t i = 0; i < m_gates.size(); ++i)
            killGate(i, m_scenario.powerLossLength + Milliseconds(delay(m_generator)));
    }

    void ClusterSimulation::withGate(size_t agent, std::function<void(RunGate&)> action)
    {
        if (isSuspended(agent)) {
            events.add(m_suspendedUntil[agent],
                [this, agent, action = std::move(action), incarnation = m_gateIncarnations[agent]] {
                    if (m_gateIncarnations[agent] == incarnation)
                        withGate(agent, action);
                });
            return;
        }
        if (!m_gates[agent])
            return;
        action(*m_gates[agent]);
        applyGateEffects(agent);
    }

    void ClusterSimulation::withEntry(size_t entry, std::function<void(Dispatcher&)> action)
    {
        if (isEntrySuspended(entry)) {
            events.add(m_entrySuspendedUntil[entry],
                [this, entry, action = std::move(action), incarnation = m_incarnations[entry]] {
                    if (m_incarnations[entry] == incarnation)
                        withEntry(entry, action);
                });
            return;
        }
        if (!m_entries[entry])
            return;
        action(*m_entries[entry]);
        applyEntryEffects(entry);
    }

    void ClusterSimulation::arriveFromCaller(size_t entry, std::function<void(Dispatcher&, TimePoint arrival)> read)
    {
        auto& waiting = m_callerArrivals[entry];
        const auto now = events.now();
        if (waiting.empty() && !isEntrySuspended(entry) && m_scenario.callerReadTime.count() == 0) {
            withEntry(entry, [&](Dispatcher& dispatcher) { read(dispatcher, now); });
            return;
        }
        // It last looked at its sockets just before it was suspended.
        const auto earliest
            = isEntrySuspended(entry) ? m_entrySuspendedUntil[entry] - m_scenario.entrySuspensionLength : now;
        waiting.push_back({ earliest, std::move(read) });
        if (waiting.size() == 1)
            events.add(now + m_scenario.callerReadTime,
                [this, entry] { withEntry(entry, [this, entry](Dispatcher&) { readNextOfCallers(entry); }); });
    }

    void ClusterSimulation::readNextOfCallers(size_t entry)
    {
        auto& waiting = m_callerArrivals[entry];
        if (waiting.empty())
            return;
        const auto next = std::move(waiting.front());
        waiting.pop_front();
        next.read(*m_entries[entry], next.earliest);
        if (!waiting.empty())
            events.add(events.now() + m_scenario.callerReadTime,
                [this, entry] { withEntry(entry, [this, entry](Dispatcher&) { readNextOfCallers(entry); }); });
    }

    void ClusterSimulation::link(size_t entry, size_t agent)
    {
        const LinkId id { ++m_lastLink };
        m_connections[id] = { entry, agent, true };
        wire::WelcomeT welcome;
        welcome.entry = fmt::format("entry{}", entry);
        welcome.incarnation = m_incarnations[entry];
        welcome.relays = true;
        wire::HelloT hello;
        hello.agent = fmt::format("agent{}", agent);
        hello.incarnation = m_gateIncarnations[agent];
        hello.relays = true;
        hello.evacuations = true;
        hello.failure_domain
            = m_scenario.failureDomains > 1 ? fmt::format("domain{}", agent % m_scenario.failureDomains) : "";
        m_entries[entry]->agentLinked(id, hello, events.now(), events.now());
        m_gates[agent]->entryLinked(id, welcome, events.now(), events.now());
        applyEntryEffects(entry);
        applyGateEffects(agent);
    }

    void ClusterSimulation::closeLink(LinkId id, bool byEntry)
    {
        auto& connection = m_connections.at(id);
        if (!connection.isOpen)
            return;
        connection.isOpen = false;
        const auto arrival = arrivalOn(connection);
        if (byEntry && isCut(connection))
            return; // The agent closes the silent link itself.
        if (byEntry)
            events.add(arrival + connection.delay, [this, id] {
                withGate(m_connections.at(id).agent, [this, id](RunGate& gate) { gate.linkClosed(id, events.now()); });
            });
        else if (!isCut(connection)) {
            events.add(arrival, [this, id] {
                withEntry(m_connections.at(id).entry,
                    [this, id](Dispatcher& dispatcher) { dispatcher.linkClosed(id, events.now()); });
            });
        }
    }

    TimePoint ClusterSimulation::arrivalOn(const Connection& connection) const
    {
        const auto stall = m_stalledUntil.find({ connection.entry, connection.agent });
        const auto from = stall == m_stalledUntil.end() ? events.now() : std::max(events.now(), stall->second);
        return from + m_scenario.linkDelay;
    }

    void ClusterSimulation::stallLinks(size_t entry)
    {
        for (size_t agent = 0; agent < m_gates.size(); ++agent) {
            if (chance(0.5))
                m_stalledUntil[{ entry, agent }] = events.now() + m_scenario.stallLength;
        }
    }

    void ClusterSimulation::slowLinksDown(size_t entry)
    {
        for (size_t agent = 0; agent < m_gates.size(); ++agent) {
            if (chance(0.5))
                m_slowUntil[{ entry, agent }] = events.now() + m_scenario.slowLinkLength;
        }
    }

    bool ClusterSimulation::isCut(const Connection& connection) const
    {
        const auto slow = m_slowUntil.find({ connection.entry, connection.agent });
        return m_isPartitioned[connection.entry]
            || (slow != m_slowUntil.end() && slow->second <= events.now()
                && events.now() < slow->second + Milliseconds(3000));
    }

    void ClusterSimulation::sendToAgent(SendMessage message)
    {
        ++m_report.messages;
        const auto id = message.link;
        auto& connection = m_connections.at(id);
        if (!connection.isOpen || isCut(connection))
            return;
        const auto slow = m_slowUntil.find({ connection.entry, connection.agent });
        if (slow != m_slowUntil.end() && slow->second > events.now())
            connection.delay = std::min(connection.delay + m_scenario.slowLinkGrowth, m_scenario.slowLinkDelay);
        events.add(arrivalOn(connection) + connection.delay,
            [this, id, message = std::make_shared<SendMessage>(std::move(message))] {
                // What was sent before the entry closed the connection arrives before the agent hears of the closing.
                withGate(m_connections.at(id).agent, [this, id, message](RunGate& gate) {
                    gate.receive(id, message->body, message->agentTime, events.now());
                });
            });
    }

    void ClusterSimulation::sendToEntry(SendMessage message)
    {
        ++m_report.messages;
        const auto id = message.link;
        const auto& connection = m_connections.at(id);
        if (const auto* result = message.body.AsRunResult(); result != nullptr
            && result->outcome != wire::RunOutcome::Running && result->refusal != wire::Refusal::Occupied)
            m_toldResults.emplace(connection.agent, fromWire(*result->id, result->upper_case));
        if (!connection.isOpen || isCut(connection))
            return;
        events.add(arrivalOn(connection), [this, id, message = std::make_shared<SendMessage>(std::move(message))] {
            if (!m_connections.at(id).isOpen)
                return;
            withEntry(m_connections.at(id).entry, [this, id, message](Dispatcher& dispatcher) {
                dispatcher.receive(id, message->body, message->agentTime, events.now());
            });
        });
    }

    void ClusterSimulation::applyEntryEffects(size_t i)
    {
        for (auto& effect : m_entries[i]->takeEffects()) {
            if (auto* send = std::get_if<SendMessage>(&effect))
                sendToAgent(std::move(*send));
            else if (auto* close = std::get_if<CloseLink>(&effect))
                closeLink(close->link, true);
            else if (auto* answer = std::get_if<AnswerCaller>(&effect)) {
                const auto it = m_waiters.find(answer->waiter);
                if (it == m_waiters.end() || it->second != i)
                    continue; // The caller has closed this connection.
                m_waiters.erase(it);
                answered(answer->job, answer->answer);
            }
        }
    }

    void ClusterSimulation::applyGateEffects(size_t i)
    {
        if (!m_gates[i])
            return;
        for (auto& effect : m_gates[i]->takeEffects()) {
            if (auto* send = std::get_if<SendMessage>(&effect))
                sendToEntry(std::move(*send));
            else if (auto* close = std::get_if<CloseLink>(&effect))
                closeLink(close->link, false);
            else if (auto* run = std::get_if<StartRun>(&effect))
                call(i, [this, i, action = *run] { startRun(i, action); });
            else if (auto* stop = std::get_if<StopRun>(&effect))
                stopRun(i, *stop);
            else if (auto* poll = std::get_if<PollServer>(&effect))
                call(i, [this, i, action = *poll] { this->poll(i, action); });
        }
    }

    void ClusterSimulation::call(size_t agent, std::function<void()> send)
    {
        if (!chance(m_scenario.heldCalls))
            return send();
        const Milliseconds delay { std::uniform_int_distribution<>(50, 600)(m_generator) };
        events.add(
            events.now() + delay, [this, agent, send = std::move(send), incarnation = m_gateIncarnations[agent]] {
                if (m_gates[agent] && m_gateIncarnations[agent] == incarnation)
                    send();
            });
    }

    void ClusterSimulation::startRun(size_t i, const StartRun& action)
    {
        const auto leaseEnd = action.leaseEnd;
        const auto answer = [this, i, id = action.id](StartOutcome outcome, Microseconds delay) {
            events.add(events.now() + delay, [this, i, id, outcome, incarnation = m_gateIncarnations[i]] {
                if (!m_gates[i] || m_gateIncarnations[i] != incarnation)
                    return;
                withGate(i, [this, id, outcome](RunGate& gate) { gate.startAnswered(id, outcome, events.now()); });
            });
        };
        auto& server = *m_servers[i];
        if (!server.isUp() && !server.isUnreachable)
            return answer(StartOutcome::Unreachable, m_scenario.serverDelay);
        const bool isLate = chance(m_scenario.lateOrders);
        if (isLate || !server.isUp()) {
            if (isLate) {
                const auto delay = Milliseconds(std::uniform_int_distribution<int64_t>(
                    m_scenario.minLateness.count(), m_scenario.maxLateness.count())(m_generator));
                events.add(events.now() + delay,
                    [this, i, id = action.id, fence = action.fence, startedMs = server.startedMs(), leaseEnd,
                        incarnation = m_gateIncarnations[i]] {
                        auto& server = *m_servers[i];
                        if (!server.isUp())
                            return;
                        const bool isRestarted = server.startedMs() != startedMs;
                        // No agent can keep the next process of a server from obeying a call that it gets before the
                        // first poll. That must not end in two runs unless the process before had shown the run to be
                        // over.
                        const bool isOver = m_gateIncarnations[i] != incarnation || m_toldResults.contains({ i, id });
                        if (isRestarted && !server.hasFencedPoll() && isOver)
                            return;
                        // The clock of a restarted server starts at zero: it shortens the lease to the longest allowed.
                        server.start(id, fence, isRestarted ? events.now() + m_tuning.gate.maxLease : leaseEnd);
                    });
            }
            return answer(StartOutcome::NoAnswer, action.timeout);
        }
        const bool isLost = chance(m_scenario.lostReplies);
        events.add(
            events.now() + m_scenario.serverDelay / 2, [this, i, id = action.id, leaseEnd, answer, isLost, action] {
                auto& server = *m_servers[i];
                const auto outcome = server.isUp() ? server.start(id, action.fence, leaseEnd) : StartOutcome::NoAnswer;
                if (isLost || outcome == StartOutcome::NoAnswer)
                    answer(StartOutcome::NoAnswer, action.timeout);
                else
                    answer(outcome, m_scenario.serverDelay / 2);
            });
    }

    void ClusterSimulation::stopRun(size_t i, const StopRun& action)
    {
        const auto answer = [this, i, id = action.id](bool isAnswered, Microseconds delay) {
            events.add(events.now() + delay, [this, i, id, isAnswered, incarnation = m_gateIncarnations[i]] {
                if (!m_gates[i] || m_gateIncarnations[i] != incarnation)
                    return;
                withGate(i, [this, id, isAnswered](RunGate& gate) { gate.stopAnswered(id, isAnswered, events.now()); });
            });
        };
        if (!m_servers[i]->isUp() || chance(m_scenario.lostStops))
            return answer(false, action.timeout);
        if (chance(m_scenario.lateOrders)) {
            events.add(events.now() + Milliseconds(5000), [this, i, id = action.id, fence = action.fence] {
                if (m_servers[i]->isUp())
                    m_servers[i]->stop(id, fence);
            });
            return answer(false, action.timeout);
        }
        events.add(events.now() + m_scenario.serverDelay / 2, [this, i, id = action.id, fence = action.fence, answer] {
            if (m_servers[i]->isUp())
                m_servers[i]->stop(id, fence);
            answer(m_servers[i]->isUp(), m_scenario.serverDelay / 2);
        });
    }

    void ClusterSimulation::poll(size_t i, const PollServer& action)
    {
        const auto number = action.number;
        const auto result = [this, i, number, incarnation = m_gateIncarnations[i]](
                                PollOutcome outcome, const Listing& listing, Microseconds delay) {
            events.add(events.now() + delay, [this, i, number, outcome, listing, incarnation] {
                if (!m_gates[i] || m_gateIncarnations[i] != incarnation)
                    return;
                withGate(i, [this, number, outcome, listing](RunGate& gate) {
                    gate.pollAnswered(number, outcome, listing, events.now());
                });
            });
        };
        auto& server = *m_servers[i];
        if (!server.isUp())
            return result(server.isUnreachable ? PollOutcome::NoAnswer : PollOutcome::Refused, {},
                server.isUnreachable ? Microseconds(action.timeout) : m_scenario.serverDelay);
        if (chance(m_scenario.lostPolls))
            return result(PollOutcome::NoAnswer, {}, action.timeout);
        if (!server.acceptsFence(action.fence)) {
            Listing clockOnly;
            clockOnly.clock = server.clock();
            return result(PollOutcome::StaleFence, clockOnly, m_scenario.serverDelay);
        }
        server.receivedPoll(action.fence);
        if (action.leaseEnd)
            server.renew(*action.leaseEnd);
        const auto isDone = std::make_shared<bool>(false);
        const auto startedMs = server.startedMs();
        const auto finish = [this, i, result, isDone, startedMs, seen = action.seenUpTo] {
            if (std::exchange(*isDone, true))
                return;
            auto& server = *m_servers[i];
            if (server.isUp() && server.startedMs() != startedMs)
                return result(PollOutcome::NoAnswer, {}, m_scenario.serverDelay);
            if (!server.isUp())
                return result(PollOutcome::NoAnswer, {}, m_scenario.serverDelay);
            result(PollOutcome::Listed, server.listing(seen), m_scenario.serverDelay / 2);
        };
        const auto wait = server.hasEndAfter(action.seenUpTo) ? Milliseconds(0) : action.wait;
        events.add(events.now() + m_scenario.serverDelay / 2 + wait, finish);
        if (wait.count() > 0)
            server.onEnd.push_back([this, finish] { events.add(events.now() + m_scenario.serverDelay / 2, finish); });
    }

    void ClusterSimulation::announce(size_t i)
    {
        const auto& server = *m_servers[i];
        if (server.isUp() && m_gates[i]) {
            ServerReport report;
            report.instance = fmt::format("i-{}", i);
            report.startedMs = server.startedMs();
            report.service = "service";
            report.total = server.total();
            report.sequence = ++m_pings;
            withGate(i, [this, report](RunGate& gate) { gate.serverAnnounced(report, events.now()); });
            // Calls that were sent before the report arrive within this time.
            events.add(events.now() + m_scenario.serverDelay, [this, i, total = report.total] {
                if (m_servers[i]->total() == total)
                    m_servers[i]->judgeTotal();
            });
        }
    }

    void ClusterSimulation::ping(size_t i)
    {
        announce(i);
        events.add(events.now() + Milliseconds(1500), [this, i] { ping(i); });
    }

    double ClusterSimulation::rate(size_t kind) const
    {
        double rate = m_scenario.kinds[kind].perSecond * m_scenario.load;
        for (const auto& burst : m_scenario.bursts) {
            const bool isNow = events.now() >= at(burst.at) && events.now() < at(burst.at + burst.length);
            if (isNow && (burst.kind.empty() || burst.kind == m_scenario.kinds[kind].name))
                rate *= burst.factor;
        }
        return rate;
    }

    size_t ClusterSimulation::drawEntry()
    {
        const size_t move = m_scenario.movesAt && events.now() >= at(*m_scenario.movesAt) ? 1 : 0;
        std::vector<double> shares(m_scenario.entries);
        for (size_t i = 0; i < shares.size(); ++i)
            shares[i] = m_scenario.entryShares[(i + move) % m_scenario.entryShares.size()];
        return std::discrete_distribution<size_t>(shares.begin(), shares.end())(m_generator);
    }

    void ClusterSimulation::scheduleArrival(size_t kindIndex)
    {
        const auto& kind = m_scenario.kinds[kindIndex];
        const double gap = std::exponential_distribution<>(rate(kindIndex))(m_generator);
        const auto next = events.now() + toMicroseconds(std::chrono::duration<double>(gap));
        if (next > at(m_scenario.length))
            return;
        events.add(next, [this, kindIndex] { scheduleArrival(kindIndex); });

        constexpr double spread = 0.4;
        constexpr double taskSpread = 0.15;
        const auto lognormal = [&](double mean, double sigma) {
            return std::lognormal_distribution<>(std::log(mean) - sigma * sigma / 2, sigma)(m_generator);
        };
        const WorkId id { ++m_lastJob };
        auto& job = m_jobs[id];
        job.kind = kindIndex;
        job.sent = events.now();
        const auto width = std::clamp<int64_t>(std::llround(lognormal(kind.width, spread)), 1, kind.maxWidth);
        const double work = std::min(
            lognormal(static_cast<double>(kind.work.count()), spread), static_cast<double>(kind.maxWork.count()));
        Milliseconds longest {};
        for (int64_t i = 0; i < width; ++i) {
            const double factor = 1 + std::uniform_real_distribution<>(-taskSpread, taskSpread)(m_generator);
            const double tail = chance(kind.longShare) ? kind.longFactor : 1;
            job.work.emplace_back(std::max<int64_t>(std::llround(work * factor * tail), 1));
            longest = std::max(longest, job.work.back());
        }
        const double error = std::exp(std::normal_distribution<>(0, m_scenario.estimateSpread)(m_generator));
        job.estimate = Milliseconds(std::max<int64_t>(std::llround(work * error * m_scenario.estimateFactor), 1));
        job.objective = longest * m_scenario.stretch + m_scenario.objective;
        job.resources
            = { std::llround(std::max(kind.cpu * (1 + std::normal_distribution<>(0, 0.2)(m_generator)), kind.cpu / 4)),
                  64, 0 };
        job.alwaysFails = chance(kind.failingShare);
        const bool isCrashing = events.now() >= at(m_scenario.crashesFrom) && events.now() < at(m_scenario.crashesUntil)
            && chance(kind.crashingShare);
        if (isCrashing) {
            job.crashingTask = std::uniform_int_distribution<size_t>(0, job.work.size() - 1)(m_generator);
            ++m_report.crashingJobs;
        }
        const double mean = kind.width * static_cast<double>(kind.work.count()) * kind.cpu;
        job.size = static_cast<double>(width) * work * static_cast<double>(job.resources.cpu) / mean;
        job.value = isCrashing ? 0 : kind.value * std::min(0.3 + 0.7 * job.size, 4.0); // Nobody misses it.
        auto& result = m_report.kinds[kind.name];
        result.submitted += isCrashing ? 0 : 1;
        result.offeredValue += job.value;
        m_report.offeredValueBySecond[static_cast<size_t>(toMilliseconds(job.sent - simulationStart).count() / 1000)]
            += job.value;
        const auto entry = drawEntry();
        job.failureDomain = entry % m_scenario.entryDomains;
        m_report.domains[job.failureDomain].offeredValue += job.value;
        submit(id, entry);
    }

    void ClusterSimulation::submit(WorkId id, size_t entry)
    {
        const auto& job = m_jobs.at(id);
        const auto callerTimeout = m_scenario.callerTimeoutMargin + toMilliseconds(job.objective * lateFactor);
        const auto left = toMilliseconds(job.sent + callerTimeout - events.now());
        const auto budget = m_scenario.requestBudget.value_or(left);
        if (budget.count() <= 0)
            return;
        if (!m_entries[entry]) {
            resubmit(id, (entry + 1) % m_scenario.entries);
            return;
        }
        WorkSpec spec;
        spec.id = id;
        StepSpec step;
        step.count = static_cast<uint32_t>(job.work.size());
        step.resources = job.resources;
        step.estimate = job.estimate;
        spec.steps.push_back(step);
        RoutePolicy route;
        route.name = m_scenario.kinds[job.kind].name;
        route.service = "service";
        route.maxFailures = 4;
        route.priority = m_scenario.kinds[job.kind].priority;
        route.stretch = m_scenario.stretch;
        route.objective = m_scenario.objective;
        const WaiterId waiter { id.number };
        m_waiters[waiter] = entry;
        arriveFromCaller(entry, [=, this](Dispatcher& dispatcher, TimePoint arrival) {
            dispatcher.submit(spec, route, { waiter, arrival, budget }, events.now());
        });
        events.add(events.now() + budget, [this, id, waiter, entry] {
            const auto it = m_waiters.find(waiter);
            if (m_jobs.at(id).isAnswered || !m_entries[entry] || it == m_waiters.end() || it->second != entry)
                return;
            m_waiters.erase(waiter);
            if (m_scenario.requestBudget)
                resubmit(id, (entry + 1) % m_scenario.entries);
            if (m_scenario.endsArrive)
                arriveFromCaller(entry, [this, id, waiter](Dispatcher& dispatcher, TimePoint) {
                    dispatcher.callerGone(id, waiter, events.now());
                });
        });
    }

    void ClusterSimulation::answered(WorkId id, const WorkAnswer& answer)
    {
        auto& job = m_jobs.at(id);
        if (std::exchange(job.isAnswered, true))
            return;
        if (job.crashingTask) {
            m_report.crashingJobsFailed += answer.status == WorkStatus::Failed ? 1 : 0;
            m_report.crashingJobsGivenUp += answer.status == WorkStatus::GivenUp ? 1 : 0;
            return;
        }
        auto& result = m_report.kinds[m_scenario.kinds[job.kind].name];
        const auto age = FloatMs(events.now() - job.sent);
        constexpr double lateValueShare = 0.2;
        const bool isCorrect
            = answer.status == WorkStatus::Succeeded || (answer.status == WorkStatus::Failed && job.alwaysFails);
        double earned = 0;
        if (isCorrect && age <= job.objective) {
            ++result.inTime;
            earned = job.value;
        } else if (isCorrect && age <= job.objective * lateFactor) {
            ++result.late;
            earned = job.value * lateValueShare;
        } else if (answer.status == WorkStatus::NotRun) {
            ++result.refused;
            result.refusedAfterMs.push_back(age.count());
        } else if (answer.status == WorkStatus::Failed) {
            ++result.failed;
            ++result.falselyFailed;
        } else {
            ++result.givenUp;
        }
        job.isServed = earned > 0;
        if (job.isServed)
            result.sumRatio += age / FloatMs(*std::max_element(job.work.begin(), job.work.end()));
        result.earnedValue += earned;
        m_report.domains[job.failureDomain].earnedValue += earned;
        m_report.earnedValueBySecond[static_cast<size_t>(toMilliseconds(job.sent - simulationStart).count() / 1000)]
            += earned;
    }

    void ClusterSimulation::measureStranded()
    {
        size_t waiting = 0;
        for (const auto& entry : m_entries)
            waiting += entry ? entry->queuedTasks() : 0;
        if (waiting > 0) {
            double free = 0;
            double total = 0;
            for (const auto& server : m_servers) {
                total += static_cast<double>(server->total().cpu);
                free += server->isUp() ? static_cast<double>((server->total() - server->used()).cpu) : 0;
            }
            m_stranded += free / total;
            ++m_strandedSamples;
        }
        events.add(events.now() + Milliseconds(5), [this] { measureStranded(); });
    }

    SimulationReport ClusterSimulation::run()
    {
        constexpr Milliseconds tick { 20 };
        for (size_t i = 0; i < m_servers.size(); ++i) {
            events.add(simulationStart + Milliseconds(i), [this, i] { ping(i); });
            auto onTick = std::make_shared<std::function<void()>>();
            *onTick = [this, i, onTick, tick] {
                if (!isSuspended(i))
                    withGate(i, [this, i](RunGate& gate) {
                        gate.tick(events.now());
                        if (gate.health().health() == Health::Quarantined)
                            m_report.firstQuarantine.try_emplace(i, toMilliseconds(events.now() - simulationStart));
                        const auto trueSlowness = m_scenario.slowness[i % m_scenario.slowness.size()];
                        constexpr double farSlower = 2.5;
                        if (gate.health().health() == Health::Quarantined
                            || gate.slowness(events.now()) > farSlower * trueSlowness)
                            m_report.firstBlame.try_emplace(i, toMilliseconds(events.now() - simulationStart));
                    });
                events.add(events.now() + tick, *onTick);
            };
            events.add(simulationStart + Milliseconds(i % 20), *onTick);
        }
        for (size_t i = 0; i < m_entries.size(); ++i) {
            auto onTick = std::make_shared<std::function<void()>>();
            *onTick = [this, i, onTick, tick] {
                if (!isEntrySuspended(i))
                    withEntry(i, [this](Dispatcher& dispatcher) { dispatcher.tick(events.now()); });
                events.add(events.now() + tick, *onTick);
            };
            events.add(simulationStart + Milliseconds(5 + i), *onTick);
        }
        // Agents that lost their link connect again within 100 ms.
        auto relink = std::make_shared<std::function<void()>>();
        *relink = [this, relink] {
            std::set<std::pair<size_t, size_t>> open;
            for (const auto& [id, connection] : m_connections) {
                if (connection.isOpen)
                    open.emplace(connection.entry, connection.agent);
            }
            for (size_t e = 0; e < m_entries.size(); ++e) {
                for (size_t a = 0; a < m_gates.size(); ++a) {
                    const bool isLinked = open.contains({ e, a });
                    const bool isReady = m_entries[e] && !isEntrySuspended(e) && m_gates[a] && m_gates[a]->isRecovered()
                        && !isSuspended(a);
                    const auto stall = m_stalledUntil.find({ e, a });
                    const bool isStalled = stall != m_stalledUntil.end() && stall->second > events.now();
                    if (!isLinked && isReady && !isStalled && !isCut({ e, a }))
                        link(e, a);
                }
            }
            events.add(events.now() + Milliseconds(100), *relink);
        };
        events.add(simulationStart + Milliseconds(50), *relink);
        events.add(simulationStart + Milliseconds(100), [this] { measureStranded(); });
        for (size_t i = 0; i < m_scenario.kinds.size(); ++i)
            events.add(simulationStart + Milliseconds(400), [this, i] { scheduleArrival(i); });
        for (const auto& fault : m_scenario.faults) {
            for (const auto i : fault.servers) {
                events.add(at(fault.at), [this, i, fault] {
                    auto& server = *m_servers[i];
                    m_report.firstBlame.erase(i);
                    server.isUnreachable = fault.kind == ServerFaultKind::Unreachable;
                    server.isHanging = fault.kind == ServerFaultKind::Hang;
                    server.isFailing = fault.kind == ServerFaultKind::Fail;
                    server.slowFactor = fault.kind == ServerFaultKind::Slow ? fault.factor : 1;
                    if (fault.kind == ServerFaultKind::Slow && fault.slowsRunning)
                        server.slowRunsDown(fault.factor);
                    if (fault.kind == ServerFaultKind::Replaced) {
                        const auto waiting = std::exchange(server.onEnd, {});
                        server.crash();
                        server.restart();
                        for (const auto& breakPoll : waiting)
                            breakPoll();
                    }
                    if (fault.kind == ServerFaultKind::Crash || fault.kind == ServerFaultKind::Unreachable)
                        server.crash();
                });
                events.add(at(fault.at + fault.length), [this, i, fault] {
                    auto& server = *m_servers[i];
                    server.isHanging = server.isFailing = false;
                    server.slowFactor = 1;
                    if (!server.isUp())
                        server.restart();
                });
            }
        }
        for (const auto& change : m_scenario.capacityChanges) {
            for (const auto i : change.servers) {
                events.add(at(change.at), [this, i, factor = change.factor] { m_servers[i]->scale(factor); });
                events.add(at(change.at + change.length), [this, i] { m_servers[i]->scale(1); });
            }
        }
        for (const auto& request : m_scenario.evacuations) {
            events.add(at(request.at), [this, request] { changeEvacuation(request.domain, true); });
            events.add(at(request.at + request.length), [this, request] { changeEvacuation(request.domain, false); });
        }
        for (const auto& cut : m_scenario.storeCuts)
            events.add(at(cut.at + cut.length), [this, cut] { readStore(cut.entry); });
        for (const auto& [agent, when] : m_scenario.agentKills) {
            constexpr Milliseconds restartTime { 150 };
            events.add(at(when), [this, agent = agent] { killGate(agent, restartTime); });
        }
        for (const auto& [entry, when] : m_scenario.entryKills)
            events.add(at(when), [this, entry = entry] { killEntry(entry, Milliseconds(1000)); });
        if (m_scenario.powerLoss)
            events.add(at(*m_scenario.powerLoss), [this] { losePower(); });
        for (const auto& [entry, when] : m_scenario.connectionResets) {
            events.add(at(when), [this, entry = entry] {
                if (m_entries[entry])
                    resetConnections(entry);
            });
        }
        for (const auto& [agent, when] : m_scenario.agentSuspensions) {
            events.add(at(when),
                [this, agent = agent] { m_suspendedUntil[agent] = events.now() + m_scenario.suspensionLength; });
        }
        for (const auto& [entry, when] : m_scenario.entrySuspensions) {
            events.add(at(when), [this, entry = entry] {
                m_entrySuspendedUntil[entry] = events.now() + m_scenario.entrySuspensionLength;
            });
        }
        for (const auto& [entry, when] : m_scenario.linkStalls)
            events.add(at(when), [this, entry = entry] { stallLinks(entry); });
        for (const auto& [entry, when] : m_scenario.slowLinks)
            events.add(at(when), [this, entry = entry] { slowLinksDown(entry); });
        for (const auto& [entry, when] : m_scenario.entryPartitions) {
            events.add(at(when), [this, entry = entry] { m_isPartitioned[entry] = true; });
            events.add(at(when + Milliseconds(3000)), [this, entry = entry] { m_isPartitioned[entry] = false; });
        }
        events.run(at(m_scenario.length + Milliseconds(3000)));
        for (const auto& entry : m_entries) {
            if (!entry)
                continue;
            m_report.orders += entry->counters().orders;
            m_report.refusedOrders += entry->counters().refusedOrders();
            m_report.isolations += entry->counters().isolations;
            m_report.stragglers += entry->counters().stragglers;
        }
        for (const auto& gate : m_gates) {
            m_report.quarantined += gate && gate->health().health() == Health::Quarantined ? 1 : 0;
            m_report.wastedRuns += gate ? gate->counters().stopped + gate->counters().lost : 0;
            m_report.progressReports += gate ? gate->counters().progressReports : 0;
            m_report.longRuns += gate ? gate->counters().longRuns : 0;
        }
        m_report.strandedShare = m_strandedSamples > 0 ? m_stranded / static_cast<double>(m_strandedSamples) : 0;
        for (size_t k = 0; k < m_scenario.kinds.size(); ++k) {
            std::vector<const SimulatedJob*> ofKind;
            for (const auto& [id, job] : m_jobs) {
                if (job.kind == k)
                    ofKind.push_back(&job);
            }
            std::sort(ofKind.begin(), ofKind.end(), [](const auto* a, const auto* b) { return a->size > b->size; });
            auto& result = m_report.kinds[m_scenario.kinds[k].name];
            result.largest = ofKind.size() / 10;
            result.largestServed = static_cast<size_t>(
                std::count_if(ofKind.begin(), ofKind.begin() + static_cast<std::ptrdiff_t>(result.largest),
                    [](const auto* job) { return job->isServed; }));
        }
        return m_report;
    }

    double share(double part, double whole) { return whole > 0 ? part / whole : 1; }

} // namespace

double SimulationReport::valueShare() const
{
    double offered = 0;
    double earned = 0;
    for (const auto& [name, kind] : kinds) {
        offered += kind.offeredValue;
        earned += kind.earnedValue;
    }
    return share(earned, offered);
}

double SimulationReport::worstWindowsShare() const
{
    constexpr size_t windowSeconds = 3;
    std::vector<double> shares;
    for (size_t i = 0; i + windowSeconds <= offeredValueBySecond.size(); i += windowSeconds) {
        const auto sum = [&](const std::vector<double>& v) {
            const auto begin = v.begin() + static_cast<std::ptrdiff_t>(i);
            return std::accumulate(begin, begin + windowSeconds, 0.0);
        };
        if (sum(offeredValueBySecond) > 0)
            shares.push_back(share(sum(earnedValueBySecond), sum(offeredValueBySecond)));
    }
    std::sort(shares.begin(), shares.end());
    return shares.size() < 2 ? 1 : (shares[0] + shares[1]) / 2;
}

double SimulationReport::worstKindShare() const
{
    double worst = 1;
    for (const auto& [name, kind] : kinds)
        worst = std::min(worst, share(kind.earnedValue, kind.offeredValue));
    return worst;
}

double SimulationReport::domainSpread() const
{
    double worst = 1;
    double best = 0;
    for (const auto& [domain, result] : domains) {
        worst = std::min(worst, share(result.earnedValue, result.offeredValue));
        best = std::max(best, share(result.earnedValue, result.offeredValue));
    }
    return std::max(best - worst, 0.0);
}

double SimulationReport::servedShare() const
{
    size_t submitted = 0;
    size_t served = 0;
    for (const auto& [name, kind] : kinds) {
        submitted += kind.submitted;
        served += kind.inTime + kind.late;
    }
    return share(static_cast<double>(served), static_cast<double>(submitted));
}

double SimulationReport::responseRatio() const
{
    double sum = 0;
    size_t served = 0;
    for (const auto& [name, kind] : kinds) {
        sum += kind.sumRatio;
        served += kind.inTime + kind.late;
    }
    return share(sum, static_cast<double>(served));
}

double SimulationReport::worstLargeJobRatio() const
{
    double worst = 1;
    for (const auto& [name, kind] : kinds) {
        const double all = share(static_cast<double>(kind.inTime + kind.late), static_cast<double>(kind.submitted));
        const double largestShare = share(static_cast<double>(kind.largestServed), static_cast<double>(kind.largest));
        worst = std::min(worst, share(largestShare, all));
    }
    return worst;
}

SimulationReport simulate(const Scenario& scenario, const SimulationTuning& tuning)
{
    return ClusterSimulation(scenario, tuning).run();
}

std::vector<JobKind> mingaLoad()
{
    return { { "scan", 34.4, 8, 32, Milliseconds(60), Milliseconds(240), 6200, 0.0291, 0, 0 },
        { "reroute", 6.25, 4, 16, Milliseconds(900), Milliseconds(3600), 6200, 0.16, 0, 2 },
        { "fill", 100, 2, 8, Milliseconds(200), Milliseconds(800), 6200, 0.01, 0, 1 } };
}

std::vector<JobKind> snevaernLoad()
{
    auto kinds = mingaLoad();
    for (auto& kind : kinds)
        kind.cpu = 1600;
    return kinds;
}

Scenario mingaScenario(std::string name)
{
    Scenario scenario;
    scenario.name = std::move(name);
    scenario.kinds = mingaLoad();
    return scenario;
}

Scenario largeScenario(std::string name)
{
    Scenario scenario;
    scenario.name = std::move(name);
    scenario.entries = 35;
    scenario.servers = 160;
    scenario.entryShares = { 0.6, 1, 1.6 };
    scenario.kinds = mingaLoad();
    constexpr double growth = 9; // Arrival rate relative to the first deployment.
    for (auto& kind : scenario.kinds) {
        kind.perSecond *= growth;
        kind.cpu = 10000;
    }
    scenario.length = Milliseconds(10000);
    return scenario;
}

Scenario akwScenario(std::string name)
{
    Scenario scenario;
    scenario.name = std::move(name);
    scenario.kinds = snevaernLoad();
    scenario.serverCpu = 16000;
    return scenario;
}

Scenario joinedBurstsScenario(std::string name)
{
    auto scenario = akwScenario(std::move(name));
    scenario.load = 1.3;
    scenario.bursts = { { "", 1.3, Milliseconds(4000), Milliseconds(4000) },
        { "fill", 1.8, Milliseconds(5500), Milliseconds(4000) },
        { "scan", 1.8, Milliseconds(6300), Milliseconds(3800) } };
    return scenario;
}

Scenario withPerfectView(Scenario scenario)
{
    scenario.name += " (perfect view)";
    scenario.entries = 1;
    scenario.linkDelay = Microseconds(1);
    scenario.serverDelay = Microseconds(2);
    scenario.estimateSpread = 0;
    return scenario;
}

Scenario snevaernScenario(std::string name)
{
    Scenario scenario;
    scenario.name = std::move(name);
    scenario.entries = 4;
    scenario.kinds = snevaernLoad();
    scenario.serverCpu = 16000;
    scenario.slowness = { 0.55, 1.2, 1.2, 1.2 };
    return scenario;
}

Scenario ticketsScenario(std::string name)
{
    Scenario scenario;
    scenario.name = std::move(name);
    scenario.entries = 12;
    scenario.entryShares = { 1.6, 1, 0.6 };
    scenario.servers = 70;
    scenario.serverCpu = 32000;
    scenario.slowness = { 1.0, 1.3 };
    scenario.kinds = { { "check-in", 181, 8, 32, Milliseconds(51), Milliseconds(204), 3300, 0.00485, 0, 0 },
        { "release", 528, 2, 8, Milliseconds(170), Milliseconds(680), 3300, 0.00167, 0, 1 },
        { "purchase", 33, 4, 16, Milliseconds(760), Milliseconds(3040), 3300, 0.0267, 0, 2 } };
    for (auto& kind : scenario.kinds)
        kind.longShare = 0.03;
    scenario.length = Milliseconds(8000);
    return scenario;
}

Scenario donationsScenario(std::string name)
{
    auto scenario = ticketsScenario(std::move(name));
    scenario.servers = 68;
    scenario.slowness = { 0.7, 1.7 };
    scenario.kinds = { { "check", 206, 8, 32, Milliseconds(60), Milliseconds(240), 3200, 0.00485, 0, 0 },
        { "receipt", 600, 2, 8, Milliseconds(200), Milliseconds(800), 3200, 0.00167, 0, 1 },
        { "transfer", 37.5, 4, 16, Milliseconds(900), Milliseconds(3600), 3200, 0.0267, 0, 2 } };
    return scenario;
}

} // namespace sequoia::test
