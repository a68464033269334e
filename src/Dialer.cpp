/** @file Dialer.cpp Dialing, backoff and expiry of the addresses of entries. */
#include <sequoia/Dialer.h>

#include <sequoia/Address.h>

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <locale>
#include <set>

namespace sequoia {

namespace {

    std::string keyOf(const std::string& address)
    {
        return boost::algorithm::to_lower_copy(address, std::locale::classic());
    }

} // namespace

Dialer::Dialer(DialerLimits limits, std::function<LinkId(const std::string&)> dial, std::function<void(LinkId)> close)
    : m_limits(limits)
    , m_dial(std::move(dial))
    , m_close(std::move(close))
{
}

void Dialer::setAddresses(const std::vector<std::string>& addresses, TimePoint now)
{
    std::set<std::string> listed;
    for (const auto& address : addresses)
        listed.insert(keyOf(address));
    std::erase_if(m_targets, [&](const auto& target) { return !target.second.link && !listed.contains(target.first); });
    addAddresses(addresses, now);
}

void Dialer::addAddresses(const std::vector<std::string>& addresses, TimePoint now)
{
    for (const auto& address : addresses) {
        if (!isDialable(address))
            continue;
        const Target target { address, std::nullopt, false, {}, now, m_limits.initialBackoff,
            m_limits.initialWelcomeTimeout };
        const auto [it, isNew] = m_targets.try_emplace(keyOf(address), target);
        it->second.lastReferenced = now;
    }
}

bool Dialer::welcomed(LinkId link)
{
    for (auto& [key, target] : m_targets) {
        if (target.link != link)
            continue;
        target.isWelcomed = true;
        target.backoff = m_limits.initialBackoff;
        target.welcomeTimeout = m_limits.initialWelcomeTimeout;
        return true;
    }
    return false;
}

void Dialer::closed(LinkId link, TimePoint now)
{
    for (auto& [key, target] : m_targets) {
        if (target.link != link)
            continue;
        if (target.isWelcomed && now - target.lastAttempt >= m_limits.lastingLink)
            target.backoff = Milliseconds(0);
        target.link.reset();
        target.isWelcomed = false;
        target.lastAttempt = now;
        target.lastReferenced = std::max(target.lastReferenced, now);
    }
}

void Dialer::dialNow()
{
    for (auto& [key, target] : m_targets) {
        if (!target.link)
            target.lastAttempt = TimePoint();
    }
}

void Dialer::tick(TimePoint now)
{
    std::erase_if(m_targets, [&](const auto& target) {
        return !target.second.link && now - target.second.lastReferenced > m_limits.addressTtl;
    });
    for (auto& [key, target] : m_targets) {
        if (target.link) {
            if (!target.isWelcomed && now - target.lastAttempt > target.welcomeTimeout) {
                target.welcomeTimeout = std::min(target.welcomeTimeout * 2, m_limits.maxWelcomeTimeout);
                m_close(*target.link);
            }
            continue;
        }
        if (now - target.lastAttempt < target.backoff)
            continue;
        target.backoff = std::clamp(
            toMilliseconds(target.backoff * m_limits.backoffFactor), m_limits.initialBackoff, m_limits.maxBackoff);
        target.lastAttempt = now;
        target.link = m_dial(target.address);
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
    for (const auto& [key, target] : m_targets)
        out.push_back(target.address);
    return out;
}

} // namespace sequoia
