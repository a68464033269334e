/** @file Server.h Stand-in for a backend server, with a real account of its runs. */
#pragma once

#include "../PlatformStandins.h"
#include "Judge.h"
#include "Proxy.h"
#include "Store.h"

namespace sequoia::testing {

constexpr const char* deadlySpec = "deadly"; ///< A task with it crashes each server that starts it.

class SoakServer {
public:
    SoakServer(HttpLoop& loop, Random& random, Judge& judge, int number, std::string pingsAddress)
        : m_loop(loop)
        , m_random(random)
        , m_judge(judge)
        , m_number(number)
        , m_pingsAddress(std::move(pingsAddress))
        , m_http(loop, {}, [this](const auto& call, const auto& exchange) { receive(call, exchange); })
        , m_proxy(loop.context(), m_address.text, m_http.listen("127.0.0.1:0"))
        , m_timer(loop.context())
        , m_cpuTotal(1000 * draw(random, 2, 6))
    {
        startProcess(true);
    }

    const std::string& address() const { return m_address.text; }
    bool isUp() const { return m_isUp; }
    bool isDraining() const { return m_isDraining; }

    /** Ends the process: connections are reset, further ones refused, and everything is forgotten. */
    void crash(const std::string& cause)
    {
        if (!m_isUp)
            return;
        settle();
        m_judge.note(fmt::format("server{} process {} ends: {}", m_number, m_instance, cause));
        m_isUp = false;
        m_proxy.close();
        m_timer.cancel();
        m_polls.clear();
        m_unanswered.clear();
        for (const auto& [id, run] : std::exchange(m_runs, {}))
            m_judge.ended(id, m_number, cause);
    }

    void restart() { restart(chance(m_random, 0.5)); }
    void restart(bool isNewId)
    {
        if (!m_isUp)
            startProcess(isNewId);
    }

    /** Announces that the process leaves; it ends once the drain was acknowledged and its time is over. */
    void drain()
    {
        m_isDraining = true;
        m_judge.note(fmt::format("server{} drains", m_number));
        runAfter(m_loop, drainWithoutReply, [this, born = m_born] { leave(born); });
    }

    /** Sends the agent a ping that isn't the server's: `id` is "" for the server's own. */
    void sendOddPing(const std::string& id, const Json& changes)
    {
        auto body = pingBody();
        body.update(changes);
        sendOddBody(id, body.dump());
    }
    void sendOddBody(const std::string& id, const std::string& body)
    {
        m_judge.note(fmt::format("server{} odd ping of {}: {}", m_number, id, body.substr(0, 200)));
        m_pings->call({ "PUT", "/sequoiafold/instances/" + (id.empty() ? m_instance : id), body, {} },
            Milliseconds(1000), [](auto) {});
    }

    /** Ends the runs that are due; to be called before the account is used. */
    void settle()
    {
        const auto now = Clock::now();
        std::multimap<TimePoint, RunKey> due;
        for (const auto& [id, run] : m_runs) {
            if (const auto end = endOf(run); end <= now)
                due.emplace(end, id);
        }
        for (const auto& [end, id] : due) {
            const auto& run = m_runs.at(id);
            const auto* how = end == run.finish ? (run.isFailing ? "failed" : "done")
                : end == run.stopEnd            ? "stopped"
                                                : "lapsed";
            m_judge.ended(id, m_number, how);
            auto& last = m_highestEnded[id.first];
            last = std::max(last, id.second);
            m_ended.push_back({ ++m_lastEnd, id.first, id.second, how, "" });
            m_runs.erase(id);
        }
        if (!due.empty())
            answerPolls();
        setTimer();
    }

    /** Time without faults on the agent; a drain is judged only then. */
    std::function<bool()> isAgentInTouch;
    std::function<void()> settleAll; ///< Settles all servers.
    std::function<bool()> isEvacuated = [] { return false; }; ///< No task may start any more.
    double slowness = 1; ///< Factor of run times.
    Milliseconds delay { 3 }; ///< Longest delay of a reply.
    double unansweredShare = 0; ///< Calls that get no reply, carried out or not.
    bool isHeldUp = false; ///< Calls without a reply are carried out seconds later, by the process that is there then.
    double lostStopShare = 0; ///< Stops that get no reply and are not carried out.

private:
    struct Run {
        TimePoint finish;
        TimePoint stopEnd = TimePoint::max();
        int64_t cpu = 0;
        bool isFailing = false;
    };
    static constexpr Milliseconds maxLease { 1000 };
    static constexpr Milliseconds pingPeriod { 150 };
    static constexpr Milliseconds drainTime { 2000 };
    static constexpr Milliseconds drainWithoutReply { 6000 };
    static constexpr size_t maxListedEnds = 500;

    void startProcess(bool isNewId)
    {
        const auto ms = toMilliseconds(std::chrono::system_clock::now().time_since_epoch()).count();
        m_born = std::max(ms, m_born + 1);
        if (isNewId)
            m_instance = fmt::format("i-{}-{}", m_number, ++m_lastInstance);
        m_started = Clock::now();
        m_clockOffset = isNewId ? draw(m_random, 0, 1'000'000) : 0;
        m_clockRate = 1 - 0.02 * static_cast<double>(draw(m_random, 0, 100)) / 100;
        m_fence = 0;
        m_leaseEnd = 0;
        m_highestEnded.clear();
        m_ended.clear();
        m_lastEnd = 0;
        m_isDraining = false;
        m_drainReply.reset();
        m_isUp = true;
        m_sequence = 0;
        m_isPinging = false;
        m_pings = std::make_shared<AsyncHttpClient>(m_loop, m_pingsAddress, 1);
        m_judge.note(fmt::format("server{} process {} born {}", m_number, m_instance, m_born));
        m_proxy.open();
        ping(m_born);
    }

    void ping(int64_t born)
    {
        if (!m_isUp || born != m_born)
            return;
        runAfter(m_loop, pingPeriod, [this, born] { ping(born); });
        if (std::exchange(m_isPinging, true))
            return;
        ++m_sequence;
        const auto body = pingBody();
        m_pings->call({ "PUT", "/sequoiafold/instances/" + m_instance, body.dump(), {} }, Milliseconds(1000),
            [this, born, isDraining = m_isDraining](const HttpResult& result) {
                if (born != m_born)
                    return;
                m_isPinging = false;
                if (!isDraining || statusOf(result) != 200 || m_drainReply)
                    return;
                m_drainReply = Clock::now();
                m_judge.note(fmt::format("server{} drain acknowledged", m_number));
                runAfter(m_loop, drainTime + Milliseconds(draw(m_random, 0, 1500)), [this, born] { leave(born); });
            });
    }

    Json pingBody() const
    {
        return { { "service", "s" }, { "address", m_address.text }, { "zone", "z" },
            { "state", m_isDraining ? "draining" : "ready" },
            { "capacity", { { "cpu", m_cpuTotal }, { "mem_mb", 100000 }, { "gpu", 0 } } }, { "labels", { "a" } },
            { "born", m_born }, { "seq", m_sequence }, { "clock_ms", clock() } };
    }

    void leave(int64_t born)
    {
        if (!m_isUp || born != m_born)
            return;
        m_pings->call({ "DELETE", "/sequoiafold/instances/" + m_instance, "", {} }, Milliseconds(1000), [](auto) {});
        crash("left");
        runAfter(m_loop, Milliseconds(draw(m_random, 100, 1000)), [this, born] {
            if (!m_isUp && born == m_born)
                startProcess(true);
        });
    }

    int64_t clock() const
    {
        const std::chrono::duration<double, std::milli> age = Clock::now() - m_started;
        return m_clockOffset + static_cast<int64_t>(age.count() * m_clockRate);
    }

    TimePoint endOf(const Run& run) const
    {
        const std::chrono::duration<double, std::milli> life(
            static_cast<double>(m_leaseEnd - m_clockOffset) / m_clockRate);
        return std::min({ run.finish, run.stopEnd, m_started + std::chrono::duration_cast<Clock::duration>(life) });
    }

    void setTimer()
    {
        auto next = TimePoint::max();
        for (const auto& [id, run] : m_runs)
            next = std::min(next, endOf(run));
        m_timer.cancel();
        if (next == TimePoint::max())
            return;
        m_timer.expires_at(next);
        m_timer.async_wait([this](const auto& ec) {
            if (!ec)
                settle();
        });
    }

    void answerPolls()
    {
        for (const auto& poll : std::exchange(m_polls, {}))
            reply(poll, { 200, listing() });
    }

    void reply(const HttpExchangePtr& exchange, const std::pair<int, Json>& answer)
    {
        runAfter(m_loop, Milliseconds(draw(m_random, 0, delay.count())),
            [exchange, answer] { replyJson(exchange, answer.second, answer.first); });
    }

    Json listing() const
    {
        auto running = Json::array();
        for (const auto& [id, run] : m_runs)
            running.push_back({ id.first, id.second, "", 50 });
        const std::vector<Json> ended(
            m_ended.begin(), m_ended.begin() + static_cast<ptrdiff_t>(std::min(m_ended.size(), maxListedEnds)));
        return { { "clock_ms", clock() }, { "born", m_born }, { "running", running }, { "ended", ended } };
    }

    void receive(const HttpServerRequest& call, const HttpExchangePtr& exchange)
    {
        if (!m_isUp)
            return;
        if (call.target == "/sequoiafold/run-stop" && lostStopShare > 0 && chance(m_random, lostStopShare)) {
            m_judge.note(fmt::format("server{} loses stop {}", m_number, call.body));
            m_unanswered.push_back(exchange);
            return;
        }
        if (!chance(m_random, unansweredShare))
            return carryOut(call, exchange, false);
        m_unanswered.push_back(exchange); // Keeps the connection open.
        const auto late = Milliseconds(isHeldUp ? draw(m_random, 2000, 6000)
                : chance(m_random, 0.5)         ? 0
                                                : draw(m_random, 50, 4000));
        if (chance(m_random, 0.3))
            return;
        m_judge.note(fmt::format(
            "server{} answers no {} {}, carries it out after {} ms", m_number, call.target, call.body, late.count()));
        runAfter(m_loop, late, [this, call, born = m_born, isForAnyProcess = isHeldUp] {
            if (!m_isUp || (born != m_born && !isForAnyProcess))
                return;
            if (born != m_born)
                m_judge.note(
                    fmt::format("server{} gets {} {} of its process before", m_number, call.target, call.body));
            carryOut(call, nullptr, true);
        });
    }

    /** `exchange` is null for a call that gets no reply. */
    void carryOut(const HttpServerRequest& call, const HttpExchangePtr& exchange, bool isLate)
    {
        settle();
        const auto body = Json::parse(call.body);
        const auto answer = [&](int status, const char* reason) {
            Json json { { "clock_ms", clock() }, { "born", m_born } };
            if (*reason != '\0')
                json["reason"] = reason;
            if (exchange)
                reply(exchange, { status, json });
        };
        if (const auto expected = call.header("expect-instance"); !expected.empty() && expected != m_instance)
            return answer(421, "");
        const auto fence = body.value("fence", int64_t(0));
        if (fence < m_fence)
            return answer(409, "fence");
        m_fence = fence;
        if (const auto until = body.find("until_ms"); until != body.end()) {
            m_leaseEnd = std::max(m_leaseEnd, std::min(until->get<int64_t>(), clock() + maxLease.count()));
            setTimer();
        }
        if (call.target == "/sequoiafold/hold")
            return poll(body, exchange);
        const RunKey id { body["task"].get<std::string>(), body["run"].get<int64_t>() };
        auto& highest = m_highestEnded[id.first];
        if (call.target == "/sequoiafold/run-stop") {
            highest = std::max(highest, id.second);
            if (const auto it = m_runs.find(id); it != m_runs.end())
                it->second.stopEnd = std::min(it->second.stopEnd, Clock::now() + Milliseconds(draw(m_random, 2, 50)));
            m_judge.note(fmt::format("stop task {} run {} on server{}", id.first, id.second, m_number));
            setTimer();
            return answer(200, "");
        }
        if (m_runs.contains(id))
            return answer(200, "");
        if (id.second <= highest)
            return answer(409, "old");
        if (m_leaseEnd <= clock())
            return answer(409, "late");
        startRun(id, body["spec"].get<std::string>(), isLate);
        answer(200, "");
    }

    void startRun(const RunKey& id, const std::string& spec, bool isLate)
    {
        settleAll();
        int64_t cpu = 0;
        for (const auto& [other, run] : m_runs)
            cpu += run.cpu;
        const bool isLateDrain
            = m_drainReply && !isLate && Clock::now() - *m_drainReply > drainTime && isAgentInTouch();
        m_judge.started({ id, spec, m_number, cpu, m_cpuTotal, isLateDrain, !isLate && isEvacuated() });
        const auto step = m_judge.stepOf(id.first);
        const auto factor = slowness * static_cast<double>(draw(m_random, 80, 120)) / 100;
        Run run { Clock::now() + std::chrono::duration_cast<Clock::duration>(step.time * factor) };
        run.cpu = step.cpu;
        run.isFailing = chance(m_random, 0.01);
        m_runs[id] = run;
        setTimer();
        if (spec != deadlySpec)
            return;
        m_judge.crashedUnder(id.first);
        crash("crash");
        runAfter(m_loop, Milliseconds(draw(m_random, 200, 800)), [this] { restart(); });
    }

    void poll(const Json& body, const HttpExchangePtr& exchange)
    {
        const auto seen = body.value("seen_upto", uint64_t(0));
        std::erase_if(m_ended, [&](const Json& end) { return end[0].get<uint64_t>() <= seen; });
        if (!exchange)
            return;
        const auto wait = Milliseconds(body.value("wait_ms", int64_t(0)));
        if (!m_ended.empty() || wait.count() == 0)
            return reply(exchange, { 200, listing() });
        m_polls.insert(exchange);
        runAfter(m_loop, wait, [this, exchange, born = m_born] {
            if (born == m_born && m_polls.erase(exchange) > 0)
                reply(exchange, { 200, listing() });
        });
    }

    HttpLoop& m_loop;
    Random& m_random;
    Judge& m_judge;
    int m_number;
    std::string m_pingsAddress;
    ReservedAddress m_address;
    AsyncHttpServer m_http;
    SoakProxy m_proxy;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<AsyncHttpClient> m_pings;
    int64_t m_cpuTotal;
    bool m_isUp = false;
    bool m_isDraining = false;
    bool m_isPinging = false;
    std::optional<TimePoint> m_drainReply;
    std::string m_instance;
    int m_lastInstance = 0;
    uint64_t m_sequence = 0;
    int64_t m_born = 0; ///< Start of the process, ms since 1970.
    TimePoint m_started {};
    int64_t m_clockOffset = 0;
    double m_clockRate = 1;
    int64_t m_fence = 0;
    int64_t m_leaseEnd = 0; ///< By the server's own clock.
    std::map<RunKey, Run> m_runs;
    std::map<std::string, int64_t> m_highestEnded; ///< By task: highest run that was stopped or has ended.
    std::vector<Json> m_ended;
    uint64_t m_lastEnd = 0;
    std::set<HttpExchangePtr> m_polls;
    std::vector<HttpExchangePtr> m_unanswered;
};

} // namespace sequoia::testing
