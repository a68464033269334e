/** @file EntryApi.h The HTTP interface of an entry: callers, peers, operators. */
#pragma once

#include "ConfigSynchronizer.h"
#include "JobJson.h"

#include <sequoia/EntryControl.h>
#include <sequoia/HttpService.h>
#include <sequoia/Metrics.h>
#include <sequoia/Settings.h>

namespace sequoia {

/** Dependencies of the interface. */
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

/** Handlers of the HTTP interface. They run on the server's threads and only talk to the control thread. */
class EntryApi {
public:
    EntryApi(EntryApiParts parts, HttpService& http);

    /** From now on the entry is not ready, and new sessions are refused. */
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

    /** The job named by the path; an error reply is written if it is malformed. */
    std::optional<JobId> parseJobPath(const Request& request, Response& response) const;
    /** Passes a request on to the home of its job; a recovery takes its place if the home has ended. */
    void relay(const JobId& job, const Request& request, Response& response);
    void recover(const JobId& job, bool isEnded, const Request& request, Response& response);
    void awaitAnswer(
        std::future<JobReply> reply, WaiterId waiter, const JobId& job, Milliseconds wait, Response& response);
    void replyToCommand(CommandResult result, Response& response);
    Milliseconds requestedWait(const Request& request) const;
    bool hasPeerToken(const Request& request, Response& response) const;
    /** Whether new work is taken; writes the refusal if not. */
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
