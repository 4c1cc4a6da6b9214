#include "limits/tenant_quota.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dappletiller::limits {
namespace {

constexpr double kBurstSeconds = 2;       // of its quota that a tenant may use at once
constexpr double kTolerance = 1.3;        // random excess at one proxy is not excess of the tenant
constexpr double kRateWindowSeconds = 5;  // time constant of the arrival rate
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

TenantQuota::TenantQuota(const std::vector<Quota>& quotas, int proxies)
    : proxy_share_(1.0 / std::max(1, proxies)) {
  for (int i = 0; const Quota& quota : quotas) Set(i++, true, quota);
}

void TenantQuota::Set(int tenant, bool active, Quota quota) {
  if (tenant < 0) return;
  auto index = static_cast<std::size_t>(tenant);
  if (index >= tenants_.size()) tenants_.resize(index + 1);
  Tenant& entry = tenants_[index];
  if (active && !entry.active) entry.bucket = TokenBucket();
  active_tenants_ += static_cast<std::size_t>(active) - static_cast<std::size_t>(entry.active);
  entry.active = active;
  entry.quota = quota;
}

bool TenantQuota::IsOver(int tenant, Micros now) {
  if (active_tenants_ == 0) return false;
  double elapsed = static_cast<double>(now - arrival_rate_at_) / kMicrosPerSecond;
  arrival_rate_at_ = now;
  arrival_rate_ = arrival_rate_ * std::exp(-elapsed / kRateWindowSeconds) + 1 / kRateWindowSeconds;
  auto index = static_cast<std::size_t>(tenant);
  if (tenant < 0 || index >= tenants_.size() || !tenants_[index].active) return true;
  const Quota& quota = tenants_[index].quota;
  TokenBucket& bucket = tenants_[index].bucket;
  double refill = kTolerance * std::max(quota.rate_per_s * proxy_share_, quota.service_share * arrival_rate_);
  double capacity = std::max(1.0, kBurstSeconds * refill);
  bucket.tokens = std::min(
      capacity, bucket.tokens + refill * static_cast<double>(now - bucket.refilled_at) / kMicrosPerSecond);
  bucket.refilled_at = now;
  if (bucket.tokens < 1) return true;
  bucket.tokens -= 1;
  return false;
}

}  // namespace dappletiller::limits
