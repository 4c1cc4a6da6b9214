// Whether a tenant's call is within its share of the service.
//
// A tenant is over its share when it uses up both its quota at this proxy, an even part of the whole quota,
// and its portion of what this proxy carries: one with more than its part of the traffic holds that against
// nobody. Chance alone must not look like excess, so some slack and a burst are granted.
//
// Knows no clock and no socket: times are microseconds that never go back. Memory is fixed by the number of
// tenants, and a change of one costs by that one. Not thread-safe.
#ifndef DAPPLETILLER_LIMITS_TENANT_SHARE_HPP_
#define DAPPLETILLER_LIMITS_TENANT_SHARE_HPP_

#include <cstdint>
#include <limits>
#include <vector>

namespace dappletiller::limits {

class TenantShare {
 public:
  using Micros = std::int64_t;
  struct Share {
    double portion = 0;      // of the service, 0 to 1
    double quota_per_s = 0;  // calls a second within its share, over all proxies
  };

  // `proxies` (at least 1) divide the quotas evenly; their clocks and counts are their own.
  TenantShare(const std::vector<Share>& shares, int proxies);

  // From now on the part of the quotas that is this proxy's (0 to 1), instead of an even one.
  void SetPart(double part) { part_ = part; }

  // From now on this is the tenant's share; not `named`: the place is nobody's any more. A place that is new
  // begins with a full account. Negative places are ignored; memory grows with the greatest.
  void Set(int tenant, bool named, Share share);

  // Takes note of one call at `now` and tells whether it is beyond its tenant's share. Where no tenants are
  // set none is; where some are, one that they don't name (-1) has no share.
  bool Over(int tenant, Micros now);

 private:
  struct Account {
    double left = std::numeric_limits<double>::infinity();  // full when first used
    Micros at = 0;
  };
  struct Place {
    bool named = false;
    Share share;
    Account account;
  };
  double part_;  // of the quotas
  std::vector<Place> places_;
  std::size_t named_ = 0;  // of them
  double rate_ = 0;        // calls a second arriving here
  Micros rate_at_ = 0;
};

}  // namespace dappletiller::limits

#endif  // DAPPLETILLER_LIMITS_TENANT_SHARE_HPP_
