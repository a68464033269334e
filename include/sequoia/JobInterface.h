/** @file JobInterface.h Functions of an entry on the platform for its HTTP front end. */
#pragma once

#include <sequoia/RouteTable.h>
#include <sequoia/Time.h>
#include <sequoia/Work.h>

#include <functional>

namespace sequoia {

/** Called exactly once with the answer of a job. */
using JobAnswerCallback = std::function<void(const WorkAnswer&)>;

/** A caller's request for a job. Its functions may be called on any thread. */
struct JobRequest {
    TimePoint arrival {}; ///< When it came, by suspendAwareNow(); see HttpServerRequest::arrival.
    Milliseconds budget {}; ///< How long the caller waits for the answer, from `arrival` on.
    JobAnswerCallback onAnswer;
    std::function<bool()> isConnected; ///< Whether the caller has not ended its connection.
};

/** Functions of an entry for its callers. They may be called on any thread, and call their callbacks on any thread. */
struct JobInterface {
    /** Routes in force; null while there is no configuration. */
    std::function<RouteTablePtr()> routes;
    /** Submits a job. Call the result if the caller disconnects. */
    std::function<std::function<void()>(WorkSpec, RoutePolicy, JobRequest)> submit;
    /** Whether a job is open at this entry. */
    std::function<void(WorkId, std::function<void(bool)>)> isOpen;
    /** Cancels an open job; the callback gets false if there is none. */
    std::function<void(WorkId, std::function<void(bool)>)> cancel;
    /** Number of jobs of a route that wait for their first run. */
    std::function<void(std::string route, std::function<void(size_t)>)> waitingJobs;
};

} // namespace sequoia
