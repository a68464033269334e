/** @file LoadCaller.cpp Generates the load tool's jobs, submits them as callers do, and checks the answers. */
#include "LoadCaller.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace sequoia {

using Json = nlohmann::json;

namespace {

    constexpr Milliseconds connectTimeout { 1000 };
    constexpr Milliseconds longPoll { 2000 }; // Wait time of one request; a caller without an answer sends it again.
    constexpr Milliseconds sessionCheckInterval {
        300
    }; // A session without a reply for longer is checked before its next job.
    constexpr Milliseconds retryDelay { 100 };
    constexpr Milliseconds shortWait { 20 }; // Wait of the first request of a job that is resubmitted or cancelled.
    constexpr int statusOk = 200;
    constexpr int statusGone = 410;
    constexpr int statusNotFound = 404;
    constexpr int statusUnavailable = 503;
    constexpr double msPerSecond = 1000;

    double uniform(std::mt19937_64& random, double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random);
    }

    bool chance(std::mt19937_64& random, int64_t perMille) { return static_cast<int64_t>(random() % 1000) < perMille; }

    double logUniform(std::mt19937_64& random, double low, double high)
    {
        if (low <= 0 || high <= low)
            return uniform(random, low, std::max(high, low + 1e-9));
        return std::exp(uniform(random, std::log(low), std::log(high)));
    }

    LoadTask generateTask(const LoadSettings& settings, std::mt19937_64& random)
    {
        LoadTask task;
        const bool isLong = chance(random, settings.long_per_mille);
        const double run = isLong
            ? static_cast<double>(settings.long_ms)
            : logUniform(random, static_cast<double>(settings.run_ms_min), static_cast<double>(settings.run_ms_max));
        const double error = static_cast<double>(settings.declared_error_percent) / 100;
        task.runTime = Milliseconds(static_cast<int64_t>(run));
        task.declaredRunTime
            = Milliseconds(std::max<int64_t>(1, static_cast<int64_t>(run * std::exp(uniform(random, -error, error)))));
        task.isRepeatable = chance(random, settings.repeatable_per_mille);
        return task;
    }

    std::string jobBody(const LoadJob& job, const LoadSettings& settings)
    {
        auto tasks = Json::array();
        for (size_t i = 0; i < job.tasks.size(); ++i) {
            const auto& task = job.tasks[i];
            const Json payload { { "runMs", task.runTime.count() },
                { "token", fmt::format("{}-{}-{}", settings.seed, job.number, i) } };
            Json json { { "payload", payload.dump() }, { "repeatable", task.isRepeatable },
                { "declaredMs", task.declaredRunTime.count() } };
            if (!task.visit.empty())
                json["visit"] = task.visit;
            tasks.push_back(std::move(json));
        }
        Json json { { "team", job.team }, { "deadlineMs", settings.deadline_ms }, { "tasks", std::move(tasks) } };
        if (!settings.day.empty())
            json["day"] = settings.day;
        return json.dump();
    }

    /** Returns the part of a job id that is in the task ids sent to backend servers. */
    std::string jobKeyOf(const std::string& jobId) { return jobId.substr(jobId.find('~') + 1); }

} // namespace

std::vector<LoadJob> generateJobs(const LoadSettings& settings, const std::vector<LoadVisit>& visits)
{
    std::mt19937_64 random(static_cast<uint64_t>(settings.seed));
    std::vector<LoadJob> jobs;
    const double perMs = static_cast<double>(settings.jobs_per_minute) / 60000;
    const auto end = static_cast<double>(settings.seconds) * msPerSecond;
    size_t nextVisit = 0;
    double at = 0;
    for (;;) {
        const bool isBurst = settings.arrival == "burst" && at >= static_cast<double>(settings.burst_at_ms)
            && at < static_cast<double>(settings.burst_at_ms + settings.burst_ms);
        const double rate = perMs * (isBurst ? static_cast<double>(settings.burst_factor) : 1);
        at += std::exponential_distribution<double>(rate)(random);
        if (at >= end)
            return jobs;
        LoadJob job;
        job.number = jobs.size();
        job.arrival = Milliseconds(static_cast<int64_t>(at));
        const auto n = static_cast<size_t>(
            logUniform(random, static_cast<double>(settings.tasks_min), static_cast<double>(settings.tasks_max) + 1));
        for (size_t i = 0; i < std::clamp<size_t>(n, 1, static_cast<size_t>(settings.tasks_max)); ++i) {
            auto task = generateTask(settings, random);
            if (!visits.empty()) {
                const auto& visit = visits[nextVisit++ % visits.size()];
                task.visit = visit.visit;
                task.isRepeatable = visit.isRepeatable;
                job.team = visit.team;
            }
            job.tasks.push_back(std::move(task));
        }
        if (!settings.teams.empty())
            job.team = settings.teams[random() % settings.teams.size()];
        if (job.team.empty())
            job.team = "default";
        job.isResubmitted = chance(random, settings.resubmitted_per_mille);
        job.isCancelled = chance(random, settings.cancelled_per_mille);
        jobs.push_back(std::move(job));
    }
}

void LoadTally::addNotRun(const std::string& jobKey)
{
    ++notRun;
    const std::lock_guard lock(mutex);
    notRunJobs.insert(jobKey);
}

void LoadTally::addReason(const std::string& reason)
{
    const std::lock_guard lock(mutex);
    ++reasons[reason];
}

LoadCaller::LoadCaller(const LoadSettings& settings, size_t number, LoadTally& tally)
    : m_settings(settings)
    , m_entry(number % settings.entries.size())
    , m_tally(tally)
{
    for (const auto& address : settings.entries) {
        auto client = std::make_unique<httplib::Client>("http://" + address);
        client->set_tcp_nodelay(true);
        client->set_keep_alive(true);
        client->set_connection_timeout(connectTimeout);
        client->set_write_timeout(connectTimeout);
        client->set_read_timeout(longPoll + Milliseconds(1000));
        m_clients.push_back(std::move(client));
    }
}

void LoadCaller::nextEntry() { m_entry = (m_entry + 1) % m_clients.size(); }

std::optional<std::string> LoadCaller::send(
    const std::string& method, const std::string& path, const std::string& body, int& status)
{
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    if (!body.empty())
        request.set_header("Content-Type", "application/json");
    const auto reply = m_clients[m_entry]->send(request);
    if (!reply) {
        if (reply.error() == httplib::Error::Read)
            ++m_tally.cutOff;
        nextEntry();
        return std::nullopt;
    }
    status = reply->status;
    m_lastReply = Clock::now();
    if (reply->get_header_value("Connection") == "close")
        m_mustChangeEntry = true;
    return reply->body;
}

bool LoadCaller::ensureSession()
{
    if (!m_session.empty() && !m_mustChangeEntry && isSessionOpen())
        return true;
    m_session.clear();
    if (std::exchange(m_mustChangeEntry, false))
        nextEntry();
    int status = 0;
    const auto reply = send("POST", "/v1/sessions", "", status);
    const auto json = reply ? Json::parse(*reply, nullptr, false) : Json();
    if (!json.is_object() || !json.contains("session")) {
        if (reply)
            nextEntry();
        return false;
    }
    m_session = json["session"].get<std::string>();
    m_sequence = 0;
    return true;
}

bool LoadCaller::isSessionOpen()
{
    if (Clock::now() - m_lastReply < sessionCheckInterval)
        return true;
    int status = 0;
    return send("GET", "/v1/sessions/" + m_session, "", status) && status == statusOk;
}

void LoadCaller::run(const LoadJob& job, TimePoint begin)
{
    const auto arrival = begin + job.arrival;
    std::this_thread::sleep_until(arrival);
    ++m_tally.submitted;
    const auto until = arrival + Milliseconds(m_settings.deadline_ms + m_settings.patience_ms);
    const auto body = jobBody(job, m_settings);
    Outcome outcome;
    std::string id;
    do {
        while (!ensureSession() && Clock::now() < until)
            std::this_thread::sleep_for(retryDelay);
        if (m_session.empty())
            break;
        id = fmt::format("{}~{}", m_session, ++m_sequence);
        outcome = submit(job, id, body, until);
        // An entry that is stopping and refuses a job has not run it, so it may be sent to another one under a new id.
        m_mustChangeEntry = m_mustChangeEntry || outcome.isRefused;
    } while (outcome.isRefused && Clock::now() < until);
    checkAnswer(job, id, outcome, arrival);
    if (job.isResubmitted && outcome.isAnswered)
        checkRepeatedAnswer(id, body, outcome);
    int status = 0;
    if (outcome.isAnswered)
        send("POST", "/v1/jobs/" + id + "/acknowledge", "{}", status);
    else
        m_session.clear();
}

LoadCaller::Outcome LoadCaller::submit(
    const LoadJob& job, const std::string& id, const std::string& body, TimePoint until)
{
    int status = 0;
    if (job.isResubmitted || job.isCancelled)
        send("PUT", fmt::format("/v1/jobs/{}?wait={}", id, shortWait.count()), body, status);
    if (job.isCancelled)
        send("DELETE", "/v1/jobs/" + id, "", status);
    if (job.isResubmitted)
        nextEntry();
    return pollUntilAnswered(id, body, until);
}

void LoadCaller::checkRepeatedAnswer(const std::string& id, const std::string& body, const Outcome& first)
{
    const auto second = pollUntilAnswered(id, body, Clock::now() + Milliseconds(m_settings.patience_ms));
    if (!second.isAnswered)
        return;
    const auto firstJson = Json::parse(first.body, nullptr, false);
    const auto secondJson = Json::parse(second.body, nullptr, false);
    // An entry that recovers an answer can't know why the owner failed the job, so that reasons may differ.
    if (firstJson.value("status", "") != secondJson.value("status", "")
        || firstJson.value("answers", Json()) != secondJson.value("answers", Json()))
        ++m_tally.changed;
}

LoadCaller::Outcome LoadCaller::pollUntilAnswered(const std::string& id, const std::string& body, TimePoint until)
{
    const auto path = fmt::format("/v1/jobs/{}?wait={}", id, longPoll.count());
    while (Clock::now() < until) {
        int status = 0;
        const auto reply = send("PUT", path, body, status);
        if (reply && status == statusOk)
            return { true, false, false, *reply };
        if (reply && status == statusUnavailable
            && Json::parse(*reply, nullptr, false)["error"].value("code", "") == "stopping")
            return { false, false, true, *reply };
        if (reply && (status == statusGone || status == statusNotFound))
            return { false, true, false, *reply };
        const bool isPending = reply && status == 202;
        if (isPending)
            continue;
        if (reply)
            nextEntry();
        std::this_thread::sleep_for(retryDelay);
    }
    return {};
}

void LoadCaller::checkAnswer(const LoadJob& job, const std::string& id, const Outcome& outcome, TimePoint arrival)
{
    if (!outcome.isAnswered) {
        ++(outcome.isUnknown ? m_tally.unknown : m_tally.unanswered);
        return;
    }
    const auto took = std::chrono::duration<double>(Clock::now() - arrival);
    const auto json = Json::parse(outcome.body, nullptr, false);
    if (!json.is_object() || json.value("job", "") != id) {
        ++m_tally.foreign;
        return;
    }
    if (json.value("status", "") != "complete") {
        ++m_tally.failed;
        m_tally.addReason(json.value("reason", "?"));
        if (json.value("notRun", false))
            m_tally.addNotRun(jobKeyOf(id));
        return;
    }
    ++m_tally.complete;
    const auto& answers = json["answers"];
    if (answers.size() != job.tasks.size())
        ++m_tally.partial;
    Milliseconds ideal { 1 };
    for (size_t i = 0; i < job.tasks.size(); ++i) {
        ideal = std::max(ideal, job.tasks[i].runTime);
        if (i < answers.size() && answers[i] != fmt::format("{}-{}-{}", m_settings.seed, job.number, i))
            ++m_tally.foreign;
    }
    m_tally.latencySeconds.add(took.count());
    m_tally.responseRatio.add(took.count() / std::chrono::duration<double>(ideal).count());
}

StartCounter::StartCounter(const std::vector<std::string>& backends)
{
    for (const auto& address : backends)
        m_sources.push_back({ address, "", 0 });
}

void StartCounter::collect()
{
    for (auto& source : m_sources) {
        auto client = makeHttpClient(source.address, connectTimeout);
        const auto reply = client.Get(fmt::format("/standin/starts?from={}", source.position));
        const auto json = reply ? Json::parse(reply->body, nullptr, false) : Json();
        if (!json.is_object())
            continue;
        const auto life = json.value("life", "");
        if (life != source.incarnation) {
            const bool isFirst = source.incarnation.empty();
            source.incarnation = life;
            source.position = 0;
            if (!isFirst)
                continue; // A new process at the address: the next call reads its starts from the first.
        }
        for (const auto& start : json["starts"]) {
            const auto task = start.get<std::string>();
            ++source.position;
            ++m_total;
            if (++m_starts[task] > 1)
                ++m_doubled;
            m_jobs.insert(task.substr(0, task.rfind('~')));
        }
    }
}

uint64_t StartCounter::startedAmong(const std::set<std::string>& jobKeys) const
{
    return static_cast<uint64_t>(
        std::count_if(jobKeys.begin(), jobKeys.end(), [&](const auto& key) { return m_jobs.contains(key); }));
}

MessageCounter::MessageCounter(std::vector<std::string> entries)
    : m_entries(std::move(entries))
{
}

double MessageCounter::sum(const std::string& metric) const
{
    double total = 0;
    for (const auto& address : m_entries) {
        auto client = makeHttpClient(address, connectTimeout);
        const auto reply = client.Get("/metrics");
        const auto at = reply ? reply->body.find("\n" + metric + " ") : std::string::npos;
        if (at != std::string::npos)
            total += std::strtod(reply->body.c_str() + at + metric.size() + 2, nullptr);
    }
    return total;
}

void MessageCounter::recordBaseline()
{
    for (const auto* metric : { "sequoia_messages_total", "sequoia_wasted_messages_total", "sequoia_task_starts_total",
             "sequoia_task_starts_refused_total" })
        m_baseline[metric] = sum(metric);
}

double MessageCounter::increase(const std::string& metric) const { return sum(metric) - m_baseline.at(metric); }

bool LoadReport::isClean() const
{
    return jobsUnanswered == 0 && doubledStarts == 0 && falseNotRun == 0 && partialAnswers == 0 && foreignAnswers == 0
        && changedAnswers == 0;
}

LoadReport makeReport(LoadTally& tally, const StartCounter& starts, const MessageCounter& messages)
{
    LoadReport report;
    report.jobsSubmitted = tally.submitted;
    report.jobsComplete = tally.complete;
    report.jobsFailed = tally.failed;
    report.jobsNotRun = tally.notRun;
    report.jobsUnanswered = tally.unanswered;
    report.jobsUnknown = tally.unknown;
    report.tasksStarted = starts.total();
    report.doubledStarts = starts.doubled();
    report.falseNotRun = starts.startedAmong(tally.notRunJobs);
    report.partialAnswers = tally.partial;
    report.foreignAnswers = tally.foreign;
    report.changedAnswers = tally.changed;
    report.cutOffRequests = tally.cutOff;
    report.responseRatioP50 = tally.responseRatio.quantile(0.5);
    report.responseRatioP99 = tally.responseRatio.quantile(0.99);
    report.responseRatioP999 = tally.responseRatio.quantile(0.999);
    report.latencyMsP50 = tally.latencySeconds.quantile(0.5) * msPerSecond;
    report.latencyMsP99 = tally.latencySeconds.quantile(0.99) * msPerSecond;
    const double tasks
        = messages.increase("sequoia_task_starts_total") - messages.increase("sequoia_task_starts_refused_total");
    report.messagesPerTask = tasks > 0 ? messages.increase("sequoia_messages_total") / tasks : 0;
    report.wastedMessages = static_cast<uint64_t>(std::max(messages.increase("sequoia_wasted_messages_total"), 0.0));
    report.failuresByReason = tally.reasons;
    return report;
}

std::string toJson(const LoadReport& report)
{
    const nlohmann::ordered_json json { { "jobsSubmitted", report.jobsSubmitted },
        { "jobsComplete", report.jobsComplete }, { "jobsFailed", report.jobsFailed },
        { "jobsNotRun", report.jobsNotRun }, { "jobsUnanswered", report.jobsUnanswered },
        { "jobsUnknown", report.jobsUnknown }, { "tasksStarted", report.tasksStarted },
        { "doubledStarts", report.doubledStarts }, { "falseNotRun", report.falseNotRun },
        { "partialAnswers", report.partialAnswers }, { "foreignAnswers", report.foreignAnswers },
        { "changedAnswers", report.changedAnswers }, { "cutOffRequests", report.cutOffRequests },
        { "responseRatioP50", report.responseRatioP50 }, { "responseRatioP99", report.responseRatioP99 },
        { "responseRatioP999", report.responseRatioP999 }, { "latencyMsP50", report.latencyMsP50 },
        { "latencyMsP99", report.latencyMsP99 }, { "messagesPerTask", report.messagesPerTask },
        { "wastedMessages", report.wastedMessages }, { "failuresByReason", report.failuresByReason } };
    return json.dump();
}

std::string toText(const LoadReport& report)
{
    const auto json = nlohmann::ordered_json::parse(toJson(report));
    std::string out;
    for (const auto& [key, value] : json.items())
        out += fmt::format("{:<20} {}\n", key, value.dump());
    return out;
}

} // namespace sequoia
