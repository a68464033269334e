/** @file RoutesInForce.h The configuration that an entry follows: the newest one that it has seen from anywhere. */
#pragma once

#include <sequoia/Log.h>
#include <sequoia/RouteTable.h>

#include <functional>
#include <mutex>
#include <string>
#include <variant>

namespace sequoia {

/** What is wrong with a text that was read: the place in it and a message. */
struct FormatProblem {
    std::string place;
    std::string message;
};

/** Reads a configuration's text. */
using RouteTableReader = std::function<std::variant<RouteTable, FormatProblem>(const std::string& text)>;

/** Holds the configuration with the highest version; it never goes back. Thread-safe. */
class ActiveRoutes {
public:
    ActiveRoutes(RouteTableReader reader, Log& log);

    /** Takes a configuration if it is newer; `source` says where it came from, for the log. */
    void update(const std::string& text, std::string_view source);
    /** Null as long as there is none. */
    RouteTablePtr current() const;
    /** Text of the configuration in force, for other entries; empty if there is none. */
    std::string text() const;

private:
    RouteTableReader m_reader;
    Log& m_log;
    mutable std::mutex m_mutex;
    RouteTablePtr m_table;
    std::string m_text;
};

} // namespace sequoia
