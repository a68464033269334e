/** @file HttpService.h An HTTP server with bounded connections and a graceful stop. */
#pragma once

#include <sequoia/Address.h>
#include <sequoia/Time.h>

#include <atomic>
#include <httplib.h>
#include <string>
#include <thread>

namespace sequoia {

/** Bounds of a server. */
struct HttpLimits {
    size_t maxConnections = 512; ///< Served at once; further ones wait to be accepted.
    size_t maxBodyBytes = 4U << 20U;
    Milliseconds readTimeout { 5000 }; ///< Longest pause within or between requests.
};

/** Errors of this layer. */
enum class HttpError : uint8_t { BadAddress, AddressInUse };

/** Server on one address. Handlers are set on `server()` before `start`. */
class HttpService {
public:
    explicit HttpService(HttpLimits limits);
    ~HttpService();
    HttpService(const HttpService&) = delete;
    HttpService& operator=(const HttpService&) = delete;

    httplib::Server& server() { return m_server; }
    /** Binds `host:port`, port 0 for a free one. Returns the bound address. */
    std::string bind(const std::string& address);
    /** Serves the bound address on threads of its own. */
    void serve();
    /** Binds and serves. */
    std::string start(const std::string& address);
    /** From now on every reply asks its caller to close the connection. */
    void beginStop() { m_isStopping = true; }
    /** Lets requests in progress end, then stops. */
    void stop();

private:
    httplib::Server m_server;
    std::thread m_thread;
    int m_listener = -1; ///< File descriptor of the listening socket.
    std::atomic<bool> m_isStopping { false };
};

/** Client of `host:port` with one timeout for connecting, reading and writing. */
httplib::Client makeHttpClient(const std::string& address, Milliseconds timeout);

/** Whether a call failed before anything was sent. */
bool isConnectFailure(httplib::Error error);

} // namespace sequoia
