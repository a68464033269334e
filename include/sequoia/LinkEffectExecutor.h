/** @file LinkEffects.h Carries out the effects that all cores have in common. */
#pragma once

#include <sequoia/Effects.h>
#include <sequoia/Link.h>

namespace sequoia {

/** Sends, closes and logs for a core. */
class LinkEffectExecutor {
public:
    LinkEffectExecutor(LinkHub& links, Log& log)
        : m_links(links)
        , m_log(log)
    {
    }

    void apply(SendMessage& action);
    void apply(CloseLink& action);
    void apply(RecordEvent& action);

private:
    LinkHub& m_links;
    Log& m_log;
};

} // namespace sequoia
