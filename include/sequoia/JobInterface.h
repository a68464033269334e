/** @file JobPort.h What a front asks of an entry that places jobs by room. */
#pragma once

#include <sequoia/RouteTable.h>
#include <sequoia/Work.h>

#include <functional>

namespace sequoia {

/** Called once with the answer of a job. */
using JobAnswerCallback = std::function<void(const WorkAnswer&)>;

/** Calls of an entry for its callers. All may be made on any thread, and hooks may be called on any thread. */
struct JobInterface {
    /** Routes in force; null as long as there is no configuration. */
    std::function<RouteTablePtr()> routes;
    /** Takes a job of a caller that waits for `budget`. The result is to be called if the caller goes away first. */
    std::function<std::function<void()>(WorkSpec, RoutePolicy, Milliseconds budget, JobAnswerCallback)> submit;
    /** Whether a job is open here. */
    std::function<void(WorkId, std::function<void(bool)>)> isOpen;
    /** Ends an open job; false if there is none. */
    std::function<void(WorkId, std::function<void(bool)>)> cancel;
    /** Jobs of a route that wait for their first task to start. */
    std::function<void(std::string route, std::function<void(size_t)>)> waitingJobs;
};

} // namespace sequoia
