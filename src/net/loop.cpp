#include "net/loop.hpp"

#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <string>
#include <system_error>

#include "net/log.hpp"

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

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  Endpoint endpoint;
  const char* end = text.data() + text.size();
  const char* at = text.data();
  for (int i = 0; i < 5; ++i) {
    unsigned value = 0;
    auto [next, failed] = std::from_chars(at, end, value);
    if (failed != std::errc() || value > (i == 4 ? 65535u : 255u)) return std::nullopt;
    if (i == 4) {
      if (next != end) return std::nullopt;
      endpoint.port = static_cast<std::uint16_t>(value);
      break;
    }
    endpoint.address = endpoint.address << 8 | value;
    if (next == end || *next != (i == 3 ? ':' : '.')) return std::nullopt;
    at = next + 1;
  }
  return endpoint;
}

void Log::Line(const char* format, ...) {
  Micros now = Read<std::chrono::steady_clock>();
  if (at_ != 0) left_ = std::min(kBurst, left_ + kPerSecond * static_cast<double>(now - at_) / 1e6);
  at_ = now;
  if (left_ < 1) {
    ++left_out_;
    return;
  }
  left_ -= 1;
  std::array<char, 512> text;
  std::va_list args;
  va_start(args, format);
  std::vsnprintf(text.data(), text.size(), format, args);
  va_end(args);
  if (left_out_ > 0) {
    std::fprintf(to_, "%s: %s (%ld lines left out before this)\n", name_, text.data(), left_out_);
  } else {
    std::fprintf(to_, "%s: %s\n", name_, text.data());
  }
  left_out_ = 0;
  std::fflush(to_);
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

Fd ListenOn(const Endpoint& where, int backlog, const char* what, std::uint16_t* port) {
  auto check = [what](bool fine, const char* call) {
    if (!fine) throw std::system_error(errno, std::generic_category(), std::string(what) + ": " + call);
  };
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  check(static_cast<bool>(fd), "socket");
  int on = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(where.address);
  address.sin_port = htons(where.port);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof address;
  check(::bind(fd.get(), generic, size) == 0, "bind");
  check(::listen(fd.get(), backlog) == 0, "listen");
  check(::getsockname(fd.get(), generic, &size) == 0, "getsockname");
  *port = ntohs(address.sin_port);
  return fd;
}

}  // namespace dappletiller
