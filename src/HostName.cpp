/** @file HostName.cpp Normal form of host names. */
#include <sequoia/HostName.h>

#include <boost/algorithm/string/case_conv.hpp>
#include <locale>

namespace sequoia {

namespace {

    std::string withoutPort(std::string_view text)
    {
        const bool isBracketed = text.starts_with('[') && text.find(']') != std::string_view::npos;
        const auto hostEnd = isBracketed ? text.find(']') + 1 : text.find(':');
        return std::string(text.substr(0, hostEnd));
    }

} // namespace

HostName::HostName(std::string_view text)
    : m_text(boost::algorithm::to_lower_copy(withoutPort(text), std::locale::classic()))
{
}

} // namespace sequoia
