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

TenantShare::TenantShare(const std::vector<Share>& shares, int proxies) : part_(1.0 / std::max(1, proxies)) {
  for (int i = 0; const Share& share : shares) Set(i++, true, share);
}

void TenantShare::Set(int tenant, bool named, Share share) {
  if (tenant < 0) return;
  auto at = static_cast<std::size_t>(tenant);
  if (at >= places_.size()) places_.resize(at + 1);
  Place& place = places_[at];
  if (named && !place.named) place.account = Account();
  named_ += static_cast<std::size_t>(named) - static_cast<std::size_t>(place.named);
  place.named = named;
  place.share = share;
}

bool TenantShare::Over(int tenant, Micros now) {
  if (named_ == 0) return false;
  double elapsed = static_cast<double>(now - rate_at_) / kSecond;
  rate_at_ = now;
  rate_ = rate_ * std::exp(-elapsed / kRateSeconds) + 1 / kRateSeconds;
  auto at = static_cast<std::size_t>(tenant);
  if (tenant < 0 || at >= places_.size() || !places_[at].named) return true;
  const Share& share = places_[at].share;
  Account& account = places_[at].account;
  double refill = kSlack * std::max(share.quota_per_s * part_, share.portion * rate_);
  double most = std::max(1.0, kBurst * refill);
  account.left = std::min(most, account.left + refill * static_cast<double>(now - account.at) / kSecond);
  account.at = now;
  if (account.left < 1) return true;
  account.left -= 1;
  return false;
}

}  // namespace dappletiller::limits
