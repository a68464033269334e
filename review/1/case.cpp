/** @file case.cpp A front freezes under load and wakes; meanwhile its callers have given up and sent their jobs again.
 */
#include "../Standins.h"

#include <algorithm>

using namespace review;

namespace {

constexpr double frontCores = 0.09; // further-grown/LATER.md: fronts of 0.09 to 0.5 cores
constexpr int jobsPerSecond = 77; // 844 requests a second on 11 fronts
constexpr int64_t freezeMs = 4000; // node_freeze, for_s = 4.0
constexpr int64_t budgetMs = 1500; // time budget
constexpr int64_t resendMs = 1300; // resend_ms
constexpr int maxRounds = 8; // All are alike, each on new processes; the first one that shows the fault is the last.

struct Doubled {
    RunSeen first, second;
};

/** Pairs of runs of one task that were there at the same time. */
std::vector<Doubled> doubledRuns()
{
    std::map<std::string, std::vector<RunSeen>> byTask;
    for (const auto& run : runs.all())
        byTask[run.task].push_back(run);
    std::vector<Doubled> out;
    for (auto& [task, list] : byTask) {
        std::sort(list.begin(), list.end(), [](const auto& a, const auto& b) { return a.started < b.started; });
        for (size_t i = 0; i + 1 < list.size(); ++i) {
            if (list[i].ended < 0 || list[i + 1].started < list[i].ended)
                out.push_back({ list[i], list[i + 1] });
        }
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, [] {
        const std::string service = "huvo11a";
        uint64_t jobs = 0;
        for (int round = 0; round < maxRounds; ++round) {
            Deployment d(3, 11, service, { { "cpu", 64000 }, { "mem_mb", 262144 }, { "gpu", 0 } }, { 0.7, 0.7, 1.7 });
            d.store->put("op/config", configuration(7, Json::array({ route("r-1", "/lohu930/", service) }), service));
            d.start();
            std::vector<std::unique_ptr<UsageCap>> caps;
            for (auto& entry : d.entries)
                caps.push_back(std::make_unique<UsageCap>(entry.process->pid(), frontCores, 10000));
            const size_t frozen = 0;
            // The platform sends the front new channels until it has missed two looks, one a second with 1 s to answer.
            constexpr int sendSeconds = 4; // One before the freeze, three in it.
            const auto begin = nowMs() + 100;
            std::vector<std::thread> callers;
            for (int i = 0; i < sendSeconds * jobsPerSecond; ++i) {
                callers.emplace_back([&, i, id = jobId(jobs++)] {
                    sleepUntilMs(begin + i * 1000 / jobsPerSecond);
                    const auto ms = 700 + (i * 37) % 500;
                    const auto body = job(std::to_string(ms) + " ms of work",
                        Json::array({ { { "count", 2 }, { "cpu", 620 }, { "mem_mb", 64 }, { "estimate_ms", ms } } }));
                    auto front = frozen;
                    for (int tries = 0; tries < 2; ++tries) {
                        const auto sent = nowMs();
                        const auto reply = call(d.entries[front].callers, "POST", "/lohu930/" + id, "nony24.example",
                            body, budgetMs, { { "Deadline-Ms", std::to_string(budgetMs) } });
                        record.line("caller: POST " + id + " sent to front-" + std::to_string(front + 1) + " at "
                            + std::to_string(sent)
                            + " ms: " + (reply.status == 0 ? "no response" : std::to_string(reply.status)));
                        if (reply.status != 0 && reply.status != 502 && reply.status != 504)
                            return;
                        sleepMs(resendMs);
                        front = (frozen + 1 + static_cast<size_t>(i) % 2) % d.entries.size();
                    }
                });
            }
            sleepUntilMs(begin + 1000);
            if (isTrouble()) {
                record.line("front-" + std::to_string(frozen + 1) + " freezes");
                caps[frozen]->setFrozen(true);
                sleepMs(freezeMs);
                caps[frozen]->setFrozen(false);
                record.line("front-" + std::to_string(frozen + 1) + " wakes");
            }
            for (auto& caller : callers)
                caller.join();
            sleepMs(1000);
            caps.clear();
            const auto doubled = doubledRuns();
            for (const auto& [a, b] : doubled)
                record.line("TWICE: " + a.task + " on " + a.server + " from " + std::to_string(a.started) + " to "
                    + std::to_string(a.ended) + " ms (" + a.how + "), and on " + b.server + " from "
                    + std::to_string(b.started) + " to " + std::to_string(b.ended) + " ms (" + b.how + ")");
            record.line("round " + std::to_string(round + 1) + ": " + std::to_string(doubled.size())
                + " tasks with two runs at the same time");
            if (!doubled.empty())
                return false;
        }
        return true;
    });
}
