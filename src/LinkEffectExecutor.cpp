/** @file LinkEffectExecutor.cpp Carries out effects on links and on the log. */
#include <sequoia/LinkEffectExecutor.h>

namespace sequoia {

void LinkEffectExecutor::apply(SendMessage& effect)
{
    Frame frame;
    frame.body = std::move(effect.body);
    setAgentTime(frame, effect.agentTime);
    m_links.send(effect.link, std::move(frame));
}

void LinkEffectExecutor::apply(CloseLink& effect)
{
    m_log.event(LogLevel::Info, "link-closing",
        { { "link", static_cast<int64_t>(raw(effect.link)) }, { "reason", std::move(effect.reason) } });
    m_links.close(effect.link);
}

void LinkEffectExecutor::apply(RecordEvent& effect)
{
    m_log.event(effect.level, effect.kind, std::move(effect.fields));
}

} // namespace sequoia
