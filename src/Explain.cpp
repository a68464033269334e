/** @file Explain.cpp Derives the cause of a request's outcome from the events about it. */
#include "Explain.h"

#include "LogLines.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace sequoia {

namespace {

    using Json = nlohmann::ordered_json;

    constexpr uint64_t usPerMs = 1000;
    constexpr int64_t slowServerPercent = 150; // From this slowness on, the server is given as the cause.
    constexpr double longRunRatio = 1.5; // A run this much longer than expected is given as the cause.
    constexpr uint64_t contextWindowUs = 2'000'000; // State changes that old may still have affected the request.

    const std::set<std::string_view> stateEventKinds { "agent-state", "agent-linked", "agent-unlinked", "gate-state",
        "server-gone", "server-left", "server-life", "server-end-refuted", "server-crashed", "route-isolated",
        "routes-released", "owner-lost", "suspended", "store-lost", "store-regained", "configuration", "started",
        "stopping", "stopped", "quarantine-trial", "quarantine-ended" };

    /** Time of an event, ms. A job's trace is logged when the job ends; `ago_ms` is the age of its events by then. */
    int64_t happenedAtMs(const TimeLineEvent& event)
    {
        return static_cast<int64_t>(event.stamp / usPerMs) - numberOf(event, "ago_ms");
    }

    bool isRunKind(const std::string& kind) { return kind.starts_with("run-"); }

    /** Events of one task in the entry's trace of the job, in order of time. */
    using TaskEvents = std::vector<const TimeLineEvent*>;

    std::map<std::string, TaskEvents> eventsByTask(const std::vector<TimeLineEvent>& events)
    {
        std::map<std::string, TaskEvents> tasks;
        for (const auto& event : events) {
            // Agents log runs as well, but without the field `agent`; only the entry's trace covers all servers.
            if (isRunKind(event.kind) && !fieldOf(event, "agent").empty())
                tasks[fieldOf(event, "task")].push_back(&event);
        }
        for (auto& [task, taskEvents] : tasks) {
            std::stable_sort(taskEvents.begin(), taskEvents.end(),
                [](const auto* a, const auto* b) { return happenedAtMs(*a) < happenedAtMs(*b); });
        }
        return tasks;
    }

    bool isDone(const TaskEvents& taskEvents) { return !taskEvents.empty() && taskEvents.back()->kind == "run-done"; }

    /** The task that determined when the job ended: an unfinished one, otherwise the one that ended last. */
    const TaskEvents* criticalTask(const std::map<std::string, TaskEvents>& tasks)
    {
        const TaskEvents* last = nullptr;
        for (const auto& [name, taskEvents] : tasks) {
            const auto rank = [](const TaskEvents& s) { return std::pair(!isDone(s), happenedAtMs(*s.back())); };
            if (last == nullptr || rank(taskEvents) > rank(*last))
                last = &taskEvents;
        }
        return last;
    }

    std::string describeEnd(const TimeLineEvent& end)
    {
        if (end.kind == "run-refused" && fieldOf(end, "reason") == "Unanswered")
            return "start without an answer, stopped";
        if (end.kind == "run-refused")
            return "refused at the gate (" + fieldOf(end, "reason") + ")";
        if (end.kind == "run-failed")
            return "ran and failed";
        if (end.kind == "run-lost")
            return "lost (" + fieldOf(end, "reason") + ")";
        if (end.kind == "run-stuck")
            return "ran too long and was stopped";
        return "ran";
    }

    std::vector<RequestPhase> phasesOf(const TaskEvents& taskEvents, int64_t arrival, int64_t answer)
    {
        std::vector<RequestPhase> phases;
        int64_t phaseStart = arrival;
        const TimeLineEvent* order = nullptr;
        for (const auto* event : taskEvents) {
            const auto at = happenedAtMs(*event);
            if (event->kind == "run-ordered") {
                phases.push_back({ "waited for room", "", at - phaseStart });
                order = event;
            } else if (order != nullptr) {
                phases.push_back({ describeEnd(*event), fieldOf(*event, "agent"), at - phaseStart });
            }
            phaseStart = at;
        }
        const bool isOpen = !taskEvents.empty() && taskEvents.back()->kind == "run-ordered";
        if (isOpen)
            phases.push_back({ "ran, without an end", fieldOf(*taskEvents.back(), "agent"), answer - phaseStart });
        else if (!isDone(taskEvents))
            phases.push_back({ "waited for room", "", answer - phaseStart });
        std::erase_if(
            phases, [](const RequestPhase& phase) { return phase.description == "waited for room" && phase.ms <= 0; });
        return phases;
    }

    /** Agents whose gate was closed at the time `stamp`, with the reason. */
    std::map<std::string, std::string> closedAgents(const std::vector<TimeLineEvent>& events, uint64_t stamp)
    {
        std::map<std::string, std::string> closed;
        for (const auto& event : events) {
            if (event.stamp > stamp)
                break;
            if (event.kind == "gate-state") {
                if (fieldOf(event, "state") == "Closed")
                    closed[event.process] = fieldOf(event, "reason");
                else
                    closed.erase(event.process);
            } else if (event.kind == "started")
                closed.erase(event.process);
        }
        return closed;
    }

    std::string describeClosedAgents(const std::vector<TimeLineEvent>& events, uint64_t stamp)
    {
        std::vector<std::string> list;
        for (const auto& [agent, reason] : closedAgents(events, stamp))
            list.push_back(fmt::format("{} ({})", agent, reason));
        if (list.empty())
            return "no server was closed";
        return fmt::format("{} closed: {}", list.size(), fmt::join(list, ", "));
    }

    struct Cause {
        std::string code;
        std::string text;
    };

    /** The last admission decision on the job: refused, queued or reviewed; null if there is none. */
    const TimeLineEvent* lastDecision(const Explanation& out)
    {
        const TimeLineEvent* decision = nullptr;
        for (const auto& event : out.events) {
            if (event.kind == "job-refused" || event.kind == "job-queued" || event.kind == "job-reviewed")
                decision = &event;
        }
        return decision;
    }

    Cause causeOfCallerGone(
        const std::vector<TimeLineEvent>& events, const Explanation& out, const TimeLineEvent& answer)
    {
        const auto waitedBefore = numberOf(answer, "waited_before_ms");
        const auto waitedHere = numberOf(answer, "age_ms") - waitedBefore;
        const auto* decision = lastDecision(out);
        const bool isNewEntry = decision != nullptr && fieldOf(*decision, "view_complete") == "false";
        const auto earlierTry
            = waitedBefore > 0 ? fmt::format("{} ms with an earlier try that got no answer, then ", waitedBefore) : "";
        return { "caller-gone",
            fmt::format("its caller left after {} ms, before it was started: {}{} ms of waiting for room at {}{}; {}",
                numberOf(answer, "age_ms"), earlierTry, waitedHere, answer.process,
                isNewEntry ? ", which had just started and did not know all servers yet" : "",
                describeClosedAgents(events, answer.stamp)) };
    }

    Cause causeOfRefusal(const std::vector<TimeLineEvent>& events, const Explanation& out, const TimeLineEvent& answer)
    {
        const auto reason = fieldOf(answer, "reason");
        if (reason == "caller-gone")
            return causeOfCallerGone(events, out, answer);
        const auto* decision = lastDecision(out);
        if (reason == "overloaded" || reason == "waited-too-long") {
            const auto wait = decision == nullptr ? 0 : numberOf(*decision, "predicted_wait_ms");
            return { reason,
                fmt::format("refused after {} ms: the predicted wait was {} ms, longer than its caller waits (arriving "
                            "work: {} per ms, capacity of the servers: {} per ms; {})",
                    numberOf(answer, "queued_ms"), wait,
                    decision == nullptr ? "?" : fieldOf(*decision, "arriving_per_ms"),
                    decision == nullptr ? "?" : fieldOf(*decision, "capacity_per_ms"),
                    describeClosedAgents(events, answer.stamp)) };
        }
        if (reason == "route-isolated")
            return { reason,
                fmt::format(
                    "refused: tasks of its route {} crash servers, so that it runs on a few servers only, and these "
                    "had no room in time; {}",
                    fieldOf(answer, "route"), describeClosedAgents(events, answer.stamp)) };
        if (reason == "no-server-fits")
            return { reason, "refused at once: no known server is large enough or has its label" };
        if (reason == "read-too-late")
            return { reason,
                fmt::format("refused: {} read its request so late that its caller may have given up", answer.process) };
        if (reason == "no-backend-server")
            return { reason,
                "refused: no agent was linked to this entry; " + describeClosedAgents(events, answer.stamp) };
        if (reason == "stopping")
            return { reason, fmt::format("refused because {} was stopping", answer.process) };
        return { reason, fmt::format("refused: {}", reason) };
    }

    /** The longest phase other than an ordinary run; null if there is none. */
    const RequestPhase* longestDelay(const std::vector<RequestPhase>& phases)
    {
        const RequestPhase* longest = nullptr;
        for (const auto& phase : phases) {
            const bool isRun = phase.description.starts_with("ran")
                && phase.description != "ran too long and was stopped" && phase.description != "ran and failed";
            if (isRun)
                continue;
            if (longest == nullptr || phase.ms > longest->ms)
                longest = &phase;
        }
        return longest;
    }

    Cause causeOfRun(const TaskEvents& taskEvents, const RequestPhase& run)
    {
        const TimeLineEvent* order = nullptr;
        for (const auto* event : taskEvents) {
            if (event->kind == "run-ordered")
                order = event;
        }
        const auto expected = order == nullptr ? 0 : numberOf(*order, "expected_ms");
        const auto slowness = order == nullptr ? 100 : numberOf(*order, "slowness_percent", 100);
        const bool isLong = expected > 0
            && static_cast<double>(run.ms)
                > longRunRatio * static_cast<double>(expected * std::max<int64_t>(slowness, 100)) / 100;
        if (run.description == "ran, without an end")
            return { "no-end",
                fmt::format("its run on {} had not ended after {} ms, where {} ms were expected", run.agent, run.ms,
                    expected * slowness / 100) };
        if (isLong)
            return { "longer-than-expected",
                fmt::format("its run on {} took {} ms, where {} ms were expected: the estimate was too short or the "
                            "server had become slow",
                    run.agent, run.ms, expected * slowness / 100) };
        if (slowness >= slowServerPercent)
            return { "slow-server",
                fmt::format(
                    "it ran for {} ms on {}, which takes {}% of the expected time", run.ms, run.agent, slowness) };
        return { "long-run", fmt::format("it ran for {} ms on {}", run.ms, run.agent) };
    }

    Cause causeOfDelay(const std::vector<TimeLineEvent>& events, const TaskEvents& taskEvents,
        const std::vector<RequestPhase>& phases, uint64_t stamp)
    {
        const RequestPhase* run = nullptr;
        for (const auto& phase : phases) {
            if (phase.description.starts_with("ran") && (run == nullptr || phase.ms > run->ms))
                run = &phase;
        }
        const auto* longest = longestDelay(phases);
        constexpr int64_t noticeableMs = 50;
        const bool isRunTheCause = run != nullptr && (longest == nullptr || longest->ms < noticeableMs);
        if (isRunTheCause)
            return causeOfRun(taskEvents, *run);
        if (longest == nullptr)
            return { "unknown", "the logs contain no decision about its tasks" };
        if (longest->description == "waited for room")
            return { "waited-for-room",
                fmt::format(
                    "its last task waited {} ms for room; {}", longest->ms, describeClosedAgents(events, stamp)) };
        return { longest->description.starts_with("lost")     ? "run-lost"
                : longest->description.starts_with("ran and") ? "run-failed"
                : longest->description.starts_with("ran too") ? "run-stuck"
                : longest->description.starts_with("start")   ? "start-unanswered"
                                                              : "refused-at-gate",
            fmt::format(
                "a run of its last task on {} cost {} ms: {}", longest->agent, longest->ms, longest->description) };
    }

    /** Servers that crashed under a job of which a task was given up for it. */
    Cause causeOfCrashes(const std::map<std::string, TaskEvents>& tasks)
    {
        std::set<std::string> servers;
        for (const auto& [name, taskEvents] : tasks) {
            for (const auto* event : taskEvents) {
                const auto reason = fieldOf(*event, "reason");
                if (event->kind == "run-lost" && (reason == "server-gone" || reason == "lease-ended"))
                    servers.insert(fieldOf(*event, "agent"));
            }
        }
        return { "crashes-servers",
            fmt::format("one of its tasks crashes the servers that start it (here on {}), and is not started again",
                servers.empty() ? "servers of other entries" : fmt::format("{}", fmt::join(servers, ", "))) };
    }

    Cause causeOfFailure(const TaskEvents& taskEvents)
    {
        std::map<std::string, int> failures;
        for (const auto* event : taskEvents) {
            if (event->kind == "run-failed")
                ++failures[fieldOf(*event, "agent")];
        }
        std::vector<std::string> list;
        list.reserve(failures.size());
        for (const auto& [agent, n] : failures)
            list.push_back(fmt::format("{} on {}", n, agent));
        if (failures.size() > 1)
            return { "task-fails",
                fmt::format(
                    "one of its tasks failed wherever it ran ({}): the task itself fails", fmt::join(list, ", ")) };
        return { "server-fails",
            fmt::format("one of its tasks failed as often as its route allows ({})", fmt::join(list, ", ")) };
    }

    /** Cause for a job without an answer. */
    Cause causeWithoutAnswer(const std::vector<TimeLineEvent>& events, const Explanation& out)
    {
        for (const auto& event : out.events) {
            if (event.kind != "run-owner-lost")
                continue;
            return { "entry-lost",
                fmt::format("the entry that owned it was lost ({}), {} stopped its run; its caller has to resend it",
                    fieldOf(event, "reason"), event.process) };
        }
        const bool hasRestart = std::any_of(events.begin(), events.end(), [&](const TimeLineEvent& event) {
            return event.kind == "started" && event.stamp > out.events.back().stamp;
        });
        return { "no-answer",
            hasRestart ? "no entry answered it, and processes have restarted since: its entry ended before it answered"
                       : "no entry has answered it yet" };
    }

    Cause causeOf(const std::vector<TimeLineEvent>& events, Explanation& out)
    {
        if (out.events.empty())
            return { "unseen",
                "no process logged it: it reached no entry, or it succeeded and its lines were suppressed" };
        std::vector<const TimeLineEvent*> answers;
        for (const auto& event : out.events) {
            if (event.kind == "job-answered")
                answers.push_back(&event);
        }
        if (answers.empty())
            return causeWithoutAnswer(events, out);
        const auto& answer = *answers.back();
        const auto status = fieldOf(answer, "status");
        std::string resendNote;
        if (answers.size() > 1)
            resendNote
                = fmt::format("answered {} times, last by {}: its caller resent it; ", answers.size(), answer.process);
        if (status == "not-run") {
            const auto cause = causeOfRefusal(events, out, answer);
            return { cause.code, resendNote + cause.text };
        }
        const auto tasks = eventsByTask(out.events);
        if (fieldOf(answer, "reason") == "crashes-servers") {
            const auto cause = causeOfCrashes(tasks);
            return { cause.code, resendNote + cause.text };
        }
        const auto* taskEvents = criticalTask(tasks);
        if (taskEvents == nullptr) {
            if (status == "succeeded" && fieldOf(answer, "in_time") != "false")
                return { "in-time",
                    resendNote + fmt::format("it succeeded in time, after {} ms", numberOf(answer, "age_ms")) };
            return { "unknown", resendNote + "the logs contain no decision about its tasks" };
        }
        const auto answeredAt = static_cast<int64_t>(answer.stamp / usPerMs);
        const auto arrival = answeredAt - numberOf(answer, "age_ms") + numberOf(answer, "waited_before_ms");
        out.phases = phasesOf(*taskEvents, arrival, answeredAt);
        if (status == "failed") {
            for (const auto& [name, failedTask] : tasks) {
                const bool hasFailed = failedTask.back()->kind == "run-failed";
                if (!hasFailed)
                    continue;
                const auto cause = causeOfFailure(failedTask);
                return { cause.code, resendNote + cause.text };
            }
        }
        const auto cause = causeOfDelay(events, *taskEvents, out.phases, answer.stamp);
        const auto waitedBefore = numberOf(answer, "waited_before_ms");
        const auto earlierNote = waitedBefore > 0
            ? fmt::format("its caller had waited {} ms or more before this request; ", waitedBefore)
            : "";
        if (status == "succeeded" && fieldOf(answer, "in_time") != "false")
            return { "in-time",
                resendNote
                    + fmt::format("it succeeded in time, after {} ms; {}", numberOf(answer, "age_ms"), cause.text) };
        const auto result = status == "succeeded" ? "late" : "not finished";
        const auto age = numberOf(answer, "age_ms");
        if (waitedBefore * 2 >= age) {
            return { "sent-again",
                fmt::format(
                    "{}{} after {} ms, of which its caller had spent {} ms with an earlier try that got no answer; "
                    "{} answered it within {} ms",
                    resendNote, result, age, waitedBefore, answer.process, age - waitedBefore) };
        }
        return { cause.code,
            fmt::format(
                "{}{}{} after {} ms: {}", resendNote, earlierNote, result, numberOf(answer, "age_ms"), cause.text) };
    }

    /** State changes of the processes involved, from `contextWindowUs` before the first event to the last one. */
    std::vector<TimeLineEvent> contextOf(const std::vector<TimeLineEvent>& events, const Explanation& out)
    {
        std::vector<TimeLineEvent> context;
        if (out.events.empty())
            return context;
        std::set<std::string> involved;
        uint64_t first = out.events.front().stamp;
        for (const auto& event : out.events) {
            involved.insert(event.process);
            involved.insert(fieldOf(event, "agent"));
            first = std::min(first, event.stamp - static_cast<uint64_t>(numberOf(event, "ago_ms")) * usPerMs);
        }
        involved.erase("");
        for (const auto& event : events) {
            const bool isInWindow = event.stamp + contextWindowUs >= first && event.stamp <= out.events.back().stamp;
            const bool isInvolved = involved.contains(event.process)
                && (fieldOf(event, "agent").empty() || involved.contains(fieldOf(event, "agent")));
            if (isInWindow && isInvolved && stateEventKinds.contains(event.kind))
                context.push_back(event);
        }
        return context;
    }

    Json toJson(const TimeLineEvent& event)
    {
        Json out { { "stamp", event.stamp }, { "process", event.process }, { "event", event.kind } };
        for (const auto& field : event.fields)
            out["fields"][field.key] = field.value;
        return out;
    }

} // namespace

Explanation explain(const std::vector<TimeLineEvent>& events, const std::string& job)
{
    Explanation out;
    out.job = job;
    for (const auto& event : events) {
        const bool isAboutJob = fieldOf(event, "job") == job
            || (event.kind == "request-refused" && fieldOf(event, "target").find(job) != std::string::npos);
        if (isAboutJob)
            out.events.push_back(event);
    }
    std::stable_sort(out.events.begin(), out.events.end(),
        [](const auto& a, const auto& b) { return happenedAtMs(a) < happenedAtMs(b); });
    const auto refused = std::find_if(out.events.begin(), out.events.end(),
        [](const TimeLineEvent& event) { return event.kind == "request-refused"; });
    Cause cause;
    if (refused != out.events.end() && refused + 1 == out.events.end())
        cause = { "request-refused",
            fmt::format("refused with status {} by {}: {}", fieldOf(*refused, "status"), refused->process,
                fieldOf(*refused, "reason")) };
    else
        cause = causeOf(events, out);
    out.code = std::move(cause.code);
    out.cause = std::move(cause.text);
    out.context = contextOf(events, out);
    return out;
}

namespace {

    /** Jobs that failed, were refused or were late; those that took longest to be answered come first. */
    std::vector<std::string> troubledJobs(const std::vector<TimeLineEvent>& events)
    {
        std::map<std::string, int64_t> ages;
        for (const auto& event : events) {
            if (event.kind != "job-answered")
                continue;
            const bool isGood = fieldOf(event, "status") == "succeeded" && fieldOf(event, "in_time") != "false";
            if (!isGood)
                ages[fieldOf(event, "job")] = numberOf(event, "age_ms");
        }
        std::vector<std::pair<int64_t, std::string>> ordered;
        ordered.reserve(ages.size());
        for (const auto& [job, age] : ages)
            ordered.emplace_back(-age, job);
        std::sort(ordered.begin(), ordered.end());
        std::vector<std::string> out;
        out.reserve(ordered.size());
        for (auto& [age, job] : ordered)
            out.push_back(std::move(job));
        return out;
    }

} // namespace

std::vector<Explanation> explainTroubled(const std::vector<TimeLineEvent>& events)
{
    // To avoid a scan of all events for each request, each one gets only its own events and the state changes.
    std::map<std::string, std::vector<TimeLineEvent>> byJob;
    std::vector<TimeLineEvent> stateChanges;
    for (const auto& event : events) {
        if (const auto job = fieldOf(event, "job"); !job.empty())
            byJob[job].push_back(event);
        else if (stateEventKinds.contains(event.kind))
            stateChanges.push_back(event);
    }
    std::vector<Explanation> out;
    for (const auto& job : troubledJobs(events)) {
        std::vector<TimeLineEvent> jobEvents;
        std::merge(byJob[job].begin(), byJob[job].end(), stateChanges.begin(), stateChanges.end(),
            std::back_inserter(jobEvents), [](const auto& a, const auto& b) { return a.stamp < b.stamp; });
        out.push_back(explain(jobEvents, job));
    }
    return out;
}

std::string explanationText(const Explanation& explanation)
{
    auto out = fmt::format("{}: {}\n", explanation.job, explanation.cause);
    if (!explanation.phases.empty())
        out += "\nphases of the critical task:\n";
    for (const auto& phase : explanation.phases)
        out += fmt::format(
            "  {:>7} ms  {}{}\n", phase.ms, phase.description, phase.agent.empty() ? "" : " on " + phase.agent);
    const auto lines = [&](const char* title, const std::vector<TimeLineEvent>& events) {
        if (events.empty())
            return;
        out += fmt::format("\n{}:\n", title);
        const auto first = happenedAtMs(events.front());
        for (const auto& event : events)
            out += fmt::format("  {:>9} ms  {:<16} {}\n", happenedAtMs(event) - first, event.process, describe(event));
    };
    lines("its events", explanation.events);
    lines("state changes of the processes involved", explanation.context);
    return out;
}

std::string explanationJson(const Explanation& explanation)
{
    Json out { { "job", explanation.job }, { "code", explanation.code }, { "cause", explanation.cause },
        { "phases", Json::array() }, { "events", Json::array() }, { "context", Json::array() } };
    for (const auto& phase : explanation.phases)
        out["phases"].push_back({ { "what", phase.description }, { "agent", phase.agent }, { "ms", phase.ms } });
    for (const auto& event : explanation.events)
        out["events"].push_back(toJson(event));
    for (const auto& event : explanation.context)
        out["context"].push_back(toJson(event));
    return out.dump(1, ' ', false, Json::error_handler_t::replace);
}

} // namespace sequoia
