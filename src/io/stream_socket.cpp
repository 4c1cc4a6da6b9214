#include "io/stream_socket.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <array>
#include <cerrno>

namespace dappletiller {
namespace {

constexpr int kReadsAtOnce = 8;  // then the others have their turn
constexpr int kPieces = 64;

void SetNoDelay(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

bool Channel::Register() {
  SetNoDelay(fd_.get());
  broken_ = false;
  token_ = loop_.Watch(fd_.get(), this);
  if (token_ == 0) fd_.Reset();
  return token_ != 0;
}

bool Channel::Adopt(Fd fd) {
  fd_ = std::move(fd);
  return Register();
}

bool Channel::Connect(const Endpoint& where) {
  fd_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd_) return false;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(where.address);
  address.sin_port = htons(where.port);
  if (::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
      errno != EINPROGRESS) {
    fd_.Reset();
    return false;
  }
  connecting_ = true;
  return Register();
}

void Channel::OnReady(std::uint32_t events) {
  if (connecting_) {
    if (TakeError() != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0) return Gone(StreamEnd::kBroken);
    if ((events & EPOLLOUT) == 0) return;
    connecting_ = false;
    owner_.OnConnected();
  }
  if ((events & EPOLLERR) != 0) broken_ = true;
  // Reading comes first: an answer that came before the connection broke is still an answer.
  if (open() && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    readable_ = true;
    Read();
  }
  if (open() && (events & EPOLLOUT) != 0) Flush();
}

void Channel::Read() {
  if (reading_) return;
  reading_ = true;
  for (int i = 0; open() && readable_; ++i) {
    if (i == kReadsAtOnce) {
      loop_.Again(token_, EPOLLIN);
      break;
    }
    std::span<char> room = owner_.Room();
    if (room.empty()) break;  // Resume goes on from here
    ssize_t n = ::recv(fd_.get(), room.data(), room.size(), 0);
    if (n > 0) {
      owner_.OnBytes(static_cast<std::size_t>(n));
    } else if (n == 0) {
      // An end that an error has overtaken, or whose error somebody else was told of, ends here too.
      readable_ = false;
      Gone(broken_ || TakeError() != 0 ? StreamEnd::kBroken : StreamEnd::kOrderly);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      readable_ = false;
    } else if (errno != EINTR) {
      readable_ = false;
      Gone(StreamEnd::kBroken);
    }
  }
  reading_ = false;
}

void Channel::Resume() {
  if (open() && readable_) Read();
}

void Channel::Flush() {
  if (!open() || connecting_) return;
  bool had = !out_.empty();
  while (!out_.empty()) {
    if (!owner_.MayWrite() || !open()) return;
    std::array<iovec, kPieces> pieces;
    msghdr message{};
    message.msg_iov = pieces.data();
    message.msg_iovlen = static_cast<std::size_t>(out_.Gather(pieces.data(), kPieces));
    ssize_t n = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
    if (n >= 0) {
      out_.Consume(static_cast<std::size_t>(n));
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return;  // EPOLLOUT comes when there is room
    } else if (errno != EINTR) {
      // The other side may have answered before it broke off: what it said counts first. Within a read it
      // is still being heard out: the next round comes here again.
      broken_ = true;
      if (reading_) return loop_.Again(token_, EPOLLOUT);
      readable_ = true;
      Read();
      if (open()) Gone(StreamEnd::kBroken);
      return;
    }
  }
  if (had) owner_.OnWritten();
}

bool Channel::Stale() {
  char byte;
  ssize_t n = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n >= 0) return true;
  if (errno == EAGAIN || errno == EWOULDBLOCK) return false;
  broken_ = true;  // this look was the one that was told
  return true;
}

bool Channel::PeerEnded() const {
  if (!open()) return true;
  pollfd end{fd_.get(), POLLRDHUP, 0};
  return ::poll(&end, 1, 0) > 0 && (end.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::size_t Channel::Undelivered() const {
  int in_kernel = 0;
  if (open()) ::ioctl(fd_.get(), SIOCOUTQ, &in_kernel);
  return out_.size() + static_cast<std::size_t>(in_kernel);
}

int Channel::TakeError() {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

std::uint16_t Channel::local_port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0) return 0;
  return ntohs(address.sin_port);
}

void Channel::EndSending() {
  if (open()) ::shutdown(fd_.get(), SHUT_WR);
}

void Channel::Gone(StreamEnd how) {
  Close();
  owner_.OnGone(how);
}

void Channel::Break() {
  if (!fd_) return;
  linger hard{1, 0};
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  Close();
}

void Channel::Close() {
  if (!fd_) return;
  loop_.Forget(token_, fd_.get());
  token_ = 0;
  fd_.Reset();
}

}  // namespace dappletiller
