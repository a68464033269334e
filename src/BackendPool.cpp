/** @file BackendPool.cpp Threads and connections for calls to the backend server. */
#include "BackendPool.h"

#include <fmt/format.h>
#include <sequoia/HttpService.h>

namespace sequoia {

namespace {

    constexpr Milliseconds connectTimeout { 1000 };
    constexpr Milliseconds connectionReuseTimeout { 1000 }; // The peer may close a connection that is idle for longer.
    constexpr int statusOk = 200;

    /** Connection of one thread. */
    class BackendConnection {
    public:
        explicit BackendConnection(size_t maxAnswerBytes)
            : m_maxAnswerBytes(maxAnswerBytes)
        {
        }

        /** Opens a new connection unless the present one can be reused; returns the client for the next call. */
        HttpClient& prepare(const std::string& address)
        {
            connect(address);
            return *m_client;
        }

        BackendResult call(const CallBackend& call)
        {
            const auto begin = Clock::now();
            m_client->set_read_timeout(std::max(call.deadline, Milliseconds(1)));
            const httplib::Headers headers { { "X-Sequoia-Task", toString(call.task) },
                { "X-Sequoia-Deadline-Ms", fmt::to_string(call.deadline.count()) } };
            const auto reply = m_client->Post("/run", headers, call.payload, "application/octet-stream");
            m_lastUsed = Clock::now();
            BackendResult out;
            out.run = toMicroseconds(m_lastUsed - begin);
            if (!reply) {
                // Only a failure to connect proves that the task was not started.
                const bool isUnsent = isConnectFailure(reply.error());
                out.outcome = isUnsent ? wire::Outcome::NotStarted : wire::Outcome::Failed;
                out.reason = isUnsent ? "backend server unreachable"
                                      : "no answer from the backend server: " + httplib::to_string(reply.error());
                return out;
            }
            out.body = reply->body;
            if (reply->status != statusOk || out.body.size() > m_maxAnswerBytes) {
                out.reason = reply->status != statusOk
                    ? fmt::format("backend server: status {}: {:.200}", reply->status, out.body)
                    : "answer of the backend server too long";
                out.body.clear();
                return out;
            }
            out.outcome = wire::Outcome::Succeeded;
            return out;
        }

    private:
        void connect(const std::string& address)
        {
            const bool isReusable
                = m_client && m_address == address && Clock::now() - m_lastUsed < connectionReuseTimeout;
            if (isReusable)
                return;
            m_address = address;
            m_client = std::make_unique<HttpClient>(address);
            m_client->set_tcp_nodelay(true);
            m_client->set_keep_alive(true);
            m_client->set_connection_timeout(connectTimeout);
            m_client->set_write_timeout(connectTimeout);
        }

        size_t m_maxAnswerBytes;
        std::string m_address;
        std::unique_ptr<HttpClient> m_client;
        TimePoint m_lastUsed {};
    };

} // namespace

BackendPool::BackendPool(size_t maxThreads, size_t maxAnswerBytes, BackendResultHook onResult)
    : m_maxThreads(maxThreads)
    , m_maxAnswerBytes(maxAnswerBytes)
    , m_onResult(std::move(onResult))
{
}

BackendPool::~BackendPool()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
        for (auto* client : m_activeClients)
            client->stop();
    }
    m_changed.notify_all();
    for (auto& thread : m_threads)
        thread.join();
}

void BackendPool::setAddress(const std::string& address)
{
    const std::lock_guard lock(m_mutex);
    m_address = address;
}

void BackendPool::call(CallBackend call)
{
    const std::lock_guard lock(m_mutex);
    m_calls.push_back(std::move(call));
    if (m_idleThreads < m_calls.size() && m_threads.size() < m_maxThreads)
        m_threads.emplace_back([this] { run(); });
    m_changed.notify_one();
}

void BackendPool::run()
{
    BackendConnection connection(m_maxAnswerBytes);
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idleThreads;
        m_changed.wait(lock, [&] { return !m_calls.empty() || m_isStopped; });
        --m_idleThreads;
        if (m_isStopped)
            return;
        const auto call = std::move(m_calls.front());
        m_calls.pop_front();
        const auto address = m_address;
        auto& client = connection.prepare(address);
        m_activeClients.insert(&client);
        lock.unlock();
        auto result = connection.call(call);
        lock.lock();
        m_activeClients.erase(&client);
        lock.unlock();
        m_onResult(call.task, std::move(result));
        lock.lock();
    }
}

} // namespace sequoia
