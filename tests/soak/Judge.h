/** @file Judge.h Judges a soak while it runs, from what callers and backend servers see. */
#pragma once

#include <sequoia/Time.h>

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoia::testing {

/** Name of a task, as on the wire, with the number of its run. */
using RunKey = std::pair<std::string, int64_t>;

/** A step of a job: its tasks run after those of the step before. */
struct JobStep {
    int64_t count = 1;
    int64_t cpu = 0; ///< For each task, thousandths.
    Milliseconds time {}; ///< That each task takes on a healthy server.
};

/** A job with what is known of it. */
struct JobRecord {
    std::string spec;
    std::vector<JobStep> steps;
    int attempts = 0; ///< Requests that were sent.
    int refusals = 0; ///< Requests that were answered with 503 or 429.
    int starts = 0;
    std::map<std::string, int> crashes; ///< By task: servers that it crashed.
    std::set<std::string> done; ///< Tasks with a run that ended `done`.
};

/** Start of a run, as a server sees it. */
struct StartRecord {
    RunKey run;
    std::string spec;
    int server = 0;
    int64_t cpuBefore = 0; ///< In use on the server, with the runs that are being stopped.
    int64_t cpuTotal = 0;
    bool isLateDrain = false; ///< The server's drain was acknowledged longer ago than is allowed.
    bool isInEvacuatedDomain = false; ///< The store acknowledged the request for it longer ago than is allowed.
};

/** Account of all jobs and runs. Used on the event loop's thread. */
class Judge {
public:
    explicit Judge(const std::string& path)
        : m_out(path)
    {
    }

    void note(const std::string& text)
    {
        const auto ms = toMilliseconds(Clock::now() - m_begin).count();
        m_out << fmt::format("{:3}.{:03} {}\n", ms / 1000, ms % 1000, text) << std::flush;
    }
    void broken(const std::string& rule, const std::string& text)
    {
        note(fmt::format("BROKEN {}: {}", rule, text));
        violations.push_back(fmt::format("{}: {}", rule, text));
    }

    void submitted(const std::string& id, const JobRecord& job) { m_jobs[id] = job; }
    void sent(const std::string& id, size_t entry)
    {
        ++m_jobs[id].attempts;
        note(fmt::format("job {} attempt {} to entry{}", id, m_jobs[id].attempts, entry));
    }

    /** A request was answered; status 0 if it wasn't. */
    void answered(const std::string& id, size_t entry, int status, const std::string& body)
    {
        auto& job = m_jobs[id];
        note(fmt::format("job {} answer of entry{}: {} {}", id, entry, status, body));
        ++answers[status];
        if (status == 503 || status == 429) {
            ++job.refusals;
            if (isRefused(job) && job.starts > 0)
                broken("REFUSED", fmt::format("job {} has {} starts", id, job.starts));
        } else if (status == 200 && body == R"({"state":"succeeded"})") {
            ++served[entry];
            for (size_t step = 0; step < job.steps.size(); ++step)
                expectDone(id, job, step, "PARTIAL");
        } else if (status != 0 && status != 502 && status != 504 && body != R"({"state":"failed"})") {
            broken("ANSWER", fmt::format("job {} was answered with {} {}", id, status, body));
        }
    }

    /** A server starts a run. `settle` must have brought all servers up to date. */
    void started(const StartRecord& start)
    {
        ++starts;
        const auto& [task, number] = start.run;
        const auto text = fmt::format("task {} run {} on server{}", task, number, start.server);
        note("start " + text);
        ++startsOn[start.server];
        for (const auto& [server, other] : m_running[task])
            broken("TWICE", fmt::format("{} while run {} is on server{}", text, other, server));
        m_running[task].emplace_back(start.server, number);
        const auto id = task.substr(0, task.find('.'));
        const auto it = m_jobs.find(id);
        if (it == m_jobs.end() || it->second.spec != start.spec)
            return broken("UNASKED", text);
        auto& job = it->second;
        ++job.starts;
        if (isRefused(job))
            broken("REFUSED", text + " of a job that was only refused");
        const auto cpu = stepOf(task).cpu;
        if (start.cpuBefore + cpu > start.cpuTotal)
            broken("LIMIT", fmt::format("{}: {} + {} of {}", text, start.cpuBefore, cpu, start.cpuTotal));
        if (start.isLateDrain)
            broken("DRAIN", text);
        if (start.isInEvacuatedDomain)
            broken("EVACUATED", text);
        if (const auto step = stepIndex(task); step > 0)
            expectDone(id, job, step - 1, "ORDER");
        if (job.crashes[task] == maxCrashes) // Once for a task, however often it is started then.
            broken("BUDGET", fmt::format("{} after {} crashes under it", text, job.crashes[task]));
    }

    void ended(const RunKey& run, int server, const std::string& how)
    {
        note(fmt::format("end task {} run {} on server{}: {}", run.first, run.second, server, how));
        auto& job = m_jobs[run.first.substr(0, run.first.find('.'))];
        if (how == "done")
            job.done.insert(run.first);
        std::erase(m_running[run.first], std::pair(server, run.second));
    }

    void crashedUnder(const std::string& task) { ++m_jobs[task.substr(0, task.find('.'))].crashes[task]; }

    /** What a task needs; nothing for a task that nobody asked for. */
    JobStep stepOf(const std::string& task) const
    {
        const auto it = m_jobs.find(task.substr(0, task.find('.')));
        const auto index = stepIndex(task);
        return it == m_jobs.end() || index >= it->second.steps.size() ? JobStep() : it->second.steps[index];
    }

    std::vector<std::string> violations;
    std::map<int, int> answers; ///< By status.
    std::map<size_t, int> served; ///< Jobs that succeeded, by entry.
    std::map<int, int> startsOn; ///< By server.
    int64_t starts = 0;

private:
    static constexpr int maxCrashes = 3;

    static size_t stepIndex(const std::string& task) // ID.OCCURRENCE.STEP.INDEX
    {
        const auto at = task.find('.', task.find('.') + 1);
        return at == std::string::npos ? 0 : std::stoul(task.substr(at + 1));
    }
    static bool isRefused(const JobRecord& job) { return job.attempts > 0 && job.refusals == job.attempts; }

    void expectDone(const std::string& id, const JobRecord& job, size_t step, const std::string& rule)
    {
        for (int64_t i = 0; i < job.steps[step].count; ++i) {
            if (const auto task = fmt::format("{}.0.{}.{}", id, step, i); !job.done.contains(task))
                broken(rule, fmt::format("task {} is not done", task));
        }
    }

    std::ofstream m_out;
    TimePoint m_begin = Clock::now();
    std::map<std::string, JobRecord> m_jobs;
    std::map<std::string, std::vector<std::pair<int, int64_t>>> m_running; ///< By task: server and run.
};

} // namespace sequoia::testing
