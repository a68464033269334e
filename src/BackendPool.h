/** @file BackendPool.h HTTP calls to the backend server, with a thread and a connection for each concurrent call. */
#pragma once

#include <sequoia/AgentCore.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <sequoia/HttpService.h>
#include <thread>

namespace sequoia {

/** Called with the result of each call, on a thread of the pool. */
using BackendResultHook = std::function<void(const TaskKey&, BackendResult)>;

/** Thread pool that calls the backend server. A failed call is never retried here: the task may not be repeatable. */
class BackendPool {
public:
    BackendPool(size_t maxThreads, size_t maxAnswerBytes, BackendResultHook onResult);
    ~BackendPool();
    BackendPool(const BackendPool&) = delete;
    BackendPool& operator=(const BackendPool&) = delete;

    /** Address of the backend server, `host:port`. */
    void setAddress(const std::string& address);
    /** Queues a call. */
    void call(CallBackend call);

private:
    void run();

    size_t m_maxThreads;
    size_t m_maxAnswerBytes;
    BackendResultHook m_onResult;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_address;
    std::deque<CallBackend> m_calls;
    std::vector<std::thread> m_threads;
    size_t m_idleThreads = 0;
    bool m_isStopped = false;
    std::set<HttpClient*> m_activeClients; ///< Clients with a call in progress, which the destructor aborts.
};

} // namespace sequoia
