/** @file Ids.h Strong identifiers of sessions, jobs, tasks, links and agents. */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace sequoia {

/** Random number drawn at each start of a process; it tells two lives of one address apart. */
enum class Incarnation : uint64_t {};

/** Number of a session at its home entry. */
enum class SessionNumber : uint64_t {};

/** Number of a job within its session, chosen by the caller. */
enum class JobSequence : uint32_t {};

/** Position of a task within its job. */
enum class TaskIndex : uint16_t {};

/** Which start of a task, counted from 1; a start is repeated only after the one before is proved not to have run. */
enum class Attempt : uint16_t {};

/** A connection between an entry and an agent, unique within one process. */
enum class LinkId : uint32_t {};

/** Revision of the configuration; it only grows. */
enum class Revision : uint64_t {};

/** A job as its caller names it, the same at every entry. */
enum class WorkId : uint64_t {};

/** Unwraps a strong identifier. */
template <typename Id> constexpr auto raw(Id id) { return static_cast<std::underlying_type_t<Id>>(id); }

/** A job as processes name it to each other. */
struct JobKey {
    Incarnation owner {}; ///< Incarnation of the entry that owns the job.
    SessionNumber session {}; ///< Session at that entry.
    JobSequence sequence {}; ///< Number within the session.
    auto operator<=>(const JobKey&) const = default;
};

/** A task as processes name it to each other. */
struct TaskKey {
    JobKey job; ///< The job that it belongs to.
    TaskIndex index {}; ///< Position in the job.
    auto operator<=>(const TaskKey&) const = default;
};

/** A session as callers name it: the address of its home leads to the process that owns it. */
struct SessionId {
    std::string address; ///< HTTP address of the home, `host:port`.
    Incarnation owner {}; ///< Incarnation of the home.
    SessionNumber number {}; ///< Number at the home.
    bool operator==(const SessionId&) const = default;
};

/** A job as callers name it. */
struct JobId {
    SessionId session; ///< The session that it was submitted in.
    JobSequence sequence {}; ///< Number chosen by the caller.
    JobKey key() const { return { session.owner, session.number, sequence }; }
    bool operator==(const JobId&) const = default;
};

/** Writes `host:port~incarnation~number`. */
std::string toString(const SessionId&);
/** Writes the session, `~` and the sequence number. */
std::string toString(const JobId&);
/** Writes the 16 hexadecimal digits that callers use. */
std::string toString(WorkId);
/** Writes a job key for logs. */
std::string toString(const JobKey&);
/** Writes a task key for logs and backend servers. */
std::string toString(const TaskKey&);
/** Reads what toString(SessionId) wrote; empty on any other text. */
std::optional<SessionId> parseSessionId(std::string_view text);
/** Reads what toString(JobId) wrote; empty on any other text. */
std::optional<JobId> parseJobId(std::string_view text);

/** Draws an incarnation from the operating system's random source. */
Incarnation drawIncarnation();

} // namespace sequoia

template <> struct std::hash<sequoia::JobKey> {
    size_t operator()(const sequoia::JobKey& key) const noexcept
    {
        constexpr uint64_t mix = 0x9E3779B97F4A7C15U;
        uint64_t n = sequoia::raw(key.owner);
        n = (n ^ sequoia::raw(key.session)) * mix;
        n = (n ^ (n >> 29U) ^ sequoia::raw(key.sequence)) * mix;
        return n ^ (n >> 32U);
    }
};

template <> struct std::hash<sequoia::TaskKey> {
    size_t operator()(const sequoia::TaskKey& key) const noexcept
    {
        constexpr uint64_t mix = 0xBF58476D1CE4E5B9U;
        const uint64_t n = (std::hash<sequoia::JobKey>()(key.job) + sequoia::raw(key.index)) * mix;
        return n ^ (n >> 31U);
    }
};
