// CDA step by step.
#include <gtest/gtest.h>

#include <set>

#include "harness.hpp"

namespace sandstand::testing {
namespace {

constexpr Micros kShort = 20 * kMs;
constexpr Micros kLong = 200 * kMs;

TEST(Mechanism, ShortsGoAtOnceAndRoundRobin) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2), Entry(3), Entry(4)});
  std::set<ServerId> first;
  std::set<ServerId> second;
  for (RequestId id = 1; id <= 8; ++id) {
    g.Arrive(id, kShort);
    ASSERT_TRUE(g.Sent(id));
    (id <= 4 ? first : second).insert(g.ServerOf(id));
    g.now += 100 * kMs;
    g.End(id, Outcome::kServed, 0, kShort);
  }
  EXPECT_EQ(first.size(), 4u);
  EXPECT_EQ(second.size(), 4u);
}

TEST(Mechanism, UnhintedRequestsAreShort) {
  Gateway g(BasicSettings());
  g.List({Entry(1)});
  g.Train();
  g.Arrive(1, kShort);
  g.Arrive(2, 0);
  EXPECT_TRUE(g.Sent(2));
}

TEST(Mechanism, LongWaitsForAServerThatHoldsNothingOfOurs) {
  Gateway g(BasicSettings());
  g.List({Entry(1)});
  g.Train();
  g.Arrive(1, kShort);
  g.Arrive(2, kLong);
  EXPECT_FALSE(g.Sent(2));
  g.now += kShort;
  g.End(1, Outcome::kServed, 0, kShort);
  EXPECT_TRUE(g.Sent(2));
}

TEST(Mechanism, SmallestEstimateIsReleasedFirst) {
  Gateway g(BasicSettings());
  g.List({Entry(1)});
  g.Train();
  g.Arrive(1, kShort);
  g.Arrive(2, kLong + 60 * kMs);
  g.Arrive(3, kLong + 20 * kMs);
  g.Arrive(4, kLong + 40 * kMs);
  g.now += kShort;
  g.End(1, Outcome::kServed, 0, kShort);
  ASSERT_EQ(g.sends.size(), 2u);
  EXPECT_EQ(g.sends[1].id, 3u);
}

TEST(Mechanism, AgeingLetsAnOlderLongerRequestOvertake) {
  Gateway g(BasicSettings());
  g.List({Entry(1)});
  g.Train();
  g.Arrive(1, kShort);
  g.Arrive(2, 3 * kLong);
  g.Tick(101 * kMs);  // T_u is a tenth of the aim: 600 ms counts as 300 ms now
  g.Arrive(3, 2 * kLong);
  g.End(1, Outcome::kServed, 0, 101 * kMs);
  EXPECT_TRUE(g.Sent(2));
  EXPECT_FALSE(g.Sent(3));
}

TEST(Mechanism, AgedBelowTheCutoffLeavesAtOnceToTheNextUnreservedServer) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2)});
  g.Train();
  g.Arrive(1, kShort);
  g.Arrive(2, kShort);
  g.Arrive(3, kLong);
  EXPECT_FALSE(g.Sent(3));
  for (int i = 0; i < 6 && !g.Sent(3); ++i) g.Tick(101 * kMs);
  ASSERT_TRUE(g.Sent(3));
  // Reserved alike: what comes next goes to the other server.
  g.Arrive(4, kShort);
  EXPECT_NE(g.ServerOf(4), g.ServerOf(3));
}

class ReservationEnds : public ::testing::TestWithParam<Outcome> {};

TEST_P(ReservationEnds, WithTheAttemptWhateverItsOutcome) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2)});
  g.Train();
  g.Arrive(1, kLong, kUnsafeClass);
  ASSERT_TRUE(g.Sent(1));
  for (RequestId id = 2; id < 6; ++id) {
    g.Arrive(id, kShort);
    EXPECT_NE(g.ServerOf(id), g.ServerOf(1)) << "a reserved server got request " << id;
  }
  ServerId held = g.ServerOf(1);
  g.now += kLong;
  g.End(1, GetParam(), 0, kLong);
  g.now += 20'000 * kMs;
  std::set<ServerId> used;
  for (RequestId id = 10; id < 16; ++id) {
    g.Arrive(id, kShort);
    used.insert(g.ServerOf(id));
    g.now += kShort;
    g.End(id, Outcome::kServed, 0, kShort);
  }
  EXPECT_EQ(used.count(held), 1u);
}

INSTANTIATE_TEST_SUITE_P(Outcomes, ReservationEnds,
                         ::testing::Values(Outcome::kServed, Outcome::kError, Outcome::kFull,
                                           Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset,
                                           Outcome::kCancelled, Outcome::kNotSent));

// Guards against heavy requests that meet a slow machine and are late there while a fast one is free. What
// each kind does is known from a handful of answers: with many gateways none sees many of any kind.
TEST(Mechanism, AHeavyRequestGoesWhereItIsDoneWithinItsAim) {
  constexpr int kFastKind = 0;
  constexpr int kSlowKind = 1;
  std::vector<ServerEntry> entries;
  for (ServerId id = 1; id <= 12; ++id) {
    entries.push_back(Entry(id));
    entries.back().kind = id <= 3 ? kFastKind : kSlowKind;
  }
  Gateway g(BasicSettings());
  g.List(entries);
  g.Train();
  // A slow machine takes three times the hint, a fast one half of it.
  auto latency = [](ServerId server, Micros hint) { return server <= 3 ? hint / 2 : 3 * hint; };
  auto answer = [&](RequestId id, Micros hint) {
    Micros span = latency(g.ServerOf(id), hint);
    g.now += span;
    g.End(id, Outcome::kServed, 0, span);
  };
  for (RequestId id = 1; id <= 60; ++id) {
    g.Arrive(id, kLong);
    answer(id, kLong);
    g.now += 500 * kMs;
  }
  int late = 0;
  for (RequestId id = 100; id < 130; ++id) {
    g.Arrive(id, 3 * kLong);
    ASSERT_TRUE(g.Sent(id));
    late += latency(g.ServerOf(id), 3 * kLong) > 1000 * kMs;
    answer(id, 3 * kLong);
    g.now += 500 * kMs;
  }
  EXPECT_EQ(late, 0);
}

TEST(Mechanism, WithEveryServerReservedShortsWaitAndGoAheadOfLongs) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2)});
  g.Train();
  g.Arrive(1, kLong);
  g.Arrive(2, kLong);
  ASSERT_TRUE(g.Sent(1) && g.Sent(2));
  g.Arrive(3, kLong);
  g.Arrive(4, kShort);
  EXPECT_FALSE(g.Sent(4));
  g.now += 50 * kMs;  // before request 3 has aged below the cutoff
  g.End(1, Outcome::kServed, 0, 50 * kMs);
  EXPECT_TRUE(g.Sent(4));
  EXPECT_FALSE(g.Sent(3));
}

// Guards against: hints that hardly differ, of which half would be called long and reserve all servers.
TEST(Mechanism, HintsThatHardlyDifferMakeNoLongs) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2)});
  for (RequestId id = 1; id <= 200; ++id) {
    g.now += 30 * kMs;
    g.Arrive(id, kShort + (id % 3) * kMs);
    ASSERT_TRUE(g.Sent(id));
    g.End(id, Outcome::kServed, 0, kShort);
  }
  for (RequestId id = 300; id < 304; ++id) {
    g.Arrive(id, kShort + 2 * kMs);
    EXPECT_TRUE(g.Sent(id));
  }
}

// Guards against: a server whose queue holds our request far beyond what its hint explains keeps its turn.
TEST(Mechanism, AnOverdueAttemptMarksItsServerAsHeld) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2), Entry(3)});
  g.Train();
  g.Arrive(1, kShort);
  ServerId slow = g.ServerOf(1);
  g.now += 80 * kMs;
  for (RequestId id = 2; id < 8; ++id) {  // until it is in doubt
    g.Arrive(id, kShort);
    EXPECT_NE(g.ServerOf(id), slow);
    g.now += kShort;
    g.End(id, Outcome::kServed, 0, kShort);
  }
}

// Guards against shorts refused, or kept waiting, while the servers that could serve them are merely
// reserved: seen where several servers drain and turn work away before the list tells of it.
TEST(Mechanism, AShortThatNoServerInTurnCanServeGoesToTheLeastBusyReservedOne) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2), Entry(3)});
  g.Train();
  g.Arrive(1, 400 * kMs);
  g.Arrive(2, 90 * kMs);
  ServerId busy = g.ServerOf(1);
  ServerId less = g.ServerOf(2);
  ASSERT_NE(busy, less);
  g.Arrive(3, kShort);  // the third server turns it away: its queue is full
  EXPECT_EQ(g.ServerOf(3), 6 - busy - less);
  g.End(3, Outcome::kFull, 0, kMs);
  g.Arrive(4, kShort);
  EXPECT_EQ(g.ServerOf(4), less);
  EXPECT_EQ(g.Count<Refuse>(), 0);
}

// Guards against: an emptied count drawing every long to a server that fails at once.
TEST(Mechanism, AServerThatFailsFastDoesNotAttractLongs) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2), Entry(3), Entry(4)});
  g.Train();
  int to_bad = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    g.Arrive(id, kLong, kUnsafeClass);
    if (!g.Sent(id)) continue;
    bool bad = g.ServerOf(id) == 2;
    to_bad += bad;
    g.now += bad ? kMs : kLong;
    g.End(id, bad ? Outcome::kError : Outcome::kServed, 0, bad ? kMs : kLong);
  }
  EXPECT_GT(to_bad, 0);
  EXPECT_LE(to_bad, 12);
}

// Guards against: a gateway with far more than its part of the traffic jams its own zone and never crosses.
TEST(Mechanism, ACrowdedZoneLetsGo) {
  Settings s = BasicSettings();
  s.zones = 2;
  s.cross_zone_price = 0.03;
  Gateway g(s);
  g.List({Entry(1, 0), Entry(2, 0), Entry(3, 1), Entry(4, 1)});
  g.Train();
  int crossed = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    g.Arrive(id, kShort);
    if (g.Sent(id) && g.ServerOf(id) >= 3) ++crossed;
  }
  EXPECT_GT(crossed, 4);
}

TEST(Mechanism, TheOwnZoneIsPreferredWhileItHasRoom) {
  Settings s = BasicSettings();
  s.zones = 2;
  s.cross_zone_price = 0.03;
  Gateway g(s);
  g.List({Entry(1, 0), Entry(2, 0), Entry(3, 1), Entry(4, 1)});
  for (RequestId id = 1; id <= 20; ++id) {
    g.Arrive(id, kShort);
    EXPECT_LE(g.ServerOf(id), 2u);
    g.now += 100 * kMs;
    g.End(id, Outcome::kServed, 0, kShort);
  }
}

TEST(Mechanism, SameEventsSameActionsAndOtherSeedsOtherOrder) {
  auto play = [](std::uint64_t seed) {
    Settings s = BasicSettings();
    s.seed = seed;
    Gateway g(s);
    std::vector<ServerEntry> list;
    for (ServerId id = 1; id <= 20; ++id) list.push_back(Entry(id));
    g.List(list);
    std::vector<ServerId> order;
    for (RequestId id = 1; id <= 20; ++id) {
      g.Arrive(id, kShort);
      order.push_back(g.ServerOf(id));
    }
    return order;
  };
  EXPECT_EQ(play(1), play(1));
  EXPECT_NE(play(1), play(2));
}

}  // namespace
}  // namespace sandstand::testing
