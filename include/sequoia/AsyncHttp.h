/** @file AsyncHttp.h HTTP server and client on one Asio thread, for many connections at little cost. */
#pragma once

#include <sequoia/FailureGuard.h>
#include <sequoia/Time.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace sequoia {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** Errors of this layer at start. */
enum class AsyncHttpError : uint8_t { BadAddress, AddressInUse };

/** The thread that all servers and clients of a process run on. What handlers and callbacks throw, the guard catches.
 */
class HttpLoop {
public:
    explicit HttpLoop(FailureGuard& guard);
    ~HttpLoop();
    HttpLoop(const HttpLoop&) = delete;
    HttpLoop& operator=(const HttpLoop&) = delete;

    /** Starts the thread. */
    void start();
    /** Ends the thread; what is in progress is dropped. */
    void stop();
    void post(std::function<void()> work);
    boost::asio::io_context& context() { return m_context; }
    FailureGuard& guard() { return m_failures; }

private:
    FailureGuard& m_failures;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    std::thread m_thread;
};

/** A request as a server received it. */
struct HttpServerRequest {
    std::string method;
    std::string target; ///< Path and query.
    std::string body;
    HttpHeaders headers; ///< Names in lower case.

    /** Value of a header, empty if there is none. `name` is in lower case. */
    std::string header(std::string_view name) const;
};

/** A reply, of a server or to a client. */
struct HttpReply {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    HttpHeaders headers;
};

/** A request that waits for its reply. Thread-safe. */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    /** Sends the reply; only the first one counts. */
    virtual void reply(HttpReply reply) = 0;
    /** Sets what is called, on the loop's thread, if the caller goes away before the reply. Call it in the handler. */
    virtual void onDisconnect(std::function<void()> gone) = 0;
};
using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/** Bounds of a server. */
struct AsyncHttpLimits {
    size_t maxConnections = 3000; ///< Further ones are closed at once.
    size_t maxHeaderBytes = 16384;
    size_t maxBodyBytes = 1U << 20U;
    Milliseconds idleTimeout { 15000 }; ///< Longest pause between requests.
    Milliseconds readTimeout { 5000 }; ///< Longest time to read or write one message.
};

class AsyncHttpServerState;

/** Server on one address. The handler runs on the loop's thread and must not block; if it throws, the reply is 500. */
class AsyncHttpServer {
public:
    using Handler = std::function<void(HttpServerRequest, HttpExchangePtr)>;

    AsyncHttpServer(HttpLoop& loop, const AsyncHttpLimits& limits, Handler handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer&) = delete;
    AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

    /** Serves `host:port`, port 0 for a free one. Returns the bound address or throws AsyncHttpError. */
    std::string listen(const std::string& address);
    /** Asks callers to close: replies say so from now on, and idle connections are closed. Thread-safe. */
    void closeIdle();
    /** Stops accepting. Thread-safe. */
    void stopListening();
    /** Requests that wait for their reply. Thread-safe. */
    size_t openExchanges() const;

private:
    std::shared_ptr<AsyncHttpServerState> m_state;
};

/** A request of a client. */
struct HttpRequest {
    std::string method;
    std::string target;
    std::string body;
    HttpHeaders headers;
};

/** Why a call has no reply. */
enum class HttpFault : uint8_t {
    Refused, ///< Nobody listens there.
    NotSent, ///< No connection could be made in time.
    NoAnswer ///< It may have been carried out.
};

using HttpResult = std::variant<HttpReply, HttpFault>;

class AsyncHttpClientState;

/** Client of one address with kept connections, one call at a time on each. Thread-safe. */
class AsyncHttpClient {
public:
    AsyncHttpClient(HttpLoop& loop, const std::string& address, size_t maxConnections);
    /** `done` is called once, on the loop's thread. */
    void call(HttpRequest request, Milliseconds timeout, std::function<void(HttpResult)> done);

private:
    std::shared_ptr<AsyncHttpClientState> m_state;
};

} // namespace sequoia
