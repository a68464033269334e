/** @file ActiveRoutes.cpp Replacement of the configuration by newer versions. */
#include <sequoia/ActiveRoutes.h>

namespace sequoia {

ActiveRoutes::ActiveRoutes(RouteTableReader reader, Log& log)
    : m_reader(std::move(reader))
    , m_log(log)
{
}

void ActiveRoutes::update(const std::string& text, std::string_view source)
{
    auto parsed = m_reader(text);
    if (const auto* problem = std::get_if<FormatProblem>(&parsed)) {
        m_log.event(LogLevel::Error, "configuration-malformed",
            { { "source", std::string(source) }, { "place", problem->place }, { "error", problem->message } });
        return;
    }
    auto table = std::make_shared<const RouteTable>(std::move(std::get<RouteTable>(parsed)));
    uint64_t before = 0;
    {
        const std::lock_guard lock(m_mutex);
        before = m_table ? m_table->version : 0;
        if (m_table && table->version <= before)
            return;
        m_table = table;
        m_text = text;
    }
    m_log.event(LogLevel::Info, "configuration",
        { { "version", static_cast<int64_t>(table->version) }, { "source", std::string(source) },
            { "routes", static_cast<int64_t>(table->routes.size()) }, { "before", static_cast<int64_t>(before) } });
}

RouteTablePtr ActiveRoutes::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_table;
}

std::string ActiveRoutes::text() const
{
    const std::lock_guard lock(m_mutex);
    return m_text;
}

} // namespace sequoia
