#include "dispatch/server_start_times.hpp"

#include <algorithm>

namespace dappletiller {
namespace {

// Discovery lists a change at the latest this long after it was made.
constexpr Micros kMaxListDelay = 6'000'000;

constexpr Micros kHour = 3'600'000'000;
constexpr Micros kMaxWrongHours = 24;
constexpr Micros kMaxWarmupTime = 120'000'000;  // an older server is warm anyway
constexpr Micros kMaxClockDifference = 5'000'000;

// Whether a clock that is some whole hours ahead would let a server that has just started look so old.
bool MayBeHoursAhead(Micros age) {
  if (age < kHour - kMaxClockDifference || age > kMaxWrongHours * kHour + kMaxWarmupTime) return false;
  return (age + kMaxClockDifference) % kHour <= kMaxWarmupTime + kMaxClockDifference;
}

}  // namespace

Micros ServerStartTimes::Update(const std::string& uid, Micros listed, Micros now, Micros previous_list_at) {
  StartTime& start = by_uid_[uid];
  if (start.listed == listed) return start.bounded;
  start.listed = listed;
  const bool is_first_list = previous_list_at == 0;
  if (listed == 0) {
    start.bounded = 0;
  } else if (is_first_list) {
    start.bounded = MayBeHoursAhead(now - listed) ? now : std::min(listed, now);
  } else {
    start.bounded = std::clamp(listed, std::min(now, previous_list_at - kMaxListDelay), now);
  }
  return start.bounded;
}

}  // namespace dappletiller
