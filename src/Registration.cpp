/** @file Registration.cpp Acquires and renews the lease, and writes the item. */
#include <sequoia/Registration.h>

namespace sequoia {

Registration::Registration(std::string key, std::string value, const SharedStore& store, Log& log,
    RegistrationLimits limits, std::function<TimePoint()> now)
    : m_key(std::move(key))
    , m_value(std::move(value))
    , m_store(store)
    , m_log(log)
    , m_limits(limits)
    , m_now(std::move(now))
{
}

void Registration::tick()
{
    if (m_isCallPending || m_isEnded || m_now() < m_nextCallAt)
        return;
    m_isCallPending = true;
    if (!m_lease) {
        m_store.grantLease(m_limits.leaseTtl, [this](const StoreReply<LeaseGrant>& reply) {
            m_isCallPending = false;
            if (const auto* error = std::get_if<SharedStoreError>(&reply)) {
                onFailure(*error, "lease");
                return;
            }
            m_lease = std::get<LeaseGrant>(reply).lease;
            m_isWritten = false;
            tick();
        });
        return;
    }
    if (!m_isWritten) {
        m_store.put(m_key, m_value, *m_lease, [this](const StoreReply<EmptyReply>& reply) {
            m_isCallPending = false;
            if (const auto* error = std::get_if<SharedStoreError>(&reply)) {
                onFailure(*error, "put");
                return;
            }
            m_isWritten = true;
            m_nextCallAt = m_now() + m_limits.renewPeriod;
            if (!m_wasEverWritten || m_hasLapsed) {
                m_log.event(
                    LogLevel::Info, "registered", { { "key", m_key }, { "again", m_hasLapsed ? "true" : "false" } });
            }
            m_wasEverWritten = true;
            m_hasLapsed = false;
        });
        return;
    }
    m_store.renewLease(*m_lease, [this](const StoreReply<EmptyReply>& reply) {
        m_isCallPending = false;
        if (const auto* error = std::get_if<SharedStoreError>(&reply)) {
            onFailure(*error, "keep");
            return;
        }
        m_nextCallAt = m_now() + m_limits.renewPeriod;
    });
}

void Registration::setValue(std::string value)
{
    if (value == m_value)
        return;
    m_value = std::move(value);
    m_isWritten = false;
    m_nextCallAt = TimePoint();
}

void Registration::onFailure(SharedStoreError error, const char* call)
{
    if (error == SharedStoreError::LeaseEnded) {
        m_log.event(LogLevel::Warning, "registration-lapsed", { { "key", m_key }, { "call", call } });
        m_lease.reset();
        m_hasLapsed = true;
        m_nextCallAt = m_now();
        return;
    }
    m_nextCallAt = m_now() + m_limits.retryPause;
}

void Registration::onMissing()
{
    if (!m_isWritten || m_isCallPending)
        return;
    m_log.event(LogLevel::Warning, "registration-missing", { { "key", m_key } });
    m_lease.reset();
    m_isWritten = false;
    m_hasLapsed = true;
    m_nextCallAt = m_now();
}

void Registration::unregister()
{
    m_isEnded = true;
    if (m_lease)
        m_store.revokeLease(*m_lease);
}

} // namespace sequoia
