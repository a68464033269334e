/** @file JsonNesting.h Reads JSON texts of other writers, with a limit on their nesting. */
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace sequoia {

/**
 * Whether arrays and objects are nested deeper than in any message of ours. To be checked before such a text is parsed:
 * each level takes memory, and copying or writing a parsed value uses the stack for each level.
 */
bool isNestedTooDeeply(std::string_view json);
/** The value of such a text; a discarded value, which is of no type, if it is malformed or nested too deeply. */
nlohmann::json parseUntrusted(std::string_view text);

} // namespace sequoia
