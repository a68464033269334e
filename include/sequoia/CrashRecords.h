/** @file CrashRecords.h Crashes of backend servers, and the tasks and routes that are suspected to cause them. */
#pragma once

#include <sequoia/Work.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace sequoia {

/** Periods and limits of the records of crashes. */
struct CrashLimits {
    Milliseconds retention { 60000 }; ///< Crashes and the tasks involved in them are remembered for this time.
    /** Specified by the users: a task under which this many servers have crashed may be given up. */
    uint32_t crashesToGiveUp = 2;
    /** A task under which this many servers have crashed, each at about the same point of its run, is not started
     * again. */
    uint32_t maxCrashes = 3;
    uint32_t maxCrashesAtAnyAge = 5; ///< The same, whenever they have crashed.
    /** A task crashes servers at about the same point of its run: at most this many times later or earlier, and
     * `ageMargin`. A suspect that has run for longer is no suspect any more. */
    int64_t ageFactor = 2;
    Milliseconds ageMargin { 50 };
    /** Two crashes prove the guilt of a suspect only if they follow this soon on its starts: the longer it has run, the
     * likelier it is that something else has crashed the server. */
    Milliseconds maxProvenAge { 200 };
    /** An isolation ends this long after the last crash that is blamed on the route. */
    Milliseconds maxIsolation { 12000 };
    /** It ends earlier once this many jobs of the route have succeeded since that crash; twice as many if the route is
     * isolated again within `probation` of the release. */
    uint32_t successesToRelease = 20;
    uint32_t maxSuccessesToRelease = 160;
    Milliseconds probation { 20000 };
};

/** A run that had been ordered before the server crashed. */
struct CrashedRun {
    TaskId task;
    std::string route;
    Milliseconds age { 0 }; ///< Time from its last start call to the crash.
    bool isLatest = false; ///< It belongs to one of the jobs whose runs were started last on that server.
    bool isSuspect = false; ///< It was still suspected: all suspects on a server belong to one job.
};

/** One crash of a backend server. */
struct ServerCrash {
    Incarnation agent {};
    uint32_t number = 0; ///< Counts the crashes that this agent process has seen.
    Milliseconds age { 0 }; ///< Time since the crash.
    std::vector<CrashedRun> runs;
};

/** What is known of a task that was running on servers when they crashed. */
struct CrashSuspicion {
    uint32_t total = 0; ///< Servers that crashed under it.
    uint32_t crashes = 0; ///< The last of these, as far as they crashed at about the same point of its run.
    uint32_t blamed = 0; ///< Crashes that are blamed on its job.
    bool hasCrashedAsSuspect = false; ///< A crash was blamed on its job alone, at about the same age as the one before.
    Milliseconds age { 0 }; ///< Of its run at the last crash.
};

/**
 * Decides from crashes of servers which tasks are suspects, which tasks are given up, and which routes are isolated.
 * Without suspects on the server, a crash is blamed on the jobs that were started last there. With suspects, who are of
 * one job, it is blamed on them, unless there is another run that has seen a crash before: then it is not decided who
 * did it, and all of these are suspects from then on. A task is given up if a crash that isn't its first is blamed on
 * it alone, as a suspect; its route is isolated then. Agents tell the same crashes to all entries. Not thread-safe.
 */
class CrashRecords {
public:
    explicit CrashRecords(const CrashLimits& limits);

    /** Adds a crash; returns false if it is known or too old. */
    bool add(const ServerCrash& crash, TimePoint now);
    /** Takes over what was known of a task before this process started. */
    void restore(const TaskId& task, const CrashSuspicion& suspicion, TimePoint now);
    /** A job of a route has succeeded, whose first run was ordered at a given time. */
    void recordSuccess(const std::string& route, TimePoint firstOrder, TimePoint now);
    /** Removes what is older than the retention. */
    void tick(TimePoint now);

    /** How long after its start a task is suspected to crash its server, which starts no run of another job meanwhile;
     * zero for a task that is no suspect. */
    Milliseconds suspicionTime(const TaskId& task) const;
    /** Whether a task is not started again. */
    bool isGivenUp(const TaskId& task) const;
    /** Whether a task of a job is not started again. */
    bool hasTaskGivenUp(WorkId job) const;
    uint32_t crashesUnder(const TaskId& task) const;
    /** Whether the tasks of a route run on the servers for isolated routes only. */
    bool isIsolated(const std::string& route, TimePoint now) const;
    bool hasIsolatedRoutes(TimePoint now) const;
    /** Time until an isolation ends unless more servers crash; zero if the route isn't isolated. */
    Milliseconds isolationLeft(const std::string& route, TimePoint now) const;
    /** What is known of suspects. */
    std::map<TaskId, CrashSuspicion> suspicions() const;

private:
    struct TaskRecord {
        CrashSuspicion seen; ///< By the crashes that this process was told of.
        CrashSuspicion restored; ///< The same crashes may be told again, so that the greater counts.
        TimePoint expires {};

        uint32_t total() const { return std::max(seen.total, restored.total); }
        uint32_t crashes() const { return std::max(seen.crashes, restored.crashes); }
        uint32_t blamed() const { return std::max(seen.blamed, restored.blamed); }
        Milliseconds age() const { return seen.crashes > 0 ? seen.age : restored.age; }
        bool hasCrashedAsSuspect() const { return seen.hasCrashedAsSuspect || restored.hasCrashedAsSuspect; }
    };
    struct RouteRecord {
        TimePoint lastCrash {}; ///< The last one that was blamed on the route.
        uint32_t successes = 0; ///< Jobs that were started after it and have succeeded.
        uint32_t successesToRelease = 0;
        TimePoint releasedAt {}; ///< Zero while it is isolated.
    };

    void apply(const std::vector<CrashedRun>& runs, TimePoint when);
    bool isSuspect(const TaskRecord& record) const;
    void isolate(const std::string& route, TimePoint when);
    /** The latest age at which a task may crash its next server that was as old as `age` at the last crash. */
    Milliseconds maxAge(Milliseconds age) const { return age * m_limits.ageFactor + m_limits.ageMargin; }

    CrashLimits m_limits;
    std::map<TaskId, TaskRecord> m_tasks;
    std::map<std::string, RouteRecord> m_routes;
    std::multimap<TimePoint, std::vector<CrashedRun>> m_history; ///< By the time of the crash.
    std::map<std::pair<Incarnation, uint32_t>, TimePoint> m_known; ///< When each known crash is forgotten.
};

} // namespace sequoia
