#include "dispatch/server_start_times.hpp"

#include <algorithm>

namespace dappletiller {
namespace {

// Discovery lists a change at the latest this long after it was made.
constexpr Micros kMaxListDelay = 6'000'000;

}  // namespace

Micros ServerStartTimes::Update(const std::string& uid, Micros listed, Micros now, Micros previous_list_at) {
  StartTime& start = by_uid_[uid];
  if (start.listed == listed) return start.bounded;
  const Micros earliest = previous_list_at == 0 ? 0 : std::min(now, previous_list_at - kMaxListDelay);
  start.listed = listed;
  start.bounded = listed == 0 ? 0 : std::clamp(listed, earliest, now);
  return start.bounded;
}

}  // namespace dappletiller
