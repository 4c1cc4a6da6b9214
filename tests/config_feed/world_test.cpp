// The configuration feed in simulated time: the Follower and ConfigServer of the program, 8 config servers
// and up to 1,900 proxies, with delays and failures drawn from a seed.
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
constexpr Micros kObjective = 12 * kSecond;  // objective for a change to be in force everywhere

class World {
 public:
  struct Machine {
    std::unique_ptr<ConfigServer> control;  // null: the process is not running
    bool silent = false;                    // receives requests but does not respond
    int region = 0;
    int incarnation = 0;  // requests to an earlier process are lost
    Micros busy_until = 0;
    std::size_t snapshot_pages = 0;  // number of snapshot pages sent
    struct Waiting {
      int node;
      std::uint64_t number;
      PageRequest question;
      std::string who;
      Micros until;  // end of the wait at the server
    };
    std::map<std::uint64_t, Waiting> waiting;
  };
  struct Node {  // a proxy, or a config server as a follower
    std::unique_ptr<Follower> own;
    int machine = -1;
    int region = 0;
    std::uint64_t number = 0;                     // of the current request
    std::map<std::string, std::string> in_force;  // settings in force according to the reported changes
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
      // Staggered start.
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
    ++machine(m).incarnation;
    ++node(m).number;
    Poll(m, now + static_cast<Micros>(random_() % (20 * kMs)));
  }
  void Kill(int m) {
    // Waiting followers notice the end of their connection.
    auto waiting = std::move(machine(m).waiting);
    machine(m).waiting.clear();
    machine(m).control.reset();
    ++machine(m).incarnation;
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
      ++node(m).number;  // invalidates the current request
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
  // Runs until the condition holds; returns the time taken, or -1 if it exceeds `most`.
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
  bool back = false;  // whether a proxy ever went back to an older serial
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

  // Checks at `when` whether a follower has a request to send.
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
      int incarnation = machine(m).incarnation;
      if (Parted(node(n).region, machine(m).region) || machine(m).silent) return;  // noticed by timeout
      if (!machine(m).control) return Lose(n, number, Delay());
      At(now + Delay(), [this, n, m, number, incarnation, request = *request] {
        if (machine(m).incarnation != incarnation) return Lose(n, number, Delay());
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
    int incarnation = machine(m).incarnation;
    At(w.until, [this, m, id, incarnation] {
      auto it = machine(m).waiting.find(id);
      if (machine(m).incarnation != incarnation || it == machine(m).waiting.end()) return;
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
    // Snapshot pages take time at the server, one after another; deltas are sent before them.
    bool whole = reply.kind == Response::Kind::kPage && reply.page.is_snapshot;
    Micros work = whole ? 2 * kMs : 50;
    if (whole) {
      ++machine(m).snapshot_pages;
      machine(m).busy_until = std::max(machine(m).busy_until, now) + work;
    }
    Micros leaves = whole ? machine(m).busy_until : now + work;
    if (Parted(node(w.node).region, machine(m).region)) return;
    At(leaves + Delay(), [this, w, reply, bytes] {
      Node& n = node(w.node);
      if (n.number != w.number) return;  // abandoned meanwhile
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

// All servers are running and every proxy has serial 1.
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

TEST_CASE(
    "config servers fail one by one: changes are in force in time with one left, and settings stay with "
    "none") {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    World world(seed, 8, 60, 1, 16);
    Settle(world, Settings(50, 1, "1"));
    std::uint64_t serial = 1;
    for (int m = 7; m >= 1; --m) {
      // Even ones end, odd ones become silent.
      if (m % 2 == 0) world.Kill(m);
      if (m % 2 == 1) world.machine(m).silent = true;
      ++serial;
      CHECK(world.Publish(0, serial, Settings(50, 1, std::to_string(serial))) == PublishResult::kPublished);
      Micros took = world.Until(kObjective, [&] { return world.Everywhere(serial); });
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
    // One returns without state, with its file: the proxies keep their entries and continue with new ones.
    world.Start(0);
    Micros took = world.Until(kObjective, [&] {
      auto published = world.Publish(0, serial + 1, Settings(50, 1, "back"));
      return published == PublishResult::kPublished;
    });
    CHECK(took >= 0);
    CHECK(world.Until(kObjective, [&] { return world.Everywhere(serial + 1); }) >= 0);
    CHECK_FALSE(world.back);
  }
}

TEST_CASE("all servers but one become silent at the same time: noticed, and changes are in force in time") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    World world(seed, 8, 60, 1, 16);
    Settle(world, Settings(20, 1, "1"));
    for (int m = 1; m < 8; ++m) world.machine(m).silent = true;
    world.Publish(0, 2, Settings(20, 1, "2"));
    CHECK(world.Until(kObjective, [&] { return world.Everywhere(2); }) >= 0);
  }
}

TEST_CASE("a region partitioned for minutes keeps its settings and receives the missed changes as a delta") {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    World world(seed, 8, 100, 5, 16);
    Settle(world, Settings(2'000, 1, "1"));
    for (int region = 0; region < 4; ++region) world.Part(region, 4, true);
    // Region 4 has its own server (m4); the origin is in region 0.
    std::uint64_t serial = 1;
    std::size_t snapshot_pages = 0;
    for (int m = 0; m < 8; ++m) snapshot_pages += world.machine(m).snapshot_pages;
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
    CHECK(world.Until(kObjective, [&] { return world.Everywhere(serial); }) >= 0);
    std::size_t after = 0;
    for (int m = 0; m < 8; ++m) after += world.machine(m).snapshot_pages;
    CHECK(after == snapshot_pages);
    CHECK_FALSE(world.back);
  }
}

TEST_CASE(
    "a stale config server that comes back moves no follower back, neither as a replica nor as an origin") {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    World world(seed, 4, 60, 1, 16);
    Settle(world, Settings(50, 1, "old"));
    // m3 is stopped with serial 1 while the others continue, and then resumes.
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
    // The origin ends; an old one with the file of serial 3 starts and tries to publish it.
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
    // With a newer file it becomes the origin and continues with deltas: no snapshot is needed.
    std::size_t snapshot_pages = 0;
    for (int m = 0; m < 4; ++m) snapshot_pages += world.machine(m).snapshot_pages;
    CHECK(world.Publish(2, 5, Settings(50, 1, "5")) == PublishResult::kPublished);
    CHECK(world.Until(kObjective, [&] { return world.Everywhere(5); }) >= 0);
    std::size_t after = 0;
    for (int m = 0; m < 4; ++m) after += world.machine(m).snapshot_pages;
    CHECK(after == snapshot_pages);
    CHECK_FALSE(world.back);
  }
}

// Without other servers an old origin cannot detect that it is old; the proxies can.
TEST_CASE("an old origin without other servers is rejected by every proxy, which keeps its settings") {
  World world(3, 2, 40, 1, 16);
  Settle(world, Settings(50, 1, "old"));
  world.Publish(0, 5, Settings(50, 1, "5"));
  REQUIRE(world.Until(kObjective, [&] { return world.Everywhere(5); }) >= 0);
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
  // The same serial in a later epoch is accepted, so that servers restarted from their file are followed.
  world.Kill(1);
  world.Start(1);
  took = world.Until(30 * kSecond,
                     [&] { return world.Publish(1, 5, Settings(50, 1, "5")) == PublishResult::kPublished; });
  CHECK(took >= 0);
  CHECK(world.Until(kObjective, [&] {
    for (int p = 0; p < world.proxies(); ++p)
      if (!world.proxy(p).own->is_current()) return false;
    return true;
  }) >= 0);
}

TEST_CASE("1,900 proxies reconnect at the same time: snapshots are limited, and all are up to date in time") {
  for (unsigned seed : {1u}) {
    CAPTURE(seed);
    constexpr int kServices = 102;  // of the 510, to keep the test small
    World world(seed, 8, 1'900, 5, 16, kServices);
    // The size of the target's snapshot for a proxy (about 30 kB, two pages), in fewer and longer entries.
    std::string long_value = "{\"portion\":0.001,\"quotaRps\":5,\"note\":\"" + std::string(200, 'x') + "\"}";
    std::vector<Change> settings = Settings(kServices * 100, kServices, long_value);
    Micros took = world.Until(60 * kSecond,
                              [&] { return world.Publish(0, 1, settings) != PublishResult::kNotSettled; });
    REQUIRE(took >= 0);
    took = world.Until(60 * kSecond, [&] { return world.Everywhere(1); });
    CAPTURE(took);
    CHECK(took >= 0);
    CHECK(took <= kObjective);
    CHECK(world.MostWholes() <= 16);
    // All proxies restart at the same time without state; a change is published meanwhile.
    for (int p = 0; p < world.proxies(); ++p) world.Restart(p);
    world.Run(world.now + 500 * kMs);
    settings[0].value = "{\"portion\":0.002,\"quotaRps\":5}";
    world.Publish(0, 2, settings);
    took = world.Until(60 * kSecond, [&] { return world.Everywhere(2); });
    CAPTURE(took);
    CHECK(took >= 0);
    CHECK(took <= kObjective);
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
      // Half of the entries are replaced, the rest get new values.
      ++serial;
      auto settings = Settings(1'200, 4, std::to_string(serial), round * 600);
      REQUIRE(world.Publish(0, serial, settings) == PublishResult::kPublished);
      for (int p = 0; p < world.proxies(); ++p) {
        if ((p + round) % 2 == 0)
          world.Move(p,
                     Scope{false, {"s" + std::to_string((p + round) % 4), "s" + std::to_string(round % 4)}});
      }
      // The server with the most followers ends while it sends their pages.
      world.Run(world.now + static_cast<Micros>(seed * 7 * kMs));
      int m = 1 + round % 2;
      world.Kill(m);
      world.Run(world.now + 3 * kSecond);
      world.Start(m);
      CHECK(world.Until(kObjective, [&] {
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

TEST_CASE("a page that does not continue the current position is ignored") {
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
