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
#include <utility>

#include "io/poll_now.hpp"
#include "io/transient_error.hpp"

namespace dappletiller {
namespace {

constexpr int kMaxReadsPerRound = 8;  // then other connections are served
constexpr int kMaxPiecesPerWrite = 64;

void SetNoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

// The kernel had no memory for the call (recv(2), send(2)); the connection is intact.
bool LacksMemory(int error) { return error == ENOMEM || error == ENOBUFS; }

}  // namespace

bool StreamSocket::Register() {
  SetNoDelay(fd_.get());
  broken_ = false;
  watch_ = loop_.Watch(fd_.get(), this);
  return watch_ != 0;
}

bool StreamSocket::Adopt(FileDescriptor& connection) {
  fd_ = std::move(connection);
  if (Register()) return true;
  connection = std::move(fd_);
  return false;
}

ConnectStart StreamSocket::Connect(const Endpoint& where) {
  fd_ = FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd_) return ConnectStart::kShortage;
  const sockaddr_in address = ToSocketAddress(where);
  const auto* generic =
      reinterpret_cast<const sockaddr*>(&address);  // NOLINT(*-reinterpret-cast): the sockets API
  // After EINTR the connection is established as after EINPROGRESS (connect(2)).
  if (::connect(fd_.get(), generic, sizeof address) != 0 && errno != EINPROGRESS && errno != EINTR) {
    const bool is_shortage = IsShortage(errno);
    fd_.Reset();
    return is_shortage ? ConnectStart::kShortage : ConnectStart::kFailed;
  }
  connecting_ = true;
  if (Register()) return ConnectStart::kStarted;
  fd_.Reset();
  return ConnectStart::kShortage;
}

void StreamSocket::OnReady(std::uint32_t events) {
  if (connecting_) OnConnectResult(events);
  if (connecting_ || !open()) return;
  if ((events & EPOLLERR) != 0) broken_ = true;
  // Read first: a response received before the connection broke is still valid.
  if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    readable_ = true;
    Read();
  }
  if (open() && (events & EPOLLOUT) != 0) Flush();
}

void StreamSocket::OnConnectResult(std::uint32_t events) {
  if (TakeError() != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0) {
    NotifyClosed(StreamEnd::kBroken);
    return;
  }
  if ((events & EPOLLOUT) == 0) return;
  connecting_ = false;
  callbacks_.OnConnected();
}

void StreamSocket::Read() {
  if (reading_) return;
  reading_ = true;
  for (int reads = 0; open() && readable_; ++reads) {
    if (reads == kMaxReadsPerRound) {
      loop_.NotifyAgain(watch_, EPOLLIN);
      break;
    }
    if (!ReadOnce()) break;
  }
  reading_ = false;
}

bool StreamSocket::ReadOnce() {
  const std::span<char> buffer = callbacks_.ReceiveBuffer();
  if (buffer.empty()) return false;  // continued by ResumeReading
  const ssize_t count = ::recv(fd_.get(), buffer.data(), buffer.size(), 0);
  if (count > 0) {
    callbacks_.OnReceived(static_cast<std::size_t>(count));
  } else if (count == 0) {
    // Also reached if an error was reported to another system call, after which the stream looks ended.
    readable_ = false;
    NotifyClosed(broken_ || TakeError() != 0 ? StreamEnd::kBroken : StreamEnd::kOrderly);
  } else if (WouldBlock(errno)) {
    readable_ = false;
  } else if (LacksMemory(errno)) {
    TryAgain(EPOLLIN);
    return false;
  } else if (errno != EINTR) {
    readable_ = false;
    NotifyClosed(StreamEnd::kBroken);
  }
  return true;
}

void StreamSocket::ResumeReading() {
  if (open() && readable_) Read();
}

void StreamSocket::Flush() {
  if (!open() || connecting_) return;
  const bool had_output = !output_.empty();
  while (!output_.empty()) {
    if (!callbacks_.MayWrite() || !open()) return;
    std::array<iovec, kMaxPiecesPerWrite> pieces;
    msghdr message{};
    message.msg_iov = pieces.data();
    message.msg_iovlen = static_cast<std::size_t>(output_.Gather(pieces.data(), kMaxPiecesPerWrite));
    const ssize_t count = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
    if (count >= 0) {
      output_.Consume(static_cast<std::size_t>(count));
      written_ += static_cast<std::size_t>(count);
    } else if (WouldBlock(errno)) {
      return;  // continued by EPOLLOUT
    } else if (LacksMemory(errno)) {
      TryAgain(EPOLLOUT);
      return;
    } else if (errno != EINTR) {
      OnWriteError();
      return;
    }
  }
  if (had_output) callbacks_.OnFlushed();
}

// The peer may have responded before the connection broke, so received data is read first. Within a read,
// this is already happening, and the error is handled in the next round.
void StreamSocket::OnWriteError() {
  broken_ = true;
  if (reading_) {
    loop_.NotifyAgain(watch_, EPOLLOUT);
    return;
  }
  readable_ = true;
  Read();
  if (open()) NotifyClosed(StreamEnd::kBroken);
}

bool StreamSocket::IsStale() {
  char byte = 0;
  ssize_t count = 0;
  do {
    count = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (count < 0 && errno == EINTR);
  if (count >= 0) return true;
  if (WouldBlock(errno) || LacksMemory(errno)) return false;
  broken_ = true;  // the kernel reported the error to this call
  return true;
}

bool StreamSocket::PeerHasClosed() const {
  return !open() || (PollNow(fd_.get(), POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::size_t StreamSocket::BytesInKernel() const {
  int in_kernel = 0;
  if (open()) ::ioctl(fd_.get(), SIOCOUTQ, &in_kernel);
  return static_cast<std::size_t>(in_kernel);
}

std::size_t StreamSocket::UnacknowledgedBytes() const { return output_.size() + BytesInKernel(); }

Micros StreamSocket::TimeSinceLastData() const {
  constexpr Micros kMicrosPerMilli = 1000;
  tcp_info info{};
  socklen_t size = sizeof info;
  if (!open() || ::getsockopt(fd_.get(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  return info.tcpi_last_data_recv * kMicrosPerMilli;
}

int StreamSocket::TakeError() {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

std::uint16_t StreamSocket::local_port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);  // NOLINT(*-reinterpret-cast): the sockets API
  if (::getsockname(fd_.get(), generic, &size) != 0) return 0;
  return ntohs(address.sin_port);
}

void StreamSocket::ShutdownWrite() {
  if (open()) ::shutdown(fd_.get(), SHUT_WR);
}

void StreamSocket::NotifyClosed(StreamEnd how) {
  Close();
  callbacks_.OnClosed(how);
}

void StreamSocket::Abort() {
  if (!fd_) return;
  const linger reset{1, 0};
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  Close();
}

void StreamSocket::Close() {
  if (!fd_) return;
  loop_.Unwatch(watch_, fd_.get());
  watch_ = 0;
  fd_.Reset();
}

}  // namespace dappletiller
