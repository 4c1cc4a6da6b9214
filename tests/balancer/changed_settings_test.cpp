// Settings that change while the module runs: which requests and attempts they bind.
#include <gtest/gtest.h>

#include "balancer/test_proxy.hpp"

namespace dappletiller::balancer::testing {
namespace {

constexpr Micros kShort = 20 * kMs;
constexpr int kAddedClass = 3;  // behind those of BasicSettings()

ClassSettings KeyedClass(KeyScope scope, Micros lifetime) {
  ClassSettings keyed = BasicSettings().classes[kKeyedClass];
  keyed.key_scope = scope;
  keyed.key_lifetime = lifetime;
  return keyed;
}

TEST(ClassChange, RequestOfAnAddedClassIsRetriedWithinItsOwnScopeOnly) {
  Settings settings = BasicSettings();
  settings.classes[kKeyedClass].key_scope = KeyScope::kAllServers;
  TestProxy proxy(settings);
  proxy.SetServers({Entry(1, 0, 1), Entry(2, 0, 2), Entry(3, 0, 1)});
  proxy.Handle(ClassChanged{kAddedClass, true, KeyedClass(KeyScope::kSameCell, 2000 * kMs)});
  proxy.Arrive(1, kShort, kAddedClass);
  const ServerId first = proxy.ServerOf(1);
  proxy.EndAttempt(1, Outcome::kError);
  EXPECT_EQ(proxy.CountActions<Reject>(), 0);  // it may have run, and its group is not all servers
  const bool retried = proxy.CountActions<Send>() == 1;
  EXPECT_EQ(retried, first != 2);  // server 2 is alone in its cell
  if (retried) {
    EXPECT_EQ(proxy.ServerOf(1) + first, 4u);
  }
}

TEST(ClassChange, OpenRequestKeepsTheRulesOfItsArrival) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2), Entry(3), Entry(4)});
  proxy.Arrive(1, kShort, kUnsafeClass);
  ClassSettings safe = BasicSettings().classes[kSafeClass];
  proxy.Handle(ClassChanged{kUnsafeClass, true, safe});
  proxy.EndAttempt(1, Outcome::kError);
  EXPECT_EQ(proxy.CountActions<Fail>(), 1);
  EXPECT_EQ(proxy.CountActions<Send>(), 0);
  proxy.Arrive(2, kShort, kUnsafeClass);  // the class is safe now
  proxy.EndAttempt(2, Outcome::kError);
  EXPECT_EQ(proxy.CountActions<Send>(), 1);
}

TEST(ClassChange, ClassThatLeftTheConfigurationStillServesLateRequests) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1)});
  proxy.Handle(ClassChanged{kSafeClass, false, BasicSettings().classes[kSafeClass]});
  proxy.Arrive(1, kShort, kSafeClass);
  EXPECT_TRUE(proxy.WasSent(1));
}

TEST(ClassChange, UnusableSettingsAndUnknownIndexesAreIgnored) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1)});
  proxy.Handle(ClassChanged{kAddedClass, true, ClassSettings()});
  proxy.Handle(ClassChanged{-1, true, BasicSettings().classes[kSafeClass]});
  proxy.Arrive(1, kShort, kAddedClass);
  EXPECT_FALSE(proxy.WasSent(1));
  EXPECT_EQ(proxy.balancer.ignored_events(), 3u);
}

TEST(SettingsChange, FewerAttemptsBindOpenRequestsAndMoreBindNewOnesOnly) {
  const std::vector<ServerEntry> servers = {Entry(1), Entry(2), Entry(3), Entry(4)};
  Settings fewer = BasicSettings();
  fewer.max_attempts = 1;
  TestProxy lowered(BasicSettings());
  lowered.SetServers(servers);
  lowered.Arrive(1, kShort);
  lowered.Handle(SettingsChanged{fewer});
  lowered.EndAttempt(1, Outcome::kError);
  EXPECT_EQ(lowered.CountActions<Send>(), 0);
  TestProxy raised(fewer);
  raised.SetServers(servers);
  raised.Arrive(1, kShort);
  raised.Handle(SettingsChanged{BasicSettings()});
  raised.EndAttempt(1, Outcome::kError);
  EXPECT_EQ(raised.CountActions<Send>(), 0);
  raised.Arrive(2, kShort);
  raised.EndAttempt(2, Outcome::kError);
  EXPECT_EQ(raised.CountActions<Send>(), 1);
}

TEST(SettingsChange, ColderSlowStartBindsAtOnce) {
  // Counts what a server that has just started gets in the first second.
  auto count_sent = [](const Settings& at_start, const Settings& later) {
    TestProxy proxy(at_start);
    proxy.SetServers({Entry(1)});
    proxy.LearnCutoff();
    proxy.Handle(SettingsChanged{later});
    proxy.SetServers({Entry(1, 0, 0, ServerState::kReady, proxy.now)}, EndpointListUpdate::Kind::kDelta);
    for (RequestId id = 1; id <= 200; ++id) {
      proxy.now += 5 * kMs;
      proxy.Arrive(id, kShort);
      if (proxy.WasSent(id)) proxy.EndAttempt(id, Outcome::kServed, 0, kShort);
    }
    int sent = 0;
    for (RequestId id = 1; id <= 200; ++id) sent += proxy.WasSent(id);
    return sent;
  };
  Settings colder = BasicSettings();
  colder.initial_capacity = 0.02;
  colder.overload_factor = 1.5;
  EXPECT_EQ(count_sent(BasicSettings(), colder), count_sent(colder, colder));
  EXPECT_LT(count_sent(colder, colder), count_sent(BasicSettings(), BasicSettings()));
}

}  // namespace
}  // namespace dappletiller::balancer::testing
