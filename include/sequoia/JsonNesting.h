/** @file JsonNesting.h Limit on the nesting of JSON texts of other writers. */
#pragma once

#include <string_view>

namespace sequoia {

/**
 * Whether arrays and objects are nested deeper than in any message of ours. To be checked before such a text is parsed:
 * each level takes memory, and copying or writing a parsed value uses the stack for each level.
 */
bool isNestedTooDeeply(std::string_view json);

} // namespace sequoia
