/** @file Address.h Network addresses as text. */
#pragma once

#include <optional>
#include <string>
#include <utility>

namespace sequoia {

/** Splits `host:port`; empty if there is no port from 0 to 65535. */
std::optional<std::pair<std::string, int>> splitAddress(const std::string& address);

} // namespace sequoia
