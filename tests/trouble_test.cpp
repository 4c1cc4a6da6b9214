// What was found to go wrong, each without the bench. docs/incidents/ tells the days on which it showed.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "harness.hpp"

namespace sandstand::testing {
namespace {

constexpr Micros kShort = 20 * kMs;

// The only server has just answered one that waited long, so that whatever comes next expects to wait about
// `wait`: three fifths of the time since it was sent are taken for drained.
void Stick(Gateway& g, Micros wait) {
  g.Arrive(900'000, 0, kUnsafeClass, 100'000 * kMs);
  g.now += wait * 5 / 2;
  g.End(900'000, Outcome::kServed, 0, wait * 5 / 2);
}

TEST(Admission, ALongIsAskedForPatienceToo) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2)});
  g.Train();
  // Answers that waited 900 ms, on both servers.
  for (RequestId id = 1; id <= 60; ++id) {
    g.Arrive(id, kShort, kUnsafeClass);
    g.now += 920 * kMs;
    if (g.Sent(id)) g.End(id, Outcome::kServed, 0, 920 * kMs);
  }
  g.Arrive(100, 800 * kMs, kUnsafeClass);
  EXPECT_FALSE(g.Sent(100));
}

// Guards against: a class with a wide aim fills the queues that one with a short aim shares.
TEST(Admission, NoClassWaitsBeyondWhatTheShortestAimAllows) {
  for (Micros wait : {200 * kMs, 900 * kMs}) {
    Settings s = BasicSettings();
    s.classes[kSafeClass].aim = 3500 * kMs;
    Gateway g(s);
    g.List({Entry(1)});
    Stick(g, wait);
    g.Arrive(1, kShort, kSafeClass);
    EXPECT_EQ(g.Sent(1), wait == 200 * kMs);
  }
}

// Guards against a site whose aims lie far apart: what is nothing to the class with the wide aim was more
// than all of the short one's time, and it was refused with its workers idle.
TEST(Admission, WhereAimsLieFarApartAClassMayWaitAPartOfItsOwn) {
  for (Micros wait : {400 * kMs, 900 * kMs}) {
    Settings s = BasicSettings();
    s.classes[kSafeClass].aim = 3500 * kMs;
    s.classes[kKeyedClass].aim = 100 * kMs;
    Gateway g(s);
    g.List({Entry(1)});
    Stick(g, wait);
    g.Arrive(1, kShort, kSafeClass);
    EXPECT_EQ(g.Sent(1), wait == 400 * kMs);
  }
}

TEST(Admission, LowWorthIsRefusedFirst) {
  Settings s = BasicSettings();
  s.classes[kKeyedClass].worth = 0.1;
  Gateway g(s);
  g.List({Entry(1)});
  Stick(g, 400 * kMs);
  g.Arrive(1, kShort, kKeyedClass);
  g.Arrive(2, kShort, kSafeClass);
  EXPECT_FALSE(g.Sent(1));
  EXPECT_TRUE(g.Sent(2));
}

// Guards against: at one gateway chance alone makes a tenant look over its share.
TEST(Admission, ATenantSomewhatAboveItsQuotaIsNotOverShareButAFloodIs) {
  for (int per_s : {12, 60}) {
    Settings s = BasicSettings();
    s.tenants = {{0.5, 10}, {0.5, 10}, {1, 1e6}};
    s.over_share_worth = 0.1;
    Gateway g(s);
    g.List({Entry(1)});
    RequestId id = 0;
    auto arrive = [&](int tenant) {
      RequestArrived e;
      e.id = ++id;
      e.tenant = tenant;
      e.deadline = g.now + 3000 * kMs;
      e.work_hint = kMs;
      e.has_hint = true;
      g.Do(e);
    };
    for (int i = 0; i < 10 * per_s; ++i) {
      g.now += 1000 * kMs / per_s;
      arrive(0);
      g.End(id, Outcome::kServed, 0, kMs);
    }
    for (int i = 0; i < 400; ++i) arrive(2);  // a queue of 400 ms, of another tenant's
    for (int i = 0; i < 20; ++i) arrive(0);
    EXPECT_EQ(g.Sent(id), per_s == 12) << per_s << " a second";
  }
}

// Guards against: a share that came with a change being known to nobody, or outliving its tenant.
TEST(Admission, ATenantsShareMayComeAndChangeAndGoWhileRequestsPass) {
  Settings s = BasicSettings();
  s.over_share_worth = 0.1;
  Gateway g(s);
  g.List({Entry(1)});
  RequestId id = 0;
  auto flood_is_sent = [&](int tenant) {
    auto arrive = [&](int of) {
      RequestArrived e;
      e.id = ++id;
      e.tenant = of;
      e.deadline = g.now + 3000 * kMs;
      e.work_hint = kMs;
      e.has_hint = true;
      g.Do(e);
    };
    for (int i = 0; i < 400; ++i) arrive(2);  // a queue of 400 ms, of another tenant's
    RequestId first = id - 399;
    for (int i = 0; i < 100; ++i) arrive(tenant);
    bool sent = g.Sent(id);
    for (RequestId r = first; r <= id; ++r) {
      if (g.Sent(r)) g.End(r, Outcome::kServed, 0, kMs);
    }
    g.now += 60'000 * kMs;
    return sent;
  };
  EXPECT_TRUE(flood_is_sent(0));  // no tenants: nobody is over a share
  g.Do(TenantChanged{2, true, {1, 1e6}});
  g.Do(TenantChanged{0, true, {0.001, 10}});
  EXPECT_FALSE(flood_is_sent(0));
  g.Do(TenantChanged{0, true, {1, 1e6}});
  EXPECT_TRUE(flood_is_sent(0));
  g.Do(TenantChanged{0, false, {}});
  EXPECT_FALSE(flood_is_sent(0));
  g.Do(TenantChanged{-1, true, {1, 1e6}});
  EXPECT_FALSE(flood_is_sent(-1));
}

// Guards against: what another gateway's traffic does to servers we hardly see is taken for an empty queue.
TEST(Estimates, AJamOnServersHardlySeenIsNoticed) {
  Gateway g(BasicSettings());
  std::vector<ServerEntry> list;
  for (ServerId id = 1; id <= 300; ++id) list.push_back(Entry(id));
  g.List(list);
  std::map<Micros, RequestId> due;
  int late_sends = 0;
  for (RequestId id = 1; id <= 400; ++id) {
    g.now += 20 * kMs;
    while (!due.empty() && due.begin()->first <= g.now) {
      RequestId done = due.begin()->second;
      due.erase(due.begin());
      g.End(done, Outcome::kServed, 0, 920 * kMs);
    }
    g.Arrive(id, kShort, kUnsafeClass);
    if (!g.Sent(id)) continue;
    due[g.now + 920 * kMs] = id;
    if (id > 200) ++late_sends;
  }
  EXPECT_LT(late_sends, 100);
}

// Guards against: with everything refused no answer ever tells that the jam has gone.
TEST(Estimates, AJamThatHasGoneIsUnlearned) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2)});
  g.Train();
  for (RequestId id = 1; id <= 1500; ++id) {
    g.Arrive(id, kShort, kUnsafeClass);
    g.now += 920 * kMs;
    if (g.Sent(id)) g.End(id, Outcome::kServed, 0, 920 * kMs);
  }
  g.now += 5000 * kMs;
  int refused = 0;
  RequestId id = 5000;
  for (; refused < 2000; ++id) {
    g.now += 10 * kMs;
    g.Arrive(id, kShort, kUnsafeClass);
    if (g.Sent(id)) break;
    ++refused;
  }
  EXPECT_TRUE(g.Sent(id));
}

// Guards against: the list gives all machines one size, and slow ones get the turns of fast ones.
TEST(Estimates, RotationFollowsTheLearnedPaceOfAKind) {
  Gateway g(BasicSettings());
  std::vector<ServerEntry> list;
  for (ServerId id = 1; id <= 8; ++id) {
    list.push_back(Entry(id));
    list.back().kind = id % 2;
  }
  g.List(list);
  int to_slow = 0;
  for (RequestId id = 1; id <= 2000; ++id) {
    g.now += 200 * kMs;
    g.Arrive(id, kShort);
    bool slow = g.ServerOf(id) % 2 == 1;
    if (id > 1000) to_slow += slow;
    g.End(id, Outcome::kServed, 0, slow ? 3 * kShort : kShort);
  }
  EXPECT_GT(to_slow, 150);
  EXPECT_LT(to_slow, 350);
}

// Guards against: a cold server put back by hand left unused for its whole cold time by the gateways of other
// zones (seen on a day of the operators'), and against parts that differ by zone, which would sum to too
// much.
TEST(Cold, GatewaysOfEveryZoneUseAColdServerAtOnePart) {
  std::vector<int> sent;
  for (int zone : {0, 1}) {
    Settings s = BasicSettings();
    s.zones = 2;
    s.zone = zone;
    Gateway g(s);
    g.List({Entry(1, 0, 0, ServerState::kReady, g.now)});
    sent.push_back(0);
    for (RequestId id = 1; id <= 100; ++id) {
      g.now += 50 * kMs;
      g.Arrive(id, kShort);
      sent.back() += g.Count<Send>();
      if (g.Sent(id)) g.End(id);
    }
  }
  EXPECT_GT(sent[0], 0);
  EXPECT_EQ(sent[0], sent[1]);
}

// Guards against: a zone that is cut off has all its servers tried one by one, a time-out each.
TEST(Health, AZoneThatCannotBeReachedIsLeftAlone) {
  Settings s = BasicSettings();
  s.zones = 2;
  Gateway g(s);
  std::vector<ServerEntry> list = {Entry(1, 0)};
  for (ServerId id = 2; id <= 60; ++id) list.push_back(Entry(id, 1));
  g.List(list);
  int tried = 0;
  for (RequestId id = 1; id <= 1000; ++id) {
    g.now += 10 * kMs;
    std::size_t before = g.sends.size();
    g.Arrive(id, 100 * kMs);  // far more than the one server of the own zone can take
    for (int attempt = 0; g.sends.size() > before; ++attempt) {
      before = g.sends.size();
      if (g.sends.back().server == 1) break;
      ++tried;
      g.End(id, Outcome::kConnectFailed, attempt, kMs);
    }
  }
  EXPECT_GT(tried, 0);
  EXPECT_LT(tried, 25);
}

// Four servers; request `id` ends as `outcome(id, server)` says, a few milliseconds after it came.
template <typename F>
std::map<ServerId, int> Serve(Gateway& g, int requests, const F& outcome) {
  std::map<ServerId, int> sent;
  for (RequestId id = 1; id <= static_cast<RequestId>(requests); ++id) {
    g.now += 20 * kMs;
    g.Arrive(id, kShort, kUnsafeClass);
    if (!g.Sent(id)) continue;
    sent[g.ServerOf(id)]++;
    g.now += 10 * kMs;
    g.End(id, outcome(id, g.ServerOf(id)));
  }
  return sent;
}

// Guards against half the fleet being left alone, and calls refused, while every server fails now and then: a
// failure that is usual everywhere tells nothing about the server where it happened.
TEST(Health, AFailureThatIsUsualEverywhereHoldsNoServerBack) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2), Entry(3), Entry(4)});
  Serve(g, 400, [](RequestId id, ServerId) { return id % 5 == 0 ? Outcome::kReset : Outcome::kServed; });
  g.Arrive(500, kShort, kUnsafeClass);
  ServerId failed = g.ServerOf(500);
  g.End(500, Outcome::kReset);
  std::set<ServerId> used;
  for (RequestId id = 501; id <= 504; ++id) {
    g.Arrive(id, kShort, kUnsafeClass);
    used.insert(g.ServerOf(id));
  }
  EXPECT_EQ(used.count(failed), 1u);
}

// Guards against the reverse: one that fails alone is told from the others by its first failures.
TEST(Health, AServerThatAloneFailsIsLeftToTrials) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2), Entry(3), Entry(4)});
  auto sent = Serve(
      g, 400, [](RequestId, ServerId server) { return server == 3 ? Outcome::kError : Outcome::kServed; });
  EXPECT_LT(sent[3], 30);
  EXPECT_GT(sent[1], 100);
}

// Guards against: a hung server keeps its full share of turns; it gets one trial at a time, ever more rarely.
TEST(Health, AHungServerGetsATrickleAndComesBackByOneTrial) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2), Entry(3)});
  int to_hung = 0;
  bool hung = true;
  std::map<Micros, RequestId> stuck;  // by when it was sent
  for (RequestId id = 1; id <= 5000; ++id) {
    g.now += 10 * kMs;
    if (id == 2000) hung = false;
    if (!stuck.empty() && g.now - stuck.begin()->first > 500 * kMs) {
      g.End(stuck.begin()->second, Outcome::kTimeout, 0, g.now - stuck.begin()->first);
      stuck.erase(stuck.begin());
    }
    g.Arrive(id, kShort, kUnsafeClass);
    if (!g.Sent(id)) continue;
    if (g.ServerOf(id) == 2 && hung) {
      EXPECT_TRUE(stuck.empty() || to_hung < 2) << "a second request to a server known not to answer";
      ++to_hung;
      stuck[g.now] = id;
    } else {
      g.End(id, Outcome::kServed, 0, kShort);
    }
  }
  EXPECT_LE(to_hung, 12);
  g.sends.clear();
  for (RequestId id = 6000; id < 6030; ++id) {
    g.now += 50 * kMs;
    g.Arrive(id, kShort);
    g.End(id, Outcome::kServed, 0, kShort);
  }
  int back = 0;
  for (const Send& s : g.sends) back += s.server == 2;
  EXPECT_GT(back, 5);
}

// Guards against requests that a server has taken and never answers: until their deadlines each would hold
// one of its places, and a place in our count.
TEST(Stuck, WhatLaterOnesHaveOvertakenIsCalledOffAndTriedElsewhere) {
  for (bool overtaken : {true, false}) {
    Gateway g(BasicSettings());
    g.List({Entry(1)});
    g.Train();
    g.Arrive(1, 20 * kMs);
    g.now += 5 * kMs;
    g.Arrive(2, 20 * kMs);
    g.now += 20 * kMs;
    if (overtaken) g.End(2, Outcome::kServed, 0, 20 * kMs);
    g.List({Entry(2)}, ListUpdate::Kind::kChanges);
    int cancelled = 0;
    for (int i = 0; i < 200 && cancelled == 0; ++i) {
      g.Tick(10 * kMs);
      cancelled = g.Count<Cancel>();
    }
    EXPECT_EQ(cancelled, overtaken ? 1 : 0);
    if (!overtaken) continue;
    g.End(1, Outcome::kCancelled, 0, 500 * kMs);
    EXPECT_EQ(g.ServerOf(1), 2u);  // sent once more
    EXPECT_EQ(g.Count<Refuse>() + g.Count<Fail>(), 0);
  }
}

// Guards against one lost request that keeps a server which does well from all others until its deadline:
// nothing goes to a server that a long has reserved, or that seems to keep its work waiting, so that nothing
// could show it.
TEST(Stuck, ALostRequestIsDoubtedAndASafeShortTriesItsServer) {
  for (Micros lost : {20 * kMs, 200 * kMs}) {
    Gateway g(BasicSettings());
    g.List({Entry(1)});
    g.Train();
    g.Arrive(1, lost, kUnsafeClass);
    ASSERT_TRUE(g.Sent(1));
    g.Tick(190 * kMs);  // less than a fifth of the shortest aim: not in doubt
    g.Arrive(2, 20 * kMs, kUnsafeClass);
    g.Tick(1300 * kMs);
    g.Arrive(3, 20 * kMs, kUnsafeClass);
    EXPECT_FALSE(g.Sent(3));  // what can't be repeated is no trial
    g.Arrive(4, 20 * kMs);
    EXPECT_TRUE(g.Sent(4));
    g.Arrive(5, 20 * kMs);
    EXPECT_FALSE(g.Sent(5));  // one at a time
    g.now += 20 * kMs;
    g.End(4, Outcome::kServed, 0, 20 * kMs);
    EXPECT_TRUE(g.Sent(3));  // it does well: what waited goes there
    EXPECT_TRUE(g.Sent(5));
    int cancelled = 0;
    for (int i = 0; i < 200; ++i) {
      g.Tick(10 * kMs);
      cancelled += g.Count<Cancel>();
    }
    EXPECT_GE(cancelled, 1);
  }
}

// Guards against keyed requests that fail, and are not asked again, while a server that drops their repeats
// is merely reserved, or can answer only late.
TEST(Repeats, AKeyedOneThatCannotBeRefusedTakesWhatThereIs) {
  for (bool jammed : {false, true}) {
    Gateway g(BasicSettings());
    g.List({Entry(1, 0, 3), Entry(2, 0, 3)});
    g.Train();
    g.Arrive(1, kShort, kKeyedClass);
    ServerId first = g.ServerOf(1);
    ServerId other = 3 - first;
    g.Arrive(2, jammed ? 900 * kMs : 200 * kMs);
    ASSERT_EQ(g.ServerOf(2), other);
    g.now += 20 * kMs;
    g.End(1, Outcome::kError, 0, 20 * kMs);
    EXPECT_EQ(g.ServerOf(1), other) << jammed;
    EXPECT_EQ(g.Count<Fail>(), 0);
  }
}

// Guards against trial after trial at a server that hangs: one that lets its trial wait too is left alone.
TEST(Stuck, AServerThatHangsGetsOneTrialAndIsLeftAlone) {
  Gateway g(BasicSettings());
  g.List({Entry(1), Entry(2)});
  g.Train();
  int to_hung = 0;
  for (RequestId id = 1; id <= 200; ++id) {
    g.Arrive(id, 20 * kMs);
    g.now += 10 * kMs;
    to_hung += g.ServerOf(id) == 1;
    if (g.ServerOf(id) == 2) g.End(id, Outcome::kServed, 0, 10 * kMs);
  }
  EXPECT_GE(to_hung, 2);
  EXPECT_LE(to_hung, 4);
}

// Guards against a server that stood still for a while being refused work for long after: how long its queue
// is cannot be told from a time-out.
TEST(Stuck, ATimeoutIsNoMeasureOfTheQueue) {
  Gateway g(BasicSettings());
  g.List({Entry(1)});
  g.Train();
  g.Arrive(1, 20 * kMs);
  g.now += 3000 * kMs;
  g.End(1, Outcome::kTimeout, 0, 3000 * kMs);
  g.Tick(400 * kMs);  // longer than the first hold after a failure
  g.Arrive(2, 20 * kMs);
  EXPECT_TRUE(g.Sent(2));
}

// Guards against one odd client: after it, every other would be taken for one that began long ago, and
// refused.
TEST(Admission, OnePatientClientDoesNotMakeAllOthersLookLate) {
  for (bool odd : {false, true}) {
    Gateway g(BasicSettings());
    g.List({Entry(1)});
    for (RequestId id = 1; id <= 100; ++id) {
      g.now += 30 * kMs;
      g.Arrive(id, kShort, kSafeClass, (odd && id == 60 ? 4000 : 2500) * kMs);
      g.End(id, Outcome::kServed, 0, kShort);
    }
    Stick(g, 300 * kMs);
    g.Arrive(101, kShort, kSafeClass, 2500 * kMs);
    EXPECT_TRUE(g.Sent(101)) << odd;
  }
}

// A gateway that is about to end answers sooner than its clients give up. Were that its requests' deadline,
// each would be taken for one that began long ago, and refused though there is time; were it nothing to their
// aim, one would be sent that can't be answered any more.
TEST(Admission, AGatewaysOwnEndMakesNoRequestLookLate) {
  struct Case {
    Micros deadline, answer_by;
    bool sent;
  };
  for (const Case& c : {Case{2500 * kMs, 1500 * kMs, true}, Case{1500 * kMs, 0, false},
                        Case{1500 * kMs, 1500 * kMs, false}, Case{2500 * kMs, 300 * kMs, false}}) {
    Gateway g(BasicSettings());
    g.List({Entry(1)});
    for (RequestId id = 1; id <= 100; ++id) {
      g.now += 30 * kMs;
      g.Arrive(id, kShort, kSafeClass, 2500 * kMs);
      g.End(id, Outcome::kServed, 0, kShort);
    }
    Stick(g, 300 * kMs);
    RequestArrived e;
    e.id = 101;
    e.request_class = kSafeClass;
    e.deadline = g.now + c.deadline;
    e.answer_by = c.answer_by == 0 ? 0 : g.now + c.answer_by;
    e.work_hint = kShort;
    e.has_hint = true;
    g.Do(e);
    EXPECT_EQ(g.Sent(101), c.sent) << c.deadline << " " << c.answer_by;
    if (!c.sent) continue;
    EXPECT_EQ(g.sends.back().timeout, c.answer_by);
  }
}

}  // namespace
}  // namespace sandstand::testing
