/** @file PlatformStandins.cpp Ports and replies in the process tests of the platform's programs. */
#include "PlatformStandins.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoia::testing {

ReservedAddress::ReservedAddress()
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int yes = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in at {};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert_eq(bind(m_socket, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
    socklen_t size = sizeof(at);
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    text = fmt::format("127.0.0.1:{}", port);
}

ReservedAddress::~ReservedAddress() { close(m_socket); }

int statusOf(const HttpResult& result)
{
    const auto* reply = std::get_if<HttpReply>(&result);
    return reply == nullptr ? 0 : reply->status;
}

std::string bodyOf(const HttpResult& result)
{
    const auto* reply = std::get_if<HttpReply>(&result);
    return reply == nullptr ? "" : reply->body;
}

} // namespace sequoia::testing
