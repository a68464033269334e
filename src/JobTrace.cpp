/** @file JobTrace.cpp Bounded list of a job's events and its log lines. */
#include <sequoia/JobTrace.h>

namespace sequoia {

void JobTrace::add(JobTraceEvent event)
{
    if (m_events.size() >= maxEvents) {
        ++m_droppedEvents;
        return;
    }
    m_events.push_back(std::move(event));
}

std::vector<LogField> JobTrace::fieldsOf(const JobTraceEvent& event, WorkId job, TimePoint now)
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
