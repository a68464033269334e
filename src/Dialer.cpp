/** @file Dialer.cpp Addresses of entries and the links to them. */
#include <sequoia/Dialer.h>

#include <algorithm>

namespace sequoia {

Dialer::Dialer(DialerLimits limits, std::function<LinkId(const std::string&)> dial, std::function<void(LinkId)> close)
    : m_limits(limits)
    , m_dial(std::move(dial))
    , m_close(std::move(close))
{
}

void Dialer::setAddresses(const std::vector<std::string>& addresses, TimePoint now)
{
    std::erase_if(m_targets, [&](const auto& target) {
        return !target.second.link && std::find(addresses.begin(), addresses.end(), target.first) == addresses.end();
    });
    addAddresses(addresses, now);
}

void Dialer::addAddresses(const std::vector<std::string>& addresses, TimePoint now)
{
    for (const auto& address : addresses) {
        const auto [it, isNew] = m_targets.try_emplace(address);
        it->second.named = now;
        if (isNew)
            it->second.pause = m_limits.firstPause;
    }
}

bool Dialer::welcomed(LinkId link)
{
    for (auto& [address, target] : m_targets) {
        if (target.link != link)
            continue;
        target.isWelcomed = true;
        target.pause = m_limits.firstPause;
        return true;
    }
    return false;
}

void Dialer::closed(LinkId link, TimePoint now)
{
    for (auto& [address, target] : m_targets) {
        if (target.link == link)
            target = { std::nullopt, false, now, std::max(target.named, now), target.pause };
    }
}

void Dialer::dialNow()
{
    for (auto& [address, target] : m_targets) {
        if (!target.link)
            target.since = TimePoint();
    }
}

void Dialer::tick(TimePoint now)
{
    std::erase_if(m_targets,
        [&](const auto& target) { return !target.second.link && now - target.second.named > m_limits.forgetAfter; });
    for (auto& [address, target] : m_targets) {
        if (target.link) {
            if (!target.isWelcomed && now - target.since > m_limits.welcomeTimeout)
                m_close(*target.link);
            continue;
        }
        if (now - target.since < target.pause)
            continue;
        target.pause = std::min(target.pause * 2, m_limits.longestPause);
        target.since = now;
        target.link = m_dial(address);
    }
}

size_t Dialer::welcomedLinks() const
{
    return static_cast<size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [](const auto& target) { return target.second.isWelcomed; }));
}

std::vector<std::string> Dialer::addresses() const
{
    std::vector<std::string> out;
    for (const auto& [address, target] : m_targets)
        out.push_back(address);
    return out;
}

} // namespace sequoia
