/** @file AsyncHttp.h Asynchronous HTTP server and client: one Asio thread serves all connections of a process. */
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

/** Errors of AsyncHttpServer::listen and of the address of an AsyncHttpClient. */
enum class AsyncHttpError : uint8_t { BadAddress, AddressInUse };

/** Event loop and thread of a process's HTTP servers and clients. The guard catches exceptions of their callbacks. */
class HttpLoop {
public:
    explicit HttpLoop(FailureGuard& guard);
    ~HttpLoop();
    HttpLoop(const HttpLoop&) = delete;
    HttpLoop& operator=(const HttpLoop&) = delete;

    void start();
    /** Stops the thread; requests in progress are abandoned. */
    void stop();
    /** Runs work on the loop's thread. Thread-safe. */
    void post(std::function<void()> work);
    boost::asio::io_context& context() { return m_context; }
    FailureGuard& guard() { return m_failures; }

private:
    FailureGuard& m_failures;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    std::thread m_thread;
};

/** A request that a server received. */
struct HttpServerRequest {
    std::string method;
    std::string target; ///< Path and query.
    std::string body;
    HttpHeaders headers; ///< Names in lower case.
    /** When it came, by suspendAwareNow(): the earliest possible time if the server read it late, as after a
     * suspension; otherwise, or without `AsyncHttpLimits::arrivalPeriod`, when the server began to read it. */
    TimePoint arrival {};

    /** Value of a header, empty if there is none. `name` is in lower case. */
    std::string header(std::string_view name) const;
};

/** A reply that a server sends or a client receives. */
struct HttpReply {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    HttpHeaders headers;
};

/** A received request that has not been answered yet. `reply` and `isConnected` are thread-safe. */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    /** Sends the reply; any further reply is ignored. */
    virtual void reply(HttpReply reply) = 0;
    /** Sets what runs, on the loop's thread, if the caller disconnects before the reply. For use in the handler. */
    virtual void onDisconnect(std::function<void()> callback) = 0;
    /** Whether the caller has not ended its connection, as far as that has arrived here. Reads the socket's state, so
     * that it is true even if the loop has not noticed the end yet. False after the reply. */
    virtual bool isConnected() const = 0;
};
using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/** Limits of a server. */
struct AsyncHttpLimits {
    size_t maxConnections = 3000; ///< Further connections are closed right after they are accepted.
    size_t maxHeaderBytes = 16384;
    size_t maxBodyBytes = 1U << 20U;
    size_t maxTrailerBytes = 8192; ///< Of the trailers and chunk extensions of a request, together.
    /** Of all requests together that are being read; beyond it a request gets 503. One is always allowed. */
    size_t maxPartialBodyBytes = 16U << 20U;
    Milliseconds idleTimeout { 15000 }; ///< For the next request on an open connection.
    Milliseconds readTimeout { 5000 }; ///< For reading a request, and for writing a reply.
    /** Interval at which the server looks for bytes on its sockets, so that it knows since when they may have been
     * there; zero: it doesn't. */
    Milliseconds arrivalPeriod { 0 };
    /** Told of a request that is beyond the limits or malformed, with the status of its reply; on the loop's thread. */
    std::function<void(int status, const std::string& reason)> onRefusal {};
};

class AsyncHttpServerState;

/** Server on one address. The handler runs on the loop's thread and must not block; if it throws, the status is 500. */
class AsyncHttpServer {
public:
    using Handler = std::function<void(HttpServerRequest, HttpExchangePtr)>;

    AsyncHttpServer(HttpLoop& loop, const AsyncHttpLimits& limits, Handler handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer&) = delete;
    AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

    /** Listens on `host:port`; port 0 selects a free one. Returns the bound address or throws AsyncHttpError. */
    std::string listen(const std::string& address);
    /** Closes idle connections, and every other one after its next reply. Thread-safe. */
    void closeIdle();
    /** Stops accepting connections. Thread-safe. */
    void stopListening();
    /** Number of requests that have not been answered yet. Thread-safe. */
    size_t openExchanges() const;

private:
    std::shared_ptr<AsyncHttpServerState> m_state;
};

/** A request that a client sends. */
struct HttpRequest {
    std::string method;
    std::string target;
    std::string body;
    HttpHeaders headers;
};

/** Why a request got no reply. */
enum class HttpFault : uint8_t {
    Refused, ///< The connection was refused, and the peer has closed all others.
    NotSent, ///< Connecting failed otherwise or timed out; the server has not seen the request.
    NoAnswer ///< An established connection failed or timed out; the server may have processed the request.
};

using HttpResult = std::variant<HttpReply, HttpFault>;

/** On which connections a request may be sent. */
enum class PeerRequirement : uint8_t {
    Any,
    /** Only to the process that has answered before: on a connection with an earlier answer, or on a new one while such
     * a connection is open. An address may be taken over by another process, which closes the connections of the one
     * before. */
    SameProcess
};

class AsyncHttpClientState;

/** Client of one address with a pool of persistent connections, without pipelining. Thread-safe. */
class AsyncHttpClient {
public:
    AsyncHttpClient(HttpLoop& loop, const std::string& address, size_t maxConnections);
    /** Sends a request, after others if all connections are busy. `done` is called once, on the loop's thread. */
    void call(HttpRequest request, Milliseconds timeout, std::function<void(HttpResult)> done,
        PeerRequirement peer = PeerRequirement::Any);

private:
    std::shared_ptr<AsyncHttpClientState> m_state;
};

} // namespace sequoia
