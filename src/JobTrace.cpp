/** @file JobTrace.cpp Bounded list of decisions and its log lines. */
#include <sequoia/JobTrace.h>

namespace sequoia {

void JobTrace::add(JobTraceEvent step)
{
    if (m_events.size() >= maxEvents) {
        ++m_droppedEvents;
        return;
    }
    m_events.push_back(std::move(step));
}

std::vector<LogField> JobTrace::fieldsOf(const JobTraceEvent& step, WorkId job, TimePoint now)
{
    std::vector<LogField> fields { { "job", job }, { "ago_ms", toMilliseconds(now - step.at).count() } };
    if (step.hasRun) {
        fields.push_back({ "task", toString(step.run.task) });
        fields.push_back({ "run", static_cast<int64_t>(raw(step.run.run)) });
    }
    if (!step.agent.empty())
        fields.push_back({ "agent", step.agent });
    fields.insert(fields.end(), step.inputs.begin(), step.inputs.end());
    return fields;
}

} // namespace sequoia
