/** @file LinkEffects.cpp Effects on links and on the log. */
#include <sequoia/LinkEffectExecutor.h>

namespace sequoia {

void LinkEffectExecutor::apply(SendMessage& action)
{
    Frame frame;
    frame.body = std::move(action.body);
    m_links.send(action.link, std::move(frame));
}

void LinkEffectExecutor::apply(CloseLink& action)
{
    m_log.event(LogLevel::Info, "link-closing",
        { { "link", static_cast<int64_t>(raw(action.link)) }, { "reason", std::move(action.reason) } });
    m_links.close(action.link);
}

void LinkEffectExecutor::apply(RecordEvent& action)
{
    m_log.event(action.level, action.kind, std::move(action.fields));
}

} // namespace sequoia
