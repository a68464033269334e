/** @file Caller.h A caller of the soak, which sends one job after another and sends unanswered ones again. */
#pragma once

#include "../PlatformStandins.h"
#include "Judge.h"
#include "Server.h"

namespace sequoia::testing {

class SoakCaller {
public:
    /** `quickResendShare`: of resubmissions after a broken connection, which go to another entry almost at once. */
    SoakCaller(HttpLoop& loop, Random& random, Judge& judge, const std::vector<std::string>& entries, std::string spec,
        double quickResendShare)
        : m_loop(loop)
        , m_random(random)
        , m_judge(judge)
        , m_spec(std::move(spec))
        , m_quickResendShare(quickResendShare)
    {
        for (const auto& entry : entries)
            m_connections.push_back(std::make_unique<AsyncHttpClient>(loop, entry, 1));
        moveToEntry();
        next();
    }

    void stop() { m_isStopping = true; }
    bool isIdle() const { return m_isIdle; }
    const std::string& job() const { return m_id; }

private:
    static constexpr Milliseconds resendDelay { 1300 };
    static constexpr Milliseconds resendDelayAfterReset { 10 };
    static constexpr Milliseconds deadlyBudget { 30000 };
    static constexpr int maxAttempts = 4; ///< Then the caller goes away, but not at the end of the soak.

    /** A kept connection stays with its entry; after a broken one the load balancer chooses again. */
    void moveToEntry()
    {
        m_entry = static_cast<size_t>(draw(m_random, 0, static_cast<int64_t>(m_connections.size()) - 1));
    }
    void moveToOtherEntry()
    {
        const auto steps = static_cast<size_t>(draw(m_random, 1, static_cast<int64_t>(m_connections.size()) - 1));
        m_entry = (m_entry + steps) % m_connections.size();
    }

    void next()
    {
        if (m_isStopping) {
            m_isIdle = true;
            return;
        }
        const auto number = m_random();
        m_id = number % 4 == 0 ? fmt::format("{:016X}", number) : fmt::format("{:016x}", number);
        m_attempts = 0;
        m_chain = Milliseconds(0);
        JobRecord job;
        job.spec = m_spec;
        for (auto n = draw(m_random, 1, 2); n > 0; --n) {
            const bool isLong = chance(m_random, 0.2);
            job.steps.push_back({ m_spec == deadlySpec ? 1 : draw(m_random, 1, 4), 500 * draw(m_random, 1, 3),
                Milliseconds(isLong ? draw(m_random, 400, 2000) : draw(m_random, 10, 400)) });
        }
        auto steps = Json::array();
        for (const auto& step : job.steps) {
            m_chain += step.time;
            steps.push_back({ { "count", step.count }, { "cpu", step.cpu }, { "mem_mb", 10 },
                { "estimate_ms", step.time.count() * draw(m_random, 50, 150) / 100 } });
            if (steps.size() > 1)
                steps.back()["after"] = { 0 };
        }
        m_body = Json { { "spec", m_spec }, { "best_effort", true }, { "steps", steps } }.dump();
        m_judge.submitted(m_id, job);
        send();
    }

    void send()
    {
        ++m_attempts;
        m_judge.sent(m_id, m_entry);
        // Long enough for the job's steps one after the other.
        const auto budget
            = m_spec == deadlySpec ? deadlyBudget : m_chain * 3 / 2 + Milliseconds(draw(m_random, 2500, 6000));
        const auto timeout = budget + Milliseconds(500);
        m_connections[m_entry]->call(
            { "POST", "/p/" + m_id, m_body,
                { { "Host", "h.example" }, { "Deadline-Ms", fmt::to_string(budget.count()) } } },
            timeout, [this, until = Clock::now() + timeout](const HttpResult& result) {
                const auto* fault = std::get_if<HttpFault>(&result);
                answered(result, fault != nullptr && *fault == HttpFault::NoAnswer && Clock::now() < until);
            });
    }

    void answered(const HttpResult& result, bool isReset)
    {
        const auto status = statusOf(result);
        m_judge.answered(m_id, m_entry, status, bodyOf(result));
        const bool isUnknown = status == 0 || status == 502 || status == 504;
        if (isReset && m_attempts < maxAttempts && chance(m_random, m_quickResendShare)) {
            moveToOtherEntry();
            return runAfter(m_loop, resendDelayAfterReset, [this] { send(); });
        }
        if (isUnknown || chance(m_random, 0.05))
            moveToEntry();
        if (isUnknown && (m_attempts < maxAttempts || m_isStopping))
            return runAfter(m_loop, resendDelay, [this] { send(); });
        runAfter(m_loop, Milliseconds(draw(m_random, 0, 150)), [this] { next(); });
    }

    HttpLoop& m_loop;
    Random& m_random;
    Judge& m_judge;
    std::string m_spec;
    double m_quickResendShare;
    std::vector<std::unique_ptr<AsyncHttpClient>> m_connections;
    size_t m_entry = 0;
    std::string m_id;
    std::string m_body;
    Milliseconds m_chain {}; ///< Time that the job's steps take one after the other.
    int m_attempts = 0;
    bool m_isStopping = false;
    bool m_isIdle = false;
};

} // namespace sequoia::testing
