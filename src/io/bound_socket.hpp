// Sockets that are bound to an address: listeners and datagram sockets, and conversions to the kernel's
// addresses.
#ifndef DAPPLETILLER_IO_BOUND_SOCKET_HPP_
#define DAPPLETILLER_IO_BOUND_SOCKET_HPP_

#include <netinet/in.h>

#include <cstdint>

#include "base/endpoint.hpp"
#include "io/file_descriptor.hpp"

namespace dappletiller {

struct BoundSocket {
  FileDescriptor fd;
  std::uint16_t port = 0;  // as bound
};

// A non-blocking TCP listener on `where` (port 0: the kernel's choice). Throws std::system_error that names
// `purpose` and the system call that failed.
BoundSocket BindTcpListener(const Endpoint& where, int backlog, const char* purpose);
// A non-blocking UDP socket on `where`, likewise.
BoundSocket BindUdpSocket(const Endpoint& where, const char* purpose);

sockaddr_in ToSocketAddress(const Endpoint& endpoint);

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_BOUND_SOCKET_HPP_
