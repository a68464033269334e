/** @file HealthGate.cpp Quarantine of a backend server whose work fails or stalls. */
#include <sequoia/AgentCore.h>

#include <algorithm>

namespace sequoia {

bool HealthGate::recordSuccess()
{
    m_failedJobs.clear();
    const bool wasQuarantined = m_health != Health::Good;
    m_health = Health::Good;
    m_pause = Milliseconds(0);
    m_reason.clear();
    return wasQuarantined;
}

bool HealthGate::recordFailure(const JobKey& job, const std::string& reason, TimePoint now)
{
    m_failedJobs.insert(job);
    const bool isTrial = m_health == Health::Trial;
    if (!isTrial && m_failedJobs.size() < m_limits.quarantineFailures)
        return false;
    if (m_health == Health::Quarantined)
        return false;
    quarantine(reason, now);
    return true;
}

void HealthGate::quarantine(const std::string& reason, TimePoint now)
{
    const bool isFirst = m_pause.count() == 0;
    m_pause = isFirst ? m_limits.quarantinePause : std::min(m_pause * 2, m_limits.quarantinePauseMax);
    m_health = Health::Quarantined;
    m_reason = reason;
    m_nextTrial = now + m_pause;
}

bool HealthGate::beginTrial(TimePoint now)
{
    if (m_health != Health::Quarantined || now < m_nextTrial)
        return false;
    m_health = Health::Trial;
    return true;
}

} // namespace sequoia
