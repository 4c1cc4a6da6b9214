// Following the endpoint list, invalid settings and violations of the contract.
#include <gtest/gtest.h>

#include <set>
#include <stdexcept>

#include "balancer/test_proxy.hpp"

namespace dappletiller::balancer::testing {
namespace {

Settings SettingsWithPolling() {
  Settings s = BasicSettings();
  s.endpoints_on_request = true;
  s.poll_interval = 10'000 * kMs;
  return s;
}

// Advances the clock until the proxy subscribes; returns the time that took, or -1.
Micros TimeUntilWatch(TestProxy& proxy, Micros limit) {
  Micros start = proxy.now;
  while (proxy.now - start < limit) {
    proxy.AdvanceTime(5 * kMs);
    if (proxy.CountActions<Watch>() > 0) return proxy.now - start;
  }
  return -1;
}

TEST(EndpointList, PushedListIsNotPolled) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1)});
  EXPECT_EQ(TimeUntilWatch(proxy, 60'000 * kMs), -1);
}

// Proxies that start at the same time must not overload discovery.
TEST(EndpointList, ProxiesThatStartTogetherSpreadTheirFirstPoll) {
  std::set<Micros> times;
  for (int seed = 0; seed < 30; ++seed) {
    Settings s = SettingsWithPolling();
    s.seed = seed;
    TestProxy proxy(s);
    proxy.SetServers({Entry(1)});
    Micros t = TimeUntilWatch(proxy, 20'000 * kMs);
    ASSERT_GT(t, 0);
    // After a restart the cached list may be older than a restart of the servers, so it must be replaced
    // soon.
    ASSERT_LE(t, s.poll_interval / 8);
    times.insert(t / (100 * kMs));
  }
  EXPECT_GE(times.size(), 6u);
}

TEST(EndpointList, EstablishedWatchIsNotRenewed) {
  TestProxy proxy(SettingsWithPolling());
  proxy.SetServers({Entry(1)});
  ASSERT_GT(TimeUntilWatch(proxy, 20'000 * kMs), 0);
  proxy.SetServers({Entry(1)}, EndpointListUpdate::Kind::kSnapshot);
  EXPECT_EQ(TimeUntilWatch(proxy, 60'000 * kMs), -1);
}

TEST(EndpointList, FailedPollsAreRetriedWithBackoff) {
  TestProxy proxy(SettingsWithPolling());
  proxy.SetServers({Entry(1)});
  ASSERT_GT(TimeUntilWatch(proxy, 20'000 * kMs), 0);
  std::vector<Micros> waits;
  for (int i = 0; i < 4; ++i) {
    proxy.SetServers({}, EndpointListUpdate::Kind::kFailed);
    waits.push_back(TimeUntilWatch(proxy, 40'000 * kMs));
    ASSERT_GT(waits.back(), 0);
    EXPECT_LT(waits.back(), 40'000 * kMs);
  }
  EXPECT_GT(waits[3], waits[0]);
  // The previous list stays in use.
  proxy.Arrive(1, 20 * kMs);
  EXPECT_TRUE(proxy.WasSent(1));
}

TEST(EndpointList, BrokenWatchIsRenewed) {
  TestProxy proxy(SettingsWithPolling());
  proxy.SetServers({Entry(1)});
  ASSERT_GT(TimeUntilWatch(proxy, 20'000 * kMs), 0);
  proxy.SetServers({Entry(1)}, EndpointListUpdate::Kind::kDelta);
  proxy.AdvanceTime(5'000 * kMs);
  proxy.SetServers({}, EndpointListUpdate::Kind::kFailed);
  EXPECT_GT(TimeUntilWatch(proxy, 10'000 * kMs), 0);
}

TEST(EndpointList, UnansweredPollIsRepeated) {
  TestProxy proxy(SettingsWithPolling());
  proxy.SetServers({Entry(1)});
  ASSERT_GT(TimeUntilWatch(proxy, 20'000 * kMs), 0);
  EXPECT_GT(TimeUntilWatch(proxy, 11'000 * kMs), 0);
}

TEST(EndpointList, QueuedRequestsAreSentWhenServersAppear) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({});
  proxy.Arrive(1, 20 * kMs);
  EXPECT_FALSE(proxy.WasSent(1));
  proxy.now += 50 * kMs;
  proxy.SetServers({Entry(1)}, EndpointListUpdate::Kind::kDelta);
  EXPECT_TRUE(proxy.WasSent(1));
}

TEST(EndpointList, EntriesInUnknownZonesAreIgnoredAndCounted) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1, 4), Entry(2)});
  EXPECT_EQ(proxy.balancer.ignored_events(), 1u);
  for (RequestId id = 1; id <= 4; ++id) {
    proxy.Arrive(id, 20 * kMs);
    EXPECT_EQ(proxy.ServerOf(id), 2u);
    proxy.now += 50 * kMs;
    proxy.EndAttempt(id);
  }
}

TEST(Contract, ViolatingEventsAreIgnoredAndCounted) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1)});
  proxy.EndAttempt(5);
  proxy.Arrive(1, 20 * kMs, 77);
  proxy.Arrive(2, 20 * kMs);
  proxy.Arrive(2, 20 * kMs);
  proxy.EndAttempt(2, Outcome::kServed, 9);
  proxy.Handle(StreamStarted{3, 0});
  EXPECT_EQ(proxy.balancer.ignored_events(), 5u);
  EXPECT_EQ(proxy.sends.size(), 1u);
  proxy.EndAttempt(2);
  proxy.EndAttempt(2);
  EXPECT_EQ(proxy.balancer.ignored_events(), 6u);
}

TEST(Contract, UnusableSettingsThrow) {
  EXPECT_THROW(Balancer{Settings{}}, std::invalid_argument);
  Settings s = BasicSettings();
  s.zone = 1;
  EXPECT_THROW(Balancer{s}, std::invalid_argument);
  s = BasicSettings();
  s.classes[0].latency_objective = 0;
  EXPECT_THROW(Balancer{s}, std::invalid_argument);
  s = BasicSettings();
  s.proxies = 0;
  EXPECT_THROW(Balancer{s}, std::invalid_argument);
  s = BasicSettings();
  s.max_attempts = 0;
  EXPECT_THROW(Balancer{s}, std::invalid_argument);
}

TEST(Stream, StartedStreamHasNoDeadline) {
  Settings s = BasicSettings();
  s.classes[0].streaming = true;
  TestProxy proxy(s);
  proxy.SetServers({Entry(1), Entry(2), Entry(3)});
  proxy.Arrive(1, 20 * kMs);
  proxy.now += 100 * kMs;
  proxy.Handle(StreamStarted{1, 0});
  proxy.AdvanceTime(60'000 * kMs);
  EXPECT_EQ(proxy.CountActions<Fail>() + proxy.CountActions<Reject>() + proxy.CountActions<Cancel>(), 0);
  proxy.EndAttempt(1, Outcome::kServed, 0, 60'100 * kMs);
  EXPECT_EQ(proxy.balancer.ignored_events(), 0u);
}

}  // namespace
}  // namespace dappletiller::balancer::testing
