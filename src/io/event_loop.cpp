#include "io/event_loop.hpp"

#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <string>
#include <system_error>

namespace dappletiller {
namespace {

template <typename Clock>
Micros Read() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

constexpr Micros kLongestSleep = 60'000'000;

}  // namespace

Fd& Fd::operator=(Fd&& other) noexcept {
  if (this != &other) {
    Reset();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

void Fd::Reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

Loop::Loop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
  offset_ = Read<std::chrono::system_clock>() - Read<std::chrono::steady_clock>();
  slots_.resize(1);  // slot 0 stays unused, so that no token is 0
}

Micros Loop::Now() const { return Read<std::chrono::steady_clock>() + offset_; }

Loop::Token Loop::Watch(int fd, EventSink* sink) {
  std::uint32_t index;
  if (free_.empty()) {
    index = static_cast<std::uint32_t>(slots_.size());
    slots_.emplace_back();
  } else {
    index = free_.back();
    free_.pop_back();
  }
  Slot& slot = slots_[index];
  Token token = static_cast<Token>(slot.generation) << 32 | index;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = token;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0) {
    free_.push_back(index);
    return 0;
  }
  slot.sink = sink;
  return token;
}

void Loop::Forget(Token token, int fd) {
  auto index = static_cast<std::uint32_t>(token);
  if (token == 0 || slots_[index].generation != token >> 32) return;
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
  slots_[index].sink = nullptr;
  ++slots_[index].generation;
  free_.push_back(index);
}

void Loop::Again(Token token, std::uint32_t events) { again_.emplace_back(token, events); }

Loop::TimerKey Loop::At(Micros when, std::function<void()> what) {
  TimerKey key{when, ++timer_count_};
  timers_.emplace(key, std::move(what));
  return key;
}

void Loop::Deliver(Token token, std::uint32_t events) {
  const Slot& slot = slots_[static_cast<std::uint32_t>(token)];
  if (slot.generation == token >> 32 && slot.sink != nullptr) slot.sink->OnReady(events);
}

void Loop::Run() {
  while (!stopped_) Round(kLongestSleep);
}

void Loop::Round(Micros longest) {
  Micros wait = again_.empty() ? longest : 0;
  if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first.first - Now());
  std::array<epoll_event, 128> events;
  // Rounded up: waking before a timer is due would only spin.
  int millis = static_cast<int>((std::max<Micros>(wait, 0) + 999) / 1000);
  int n = ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), millis);
  auto again = std::exchange(again_, {});
  for (int i = 0; i < n; ++i) Deliver(events[i].data.u64, events[i].events);
  for (auto [token, mask] : again) Deliver(token, mask);
  Micros now = Now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    auto what = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    what();
  }
  graveyard_.clear();
}

void Timer::Set(Micros after, std::function<void()> what) {
  Clear();
  set_ = true;
  key_ = loop_.At(loop_.Now() + after, [this, what = std::move(what)] {
    set_ = false;
    what();  // may set this timer anew or free its owner: nothing here is touched after it
  });
}

void Timer::Clear() {
  if (set_) loop_.Cancel(key_);
  set_ = false;
}

namespace {

void Check(bool fine, const char* what, const char* call) {
  if (!fine) throw std::system_error(errno, std::generic_category(), std::string(what) + ": " + call);
}

Fd Bound(const Endpoint& where, int kind, const char* what, std::uint16_t* port) {
  Fd fd(::socket(AF_INET, kind | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  Check(static_cast<bool>(fd), what, "socket");
  int on = 1;
  if (kind == SOCK_STREAM) ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(where.address);
  address.sin_port = htons(where.port);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof address;
  Check(::bind(fd.get(), generic, size) == 0, what, "bind");
  Check(::getsockname(fd.get(), generic, &size) == 0, what, "getsockname");
  *port = ntohs(address.sin_port);
  return fd;
}

}  // namespace

Fd ListenOn(const Endpoint& where, int backlog, const char* what, std::uint16_t* port) {
  Fd fd = Bound(where, SOCK_STREAM, what, port);
  Check(::listen(fd.get(), backlog) == 0, what, "listen");
  return fd;
}

Fd DatagramsOn(const Endpoint& where, const char* what, std::uint16_t* port) {
  return Bound(where, SOCK_DGRAM, what, port);
}

}  // namespace dappletiller
