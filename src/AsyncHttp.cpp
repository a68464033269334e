/** @file AsyncHttp.cpp HTTP on Boost.Beast, with a coroutine for each connection. */
#include <sequoia/AsyncHttp.h>

#include <sequoia/Address.h>

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <poll.h>
#include <set>

namespace sequoia {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using namespace asio::experimental::awaitable_operators;

namespace {

    constexpr int statusBusy = 503;
    constexpr auto completionToken = asio::as_tuple(asio::use_awaitable);

    tcp::endpoint endpointOf(const std::string& address)
    {
        const auto parts = splitAddress(address);
        error_code ec;
        const auto host = asio::ip::make_address(parts ? parts->first : "", ec);
        if (!parts || ec)
            throw AsyncHttpError::BadAddress;
        return { host, static_cast<uint16_t>(parts->second) };
    }

    std::string toText(const tcp::endpoint& endpoint)
    {
        return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }

    bool hasPeerClosed(int socket)
    {
        char byte = 0;
        const auto n = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    bool isReadable(int socket)
    {
        pollfd wanted { socket, POLLIN, 0 };
        return ::poll(&wanted, 1, 0) != 0;
    }

    int statusOf(const error_code& ec)
    {
        if (ec == http::error::body_limit)
            return 413;
        if (ec == http::error::header_limit)
            return 431;
        if (ec == asio::error::no_buffer_space)
            return statusBusy;
        return 400;
    }

    /** Bytes of `n` beyond the size line of a chunk without extensions, with the line ends around it. */
    size_t beyondChunkLine(size_t n)
    {
        constexpr size_t chunkLineBytes = 32;
        return n - std::min(n, chunkLineBytes);
    }

    /** Bytes of the bodies that the connections of a server are reading. */
    struct BodyBudget {
        size_t max = 0;
        size_t used = 0;
    };

    /** Share of one request in a budget, as long as its body is being read. */
    class BodyShare {
    public:
        explicit BodyShare(BodyBudget* budget)
            : m_budget(budget)
        {
        }
        ~BodyShare() { resize(0); }
        BodyShare(const BodyShare&) = delete;
        BodyShare& operator=(const BodyShare&) = delete;

        /** Sets the size of the share; false if the budget is exceeded. */
        bool resize(size_t n)
        {
            if (m_budget == nullptr)
                return true;
            m_budget->used += n - m_bytes;
            m_bytes = n;
            return m_budget->used <= m_budget->max;
        }

    private:
        BodyBudget* m_budget;
        size_t m_bytes = 0;
    };

    /**
     * Reads a message. The parser limits header and body, but keeps trailers and chunk extensions until they end. What
     * arrives between chunks and after the last one is limited to `maxTrailerBytes` in all; beyond that the error is
     * http::error::header_limit. Without room in the budget, if there is one, it is asio::error::no_buffer_space.
     */
    template <bool isRequest>
    asio::awaitable<error_code> readMessage(beast::tcp_stream& stream, beast::flat_buffer& buffer,
        http::parser<isRequest, http::string_body>& parser, size_t maxTrailerBytes, BodyBudget* budget)
    {
        BodyShare share(budget);
        constexpr size_t maxReadBytes = 65536;
        size_t trailerBytes = 0;
        size_t extensionBytes = 0; // Of the chunk whose line was parsed last.
        auto onChunk
            = [&](uint64_t, beast::string_view extensions, error_code&) { extensionBytes = extensions.size(); };
        parser.on_chunk_header(onChunk);
        bool isMoreNeeded = buffer.size() == 0;
        while (!parser.is_done()) {
            if (isMoreNeeded) {
                const auto space = buffer.prepare(beast::read_size(buffer, maxReadBytes));
                auto [ec, n] = co_await stream.async_read_some(space, completionToken);
                buffer.commit(n);
                if (ec == asio::error::eof) {
                    if (!parser.got_some())
                        co_return http::error::end_of_stream;
                    ec = {};
                    parser.put_eof(ec);
                }
                if (ec || parser.is_done())
                    co_return ec;
            }
            const bool isHeaderDone = parser.is_header_done();
            const auto bodyBytes = parser.get().body().size();
            error_code ec;
            // Without `eager`, each call parses one element at most: the header, the line of a chunk, or body bytes.
            const auto n = parser.put(buffer.data(), ec);
            buffer.consume(n);
            isMoreNeeded = ec == http::error::need_more || buffer.size() == 0;
            if (ec && ec != http::error::need_more)
                co_return ec;
            if (!isHeaderDone)
                continue;
            if (!parser.is_done() && !share.resize(parser.get().body().size()))
                co_return asio::error::no_buffer_space;
            const auto framingBytes = n - (parser.get().body().size() - bodyBytes);
            trailerBytes += std::max(beyondChunkLine(framingBytes), std::exchange(extensionBytes, 0));
            if (trailerBytes + (ec ? beyondChunkLine(buffer.size()) : 0) > maxTrailerBytes)
                co_return http::error::header_limit;
        }
        co_return error_code();
    }

    /** Exchange of one request. Its connection's coroutine waits for the reply. */
    class Exchange : public HttpExchange, public std::enable_shared_from_this<Exchange> {
    public:
        Exchange(asio::io_context& context, int socket)
            : m_context(context)
            , m_signal(context, asio::steady_timer::time_point::max())
            , m_socket(socket)
        {
        }

        void reply(HttpReply reply) override
        {
            asio::post(m_context, [self = shared_from_this(), reply = std::move(reply)]() mutable {
                if (self->m_reply)
                    return;
                self->m_reply = std::move(reply);
                self->m_signal.cancel();
            });
        }
        void onDisconnect(std::function<void()> callback) override { m_onDisconnect = std::move(callback); }
        bool isConnected() const override
        {
            const std::lock_guard lock(m_socketMutex);
            return m_socket != noSocket && !hasPeerClosed(m_socket);
        }
        /** The socket is closed or serves another request from now on. */
        void releaseSocket()
        {
            const std::lock_guard lock(m_socketMutex);
            m_socket = noSocket;
        }

        /** Waits for the reply; false if the caller has disconnected. */
        asio::awaitable<bool> wait(beast::tcp_stream& stream)
        {
            bool isWatchingSocket = true;
            while (!m_reply) {
                if (!isWatchingSocket) {
                    co_await m_signal.async_wait(completionToken);
                    continue;
                }
                co_await (m_signal.async_wait(completionToken)
                    || stream.socket().async_wait(tcp::socket::wait_read, completionToken));
                if (m_reply)
                    break;
                if (hasPeerClosed(stream.socket().native_handle())) {
                    if (m_onDisconnect)
                        m_onDisconnect();
                    co_return false;
                }
                // Readable but not closed: the caller has already sent its next request (pipelining).
                isWatchingSocket = false;
            }
            co_return true;
        }
        HttpReply& result() { return *m_reply; }

    private:
        static constexpr int noSocket = -1;

        asio::io_context& m_context;
        asio::steady_timer m_signal;
        std::optional<HttpReply> m_reply;
        std::function<void()> m_onDisconnect;
        mutable std::mutex m_socketMutex;
        int m_socket;
    };

    /** Releases the socket of an exchange when its request is over, also if the loop ends before. */
    class SocketUse {
    public:
        explicit SocketUse(Exchange& exchange)
            : m_exchange(exchange)
        {
        }
        ~SocketUse() { m_exchange.releaseSocket(); }
        SocketUse(const SocketUse&) = delete;
        SocketUse& operator=(const SocketUse&) = delete;

    private:
        Exchange& m_exchange;
    };

    /** A connection of a server. */
    struct ServerConnection {
        beast::tcp_stream stream;
        beast::flat_buffer buffer {};
        TimePoint lastEmpty {}; ///< When its socket was last known to hold no bytes.
    };

} // namespace

HttpLoop::HttpLoop(FailureGuard& guard)
    : m_failures(guard)
    , m_context(1)
    , m_workGuard(asio::make_work_guard(m_context))
{
}

HttpLoop::~HttpLoop() { stop(); }

void HttpLoop::start()
{
    m_thread = std::thread([this] {
        while (!m_context.stopped())
            m_failures.run("http-loop", [this] { m_context.run(); });
    });
}

void HttpLoop::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void HttpLoop::post(std::function<void()> work) { asio::post(m_context, std::move(work)); }

std::string HttpServerRequest::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (key == name)
            return value;
    }
    return "";
}

/** Shared by a server and its connections. */
class AsyncHttpServerState : public std::enable_shared_from_this<AsyncHttpServerState> {
public:
    AsyncHttpServerState(HttpLoop& loop, const AsyncHttpLimits& limits, AsyncHttpServer::Handler handler)
        : m_context(loop.context())
        , m_failures(loop.guard())
        , m_limits(limits)
        , m_bodyBudget { std::max(limits.maxPartialBodyBytes, limits.maxBodyBytes) }
        , m_handler(std::move(handler))
        , m_acceptor(loop.context())
    {
    }

    std::string listen(const std::string& address)
    {
        const auto endpoint = endpointOf(address);
        error_code ec;
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint, ec);
        if (ec)
            throw AsyncHttpError::AddressInUse;
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
        if (ec)
            throw AsyncHttpError::AddressInUse;
        m_acceptor.non_blocking(true);
        m_listenerLastEmpty = suspendAwareNow();
        asio::co_spawn(m_context, accept(shared_from_this()), asio::detached);
        if (m_limits.arrivalPeriod.count() > 0)
            asio::co_spawn(m_context, watchArrivals(shared_from_this()), asio::detached);
        return toText(m_acceptor.local_endpoint());
    }

    void closeIdle()
    {
        m_isClosing = true;
        for (auto* connection : m_idleConnections)
            connection->stream.close();
    }

    void stopListening()
    {
        error_code ec;
        m_acceptor.close(ec);
    }

    size_t openExchanges() const { return m_openExchanges; }
    asio::io_context& context() { return m_context; }

private:
    using Self = std::shared_ptr<AsyncHttpServerState>;

    static asio::awaitable<void> accept(Self self)
    {
        while (self->m_acceptor.is_open()) {
            auto [waitError] = co_await self->m_acceptor.async_wait(tcp::acceptor::wait_read, completionToken);
            if (waitError == asio::error::operation_aborted || waitError == asio::error::bad_descriptor)
                co_return;
            if (waitError || !self->acceptAll()) {
                // If no file descriptors are left, the next attempt fails at once as well, and the loop would spin.
                asio::steady_timer pause(self->m_context, acceptPause);
                co_await pause.async_wait(completionToken);
            }
        }
    }

    /** Accepts the connections that wait; false after an error. */
    bool acceptAll()
    {
        const auto lastEmpty = m_listenerLastEmpty;
        for (;;) {
            const auto now = suspendAwareNow();
            tcp::socket socket(m_context);
            error_code ec;
            m_acceptor.accept(socket, ec);
            if (ec == asio::error::would_block) {
                m_listenerLastEmpty = now;
                return true;
            }
            if (ec)
                return false;
            if (m_connections >= m_limits.maxConnections)
                continue;
            ++m_connections;
            socket.set_option(tcp::no_delay(true), ec);
            asio::co_spawn(m_context, serve(shared_from_this(), std::move(socket), lastEmpty), asio::detached);
        }
    }

    static asio::awaitable<void> serve(Self self, tcp::socket socket, TimePoint lastEmpty)
    {
        ServerConnection connection { beast::tcp_stream(std::move(socket)), {}, lastEmpty };
        // A connection accepted during a stop still gets one reply.
        do {
            if (!co_await self->serveOne(connection))
                break;
        } while (!self->m_isClosing);
        error_code ec;
        connection.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        --self->m_connections;
    }

    /** Looks for bytes on the sockets that have been read empty. */
    static asio::awaitable<void> watchArrivals(Self self)
    {
        asio::steady_timer timer(self->m_context);
        for (;;) {
            self->updateLastEmpty();
            timer.expires_after(self->m_limits.arrivalPeriod);
            co_await timer.async_wait(completionToken);
        }
    }

    void updateLastEmpty()
    {
        std::vector<pollfd> sockets;
        std::vector<TimePoint*> lastEmpty;
        const auto add = [&](int socket, TimePoint& time) {
            sockets.push_back({ socket, POLLIN, 0 });
            lastEmpty.push_back(&time);
        };
        if (m_acceptor.is_open())
            add(m_acceptor.native_handle(), m_listenerLastEmpty);
        for (auto* connection : m_idleConnections)
            add(connection->stream.socket().native_handle(), connection->lastEmpty);
        const auto now = suspendAwareNow();
        if (::poll(sockets.data(), sockets.size(), 0) < 0)
            return;
        for (size_t i = 0; i < sockets.size(); ++i) {
            if (sockets[i].revents == 0)
                *lastEmpty[i] = now;
        }
    }

    /** When the request came whose first bytes have just been read. */
    TimePoint arrivalOn(const ServerConnection& connection) const
    {
        const auto now = suspendAwareNow();
        // With the looks in time the loop keeps up with its sockets, and what it reads has just come.
        constexpr int periodsInTime = 2;
        const bool isInTime = now - connection.lastEmpty <= periodsInTime * m_limits.arrivalPeriod;
        return isInTime || m_limits.arrivalPeriod.count() == 0 ? now : connection.lastEmpty;
    }

    /** Serves the next request of a connection; false if the connection is to be closed. */
    asio::awaitable<bool> serveOne(ServerConnection& connection)
    {
        auto& [stream, buffer, lastEmpty] = connection;
        http::request_parser<http::string_body> parser;
        parser.body_limit(m_limits.maxBodyBytes);
        parser.header_limit(static_cast<uint32_t>(m_limits.maxHeaderBytes));
        if (buffer.size() == 0) {
            if (const auto now = suspendAwareNow();
                m_limits.arrivalPeriod.count() > 0 && !isReadable(stream.socket().native_handle()))
                lastEmpty = now;
            m_idleConnections.insert(&connection);
            asio::steady_timer timeout(m_context, m_limits.idleTimeout);
            // Reads nothing: a read that has succeeded leaves an empty socket behind before this coroutine continues.
            const auto ended = co_await (stream.socket().async_wait(tcp::socket::wait_read, completionToken)
                || timeout.async_wait(completionToken));
            m_idleConnections.erase(&connection);
            if (ended.index() != 0 || std::get<0>(std::get<0>(ended)))
                co_return false;
        }
        const auto arrival = arrivalOn(connection);
        stream.expires_after(m_limits.readTimeout);
        const auto ec = co_await readMessage(stream, buffer, parser, m_limits.maxTrailerBytes, &m_bodyBudget);
        if (ec == http::error::end_of_stream || ec == beast::error::timeout || ec == asio::error::connection_reset
            || ec == asio::error::operation_aborted)
            co_return false;
        if (ec) {
            HttpReply refusal { statusOf(ec), "{\"error\":\"" + ec.message() + "\"}", "application/json", {} };
            if (refusal.status == statusBusy)
                refusal.headers.emplace_back("Retry-After", "1");
            if (m_limits.onRefusal)
                m_limits.onRefusal(refusal.status, ec.message());
            co_await write(stream, std::move(refusal), false);
            co_return false;
        }
        stream.expires_never();
        auto request = parser.release();
        const bool keepAlive = request.keep_alive();
        auto exchange = std::make_shared<Exchange>(m_context, stream.socket().native_handle());
        const SocketUse socketUse(*exchange);
        ++m_openExchanges;
        if (!m_failures.run("http-handler", [&] { m_handler(toServerRequest(request, arrival), exchange); }))
            exchange->reply({ statusInternalError, R"({"error":"unexpected error"})", "application/json", {} });
        const bool isConnected = co_await exchange->wait(stream);
        --m_openExchanges;
        if (!isConnected)
            co_return false;
        stream.expires_after(m_limits.readTimeout);
        const bool staysOpen = keepAlive && !m_isClosing;
        co_return co_await write(stream, std::move(exchange->result()), staysOpen) && staysOpen;
    }

    static asio::awaitable<bool> write(beast::tcp_stream& stream, HttpReply reply, bool keepAlive)
    {
        http::response<http::string_body> response(static_cast<http::status>(reply.status), 11);
        response.set(http::field::content_type, reply.contentType);
        for (const auto& [name, value] : reply.headers)
            response.set(name, value);
        response.keep_alive(keepAlive);
        response.body() = std::move(reply.body);
        response.prepare_payload();
        auto [ec, n] = co_await http::async_write(stream, response, completionToken);
        co_return !ec;
    }

    static HttpServerRequest toServerRequest(http::request<http::string_body>& request, TimePoint arrival)
    {
        HttpServerRequest received;
        received.arrival = arrival;
        received.method = std::string(request.method_string());
        received.target = std::string(request.target());
        for (const auto& field : request) {
            std::string name(field.name_string());
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            received.headers.emplace_back(std::move(name), std::string(field.value()));
        }
        received.body = std::move(request.body());
        return received;
    }

    static constexpr int statusInternalError = 500;
    static constexpr Milliseconds acceptPause { 20 };

    asio::io_context& m_context;
    FailureGuard& m_failures;
    AsyncHttpLimits m_limits;
    BodyBudget m_bodyBudget;
    AsyncHttpServer::Handler m_handler;
    tcp::acceptor m_acceptor;
    std::set<ServerConnection*> m_idleConnections; ///< Those that wait for their next request.
    TimePoint m_listenerLastEmpty {}; ///< When no connection was last known to wait to be accepted.
    std::atomic<size_t> m_openExchanges { 0 };
    size_t m_connections = 0;
    bool m_isClosing = false;
};

AsyncHttpServer::AsyncHttpServer(HttpLoop& loop, const AsyncHttpLimits& limits, Handler handler)
    : m_state(std::make_shared<AsyncHttpServerState>(loop, limits, std::move(handler)))
{
}

AsyncHttpServer::~AsyncHttpServer() = default;

std::string AsyncHttpServer::listen(const std::string& address) { return m_state->listen(address); }

void AsyncHttpServer::closeIdle()
{
    asio::post(m_state->context(), [state = m_state] { state->closeIdle(); });
}

void AsyncHttpServer::stopListening()
{
    asio::post(m_state->context(), [state = m_state] { state->stopListening(); });
}

size_t AsyncHttpServer::openExchanges() const { return m_state->openExchanges(); }

/** Connection pool of a client and the calls that wait for a connection. */
class AsyncHttpClientState : public std::enable_shared_from_this<AsyncHttpClientState> {
public:
    AsyncHttpClientState(HttpLoop& loop, const std::string& address, size_t maxConnections)
        : m_context(loop.context())
        , m_failures(loop.guard())
        , m_endpoint(endpointOf(address))
        , m_host(address)
        , m_maxConnections(maxConnections)
    {
    }

    asio::io_context& context() { return m_context; }

    void call(HttpRequest request, Milliseconds timeout, std::function<void(HttpResult)> done, PeerRequirement peer)
    {
        Call next { std::move(request), Clock::now() + timeout, std::move(done), peer };
        if (m_activeConnections >= m_maxConnections) {
            m_pendingCalls.push_back(std::move(next));
            return;
        }
        ++m_activeConnections;
        asio::co_spawn(m_context, runCalls(shared_from_this(), std::move(next)), asio::detached);
    }

private:
    using Stream = std::unique_ptr<beast::tcp_stream>;

    struct Call {
        HttpRequest request;
        TimePoint deadline {};
        std::function<void(HttpResult)> done;
        PeerRequirement peer {};
    };

    /** Performs a call and then pending ones until there are none. */
    static asio::awaitable<void> runCalls(std::shared_ptr<AsyncHttpClientState> self, Call call)
    {
        for (;;) {
            auto result = co_await self->perform(call);
            self->m_failures.run("http-reply", [&] { call.done(std::move(result)); });
            if (self->m_pendingCalls.empty())
                break;
            call = std::move(self->m_pendingCalls.front());
            self->m_pendingCalls.pop_front();
        }
        --self->m_activeConnections;
    }

    asio::awaitable<HttpResult> perform(Call& call)
    {
        auto stream = takeIdle();
        const bool hasAnswered = stream != nullptr;
        if (!stream) {
            stream = std::make_unique<beast::tcp_stream>(m_context);
            stream->expires_at(call.deadline);
            auto [ec] = co_await stream->async_connect(m_endpoint, completionToken);
            if (ec == asio::error::connection_refused)
                co_return hasOpenConnection() ? HttpFault::NotSent : HttpFault::Refused;
            // Checked after connecting: by then the connections of a process that has ended are closed.
            if (ec || (call.peer == PeerRequirement::SameProcess && !hasAnsweredConnection()))
                co_return HttpFault::NotSent;
            stream->socket().set_option(tcp::no_delay(true), ec);
        }
        http::request<http::string_body> request(http::string_to_verb(call.request.method), call.request.target, 11);
        request.set(http::field::host, m_host);
        for (const auto& [name, value] : call.request.headers)
            request.set(name, value);
        if (!call.request.body.empty())
            request.set(http::field::content_type, "application/json");
        request.body() = std::move(call.request.body);
        request.prepare_payload();
        stream->expires_at(call.deadline);
        const ActiveStream active(m_activeStreams, *stream, hasAnswered);
        auto [sendError, sent] = co_await http::async_write(*stream, request, completionToken);
        if (sendError)
            co_return HttpFault::NoAnswer;
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxReplyBytes);
        if (co_await readMessage(*stream, buffer, parser, maxReplyTrailerBytes, nullptr))
            co_return HttpFault::NoAnswer;
        const bool staysOpen = parser.keep_alive();
        auto response = parser.release();
        HttpReply reply;
        reply.status = static_cast<int>(response.result_int());
        reply.body = std::move(response.body());
        if (staysOpen && m_idleStreams.size() < m_maxConnections)
            m_idleStreams.push_back(std::move(stream));
        co_return reply;
    }

    /** Connections of calls without an answer yet, and whether an earlier call on them was answered. */
    using ActiveStreams = std::map<beast::tcp_stream*, bool>;

    /** Registers the connection of a call as long as the call lasts. */
    class ActiveStream {
    public:
        ActiveStream(ActiveStreams& streams, beast::tcp_stream& stream, bool hasAnswered)
            : m_streams(streams)
            , m_position(streams.emplace(&stream, hasAnswered).first)
        {
        }
        ~ActiveStream() { m_streams.erase(m_position); }
        ActiveStream(const ActiveStream&) = delete;
        ActiveStream& operator=(const ActiveStream&) = delete;

    private:
        ActiveStreams& m_streams;
        ActiveStreams::iterator m_position;
    };

    static bool isOpen(beast::tcp_stream& stream) { return !hasPeerClosed(stream.socket().native_handle()); }

    /** Whether a connection with an answered call is left that the peer has not closed: the process that answered
     * lives. */
    bool hasAnsweredConnection()
    {
        return std::any_of(m_idleStreams.begin(), m_idleStreams.end(), [](const Stream& idle) { return isOpen(*idle); })
            || std::any_of(m_activeStreams.begin(), m_activeStreams.end(),
                [](const auto& active) { return active.second && isOpen(*active.first); });
    }

    /** Whether a connection is left that the peer has not closed: its process lives, though it accepts no new ones. */
    bool hasOpenConnection()
    {
        return hasAnsweredConnection()
            || std::any_of(m_activeStreams.begin(), m_activeStreams.end(),
                [](const auto& active) { return isOpen(*active.first); });
    }

    /** Takes an idle connection that the peer has not closed; null if there is none. */
    Stream takeIdle()
    {
        while (!m_idleStreams.empty()) {
            auto stream = std::move(m_idleStreams.back());
            m_idleStreams.pop_back();
            if (!hasPeerClosed(stream->socket().native_handle()))
                return stream;
        }
        return nullptr;
    }

    static constexpr uint64_t maxReplyBytes = 16U << 20U;
    static constexpr size_t maxReplyTrailerBytes = 8192;

    asio::io_context& m_context;
    FailureGuard& m_failures;
    tcp::endpoint m_endpoint;
    std::string m_host;
    size_t m_maxConnections;
    size_t m_activeConnections = 0;
    std::vector<Stream> m_idleStreams;
    ActiveStreams m_activeStreams;
    std::deque<Call> m_pendingCalls;
};

AsyncHttpClient::AsyncHttpClient(HttpLoop& loop, const std::string& address, size_t maxConnections)
    : m_state(std::make_shared<AsyncHttpClientState>(loop, address, maxConnections))
{
}

void AsyncHttpClient::call(
    HttpRequest request, Milliseconds timeout, std::function<void(HttpResult)> done, PeerRequirement peer)
{
    asio::post(m_state->context(),
        [state = m_state, request = std::move(request), timeout, done = std::move(done), peer]() mutable {
            state->call(std::move(request), timeout, std::move(done), peer);
        });
}

} // namespace sequoia
