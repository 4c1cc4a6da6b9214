#include "limits/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace dappletiller::limits {
namespace {

constexpr double kAllowance = 0.3;         // of all proxies together, as a fraction of OverloadWork
constexpr double kMaxRequestShare = 0.15;  // maximum work of one request, as a fraction of OverloadWork

}  // namespace

double SlowStart::CapacityFraction(Micros age) const {
  if (!IsWarmingUp(age)) return 1;
  double passed = static_cast<double>(std::max<Micros>(0, age)) / static_cast<double>(rules_.warmup_time);
  return rules_.initial_capacity + (1 - rules_.initial_capacity) * passed;
}

double SlowStart::OverloadWork(double capacity, Micros age) const {
  return rules_.overload_factor * CapacityFraction(age) * capacity *
         static_cast<double>(rules_.overload_window);
}

double SlowStart::MaxRequestWork(double capacity, double mean_work, Micros age) const {
  return std::max(kMaxRequestShare * OverloadWork(capacity, age), mean_work);
}

SlowStart::Micros SlowStart::NextSendAge(double capacity, double share, double work, Micros age) const {
  double rate = kAllowance * rules_.overload_factor * capacity * share;
  if (!(rate > 0)) return kNever;
  // `needed` is the time at full capacity. While the server warms up, capacity grows linearly and the time is
  // longer: solve for the area under the line.
  double needed = work / rate;
  double now = CapacityFraction(age);
  double slope =
      IsWarmingUp(age) ? (1 - rules_.initial_capacity) / static_cast<double>(rules_.warmup_time) : 0;
  double span = 2 * needed / std::max(now + std::sqrt(now * now + 2 * slope * needed), 1e-9);
  if (slope > 0) {
    double remaining = static_cast<double>(rules_.warmup_time - std::max<Micros>(0, age));
    if (span > remaining)
      span = remaining + needed - (now + 1) / 2 * remaining;  // at full capacity from there on
  }
  return age + static_cast<Micros>(std::min(span, static_cast<double>(kNever - std::max<Micros>(0, age))));
}

}  // namespace dappletiller::limits
