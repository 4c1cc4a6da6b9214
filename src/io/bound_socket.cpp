#include "io/bound_socket.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <string>
#include <system_error>

namespace dappletiller {
namespace {

void ThrowUnless(bool succeeded, const char* purpose, const char* call) {
  if (!succeeded) {
    throw std::system_error(errno, std::generic_category(), std::string(purpose) + ": " + call);
  }
}

BoundSocket Bind(const Endpoint& where, int type, const char* purpose) {
  BoundSocket bound;
  bound.fd = FileDescriptor(::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  ThrowUnless(static_cast<bool>(bound.fd), purpose, "socket");
  const int on = 1;
  if (type == SOCK_STREAM) ::setsockopt(bound.fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = ToSocketAddress(where);
  socklen_t size = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);  // NOLINT(*-reinterpret-cast): the sockets API
  ThrowUnless(::bind(bound.fd.get(), generic, size) == 0, purpose, "bind");
  ThrowUnless(::getsockname(bound.fd.get(), generic, &size) == 0, purpose, "getsockname");
  bound.port = ntohs(address.sin_port);
  return bound;
}

}  // namespace

sockaddr_in ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.address);
  address.sin_port = htons(endpoint.port);
  return address;
}

BoundSocket BindTcpListener(const Endpoint& where, int backlog, const char* purpose) {
  BoundSocket bound = Bind(where, SOCK_STREAM, purpose);
  ThrowUnless(::listen(bound.fd.get(), backlog) == 0, purpose, "listen");
  return bound;
}

BoundSocket BindUdpSocket(const Endpoint& where, const char* purpose) {
  return Bind(where, SOCK_DGRAM, purpose);
}

}  // namespace dappletiller
