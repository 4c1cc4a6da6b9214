// Decides whether a tenant's request is within its quota.
//
// A tenant is over quota when it exceeds both its request rate at this proxy, which is this proxy's share of
// the whole rate, and its share of the traffic that passes through this proxy: where other tenants send
// little, a tenant may send more than its rate. Random bursts must not count as excess, so some tolerance and
// a burst are granted.
//
// Uses no clock and no socket: times are monotonic microseconds. Memory is bounded by the number of tenants,
// and a change of one tenant takes constant time. Not thread-safe.
#ifndef DAPPLETILLER_LIMITS_TENANT_QUOTA_HPP_
#define DAPPLETILLER_LIMITS_TENANT_QUOTA_HPP_

#include <cstdint>
#include <limits>
#include <vector>

namespace dappletiller::limits {

class TenantQuota {
 public:
  using Micros = std::int64_t;
  struct Quota {
    double service_share = 0;  // fraction of the traffic, 0 to 1
    double rate_per_s = 0;     // requests per second, over all proxies
  };

  // `proxies` (at least 1) share the rates evenly until SetProxyShare.
  TenantQuota(const std::vector<Quota>& quotas, int proxies);

  // Sets this proxy's share of the rates, 0 to 1.
  void SetProxyShare(double share) { proxy_share_ = share; }

  // Sets a tenant's quota. Not `active`: the index is no longer in use. An index that becomes active starts
  // with a full burst. Negative indexes are ignored; memory grows with the largest index.
  void Set(int tenant, bool active, Quota quota);

  // Counts one request at `now` and returns whether it is over its tenant's quota. Without any active tenant
  // no request is; otherwise requests of an inactive or unknown tenant (-1) are always over quota.
  bool IsOver(int tenant, Micros now);

 private:
  struct TokenBucket {
    double tokens = std::numeric_limits<double>::infinity();  // full on first use
    Micros refilled_at = 0;
  };
  struct Tenant {
    bool active = false;
    Quota quota;
    TokenBucket bucket;
  };
  double proxy_share_;
  std::vector<Tenant> tenants_;
  std::size_t active_tenants_ = 0;
  double arrival_rate_ = 0;  // requests per second at this proxy
  Micros arrival_rate_at_ = 0;
};

}  // namespace dappletiller::limits

#endif  // DAPPLETILLER_LIMITS_TENANT_QUOTA_HPP_
