/** @file LoadCaller.h The load tool's jobs, its simulated callers, their counters and the report. */
#pragma once

#include <sequoia/HttpService.h>
#include <sequoia/Metrics.h>
#include <sequoia/Settings.h>

#include <map>
#include <set>
#include <unordered_map>

namespace sequoia {

/** A visit of the sheet that tasks may refer to. */
struct LoadVisit {
    std::string visit;
    std::string team;
    bool isRepeatable = false;
};

/** A task of a generated job. */
struct LoadTask {
    Milliseconds runTime {}; ///< On a backend server of slowness 1.
    Milliseconds declaredRunTime {};
    std::string visit;
    bool isRepeatable = false;
};

/** A generated job. */
struct LoadJob {
    size_t number = 0;
    Milliseconds arrival {}; ///< Time from the start of the load.
    std::string team;
    std::vector<LoadTask> tasks;
    bool isResubmitted = false;
    bool isCancelled = false;
};

/** Generates all jobs of a scenario in order of arrival; the same seed gives the same jobs. */
std::vector<LoadJob> generateJobs(const LoadSettings& settings, const std::vector<LoadVisit>& visits);

/** Counts the results that callers got. Thread-safe. */
struct LoadTally {
    std::atomic<uint64_t> submitted { 0 };
    std::atomic<uint64_t> complete { 0 };
    std::atomic<uint64_t> failed { 0 };
    std::atomic<uint64_t> notRun { 0 };
    std::atomic<uint64_t> unanswered { 0 };
    std::atomic<uint64_t> unknown { 0 }; ///< Ended by status 404 or 410, so that the outcome is unknown.
    std::atomic<uint64_t> partial { 0 }; ///< Complete jobs with a wrong number of answers.
    std::atomic<uint64_t> foreign { 0 }; ///< Answers that belong to another job or task.
    std::atomic<uint64_t> changed { 0 }; ///< Jobs whose second answer differed from the first.
    std::atomic<uint64_t> cutOff { 0 }; ///< Requests whose connection closed without a reply.
    TimeHistogram responseRatio;
    TimeHistogram latencySeconds;
    std::mutex mutex;
    std::set<std::string> notRunJobs; ///< Keys of the jobs reported as not run.
    std::map<std::string, uint64_t> reasons; ///< Number of failed jobs by reason.

    void addNotRun(const std::string& jobKey);
    void addReason(const std::string& reason);
};

/** A caller with one session, a connection to each entry, and one job at a time. */
class LoadCaller {
public:
    LoadCaller(const LoadSettings& settings, size_t number, LoadTally& tally);

    /** Waits for the job's arrival, submits it, gets its answer and checks it. */
    void run(const LoadJob& job, TimePoint begin);

private:
    struct Outcome {
        bool isAnswered = false;
        bool isUnknown = false;
        bool isRefused = false; ///< The entry is stopping and has not run the job.
        std::string body;
    };

    bool ensureSession();
    bool isSessionOpen();
    Outcome submit(const LoadJob& job, const std::string& id, const std::string& body, TimePoint until);
    void checkRepeatedAnswer(const std::string& id, const std::string& body, const Outcome& first);
    Outcome pollUntilAnswered(const std::string& id, const std::string& body, TimePoint until);
    std::optional<std::string> send(
        const std::string& method, const std::string& path, const std::string& body, int& status);
    void checkAnswer(const LoadJob& job, const std::string& id, const Outcome& outcome, TimePoint arrival);
    void nextEntry();

    const LoadSettings& m_settings;
    size_t m_entry;
    LoadTally& m_tally;
    std::vector<std::unique_ptr<httplib::Client>> m_clients;
    std::string m_session;
    TimePoint m_lastReply {}; ///< Time of the last reply; the session is not checked soon after it.
    uint32_t m_sequence = 0;
    bool m_mustChangeEntry = false; ///< The entry is stopping; the next job needs a session at another one.
};

/** Collects the starts that the backend server stand-ins recorded, to find tasks that were started twice. */
class StartCounter {
public:
    explicit StartCounter(const std::vector<std::string>& backends);
    /** Fetches new starts; those of a stand-in that doesn't answer are fetched by a later call. */
    void collect();
    uint64_t total() const { return m_total; }
    uint64_t doubled() const { return m_doubled; }
    /** Number of jobs in a set that had a start. */
    uint64_t startedAmong(const std::set<std::string>& jobKeys) const;

private:
    struct Source {
        std::string address;
        std::string incarnation;
        size_t position = 0;
    };
    std::vector<Source> m_sources;
    std::unordered_map<std::string, unsigned> m_starts; ///< Number of starts by task key.
    std::set<std::string> m_jobs;
    uint64_t m_total = 0;
    uint64_t m_doubled = 0;
};

/** Counts messages between entries and agents, from the entries' metrics. */
class MessageCounter {
public:
    explicit MessageCounter(std::vector<std::string> entries);
    void recordBaseline();
    /** Increase of a metric, summed over all entries, since recordBaseline(). */
    double increase(const std::string& metric) const;

private:
    double sum(const std::string& metric) const;

    std::vector<std::string> m_entries;
    std::map<std::string, double> m_baseline;
};

/** Result of a load; printed as JSON with the field names as keys. */
struct LoadReport {
    uint64_t jobsSubmitted = 0;
    uint64_t jobsComplete = 0;
    uint64_t jobsFailed = 0;
    uint64_t jobsNotRun = 0;
    uint64_t jobsUnanswered = 0;
    uint64_t jobsUnknown = 0;
    uint64_t tasksStarted = 0;
    uint64_t doubledStarts = 0;
    uint64_t falseNotRun = 0;
    uint64_t partialAnswers = 0;
    uint64_t foreignAnswers = 0;
    uint64_t changedAnswers = 0;
    uint64_t cutOffRequests = 0;
    double responseRatioP50 = 0;
    double responseRatioP99 = 0;
    double responseRatioP999 = 0;
    double latencyMsP50 = 0;
    double latencyMsP99 = 0;
    double messagesPerTask = 0;
    uint64_t wastedMessages = 0;
    std::map<std::string, uint64_t> failuresByReason;

    bool isClean() const;
};

LoadReport makeReport(LoadTally& tally, const StartCounter& starts, const MessageCounter& messages);
std::string toJson(const LoadReport& report);
std::string toText(const LoadReport& report);

} // namespace sequoia
