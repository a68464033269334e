/** @file Effects.h Effects that the deterministic cores return for their process to carry out. */
#pragma once

#include <sequoia/Job.h>
#include <sequoia/Log.h>
#include <sequoia/generated/Messages_generated.h>

#include <variant>
#include <vector>

namespace sequoia {

/** Id of a caller's request that waits for an answer. */
enum class WaiterId : uint64_t {};

/** Effect: send a message. */
struct SendMessage {
    LinkId link {};
    wire::BodyUnion body;
    TimePoint agentTime {}; ///< By the agent's clock; see wire::Frame. Zero if the link carries none.
};

/** Effect: close a connection; the peer connects again. */
struct CloseLink {
    LinkId link {};
    std::string reason;
};

/** Effect: deliver a job's answer to the requests that wait for it. */
struct DeliverAnswer {
    JobKey job;
    JobAnswerPtr answer;
    std::vector<WaiterId> waiters;
};

/** Effect: call the backend server with a task. */
struct CallBackend {
    TaskKey task;
    std::string payload;
    Milliseconds deadline {};
};

/** Effect: ask an agent, over a new connection, to replace its link to this entry. */
struct AskForRelink {
    std::string agentAddress; ///< HTTP address of the agent.
};

/** Effect: log an event. */
struct RecordEvent {
    LogLevel level {};
    std::string_view kind;
    std::vector<LogField> fields;
};

using Effect = std::variant<SendMessage, CloseLink, DeliverAnswer, CallBackend, AskForRelink, RecordEvent>;

/** Effects of one command, in order. `E` is a variant that holds at least SendMessage and RecordEvent. */
template <typename E> class EffectListOf {
public:
    template <typename Message> void send(LinkId link, Message message, TimePoint agentTime = {})
    {
        SendMessage effect { link, {}, agentTime };
        effect.body.Set(std::move(message));
        m_effects.emplace_back(std::move(effect));
    }
    void add(E effect) { m_effects.push_back(std::move(effect)); }
    void record(LogLevel level, std::string_view kind, std::vector<LogField> fields)
    {
        m_effects.emplace_back(RecordEvent { level, kind, std::move(fields) });
    }
    std::vector<E> take() { return std::exchange(m_effects, {}); }

private:
    std::vector<E> m_effects;
};

using EffectList = EffectListOf<Effect>;

/** Time by the agent's clock in a frame; zero if it has none. */
TimePoint agentTimeOf(const wire::FrameT& frame);
void setAgentTime(wire::FrameT& frame, TimePoint time);

/** Key in a message; empty if the message has none. */
std::optional<TaskKey> fromWire(const std::unique_ptr<wire::TaskKey>& key);
std::optional<JobKey> fromWire(const std::unique_ptr<wire::JobKey>& key);
wire::TaskKey toWire(const TaskKey& key, Attempt attempt);
wire::JobKey toWire(const JobKey& key);

} // namespace sequoia
