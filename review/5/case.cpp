/** @file case.cpp A front freezes briefly; meanwhile servers crash and come back as another kind. */
#include "../Standins.h"

using namespace review;

int main(int argc, char** argv)
{
    return runCase(argc, argv, [] {
        constexpr int maxRounds = 6; // All are alike; the first one that shows the fault is the last one.
        constexpr int64_t freezeMs = 400;
        constexpr int64_t downMs = 150;
        constexpr size_t changing = 1; // Servers that crash.
        const std::string service = "huvo11a";
        const Json capacity { { "cpu", 64000 }, { "mem_mb", 262144 }, { "gpu", 0 } };
        Deployment d(3, 11, service, capacity);
        d.store->put("op/config", configuration(7, Json::array({ route("r-1", "/lohu930/", service) }), service));
        d.start();
        const auto begin = [&](size_t i, const std::string& kind) {
            auto& agent = d.agents[i];
            const auto id = "i-" + std::to_string(i + 1);
            record.line("server " + id + " crashes");
            agent.worker.reset();
            sleepMs(downMs);
            agent.worker = std::make_unique<Worker>(
                id, service, agent.serverAddress, agent.pings, capacity, std::vector<std::string> { kind, "r1-1" });
            record.line("server " + id + " starts again at the same address, of kind " + kind);
        };
        for (size_t i = 0; i < changing; ++i)
            begin(i, "b");
        sleepMs(2000);
        uint64_t jobs = 0;
        for (int round = 0; round < maxRounds; ++round) {
            const auto from = nowMs() + 100;
            std::vector<std::thread> callers;
            for (int i = 0; i < 40; ++i) {
                callers.emplace_back([&, i, id = jobId(jobs++)] {
                    sleepUntilMs(from + i * 10);
                    const auto body = job("300 ms of work",
                        Json::array({ { { "count", 1 }, { "cpu", 620 }, { "mem_mb", 64 }, { "estimate_ms", 300 },
                                          { "required_label", "a" } },
                            { { "count", 2 }, { "cpu", 620 }, { "mem_mb", 64 }, { "estimate_ms", 300 },
                                { "required_label", "b" }, { "after", Json::array({ 0 }) } } }));
                    const auto reply = call(d.entries[0].callers, "POST", "/lohu930/" + id, "nony24.example", body,
                        1500, { { "Deadline-Ms", "1500" } });
                    record.line("caller: POST " + id + " at front-1: " + std::to_string(reply.status));
                });
            }
            sleepUntilMs(from + 320);
            if (isTrouble()) {
                const auto frozen = nowMs();
                d.entries[0].process->signal(SIGSTOP, "SIGSTOP");
                std::vector<std::thread> crashes;
                for (size_t i = 0; i < changing; ++i)
                    crashes.emplace_back([&, i] { begin(i, "a"); });
                for (auto& crash : crashes)
                    crash.join();
                sleepUntilMs(frozen + freezeMs);
                d.entries[0].process->signal(SIGCONT, "SIGCONT");
            }
            for (auto& caller : callers)
                caller.join();
            sleepMs(500);
            int broken = 0;
            for (const auto& run : runs.all()) {
                const bool needsB = run.task.substr(16, 5) == ".0.1.";
                if (!needsB || run.labels.front() == "b")
                    continue;
                ++broken;
                record.line("ROUTE: " + run.task + ", which requires the label b, started on " + run.server + " at "
                    + std::to_string(run.started) + " ms, which has the labels " + Json(run.labels).dump());
            }
            record.line("round " + std::to_string(round + 1) + ": " + std::to_string(broken)
                + " starts without the required label");
            if (broken > 0)
                return false;
            for (size_t i = 0; i < changing; ++i)
                begin(i, "b");
            sleepMs(2500);
        }
        return true;
    });
}
