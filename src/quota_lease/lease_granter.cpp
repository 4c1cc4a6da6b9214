#include "quota_lease/lease_granter.hpp"

#include <algorithm>
#include <iterator>

namespace dappletiller::quota_lease {
namespace {

constexpr Duration kClockResolution = std::chrono::milliseconds(1);

Duration WithDriftMargin(Duration lease) { return lease + Scale(lease, kMaxClockDrift) + kClockResolution; }

}  // namespace

LeaseGranter::LeaseGranter(std::uint32_t granters, Duration lease_duration, TimePoint started)
    : granters_(granters),
      lease_with_margin_(WithDriftMargin(lease_duration)),
      grants_from_(started + lease_with_margin_) {}

std::uint32_t LeaseGranter::UnitsOf(const Holder& holder) {
  std::uint32_t units = 0;
  for (const auto& [number, lease] : holder.leases) units = std::max(units, lease.units);
  return units;
}

void LeaseGranter::Expire(TimePoint now) {
  for (auto it = holders_.begin(); it != holders_.end();) {
    Holder& holder = it->second;
    std::erase_if(holder.leases, [now](const auto& lease) { return now > lease.second.expires_at; });
    const bool inactive = now > holder.requested_at + lease_with_margin_;
    it = holder.leases.empty() && inactive ? holders_.erase(it) : std::next(it);
  }
}

std::uint32_t LeaseGranter::GrantedUnits(TimePoint now) {
  Expire(now);
  std::uint32_t units = 0;
  for (const auto& [key, holder] : holders_) units += UnitsOf(holder);
  return units;
}

std::optional<LeaseResponse> LeaseGranter::OnRequest(TimePoint now, const std::string& name,
                                                     const LeaseRequest& request) {
  if (request.granters != granters_) return std::nullopt;
  Expire(now);
  HolderKey key(name, request.boot);
  auto it = holders_.find(key);
  // A late or repeated request: the holder has acknowledged more since.
  if (it != holders_.end() && request.number <= it->second.last_request) return std::nullopt;
  if (request.release) {
    if (it != holders_.end()) holders_.erase(it);
    return std::nullopt;
  }
  if (it == holders_.end()) {
    if (holders_.size() >= kMaxHolders) return std::nullopt;
    it = holders_.emplace(std::move(key), Holder()).first;
  }
  Holder& holder = it->second;
  holder.last_request = request.number;
  holder.requested_at = now;
  holder.leases.erase(holder.leases.begin(), holder.leases.lower_bound(request.acknowledged));
  const std::uint32_t units = now < grants_from_ ? 0 : Grant(now, request.number, &holder);
  return LeaseResponse{request.boot, request.number, units};
}

// Grants an even share among all holders, limited to the units that are free.
std::uint32_t LeaseGranter::Grant(TimePoint now, std::uint64_t request_number, Holder* holder) {
  std::uint32_t held_by_others = 0;
  for (const auto& [key, other] : holders_) {
    if (&other != holder) held_by_others += UnitsOf(other);
  }
  const auto even_share = static_cast<std::uint32_t>(kUnitsPerGranter / holders_.size());
  const std::uint32_t free_units = kUnitsPerGranter - std::min(kUnitsPerGranter, held_by_others);
  const std::uint32_t units = std::min(even_share, free_units);
  holder->leases[request_number] = {units, now + lease_with_margin_};
  return units;
}

}  // namespace dappletiller::quota_lease
