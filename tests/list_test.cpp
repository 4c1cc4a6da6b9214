// Following the list of servers, settings and misuse.
#include <gtest/gtest.h>

#include <set>
#include <stdexcept>

#include "harness.hpp"

namespace sandstand::testing {
namespace {

Settings Asking() {
  Settings s = BasicSettings();
  s.list_on_request = true;
  s.ask_within = 10'000 * kMs;
  return s;
}

// Drives a gateway until it subscribes and returns how long that took.
Micros UntilWatch(Gateway& g, Micros limit) {
  Micros start = g.now;
  while (g.now - start < limit) {
    g.Tick(5 * kMs);
    if (g.Count<Watch>() > 0) return g.now - start;
  }
  return -1;
}

TEST(List, PushedListsAreNotAskedFor) {
  Gateway g(BasicSettings());
  g.List({Entry(1)});
  EXPECT_EQ(UntilWatch(g, 60'000 * kMs), -1);
}

// Guards against a storm on the list service when all gateways start at once.
TEST(List, GatewaysThatStartTogetherAskSpreadOutAndInTime) {
  std::set<Micros> times;
  for (int seed = 0; seed < 30; ++seed) {
    Settings s = Asking();
    s.seed = seed;
    Gateway g(s);
    g.List({Entry(1)});
    Micros t = UntilWatch(g, 20'000 * kMs);
    ASSERT_GT(t, 0);
    // A process that starts anew must not take a list from before a restart of the servers for true for long.
    ASSERT_LE(t, s.ask_within / 8);
    times.insert(t / (100 * kMs));
  }
  EXPECT_GE(times.size(), 6u);
}

TEST(List, AnAnsweredSubscriptionIsLeftAlone) {
  Gateway g(Asking());
  g.List({Entry(1)});
  ASSERT_GT(UntilWatch(g, 20'000 * kMs), 0);
  g.List({Entry(1)}, ListUpdate::Kind::kFull);
  EXPECT_EQ(UntilWatch(g, 60'000 * kMs), -1);
}

TEST(List, FailedCallsAreRepeatedWithGrowingPauses) {
  Gateway g(Asking());
  g.List({Entry(1)});
  ASSERT_GT(UntilWatch(g, 20'000 * kMs), 0);
  std::vector<Micros> waits;
  for (int i = 0; i < 4; ++i) {
    g.List({}, ListUpdate::Kind::kFailed);
    waits.push_back(UntilWatch(g, 40'000 * kMs));
    ASSERT_GT(waits.back(), 0);
    EXPECT_LT(waits.back(), 40'000 * kMs);
  }
  EXPECT_GT(waits[3], waits[0]);
  // The list held so far stays in use.
  g.Arrive(1, 20 * kMs);
  EXPECT_TRUE(g.Sent(1));
}

TEST(List, ABrokenSubscriptionIsRenewed) {
  Gateway g(Asking());
  g.List({Entry(1)});
  ASSERT_GT(UntilWatch(g, 20'000 * kMs), 0);
  g.List({Entry(1)}, ListUpdate::Kind::kChanges);
  g.Tick(5'000 * kMs);
  g.List({}, ListUpdate::Kind::kFailed);
  EXPECT_GT(UntilWatch(g, 10'000 * kMs), 0);
}

TEST(List, AnUnansweredCallIsRepeated) {
  Gateway g(Asking());
  g.List({Entry(1)});
  ASSERT_GT(UntilWatch(g, 20'000 * kMs), 0);
  EXPECT_GT(UntilWatch(g, 11'000 * kMs), 0);
}

TEST(List, WaitingRequestsLeaveWhenServersAppear) {
  Gateway g(BasicSettings());
  g.List({});
  g.Arrive(1, 20 * kMs);
  EXPECT_FALSE(g.Sent(1));
  g.now += 50 * kMs;
  g.List({Entry(1)}, ListUpdate::Kind::kChanges);
  EXPECT_TRUE(g.Sent(1));
}

TEST(List, EntriesInUnknownZonesAreIgnoredAndCounted) {
  Gateway g(BasicSettings());
  g.List({Entry(1, 4), Entry(2)});
  EXPECT_EQ(g.balancer.ignored_events(), 1u);
  for (RequestId id = 1; id <= 4; ++id) {
    g.Arrive(id, 20 * kMs);
    EXPECT_EQ(g.ServerOf(id), 2u);
    g.now += 50 * kMs;
    g.End(id);
  }
}

TEST(Misuse, ForbiddenEventsAreIgnoredAndCounted) {
  Gateway g(BasicSettings());
  g.List({Entry(1)});
  g.End(5);
  g.Arrive(1, 20 * kMs, 77);
  g.Arrive(2, 20 * kMs);
  g.Arrive(2, 20 * kMs);
  g.End(2, Outcome::kServed, 9);
  g.Do(StreamStarted{3, 0});
  EXPECT_EQ(g.balancer.ignored_events(), 5u);
  EXPECT_EQ(g.sends.size(), 1u);
  g.End(2);
  g.End(2);
  EXPECT_EQ(g.balancer.ignored_events(), 6u);
}

TEST(Misuse, ImpossibleSettingsThrow) {
  EXPECT_THROW(Balancer{Settings{}}, std::invalid_argument);
  Settings s = BasicSettings();
  s.zone = 1;
  EXPECT_THROW(Balancer{s}, std::invalid_argument);
  s = BasicSettings();
  s.classes[0].aim = 0;
  EXPECT_THROW(Balancer{s}, std::invalid_argument);
  s = BasicSettings();
  s.gateways = 0;
  EXPECT_THROW(Balancer{s}, std::invalid_argument);
  s = BasicSettings();
  s.max_attempts = 0;
  EXPECT_THROW(Balancer{s}, std::invalid_argument);
}

TEST(Stream, ABegunStreamHasNoDeadline) {
  Settings s = BasicSettings();
  s.classes[0].stream = true;
  Gateway g(s);
  g.List({Entry(1), Entry(2), Entry(3)});
  g.Arrive(1, 20 * kMs);
  g.now += 100 * kMs;
  g.Do(StreamStarted{1, 0});
  g.Tick(60'000 * kMs);
  EXPECT_EQ(g.Count<Fail>() + g.Count<Refuse>() + g.Count<Cancel>(), 0);
  g.End(1, Outcome::kServed, 0, 60'100 * kMs);
  EXPECT_EQ(g.balancer.ignored_events(), 0u);
}

}  // namespace
}  // namespace sandstand::testing
