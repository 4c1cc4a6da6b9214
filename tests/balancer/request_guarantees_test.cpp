// The guarantees for requests at their limits: one final outcome in time, no repeated effect, nothing sent to
// draining servers, no overload of servers in slow start.
#include <gtest/gtest.h>

#include <map>

#include "balancer/test_proxy.hpp"

namespace dappletiller::balancer::testing {
namespace {

constexpr Micros kShort = 20 * kMs;

// ---- One final outcome, in time ----

TEST(Deadline, UnansweredRequestFailsBeforeTheClientGivesUp) {
  for (int request_class : {kKeyedClass, kUnsafeClass}) {
    TestProxy proxy(BasicSettings());
    proxy.SetServers({Entry(1)});
    proxy.Arrive(1, kShort, request_class, 500 * kMs);
    ASSERT_TRUE(proxy.WasSent(1));
    proxy.AdvanceTime(494 * kMs);
    EXPECT_EQ(proxy.CountActions<Fail>(), 0);
    proxy.AdvanceTime(1 * kMs);
    EXPECT_EQ(proxy.CountActions<Fail>(), 1);
    EXPECT_EQ(proxy.CountActions<Cancel>(), 1);
    proxy.EndAttempt(1, Outcome::kCancelled, 0, 495 * kMs);
    proxy.AdvanceTime(10'000 * kMs);
    EXPECT_EQ(proxy.CountActions<Fail>() + proxy.CountActions<Reject>() + proxy.CountActions<Send>(), 0);
  }
}

TEST(Deadline, QueuedRequestIsRejectedInTime) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({});
  proxy.Arrive(1, kShort, kUnsafeClass, 700 * kMs);
  EXPECT_EQ(proxy.CountActions<Reject>() + proxy.CountActions<Send>(), 0);
  proxy.AdvanceTime(695 * kMs);
  EXPECT_EQ(proxy.CountActions<Reject>(), 1);
}

TEST(Deadline, ExpiredDeadlineIsAnsweredAtOnce) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1)});
  proxy.Arrive(1, kShort, kUnsafeClass, 0);
  EXPECT_EQ(proxy.CountActions<Reject>(), 1);
  EXPECT_FALSE(proxy.WasSent(1));
}

TEST(Deadline, WakeUpIsScheduledNoLaterThanTheDeadline) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1)});
  proxy.Arrive(1, kShort, kUnsafeClass, 500 * kMs);
  Micros earliest = INT64_MAX;
  for (const Action& a : proxy.last_actions) {
    if (const auto* w = std::get_if<WakeAfter>(&a)) earliest = std::min(earliest, w->delay);
  }
  EXPECT_LE(earliest, 495 * kMs);
}

TEST(Deadline, NothingFollowsAfterTheClientHasDisconnected) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2)});
  proxy.Arrive(1, kShort);
  proxy.Handle(ClientDisconnected{1});
  EXPECT_EQ(proxy.CountActions<Cancel>(), 1);
  proxy.EndAttempt(1, Outcome::kError);
  EXPECT_EQ(proxy.CountActions<Send>() + proxy.CountActions<Fail>() + proxy.CountActions<Reject>(), 0);
  proxy.Handle(ClientDisconnected{1});
  proxy.Handle(ClientDisconnected{99});
  EXPECT_TRUE(proxy.last_actions.empty() ||
              proxy.CountActions<WakeAfter>() == static_cast<int>(proxy.last_actions.size()));
}

// ---- No repeated effect ----

TEST(Effect, UnsafeRequestIsNeverRetriedOnceItMayHaveRun) {
  for (Outcome o : {Outcome::kError, Outcome::kReset, Outcome::kTimeout, Outcome::kCancelled}) {
    TestProxy proxy(BasicSettings());
    proxy.SetServers({Entry(1), Entry(2)});
    proxy.Arrive(1, kShort, kUnsafeClass);
    proxy.now += 50 * kMs;
    proxy.EndAttempt(1, o);
    EXPECT_EQ(proxy.CountActions<Send>(), 0);
    EXPECT_EQ(proxy.CountActions<Reject>(), 0);
    EXPECT_EQ(proxy.CountActions<Fail>(), 1);
  }
}

TEST(Effect, UnsafeRequestIsRetriedElsewhereIfItNeverRan) {
  for (Outcome o : {Outcome::kRejected, Outcome::kConnectFailed}) {
    TestProxy proxy(BasicSettings());
    proxy.SetServers({Entry(1), Entry(2)});
    proxy.Arrive(1, kShort, kUnsafeClass);
    ServerId first = proxy.ServerOf(1);
    proxy.now += kMs;
    proxy.EndAttempt(1, o, 0, kMs);
    ASSERT_EQ(proxy.CountActions<Send>(), 1);
    EXPECT_NE(proxy.ServerOf(1), first);
  }
}

TEST(Effect, RequestIsRejectedAfterMaxAttemptsIfNoneRan) {
  Settings s = BasicSettings();
  s.max_attempts = 2;
  TestProxy proxy(s);
  proxy.SetServers({Entry(1), Entry(2), Entry(3), Entry(4)});
  proxy.Arrive(1, kShort, kUnsafeClass);
  proxy.EndAttempt(1, Outcome::kRejected, 0, kMs);
  ASSERT_EQ(proxy.sends.size(), 2u);
  proxy.EndAttempt(1, Outcome::kRejected, 1, kMs);
  EXPECT_EQ(proxy.CountActions<Send>(), 0);
  EXPECT_EQ(proxy.CountActions<Reject>(), 1);
}

TEST(Effect, KeyedRequestIsRetriedOnlyInItsCellAndWhileTheKeyIsRemembered) {
  for (Micros elapsed : {100 * kMs, 2000 * kMs}) {
    TestProxy proxy(BasicSettings());
    proxy.SetServers({Entry(1, 0, 5), Entry(2, 0, 5), Entry(3, 0, 6), Entry(4, 0, 6)});
    proxy.Arrive(1, kShort, kKeyedClass);
    ServerId first = proxy.ServerOf(1);
    proxy.now += elapsed;
    proxy.EndAttempt(1, Outcome::kError, 0, elapsed);
    for (const Send& s : proxy.sends) {
      EXPECT_EQ((s.server - 1) / 2, (first - 1) / 2) << "left its cell";
    }
    EXPECT_EQ(proxy.CountActions<Reject>(), 0) << "only KeyScope::kAllServers permits a rejection";
    EXPECT_EQ(proxy.sends.size(), elapsed >= 2000 * kMs ? 1u : 2u) << "after " << elapsed;
  }
}

TEST(Effect, KeyedRequestMayBeRejectedOnlyIfAllServersDropRepeats) {
  Settings s = BasicSettings();
  s.max_attempts = 1;
  for (KeyScope group : {KeyScope::kAllServers, KeyScope::kSameZone, KeyScope::kSameCell}) {
    s.classes[kKeyedClass].key_scope = group;
    TestProxy proxy(s);
    proxy.SetServers({Entry(1)});
    proxy.Arrive(1, kShort, kKeyedClass);
    proxy.EndAttempt(1, Outcome::kReset);
    EXPECT_EQ(proxy.CountActions<Reject>(), group == KeyScope::kAllServers ? 1 : 0);
    EXPECT_EQ(proxy.CountActions<Fail>(), group == KeyScope::kAllServers ? 0 : 1);
  }
}

// Hedged requests are not used: they did not pay off (docs/design.md).
TEST(Effect, OneAttemptOfARequestIsInFlightAtATime) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2), Entry(3)});
  proxy.Arrive(1, kShort);
  for (int i = 0; i < 25; ++i) proxy.AdvanceTime(100 * kMs);
  EXPECT_EQ(proxy.sends.size(), 1u);
}

// ---- Drains ----

TEST(Drain, NoNewRequestsOnceNotified) {
  for (ServerState state : {ServerState::kDraining, ServerState::kRemoved}) {
    TestProxy proxy(BasicSettings());
    proxy.SetServers({Entry(1), Entry(2)});
    proxy.SetServers({Entry(1, 0, 0, state)}, EndpointListUpdate::Kind::kDelta);
    for (RequestId id = 1; id <= 20; ++id) {
      proxy.Arrive(id, kShort);
      EXPECT_EQ(proxy.ServerOf(id), 2u);
      proxy.now += kShort;
      proxy.EndAttempt(id);
    }
  }
}

TEST(Drain, SnapshotWithoutAServerRemovesIt) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2)});
  proxy.SetServers({Entry(2)}, EndpointListUpdate::Kind::kSnapshot);
  for (RequestId id = 1; id <= 6; ++id) {
    proxy.Arrive(id, kShort);
    EXPECT_EQ(proxy.ServerOf(id), 2u);
    proxy.now += kShort;
    proxy.EndAttempt(id);
  }
}

TEST(Drain, QueuedRequestsAreNotSentThereEither) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1)});
  proxy.LearnCutoff();
  proxy.Arrive(1, kShort);
  proxy.Arrive(2, 200 * kMs);
  proxy.SetServers({Entry(1, 0, 0, ServerState::kDraining)}, EndpointListUpdate::Kind::kDelta);
  proxy.now += kShort;
  proxy.EndAttempt(1, Outcome::kServed, 0, kShort);
  EXPECT_FALSE(proxy.WasSent(2));
}

// ---- Slow start ----

// All proxies learn of the new server at the same time. Each uses only its share of the slow-start allowance,
// and the sum must stay within the budget.
TEST(SlowStart, AllProxiesTogetherStayWithinTheBudgetInAnyWindow) {
  std::map<int, double> received_work;  // work received, by number of cores, where the server is the only one
  for (auto [proxy_count, cores] : {std::pair(1, 1), {6, 1}, {40, 1}, {40, 4}, {100, 4}}) {
    for (bool other_servers : {true, false}) {
      std::map<Micros, double> work;  // sent to the starting server, by time
      Micros start = 1'000'000'000;
      for (int i = 0; i < proxy_count; ++i) {
        Settings s = BasicSettings();
        s.proxies = proxy_count;
        s.seed = 100 + i;
        TestProxy proxy(s, start - 1000 * kMs);
        std::vector<ServerEntry> list;
        if (other_servers) {
          for (ServerId id = 2; id < 6; ++id) list.push_back(Entry(id));
        }
        for (ServerEntry& e : list) e.concurrency = cores;
        proxy.SetServers(list);
        proxy.now = start;
        ServerEntry started = Entry(1, 0, 0, ServerState::kReady, start);
        started.concurrency = cores;
        proxy.SetServers({started}, EndpointListUpdate::Kind::kDelta);
        for (RequestId id = 1; id <= 500; ++id) {
          proxy.now += 20 * kMs;
          // Some are large: a server in slow start must not get those.
          Micros hint = id % 25 == 0 ? 2000 * kMs : 40 * kMs;
          std::size_t before = proxy.sends.size();
          proxy.Arrive(id, hint);
          if (proxy.now >= start + s.warmup_time) break;
          for (std::size_t k = before; k < proxy.sends.size(); ++k) {
            if (proxy.sends[k].server == 1)
              work[proxy.now] += static_cast<double>(proxy.sends[k].id % 25 == 0 ? 2000 : 40) * kMs;
          }
          if (proxy.WasSent(id)) proxy.EndAttempt(id, Outcome::kServed, 0, hint);
        }
      }
      Settings s = BasicSettings();
      double total = 0;
      for (const auto& [at, w] : work) {
        total += w;
        double window = 0;
        for (auto it = work.lower_bound(at); it != work.end() && it->first < at + s.overload_window; ++it) {
          window += it->second;
        }
        double part = static_cast<double>(at - start) / static_cast<double>(s.warmup_time);
        double capacity = cores * (s.initial_capacity + (1 - s.initial_capacity) * part);
        EXPECT_LE(window, s.overload_factor * capacity * static_cast<double>(s.overload_window))
            << proxy_count << " proxies at " << at - start;
      }
      EXPECT_GT(total, 0) << "a server in slow start must get some requests";
      if (!other_servers && proxy_count == 40) received_work[cores] = total;
    }
  }
  // Each starting machine must not be treated as having a single core, or it would hardly warm up.
  EXPECT_GT(received_work[4], 2.5 * received_work[1]);
}

TEST(SlowStart, LargeRequestsAreNotSentToAServerInSlowStart) {
  for (auto [hint, is_sent] : {std::pair(200 * kMs, false), {100 * kMs, true}}) {
    TestProxy proxy(
        BasicSettings());  // 0.15 x overload_factor x initial_capacity x overload_window is 120 ms
    proxy.SetServers({Entry(1)});
    proxy.LearnCutoff();
    proxy.SetServers({Entry(1, 0, 0, ServerState::kReady, proxy.now)}, EndpointListUpdate::Kind::kSnapshot);
    proxy.Arrive(1, hint);  // both are long requests
    for (int i = 0; i < 40 && !proxy.WasSent(1); ++i) proxy.AdvanceTime(5 * kMs);
    EXPECT_EQ(proxy.WasSent(1), is_sent) << hint;
  }
}

TEST(SlowStart, RestartUnderTheSameIdBeginsSlowStartAgain) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1)});
  proxy.LearnCutoff();
  proxy.SetServers({Entry(1, 0, 0, ServerState::kReady, proxy.now)}, EndpointListUpdate::Kind::kDelta);
  int sent = 0;
  for (RequestId id = 1; id <= 50; ++id) {
    proxy.Arrive(id, kShort);
    sent += proxy.WasSent(id);
  }
  EXPECT_LT(sent, 10);
}

}  // namespace
}  // namespace dappletiller::balancer::testing
