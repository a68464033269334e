/** @file BackendPool.h Calls the backend server over HTTP, one thread and connection for each slot in use. */
#pragma once

#include <sequoia/AgentCore.h>

#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace sequoia {

/** Where a result goes. */
using BackendResultHook = std::function<void(const TaskKey&, BackendResult)>;

/** Threads that call the backend server. Nothing is ever sent twice. */
class BackendPool {
public:
    BackendPool(size_t mostThreads, size_t maxAnswerBytes, BackendResultHook finished);
    ~BackendPool();
    BackendPool(const BackendPool&) = delete;
    BackendPool& operator=(const BackendPool&) = delete;

    /** Address of the backend server, `host:port`. */
    void setAddress(const std::string& address);
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
    std::set<httplib::Client*> m_activeClients; ///< Of calls in progress; a stop ends them.
};

} // namespace sequoia
