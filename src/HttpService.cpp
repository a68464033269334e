/** @file HttpService.cpp Thread pool that grows on demand, and a graceful stop. */
#include <sequoia/HttpService.h>

#include <condition_variable>
#include <fmt/format.h>
#include <list>
#include <mutex>

namespace sequoia {

namespace {

    constexpr Milliseconds idleThreadTimeout { 10000 };
    constexpr int listenBacklog = 1024;
    constexpr size_t maxKeepAliveRequests = 1U << 30U;
    constexpr std::string_view unreachableHost = "127.0.0.1"; // With port 0, to which no connection can be opened.

    /** Task queue of the server: starts threads on demand, up to a limit, and ends idle ones. */
    class DynamicThreadPool : public httplib::TaskQueue {
    public:
        explicit DynamicThreadPool(size_t maxThreads)
            : m_maxThreads(maxThreads)
        {
        }

        void enqueue(std::function<void()> task) override
        {
            std::unique_lock lock(m_mutex);
            m_tasks.push_back(std::move(task));
            if (m_idleThreads < m_tasks.size() && m_threads < m_maxThreads) {
                ++m_threads;
                std::thread([this] { run(); }).detach();
            }
            m_changed.notify_one();
        }

        void shutdown() override
        {
            std::unique_lock lock(m_mutex);
            m_isStopped = true;
            m_changed.notify_all();
            m_ended.wait(lock, [&] { return m_threads == 0; });
        }

    private:
        void run()
        {
            std::unique_lock lock(m_mutex);
            for (;;) {
                ++m_idleThreads;
                m_changed.wait_for(lock, idleThreadTimeout, [&] { return !m_tasks.empty() || m_isStopped; });
                --m_idleThreads;
                if (m_tasks.empty())
                    break;
                auto task = std::move(m_tasks.front());
                m_tasks.pop_front();
                lock.unlock();
                task();
                task = nullptr;
                lock.lock();
            }
            --m_threads;
            m_ended.notify_all();
        }

        size_t m_maxThreads;
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::condition_variable m_ended;
        std::list<std::function<void()>> m_tasks;
        size_t m_idleThreads = 0;
        size_t m_threads = 0;
        bool m_isStopped = false;
    };

} // namespace

bool isConnectFailure(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

httplib::Client makeHttpClient(const std::string& address, Milliseconds timeout)
{
    // The constructor that takes a URL throws on a port that is out of range, and its regular expression overflows the
    // stack on a long host.
    auto parts = splitAddress(address).value_or(std::pair(std::string(unreachableHost), 0));
    if (parts.first.front() == '[')
        parts.first = parts.first.substr(1, parts.first.size() - 2);
    httplib::Client client(parts.first, parts.second);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    return client;
}

HttpService::HttpService(HttpLimits limits)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(limits.readTimeout);
    m_server.new_task_queue = [limits] { return new DynamicThreadPool(limits.maxConnections); };
    m_server.set_socket_options([this](socket_t socket) {
        m_listener = socket;
        const int enable = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    });
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(maxKeepAliveRequests);
    m_server.set_keep_alive_timeout(seconds.count());
    m_server.set_read_timeout(limits.readTimeout);
    m_server.set_write_timeout(limits.readTimeout);
    m_server.set_payload_max_length(limits.maxBodyBytes);
    m_server.set_post_routing_handler([this](const httplib::Request&, httplib::Response& response) {
        if (m_isStopping)
            response.set_header("Connection", "close");
    });
}

HttpService::~HttpService() { stop(); }

std::string HttpService::bind(const std::string& address)
{
    const auto parts = splitAddress(address);
    if (!parts)
        throw HttpError::BadAddress;
    auto [host, port] = *parts;
    if (port == 0)
        port = m_server.bind_to_any_port(host);
    else if (!m_server.bind_to_port(host, port))
        port = -1;
    if (port < 0)
        throw HttpError::AddressInUse;
    return fmt::format("{}:{}", host, port);
}

std::string HttpService::start(const std::string& address)
{
    auto bound = bind(address);
    serve();
    return bound;
}

void HttpService::serve()
{
    // The library listens with a backlog of five, which drops connections in a burst. Calling listen again raises it.
    ::listen(m_listener, listenBacklog);
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running())
        std::this_thread::yield();
}

void HttpService::stop()
{
    beginStop();
    m_server.stop();
    if (m_thread.joinable())
        m_thread.join();
}

} // namespace sequoia
