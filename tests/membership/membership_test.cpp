// Membership, driven by hand and in simulated time: which claims it accepts, its bounds, and convergence.
// Planted bugs show that the simulation can fail.
#include "membership/membership.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lab/world.hpp"

namespace dappletiller::membership {
namespace {

using std::chrono::seconds;

constexpr Duration kSecond = seconds(1);

// One Membership; the test plays all other members.
class TestMembership {
 public:
  TestMembership() : view(Named(), 5) { static_cast<void>(view.Start(now)); }
  static Settings Named() {
    Settings s;
    s.name = "self";
    s.address = "127.0.0.1:1";
    s.boot = 100;
    s.seeds = {"127.0.0.1:2"};
    return s;
  }
  static MemberRecord Of(const std::string& name, std::uint64_t boot = 10, std::uint64_t incarnation = 0) {
    MemberRecord r;
    r.name = name;
    r.boot = boot;
    r.incarnation = incarnation;
    r.address = "127.0.0.2:" + std::to_string(1 + std::hash<std::string>()(name) % 60000);
    return r;
  }
  void Tick() { Collect(view.Tick(now)); }
  void Receive(const Message& message) { Collect(view.Receive(now, message).outgoing); }
  void Collect(std::vector<Outgoing> messages) {
    std::move(messages.begin(), messages.end(), std::back_inserter(out));
  }
  // Advances the time; `answer` lists the members that answer probes.
  void Pass(Duration span, const std::vector<MemberRecord>& answer = {}) {
    for (TimePoint end = now + span; now < end;) {
      now += Membership::kTickInterval;
      Tick();
      Answer(answer);
    }
  }
  void Answer(const std::vector<MemberRecord>& who) {
    std::vector<Outgoing> asked;
    std::swap(asked, out);
    for (const Outgoing& one : asked) {
      datagrams.push_back(one);
      for (const MemberRecord& r : who) {
        if (one.address != r.address || one.message.kind != MessageKind::kPing) continue;
        Say(MessageKind::kAck, r, {}, one.message.sequence);
      }
    }
  }
  void Say(MessageKind kind, const MemberRecord& from, std::vector<MemberRecord> updates = {},
           std::uint64_t sequence = 0) {
    Message m;
    m.kind = kind;
    m.sender = from;
    m.recipient = "self";
    m.recipient_boot = view.self().boot;
    m.number = ++number;
    m.sequence = sequence;
    m.updates = std::move(updates);
    last = m;
    Receive(m);
  }
  void Join(const MemberRecord& r) {
    Say(MessageKind::kPing, r);
    joined.push_back(r);
    Pass(kSecond / 5, joined);
    REQUIRE(view.members().count(r.name) == 1);
  }
  MemberState StateOf(const std::string& name) const { return view.members().at(name).record.state; }

  TimePoint now{50 * kSecond};
  std::vector<Outgoing> out;
  std::vector<MemberRecord> joined;
  std::vector<Outgoing> datagrams;  // all messages sent
  Membership view;
  std::uint64_t number = 0;
  Message last;
};

MemberRecord Claimed(const MemberRecord& r, MemberState state, const std::string& accuser = {}) {
  MemberRecord c = r;
  c.state = state;
  c.accuser = accuser;
  c.address.clear();
  return c;
}

TEST_CASE("gossip only causes probes: no process becomes a member without its own answer") {
  TestMembership test;
  MemberRecord a = TestMembership::Of("a"), phantom = TestMembership::Of("phantom");
  test.Join(a);
  test.Say(MessageKind::kGossip, a, {phantom});
  test.Pass(2 * kSecond, {a});
  CHECK(test.view.members().count("phantom") == 0);
  bool asked = std::any_of(test.datagrams.begin(), test.datagrams.end(),
                           [&](const Outgoing& o) { return o.address == phantom.address; });
  CHECK(asked);
  test.Pass(6 * kSecond, {a});
  test.Say(MessageKind::kGossip, a, {phantom});
  test.Pass(kSecond, {a, phantom});
  CHECK(test.view.members().count("phantom") == 1);
}

TEST_CASE("no member is dead by another's claim, and a member that accuses all others is ignored") {
  TestMembership test;
  std::vector<MemberRecord> all;
  for (int i = 0; i < 20; ++i) {
    all.push_back(TestMembership::Of("m" + std::to_string(i)));
    test.Join(all.back());
  }
  std::vector<MemberRecord> lies;
  for (int i = 1; i < 20; ++i)
    lies.push_back(Claimed(all[static_cast<std::size_t>(i)], MemberState::kDead, "m0"));
  test.Say(MessageKind::kGossip, all[0], lies);
  auto suspects = std::count_if(test.view.members().begin(), test.view.members().end(),
                                [](const auto& m) { return m.second.record.state != MemberState::kAlive; });
  CHECK(suspects <= 5);
  CHECK(test.view.counters().accusations_ignored >= 14);
  // All answer without learning of the accusations: none dies, however long they last.
  for (int i = 0; i < 20; ++i) {
    test.Say(MessageKind::kGossip, all[0], lies);
    test.Pass(kSecond, all);
  }
  CHECK(test.view.counters().deaths == 0);
}

TEST_CASE("a silent member is suspected, probed again, then dead, and alive again by its own answer") {
  TestMembership test;
  MemberRecord a = TestMembership::Of("a"), b = TestMembership::Of("b"), c = TestMembership::Of("c");
  for (const MemberRecord& r : {a, b, c}) test.Join(r);
  test.Pass(12 * kSecond, {a, b});
  CHECK(test.StateOf("c") == MemberState::kDead);
  CHECK(test.StateOf("a") == MemberState::kAlive);
  CHECK(test.view.counters().deaths == 1);
  // Claims by others that it is alive have no effect; its own answer does.
  test.Say(MessageKind::kGossip, a, {TestMembership::Of("c", 10, 3)});
  CHECK(test.StateOf("c") == MemberState::kDead);
  test.Pass(10 * kSecond, {a, b, c});
  CHECK(test.StateOf("c") == MemberState::kAlive);
}

TEST_CASE(
    "a later incarnation's attributes are taken from gossip: new ones, later versions, and no more than "
    "fit") {
  TestMembership test;
  MemberRecord a = TestMembership::Of("a"), b = TestMembership::Of("b");
  test.Join(a);
  test.Join(b);
  MemberRecord later = b;
  later.incarnation = 1;
  later.attributes = {{"first", 1, "one"}};
  test.Say(MessageKind::kGossip, a, {later});
  const std::vector<Attribute>& known = test.view.members().at("b").record.attributes;
  REQUIRE(known.size() == 1);
  CHECK(known[0] == Attribute{"first", 1, "one"});
  later.incarnation = 2;
  later.attributes = {{"first", 2, "two"}, {"second", 1, "new"}};
  test.Say(MessageKind::kGossip, a, {later});
  CHECK(known == std::vector<Attribute>{{"first", 2, "two"}, {"second", 1, "new"}});
  later.incarnation = 3;
  later.attributes = {{"first", 1, "old"}};
  for (std::size_t i = 1; i < kMaxAttributes; ++i)
    later.attributes.push_back({"k" + std::to_string(i), 1, "x"});
  test.Say(MessageKind::kGossip, a, {later});
  CHECK(known.size() == kMaxAttributes);
  CHECK(known[0] == Attribute{"first", 2, "two"});
}

TEST_CASE("incarnations and boots near the maximum are not accepted from gossip") {
  TestMembership test;
  MemberRecord a = TestMembership::Of("a"), b = TestMembership::Of("b");
  test.Join(a);
  test.Join(b);
  MemberRecord far = Claimed(b, MemberState::kSuspect, "a");
  far.incarnation = (1ULL << 62) - 2;
  test.Say(MessageKind::kGossip, a, {far});
  CHECK(test.StateOf("b") == MemberState::kAlive);
  CHECK(test.view.members().at("b").record.incarnation == 0);
  MemberRecord self = test.view.self();
  MemberRecord about = Claimed(self, MemberState::kDead, "a");
  about.incarnation = (1ULL << 62) - 2;
  test.Say(MessageKind::kGossip, a, {about});
  CHECK(test.view.self().incarnation == self.incarnation);
  about.incarnation = self.incarnation;
  test.Say(MessageKind::kGossip, a, {about});
  CHECK(test.view.self().incarnation == self.incarnation + 1);
}

TEST_CASE("replayed, misaddressed and outdated messages are only counted") {
  TestMembership test;
  MemberRecord a = TestMembership::Of("a"), b = TestMembership::Of("b");
  test.Join(a);
  test.Join(b);
  test.Say(MessageKind::kGossip, a, {Claimed(b, MemberState::kSuspect, "a")});
  CHECK(test.StateOf("b") == MemberState::kSuspect);
  test.Pass(kSecond, {a, TestMembership::Of("b", 10, 1)});
  CHECK(test.StateOf("b") == MemberState::kAlive);
  std::uint64_t before = test.view.counters().replayed;
  test.Receive(test.last);
  CHECK(test.view.counters().replayed == before + 1);
  Message other = test.last;
  other.number = ++test.number;
  other.recipient = "somebody";
  test.Receive(other);
  other.recipient = "self";
  other.recipient_boot = 99;
  other.kind = MessageKind::kGossip;
  test.Receive(other);
  CHECK(test.view.counters().misaddressed == 2);
}

TEST_CASE("forged high numbers block a member only until it answers a probe") {
  TestMembership test;
  MemberRecord a = TestMembership::Of("a"), b = TestMembership::Of("b");
  test.Join(a);
  test.Join(b);
  test.number += 1'000'000;
  test.Say(MessageKind::kGossip, a);  // forged
  test.number -= 1'000'000;
  std::uint64_t before = test.view.counters().replayed;
  test.Say(MessageKind::kGossip, a);
  CHECK(test.view.counters().replayed == before + 1);
  test.Pass(5 * kSecond, {a, b});  // own answers are accepted
  CHECK(test.StateOf("a") == MemberState::kAlive);
  before = test.view.counters().replayed;
  test.Say(MessageKind::kGossip, a);
  CHECK(test.view.counters().replayed == before);
}

TEST_CASE("a process that was paused does not suspect the others") {
  TestMembership test;
  std::vector<MemberRecord> all = {TestMembership::Of("a"), TestMembership::Of("b"), TestMembership::Of("c")};
  for (const MemberRecord& r : all) test.Join(r);
  test.Pass(3 * kSecond, all);
  test.Collect(test.view.Tick(
      test.now + Membership::kTickInterval));  // probes are in progress, and their answers cannot be received
  test.now += 30 * kSecond;
  test.Tick();
  CHECK(test.view.counters().pauses == 1);
  test.Pass(5 * kSecond, all);
  CHECK(test.view.counters().deaths == 0);
  for (const MemberRecord& r : all) CHECK(test.StateOf(r.name) != MemberState::kDead);
}

TEST_CASE("a member's own leave counts immediately, and a claim by another only if it is silent") {
  TestMembership test;
  MemberRecord a = TestMembership::Of("a"), b = TestMembership::Of("b"), c = TestMembership::Of("c");
  for (const MemberRecord& r : {a, b, c}) test.Join(r);
  test.Say(MessageKind::kGossip, a, {Claimed(b, MemberState::kLeft)});
  test.Pass(2 * kSecond, {a, b, c});
  CHECK(test.StateOf("b") == MemberState::kAlive);
  test.Say(MessageKind::kGossip, a, {Claimed(c, MemberState::kLeft)});
  test.Pass(2 * kSecond, {a, b});
  CHECK(test.StateOf("c") == MemberState::kLeft);
  MemberRecord leaving = b;
  leaving.state = MemberState::kLeft;
  leaving.incarnation = 1;
  test.Say(MessageKind::kGossip, leaving);
  CHECK(test.StateOf("b") == MemberState::kLeft);
}

TEST_CASE("a new process takes over its name; the earlier one gives it up after verification") {
  TestMembership test;  // started with boot 100, less than three seconds ago
  MemberRecord a = TestMembership::Of("a");
  test.Join(a);
  MemberRecord other_process = TestMembership::Of("self", 200);
  test.Say(MessageKind::kGossip, a, {other_process});
  CHECK(test.view.self().boot == 201);
  test.Pass(10 * kSecond, {a});
  other_process.boot = 300;
  test.Say(MessageKind::kGossip, a, {other_process});
  test.Pass(4 * kSecond, {a});
  CHECK_FALSE(test.view.displaced());  // gossip alone
  test.Say(MessageKind::kGossip, a, {other_process});
  test.Pass(4 * kSecond, {a, other_process});
  CHECK(test.view.displaced());
  CHECK(test.view.living() == 0);
  test.Pass(60 * kSecond, {a, other_process});  // no flapping while both are alive
  CHECK(test.view.displaced());
  test.Pass(25 * kSecond);  // the other process is silent: the name is free
  CHECK_FALSE(test.view.displaced());
  CHECK(test.view.self().boot == 301);
}

TEST_CASE("tables and datagrams stay within their bounds under a flood of claims") {
  TestMembership test;
  std::vector<MemberRecord> all;
  for (int i = 0; i < 40; ++i) {
    all.push_back(TestMembership::Of("m" + std::to_string(i)));
    test.Join(all.back());
  }
  for (int i = 0; i < 20'000; ++i) {
    test.Say(MessageKind::kGossip, all[0],
             {TestMembership::Of("phantom" + std::to_string(i)),
              Claimed(all[static_cast<std::size_t>(1 + i % 39)], MemberState::kSuspect, "m0")});
    if (i % 500 == 0) test.Pass(Membership::kTickInterval, all);
  }
  test.Pass(2 * kSecond, all);
  CHECK(test.view.members().size() == 40);
  CHECK(test.view.open_probes() <= 1024);
  CHECK(test.view.pending_updates() <= 40 * 5);
  CHECK(test.view.events().size() <= 1024);
  for (const Outgoing& o : test.datagrams) {
    if (!o.over_stream) CHECK(EncodedSizeBound(o.message) <= 1400);
  }
}

TEST_CASE("a datagram full of updates to a member with a long name stays within its bound") {
  TestMembership test;
  std::vector<MemberRecord> all;
  for (int i = 0; i < 30; ++i) {
    all.push_back(TestMembership::Of(std::to_string(i) + std::string(60, 'n')));
    test.Join(all.back());
  }
  // Each accuses once, so that each accusation is accepted.
  for (std::size_t i = 0; i < all.size(); ++i) {
    test.Say(MessageKind::kGossip, all[i],
             {Claimed(all[(i + 1) % all.size()], MemberState::kSuspect, all[i].name)});
  }
  test.Pass(2 * kSecond, all);
  for (const Outgoing& o : test.datagrams) {
    if (!o.over_stream) CHECK(EncodedSizeBound(o.message) <= 1400);
  }
}

TEST_CASE("an operator can remove dead members, and only those") {
  TestMembership test;
  MemberRecord a = TestMembership::Of("a"), b = TestMembership::Of("b");
  test.Join(a);
  test.Join(b);
  CHECK_FALSE(test.view.ForceRemove(test.now, "b"));
  CHECK_FALSE(test.view.ForceRemove(test.now, "nobody"));
  test.Pass(15 * kSecond, {a});
  REQUIRE(test.StateOf("b") == MemberState::kDead);
  CHECK(test.view.ForceRemove(test.now, "b"));
  CHECK(test.StateOf("b") == MemberState::kLeft);
}

TEST_CASE("updates that others send too are sent less often; a single repeating member suppresses nothing") {
  auto told = [](int tellers, int times) {
    TestMembership test;
    std::vector<MemberRecord> all;
    for (int i = 0; i < 40; ++i) {
      all.push_back(TestMembership::Of("m" + std::to_string(i)));
      test.Join(all.back());
    }
    test.Pass(60 * kSecond, all);
    REQUIRE(test.view.pending_updates() == 0);
    MemberRecord fresh = all[39];
    fresh.incarnation = 1;
    test.Say(MessageKind::kGossip, all[0], {fresh});
    REQUIRE(test.view.pending_updates() == 1);
    for (int t = 0; t < times; ++t) {
      for (int i = 0; i < tellers; ++i)
        test.Say(MessageKind::kGossip, all[static_cast<std::size_t>(i)], {fresh});
    }
    test.datagrams.clear();
    test.Pass(20 * kSecond, all);
    return std::count_if(test.datagrams.begin(), test.datagrams.end(), [&](const Outgoing& o) {
      return std::any_of(o.message.updates.begin(), o.message.updates.end(),
                         [&](const MemberRecord& r) { return r.name == fresh.name && r.incarnation == 1; });
    });
  };
  auto alone = told(0, 0);
  CHECK(alone > 20);
  CHECK(told(1, 1000) >= alone - 1);
  CHECK(told(16, 1) < alone - 8);
}

TEST_CASE("pings are repeated until answered, and a loss does not count as a delay") {
  TestMembership test;
  MemberRecord a = TestMembership::Of("a");
  test.Join(a);
  // Only the last repetition of each ping is answered, immediately.
  std::map<std::uint64_t, int> asked;
  int most = 0;
  for (TimePoint end = test.now + 30 * kSecond; test.now < end;) {
    test.now += Membership::kTickInterval;
    test.Tick();
    std::vector<Outgoing> out;
    std::swap(out, test.out);
    for (const Outgoing& one : out) {
      if (one.message.kind != MessageKind::kPing || one.address != a.address) continue;
      int times = ++asked[one.message.sequence & ~7ULL];
      most = std::max(most, times);
      if (times == 5) test.Say(MessageKind::kAck, a, {}, one.message.sequence);
    }
  }
  CHECK(most == 5);
  CHECK(test.StateOf("a") == MemberState::kAlive);
  // Pings are as frequent as for a member that answers the first one: the timeout has not grown.
  CHECK(asked.size() >= 55);
}

TEST_CASE("a member that learns of a suspicion probes the suspect immediately if few others can confirm it") {
  TestMembership test;
  std::vector<MemberRecord> all;
  for (int i = 0; i < 5; ++i) {
    all.push_back(TestMembership::Of("m" + std::to_string(i)));
    test.Join(all.back());
  }
  test.Pass(5 * kSecond, all);
  test.datagrams.clear();
  test.Say(MessageKind::kGossip, all[0], {Claimed(all[4], MemberState::kSuspect, "m1")});
  test.Pass(Membership::kTickInterval, all);
  CHECK(std::any_of(test.datagrams.begin(), test.datagrams.end(), [&](const Outgoing& o) {
    return o.address == all[4].address && o.message.kind == MessageKind::kPing;
  }));
}

TEST_CASE("a process paused during a probe does not count the late answer as a death") {
  TestMembership test;
  MemberRecord a = TestMembership::Of("a"), b = TestMembership::Of("b");
  test.Join(a);
  test.Join(b);
  test.Pass(5 * kSecond, {a, b});
  std::uint64_t open = 0;
  const MemberRecord* whom = nullptr;
  while (open == 0) {
    test.now += Membership::kTickInterval;
    test.Tick();
    for (const Outgoing& one : std::exchange(test.out, {})) {
      if (one.message.kind != MessageKind::kPing) continue;
      open = one.message.sequence;
      whom = one.address == a.address ? &a : &b;
    }
  }
  test.now += 30 * kSecond;
  test.Tick();
  test.Say(MessageKind::kAck, *whom, {}, open);
  test.Pass(5 * kSecond, {a, b});
  for (const Event& event : test.view.events()) CHECK(event.kind != EventKind::kSuspected);
}

TEST_CASE(
    "a start that finds the wall clock behind outdoes its own dead past; one voice doesn't raise it for "
    "ever") {
  MemberRecord a = TestMembership::Of("a"), b = TestMembership::Of("b"),
               past = TestMembership::Of("self", 5000);
  past.state = MemberState::kDead;
  for (bool own_address : {true, false}) {
    TestMembership test;
    test.Join(a);
    test.Join(b);
    test.Pass(10 * kSecond, {a, b});
    if (own_address) past.address = test.view.self().address;
    test.Say(MessageKind::kGossip, a, {past});
    test.Say(MessageKind::kGossip, a, {past});
    CHECK(test.view.self().boot == (own_address ? 5001 : 100));
    test.Say(MessageKind::kGossip, b, {past});
    CHECK(test.view.self().boot == 5001);
    past.boot = (1ULL << 62) - 1;
    test.Say(MessageKind::kGossip, a, {past});
    test.Say(MessageKind::kGossip, b, {past});
    CHECK(test.view.self().boot == 5001);
    past = TestMembership::Of("self", 5000);
    past.state = MemberState::kDead;
  }
}

// ---- In simulated time ----

std::string FirstFailure(const lab::Trial& base, std::uint64_t first, std::uint64_t last) {
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    lab::Trial trial = base;
    trial.seed = seed;
    std::string wrong = lab::PlayTrial(trial);
    if (!wrong.empty()) return "seed " + std::to_string(seed) + ": " + wrong;
  }
  return {};
}

TEST_CASE("member tables converge after random faults, for many seeds") {
  CHECK(FirstFailure({}, 1, 40) == "");
  lab::Trial small;
  small.members = 3;
  small.seedless = true;
  CHECK(FirstFailure(small, 1, 40) == "");
}

// Two halves are partitioned and reconnected, with unusable seeds. Returns why they differ 20 s later, or an
// empty text.
std::string Halves(const TestFaults& faults, Duration apart) {
  lab::World world(5, 4, {}, {}, faults);
  for (int i = 0; i < world.size(); ++i) world.Start(i);
  world.Run(world.now() + ToMicros(10 * kSecond));
  world.ForgetSeeds();
  world.Reach([](int a, int b) { return (a < 2) == (b < 2); });
  world.Run(world.now() + ToMicros(apart));
  std::string why;
  REQUIRE_FALSE(world.Agree(&why));
  why.clear();
  world.Reach(nullptr);
  world.Run(world.now() + ToMicros(20 * kSecond));
  world.Agree(&why);
  return why;
}

TEST_CASE("a planted bug is detected, and its seed replays") {
  lab::Trial no_refute, forever;
  no_refute.planted.never_refute = true;
  forever.planted.never_retire_updates = true;
  for (const lab::Trial& flawed : {no_refute, forever}) {
    std::string wrong = FirstFailure(flawed, 1, 60);
    CHECK(wrong != "");
    CHECK(FirstFailure(flawed, 1, 60) == wrong);
  }
  TestFaults forget;
  forget.never_retry_dead = true;
  CHECK(Halves(forget, 60 * kSecond) != "");
  CHECK(Halves({}, 60 * kSecond) == "");
}

TEST_CASE("no member is declared dead without a fault, without loss and with a fifth of all datagrams lost") {
  for (double loss : {0.0, 0.2}) {
    lab::Network network;
    network.loss = loss;
    lab::World world(30, 3, {}, network);
    for (int i = 0; i < world.size(); ++i) world.Start(i);
    world.Run(world.now() + ToMicros(60 * kSecond));
    CAPTURE(loss);
    CHECK(world.deaths() == 0);
    std::string why;
    if (loss == 0) {
      CHECK(world.Agree(&why));
      CHECK(why == "");
    }
  }
}

TEST_CASE("two halves that were partitioned for a day converge without an operator and without seeds") {
  CHECK(Halves({}, 24 * 3600 * kSecond) == "");
}

}  // namespace
}  // namespace dappletiller::membership
