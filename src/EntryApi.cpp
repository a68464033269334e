/** @file EntryApi.cpp Handlers of an entry's HTTP interface. */
#include "EntryApi.h"
#include "HttpCommon.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace sequoia {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

    constexpr auto relayHeader = "X-Sequoia-Relay";
    constexpr auto incarnationHeader = "X-Sequoia-Incarnation";
    constexpr Milliseconds relayConnectTimeout { 1000 };
    /** Added to time-outs, so that a reply at the end of the requested wait is still received. */
    constexpr Milliseconds relayMargin { 2000 };
    constexpr Milliseconds recoveryWait { 3000 }; // Maximum wait for the agents; after it the caller is told to retry.

    constexpr int statusAccepted = 202;
    constexpr int statusBadRequest = 400;
    constexpr int statusGone = 410;
    constexpr int statusPreconditionRequired = 428;
    constexpr int statusUnavailable = 503;

    std::string hex(Incarnation incarnation) { return fmt::format("{:016x}", raw(incarnation)); }

} // namespace

EntryApi::EntryApi(EntryApiParts parts, HttpService& http)
    : m_parts(std::move(parts))
{
    auto& server = http.server();
    addCommonHandlers(server, m_parts.log, m_parts.settings.token);
    addCallerHandlers(server);
    addPeerHandlers(server);
    addOperatorHandlers(server);
    server.set_exception_handler([this](const Request&, Response& response, const std::exception_ptr&) {
        replyError(response, { 500, "internal", "internal error; the outcome of the request is unknown", false, "" });
    });
}

void EntryApi::replyError(Response& response, const ApiError& error) const
{
    response.status = error.status;
    response.set_content(errorJson(error), jsonType);
}

bool EntryApi::checkCanServe(Response& response) const
{
    if (m_isStopping)
        replyError(response,
            { statusUnavailable, "stopping", "the entry is stopping; open a session at another one", true, "" });
    else if (!m_parts.config.isReady())
        replyError(response, { statusUnavailable, "not-ready", "the entry has no configuration yet", true, "" });
    else
        return true;
    return false;
}

std::string EntryApi::newSession()
{
    return toString(
        SessionId { m_parts.registration.http, m_parts.registration.incarnation, m_parts.control.openSession() });
}

void EntryApi::addCallerHandlers(httplib::Server& server)
{
    server.Post("/v1/sessions", [this](const Request&, Response& response) {
        if (!checkCanServe(response))
            return;
        response.status = 201;
        response.set_content(Json { { "session", newSession() } }.dump(), jsonType);
    });
    server.Get("/v1/sessions/([^/]+)", [this](const Request& request, Response& response) {
        const auto id = parseSessionId(request.matches[1].str());
        bool isOpen = false;
        if (id && id->owner == m_parts.registration.incarnation)
            m_parts.control.inspect([&](EntryCore& core, TimePoint) { isOpen = core.isOpen(id->number); });
        if (isOpen)
            response.set_content(Json { { "session", request.matches[1].str() } }.dump(), jsonType);
        else
            replyError(response, { statusGone, "session-ended", "open a new session for new jobs", true, "" });
    });
    server.Post("/v1/jobs", [this](const Request& request, Response& response) { rejectWithoutId(request, response); });
    server.Put("/v1/jobs/([^/]+)", [this](const Request& request, Response& response) { submit(request, response); });
    server.Get("/v1/jobs/([^/]+)", [this](const Request& request, Response& response) { poll(request, response); });
    server.Delete(
        "/v1/jobs/([^/]+)", [this](const Request& request, Response& response) { cancel(request, response); });
    server.Post("/v1/jobs/([^/]+)/acknowledge",
        [this](const Request& request, Response& response) { acknowledge(request, response); });
}

void EntryApi::rejectWithoutId(const Request&, Response& response)
{
    replyError(response,
        { statusPreconditionRequired, "id-required", "submit with PUT /v1/jobs/{session}~{number}; the job was not run",
            true, newSession() });
}

std::optional<JobId> EntryApi::parseJobPath(const Request& request, Response& response) const
{
    const auto text = request.matches[1].str();
    auto job = parseJobId(text);
    if (!job)
        replyError(response,
            { statusBadRequest, "bad-job-id", "expected {session}~{number}, found \"" + text + "\"", true, "" });
    return job;
}

Milliseconds EntryApi::requestedWait(const Request& request) const
{
    const auto maxWait = Milliseconds(m_parts.settings.max_deadline_ms);
    const auto text = request.get_param_value("wait");
    int64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || n < 0)
        return maxWait;
    return std::min(Milliseconds(n), maxWait);
}

void EntryApi::submit(const Request& request, Response& response)
{
    const auto job = parseJobPath(request, response);
    if (!job)
        return;
    const JobLimits limits { static_cast<size_t>(m_parts.settings.max_tasks),
        Milliseconds(m_parts.settings.max_deadline_ms) };
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(spec, parseJob(request.body, limits));
            if (job->session.owner != m_parts.registration.incarnation) {
                relay(*job, request, response);
                return {};
            }
            if (!m_parts.config.isReady() && !checkCanServe(response))
                return {};
            spec.key = job->key();
            WaiterId waiter {};
            const auto wait = std::min(requestedWait(request), spec.deadline + relayMargin);
            auto reply = m_parts.control.submit(std::move(spec), waiter);
            awaitAnswer(std::move(reply), waiter, *job, wait, response);
            return {};
        },
        [&](const JobJsonError& error) {
            const auto place = error.place.empty() ? "body" : error.place;
            replyError(response, { statusBadRequest, "bad-job", place + ": " + error.message, true, "" });
        },
        [&] {
            replyError(response, { 500, "internal", "unexpected error", false, "" });
        });
}

void EntryApi::poll(const Request& request, Response& response)
{
    const auto job = parseJobPath(request, response);
    if (!job)
        return;
    if (job->session.owner != m_parts.registration.incarnation) {
        relay(*job, request, response);
        return;
    }
    WaiterId waiter {};
    auto reply = m_parts.control.poll(job->key(), waiter);
    awaitAnswer(std::move(reply), waiter, *job, requestedWait(request), response);
}

void EntryApi::cancel(const Request& request, Response& response)
{
    const auto job = parseJobPath(request, response);
    if (!job)
        return;
    if (job->session.owner != m_parts.registration.incarnation)
        relay(*job, request, response);
    else
        replyToCommand(m_parts.control.cancel(job->key()), response);
}

void EntryApi::acknowledge(const Request& request, Response& response)
{
    const auto job = parseJobPath(request, response);
    if (!job)
        return;
    if (job->session.owner != m_parts.registration.incarnation)
        relay(*job, request, response);
    else
        replyToCommand(m_parts.control.acknowledge(job->key()), response);
}

void EntryApi::replyToCommand(CommandResult result, Response& response)
{
    if (result)
        replyError(response, toApiError(*result));
    else
        response.set_content("{}", jsonType);
}

void EntryApi::awaitAnswer(
    std::future<JobReply> reply, WaiterId waiter, const JobId& job, Milliseconds wait, Response& response)
{
    const auto begin = Clock::now();
    if (reply.wait_for(wait) != std::future_status::ready) {
        m_parts.control.send(DropWaiterInput { job.key(), waiter });
        response.status = statusAccepted;
        response.set_content(Json { { "job", toString(job) }, { "status", "pending" } }.dump(), jsonType);
        return;
    }
    const auto result = reply.get();
    if (result.error) {
        auto error = toApiError(*result.error);
        if (*result.error == EntryError::UnknownSession || *result.error == EntryError::Expired)
            error.session = newSession();
        replyError(response, error);
        return;
    }
    m_responseSeconds.add(std::chrono::duration<double>(Clock::now() - begin).count());
    response.set_content(answerJson(toString(job), *result.answer), jsonType);
}

void EntryApi::relay(const JobId& job, const Request& request, Response& response)
{
    const bool isOwnAddress = job.session.address == m_parts.registration.http;
    if (request.has_header(relayHeader) || isOwnAddress) {
        response.set_header(incarnationHeader, hex(m_parts.registration.incarnation));
        if (request.has_header(relayHeader)) {
            replyError(response,
                { statusGone, "home-ended", "the entry that owned the job has ended; another process has its address",
                    false, "" });
            return;
        }
        recover(job, true, request, response);
        return;
    }
    auto client = makeHttpClient(job.session.address, relayConnectTimeout);
    client.set_read_timeout(requestedWait(request) + relayMargin);
    httplib::Request forwarded;
    forwarded.method = request.method;
    forwarded.path = request.target;
    forwarded.body = request.body;
    forwarded.set_header(relayHeader, "1");
    forwarded.set_header("Content-Type", jsonType);
    const auto reply = client.send(forwarded);
    if (reply && !reply->has_header(incarnationHeader)) {
        response.status = reply->status;
        response.set_content(reply->body, jsonType);
        return;
    }
    // A reply of another incarnation at the address proves that the owner has ended. A failed request proves nothing:
    // the owner may still run.
    recover(job, reply.error() == httplib::Error::Success, request, response);
}

void EntryApi::recover(const JobId& job, bool isEnded, const Request& request, Response& response)
{
    if (request.method != "PUT" && request.method != "GET") {
        replyError(response,
            { statusGone, "home-ended", "the entry that owns the job is not reachable; get the answer with GET", false,
                "" });
        return;
    }
    WaiterId waiter {};
    auto reply = m_parts.control.recover(job.key(), isEnded, waiter);
    if (reply.wait_for(std::min(requestedWait(request), recoveryWait)) != std::future_status::ready) {
        m_parts.control.send(DropWaiterInput { job.key(), waiter });
        response.set_header("Retry-After", "1");
        replyError(response,
            { statusUnavailable, "outcome-unknown",
                "the entry that owns the job is not reachable; its outcome is not known yet, retry", false, "" });
        return;
    }
    response.set_content(answerJson(toString(job), *reply.get().answer), jsonType);
}

bool EntryApi::hasPeerToken(const Request& request, Response& response) const
{
    return hasToken(request, response, m_parts.settings.token);
}

void EntryApi::addPeerHandlers(httplib::Server& server)
{
    server.Get("/v1/links", [this](const Request&, Response& response) {
        auto out = Json::array();
        for (const auto& entry : m_parts.config.entries())
            out.push_back(Json::parse(toJson(entry)));
        response.set_content(Json { { "entries", std::move(out) } }.dump(), jsonType);
    });
    server.Get("/v1/peer/config", [this](const Request& request, Response& response) {
        if (hasPeerToken(request, response))
            response.set_content(m_parts.config.currentJson(), jsonType);
    });
    server.Post("/v1/peer/config", [this](const Request& request, Response& response) {
        if (!hasPeerToken(request, response))
            return;
        m_parts.config.receiveFromPeer(request.body);
        response.set_content("{}", jsonType);
    });
    server.Get("/v1/peer/part/([0-9a-f]+)", [this](const Request& request, Response& response) {
        if (!hasPeerToken(request, response))
            return;
        const auto part = m_parts.config.part(request.matches[1].str());
        if (part)
            response.set_content(*part, "text/plain");
        else
            replyError(
                response, { 404, "unknown-part", "the active configuration has no such part of the sheet", true, "" });
    });
}

void EntryApi::addOperatorHandlers(httplib::Server& server)
{
    server.Get("/readyz", [this](const Request&, Response& response) {
        const bool isReady = !m_isStopping && m_parts.config.isReady();
        response.status = isReady ? 200 : statusUnavailable;
        response.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
    });
    server.Get(
        "/metrics", [this](const Request&, Response& response) { response.set_content(metricsText(), metricsType); });
    server.Get(
        "/v1/status", [this](const Request&, Response& response) { response.set_content(statusText(), jsonType); });
}

std::string EntryApi::metricsText()
{
    EntryCounters n;
    size_t openJobs = 0;
    size_t queued = 0;
    m_parts.control.inspect([&](EntryCore& core, TimePoint) {
        n = core.counters();
        openJobs = core.openJobs();
        queued = core.queuedTasks();
    });
    const auto counter = [](const char* name, const char* help, uint64_t value) {
        return prometheusValue(std::string("sequoia_") + name, "counter", help, static_cast<double>(value));
    };
    auto out = m_responseSeconds.prometheus("sequoia_response_seconds", "Time from a submission to its answer.");
    out += counter("task_starts_total", "Starts sent to agents.", n.starts);
    out += counter("task_starts_refused_total", "Starts that an agent refused.", n.refusedStarts);
    out += counter("task_answers_total", "Answers of agents.", n.answers);
    out += counter("need_messages_total", "Requests for grants.", n.needs);
    out += counter("return_messages_total", "Grants given back.", n.returns);
    out += counter("query_messages_total", "Questions about starts after a replaced link.", n.queries);
    out += counter("abandon_messages_total", "Failed jobs told to agents.", n.abandons);
    out += counter("beat_messages_total", "Beats on quiet links.", n.heartbeatsSent);
    out += counter("messages_total", "Messages of both ways but for beats.", n.messages());
    out += counter("wasted_messages_total", "Messages that are neither an accepted start nor its answer.", n.wasted());
    out += counter("jobs_complete_total", "Jobs answered complete.", n.jobsComplete);
    out += counter("jobs_failed_total", "Jobs answered failed.", n.jobsFailed);
    out += counter("jobs_not_run_total", "Failed jobs of which nothing ran.", n.jobsNotRun);
    out += counter("link_bytes_sent_total", "Bytes of frames sent to agents.", m_parts.links.bytesSent());
    out += counter("link_bytes_received_total", "Bytes of frames received from agents.", m_parts.links.bytesReceived());
    if (m_parts.store != nullptr) {
        const auto& calls = m_parts.store->calls();
        out += counter("store_reads_total", "Reads of the platform store.", calls.reads);
        out += counter("store_writes_total", "Writes to the platform store.", calls.writes);
        out += counter("store_watches_total", "Watches of the platform store.", calls.watches);
    }
    out += prometheusValue("sequoia_open_jobs", "gauge", "Jobs without an answer.", static_cast<double>(openJobs));
    out += prometheusValue("sequoia_queued_tasks", "gauge", "Waiting tasks.", static_cast<double>(queued));
    const auto revision = static_cast<double>(raw(m_parts.holder.revision()));
    return out + prometheusValue("sequoia_config_revision", "gauge", "Configuration in force.", revision);
}

std::string EntryApi::statusText()
{
    Json out;
    m_parts.control.inspect([&](EntryCore& core, TimePoint) {
        auto agents = Json::array();
        for (size_t i = 0; i < core.agents().size(); ++i) {
            const auto& agent = core.agents().at(AgentIndex(i));
            agents.push_back({ { "name", agent.name }, { "failureDomain", agent.failureDomain },
                { "http", agent.httpAddress }, { "linked", agent.isLinked }, { "withdrawn", agent.isWithdrawn },
                { "grants", agent.grants }, { "running", agent.outstanding.size() }, { "slowness", agent.slowness } });
        }
        auto queues = Json::object();
        for (const auto& [team, n] : core.queue().depths())
            queues[team] = n;
        out["agents"] = std::move(agents);
        out["queuedJobs"] = std::move(queues);
        out["openJobs"] = core.openJobs();
        out["queuedTasks"] = core.queuedTasks();
        out["records"] = core.records();
    });
    out["entry"] = Json::parse(toJson(m_parts.registration));
    out["revision"] = raw(m_parts.holder.revision());
    out["storeUp"] = m_parts.config.isStoreUp();
    out["ready"] = m_parts.config.isReady() && !m_isStopping;
    out["stopping"] = m_isStopping.load();
    return out.dump(-1, ' ', false, Json::error_handler_t::replace); // Agents' names may be any bytes.
}

} // namespace sequoia
