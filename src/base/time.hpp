// Time types: monotonic, in microseconds, always passed in by the caller.
//
// Pure code never reads a clock. The event loop's clock is the only source (EventLoop::Now); a simulation
// passes in its own. Clocks of different processes are never compared, except up to a stated drift.
#ifndef DAPPLETILLER_BASE_TIME_HPP_
#define DAPPLETILLER_BASE_TIME_HPP_

#include <chrono>
#include <cstdint>

namespace dappletiller {

// A span of time, or a point on the event loop's clock, in microseconds. Used by the parts that are not yet
// written in terms of Duration and TimePoint (docs/ROADMAP.md lists them).
using Micros = std::int64_t;

// The clock of TimePoint. It has no now(), since only the event loop may read a clock.
struct MonotonicClock {
  // NOLINTBEGIN(readability-identifier-naming): the standard's names for a clock's members
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)
};

// A span of time.
using Duration = MonotonicClock::duration;
// A point on the caller's monotonic clock. A default-constructed one means "never" where a comment says so.
using TimePoint = MonotonicClock::time_point;

constexpr TimePoint ToTimePoint(Micros microseconds) { return TimePoint(Duration(microseconds)); }
constexpr Micros ToMicros(TimePoint point) { return point.time_since_epoch().count(); }
constexpr Micros ToMicros(Duration span) { return span.count(); }

// `span` times `factor`, rounded towards zero.
constexpr Duration Scale(Duration span, double factor) {
  return Duration(static_cast<Micros>(factor * static_cast<double>(span.count())));
}

}  // namespace dappletiller

#endif  // DAPPLETILLER_BASE_TIME_HPP_
