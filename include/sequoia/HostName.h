/** @file HostName.h Host that a request is sent to. */
#pragma once

#include <string>
#include <string_view>

namespace sequoia {

/** A host without its port. Hosts that differ only in the case of letters are equal (RFC 9110, section 4.2.3). */
class HostName {
public:
    /** Reads `host` or `host:port`; an IPv6 address is in brackets. */
    explicit HostName(std::string_view text);
    bool operator==(const HostName&) const = default;

private:
    std::string m_text; ///< Lower case.
};

} // namespace sequoia
