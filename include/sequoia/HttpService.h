/** @file HttpService.h HTTP server with a thread for each connection, a limit of connections and a graceful stop. */
#pragma once

#include <sequoia/Address.h>
#include <sequoia/Time.h>

#include <atomic>
#include <httplib.h>
#include <memory>
#include <string>
#include <thread>

namespace sequoia {

/** Limits of a server. */
struct HttpLimits {
    size_t maxConnections = 512; ///< Served concurrently; further ones wait in a queue.
    size_t maxBodyBytes = 4U << 20U;
    Milliseconds readTimeout { 5000 }; ///< Longest pause within a message and before the next request.
    size_t maxTrailerBytes = 8192; ///< Of a line of trailers or chunk extensions, and of all beyond smallest chunks.
    size_t maxHeaderBytes = 65536;
};

/** Errors of HttpService::bind. */
enum class HttpError : uint8_t { BadAddress, AddressInUse };

/** HTTP server on one address. Handlers are registered with `server()` before `start`. */
class HttpService {
public:
    explicit HttpService(HttpLimits limits);
    ~HttpService();
    HttpService(const HttpService&) = delete;
    HttpService& operator=(const HttpService&) = delete;

    httplib::Server& server() { return *m_server; }
    /** Binds `host:port`; port 0 selects a free one. Returns the bound address or throws HttpError. */
    std::string bind(const std::string& address);
    /** Starts to serve the bound address, on threads of its own. */
    void serve();
    /** Binds and serves. */
    std::string start(const std::string& address);
    /** Adds `Connection: close` to every reply from now on. */
    void beginStop() { m_isStopping = true; }
    /** Waits for the requests in progress, then stops. */
    void stop();

private:
    std::unique_ptr<httplib::Server> m_server;
    std::thread m_thread;
    int m_listener = -1; ///< File descriptor of the listening socket.
    std::atomic<bool> m_isStopping { false };
};

/** The library's client with limits on what it reads of an answer beside the body, which has none: watches of the store
 * are bodies without end. */
class HttpClient : public httplib::ClientImpl {
public:
    /** A client of `host:port`; the calls of a client of a malformed address fail to connect. */
    explicit HttpClient(const std::string& address);
    /** The timeout applies to connecting and to each single read and write. */
    HttpClient(const std::string& address, Milliseconds timeout);

private:
    explicit HttpClient(const std::pair<std::string, int>& host);
    bool process_socket(const Socket& socket, std::function<bool(httplib::Stream&)> callback) override;
};

/** Makes a client of `host:port`; the timeout applies to connecting and to each single read and write. The calls of a
 * client of a malformed address fail to connect. */
HttpClient makeHttpClient(const std::string& address, Milliseconds timeout);

/** Whether a request failed before anything was sent. */
bool isConnectFailure(httplib::Error error);

} // namespace sequoia
