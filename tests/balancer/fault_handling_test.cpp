// Faults found in operation or in simulation, each reproduced with a single proxy: admission, load estimates,
// failing servers, lost requests and retries.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "balancer/test_proxy.hpp"

namespace dappletiller::balancer::testing {
namespace {

constexpr Micros kShort = 20 * kMs;

// Makes the proxy expect a wait of about `wait` at its only server, by a response that waited 2.5 times as
// long: three fifths of that count as drained since.
void ExpectWait(TestProxy& proxy, Micros wait) {
  proxy.Arrive(900'000, 0, kUnsafeClass, 100'000 * kMs);
  proxy.now += wait * 5 / 2;
  proxy.EndAttempt(900'000, Outcome::kServed, 0, wait * 5 / 2);
}

TEST(Admission, LongRequestIsRejectedIfTheWaitIsTooLong) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2)});
  proxy.LearnCutoff();
  // Answers that waited 900 ms, on both servers.
  for (RequestId id = 1; id <= 60; ++id) {
    proxy.Arrive(id, kShort, kUnsafeClass);
    proxy.now += 920 * kMs;
    if (proxy.WasSent(id)) proxy.EndAttempt(id, Outcome::kServed, 0, 920 * kMs);
  }
  proxy.Arrive(100, 800 * kMs, kUnsafeClass);
  EXPECT_FALSE(proxy.WasSent(100));
}

// A class with a long objective must not fill the queues that it shares with a class with a short one.
TEST(Admission, NoClassWaitsLongerThanTheShortestObjectiveAllows) {
  for (Micros wait : {200 * kMs, 900 * kMs}) {
    Settings s = BasicSettings();
    s.classes[kSafeClass].latency_objective = 3500 * kMs;
    TestProxy proxy(s);
    proxy.SetServers({Entry(1)});
    ExpectWait(proxy, wait);
    proxy.Arrive(1, kShort, kSafeClass);
    EXPECT_EQ(proxy.WasSent(1), wait == 200 * kMs);
  }
}

// Objectives that are far apart: a wait that is negligible for the class with the long objective may exceed
// the whole short objective, and the request was rejected although its servers were idle.
TEST(Admission, WithObjectivesFarApartAClassMayWaitPartOfItsOwn) {
  for (Micros wait : {400 * kMs, 900 * kMs}) {
    Settings s = BasicSettings();
    s.classes[kSafeClass].latency_objective = 3500 * kMs;
    s.classes[kKeyedClass].latency_objective = 100 * kMs;
    TestProxy proxy(s);
    proxy.SetServers({Entry(1)});
    ExpectWait(proxy, wait);
    proxy.Arrive(1, kShort, kSafeClass);
    EXPECT_EQ(proxy.WasSent(1), wait == 400 * kMs);
  }
}

TEST(Admission, LowWeightIsRejectedFirst) {
  Settings s = BasicSettings();
  s.classes[kKeyedClass].weight = 0.1;
  TestProxy proxy(s);
  proxy.SetServers({Entry(1)});
  ExpectWait(proxy, 400 * kMs);
  proxy.Arrive(1, kShort, kKeyedClass);
  proxy.Arrive(2, kShort, kSafeClass);
  EXPECT_FALSE(proxy.WasSent(1));
  EXPECT_TRUE(proxy.WasSent(2));
}

// At a single proxy, random bursts alone must not put a tenant over its quota.
TEST(Admission, TenantSlightlyAboveItsQuotaIsToleratedButAFloodIsNot) {
  for (int per_s : {12, 60}) {
    Settings s = BasicSettings();
    s.tenants = {{0.5, 10}, {0.5, 10}, {1, 1e6}};
    s.over_quota_weight = 0.1;
    TestProxy proxy(s);
    proxy.SetServers({Entry(1)});
    RequestId id = 0;
    auto arrive = [&](int tenant) {
      RequestArrived e;
      e.id = ++id;
      e.tenant = tenant;
      e.deadline = proxy.now + 3000 * kMs;
      e.work_hint = kMs;
      e.has_hint = true;
      proxy.Handle(e);
    };
    for (int i = 0; i < 10 * per_s; ++i) {
      proxy.now += 1000 * kMs / per_s;
      arrive(0);
      proxy.EndAttempt(id, Outcome::kServed, 0, kMs);
    }
    for (int i = 0; i < 400; ++i) arrive(2);  // 400 ms of work queued by another tenant
    for (int i = 0; i < 20; ++i) arrive(0);
    EXPECT_EQ(proxy.WasSent(id), per_s == 12) << per_s << " per second";
  }
}

// A quota that changes at run time must take effect, and must end with its tenant.
TEST(Admission, TenantQuotaCanBeAddedChangedAndRemovedAtRunTime) {
  Settings s = BasicSettings();
  s.over_quota_weight = 0.1;
  TestProxy proxy(s);
  proxy.SetServers({Entry(1)});
  RequestId id = 0;
  auto flood_is_served = [&](int tenant) {
    auto arrive = [&](int of) {
      RequestArrived e;
      e.id = ++id;
      e.tenant = of;
      e.deadline = proxy.now + 3000 * kMs;
      e.work_hint = kMs;
      e.has_hint = true;
      proxy.Handle(e);
    };
    for (int i = 0; i < 400; ++i) arrive(2);  // 400 ms of work queued by another tenant
    RequestId first = id - 399;
    for (int i = 0; i < 100; ++i) arrive(tenant);
    bool sent = proxy.WasSent(id);
    for (RequestId r = first; r <= id; ++r) {
      if (proxy.WasSent(r)) proxy.EndAttempt(r, Outcome::kServed, 0, kMs);
    }
    proxy.now += 60'000 * kMs;
    return sent;
  };
  EXPECT_TRUE(flood_is_served(0));  // without tenants nothing is over quota
  proxy.Handle(TenantChanged{2, true, {1, 1e6}});
  proxy.Handle(TenantChanged{0, true, {0.001, 10}});
  EXPECT_FALSE(flood_is_served(0));
  proxy.Handle(TenantChanged{0, true, {1, 1e6}});
  EXPECT_TRUE(flood_is_served(0));
  proxy.Handle(TenantChanged{0, false, {}});
  EXPECT_FALSE(flood_is_served(0));
  proxy.Handle(TenantChanged{-1, true, {1, 1e6}});
  EXPECT_FALSE(flood_is_served(-1));
}

// Servers that this proxy rarely uses may be congested by others; their queues must not be assumed empty.
TEST(Estimates, CongestionOfRarelyUsedServersIsNoticed) {
  TestProxy proxy(BasicSettings());
  std::vector<ServerEntry> list;
  for (ServerId id = 1; id <= 300; ++id) list.push_back(Entry(id));
  proxy.SetServers(list);
  std::map<Micros, RequestId> due;
  int late_sends = 0;
  for (RequestId id = 1; id <= 400; ++id) {
    proxy.now += 20 * kMs;
    while (!due.empty() && due.begin()->first <= proxy.now) {
      RequestId done = due.begin()->second;
      due.erase(due.begin());
      proxy.EndAttempt(done, Outcome::kServed, 0, 920 * kMs);
    }
    proxy.Arrive(id, kShort, kUnsafeClass);
    if (!proxy.WasSent(id)) continue;
    due[proxy.now + 920 * kMs] = id;
    if (id > 200) ++late_sends;
  }
  EXPECT_LT(late_sends, 100);
}

// If everything is rejected, no response can show that the congestion is over.
TEST(Estimates, CongestionThatIsOverIsForgotten) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2)});
  proxy.LearnCutoff();
  for (RequestId id = 1; id <= 1500; ++id) {
    proxy.Arrive(id, kShort, kUnsafeClass);
    proxy.now += 920 * kMs;
    if (proxy.WasSent(id)) proxy.EndAttempt(id, Outcome::kServed, 0, 920 * kMs);
  }
  proxy.now += 5000 * kMs;
  int rejected = 0;
  RequestId id = 5000;
  for (; rejected < 2000; ++id) {
    proxy.now += 10 * kMs;
    proxy.Arrive(id, kShort, kUnsafeClass);
    if (proxy.WasSent(id)) break;
    ++rejected;
  }
  EXPECT_TRUE(proxy.WasSent(id));
}

// The endpoint list gives all machines the same concurrency; slow ones must still get fewer requests.
TEST(Estimates, RotationFollowsTheLearnedSpeedOfAKind) {
  TestProxy proxy(BasicSettings());
  std::vector<ServerEntry> list;
  for (ServerId id = 1; id <= 8; ++id) {
    list.push_back(Entry(id));
    list.back().kind = id % 2;
  }
  proxy.SetServers(list);
  int to_slow = 0;
  for (RequestId id = 1; id <= 2000; ++id) {
    proxy.now += 200 * kMs;
    proxy.Arrive(id, kShort);
    bool slow = proxy.ServerOf(id) % 2 == 1;
    if (id > 1000) to_slow += slow;
    proxy.EndAttempt(id, Outcome::kServed, 0, slow ? 3 * kShort : kShort);
  }
  EXPECT_GT(to_slow, 150);
  EXPECT_LT(to_slow, 350);
}

// A server that an operator puts back must not stay unused during its slow start by proxies of other zones
// (seen in operation). Their shares of its allowance must be equal in all zones, or the sum would be too
// large.
TEST(SlowStart, ProxiesOfAllZonesUseAStartingServerEqually) {
  std::vector<int> sent;
  for (int zone : {0, 1}) {
    Settings s = BasicSettings();
    s.zones = 2;
    s.zone = zone;
    TestProxy proxy(s);
    proxy.SetServers({Entry(1, 0, 0, ServerState::kReady, proxy.now)});
    sent.push_back(0);
    for (RequestId id = 1; id <= 100; ++id) {
      proxy.now += 50 * kMs;
      proxy.Arrive(id, kShort);
      sent.back() += proxy.CountActions<Send>();
      if (proxy.WasSent(id)) proxy.EndAttempt(id);
    }
  }
  EXPECT_GT(sent[0], 0);
  EXPECT_EQ(sent[0], sent[1]);
}

// If a zone is unreachable, its servers must not be tried one by one with a timeout for each.
TEST(Health, UnreachableZoneIsBackedOff) {
  Settings s = BasicSettings();
  s.zones = 2;
  TestProxy proxy(s);
  std::vector<ServerEntry> list = {Entry(1, 0)};
  for (ServerId id = 2; id <= 60; ++id) list.push_back(Entry(id, 1));
  proxy.SetServers(list);
  int tried = 0;
  for (RequestId id = 1; id <= 1000; ++id) {
    proxy.now += 10 * kMs;
    std::size_t before = proxy.sends.size();
    proxy.Arrive(id, 100 * kMs);  // far more than the one server of its own zone can handle
    for (int attempt = 0; proxy.sends.size() > before; ++attempt) {
      before = proxy.sends.size();
      if (proxy.sends.back().server == 1) break;
      ++tried;
      proxy.EndAttempt(id, Outcome::kConnectFailed, attempt, kMs);
    }
  }
  EXPECT_GT(tried, 0);
  EXPECT_LT(tried, 25);
}

// Sends requests, 30 ms apart, each of which ends after 10 ms with `outcome(id, server)`. Returns the count
// by server.
template <typename F>
std::map<ServerId, int> Serve(TestProxy& proxy, int requests, const F& outcome) {
  std::map<ServerId, int> sent;
  for (RequestId id = 1; id <= static_cast<RequestId>(requests); ++id) {
    proxy.now += 20 * kMs;
    proxy.Arrive(id, kShort, kUnsafeClass);
    if (!proxy.WasSent(id)) continue;
    sent[proxy.ServerOf(id)]++;
    proxy.now += 10 * kMs;
    proxy.EndAttempt(id, outcome(id, proxy.ServerOf(id)));
  }
  return sent;
}

// Where every server fails occasionally, a failure says nothing about its server. Half of the servers were
// backed off and requests rejected.
TEST(Health, FailureThatIsCommonEverywhereBacksOffNoServer) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2), Entry(3), Entry(4)});
  Serve(proxy, 400, [](RequestId id, ServerId) { return id % 5 == 0 ? Outcome::kReset : Outcome::kServed; });
  proxy.Arrive(500, kShort, kUnsafeClass);
  ServerId failed = proxy.ServerOf(500);
  proxy.EndAttempt(500, Outcome::kReset);
  std::set<ServerId> used;
  for (RequestId id = 501; id <= 504; ++id) {
    proxy.Arrive(id, kShort, kUnsafeClass);
    used.insert(proxy.ServerOf(id));
  }
  EXPECT_EQ(used.count(failed), 1u);
}

// The reverse: a server that alone fails is recognized by its first failures.
TEST(Health, ServerThatAloneFailsIsBackedOff) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2), Entry(3), Entry(4)});
  auto sent = Serve(proxy, 400, [](RequestId, ServerId server) {
    return server == 3 ? Outcome::kError : Outcome::kServed;
  });
  EXPECT_LT(sent[3], 30);
  EXPECT_GT(sent[1], 100);
}

// A server that hangs must not keep its turns: it gets one request at a time, less and less often.
TEST(Health, HungServerGetsFewRequestsAndReturnsAfterOneResponse) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2), Entry(3)});
  int to_hung = 0;
  bool hung = true;
  std::map<Micros, RequestId> unanswered;  // by send time
  for (RequestId id = 1; id <= 5000; ++id) {
    proxy.now += 10 * kMs;
    if (id == 2000) hung = false;
    if (!unanswered.empty() && proxy.now - unanswered.begin()->first > 500 * kMs) {
      proxy.EndAttempt(unanswered.begin()->second, Outcome::kTimeout, 0,
                       proxy.now - unanswered.begin()->first);
      unanswered.erase(unanswered.begin());
    }
    proxy.Arrive(id, kShort, kUnsafeClass);
    if (!proxy.WasSent(id)) continue;
    if (proxy.ServerOf(id) == 2 && hung) {
      EXPECT_TRUE(unanswered.empty() || to_hung < 2) << "a second request to a server that does not respond";
      ++to_hung;
      unanswered[proxy.now] = id;
    } else {
      proxy.EndAttempt(id, Outcome::kServed, 0, kShort);
    }
  }
  EXPECT_LE(to_hung, 12);
  proxy.sends.clear();
  for (RequestId id = 6000; id < 6030; ++id) {
    proxy.now += 50 * kMs;
    proxy.Arrive(id, kShort);
    proxy.EndAttempt(id, Outcome::kServed, 0, kShort);
  }
  int back = 0;
  for (const Send& s : proxy.sends) back += s.server == 2;
  EXPECT_GT(back, 5);
}

// A server may accept a request and never answer it. Until its deadline it would occupy a slot of the server
// and count as load.
TEST(LostAttempt, OvertakenAttemptIsCancelledAndRetriedElsewhere) {
  for (bool overtaken : {true, false}) {
    TestProxy proxy(BasicSettings());
    proxy.SetServers({Entry(1)});
    proxy.LearnCutoff();
    proxy.Arrive(1, 20 * kMs);
    proxy.now += 5 * kMs;
    proxy.Arrive(2, 20 * kMs);
    proxy.now += 20 * kMs;
    if (overtaken) proxy.EndAttempt(2, Outcome::kServed, 0, 20 * kMs);
    proxy.SetServers({Entry(2)}, EndpointListUpdate::Kind::kDelta);
    int cancelled = 0;
    for (int i = 0; i < 200 && cancelled == 0; ++i) {
      proxy.AdvanceTime(10 * kMs);
      cancelled = proxy.CountActions<Cancel>();
    }
    EXPECT_EQ(cancelled, overtaken ? 1 : 0);
    if (!overtaken) continue;
    proxy.EndAttempt(1, Outcome::kCancelled, 0, 500 * kMs);
    EXPECT_EQ(proxy.ServerOf(1), 2u);  // retried
    EXPECT_EQ(proxy.CountActions<Reject>() + proxy.CountActions<Fail>(), 0);
  }
}

// One lost request must not block a healthy server until its deadline. Nothing is sent to a server that is
// reserved or seems congested, so nothing could show that it is healthy.
TEST(LostAttempt, LostRequestIsSuspectedAndASafeShortRequestProbesItsServer) {
  for (Micros lost : {20 * kMs, 200 * kMs}) {
    TestProxy proxy(BasicSettings());
    proxy.SetServers({Entry(1)});
    proxy.LearnCutoff();
    proxy.Arrive(1, lost, kUnsafeClass);
    ASSERT_TRUE(proxy.WasSent(1));
    proxy.AdvanceTime(190 * kMs);  // less than a fifth of the shortest objective: not suspected yet
    proxy.Arrive(2, 20 * kMs, kUnsafeClass);
    proxy.AdvanceTime(1300 * kMs);
    proxy.Arrive(3, 20 * kMs, kUnsafeClass);
    EXPECT_FALSE(proxy.WasSent(3));  // an unsafe request is not used as a probe
    proxy.Arrive(4, 20 * kMs);
    EXPECT_TRUE(proxy.WasSent(4));
    proxy.Arrive(5, 20 * kMs);
    EXPECT_FALSE(proxy.WasSent(5));  // one at a time
    proxy.now += 20 * kMs;
    proxy.EndAttempt(4, Outcome::kServed, 0, 20 * kMs);
    EXPECT_TRUE(proxy.WasSent(3));  // the server is healthy: queued requests are sent
    EXPECT_TRUE(proxy.WasSent(5));
    int cancelled = 0;
    for (int i = 0; i < 200; ++i) {
      proxy.AdvanceTime(10 * kMs);
      cancelled += proxy.CountActions<Cancel>();
    }
    EXPECT_GE(cancelled, 1);
  }
}

// A keyed request must not fail without a retry while a server of its scope is only reserved, or would
// respond late.
TEST(Retry, KeyedRequestThatCannotBeRejectedUsesAnyServerOfItsScope) {
  for (bool congested : {false, true}) {
    TestProxy proxy(BasicSettings());
    proxy.SetServers({Entry(1, 0, 3), Entry(2, 0, 3)});
    proxy.LearnCutoff();
    proxy.Arrive(1, kShort, kKeyedClass);
    ServerId first = proxy.ServerOf(1);
    ServerId other = 3 - first;
    proxy.Arrive(2, congested ? 900 * kMs : 200 * kMs);
    ASSERT_EQ(proxy.ServerOf(2), other);
    proxy.now += 20 * kMs;
    proxy.EndAttempt(1, Outcome::kError, 0, 20 * kMs);
    EXPECT_EQ(proxy.ServerOf(1), other) << congested;
    EXPECT_EQ(proxy.CountActions<Fail>(), 0);
  }
}

// A server that hangs must not get probe after probe: if its probe is suspected lost too, it is backed off.
TEST(LostAttempt, HungServerGetsOneProbeAndIsBackedOff) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1), Entry(2)});
  proxy.LearnCutoff();
  int to_hung = 0;
  for (RequestId id = 1; id <= 200; ++id) {
    proxy.Arrive(id, 20 * kMs);
    proxy.now += 10 * kMs;
    to_hung += proxy.ServerOf(id) == 1;
    if (proxy.ServerOf(id) == 2) proxy.EndAttempt(id, Outcome::kServed, 0, 10 * kMs);
  }
  EXPECT_GE(to_hung, 2);
  EXPECT_LE(to_hung, 4);
}

// A server that stalled for a while must get requests again soon after: a timeout says nothing about the
// length of its queue.
TEST(LostAttempt, TimeoutDoesNotCountAsQueueingDelay) {
  TestProxy proxy(BasicSettings());
  proxy.SetServers({Entry(1)});
  proxy.LearnCutoff();
  proxy.Arrive(1, 20 * kMs);
  proxy.now += 3000 * kMs;
  proxy.EndAttempt(1, Outcome::kTimeout, 0, 3000 * kMs);
  proxy.AdvanceTime(400 * kMs);  // longer than the first backoff
  proxy.Arrive(2, 20 * kMs);
  EXPECT_TRUE(proxy.WasSent(2));
}

// A single client with a long timeout must not make all others look like late retries, which are rejected.
TEST(Admission, OneClientWithALongTimeoutDoesNotMakeOthersLookLate) {
  for (bool one_long_timeout : {false, true}) {
    TestProxy proxy(BasicSettings());
    proxy.SetServers({Entry(1)});
    for (RequestId id = 1; id <= 100; ++id) {
      proxy.now += 30 * kMs;
      proxy.Arrive(id, kShort, kSafeClass, (one_long_timeout && id == 60 ? 4000 : 2500) * kMs);
      proxy.EndAttempt(id, Outcome::kServed, 0, kShort);
    }
    ExpectWait(proxy, 300 * kMs);
    proxy.Arrive(101, kShort, kSafeClass, 2500 * kMs);
    EXPECT_TRUE(proxy.WasSent(101)) << one_long_timeout;
  }
}

// A proxy that shuts down must answer before its clients give up (answer_by). This limit must not make
// requests look like late retries, which are rejected, and no request may be sent that cannot be answered in
// time.
TEST(Admission, ShutdownOfTheProxyMakesNoRequestLookLate) {
  struct Case {
    Micros deadline, answer_by;
    bool sent;
  };
  for (const Case& c : {Case{2500 * kMs, 1500 * kMs, true}, Case{1500 * kMs, 0, false},
                        Case{1500 * kMs, 1500 * kMs, false}, Case{2500 * kMs, 300 * kMs, false}}) {
    TestProxy proxy(BasicSettings());
    proxy.SetServers({Entry(1)});
    for (RequestId id = 1; id <= 100; ++id) {
      proxy.now += 30 * kMs;
      proxy.Arrive(id, kShort, kSafeClass, 2500 * kMs);
      proxy.EndAttempt(id, Outcome::kServed, 0, kShort);
    }
    ExpectWait(proxy, 300 * kMs);
    RequestArrived e;
    e.id = 101;
    e.request_class = kSafeClass;
    e.deadline = proxy.now + c.deadline;
    e.answer_by = c.answer_by == 0 ? 0 : proxy.now + c.answer_by;
    e.work_hint = kShort;
    e.has_hint = true;
    proxy.Handle(e);
    EXPECT_EQ(proxy.WasSent(101), c.sent) << c.deadline << " " << c.answer_by;
    if (!c.sent) continue;
    EXPECT_EQ(proxy.sends.back().timeout, c.answer_by);
  }
}

}  // namespace
}  // namespace dappletiller::balancer::testing
