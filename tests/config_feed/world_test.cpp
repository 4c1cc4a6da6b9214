// The settings feed in simulated time: the same Follower and ConfigServer as in the processes, 8 machines
// and up to 1,900 proxies, delays and failures from a seed. Nothing here is timed by a clock.
#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "config_feed/config_server.hpp"

namespace dappletiller::config_feed {
namespace {

constexpr Micros kMs = 1'000;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kAim = 12 * kSecond;  // in force everywhere

class World {
 public:
  struct Machine {
    std::unique_ptr<ConfigServer> control;  // none: its process is not there
    bool silent = false;                    // takes what comes and says nothing
    int region = 0;
    int life = 0;  // questions to an earlier process are lost with it
    Micros busy_until = 0;
    std::size_t wholes = 0;  // pages of wholes told
    struct Waiting {
      int node;
      std::uint64_t number;
      PageRequest question;
      std::string who;
      Micros until;  // the wait at the machine
    };
    std::map<std::uint64_t, Waiting> waiting;
  };
  struct Node {  // a proxy, or a machine in its part as one that follows
    std::unique_ptr<Follower> own;
    int machine = -1;
    int region = 0;
    std::uint64_t number = 0;                     // of the question that is out
    std::map<std::string, std::string> in_force;  // as a proxy goes by it, from what Answered tells
  };

  World(unsigned seed, int machines, int proxies, int regions, std::size_t places, int services = 1)
      : random_(seed), seed_(seed), places_(places) {
    machines_.resize(static_cast<std::size_t>(machines));
    nodes_.resize(static_cast<std::size_t>(machines + proxies));
    for (int m = 0; m < machines; ++m) {
      machine(m).region = m % regions;
      node(m).machine = m;
      node(m).region = m % regions;
      Start(m);
    }
    for (int p = 0; p < proxies; ++p) {
      Node& proxy = node(machines + p);
      proxy.region = p % regions;
      FollowerOptions options = Options(p, proxy.region);
      options.scope.services = {"s" + std::to_string(p % services)};
      proxy.own = std::make_unique<Follower>(options);
      // They don't all begin in one instant.
      Poll(machines + p, static_cast<Micros>(random_() % (200 * kMs)));
    }
  }

  int machines() const { return static_cast<int>(machines_.size()); }
  Machine& machine(int m) { return machines_[static_cast<std::size_t>(m)]; }
  Node& node(int n) { return nodes_[static_cast<std::size_t>(n)]; }
  Node& proxy(int p) { return node(machines() + p); }
  int proxies() const { return static_cast<int>(nodes_.size()) - machines(); }
  Follower& follower(int n) {
    return node(n).own ? *node(n).own : machine(node(n).machine).control->follower();
  }

  void Start(int m) {
    FollowerOptions options;
    options.self = "m" + std::to_string(m);
    options.seed = seed_ + 31 * static_cast<unsigned>(m);
    for (int other = 0; other < machines(); ++other)
      if (other != m) options.others.push_back("m" + std::to_string(other));
    machine(m).control = std::make_unique<ConfigServer>(options, places_);
    machine(m).waiting.clear();
    machine(m).busy_until = 0;
    ++machine(m).life;
    ++node(m).number;
    Poll(m, now + static_cast<Micros>(random_() % (20 * kMs)));
  }
  void Kill(int m) {
    // Whoever waits there hears the end of its connection.
    auto waiting = std::move(machine(m).waiting);
    machine(m).waiting.clear();
    machine(m).control.reset();
    ++machine(m).life;
    ++node(m).number;
    for (auto& [id, w] : waiting) Lose(w.node, w.number, Delay());
  }
  void Part(int a, int b, bool parted) { parted_[{std::min(a, b), std::max(a, b)}] = parted; }
  bool Parted(int a, int b) { return a != b && parted_[{std::min(a, b), std::max(a, b)}]; }

  PublishResult Publish(int m, std::uint64_t serial, const std::vector<Change>& whole) {
    std::set<std::string, std::less<>> touched;
    auto differ = [&](Baseline) {
      const Store& store = machine(m).control->store();
      std::vector<Change> changes;
      std::map<std::string, std::string> wanted;
      for (const Change& c : whole) wanted[c.key] = *c.value;
      store.ForEach([&](const std::string& key, const std::string&) {
        if (wanted.count(key) == 0) changes.push_back({key, std::nullopt, 0});
      });
      for (const auto& [key, value] : wanted) {
        const std::string* held = store.Find(key);
        if (held == nullptr || *held != value) changes.push_back({key, value, 0});
      }
      return changes;
    };
    ConfigServer& control = *machine(m).control;
    auto published =
        control.Publish(now, serial, differ, 1'000'000 + static_cast<std::uint64_t>(now), &touched);
    if (published == PublishResult::kPublished) {
      ++node(m).number;  // the question that was out is void
      Poll(m, now);
      Wake(m);
    }
    return published;
  }

  void Run(Micros until) {
    while (!events_.empty() && std::get<0>(events_.top()) <= until) {
      auto [at, id] = events_.top();
      events_.pop();
      now = at;
      auto it = actions_.find(id);
      auto action = std::move(it->second);
      actions_.erase(it);
      action();
    }
    now = until;
  }
  // Runs until it holds; the time that took, -1 if it never does within `most`.
  Micros Until(Micros most, const std::function<bool()>& holds) {
    Micros begun = now;
    while (now < begun + most) {
      if (holds()) return now - begun;
      Run(now + 50 * kMs);
    }
    return holds() ? now - begun : -1;
  }
  void Restart(int p) {
    Node& n = proxy(p);
    FollowerOptions options = Options(p, n.region);
    options.scope = n.own->scope();
    options.seed += 1;
    n.own = std::make_unique<Follower>(options);
    n.in_force.clear();
    ++n.number;
    Poll(machines() + p, now + static_cast<Micros>(random_() % (50 * kMs)));
  }
  void Move(int p, Scope scope) {
    proxy(p).own->SetScope(now, std::move(scope));
    proxy(p).own->AbandonRequest(now);
    ++proxy(p).number;
    Poll(machines() + p, now);
  }
  bool Everywhere(std::uint64_t serial) {
    for (int p = 0; p < proxies(); ++p)
      if (proxy(p).own->store().head().serial != serial) return false;
    return true;
  }
  std::size_t MostWholes() {
    std::size_t most = 0;
    for (auto& m : machines_)
      if (m.control) most = std::max(most, m.control->admission().max_slots_in_use());
    return most;
  }

  Micros now = 0;
  bool back = false;  // a proxy was ever taken to an older serial
  std::uint64_t bytes_to_proxies = 0;

 private:
  void At(Micros when, std::function<void()> what) {
    actions_[++ids_] = std::move(what);
    events_.push({std::max(when, now), ids_});
  }
  FollowerOptions Options(int p, int region) {
    FollowerOptions options;
    options.self = "p" + std::to_string(p);
    options.seed = seed_ * 7919 + static_cast<unsigned>(p);
    for (int m = 0; m < machines(); ++m)
      (machine(m).region == region ? options.nearby : options.others).push_back("m" + std::to_string(m));
    return options;
  }
  Micros Delay() { return static_cast<Micros>(500 + random_() % (30 * kMs)); }

  // Looks whether a follower has something to ask at `when`.
  void Poll(int n, Micros when) {
    At(when, [this, n] {
      if (!node(n).own && !machine(node(n).machine).control) return;
      auto request = follower(n).NextRequest(now);
      if (!request) {
        if (follower(n).due() != Follower::kNever && follower(n).due() > now) Poll(n, follower(n).due());
        return;
      }
      std::uint64_t number = ++node(n).number;
      At(now + request->timeout, [this, n, number] { Lost(n, number); });
      int m = std::stoi(request->server.substr(1));
      int life = machine(m).life;
      if (Parted(node(n).region, machine(m).region) || machine(m).silent) return;  // it finds out by the time
      if (!machine(m).control) return Lose(n, number, Delay());
      At(now + Delay(), [this, n, m, number, life, request = *request] {
        if (machine(m).life != life) return Lose(n, number, Delay());
        if (machine(m).silent) return;
        Hear(m, {n, number, request.page, Self(n), now + request.wait});
      });
    });
  }
  std::string Self(int n) const {
    return n < static_cast<int>(machines_.size()) ? "m" + std::to_string(n) : "p" + std::to_string(n);
  }

  void Hear(int m, const Machine::Waiting& w) {
    Response reply = machine(m).control->HandleRequest(
        now, w.who, w.question, now < w.until ? IfUnchanged::kWait : IfUnchanged::kAnswer);
    if (reply.kind != Response::Kind::kWait) return Answer(m, w, reply);
    std::uint64_t id = ++ids_;
    machine(m).waiting[id] = w;
    int life = machine(m).life;
    At(w.until, [this, m, id, life] {
      auto it = machine(m).waiting.find(id);
      if (machine(m).life != life || it == machine(m).waiting.end()) return;
      auto waiting = it->second;
      machine(m).waiting.erase(it);
      if (!machine(m).silent) Hear(m, waiting);
    });
  }
  void Wake(int m) {
    auto waiting = std::move(machine(m).waiting);
    machine(m).waiting.clear();
    for (auto& [id, w] : waiting) {
      if (!machine(m).silent) Hear(m, w);
    }
  }

  void Answer(int m, const Machine::Waiting& w, const Response& reply) {
    std::size_t bytes = 0;
    for (const Change& c : reply.page.changes) bytes += c.key.size() + (c.value ? c.value->size() : 0) + 16;
    // Pages of a whole take the machine's time, one after another; a delta goes ahead of them.
    bool whole = reply.kind == Response::Kind::kPage && reply.page.is_snapshot;
    Micros work = whole ? 2 * kMs : 50;
    if (whole) {
      ++machine(m).wholes;
      machine(m).busy_until = std::max(machine(m).busy_until, now) + work;
    }
    Micros leaves = whole ? machine(m).busy_until : now + work;
    if (Parted(node(w.node).region, machine(m).region)) return;
    At(leaves + Delay(), [this, w, reply, bytes] {
      Node& n = node(w.node);
      if (n.number != w.number) return;  // given up meanwhile
      ++n.number;
      Follower& f = follower(w.node);
      std::uint64_t before = f.store().head().serial;
      StorePosition head = f.store().head();
      if (reply.kind == Response::Kind::kBusy) {
        f.OnBusy(now, reply.retry_after);
      } else if (reply.kind == Response::Kind::kBehind) {
        f.OnServerBehind(now);
      } else {
        auto changes = f.OnPage(now, reply.page, bytes);
        if (n.own) bytes_to_proxies += bytes;
        for (const Change& c : changes) {
          if (c.value) n.in_force[c.key] = *c.value;
          if (!c.value) n.in_force.erase(c.key);
        }
        back = back || f.store().head().serial < before;
        if (!n.own && !(f.store().head() == head)) Wake(n.machine);
      }
      Poll(w.node, f.due());
    });
  }
  void Lose(int n, std::uint64_t number, Micros after) {
    At(now + after, [this, n, number] { Lost(n, number); });
  }
  void Lost(int n, std::uint64_t number) {
    if (node(n).number != number) return;
    ++node(n).number;
    if (!node(n).own && !machine(node(n).machine).control) return;
    follower(n).OnFailure(now);
    Poll(n, follower(n).due());
  }

  std::mt19937 random_;
  unsigned seed_;
  std::size_t places_;
  std::vector<Machine> machines_;
  std::vector<Node> nodes_;
  std::map<std::pair<int, int>, bool> parted_;
  using When = std::tuple<Micros, std::uint64_t>;
  std::priority_queue<When, std::vector<When>, std::greater<>> events_;
  std::map<std::uint64_t, std::function<void()>> actions_;
  std::uint64_t ids_ = 0;
};

std::vector<Change> Settings(int entries, int services, const std::string& value, int first = 0) {
  std::vector<Change> all;
  for (int i = first; i < first + entries; ++i)
    all.push_back({"tenant/s" + std::to_string(i % services) + "/t" + std::to_string(i), value, 0});
  return all;
}

// The machines are up and every proxy holds serial 1.
void Settle(World& world, const std::vector<Change>& settings) {
  Micros took =
      world.Until(60 * kSecond, [&] { return world.Publish(0, 1, settings) != PublishResult::kNotSettled; });
  REQUIRE(took >= 0);
  REQUIRE(world.Until(60 * kSecond, [&] { return world.Everywhere(1); }) >= 0);
  world.Run(world.now + 5 * kSecond);
}

bool Agree(World& world, int p, const Store& origin) {
  std::size_t count = 0;
  bool same = true;
  const Scope& scope = world.proxy(p).own->scope();
  origin.ForEach([&](const std::string& key, const std::string& value) {
    if (!scope.Includes(ParseKey(key)->service)) return;
    ++count;
    auto it = world.proxy(p).in_force.find(key);
    same = same && it != world.proxy(p).in_force.end() && it->second == value;
  });
  return same && count == world.proxy(p).in_force.size();
}

TEST_CASE("control machines lost one by one: in force within the aim with one left, held with none") {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    World world(seed, 8, 60, 1, 16);
    Settle(world, Settings(50, 1, "1"));
    std::uint64_t serial = 1;
    for (int m = 7; m >= 1; --m) {
      // The even ones end, the odd ones fall silent.
      if (m % 2 == 0) world.Kill(m);
      if (m % 2 == 1) world.machine(m).silent = true;
      ++serial;
      CHECK(world.Publish(0, serial, Settings(50, 1, std::to_string(serial))) == PublishResult::kPublished);
      Micros took = world.Until(kAim, [&] { return world.Everywhere(serial); });
      CAPTURE(m);
      CHECK(took >= 0);
    }
    Store last = world.machine(0).control->store();
    world.Kill(0);
    world.Run(world.now + 600 * kSecond);
    for (int p = 0; p < world.proxies(); ++p) {
      REQUIRE(Agree(world, p, last));
      CHECK_FALSE(world.proxy(p).own->is_current());
    }
    // One is back, from nothing, by its file: the proxies hold what it says and go on with what is new.
    world.Start(0);
    Micros took = world.Until(kAim, [&] {
      auto published = world.Publish(0, serial + 1, Settings(50, 1, "back"));
      return published == PublishResult::kPublished;
    });
    CHECK(took >= 0);
    CHECK(world.Until(kAim, [&] { return world.Everywhere(serial + 1); }) >= 0);
    CHECK_FALSE(world.back);
  }
}

TEST_CASE("all machines silent in one instant but one: noticed and in force within the aim") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    World world(seed, 8, 60, 1, 16);
    Settle(world, Settings(20, 1, "1"));
    for (int m = 1; m < 8; ++m) world.machine(m).silent = true;
    world.Publish(0, 2, Settings(20, 1, "2"));
    CHECK(world.Until(kAim, [&] { return world.Everywhere(2); }) >= 0);
  }
}

TEST_CASE("a region cut off for minutes goes on by what it has, and takes up what it missed as a delta") {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    World world(seed, 8, 100, 5, 16);
    Settle(world, Settings(2'000, 1, "1"));
    for (int region = 0; region < 4; ++region) world.Part(region, 4, true);
    // Region 4 has a machine of its own (m4); the origin is in region 0.
    std::uint64_t serial = 1;
    std::size_t wholes = 0;
    for (int m = 0; m < 8; ++m) wholes += world.machine(m).wholes;
    for (int minute = 0; minute < 5; ++minute) {
      ++serial;
      auto settings = Settings(2'000, 1, "1");
      settings[static_cast<std::size_t>(minute)].value = "new";
      world.Publish(0, serial, settings);
      world.Run(world.now + 60 * kSecond);
      for (int p = 0; p < world.proxies(); ++p) {
        bool cut = world.proxy(p).region == 4;
        CHECK(world.proxy(p).own->store().head().serial == (cut ? 1 : serial));
        CHECK(world.proxy(p).in_force.size() == 2'000);
      }
    }
    for (int region = 0; region < 4; ++region) world.Part(region, 4, false);
    CHECK(world.Until(kAim, [&] { return world.Everywhere(serial); }) >= 0);
    std::size_t after = 0;
    for (int m = 0; m < 8; ++m) after += world.machine(m).wholes;
    CHECK(after == wholes);
    CHECK_FALSE(world.back);
  }
}

TEST_CASE("a stale control machine that comes back takes nobody back, as one that follows or as an origin") {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    World world(seed, 4, 60, 1, 16);
    Settle(world, Settings(50, 1, "old"));
    // m3 stands still with serial 1 while the others go on, then is there again as it was.
    world.machine(3).silent = true;
    for (std::uint64_t serial = 2; serial <= 4; ++serial) {
      world.Publish(0, serial, Settings(50, 1, std::to_string(serial)));
      world.Run(world.now + 10 * kSecond);
    }
    world.machine(3).silent = false;
    world.Run(world.now + 60 * kSecond);
    CHECK(world.Everywhere(4));
    CHECK_FALSE(world.back);
    CHECK(world.machine(3).control->store().head().serial == 4);
    // The origin ends; an old one with the file of serial 3 comes up and wants to publish it.
    world.Kill(0);
    world.Kill(2);
    world.Start(2);
    Micros took = world.Until(30 * kSecond, [&] {
      return world.Publish(2, 3, Settings(50, 1, "3")) == PublishResult::kSerialTooLow;
    });
    CHECK(took >= 0);
    CHECK(world.Publish(2, 4, Settings(50, 1, "other")) == PublishResult::kSerialReused);
    CHECK(world.Publish(2, 4, Settings(50, 1, "4")) == PublishResult::kUnchanged);
    world.Run(world.now + 30 * kSecond);
    CHECK(world.Everywhere(4));
    // With a newer file it is the origin, and goes on by deltas: nobody needs the whole.
    std::size_t wholes = 0;
    for (int m = 0; m < 4; ++m) wholes += world.machine(m).wholes;
    CHECK(world.Publish(2, 5, Settings(50, 1, "5")) == PublishResult::kPublished);
    CHECK(world.Until(kAim, [&] { return world.Everywhere(5); }) >= 0);
    std::size_t after = 0;
    for (int m = 0; m < 4; ++m) after += world.machine(m).wholes;
    CHECK(after == wholes);
    CHECK_FALSE(world.back);
  }
}

// With no other machine to ask, an old origin can't know better; the proxies do.
TEST_CASE("an old origin that is alone is refused by every proxy, which keeps what it has") {
  World world(3, 2, 40, 1, 16);
  Settle(world, Settings(50, 1, "old"));
  world.Publish(0, 5, Settings(50, 1, "5"));
  REQUIRE(world.Until(kAim, [&] { return world.Everywhere(5); }) >= 0);
  world.Kill(0);
  world.Kill(1);
  world.Start(1);
  Micros took = world.Until(
      30 * kSecond, [&] { return world.Publish(1, 2, Settings(10, 1, "2")) == PublishResult::kPublished; });
  CHECK(took >= 0);
  world.Run(world.now + 120 * kSecond);
  CHECK(world.Everywhere(5));
  CHECK_FALSE(world.back);
  for (int p = 0; p < world.proxies(); ++p) {
    CHECK(world.proxy(p).in_force.size() == 50);
    CHECK_FALSE(world.proxy(p).own->is_current());
  }
  // The same serial in a line of its own, begun later: taken, so that a tier restarted from its file serves
  // on.
  world.Kill(1);
  world.Start(1);
  took = world.Until(30 * kSecond,
                     [&] { return world.Publish(1, 5, Settings(50, 1, "5")) == PublishResult::kPublished; });
  CHECK(took >= 0);
  CHECK(world.Until(kAim, [&] {
    for (int p = 0; p < world.proxies(); ++p)
      if (!world.proxy(p).own->is_current()) return false;
    return true;
  }) >= 0);
}

TEST_CASE("1,900 that reconnect at once: so many wholes at a time, all in force within the aim") {
  for (unsigned seed : {1u}) {
    CAPTURE(seed);
    constexpr int kServices = 102;  // of the 510, so that the test stays small
    World world(seed, 8, 1'900, 5, 16, kServices);
    // The bytes of the target's whole for a proxy (some 30 kB, two pages), in fewer and longer entries.
    std::string long_value = "{\"portion\":0.001,\"quotaRps\":5,\"note\":\"" + std::string(200, 'x') + "\"}";
    std::vector<Change> settings = Settings(kServices * 100, kServices, long_value);
    Micros took = world.Until(60 * kSecond,
                              [&] { return world.Publish(0, 1, settings) != PublishResult::kNotSettled; });
    REQUIRE(took >= 0);
    took = world.Until(60 * kSecond, [&] { return world.Everywhere(1); });
    CAPTURE(took);
    CHECK(took >= 0);
    CHECK(took <= kAim);
    CHECK(world.MostWholes() <= 16);
    // All proxies restart at once, with nothing held; a change comes in the middle of it.
    for (int p = 0; p < world.proxies(); ++p) world.Restart(p);
    world.Run(world.now + 500 * kMs);
    settings[0].value = "{\"portion\":0.002,\"quotaRps\":5}";
    world.Publish(0, 2, settings);
    took = world.Until(60 * kSecond, [&] { return world.Everywhere(2); });
    CAPTURE(took);
    CHECK(took >= 0);
    CHECK(took <= kAim);
    CHECK(world.MostWholes() <= 16);
    CHECK_FALSE(world.back);
  }
}

TEST_CASE(
    "a change while a proxy moves to another machine, and half of the entries replaced while its scope "
    "moves") {
  for (unsigned seed = 1; seed <= 4; ++seed) {
    CAPTURE(seed);
    World world(seed, 3, 20, 1, 4, 4);
    Settle(world, Settings(1'200, 4, "1"));
    std::uint64_t serial = 1;
    for (int round = 0; round < 4; ++round) {
      // Half of all is another entry from now on, the rest has a new value.
      ++serial;
      auto settings = Settings(1'200, 4, std::to_string(serial), round * 600);
      REQUIRE(world.Publish(0, serial, settings) == PublishResult::kPublished);
      for (int p = 0; p < world.proxies(); ++p) {
        if ((p + round) % 2 == 0)
          world.Move(p,
                     Scope{false, {"s" + std::to_string((p + round) % 4), "s" + std::to_string(round % 4)}});
      }
      // The machine that most are at goes in the middle of their pages.
      world.Run(world.now + static_cast<Micros>(seed * 7 * kMs));
      int m = 1 + round % 2;
      world.Kill(m);
      world.Run(world.now + 3 * kSecond);
      world.Start(m);
      CHECK(world.Until(kAim, [&] {
        for (int p = 0; p < world.proxies(); ++p)
          if (world.proxy(p).own->is_loading_snapshot()) return false;
        return world.Everywhere(serial);
      }) >= 0);
      for (int p = 0; p < world.proxies(); ++p) {
        CAPTURE(p);
        REQUIRE(Agree(world, p, world.machine(0).control->store()));
      }
    }
    CHECK_FALSE(world.back);
  }
}

TEST_CASE("a page that doesn't join what is held is not taken") {
  FollowerOptions options;
  options.self = "p";
  options.nearby = {"m0", "m1"};
  options.scope.services = {"a"};
  Follower follower(options);
  Store store;
  store.Publish(1, 7, {{"tenant/a/t", "x", 0}, {"tenant/a/u", "x", 0}});
  auto request = follower.NextRequest(0);
  REQUIRE(request);
  CHECK(follower.OnPage(1, store.MakePage(request->page, 1 << 20), 100).size() == 2);
  store.Publish(2, 7, {{"tenant/a/t", "y", 0}});
  request = follower.NextRequest(10);
  REQUIRE(request);
  Page fine = store.MakePage(request->page, 1 << 20);
  auto refused = [&](Page page) {
    Follower tried = follower;
    bool none = tried.OnPage(11, page, 100).empty();
    return none && tried.failures() == 1 && tried.store().head() == follower.store().head();
  };
  Page gap = fine;
  gap.after = 1;
  CHECK(refused(gap));
  Page beyond = fine;
  beyond.up_to = 100;
  CHECK(refused(beyond));
  Page stranger = fine;
  stranger.head.epoch = 8;
  CHECK(refused(stranger));
  Page unordered = fine;
  unordered.changes.push_back(unordered.changes[0]);
  CHECK(refused(unordered));
  Page middle = fine;
  middle.is_snapshot = true;
  CHECK(refused(middle));
  Page older = fine;
  older.head.serial = 0;
  CHECK(refused(older));
  CHECK(follower.OnPage(11, fine, 100).size() == 1);
}

}  // namespace
}  // namespace dappletiller::config_feed
