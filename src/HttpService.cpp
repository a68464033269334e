/** @file HttpService.cpp Thread pool that grows on demand, and a graceful stop. */
#include <sequoia/HttpService.h>

#include <array>
#include <condition_variable>
#include <fmt/format.h>
#include <list>
#include <mutex>
#include <netdb.h>
#include <poll.h>

namespace sequoia {

namespace {

    constexpr Milliseconds idleThreadTimeout { 10000 };
    constexpr int listenBacklog = 1024;
    constexpr size_t maxKeepAliveRequests = 1U << 30U;
    constexpr std::string_view unreachableHost = "127.0.0.1"; // With port 0, to which no connection can be opened.

    /** Whether a task of the server on this thread closes its connection at once. */
    thread_local bool isConnectionRefused = false;

    /** Task queue of the server: starts threads on demand, up to a limit, and ends idle ones. */
    class DynamicThreadPool : public httplib::TaskQueue {
    public:
        explicit DynamicThreadPool(size_t maxThreads)
            : m_maxThreads(maxThreads)
            , m_maxWaiting(std::max(maxThreads, minWaiting))
        {
        }

        void enqueue(std::function<void()> task) override
        {
            std::unique_lock lock(m_mutex);
            if (m_tasks.size() >= m_maxWaiting) {
                lock.unlock();
                isConnectionRefused = true;
                task();
                isConnectionRefused = false;
                return;
            }
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

        static constexpr size_t minWaiting = 64; // For bursts on a server with few threads.

        size_t m_maxThreads;
        size_t m_maxWaiting; ///< Each waiting connection takes a file descriptor.
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::condition_variable m_ended;
        std::list<std::function<void()>> m_tasks;
        size_t m_idleThreads = 0;
        size_t m_threads = 0;
        bool m_isStopped = false;
    };

    /**
     * Connection of a server, which limits what the library reads of a request: the library itself limits only the
     * length of a single header line and a declared body. A read beyond a limit fails, which ends the request.
     */
    class BoundedStream : public httplib::Stream {
    public:
        /** A client's stream limits neither bodies nor the time of an answer. */
        enum class Side : uint8_t { Server, Client };

        BoundedStream(socket_t socket, const HttpLimits& limits, Side side)
            : m_socket(socket)
            , m_limits(limits)
            , m_side(side)
        {
        }

        /** Waits for the next request; false if none comes in time. */
        bool waitForRequest()
        {
            m_isInHeader = true;
            m_headerBytes = m_bodyBytes = m_framingBytes = m_lineBytes = 0;
            const bool isReady = m_begin < m_end || is_readable();
            m_deadline = Clock::now() + pausesPerRequest * m_limits.readTimeout;
            return isReady;
        }
        /** Whether a read has failed, so that the rest of the request is unread. */
        bool hasFailed() const { return m_hasFailed; }

        bool is_readable() const override { return isReady(POLLIN, m_limits.readTimeout); }
        /** As in the library's own stream, false if the peer has closed its side. */
        bool is_writable() const override
        {
            char byte = 0;
            return isReady(POLLOUT, m_limits.readTimeout)
                && (!isReady(POLLIN, Milliseconds(0)) || ::recv(m_socket, &byte, 1, MSG_PEEK) > 0);
        }
        ssize_t read(char* out, size_t size) override
        {
            if (m_begin == m_end && !fill())
                return fail();
            const auto n = std::min(size, m_end - m_begin);
            std::copy_n(m_buf.data() + m_begin, n, out);
            m_begin += n;
            return count(out, n, size) ? static_cast<ssize_t>(n) : fail();
        }
        ssize_t write(const char* data, size_t size) override
        {
            return is_writable() ? ::send(m_socket, data, size, MSG_NOSIGNAL) : -1;
        }
        void get_remote_ip_and_port(std::string& ip, int& port) const override { addressOf(::getpeername, ip, port); }
        void get_local_ip_and_port(std::string& ip, int& port) const override { addressOf(::getsockname, ip, port); }
        socket_t socket() const override { return m_socket; }

    private:
        bool isReady(short event, Milliseconds timeout) const
        {
            pollfd wanted { m_socket, event, 0 };
            int n = 0;
            do {
                n = ::poll(&wanted, 1, static_cast<int>(timeout.count()));
            } while (n < 0 && errno == EINTR);
            return n > 0;
        }

        bool fill()
        {
            if (Clock::now() >= m_deadline || !is_readable())
                return false;
            const auto n = ::recv(m_socket, m_buf.data(), m_buf.size(), 0);
            m_begin = 0;
            m_end = n > 0 ? static_cast<size_t>(n) : 0;
            return n > 0;
        }

        ssize_t fail()
        {
            m_hasFailed = true;
            return -1;
        }

        /** Counts what the library reads; false beyond a limit. It reads lines byte by byte, and bodies in blocks. */
        bool count(const char* data, size_t n, size_t wanted)
        {
            if (!m_isInHeader && wanted > 1) {
                m_lineBytes = 0;
                m_bodyBytes += n;
                if (m_side == Side::Client)
                    m_framingBytes = 0;
                return m_side == Side::Client || m_bodyBytes <= excessBodies * m_limits.maxBodyBytes;
            }
            for (const char c : std::string_view(data, n)) {
                if (c != '\n') {
                    ++m_lineBytes;
                    m_lastByte = c;
                    continue;
                }
                const bool isBlank = m_lineBytes == 0 || (m_lineBytes == 1 && m_lastByte == '\r');
                m_headerBytes += m_lineBytes + 1;
                m_isInHeader = m_isInHeader && !isBlank;
                m_lineBytes = 0;
            }
            if (m_isInHeader)
                return m_headerBytes + m_lineBytes <= m_limits.maxHeaderBytes;
            m_framingBytes += n;
            return m_lineBytes <= m_limits.maxTrailerBytes
                && m_framingBytes <= m_limits.maxTrailerBytes + bytesPerSmallestChunk * m_limits.maxBodyBytes;
        }

        template <typename Query> void addressOf(Query query, std::string& ip, int& port) const
        {
            sockaddr_storage address {};
            socklen_t size = sizeof address;
            std::array<char, NI_MAXHOST> host {};
            std::array<char, NI_MAXSERV> service {};
            auto* raw = reinterpret_cast<sockaddr*>(&address);
            if (query(m_socket, raw, &size) != 0
                || ::getnameinfo(raw, size, host.data(), host.size(), service.data(), service.size(),
                       NI_NUMERICHOST | NI_NUMERICSERV)
                    != 0)
                return;
            ip = host.data();
            port = std::atoi(service.data());
        }

        static constexpr size_t bytesPerSmallestChunk = 6; // Of a body in chunks of one byte.
        static constexpr size_t excessBodies = 2; // A body somewhat too long is read, so that its refusal arrives.

        static constexpr int pausesPerRequest = 6;

        socket_t m_socket;
        HttpLimits m_limits;
        Side m_side;
        TimePoint m_deadline = TimePoint::max(); ///< For reading the current request.
        std::array<char, 4096> m_buf {};
        size_t m_begin = 0;
        size_t m_end = 0;
        bool m_isInHeader = true;
        bool m_hasFailed = false;
        size_t m_headerBytes = 0; ///< Of the lines that have ended.
        size_t m_bodyBytes = 0;
        size_t m_framingBytes = 0; ///< Lines after the header, and body bytes that were read one by one.
        size_t m_lineBytes = 0; ///< Of the current line.
        char m_lastByte = 0;
    };

    /** The library's server on bounded streams. */
    class BoundedServer : public httplib::Server {
    public:
        explicit BoundedServer(const HttpLimits& limits)
            : m_limits(limits)
        {
        }

    private:
        bool process_and_close_socket(socket_t socket) override
        {
            BoundedStream stream(socket, m_limits, BoundedStream::Side::Server);
            bool isOpen = !isConnectionRefused;
            while (isOpen && svr_sock_ != INVALID_SOCKET && stream.waitForRequest()) {
                bool isClosed = false;
                isOpen = process_request(stream, false, isClosed, nullptr) && !isClosed && !stream.hasFailed();
            }
            ::shutdown(socket, SHUT_RDWR);
            ::close(socket);
            return isOpen;
        }

        HttpLimits m_limits;
    };

    /** Host and port of an address for the library's client. */
    std::pair<std::string, int> hostOf(const std::string& address)
    {
        // The constructor that takes a URL throws on a port that is out of range, and its regular expression overflows
        // the stack on a long host.
        auto parts = splitAddress(address).value_or(std::pair(std::string(unreachableHost), 0));
        if (parts.first.front() == '[')
            parts.first = parts.first.substr(1, parts.first.size() - 2);
        return parts;
    }

} // namespace

bool isConnectFailure(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

HttpClient::HttpClient(const std::string& address)
    : HttpClient(hostOf(address))
{
}

HttpClient::HttpClient(const std::string& address, Milliseconds timeout)
    : HttpClient(hostOf(address))
{
    set_tcp_nodelay(true);
    set_connection_timeout(timeout);
    set_read_timeout(timeout);
    set_write_timeout(timeout);
}

HttpClient::HttpClient(const std::pair<std::string, int>& host)
    : httplib::ClientImpl(host.first, host.second)
{
}

bool HttpClient::process_socket(const Socket& socket, std::function<bool(httplib::Stream&)> callback)
{
    HttpLimits limits;
    limits.readTimeout = std::chrono::ceil<Milliseconds>(
        std::chrono::seconds(read_timeout_sec_) + std::chrono::microseconds(read_timeout_usec_));
    BoundedStream stream(socket.sock, limits, BoundedStream::Side::Client);
    return callback(stream);
}

HttpClient makeHttpClient(const std::string& address, Milliseconds timeout) { return { address, timeout }; }

HttpService::HttpService(HttpLimits limits)
    : m_server(std::make_unique<BoundedServer>(limits))
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(limits.readTimeout);
    m_server->new_task_queue = [limits] { return new DynamicThreadPool(limits.maxConnections); };
    m_server->set_socket_options([this](socket_t socket) {
        m_listener = socket;
        const int enable = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    });
    m_server->set_tcp_nodelay(true);
    m_server->set_keep_alive_max_count(maxKeepAliveRequests);
    m_server->set_keep_alive_timeout(seconds.count());
    m_server->set_read_timeout(limits.readTimeout);
    m_server->set_write_timeout(limits.readTimeout);
    m_server->set_payload_max_length(limits.maxBodyBytes);
    m_server->set_post_routing_handler([this](const httplib::Request&, httplib::Response& response) {
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
        port = m_server->bind_to_any_port(host);
    else if (!m_server->bind_to_port(host, port))
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
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    while (!m_server->is_running())
        std::this_thread::yield();
}

void HttpService::stop()
{
    beginStop();
    m_server->stop();
    if (m_thread.joinable())
        m_thread.join();
}

} // namespace sequoia
