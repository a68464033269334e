/** @file LoadCaller.h Callers of the load tool, their tally and the report. */
#pragma once

#include <sequoia/HttpService.h>
#include <sequoia/Metrics.h>
#include <sequoia/Settings.h>

#include <map>
#include <set>
#include <unordered_map>

namespace sequoia {

/** A visit that tasks may name. */
struct LoadVisit {
    std::string visit;
    std::string team;
    bool isRepeatable = false;
};

/** One task to be sent. */
struct LoadTask {
    Milliseconds runTime {}; ///< On the fastest backend server.
    Milliseconds declaredRunTime {};
    std::string visit;
    bool isRepeatable = false;
};

/** One job to be sent. */
struct LoadJob {
    size_t number = 0;
    Milliseconds arrival {}; ///< After the start of the load.
    std::string team;
    std::vector<LoadTask> tasks;
    bool isResubmitted = false;
    bool isCancelled = false;
};

/** All jobs of a scenario, in order of arrival; the same seed gives the same jobs. */
std::vector<LoadJob> generateJobs(const LoadSettings& settings, const std::vector<LoadVisit>& visits);

/** What the callers saw. Thread-safe. */
struct LoadTally {
    std::atomic<uint64_t> submitted { 0 };
    std::atomic<uint64_t> complete { 0 };
    std::atomic<uint64_t> failed { 0 };
    std::atomic<uint64_t> notRun { 0 };
    std::atomic<uint64_t> unanswered { 0 };
    std::atomic<uint64_t> unknown { 0 }; ///< Ended by "expired, outcome unknown".
    std::atomic<uint64_t> partial { 0 };
    std::atomic<uint64_t> foreign { 0 };
    std::atomic<uint64_t> changed { 0 }; ///< A second answer differed from the first.
    std::atomic<uint64_t> cutOff { 0 }; ///< Requests whose connection ended without a reply.
    TimeHistogram responseRatio;
    TimeHistogram latencySeconds;
    std::mutex mutex;
    std::set<std::string> notRunJobs; ///< Job keys.
    std::map<std::string, uint64_t> reasons; ///< Failed jobs by reason.

    void addNotRun(const std::string& jobKey);
    void addReason(const std::string& reason);
};

/** One caller: a session, a connection to each entry, one job at a time. */
class LoadCaller {
public:
    LoadCaller(const LoadSettings& settings, size_t number, LoadTally& tally);

    /** Waits for the job's arrival, submits it and sees it through to its end. */
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
    TimePoint m_lastReply {}; ///< Last reply of the session's home.
    uint32_t m_sequence = 0;
    bool m_mustChangeEntry = false; ///< The entry asked to move elsewhere.
};

/** Starts as the backend server stand-ins counted them. */
class StartCounter {
public:
    explicit StartCounter(const std::vector<std::string>& backends);
    /** Fetches what is new; a stand-in that does not answer is asked again the next time. */
    void collect();
    uint64_t total() const { return m_total; }
    uint64_t doubled() const { return m_doubled; }
    /** Jobs of the set that had a start. */
    uint64_t startedAmong(const std::set<std::string>& jobKeys) const;

private:
    struct Source {
        std::string address;
        std::string incarnation;
        size_t position = 0;
    };
    std::vector<Source> m_sources;
    std::unordered_map<std::string, unsigned> m_starts; ///< By task key.
    std::set<std::string> m_jobs;
    uint64_t m_total = 0;
    uint64_t m_doubled = 0;
};

/** Messages between the system's own processes, from the entries' metrics. */
class MessageCounter {
public:
    explicit MessageCounter(std::vector<std::string> entries);
    void recordBaseline();
    /** Increase of a metric over all entries since `begin`. */
    double increase(const std::string& metric) const;

private:
    double sum(const std::string& metric) const;

    std::vector<std::string> m_entries;
    std::map<std::string, double> m_baseline;
};

/** Result of a load. */
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
