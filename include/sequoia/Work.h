/** @file Work.h Jobs on the platform: specification, steps, route policy, answers, and identifiers of runs. */
#pragma once

#include <sequoia/Job.h>
#include <sequoia/Resources.h>

#include <compare>
#include <optional>
#include <vector>

namespace sequoia {

namespace wire {
    struct RunId;
}

/** Position of a step within its job. */
enum class StepIndex : uint16_t {};

/** Number of a run of a task, counted from 1; a run is ordered only after the one before is proved to be over. */
enum class RunNumber : uint32_t {};

/** Identifies a task, alike at every entry. */
struct TaskId {
    WorkId job {};
    StepIndex step {};
    TaskIndex index {}; ///< Position in the step.
    auto operator<=>(const TaskId&) const = default;
};

/** One run of a task. */
struct RunId {
    TaskId task;
    RunNumber run {};
    auto operator<=>(const RunId&) const = default;
};

/** Tasks of one kind that run in parallel. */
struct StepSpec {
    uint32_t count = 1;
    Resources resources; ///< Needed by each task.
    Milliseconds estimate { 0 }; ///< Rough run time of a task; zero if unknown.
    std::vector<uint32_t> dependsOn; ///< Positions of the steps that must be done first.
    std::string requiredLabel; ///< Label that the backend server must have; empty for any.
    std::string preferredLabel; ///< Label of the servers near the task's data; empty for any.
    uint32_t maxPerServer = 0; ///< Limit of tasks of this step on one server at a time; 0 for none.
};

/** A job as submitted. */
struct WorkSpec {
    WorkId id {};
    std::string payload; ///< Passed to the backend server unchanged.
    std::vector<StepSpec> steps;
};

/** Settings of a route, from the configuration in force. */
struct RoutePolicy {
    std::string name;
    std::string service; ///< Backend servers of this service run the tasks.
    uint32_t priority = 0; ///< 0 is the most urgent.
    uint32_t maxFailures = 1; ///< The job fails with this many failed runs of one task.
    /** The latency objective is this many times the critical path of the estimates, plus `objective`. */
    double stretch = 1;
    Milliseconds objective { 0 };
};

enum class WorkStatus : uint8_t {
    Succeeded,
    Failed, ///< Runs of one task failed `maxFailures` times.
    NotRun, ///< Refused or ended before a run was ordered; no task was started.
    GivenUp ///< Ended before it was complete; some of its tasks may have run.
};

/** Answer of a job; each job has exactly one. */
struct WorkAnswer {
    WorkStatus status = WorkStatus::NotRun;
    std::string_view reason; ///< A literal for logs and metrics.
    Milliseconds retryAfter { 0 }; ///< Time after which the caller may retry; zero if a retry is pointless.
};

std::string toString(const TaskId& task);
/** Parses a text that `toString` wrote; empty if it is malformed. */
std::optional<TaskId> parseTaskId(const std::string& text);
std::string_view toString(WorkStatus status);

/** A run in a message. The message tells the case of the job id's letters apart from it, as `upper_case`. */
wire::RunId toWire(const RunId& id);
RunId fromWire(const wire::RunId& id, uint16_t upperCase);

/** The list `upper_case` of a message with several runs. It ends with the last job that has letters in upper case, so
 * that messages without such jobs are those of earlier releases. */
void addUpperCase(WorkId job, size_t position, std::vector<uint16_t>& list);
uint16_t upperCaseAt(const std::vector<uint16_t>& list, size_t position);

/** Adds a run to the lists `ids` and `upper_case` of a message. */
void addRun(const RunId& id, std::vector<wire::RunId>& ids, std::vector<uint16_t>& upperCase);
/** The runs of such lists. */
std::vector<RunId> runsOf(const std::vector<wire::RunId>& ids, const std::vector<uint16_t>& upperCase);

} // namespace sequoia

template <> struct std::hash<sequoia::RunId> {
    size_t operator()(const sequoia::RunId& id) const noexcept
    {
        constexpr uint64_t mix = 0x9E3779B97F4A7C15U;
        uint64_t n = (std::hash<sequoia::WorkId>()(id.task.job) ^ sequoia::raw(id.run)) * mix;
        n = (n ^ (n >> 29U) ^ (uint64_t(sequoia::raw(id.task.step)) << 16U) ^ sequoia::raw(id.task.index)) * mix;
        return n ^ (n >> 32U);
    }
};
