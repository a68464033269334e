/** @file LinkEffectExecutor.h Carries out the effects that all cores share. */
#pragma once

#include <sequoia/Effects.h>
#include <sequoia/Link.h>

namespace sequoia {

/** Sends messages, closes links and logs events for a core. */
class LinkEffectExecutor {
public:
    LinkEffectExecutor(LinkHub& links, Log& log)
        : m_links(links)
        , m_log(log)
    {
    }

    void apply(SendMessage& effect);
    void apply(CloseLink& effect);
    void apply(RecordEvent& effect);

private:
    LinkHub& m_links;
    Log& m_log;
};

} // namespace sequoia
