/** @file PlatformStandins.h What the process tests of the platform's programs share. */
#pragma once

#include <sequoia/AsyncHttp.h>

#include <string>

namespace sequoia::testing {

/** A reserved port: it is bound, but not listening, so that no other process gets it before the one under test. */
class ReservedAddress {
public:
    ReservedAddress();
    ~ReservedAddress();
    ReservedAddress(const ReservedAddress&) = delete;
    ReservedAddress& operator=(const ReservedAddress&) = delete;

    uint16_t port = 0;
    std::string text;

private:
    int m_socket;
};

/** Status of a reply; 0 without one. */
int statusOf(const HttpResult& result);
/** Body of a reply; empty without one. */
std::string bodyOf(const HttpResult& result);

} // namespace sequoia::testing
