// The view, fed by hand and in simulated time: whom it believes, what it bounds, and that it settles. The
// planted flaws show that the trials can fail.
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

// One view, and a hand that plays everybody else.
class Hand {
 public:
  Hand() : view(Named(), 5) { static_cast<void>(view.Start(now)); }
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
  // Lets time pass; `answer` says who answers its questions.
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
  std::vector<Outgoing> datagrams;  // all that was ever sent
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

TEST_CASE("hearsay tells only whom to ask: nobody enters without an answer of its own") {
  Hand hand;
  MemberRecord a = Hand::Of("a"), phantom = Hand::Of("phantom");
  hand.Join(a);
  hand.Say(MessageKind::kGossip, a, {phantom});
  hand.Pass(2 * kSecond, {a});
  CHECK(hand.view.members().count("phantom") == 0);
  bool asked = std::any_of(hand.datagrams.begin(), hand.datagrams.end(),
                           [&](const Outgoing& o) { return o.address == phantom.address; });
  CHECK(asked);
  hand.Pass(6 * kSecond, {a});
  hand.Say(MessageKind::kGossip, a, {phantom});
  hand.Pass(kSecond, {a, phantom});
  CHECK(hand.view.members().count("phantom") == 1);
}

TEST_CASE("nobody is dead on another's word, and one who calls everybody ill is no longer believed") {
  Hand hand;
  std::vector<MemberRecord> all;
  for (int i = 0; i < 20; ++i) {
    all.push_back(Hand::Of("m" + std::to_string(i)));
    hand.Join(all.back());
  }
  std::vector<MemberRecord> lies;
  for (int i = 1; i < 20; ++i)
    lies.push_back(Claimed(all[static_cast<std::size_t>(i)], MemberState::kDead, "m0"));
  hand.Say(MessageKind::kGossip, all[0], lies);
  auto suspects = std::count_if(hand.view.members().begin(), hand.view.members().end(),
                                [](const auto& m) { return m.second.record.state != MemberState::kAlive; });
  CHECK(suspects <= 5);
  CHECK(hand.view.counters().accusations_ignored >= 14);
  // They all answer, without ever hearing of it: none dies however long it is said.
  for (int i = 0; i < 20; ++i) {
    hand.Say(MessageKind::kGossip, all[0], lies);
    hand.Pass(kSecond, all);
  }
  CHECK(hand.view.counters().deaths == 0);
}

TEST_CASE("silence kills: suspected, asked again, then dead, and alive again by its own answer") {
  Hand hand;
  MemberRecord a = Hand::Of("a"), b = Hand::Of("b"), c = Hand::Of("c");
  for (const MemberRecord& r : {a, b, c}) hand.Join(r);
  hand.Pass(12 * kSecond, {a, b});
  CHECK(hand.StateOf("c") == MemberState::kDead);
  CHECK(hand.StateOf("a") == MemberState::kAlive);
  CHECK(hand.view.counters().deaths == 1);
  // That others call it alive changes nothing; that it answers does.
  hand.Say(MessageKind::kGossip, a, {Hand::Of("c", 10, 3)});
  CHECK(hand.StateOf("c") == MemberState::kDead);
  hand.Pass(10 * kSecond, {a, b, c});
  CHECK(hand.StateOf("c") == MemberState::kAlive);
}

TEST_CASE(
    "a later incarnation's attributes are taken from gossip: new ones, later versions, and no more than "
    "fit") {
  Hand hand;
  MemberRecord a = Hand::Of("a"), b = Hand::Of("b");
  hand.Join(a);
  hand.Join(b);
  MemberRecord later = b;
  later.incarnation = 1;
  later.attributes = {{"first", 1, "one"}};
  hand.Say(MessageKind::kGossip, a, {later});
  const std::vector<Attribute>& known = hand.view.members().at("b").record.attributes;
  REQUIRE(known.size() == 1);
  CHECK(known[0] == Attribute{"first", 1, "one"});
  later.incarnation = 2;
  later.attributes = {{"first", 2, "two"}, {"second", 1, "new"}};
  hand.Say(MessageKind::kGossip, a, {later});
  CHECK(known == std::vector<Attribute>{{"first", 2, "two"}, {"second", 1, "new"}});
  later.incarnation = 3;
  later.attributes = {{"first", 1, "old"}};
  for (std::size_t i = 1; i < kMaxAttributes; ++i)
    later.attributes.push_back({"k" + std::to_string(i), 1, "x"});
  hand.Say(MessageKind::kGossip, a, {later});
  CHECK(known.size() == kMaxAttributes);
  CHECK(known[0] == Attribute{"first", 2, "two"});
}

TEST_CASE("incarnations and starts near the end of the numbers are not taken from hearsay") {
  Hand hand;
  MemberRecord a = Hand::Of("a"), b = Hand::Of("b");
  hand.Join(a);
  hand.Join(b);
  MemberRecord far = Claimed(b, MemberState::kSuspect, "a");
  far.incarnation = (1ULL << 62) - 2;
  hand.Say(MessageKind::kGossip, a, {far});
  CHECK(hand.StateOf("b") == MemberState::kAlive);
  CHECK(hand.view.members().at("b").record.incarnation == 0);
  MemberRecord self = hand.view.self();
  MemberRecord about = Claimed(self, MemberState::kDead, "a");
  about.incarnation = (1ULL << 62) - 2;
  hand.Say(MessageKind::kGossip, a, {about});
  CHECK(hand.view.self().incarnation == self.incarnation);
  about.incarnation = self.incarnation;
  hand.Say(MessageKind::kGossip, a, {about});
  CHECK(hand.view.self().incarnation == self.incarnation + 1);
}

TEST_CASE("a message that comes again, for another, or for an earlier start does nothing but count") {
  Hand hand;
  MemberRecord a = Hand::Of("a"), b = Hand::Of("b");
  hand.Join(a);
  hand.Join(b);
  hand.Say(MessageKind::kGossip, a, {Claimed(b, MemberState::kSuspect, "a")});
  CHECK(hand.StateOf("b") == MemberState::kSuspect);
  hand.Pass(kSecond, {a, Hand::Of("b", 10, 1)});
  CHECK(hand.StateOf("b") == MemberState::kAlive);
  std::uint64_t before = hand.view.counters().replayed;
  hand.Receive(hand.last);
  CHECK(hand.view.counters().replayed == before + 1);
  Message other = hand.last;
  other.number = ++hand.number;
  other.recipient = "somebody";
  hand.Receive(other);
  other.recipient = "self";
  other.recipient_boot = 99;
  other.kind = MessageKind::kGossip;
  hand.Receive(other);
  CHECK(hand.view.counters().misaddressed == 2);
}

TEST_CASE("a forger's high numbers hold a member up only until it answers a question") {
  Hand hand;
  MemberRecord a = Hand::Of("a"), b = Hand::Of("b");
  hand.Join(a);
  hand.Join(b);
  hand.number += 1'000'000;
  hand.Say(MessageKind::kGossip, a);  // forged
  hand.number -= 1'000'000;
  std::uint64_t before = hand.view.counters().replayed;
  hand.Say(MessageKind::kGossip, a);
  CHECK(hand.view.counters().replayed == before + 1);
  hand.Pass(5 * kSecond, {a, b});  // its answers count
  CHECK(hand.StateOf("a") == MemberState::kAlive);
  before = hand.view.counters().replayed;
  hand.Say(MessageKind::kGossip, a);
  CHECK(hand.view.counters().replayed == before);
}

TEST_CASE("a process that stood still blames itself, not the others") {
  Hand hand;
  std::vector<MemberRecord> all = {Hand::Of("a"), Hand::Of("b"), Hand::Of("c")};
  for (const MemberRecord& r : all) hand.Join(r);
  hand.Pass(3 * kSecond, all);
  hand.Collect(hand.view.Tick(
      hand.now + Membership::kTickInterval));  // questions are out, and nobody can hear the answers
  hand.now += 30 * kSecond;
  hand.Tick();
  CHECK(hand.view.counters().pauses == 1);
  hand.Pass(5 * kSecond, all);
  CHECK(hand.view.counters().deaths == 0);
  for (const MemberRecord& r : all) CHECK(hand.StateOf(r.name) != MemberState::kDead);
}

TEST_CASE("a leave counts by one's own word at once, and by another's only if the one is silent") {
  Hand hand;
  MemberRecord a = Hand::Of("a"), b = Hand::Of("b"), c = Hand::Of("c");
  for (const MemberRecord& r : {a, b, c}) hand.Join(r);
  hand.Say(MessageKind::kGossip, a, {Claimed(b, MemberState::kLeft)});
  hand.Pass(2 * kSecond, {a, b, c});
  CHECK(hand.StateOf("b") == MemberState::kAlive);
  hand.Say(MessageKind::kGossip, a, {Claimed(c, MemberState::kLeft)});
  hand.Pass(2 * kSecond, {a, b});
  CHECK(hand.StateOf("c") == MemberState::kLeft);
  MemberRecord leaving = b;
  leaving.state = MemberState::kLeft;
  leaving.incarnation = 1;
  hand.Say(MessageKind::kGossip, leaving);
  CHECK(hand.StateOf("b") == MemberState::kLeft);
}

TEST_CASE("who has just come takes its name over; who was there gives it up once the other is proved") {
  Hand hand;  // started at boot 100, less than three seconds ago
  MemberRecord a = Hand::Of("a");
  hand.Join(a);
  MemberRecord twin = Hand::Of("self", 200);
  hand.Say(MessageKind::kGossip, a, {twin});
  CHECK(hand.view.self().boot == 201);
  hand.Pass(10 * kSecond, {a});
  twin.boot = 300;
  hand.Say(MessageKind::kGossip, a, {twin});
  hand.Pass(4 * kSecond, {a});
  CHECK_FALSE(hand.view.displaced());  // hearsay alone
  hand.Say(MessageKind::kGossip, a, {twin});
  hand.Pass(4 * kSecond, {a, twin});
  CHECK(hand.view.displaced());
  CHECK(hand.view.living() == 0);
  hand.Pass(60 * kSecond, {a, twin});  // nothing flaps while both live
  CHECK(hand.view.displaced());
  hand.Pass(25 * kSecond);  // the twin is silent: the name is free
  CHECK_FALSE(hand.view.displaced());
  CHECK(hand.view.self().boot == 301);
}

TEST_CASE("tables and datagrams stay within their bounds under a flood of claims") {
  Hand hand;
  std::vector<MemberRecord> all;
  for (int i = 0; i < 40; ++i) {
    all.push_back(Hand::Of("m" + std::to_string(i)));
    hand.Join(all.back());
  }
  for (int i = 0; i < 20'000; ++i) {
    hand.Say(MessageKind::kGossip, all[0],
             {Hand::Of("phantom" + std::to_string(i)),
              Claimed(all[static_cast<std::size_t>(1 + i % 39)], MemberState::kSuspect, "m0")});
    if (i % 500 == 0) hand.Pass(Membership::kTickInterval, all);
  }
  hand.Pass(2 * kSecond, all);
  CHECK(hand.view.members().size() == 40);
  CHECK(hand.view.open_probes() <= 1024);
  CHECK(hand.view.pending_updates() <= 40 * 5);
  CHECK(hand.view.events().size() <= 1024);
  for (const Outgoing& o : hand.datagrams) {
    if (!o.over_stream) CHECK(EncodedSizeBound(o.message) <= 1400);
  }
}

TEST_CASE("a datagram full of news to a member with a long name keeps its bound") {
  Hand hand;
  std::vector<MemberRecord> all;
  for (int i = 0; i < 30; ++i) {
    all.push_back(Hand::Of(std::to_string(i) + std::string(60, 'n')));
    hand.Join(all.back());
  }
  // Each accuses once, so that each is believed.
  for (std::size_t i = 0; i < all.size(); ++i) {
    hand.Say(MessageKind::kGossip, all[i],
             {Claimed(all[(i + 1) % all.size()], MemberState::kSuspect, all[i].name)});
  }
  hand.Pass(2 * kSecond, all);
  for (const Outgoing& o : hand.datagrams) {
    if (!o.over_stream) CHECK(EncodedSizeBound(o.message) <= 1400);
  }
}

TEST_CASE("an operator's word lets a dead one rest, and only a dead one") {
  Hand hand;
  MemberRecord a = Hand::Of("a"), b = Hand::Of("b");
  hand.Join(a);
  hand.Join(b);
  CHECK_FALSE(hand.view.ForceRemove(hand.now, "b"));
  CHECK_FALSE(hand.view.ForceRemove(hand.now, "nobody"));
  hand.Pass(15 * kSecond, {a});
  REQUIRE(hand.StateOf("b") == MemberState::kDead);
  CHECK(hand.view.ForceRemove(hand.now, "b"));
  CHECK(hand.StateOf("b") == MemberState::kLeft);
}

TEST_CASE("news that others tell as well is told less; one who repeats it silences nothing") {
  auto told = [](int tellers, int times) {
    Hand hand;
    std::vector<MemberRecord> all;
    for (int i = 0; i < 40; ++i) {
      all.push_back(Hand::Of("m" + std::to_string(i)));
      hand.Join(all.back());
    }
    hand.Pass(60 * kSecond, all);
    REQUIRE(hand.view.pending_updates() == 0);
    MemberRecord fresh = all[39];
    fresh.incarnation = 1;
    hand.Say(MessageKind::kGossip, all[0], {fresh});
    REQUIRE(hand.view.pending_updates() == 1);
    for (int t = 0; t < times; ++t) {
      for (int i = 0; i < tellers; ++i)
        hand.Say(MessageKind::kGossip, all[static_cast<std::size_t>(i)], {fresh});
    }
    hand.datagrams.clear();
    hand.Pass(20 * kSecond, all);
    return std::count_if(hand.datagrams.begin(), hand.datagrams.end(), [&](const Outgoing& o) {
      return std::any_of(o.message.updates.begin(), o.message.updates.end(),
                         [&](const MemberRecord& r) { return r.name == fresh.name && r.incarnation == 1; });
    });
  };
  auto alone = told(0, 0);
  CHECK(alone > 20);
  CHECK(told(1, 1000) >= alone - 1);
  CHECK(told(16, 1) < alone - 8);
}

TEST_CASE("a question is asked again while no answer comes, and a loss does not pass for a delay") {
  Hand hand;
  MemberRecord a = Hand::Of("a");
  hand.Join(a);
  // Only the last repetition of each question is answered, at once.
  std::map<std::uint64_t, int> asked;
  int most = 0;
  for (TimePoint end = hand.now + 30 * kSecond; hand.now < end;) {
    hand.now += Membership::kTickInterval;
    hand.Tick();
    std::vector<Outgoing> out;
    std::swap(out, hand.out);
    for (const Outgoing& one : out) {
      if (one.message.kind != MessageKind::kPing || one.address != a.address) continue;
      int times = ++asked[one.message.sequence & ~7ULL];
      most = std::max(most, times);
      if (times == 5) hand.Say(MessageKind::kAck, a, {}, one.message.sequence);
    }
  }
  CHECK(most == 5);
  CHECK(hand.StateOf("a") == MemberState::kAlive);
  // Questions still come as often as to one that answers the first: the wait has not grown.
  CHECK(asked.size() >= 55);
}

TEST_CASE("who hears of a suspicion looks itself, at once, while few are there to confirm it") {
  Hand hand;
  std::vector<MemberRecord> all;
  for (int i = 0; i < 5; ++i) {
    all.push_back(Hand::Of("m" + std::to_string(i)));
    hand.Join(all.back());
  }
  hand.Pass(5 * kSecond, all);
  hand.datagrams.clear();
  hand.Say(MessageKind::kGossip, all[0], {Claimed(all[4], MemberState::kSuspect, "m1")});
  hand.Pass(Membership::kTickInterval, all);
  CHECK(std::any_of(hand.datagrams.begin(), hand.datagrams.end(), [&](const Outgoing& o) {
    return o.address == all[4].address && o.message.kind == MessageKind::kPing;
  }));
}

TEST_CASE("who stood still with a question open does not take the answer's lateness for a death") {
  Hand hand;
  MemberRecord a = Hand::Of("a"), b = Hand::Of("b");
  hand.Join(a);
  hand.Join(b);
  hand.Pass(5 * kSecond, {a, b});
  std::uint64_t open = 0;
  const MemberRecord* whom = nullptr;
  while (open == 0) {
    hand.now += Membership::kTickInterval;
    hand.Tick();
    for (const Outgoing& one : std::exchange(hand.out, {})) {
      if (one.message.kind != MessageKind::kPing) continue;
      open = one.message.sequence;
      whom = one.address == a.address ? &a : &b;
    }
  }
  hand.now += 30 * kSecond;
  hand.Tick();
  hand.Say(MessageKind::kAck, *whom, {}, open);
  hand.Pass(5 * kSecond, {a, b});
  for (const Event& event : hand.view.events()) CHECK(event.kind != EventKind::kSuspected);
}

TEST_CASE(
    "a start that finds the wall clock behind outdoes its own dead past; one voice doesn't raise it for "
    "ever") {
  MemberRecord a = Hand::Of("a"), b = Hand::Of("b"), past = Hand::Of("self", 5000);
  past.state = MemberState::kDead;
  for (bool own_address : {true, false}) {
    Hand hand;
    hand.Join(a);
    hand.Join(b);
    hand.Pass(10 * kSecond, {a, b});
    if (own_address) past.address = hand.view.self().address;
    hand.Say(MessageKind::kGossip, a, {past});
    hand.Say(MessageKind::kGossip, a, {past});
    CHECK(hand.view.self().boot == (own_address ? 5001 : 100));
    hand.Say(MessageKind::kGossip, b, {past});
    CHECK(hand.view.self().boot == 5001);
    past.boot = (1ULL << 62) - 1;
    hand.Say(MessageKind::kGossip, a, {past});
    hand.Say(MessageKind::kGossip, b, {past});
    CHECK(hand.view.self().boot == 5001);
    past = Hand::Of("self", 5000);
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

TEST_CASE("views settle after random faults, from many seeds") {
  CHECK(FirstFailure({}, 1, 40) == "");
  lab::Trial small;
  small.members = 3;
  small.seedless = true;
  CHECK(FirstFailure(small, 1, 40) == "");
}

// Two halves apart, then together again, the seeds long forgotten: why they don't agree 20 s later, or
// nothing.
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

TEST_CASE("a planted flaw is found, and its seed replays") {
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

TEST_CASE("without a cause nobody dies: no loss, and a fifth of all datagrams lost") {
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

TEST_CASE("two halves that were apart for a day settle without an operator and without seeds") {
  CHECK(Halves({}, 24 * 3600 * kSecond) == "");
}

}  // namespace
}  // namespace dappletiller::membership
