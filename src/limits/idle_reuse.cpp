#include "limits/idle_reuse.hpp"

#include <algorithm>
#include <bit>

namespace dappletiller::limits {
namespace {

// Failures permitted per answered request: this many, or this multiple of the rate on new connections.
constexpr double kMaxFailuresPerAnswer = 0.1;
constexpr double kMaxFailuresToNew = 1.25;
constexpr double kPriorRequests = 10;  // weight of the failure rate of new connections, in requests

}  // namespace

std::size_t IdleReuseEstimator::Bucket(Micros idle_time) {
  return std::min<std::size_t>(std::bit_width(static_cast<std::uint64_t>(idle_time) / 1000), 31);
}

void IdleReuseEstimator::Record(Micros idle_time, bool answered) {
  Counts& counts = idle_time < 0 ? new_connections_ : by_idle_time_[Bucket(idle_time)];
  (answered ? counts.answered : counts.failed) += 1;
}

bool IdleReuseEstimator::IsReusable(Micros idle_time) const {
  double new_rate = new_connections_.failed / std::max(1.0, new_connections_.answered);
  auto end = by_idle_time_.begin() + static_cast<std::ptrdiff_t>(Bucket(idle_time)) + 1;
  return std::none_of(by_idle_time_.begin(), end, [new_rate](const Counts& counts) {
    return counts.failed >
           1 + std::max(kMaxFailuresPerAnswer, kMaxFailuresToNew * new_rate) * counts.answered;
  });
}

double IdleReuseEstimator::FailureRate(Micros idle_time) const {
  const Counts& counts = by_idle_time_[Bucket(idle_time)];
  double new_rate =
      new_connections_.failed / std::max(1.0, new_connections_.answered + new_connections_.failed);
  return (counts.failed + kPriorRequests * new_rate) / (counts.answered + counts.failed + kPriorRequests);
}

bool IdleReuseEstimator::Decay() {
  bool any_left = false;
  auto decay = [&any_left](Counts& counts) {
    counts.answered /= 2;
    counts.failed /= 2;
    any_left = any_left || counts.failed > kMaxFailuresPerAnswer;
  };
  decay(new_connections_);
  std::for_each(by_idle_time_.begin(), by_idle_time_.end(), decay);
  return any_left;
}

}  // namespace dappletiller::limits
