/** @file Ids.h Strongly typed identifiers of processes, sessions, jobs, tasks and links. */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace sequoia {

/** Random number drawn at each start of a process; distinguishes restarts at the same address. */
enum class Incarnation : uint64_t {};

/** Number of a session, unique at the entry that owns it. */
enum class SessionNumber : uint64_t {};

/** Number of a job within its session, chosen by the caller. */
enum class JobSequence : uint32_t {};

/** Position of a task within its job. */
enum class TaskIndex : uint16_t {};

/** Number of a start of a task, from 1; the next start follows only if this one is known not to have run. */
enum class Attempt : uint16_t {};

/** A connection between an entry and an agent, unique within one process. */
enum class LinkId : uint32_t {};

/** Revision of the configuration; only increases. */
enum class Revision : uint64_t {};

/** Underlying value of an identifier. */
template <typename Id> constexpr auto raw(Id id) { return static_cast<std::underlying_type_t<Id>>(id); }

/** Job id chosen by the caller, valid at every entry: 16 hexadecimal digits. Ids whose digits differ in case differ. */
struct WorkId {
    constexpr WorkId() = default;
    constexpr explicit WorkId(uint64_t digits, uint16_t capitals = 0)
        : number(digits)
        , upperCase(capitals)
    {
    }
    auto operator<=>(const WorkId&) const = default;

    uint64_t number = 0; ///< Value of the digits.
    uint16_t upperCase = 0; ///< Which digits are letters in upper case; the lowest bit is that of the last digit.
};

/** Identifies a job between processes. */
struct JobKey {
    Incarnation owner {}; ///< Incarnation of the entry that owns the job.
    SessionNumber session {}; ///< Session at the owner.
    JobSequence sequence {}; ///< Number within the session.
    auto operator<=>(const JobKey&) const = default;
};

/** Identifies a task between processes. */
struct TaskKey {
    JobKey job; ///< The job of the task.
    TaskIndex index {}; ///< Position in the job.
    auto operator<=>(const TaskKey&) const = default;
};

/** Identifies a session for callers; contains the address of the entry that owns it. */
struct SessionId {
    std::string address; ///< HTTP address of the owner, `host:port`.
    Incarnation owner {}; ///< Incarnation of the owner.
    SessionNumber number {}; ///< Number of the session at the owner.
    bool operator==(const SessionId&) const = default;
};

/** Identifies a job for callers. */
struct JobId {
    SessionId session; ///< Session in which it was submitted.
    JobSequence sequence {}; ///< Number chosen by the caller.
    JobKey key() const { return { session.owner, session.number, sequence }; }
    bool operator==(const JobId&) const = default;
};

/** Formats as `host:port~incarnation~number`. */
std::string toString(const SessionId&);
/** Formats as the session, `~` and the sequence number. */
std::string toString(const JobId&);
/** Formats as the 16 hexadecimal digits that callers use. */
std::string toString(WorkId);
/** Formats a job key for logs. */
std::string toString(const JobKey&);
/** Formats a task key for logs and backend servers. */
std::string toString(const TaskKey&);
/** Parses 16 hexadecimal digits; empty for any other text. */
std::optional<WorkId> parseWorkId(std::string_view text);
/** Parses the text form of a SessionId; empty if the text is malformed. */
std::optional<SessionId> parseSessionId(std::string_view text);
/** Parses the text form of a JobId; empty if the text is malformed. */
std::optional<JobId> parseJobId(std::string_view text);

/** Generates an incarnation from the random source of the operating system. */
Incarnation drawIncarnation();

} // namespace sequoia

template <> struct std::hash<sequoia::WorkId> {
    size_t operator()(const sequoia::WorkId& id) const noexcept
    {
        constexpr unsigned shift = 48;
        return id.number ^ (uint64_t(id.upperCase) << shift);
    }
};

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
