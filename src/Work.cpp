/** @file Work.cpp Log texts and wire formats of task and run identifiers. */
#include <sequoia/Work.h>

#include <fmt/format.h>
#include <sequoia/generated/Messages_generated.h>

namespace sequoia {

std::string toString(const TaskId& task)
{
    return fmt::format("{:016x}.{}.{}", raw(task.job), raw(task.step), raw(task.index));
}

std::string_view toString(WorkStatus status)
{
    switch (status) {
    case WorkStatus::Succeeded:
        return "succeeded";
    case WorkStatus::Failed:
        return "failed";
    case WorkStatus::NotRun:
        return "not-run";
    case WorkStatus::GivenUp:
        return "given-up";
    }
    return "";
}

wire::RunId toWire(const RunId& id) { return { raw(id.task.job), raw(id.task.step), raw(id.task.index), raw(id.run) }; }

RunId fromWire(const wire::RunId& id)
{
    return { { WorkId(id.job()), StepIndex(id.step()), TaskIndex(id.index()) }, RunNumber(id.run()) };
}

} // namespace sequoia
