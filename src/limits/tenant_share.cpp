#include "limits/tenant_share.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dappletiller::limits {
namespace {

constexpr double kBurst = 2;        // seconds of its quota that a tenant may use at once
constexpr double kSlack = 1.3;      // chance at one proxy must not look like a tenant's excess
constexpr double kRateSeconds = 5;  // over which the rate of arrivals here is taken
constexpr double kSecond = 1e6;

}  // namespace

TenantShare::TenantShare(std::vector<Share> shares, int proxies)
    : shares_(std::move(shares)), part_(1.0 / std::max(1, proxies)), accounts_(shares_.size()) {}

bool TenantShare::Over(int tenant, Micros now) {
  if (shares_.empty()) return false;
  double elapsed = static_cast<double>(now - rate_at_) / kSecond;
  rate_at_ = now;
  rate_ = rate_ * std::exp(-elapsed / kRateSeconds) + 1 / kRateSeconds;
  if (tenant < 0 || static_cast<std::size_t>(tenant) >= shares_.size()) return true;
  const Share& share = shares_[static_cast<std::size_t>(tenant)];
  Account& account = accounts_[static_cast<std::size_t>(tenant)];
  double refill = kSlack * std::max(share.quota_per_s * part_, share.portion * rate_);
  double most = std::max(1.0, kBurst * refill);
  account.left = std::min(most, account.left + refill * static_cast<double>(now - account.at) / kSecond);
  account.at = now;
  if (account.left < 1) return true;
  account.left -= 1;
  return false;
}

}  // namespace dappletiller::limits
