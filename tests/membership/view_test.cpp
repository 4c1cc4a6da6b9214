// The view, fed by hand and in simulated time: whom it believes, what it bounds, and that it settles. The
// planted flaws show that the trials can fail.
#include "membership/view.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lab/world.hpp"

namespace dappletiller::membership {
namespace {

constexpr Micros kSecond = 1'000'000;

// One view, and a hand that plays everybody else.
class Hand {
 public:
  Hand() : view(Named(), 5) {
    view.Start(now, &out);
    out.clear();
  }
  static Settings Named() {
    Settings s;
    s.name = "self";
    s.address = "127.0.0.1:1";
    s.boot = 100;
    s.seeds = {"127.0.0.1:2"};
    return s;
  }
  static Record Of(const std::string& name, std::uint64_t boot = 10, std::uint64_t incarnation = 0) {
    Record r;
    r.name = name;
    r.boot = boot;
    r.incarnation = incarnation;
    r.address = "127.0.0.2:" + std::to_string(1 + std::hash<std::string>()(name) % 60000);
    return r;
  }
  // Lets time pass; `answer` says who answers its questions.
  void Pass(Micros span, const std::vector<Record>& answer = {}) {
    for (Micros end = now + span; now < end;) {
      now += View::kTick;
      view.Tick(now, &out);
      Answer(answer);
    }
  }
  void Answer(const std::vector<Record>& who) {
    std::vector<Out> asked;
    std::swap(asked, out);
    for (const Out& one : asked) {
      datagrams.push_back(one);
      for (const Record& r : who) {
        if (one.to != r.address || one.message.kind != Kind::kPing) continue;
        Say(Kind::kAck, r, {}, one.message.sequence);
      }
    }
  }
  void Say(Kind kind, const Record& from, std::vector<Record> updates = {}, std::uint64_t sequence = 0) {
    Message m;
    m.kind = kind;
    m.from = from;
    m.to = "self";
    m.to_boot = view.self().boot;
    m.number = ++number;
    m.sequence = sequence;
    m.updates = std::move(updates);
    last = m;
    view.Receive(now, m, &out);
  }
  void Join(const Record& r) {
    Say(Kind::kPing, r);
    joined.push_back(r);
    Pass(kSecond / 5, joined);
    REQUIRE(view.members().count(r.name) == 1);
  }
  State StateOf(const std::string& name) const { return view.members().at(name).record.state; }

  Micros now = 50 * kSecond;
  std::vector<Out> out;
  std::vector<Record> joined;
  std::vector<Out> datagrams;  // all that was ever sent
  View view;
  std::uint64_t number = 0;
  Message last;
};

Record Claimed(const Record& r, State state, const std::string& accuser = {}) {
  Record c = r;
  c.state = state;
  c.accuser = accuser;
  c.address.clear();
  return c;
}

TEST_CASE("hearsay tells only whom to ask: nobody enters without an answer of its own") {
  Hand hand;
  Record a = Hand::Of("a"), phantom = Hand::Of("phantom");
  hand.Join(a);
  hand.Say(Kind::kGossip, a, {phantom});
  hand.Pass(2 * kSecond, {a});
  CHECK(hand.view.members().count("phantom") == 0);
  bool asked = std::any_of(hand.datagrams.begin(), hand.datagrams.end(),
                           [&](const Out& o) { return o.to == phantom.address; });
  CHECK(asked);
  hand.Pass(6 * kSecond, {a});
  hand.Say(Kind::kGossip, a, {phantom});
  hand.Pass(kSecond, {a, phantom});
  CHECK(hand.view.members().count("phantom") == 1);
}

TEST_CASE("nobody is dead on another's word, and one who calls everybody ill is no longer believed") {
  Hand hand;
  std::vector<Record> all;
  for (int i = 0; i < 20; ++i) {
    all.push_back(Hand::Of("m" + std::to_string(i)));
    hand.Join(all.back());
  }
  std::vector<Record> lies;
  for (int i = 1; i < 20; ++i) lies.push_back(Claimed(all[static_cast<std::size_t>(i)], State::kDead, "m0"));
  hand.Say(Kind::kGossip, all[0], lies);
  auto suspects = std::count_if(hand.view.members().begin(), hand.view.members().end(),
                                [](const auto& m) { return m.second.record.state != State::kAlive; });
  CHECK(suspects <= 5);
  CHECK(hand.view.counts().accusations_ignored >= 14);
  // They all answer, without ever hearing of it: none dies however long it is said.
  for (int i = 0; i < 20; ++i) {
    hand.Say(Kind::kGossip, all[0], lies);
    hand.Pass(kSecond, all);
  }
  CHECK(hand.view.counts().deaths == 0);
}

TEST_CASE("silence kills: suspected, asked again, then dead, and alive again by its own answer") {
  Hand hand;
  Record a = Hand::Of("a"), b = Hand::Of("b"), c = Hand::Of("c");
  for (const Record& r : {a, b, c}) hand.Join(r);
  hand.Pass(12 * kSecond, {a, b});
  CHECK(hand.StateOf("c") == State::kDead);
  CHECK(hand.StateOf("a") == State::kAlive);
  CHECK(hand.view.counts().deaths == 1);
  // That others call it alive changes nothing; that it answers does.
  hand.Say(Kind::kGossip, a, {Hand::Of("c", 10, 3)});
  CHECK(hand.StateOf("c") == State::kDead);
  hand.Pass(10 * kSecond, {a, b, c});
  CHECK(hand.StateOf("c") == State::kAlive);
}

TEST_CASE(
    "a later incarnation's attributes are taken from gossip: new ones, later versions, and no more than "
    "fit") {
  Hand hand;
  Record a = Hand::Of("a"), b = Hand::Of("b");
  hand.Join(a);
  hand.Join(b);
  Record later = b;
  later.incarnation = 1;
  later.attributes = {{"first", 1, "one"}};
  hand.Say(Kind::kGossip, a, {later});
  const std::vector<Attribute>& known = hand.view.members().at("b").record.attributes;
  REQUIRE(known.size() == 1);
  CHECK(known[0] == Attribute{"first", 1, "one"});
  later.incarnation = 2;
  later.attributes = {{"first", 2, "two"}, {"second", 1, "new"}};
  hand.Say(Kind::kGossip, a, {later});
  CHECK(known == std::vector<Attribute>{{"first", 2, "two"}, {"second", 1, "new"}});
  later.incarnation = 3;
  later.attributes = {{"first", 1, "old"}};
  for (std::size_t i = 1; i < kMostAttributes; ++i)
    later.attributes.push_back({"k" + std::to_string(i), 1, "x"});
  hand.Say(Kind::kGossip, a, {later});
  CHECK(known.size() == kMostAttributes);
  CHECK(known[0] == Attribute{"first", 2, "two"});
}

TEST_CASE("incarnations and starts near the end of the numbers are not taken from hearsay") {
  Hand hand;
  Record a = Hand::Of("a"), b = Hand::Of("b");
  hand.Join(a);
  hand.Join(b);
  Record far = Claimed(b, State::kSuspect, "a");
  far.incarnation = (1ULL << 62) - 2;
  hand.Say(Kind::kGossip, a, {far});
  CHECK(hand.StateOf("b") == State::kAlive);
  CHECK(hand.view.members().at("b").record.incarnation == 0);
  Record self = hand.view.self();
  Record about = Claimed(self, State::kDead, "a");
  about.incarnation = (1ULL << 62) - 2;
  hand.Say(Kind::kGossip, a, {about});
  CHECK(hand.view.self().incarnation == self.incarnation);
  about.incarnation = self.incarnation;
  hand.Say(Kind::kGossip, a, {about});
  CHECK(hand.view.self().incarnation == self.incarnation + 1);
}

TEST_CASE("a message that comes again, for another, or for an earlier start does nothing but count") {
  Hand hand;
  Record a = Hand::Of("a"), b = Hand::Of("b");
  hand.Join(a);
  hand.Join(b);
  hand.Say(Kind::kGossip, a, {Claimed(b, State::kSuspect, "a")});
  CHECK(hand.StateOf("b") == State::kSuspect);
  hand.Pass(kSecond, {a, Hand::Of("b", 10, 1)});
  CHECK(hand.StateOf("b") == State::kAlive);
  std::uint64_t before = hand.view.counts().replayed;
  hand.view.Receive(hand.now, hand.last, &hand.out);
  CHECK(hand.view.counts().replayed == before + 1);
  Message other = hand.last;
  other.number = ++hand.number;
  other.to = "somebody";
  hand.view.Receive(hand.now, other, &hand.out);
  other.to = "self";
  other.to_boot = 99;
  other.kind = Kind::kGossip;
  hand.view.Receive(hand.now, other, &hand.out);
  CHECK(hand.view.counts().misaddressed == 2);
}

TEST_CASE("a forger's high numbers hold a member up only until it answers a question") {
  Hand hand;
  Record a = Hand::Of("a"), b = Hand::Of("b");
  hand.Join(a);
  hand.Join(b);
  hand.number += 1'000'000;
  hand.Say(Kind::kGossip, a);  // forged
  hand.number -= 1'000'000;
  std::uint64_t before = hand.view.counts().replayed;
  hand.Say(Kind::kGossip, a);
  CHECK(hand.view.counts().replayed == before + 1);
  hand.Pass(5 * kSecond, {a, b});  // its answers count
  CHECK(hand.StateOf("a") == State::kAlive);
  before = hand.view.counts().replayed;
  hand.Say(Kind::kGossip, a);
  CHECK(hand.view.counts().replayed == before);
}

TEST_CASE("a process that stood still blames itself, not the others") {
  Hand hand;
  std::vector<Record> all = {Hand::Of("a"), Hand::Of("b"), Hand::Of("c")};
  for (const Record& r : all) hand.Join(r);
  hand.Pass(3 * kSecond, all);
  hand.view.Tick(hand.now + View::kTick, &hand.out);  // questions are out, and nobody can hear the answers
  hand.now += 30 * kSecond;
  hand.view.Tick(hand.now, &hand.out);
  CHECK(hand.view.counts().pauses == 1);
  hand.Pass(5 * kSecond, all);
  CHECK(hand.view.counts().deaths == 0);
  for (const Record& r : all) CHECK(hand.StateOf(r.name) != State::kDead);
}

TEST_CASE("a leave counts by one's own word at once, and by another's only if the one is silent") {
  Hand hand;
  Record a = Hand::Of("a"), b = Hand::Of("b"), c = Hand::Of("c");
  for (const Record& r : {a, b, c}) hand.Join(r);
  hand.Say(Kind::kGossip, a, {Claimed(b, State::kLeft)});
  hand.Pass(2 * kSecond, {a, b, c});
  CHECK(hand.StateOf("b") == State::kAlive);
  hand.Say(Kind::kGossip, a, {Claimed(c, State::kLeft)});
  hand.Pass(2 * kSecond, {a, b});
  CHECK(hand.StateOf("c") == State::kLeft);
  Record leaving = b;
  leaving.state = State::kLeft;
  leaving.incarnation = 1;
  hand.Say(Kind::kGossip, leaving);
  CHECK(hand.StateOf("b") == State::kLeft);
}

TEST_CASE("who has just come takes its name over; who was there gives it up once the other is proved") {
  Hand hand;  // started at boot 100, less than three seconds ago
  Record a = Hand::Of("a");
  hand.Join(a);
  Record twin = Hand::Of("self", 200);
  hand.Say(Kind::kGossip, a, {twin});
  CHECK(hand.view.self().boot == 201);
  hand.Pass(10 * kSecond, {a});
  twin.boot = 300;
  hand.Say(Kind::kGossip, a, {twin});
  hand.Pass(4 * kSecond, {a});
  CHECK_FALSE(hand.view.displaced());  // hearsay alone
  hand.Say(Kind::kGossip, a, {twin});
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
  std::vector<Record> all;
  for (int i = 0; i < 40; ++i) {
    all.push_back(Hand::Of("m" + std::to_string(i)));
    hand.Join(all.back());
  }
  for (int i = 0; i < 20'000; ++i) {
    hand.Say(Kind::kGossip, all[0],
             {Hand::Of("phantom" + std::to_string(i)),
              Claimed(all[static_cast<std::size_t>(1 + i % 39)], State::kSuspect, "m0")});
    if (i % 500 == 0) hand.Pass(View::kTick, all);
  }
  hand.Pass(2 * kSecond, all);
  CHECK(hand.view.members().size() == 40);
  CHECK(hand.view.pending() <= 1024);
  CHECK(hand.view.news() <= 40 * 5);
  CHECK(hand.view.changes().size() <= 1024);
  for (const Out& o : hand.datagrams) {
    if (!o.stream) CHECK(SizeOf(o.message) <= 1400);
  }
}

TEST_CASE("a datagram full of news to a member with a long name keeps its bound") {
  Hand hand;
  std::vector<Record> all;
  for (int i = 0; i < 30; ++i) {
    all.push_back(Hand::Of(std::to_string(i) + std::string(60, 'n')));
    hand.Join(all.back());
  }
  // Each accuses once, so that each is believed.
  for (std::size_t i = 0; i < all.size(); ++i) {
    hand.Say(Kind::kGossip, all[i], {Claimed(all[(i + 1) % all.size()], State::kSuspect, all[i].name)});
  }
  hand.Pass(2 * kSecond, all);
  for (const Out& o : hand.datagrams) {
    if (!o.stream) CHECK(SizeOf(o.message) <= 1400);
  }
}

TEST_CASE("an operator's word lets a dead one rest, and only a dead one") {
  Hand hand;
  Record a = Hand::Of("a"), b = Hand::Of("b");
  hand.Join(a);
  hand.Join(b);
  CHECK_FALSE(hand.view.Reap(hand.now, "b"));
  CHECK_FALSE(hand.view.Reap(hand.now, "nobody"));
  hand.Pass(15 * kSecond, {a});
  REQUIRE(hand.StateOf("b") == State::kDead);
  CHECK(hand.view.Reap(hand.now, "b"));
  CHECK(hand.StateOf("b") == State::kLeft);
}

TEST_CASE("news that others tell as well is told less; one who repeats it silences nothing") {
  auto told = [](int tellers, int times) {
    Hand hand;
    std::vector<Record> all;
    for (int i = 0; i < 40; ++i) {
      all.push_back(Hand::Of("m" + std::to_string(i)));
      hand.Join(all.back());
    }
    hand.Pass(60 * kSecond, all);
    REQUIRE(hand.view.news() == 0);
    Record fresh = all[39];
    fresh.incarnation = 1;
    hand.Say(Kind::kGossip, all[0], {fresh});
    REQUIRE(hand.view.news() == 1);
    for (int t = 0; t < times; ++t) {
      for (int i = 0; i < tellers; ++i) hand.Say(Kind::kGossip, all[static_cast<std::size_t>(i)], {fresh});
    }
    hand.datagrams.clear();
    hand.Pass(20 * kSecond, all);
    return std::count_if(hand.datagrams.begin(), hand.datagrams.end(), [&](const Out& o) {
      return std::any_of(o.message.updates.begin(), o.message.updates.end(),
                         [&](const Record& r) { return r.name == fresh.name && r.incarnation == 1; });
    });
  };
  auto alone = told(0, 0);
  CHECK(alone > 20);
  CHECK(told(1, 1000) >= alone - 1);
  CHECK(told(16, 1) < alone - 8);
}

TEST_CASE("a question is asked again while no answer comes, and a loss does not pass for a delay") {
  Hand hand;
  Record a = Hand::Of("a");
  hand.Join(a);
  // Only the last repetition of each question is answered, at once.
  std::map<std::uint64_t, int> asked;
  int most = 0;
  for (Micros end = hand.now + 30 * kSecond; hand.now < end;) {
    hand.now += View::kTick;
    hand.view.Tick(hand.now, &hand.out);
    std::vector<Out> out;
    std::swap(out, hand.out);
    for (const Out& one : out) {
      if (one.message.kind != Kind::kPing || one.to != a.address) continue;
      int times = ++asked[one.message.sequence & ~7ULL];
      most = std::max(most, times);
      if (times == 5) hand.Say(Kind::kAck, a, {}, one.message.sequence);
    }
  }
  CHECK(most == 5);
  CHECK(hand.StateOf("a") == State::kAlive);
  // Questions still come as often as to one that answers the first: the wait has not grown.
  CHECK(asked.size() >= 55);
}

TEST_CASE("who hears of a suspicion looks itself, at once, while few are there to confirm it") {
  Hand hand;
  std::vector<Record> all;
  for (int i = 0; i < 5; ++i) {
    all.push_back(Hand::Of("m" + std::to_string(i)));
    hand.Join(all.back());
  }
  hand.Pass(5 * kSecond, all);
  hand.datagrams.clear();
  hand.Say(Kind::kGossip, all[0], {Claimed(all[4], State::kSuspect, "m1")});
  hand.Pass(View::kTick, all);
  CHECK(std::any_of(hand.datagrams.begin(), hand.datagrams.end(),
                    [&](const Out& o) { return o.to == all[4].address && o.message.kind == Kind::kPing; }));
}

TEST_CASE("who stood still with a question open does not take the answer's lateness for a death") {
  Hand hand;
  Record a = Hand::Of("a"), b = Hand::Of("b");
  hand.Join(a);
  hand.Join(b);
  hand.Pass(5 * kSecond, {a, b});
  std::uint64_t open = 0;
  const Record* whom = nullptr;
  while (open == 0) {
    hand.now += View::kTick;
    hand.view.Tick(hand.now, &hand.out);
    for (const Out& one : std::exchange(hand.out, {})) {
      if (one.message.kind != Kind::kPing) continue;
      open = one.message.sequence;
      whom = one.to == a.address ? &a : &b;
    }
  }
  hand.now += 30 * kSecond;
  hand.view.Tick(hand.now, &hand.out);
  hand.Say(Kind::kAck, *whom, {}, open);
  hand.Pass(5 * kSecond, {a, b});
  for (const Change& change : hand.view.changes()) CHECK(change.event != Event::kSuspect);
}

TEST_CASE(
    "a start that finds the wall clock behind outdoes its own dead past; one voice doesn't raise it for "
    "ever") {
  Record a = Hand::Of("a"), b = Hand::Of("b"), past = Hand::Of("self", 5000);
  past.state = State::kDead;
  for (bool own_address : {true, false}) {
    Hand hand;
    hand.Join(a);
    hand.Join(b);
    hand.Pass(10 * kSecond, {a, b});
    if (own_address) past.address = hand.view.self().address;
    hand.Say(Kind::kGossip, a, {past});
    hand.Say(Kind::kGossip, a, {past});
    CHECK(hand.view.self().boot == (own_address ? 5001 : 100));
    hand.Say(Kind::kGossip, b, {past});
    CHECK(hand.view.self().boot == 5001);
    past.boot = (1ULL << 62) - 1;
    hand.Say(Kind::kGossip, a, {past});
    hand.Say(Kind::kGossip, b, {past});
    CHECK(hand.view.self().boot == 5001);
    past = Hand::Of("self", 5000);
    past.state = State::kDead;
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
std::string Halves(const Settings& base, Micros apart) {
  lab::World world(5, 4, base, {});
  for (int i = 0; i < world.size(); ++i) world.Start(i);
  world.Run(world.now() + 10 * kSecond);
  world.ForgetSeeds();
  world.Reach([](int a, int b) { return (a < 2) == (b < 2); });
  world.Run(world.now() + apart);
  std::string why;
  REQUIRE_FALSE(world.Agree(&why));
  why.clear();
  world.Reach(nullptr);
  world.Run(world.now() + 20 * kSecond);
  world.Agree(&why);
  return why;
}

TEST_CASE("a planted flaw is found, and its seed replays") {
  lab::Trial no_refute, forever;
  no_refute.base.flaw_no_refute = true;
  forever.base.flaw_tell_forever = true;
  for (const lab::Trial& flawed : {no_refute, forever}) {
    std::string wrong = FirstFailure(flawed, 1, 60);
    CHECK(wrong != "");
    CHECK(FirstFailure(flawed, 1, 60) == wrong);
  }
  Settings forget;
  forget.flaw_forget_dead = true;
  CHECK(Halves(forget, 60 * kSecond) != "");
  CHECK(Halves({}, 60 * kSecond) == "");
}

TEST_CASE("without a cause nobody dies: no loss, and a fifth of all datagrams lost") {
  for (double loss : {0.0, 0.2}) {
    lab::Network network;
    network.loss = loss;
    lab::World world(30, 3, {}, network);
    for (int i = 0; i < world.size(); ++i) world.Start(i);
    world.Run(world.now() + 60 * kSecond);
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
