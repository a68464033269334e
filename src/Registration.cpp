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
    if (m_isCalling || m_isEnded || m_now() < m_next)
        return;
    m_isCalling = true;
    if (!m_lease) {
        m_store.grantLease(m_limits.life, [this](const StoreReply<LeaseGrant>& reply) {
            m_isCalling = false;
            if (const auto* error = std::get_if<SharedStoreError>(&reply)) {
                failed(*error, "lease");
                return;
            }
            m_lease = std::get<LeaseGrant>(reply).lease;
            m_isWritten = false;
            tick();
        });
        return;
    }
    if (!m_isWritten) {
        m_store.put(m_key, m_value, *m_lease, [this](const StoreReply<StoreDone>& reply) {
            m_isCalling = false;
            if (const auto* error = std::get_if<SharedStoreError>(&reply)) {
                failed(*error, "put");
                return;
            }
            m_isWritten = true;
            m_next = m_now() + m_limits.keepPeriod;
            if (!m_wasWritten || m_isLost) {
                m_log.event(
                    LogLevel::Info, "registered", { { "key", m_key }, { "again", m_isLost ? "true" : "false" } });
            }
            m_wasWritten = true;
            m_isLost = false;
        });
        return;
    }
    m_store.keepLease(*m_lease, [this](const StoreReply<StoreDone>& reply) {
        m_isCalling = false;
        if (const auto* error = std::get_if<SharedStoreError>(&reply)) {
            failed(*error, "keep");
            return;
        }
        m_next = m_now() + m_limits.keepPeriod;
    });
}

void Registration::setValue(std::string value)
{
    if (value == m_value)
        return;
    m_value = std::move(value);
    m_isWritten = false;
    m_next = TimePoint();
}

void Registration::failed(SharedStoreError error, const char* call)
{
    if (error == SharedStoreError::LeaseEnded) {
        m_log.event(LogLevel::Warning, "registration-lapsed", { { "key", m_key }, { "call", call } });
        m_lease.reset();
        m_isLost = true;
        m_next = m_now();
        return;
    }
    m_next = m_now() + m_limits.retryPause;
}

void Registration::missing()
{
    if (!m_isWritten || m_isCalling)
        return;
    m_log.event(LogLevel::Warning, "registration-missing", { { "key", m_key } });
    m_lease.reset();
    m_isWritten = false;
    m_isLost = true;
    m_next = m_now();
}

void Registration::end()
{
    m_isEnded = true;
    if (m_lease)
        m_store.endLease(*m_lease);
}

} // namespace sequoia
