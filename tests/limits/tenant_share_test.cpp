#include "limits/tenant_share.hpp"

#include <doctest/doctest.h>

#include <string>

namespace dappletiller::limits {
namespace {

constexpr TenantShare::Micros kSecond = 1'000'000;

// Of `calls` calls of one tenant, evenly over `span`, how many were within its share; time goes on in `now`.
int Within(TenantShare& share, int tenant, int calls, TenantShare::Micros span, TenantShare::Micros* now) {
  int within = 0;
  for (int i = 0; i < calls; ++i) within += !share.Over(tenant, *now += span / calls);
  return within;
}

TEST_CASE("a tenant is within its share by its quota or by its portion of what passes here") {
  struct Case {
    std::string what;
    double portion, quota;
    int proxies, alone, others;  // calls a second: the tenant's, and those of others beside it
    double least, most;          // the part that is within its share
  };
  for (const Case& c :
       {Case{"at its quota", 0, 10, 1, 10, 0, 1, 1},
        Case{"a little above it, as chance has it", 0, 10, 1, 12, 0, 1, 1},
        Case{"at six times its quota", 0, 10, 1, 60, 60, 0.15, 0.35},
        Case{"at its whole quota here, with two proxies", 0, 10, 2, 40, 40, 0.1, 0.3},
        Case{"far above its quota, but with its portion of all that passes", 0.5, 1, 1, 60, 60, 0.85, 1},
        Case{"far above both", 0.1, 1, 1, 100, 20, 0.1, 0.25},
        Case{"alone here with a portion of one half", 0.5, 1, 1, 60, 0, 0.5, 0.8}}) {
    CAPTURE(c.what);
    TenantShare share({{c.portion, c.quota}, {1, 1e6}}, c.proxies);
    TenantShare::Micros now = kSecond;
    int within = 0, all = 0;
    for (int second = 0; second < 30; ++second) {
      int mixed = c.alone + c.others;
      for (int i = 0; i < mixed; ++i) {
        now += kSecond / mixed;
        // Spread evenly: the tenant's calls fall where its count passes the next whole number.
        bool own = (i + 1) * c.alone / mixed > i * c.alone / mixed;
        bool over = share.Over(own ? 0 : 1, now);
        if (own) ++all, within += !over;
        if (!own) CHECK_FALSE(over);
      }
    }
    CHECK(all == 30 * c.alone);
    CHECK(within >= c.least * all);
    CHECK(within <= c.most * all);
  }
}

// Guards against a flood of one branch being held against the others.
TEST_CASE("what one tenant sends beyond its share uses up nobody else's") {
  TenantShare share({{0.5, 10}, {0.5, 10}}, 1);
  TenantShare::Micros now = kSecond;
  CHECK(Within(share, 0, 1'000, kSecond, &now) < 1'000);
  CHECK(Within(share, 1, 10, kSecond, &now) == 10);
}

TEST_CASE("a share that was used up comes back with time, and is saved up for two seconds at most") {
  TenantShare share({{0, 10}}, 1);
  TenantShare::Micros now = kSecond;
  Within(share, 0, 1'000, 1'000, &now);
  CHECK(share.Over(0, now));
  now += 100 * kSecond;
  int burst = Within(share, 0, 1'000, 1'000, &now);
  CHECK(burst == 26);  // two seconds at ten a second, and the slack
}

TEST_CASE(
    "a share changes while it is in use, and a place that is freed is nobody's until it is named again") {
  TenantShare share({{0, 10}}, 1);
  TenantShare::Micros now = kSecond;
  CHECK(Within(share, 0, 600, 60 * kSecond, &now) == 600);
  share.Set(0, true, {0, 2});  // its account stays: what was saved up is cut to the new burst
  CHECK(Within(share, 0, 600, 60 * kSecond, &now) < 200);
  share.Set(2, true, {0, 10});  // a new place; the one before it is nobody's
  CHECK_FALSE(share.Over(2, now));
  CHECK(share.Over(1, now));
  share.Set(0, false, {});
  CHECK(share.Over(0, now));
  share.Set(0, true, {0, 1});
  CHECK_FALSE(share.Over(0, now));  // full when first used
  CHECK(share.Over(-1, now));
  share.Set(-1, true, {1, 1e6});
  CHECK(share.Over(-1, now));
  // With the last one gone there are no tenants at all.
  share.Set(0, false, {});
  share.Set(0, false, {});
  share.Set(2, false, {});
  CHECK_FALSE(share.Over(-1, now));
}

// Guards against a client that escapes its share by naming nobody.
TEST_CASE("who is not named in the settings has no share, unless there are no tenants at all") {
  TenantShare some({{1, 1e6}}, 1);
  for (int tenant : {-1, 1, 1'000'000}) CHECK(some.Over(tenant, kSecond));
  CHECK_FALSE(some.Over(0, kSecond));
  TenantShare none({}, 1);
  for (int tenant : {-1, 0, 7}) CHECK_FALSE(none.Over(tenant, kSecond));
}

}  // namespace
}  // namespace dappletiller::limits
