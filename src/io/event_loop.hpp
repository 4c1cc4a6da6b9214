// The event loop: edge-triggered epoll, timers, one monotonic clock, ownership of descriptors.
#ifndef DAPPLETILLER_IO_EVENT_LOOP_HPP_
#define DAPPLETILLER_IO_EVENT_LOOP_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "base/endpoint.hpp"
#include "base/time.hpp"

namespace dappletiller {

class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  ~Fd() { Reset(); }
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept;
  Fd(const Fd&) = delete;
  Fd& operator=(const Fd&) = delete;
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void Reset();

 private:
  int fd_ = -1;
};

// A non-blocking TCP listener on `where` (port 0: the kernel's choice), and the port it got. Throws
// std::system_error naming `what` and the call that failed.
Fd ListenOn(const Endpoint& where, int backlog, const char* what, std::uint16_t* port);
// The same for datagrams.
Fd DatagramsOn(const Endpoint& where, const char* what, std::uint16_t* port);

class EventSink {
 public:
  virtual void OnReady(std::uint32_t events) = 0;

 protected:
  ~EventSink() = default;
};

class Loop {
 public:
  using Token = std::uint64_t;  // 0: none
  using TimerKey = std::pair<Micros, std::uint64_t>;

  Loop();  // throws std::system_error
  // Microseconds that never go back; they began as Unix time, so that Unix times can be compared with them.
  Micros Now() const;

  // Reports readiness in both directions, on edges. A token outlives its sink: events that are already
  // fetched for a forgotten token, or for a new sink on the same descriptor number, reach nobody.
  Token Watch(int fd, EventSink* sink);
  void Forget(Token token, int fd);
  // Has the sink called once more in the next round: for those who stop before EAGAIN to let others in.
  void Again(Token token, std::uint32_t events);

  TimerKey At(Micros when, std::function<void()> what);
  void Cancel(TimerKey key) { timers_.erase(key); }

  // Frees an object once no callback can still be running in it.
  template <typename T>
  void Dispose(std::unique_ptr<T> object) {
    graveyard_.push_back(std::shared_ptr<void>(std::move(object)));
  }

  void Run();
  void Stop() { stopped_ = true; }
  // One round, waiting for events for at most `longest`.
  void Round(Micros longest);

 private:
  struct Slot {
    EventSink* sink = nullptr;
    std::uint32_t generation = 1;
  };
  void Deliver(Token token, std::uint32_t events);

  Fd epoll_;
  Micros offset_ = 0;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
  std::vector<std::pair<Token, std::uint32_t>> again_;
  std::map<TimerKey, std::function<void()>> timers_;
  std::uint64_t timer_count_ = 0;
  std::vector<std::shared_ptr<void>> graveyard_;
  bool stopped_ = false;
};

// A timer that goes with its owner, so that it never fires into freed memory.
class Timer {
 public:
  explicit Timer(Loop& loop) : loop_(loop) {}
  ~Timer() { Clear(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void Set(Micros after, std::function<void()> what);
  void Clear();
  bool set() const { return set_; }

 private:
  Loop& loop_;
  Loop::TimerKey key_{0, 0};
  bool set_ = false;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_EVENT_LOOP_HPP_
