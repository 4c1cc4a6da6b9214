#include "limits/rest_record.hpp"

#include <algorithm>
#include <bit>

namespace dappletiller::limits {
namespace {

// Of the kept ones, this part may break, or this many times the part that breaks on new connections.
constexpr double kBrokenPart = 0.1;
constexpr double kBrokenTimes = 1.25;
constexpr double kPrior = 10;  // requests that what is known of new connections counts for

}  // namespace

std::size_t RestRecord::Place(Micros rest) {
  return std::min<std::size_t>(std::bit_width(static_cast<std::uint64_t>(rest) / 1000), 31);
}

void RestRecord::Note(Micros rest, bool kept) {
  Fates& fates = rest < 0 ? fresh_ : rested_[Place(rest)];
  (kept ? fates.kept : fates.broken) += 1;
}

bool RestRecord::Trusted(Micros rest) const {
  double usual = fresh_.broken / std::max(1.0, fresh_.kept);
  auto end = rested_.begin() + static_cast<std::ptrdiff_t>(Place(rest)) + 1;
  return std::none_of(rested_.begin(), end, [usual](const Fates& fates) {
    return fates.broken > 1 + std::max(kBrokenPart, kBrokenTimes * usual) * fates.kept;
  });
}

double RestRecord::Risk(Micros rest) const {
  const Fates& fates = rested_[Place(rest)];
  double usual = fresh_.broken / std::max(1.0, fresh_.kept + fresh_.broken);
  return (fates.broken + kPrior * usual) / (fates.kept + fates.broken + kPrior);
}

bool RestRecord::Fade() {
  bool any = false;
  auto fade = [&any](Fates& fates) {
    fates.kept /= 2;
    fates.broken /= 2;
    any = any || fates.broken > kBrokenPart;
  };
  fade(fresh_);
  std::for_each(rested_.begin(), rested_.end(), fade);
  return any;
}

}  // namespace dappletiller::limits
