/** @file Address.h Network addresses as text. */
#pragma once

#include <optional>
#include <string>
#include <utility>

namespace sequoia {

/** Splits `host:port`; empty if the port is not a number. */
std::optional<std::pair<std::string, int>> splitAddress(const std::string& address);

} // namespace sequoia
