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

// Creates a non-blocking TCP listener on `where` (port 0: any free port). Throws std::system_error with
// `purpose` and the failed system call.
BoundSocket BindTcpListener(const Endpoint& where, int backlog, const char* purpose);
// Creates a non-blocking UDP socket on `where`, likewise.
BoundSocket BindUdpSocket(const Endpoint& where, const char* purpose);

sockaddr_in ToSocketAddress(const Endpoint& endpoint);

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_BOUND_SOCKET_HPP_
