#include "quota_lease/lease_holder.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dappletiller::quota_lease {

LeaseHolder::LeaseHolder(std::uint64_t boot, std::vector<std::string> granters, Duration lease_duration)
    : boot_(boot), granters_(std::move(granters)), lease_duration_(lease_duration) {
  for (const std::string& granter : granters_) leases_[granter];
}

LeaseRequest LeaseHolder::MakeRequest(TimePoint now, const std::string& granter) {
  LeaseRequest request;
  request.boot = boot_;
  request.number = ++last_request_;
  request.granters = static_cast<std::uint32_t>(granters_.size());
  auto it = leases_.find(granter);
  if (it == leases_.end()) return request;
  Lease& lease = it->second;
  request.acknowledged = lease.acknowledged;
  lease.sent_at[request.number] = now;
  if (lease.sent_at.size() > kMaxOpenRequests) lease.sent_at.erase(lease.sent_at.begin());
  return request;
}

LeaseRequest LeaseHolder::MakeRelease(TimePoint now, const std::string& granter) {
  LeaseRequest request = MakeRequest(now, granter);
  request.release = true;
  return request;
}

void LeaseHolder::OnResponse(const std::string& granter, const LeaseResponse& response) {
  auto it = leases_.find(granter);
  if (it == leases_.end() || response.boot != boot_ || stopped_) return;
  Lease& lease = it->second;
  auto sent = lease.sent_at.find(response.number);
  // Older than the acknowledged response: the granter already counts it as dropped.
  if (sent == lease.sent_at.end() || response.number <= lease.acknowledged) return;
  lease.acknowledged = response.number;
  lease.units = std::min(response.units, kUnitsPerGranter);
  lease.expires_at = sent->second + lease_duration_;
  lease.sent_at.erase(lease.sent_at.begin(), std::next(sent));
}

bool LeaseHolder::HasLeaseFrom(TimePoint now, const std::string& granter) const {
  auto it = leases_.find(granter);
  return it != leases_.end() && it->second.units > 0 && now < it->second.expires_at;
}

double LeaseHolder::Share(TimePoint now) const {
  if (stopped_ || granters_.empty()) return 0;
  double units = 0;
  for (const auto& [granter, lease] : leases_) {
    if (now < lease.expires_at) units += lease.units;
  }
  return units / (static_cast<double>(kUnitsPerGranter) * static_cast<double>(granters_.size()));
}

TimePoint LeaseHolder::ValidUntil(TimePoint now) const {
  TimePoint first;
  for (const auto& [granter, lease] : leases_) {
    const bool current = now < lease.expires_at && lease.units > 0;
    if (!current) continue;
    first = first == TimePoint{} ? lease.expires_at : std::min(first, lease.expires_at);
  }
  return first;
}

}  // namespace dappletiller::quota_lease
