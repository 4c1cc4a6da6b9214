// Class-dependent assignment: the cutoff, the rotation, the queue of long requests and reservations.
#include <gtest/gtest.h>

#include <set>

#include "balancer/test_proxy.hpp"

namespace dappletiller::balancer::testing {
namespace {

constexpr Micros kShort = 20 * kMs;
constexpr Micros kLong = 200 * kMs;

TEST(Assignment, ShortRequestsAreSentAtOnceRoundRobin) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2), Entry(3), Entry(4)});
  std::set<ServerId> first;
  std::set<ServerId> second;
  for (RequestId id = 1; id <= 8; ++id) {
    proxy.Arrive(id, kShort);
    ASSERT_TRUE(proxy.WasSent(id));
    (id <= 4 ? first : second).insert(proxy.ServerOf(id));
    proxy.now += 100 * kMs;
    proxy.EndAttempt(id, Outcome::kServed, 0, kShort);
  }
  EXPECT_EQ(first.size(), 4u);
  EXPECT_EQ(second.size(), 4u);
}

TEST(Assignment, UnhintedRequestsAreShort) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1)});
  proxy.LearnCutoff();
  proxy.Arrive(1, kShort);
  proxy.Arrive(2, 0);
  EXPECT_TRUE(proxy.WasSent(2));
}

TEST(Assignment, LongRequestWaitsForAServerWithNothingInFlight) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1)});
  proxy.LearnCutoff();
  proxy.Arrive(1, kShort);
  proxy.Arrive(2, kLong);
  EXPECT_FALSE(proxy.WasSent(2));
  proxy.now += kShort;
  proxy.EndAttempt(1, Outcome::kServed, 0, kShort);
  EXPECT_TRUE(proxy.WasSent(2));
}

TEST(Assignment, SmallestEstimateIsReleasedFirst) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1)});
  proxy.LearnCutoff();
  proxy.Arrive(1, kShort);
  proxy.Arrive(2, kLong + 60 * kMs);
  proxy.Arrive(3, kLong + 20 * kMs);
  proxy.Arrive(4, kLong + 40 * kMs);
  proxy.now += kShort;
  proxy.EndAttempt(1, Outcome::kServed, 0, kShort);
  ASSERT_EQ(proxy.sends.size(), 2u);
  EXPECT_EQ(proxy.sends[1].id, 3u);
}

TEST(Assignment, AgingLetsAnOlderLongerRequestOvertake) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1)});
  proxy.LearnCutoff();
  proxy.Arrive(1, kShort);
  proxy.Arrive(2, 3 * kLong);
  proxy.AdvanceTime(101 * kMs);  // T_u is a tenth of the objective, so 600 ms has aged to 300 ms
  proxy.Arrive(3, 2 * kLong);
  proxy.EndAttempt(1, Outcome::kServed, 0, 101 * kMs);
  EXPECT_TRUE(proxy.WasSent(2));
  EXPECT_FALSE(proxy.WasSent(3));
}

TEST(Assignment, RequestAgedBelowTheCutoffIsSentToTheNextUnreservedServer) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2)});
  proxy.LearnCutoff();
  proxy.Arrive(1, kShort);
  proxy.Arrive(2, kShort);
  proxy.Arrive(3, kLong);
  EXPECT_FALSE(proxy.WasSent(3));
  for (int i = 0; i < 6 && !proxy.WasSent(3); ++i) proxy.AdvanceTime(101 * kMs);
  ASSERT_TRUE(proxy.WasSent(3));
  // It reserves its server too, so the next request goes to the other one.
  proxy.Arrive(4, kShort);
  EXPECT_NE(proxy.ServerOf(4), proxy.ServerOf(3));
}

class ReservationEnds : public ::testing::TestWithParam<Outcome> {};

TEST_P(ReservationEnds, WithTheAttemptWhateverItsOutcome) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2)});
  proxy.LearnCutoff();
  proxy.Arrive(1, kLong, kUnsafeClass);
  ASSERT_TRUE(proxy.WasSent(1));
  for (RequestId id = 2; id < 6; ++id) {
    proxy.Arrive(id, kShort);
    EXPECT_NE(proxy.ServerOf(id), proxy.ServerOf(1)) << "a reserved server got request " << id;
  }
  ServerId reserved = proxy.ServerOf(1);
  proxy.now += kLong;
  proxy.EndAttempt(1, GetParam(), 0, kLong);
  proxy.now += 20'000 * kMs;
  std::set<ServerId> used;
  for (RequestId id = 10; id < 16; ++id) {
    proxy.Arrive(id, kShort);
    used.insert(proxy.ServerOf(id));
    proxy.now += kShort;
    proxy.EndAttempt(id, Outcome::kServed, 0, kShort);
  }
  EXPECT_EQ(used.count(reserved), 1u);
}

INSTANTIATE_TEST_SUITE_P(Outcomes, ReservationEnds,
                         ::testing::Values(Outcome::kServed, Outcome::kError, Outcome::kRejected,
                                           Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset,
                                           Outcome::kCancelled, Outcome::kNotSent));

// A large request must not be late on a slow machine while a fast one is idle. The speed of each kind has to
// be learned from a few responses, since in a large fleet a proxy sees little of each kind.
TEST(Assignment, LargeRequestGoesWhereItMeetsItsObjective) {
  constexpr int kFastKind = 0;
  constexpr int kSlowKind = 1;
  std::vector<ServerEntry> entries;
  for (ServerId id = 1; id <= 12; ++id) {
    entries.push_back(Entry(id));
    entries.back().kind = id <= 3 ? kFastKind : kSlowKind;
  }
  TestProxy proxy(BasicSettings());
  proxy.SetServers(entries);
  proxy.LearnCutoff();
  // A slow machine takes three times the hint, a fast one half of it.
  auto latency = [](ServerId server, Micros hint) { return server <= 3 ? hint / 2 : 3 * hint; };
  auto answer = [&](RequestId id, Micros hint) {
    Micros span = latency(proxy.ServerOf(id), hint);
    proxy.now += span;
    proxy.EndAttempt(id, Outcome::kServed, 0, span);
  };
  for (RequestId id = 1; id <= 60; ++id) {
    proxy.Arrive(id, kLong);
    answer(id, kLong);
    proxy.now += 500 * kMs;
  }
  int late = 0;
  for (RequestId id = 100; id < 130; ++id) {
    proxy.Arrive(id, 3 * kLong);
    ASSERT_TRUE(proxy.WasSent(id));
    late += latency(proxy.ServerOf(id), 3 * kLong) > 1000 * kMs;
    answer(id, 3 * kLong);
    proxy.now += 500 * kMs;
  }
  EXPECT_EQ(late, 0);
}

TEST(Assignment, WithEveryServerReservedShortRequestsQueueAheadOfLongOnes) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2)});
  proxy.LearnCutoff();
  proxy.Arrive(1, kLong);
  proxy.Arrive(2, kLong);
  ASSERT_TRUE(proxy.WasSent(1) && proxy.WasSent(2));
  proxy.Arrive(3, kLong);
  proxy.Arrive(4, kShort);
  EXPECT_FALSE(proxy.WasSent(4));
  proxy.now += 50 * kMs;  // before request 3 has aged below the cutoff
  proxy.EndAttempt(1, Outcome::kServed, 0, 50 * kMs);
  EXPECT_TRUE(proxy.WasSent(4));
  EXPECT_FALSE(proxy.WasSent(3));
}

// If all hints are similar, half of the requests would be long and reserve all servers.
TEST(Assignment, SimilarHintsMakeNoLongRequests) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2)});
  for (RequestId id = 1; id <= 200; ++id) {
    proxy.now += 30 * kMs;
    proxy.Arrive(id, kShort + (id % 3) * kMs);
    ASSERT_TRUE(proxy.WasSent(id));
    proxy.EndAttempt(id, Outcome::kServed, 0, kShort);
  }
  for (RequestId id = 300; id < 304; ++id) {
    proxy.Arrive(id, kShort + 2 * kMs);
    EXPECT_TRUE(proxy.WasSent(id));
  }
}

// A server that delays a request far beyond its hint must lose its turn.
TEST(Assignment, ServerWithALateAttemptLosesItsTurn) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2), Entry(3)});
  proxy.LearnCutoff();
  proxy.Arrive(1, kShort);
  ServerId slow = proxy.ServerOf(1);
  proxy.now += 80 * kMs;
  for (RequestId id = 2; id < 8; ++id) {  // until it is suspected lost
    proxy.Arrive(id, kShort);
    EXPECT_NE(proxy.ServerOf(id), slow);
    proxy.now += kShort;
    proxy.EndAttempt(id, Outcome::kServed, 0, kShort);
  }
}

// Short requests must not be rejected or queued while the only suitable servers are reserved. Happens when
// several servers drain and reject requests before the endpoint list shows it.
TEST(Assignment, ShortRequestGoesToTheLeastLoadedReservedServerIfNoOtherCanServeIt) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2), Entry(3)});
  proxy.LearnCutoff();
  proxy.Arrive(1, 400 * kMs);
  proxy.Arrive(2, 90 * kMs);
  ServerId busy = proxy.ServerOf(1);
  ServerId less_loaded = proxy.ServerOf(2);
  ASSERT_NE(busy, less_loaded);
  proxy.Arrive(3, kShort);  // the third server rejects it: its queue is full
  EXPECT_EQ(proxy.ServerOf(3), 6 - busy - less_loaded);
  proxy.EndAttempt(3, Outcome::kRejected, 0, kMs);
  proxy.Arrive(4, kShort);
  EXPECT_EQ(proxy.ServerOf(4), less_loaded);
  EXPECT_EQ(proxy.CountActions<Reject>(), 0);
}

// A server that fails immediately has nothing in flight, which must not attract every long request.
TEST(Assignment, ServerThatFailsFastDoesNotAttractLongRequests) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2), Entry(3), Entry(4)});
  proxy.LearnCutoff();
  int sent_to_failing = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    proxy.Arrive(id, kLong, kUnsafeClass);
    if (!proxy.WasSent(id)) continue;
    bool failing = proxy.ServerOf(id) == 2;
    sent_to_failing += failing;
    proxy.now += failing ? kMs : kLong;
    proxy.EndAttempt(id, failing ? Outcome::kError : Outcome::kServed, 0, failing ? kMs : kLong);
  }
  EXPECT_GT(sent_to_failing, 0);
  EXPECT_LE(sent_to_failing, 12);
}

// A proxy with far more than its share of the traffic must not overload its own zone without ever using
// others.
TEST(Assignment, RequestsLeaveACongestedZone) {
  Settings s = BasicSettings();
  s.zones = 2;
  s.cross_zone_cost = 0.03;
  TestProxy proxy(s);
  proxy.SetServers({Entry(1, 0), Entry(2, 0), Entry(3, 1), Entry(4, 1)});
  proxy.LearnCutoff();
  int crossed = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    proxy.Arrive(id, kShort);
    if (proxy.WasSent(id) && proxy.ServerOf(id) >= 3) ++crossed;
  }
  EXPECT_GT(crossed, 4);
}

TEST(Assignment, OwnZoneIsPreferredWhileItHasCapacity) {
  Settings s = BasicSettings();
  s.zones = 2;
  s.cross_zone_cost = 0.03;
  TestProxy proxy(s);
  proxy.SetServers({Entry(1, 0), Entry(2, 0), Entry(3, 1), Entry(4, 1)});
  for (RequestId id = 1; id <= 20; ++id) {
    proxy.Arrive(id, kShort);
    EXPECT_LE(proxy.ServerOf(id), 2u);
    proxy.now += 100 * kMs;
    proxy.EndAttempt(id, Outcome::kServed, 0, kShort);
  }
}

TEST(Assignment, SameEventsGiveSameActionsAndOtherSeedsOtherOrder) {
  auto play = [](std::uint64_t seed) {
    Settings s = BasicSettings();
    s.seed = seed;
    TestProxy proxy(s);
    std::vector<ServerEntry> list;
    for (ServerId id = 1; id <= 20; ++id) list.push_back(Entry(id));
    proxy.SetServers(list);
    std::vector<ServerId> order;
    for (RequestId id = 1; id <= 20; ++id) {
      proxy.Arrive(id, kShort);
      order.push_back(proxy.ServerOf(id));
    }
    return order;
  };
  EXPECT_EQ(play(1), play(1));
  EXPECT_NE(play(1), play(2));
}

}  // namespace
}  // namespace dappletiller::balancer::testing
