/** @file Address.h Network addresses as text. */
#pragma once

#include <optional>
#include <string>
#include <utility>

namespace sequoia {

/** Splits `host:port`. The host is a name, an IPv4 address or an IPv6 address in brackets; the port is one from 0 to
 * 65535. Empty for any other text. */
std::optional<std::pair<std::string, int>> splitAddress(const std::string& address);

/** Whether a connection can be opened to an address: one that splits, with a port other than 0. */
bool isDialable(const std::string& address);

} // namespace sequoia
