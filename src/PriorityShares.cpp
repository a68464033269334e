/** @file PriorityShares.cpp Recent use by priority, and the processors that are kept by it. */
#include <sequoia/PriorityShares.h>

#include <algorithm>
#include <cmath>

namespace sequoia {

namespace {

    double decay(Clock::duration time, Milliseconds timeConstant)
    {
        using FloatMs = std::chrono::duration<double, std::milli>;
        return std::exp(-std::max(FloatMs(time) / FloatMs(timeConstant), 0.0));
    }

    int64_t shareOf(int64_t total, double share) { return std::llround(static_cast<double>(total) * share); }

} // namespace

int64_t keptCpu(
    int64_t total, const std::vector<PriorityUse>& uses, uint32_t priority, const PriorityShareLimits& limits)
{
    const auto floor = shareOf(total, limits.floorShare);
    int64_t urgent = 0;
    int64_t lessUrgent = 0;
    int64_t own = 0;
    for (const auto& it : uses) {
        if (it.priority == priority)
            own = it.now;
        else if (it.priority < priority)
            urgent += it.isRefused ? std::max<int64_t>(it.recent - it.now, 0) : 0;
        else
            lessUrgent += it.isWanted ? std::max<int64_t>(floor - it.now, 0) : 0;
    }
    const auto keptForUrgent = own < floor ? 0 : std::min(urgent, shareOf(total, limits.maxUrgentShare));
    return keptForUrgent + std::min(lessUrgent, floor);
}

int64_t lessKept(int64_t free, int64_t kept) { return std::max(free - kept, std::min<int64_t>(free, 0)); }

void RecentUse::add(int64_t cpu, TimePoint now, Milliseconds timeConstant)
{
    m_recent = static_cast<double>(recent(now, timeConstant));
    m_now += cpu;
    m_recent = std::max(m_recent, static_cast<double>(m_now));
    m_changed = now;
}

int64_t RecentUse::recent(TimePoint now, Milliseconds timeConstant) const
{
    const auto current = static_cast<double>(m_now);
    return std::llround(current + (m_recent - current) * decay(now - m_changed, timeConstant));
}

PriorityShares::PriorityShares(const PriorityShareLimits& limits)
    : m_limits(limits)
{
}

void PriorityShares::use(uint32_t priority, int64_t cpu, TimePoint now)
{
    auto& entry = m_uses[priority];
    entry.use.add(cpu, now, m_limits.timeConstant);
    entry.seen = now;
}

void PriorityShares::want(uint32_t priority, TimePoint now)
{
    auto& entry = m_uses[priority];
    entry.seen = now;
    entry.wantedUntil = now + m_limits.wantedTime;
}

void PriorityShares::refuse(uint32_t priority, TimePoint now)
{
    want(priority, now);
    m_uses[priority].refusedUntil = now + m_limits.wantedTime;
}

std::vector<PriorityUse> PriorityShares::uses(TimePoint now) const
{
    std::vector<PriorityUse> uses;
    uses.reserve(m_uses.size());
    for (const auto& [priority, entry] : m_uses)
        uses.push_back({ priority, entry.use.now(), entry.use.recent(now, m_limits.timeConstant),
            entry.wantedUntil > now, entry.refusedUntil > now });
    return uses;
}

int64_t PriorityShares::kept(uint32_t priority, int64_t total, TimePoint now) const
{
    return keptCpu(total, uses(now), priority, m_limits);
}

std::vector<KeptCpu> PriorityShares::allKept(int64_t total, TimePoint now) const
{
    const auto all = uses(now);
    std::vector<KeptCpu> kept;
    for (const auto& it : all) {
        if (const auto cpu = keptCpu(total, all, it.priority, m_limits); cpu > 0)
            kept.push_back({ it.priority, cpu });
    }
    return kept;
}

void PriorityShares::forgetOld(TimePoint now)
{
    std::erase_if(
        m_uses, [&](const auto& it) { return it.second.use.now() == 0 && now - it.second.seen > m_limits.retention; });
}

} // namespace sequoia
