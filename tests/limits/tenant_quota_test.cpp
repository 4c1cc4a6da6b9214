#include "limits/tenant_quota.hpp"

#include <doctest/doctest.h>

#include <string>

namespace dappletiller::limits {
namespace {

constexpr TenantQuota::Micros kSecond = 1'000'000;

// Sends `requests` requests of one tenant, evenly over `span`; advances `now`. Returns how many were within
// quota.
int CountWithinQuota(TenantQuota& quotas, int tenant, int requests, TenantQuota::Micros span,
                     TenantQuota::Micros* now) {
  int within = 0;
  for (int i = 0; i < requests; ++i) within += !quotas.IsOver(tenant, *now += span / requests);
  return within;
}

TEST_CASE("a tenant is within quota by its rate or by its share of the traffic") {
  struct Case {
    std::string name;
    double service_share, rate;
    int proxies, own_rate, other_rate;  // requests per second: of the tenant, and of others
    double min_within, max_within;      // bounds on the fraction within quota
  };
  for (const Case& c :
       {Case{"at its rate", 0, 10, 1, 10, 0, 1, 1},
        Case{"slightly above it by chance", 0, 10, 1, 12, 0, 1, 1},
        Case{"at six times its rate", 0, 10, 1, 60, 60, 0.15, 0.35},
        Case{"at its whole rate at one of two proxies", 0, 10, 2, 40, 40, 0.1, 0.3},
        Case{"far above its rate, but within its share of the traffic", 0.5, 1, 1, 60, 60, 0.85, 1},
        Case{"far above both", 0.1, 1, 1, 100, 20, 0.1, 0.25},
        Case{"the only tenant here, with a share of one half", 0.5, 1, 1, 60, 0, 0.5, 0.8}}) {
    CAPTURE(c.name);
    TenantQuota quotas({{c.service_share, c.rate}, {1, 1e6}}, c.proxies);
    TenantQuota::Micros now = kSecond;
    int within = 0, all = 0;
    for (int second = 0; second < 30; ++second) {
      int mixed = c.own_rate + c.other_rate;
      for (int i = 0; i < mixed; ++i) {
        now += kSecond / mixed;
        // Spreads the tenant's requests evenly among the others.
        bool own = (i + 1) * c.own_rate / mixed > i * c.own_rate / mixed;
        bool over = quotas.IsOver(own ? 0 : 1, now);
        if (own) ++all, within += !over;
        if (!own) CHECK_FALSE(over);
      }
    }
    CHECK(all == 30 * c.own_rate);
    CHECK(within >= c.min_within * all);
    CHECK(within <= c.max_within * all);
  }
}

// A flood of one tenant must not count against the others.
TEST_CASE("excess of one tenant does not use up another tenant's quota") {
  TenantQuota quotas({{0.5, 10}, {0.5, 10}}, 1);
  TenantQuota::Micros now = kSecond;
  CHECK(CountWithinQuota(quotas, 0, 1'000, kSecond, &now) < 1'000);
  CHECK(CountWithinQuota(quotas, 1, 10, kSecond, &now) == 10);
}

TEST_CASE("a used-up quota is refilled over time, up to two seconds' worth") {
  TenantQuota quotas({{0, 10}}, 1);
  TenantQuota::Micros now = kSecond;
  CountWithinQuota(quotas, 0, 1'000, 1'000, &now);
  CHECK(quotas.IsOver(0, now));
  now += 100 * kSecond;
  int burst = CountWithinQuota(quotas, 0, 1'000, 1'000, &now);
  CHECK(burst == 26);  // two seconds at ten per second, and the tolerance
}

TEST_CASE("a quota can change in use, and a removed index is inactive until it is set again") {
  TenantQuota quotas({{0, 10}}, 1);
  TenantQuota::Micros now = kSecond;
  CHECK(CountWithinQuota(quotas, 0, 600, 60 * kSecond, &now) == 600);
  quotas.Set(0, true, {0, 2});  // the saved tokens are limited to the new burst
  CHECK(CountWithinQuota(quotas, 0, 600, 60 * kSecond, &now) < 200);
  quotas.Set(2, true, {0, 10});  // a new index; index 1 stays inactive
  CHECK_FALSE(quotas.IsOver(2, now));
  CHECK(quotas.IsOver(1, now));
  quotas.Set(0, false, {});
  CHECK(quotas.IsOver(0, now));
  quotas.Set(0, true, {0, 1});
  CHECK_FALSE(quotas.IsOver(0, now));  // full on first use
  CHECK(quotas.IsOver(-1, now));
  quotas.Set(-1, true, {1, 1e6});
  CHECK(quotas.IsOver(-1, now));
  // Without active tenants there are no quotas.
  quotas.Set(0, false, {});
  quotas.Set(0, false, {});
  quotas.Set(2, false, {});
  CHECK_FALSE(quotas.IsOver(-1, now));
}

// A client must not escape its quota by naming no tenant.
TEST_CASE("unknown tenants are over quota, unless there are no tenants at all") {
  TenantQuota some({{1, 1e6}}, 1);
  for (int tenant : {-1, 1, 1'000'000}) CHECK(some.IsOver(tenant, kSecond));
  CHECK_FALSE(some.IsOver(0, kSecond));
  TenantQuota none({}, 1);
  for (int tenant : {-1, 0, 7}) CHECK_FALSE(none.IsOver(tenant, kSecond));
}

}  // namespace
}  // namespace dappletiller::limits
