/** @file EntryApi.h The HTTP interface of an entry for callers, peers and operators. */
#pragma once

#include "ConfigSynchronizer.h"
#include "JobJson.h"

#include <sequoia/EntryControl.h>
#include <sequoia/HttpService.h>
#include <sequoia/Metrics.h>
#include <sequoia/Settings.h>

namespace sequoia {

/** Dependencies of EntryApi. */
struct EntryApiParts {
    const EntrySettings& settings;
    EntryRegistration registration;
    EntryControl& control;
    const LinkHub& links;
    ConfigSynchronizer& config;
    const ConfigHolder& holder;
    const Store* store = nullptr;
    Log& log;
};

/** The handlers run on the HTTP server's threads and reach the entry's state only through the control thread. */
class EntryApi {
public:
    EntryApi(EntryApiParts parts, HttpService& http);

    /** Makes the entry report that it is not ready, and refuse new sessions. */
    void beginStop() { m_isStopping = true; }

private:
    using Request = httplib::Request;
    using Response = httplib::Response;

    void addCallerHandlers(httplib::Server& server);
    void addPeerHandlers(httplib::Server& server);
    void addOperatorHandlers(httplib::Server& server);

    void submit(const Request& request, Response& response);
    void poll(const Request& request, Response& response);
    void cancel(const Request& request, Response& response);
    void acknowledge(const Request& request, Response& response);
    void rejectWithoutId(const Request& request, Response& response);

    /** Reads the job id of the path; writes an error reply and returns nothing if it is malformed. */
    std::optional<JobId> parseJobPath(const Request& request, Response& response) const;
    /** Forwards a request to the owner of its job; recovers the job's answer from the agents if the owner
     * can't be reached or has ended. */
    void relay(const JobId& job, const Request& request, Response& response);
    void recover(const JobId& job, bool isEnded, const Request& request, Response& response);
    void awaitAnswer(
        std::future<JobReply> reply, WaiterId waiter, const JobId& job, Milliseconds wait, Response& response);
    void replyToCommand(CommandResult result, Response& response);
    Milliseconds requestedWait(const Request& request) const;
    bool hasPeerToken(const Request& request, Response& response) const;
    /** Returns whether new jobs are accepted; writes an error reply if not. */
    bool checkCanServe(Response& response) const;
    std::string newSession();
    std::string metricsText();
    std::string statusText();
    void replyError(Response& response, const ApiError& error) const;

    EntryApiParts m_parts;
    std::atomic<bool> m_isStopping { false };
    TimeHistogram m_responseSeconds;
};

} // namespace sequoia
