/** @file JsonNesting.cpp Finds the depth of a JSON text without parsing it; parses texts that aren't too deep. */
#include <sequoia/JsonNesting.h>

#include <cstddef>
#include <nlohmann/json.hpp>

namespace sequoia {

bool isNestedTooDeeply(std::string_view json)
{
    constexpr size_t maxDepth = 64;
    size_t depth = 0;
    bool isInString = false;
    for (size_t i = 0; i < json.size(); ++i) {
        const char c = json[i];
        if (isInString && c == '\\')
            ++i; // The character after it is part of the string.
        else if (c == '"')
            isInString = !isInString;
        else if (!isInString && (c == '[' || c == '{'))
            ++depth;
        else if (!isInString && (c == ']' || c == '}') && depth > 0)
            --depth;
        if (depth > maxDepth)
            return true;
    }
    return false;
}

nlohmann::json parseUntrusted(std::string_view text)
{
    if (isNestedTooDeeply(text))
        return nlohmann::json::value_t::discarded;
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace sequoia
