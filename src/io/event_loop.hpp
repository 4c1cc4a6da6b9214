// The event loop: edge-triggered epoll, timers and one monotonic clock. One thread runs the loop, and all
// objects on it are used from that thread only. Handlers and timers must not free the object whose callback
// is running, except through DeferDelete.
#ifndef DAPPLETILLER_IO_EVENT_LOOP_HPP_
#define DAPPLETILLER_IO_EVENT_LOOP_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "io/bound_socket.hpp"
#include "io/file_descriptor.hpp"

struct epoll_event;

namespace dappletiller {

class EventHandler {
 public:
  // `events` are those of epoll(7).
  virtual void OnReady(std::uint32_t events) = 0;

 protected:
  ~EventHandler() = default;
};

class EventLoop {
 public:
  using WatchId = std::uint64_t;  // 0: none
  using TimerKey = std::pair<Micros, std::uint64_t>;

  EventLoop();  // throws std::system_error

  // Monotonic microseconds. The clock starts as Unix time, so it can be compared with Unix times.
  Micros Now() const;

  // What Now() is ahead of the machine's monotonic clock, which all processes share.
  Micros unix_offset() const { return unix_offset_; }

  // The earliest time at which the events that are being delivered may have occurred. Earlier than Now() if
  // the last round took long: what arrives meanwhile is reported after it.
  Micros EventsSince() const { return events_since_; }

  // Reports readiness in both directions, edge-triggered. 0 if epoll rejects the descriptor. Events already
  // fetched for a WatchId that is no longer watched are dropped, even if the descriptor number is in use
  // again.
  WatchId Watch(int fd, EventHandler* handler);
  void Unwatch(WatchId watch, int fd);
  // Calls the handler again in the next round, for handlers that stop before EAGAIN to let others run.
  void NotifyAgain(WatchId watch, std::uint32_t events);

  // Calls `callback` once, at `when` or as soon as possible afterwards.
  TimerKey ScheduleAt(Micros when, std::function<void()> callback);
  void Cancel(TimerKey key) { timers_.erase(key); }

  // Frees an object at the end of the round, when none of its callbacks can be running.
  template <typename T>
  void DeferDelete(std::unique_ptr<T> object) {
    to_delete_.push_back(std::shared_ptr<void>(std::move(object)));
  }

  // Runs until Stop.
  void Run();
  void Stop() { stopped_ = true; }
  // Runs one round, waiting for events for at most `max_wait`.
  void RunOnce(Micros max_wait);

 private:
  struct Slot {
    EventHandler* handler = nullptr;
    std::uint32_t generation = 1;
  };

  void Deliver(WatchId watch, std::uint32_t events);
  void RunTimers();
  int MillisecondsToWait(Micros max_wait) const;
  int Wait(Micros max_wait, std::span<epoll_event> events);

  FileDescriptor epoll_;
  Micros last_wait_ended_ = 0;
  Micros events_since_ = 0;
  Micros unix_offset_ = 0;   // from the steady clock to Unix time, at startup
  std::vector<Slot> slots_;  // by the lower half of a WatchId; the upper half is the generation
  std::vector<std::uint32_t> free_slots_;
  std::vector<std::pair<WatchId, std::uint32_t>> to_notify_;
  std::map<TimerKey, std::function<void()>> timers_;
  std::uint64_t timers_scheduled_ = 0;
  std::vector<std::shared_ptr<void>> to_delete_;
  bool stopped_ = false;
};

// A timer that is cancelled when it is destroyed.
class Timer {
 public:
  explicit Timer(EventLoop& loop) : loop_(loop) {}
  ~Timer() { Clear(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Replaces the previous setting.
  void Set(Micros after, std::function<void()> callback);
  void Clear();
  bool set() const { return set_; }

 private:
  EventLoop& loop_;
  EventLoop::TimerKey key_{0, 0};
  bool set_ = false;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_EVENT_LOOP_HPP_
