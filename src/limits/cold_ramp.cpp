#include "limits/cold_ramp.hpp"

#include <algorithm>
#include <cmath>

namespace dappletiller::limits {
namespace {

constexpr double kFill = 0.3;   // of what would push the server over, all proxies together
constexpr double kLump = 0.15;  // of that budget in one request

}  // namespace

double ColdRamp::Warmed(Micros age) const {
  if (!Cold(age)) return 1;
  double passed = static_cast<double>(std::max<Micros>(0, age)) / static_cast<double>(rules_.warm_after);
  return rules_.share + (1 - rules_.share) * passed;
}

double ColdRamp::Budget(double capacity, Micros age) const {
  return rules_.multiple * Warmed(age) * capacity * static_cast<double>(rules_.fall);
}

double ColdRamp::Lump(double capacity, double usual, Micros age) const {
  return std::max(kLump * Budget(capacity, age), usual);
}

ColdRamp::Micros ColdRamp::NextTurn(double capacity, double part, double work, Micros age) const {
  double rate = kFill * rules_.multiple * capacity * part;
  if (!(rate > 0)) return kNever;
  // Time at full capacity that has to pass, which a warming server makes longer: the area under a line.
  double needed = work / rate;
  double now = Warmed(age);
  double slope = Cold(age) ? (1 - rules_.share) / static_cast<double>(rules_.warm_after) : 0;
  double span = 2 * needed / std::max(now + std::sqrt(now * now + 2 * slope * needed), 1e-9);
  if (slope > 0) {
    double left = static_cast<double>(rules_.warm_after - std::max<Micros>(0, age));
    if (span > left) span = left + needed - (now + 1) / 2 * left;  // warm from there on
  }
  return age + static_cast<Micros>(std::min(span, static_cast<double>(kNever - std::max<Micros>(0, age))));
}

}  // namespace dappletiller::limits
