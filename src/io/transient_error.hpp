// Which errors of system calls pass by themselves.
#ifndef DAPPLETILLER_IO_TRANSIENT_ERROR_HPP_
#define DAPPLETILLER_IO_TRANSIENT_ERROR_HPP_

namespace dappletiller {

// The machine lacks descriptors, memory, ports or a route for now (see the ERRORS of socket(2), accept(2),
// connect(2), epoll_ctl(2), read(2)): nothing is wrong with the request or with the peer.
bool IsShortage(int error);

// accept(2): the error belongs to the connection that was taken, which is gone; the next one can be accepted.
bool ConcernsOneConnection(int error);

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_TRANSIENT_ERROR_HPP_
