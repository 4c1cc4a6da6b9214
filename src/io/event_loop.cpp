#include "io/event_loop.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>

namespace dappletiller {
namespace {

constexpr Micros kMaxSleep = 60'000'000;
constexpr Micros kShortestWait = 200;  // a system call that takes longer has waited
constexpr std::size_t kMaxEventsPerRound = 128;
constexpr int kGenerationShift = 32;

template <typename Clock>
Micros Read() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

}  // namespace

EventLoop::EventLoop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
  unix_offset_ = Read<std::chrono::system_clock>() - Read<std::chrono::steady_clock>();
  last_wait_ended_ = events_since_ = Now();
  slots_.resize(1);  // slot 0 stays unused, so that no WatchId is 0
}

Micros EventLoop::Now() const { return Read<std::chrono::steady_clock>() + unix_offset_; }

EventLoop::WatchId EventLoop::Watch(int fd, EventHandler* handler) {
  std::uint32_t index = 0;
  if (free_slots_.empty()) {
    index = static_cast<std::uint32_t>(slots_.size());
    slots_.emplace_back();
  } else {
    index = free_slots_.back();
    free_slots_.pop_back();
  }
  Slot& slot = slots_[index];
  const WatchId watch = static_cast<WatchId>(slot.generation) << kGenerationShift | index;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = watch;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0) {
    free_slots_.push_back(index);
    return 0;
  }
  slot.handler = handler;
  return watch;
}

void EventLoop::Unwatch(WatchId watch, int fd) {
  const auto index = static_cast<std::uint32_t>(watch);
  if (watch == 0 || slots_[index].generation != watch >> kGenerationShift) return;
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
  slots_[index].handler = nullptr;
  ++slots_[index].generation;
  free_slots_.push_back(index);
}

void EventLoop::NotifyAgain(WatchId watch, std::uint32_t events) { to_notify_.emplace_back(watch, events); }

EventLoop::TimerKey EventLoop::ScheduleAt(Micros when, std::function<void()> callback) {
  TimerKey key{when, ++timers_scheduled_};
  timers_.emplace(key, std::move(callback));
  return key;
}

void EventLoop::Deliver(WatchId watch, std::uint32_t events) {
  const Slot& slot = slots_[static_cast<std::uint32_t>(watch)];
  const bool current = slot.generation == watch >> kGenerationShift;
  if (current && slot.handler != nullptr) slot.handler->OnReady(events);
}

void EventLoop::Run() {
  while (!stopped_) RunOnce(kMaxSleep);
}

int EventLoop::MillisecondsToWait(Micros max_wait) const {
  Micros wait = to_notify_.empty() ? max_wait : 0;
  if (!timers_.empty()) {
    const Micros first_due = timers_.begin()->first.first;
    wait = std::min(wait, first_due - Now());
  }
  // Rounded up, since waking before a timer is due would only spin.
  return static_cast<int>((std::max<Micros>(wait, 0) + 999) / 1000);
}

// An event that ends a wait has just occurred; one that is reported without a wait, at any time since the
// wait before.
int EventLoop::Wait(Micros max_wait, std::span<epoll_event> events) {
  const Micros began = Now();
  const int count = ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()),
                                 MillisecondsToWait(max_wait));
  const Micros ended = Now();
  events_since_ = ended - began < kShortestWait ? last_wait_ended_ : ended;
  last_wait_ended_ = ended;
  return count;
}

void EventLoop::RunOnce(Micros max_wait) {
  std::array<epoll_event, kMaxEventsPerRound> events;
  const int count = Wait(max_wait, events);
  const auto to_notify = std::exchange(to_notify_, {});
  for (int i = 0; i < count; ++i) Deliver(events[i].data.u64, events[i].events);
  for (const auto& [watch, mask] : to_notify) Deliver(watch, mask);
  RunTimers();
  to_delete_.clear();
}

void EventLoop::RunTimers() {
  const Micros now = Now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    const std::function<void()> callback = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    callback();
  }
}

void Timer::Set(Micros after, std::function<void()> callback) {
  Clear();
  set_ = true;
  key_ = loop_.ScheduleAt(loop_.Now() + after, [this, callback = std::move(callback)] {
    set_ = false;
    callback();  // may set this timer anew or free its owner: nothing here is touched after it
  });
}

void Timer::Clear() {
  if (set_) loop_.Cancel(key_);
  set_ = false;
}

}  // namespace dappletiller
