/** @file JobTrace.cpp Bounded list of a job's events and its log lines. */
#include <sequoia/JobTrace.h>

namespace sequoia {

void JobTrace::add(JobStep event)
{
    if (m_steps.size() >= mostSteps) {
        ++m_left;
        return;
    }
    m_steps.push_back(std::move(event));
}

std::vector<LogField> JobTrace::fieldsOf(const JobStep& event, WorkId job, TimePoint now)
{
    std::vector<LogField> fields { { "job", job }, { "ago_ms", toMilliseconds(now - event.at).count() } };
    if (event.hasRun) {
        fields.push_back({ "task", toString(event.run.task) });
        fields.push_back({ "run", static_cast<int64_t>(raw(event.run.run)) });
    }
    if (!event.agent.empty())
        fields.push_back({ "agent", event.agent });
    fields.insert(fields.end(), event.inputs.begin(), event.inputs.end());
    return fields;
}

} // namespace sequoia
