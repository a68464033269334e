/** @file LinkEffectExecutor.cpp Carries out effects on links and on the log. */
#include <sequoia/LinkEffects.h>

namespace sequoia {

void LinkEffects::apply(SendMessage& effect)
{
    Frame frame;
    frame.body = std::move(effect.body);
    m_links.send(effect.link, std::move(frame));
}

void LinkEffects::apply(CloseLink& effect)
{
    m_log.event(LogLevel::Info, "link-closing",
        { { "link", static_cast<int64_t>(raw(effect.link)) }, { "reason", std::move(effect.reason) } });
    m_links.close(effect.link);
}

void LinkEffects::apply(RecordEvent& effect) { m_log.event(effect.level, effect.kind, std::move(effect.fields)); }

} // namespace sequoia
