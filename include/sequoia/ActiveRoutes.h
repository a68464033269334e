/** @file ActiveRoutes.h The configuration that an entry uses: the newest version it has received from any source. */
#pragma once

#include <sequoia/Log.h>
#include <sequoia/RouteTable.h>

#include <functional>
#include <mutex>
#include <string>
#include <variant>

namespace sequoia {

/** Error of a parsed text: the place in it and a message. */
struct FormatProblem {
    std::string place;
    std::string message;
};

/** Parses the text of a configuration. */
using RouteTableReader = std::function<std::variant<RouteTable, FormatProblem>(const std::string& text)>;

/** Holds the configuration with the highest version seen; an older one never replaces it. Thread-safe. */
class ActiveRoutes {
public:
    ActiveRoutes(RouteTableReader reader, Log& log);

    /** Replaces the configuration if `text` holds a newer one; `source` names its origin in the log. */
    void update(const std::string& text, std::string_view source);
    /** The active configuration; null as long as there is none. */
    RouteTablePtr current() const;
    /** Text of the active configuration, for other entries; empty if there is none. */
    std::string text() const;

private:
    RouteTableReader m_reader;
    Log& m_log;
    mutable std::mutex m_mutex;
    RouteTablePtr m_table;
    std::string m_text; ///< The text that `m_table` was parsed from.
};

} // namespace sequoia
