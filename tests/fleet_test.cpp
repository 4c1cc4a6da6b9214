// What is harmless in one gateway and harmful in a hundred: many instances side by side, in simulated time.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "harness.hpp"

namespace sandstand::testing {
namespace {

constexpr int kFleet = 100;
constexpr int kServers = 60;
constexpr Micros kStart = 1'000'000'000;
constexpr Micros kStep = 5 * kMs;

Settings FleetSettings(int seed, int zones = 1) {
  Settings s = BasicSettings();
  s.seed = static_cast<std::uint64_t>(seed) * 7919 + 1;
  s.gateways = kFleet;
  s.zones = zones;
  s.list_on_request = true;
  s.ask_within = 10'000 * kMs;
  s.cross_zone_price = 0.02;
  return s;
}

std::vector<ServerEntry> Servers(int count, int zones = 1) {
  std::vector<ServerEntry> list;
  for (int i = 0; i < count; ++i) list.push_back(Entry(static_cast<ServerId>(i + 1), i % zones, i / 6));
  return list;
}

// A list service that takes calls in turn, `gap` for each, and fails those that would wait over a second.
struct ListService {
  Micros gap;
  Micros free_at = kStart;
  std::optional<Micros> Call(Micros now) {
    if (free_at - now > 1000 * kMs) return std::nullopt;
    free_at = std::max(free_at, now) + gap;
    return free_at;
  }
};

TEST(Fleet, AllHaveTheListSoonFromAServiceOfFewCallsASecond) {
  for (Micros gap : {10 * kMs, 100 * kMs, 250 * kMs}) {
    ListService service{gap};
    std::vector<std::unique_ptr<Gateway>> fleet;
    std::vector<std::vector<Micros>> asked(kFleet);
    std::vector<Micros> answer_at(kFleet, 0);
    std::vector<bool> has(kFleet, false);
    for (int i = 0; i < kFleet; ++i) {
      fleet.push_back(std::make_unique<Gateway>(FleetSettings(i), kStart));
      fleet.back()->List(Servers(kServers));
    }
    Micros bound = kStart + 3 * kFleet * gap + 15'000 * kMs;
    Micros now = kStart;
    while (now < bound && std::count(has.begin(), has.end(), true) < kFleet) {
      now += kStep;
      for (int i = 0; i < kFleet; ++i) {
        Gateway& g = *fleet[i];
        g.now = now;
        if (answer_at[i] != 0 && answer_at[i] <= now) {
          answer_at[i] = 0;
          has[i] = true;
          g.List(Servers(kServers), ListUpdate::Kind::kFull);
        }
        g.Do(TimerFired{});
        if (g.Count<Watch>() == 0) continue;
        asked[i].push_back(now);
        auto at = service.Call(now);
        if (at) answer_at[i] = *at;
        if (!at) g.List({}, ListUpdate::Kind::kFailed);
      }
    }
    EXPECT_EQ(std::count(has.begin(), has.end(), true), kFleet) << "a call takes " << gap;
    for (const auto& times : asked) {
      for (std::size_t k = 1; k < times.size(); ++k) {
        EXPECT_GE(times[k] - times[k - 1], 200 * kMs) << "a tight loop";
        EXPECT_LE(times[k] - times[k - 1], 10'000 * kMs) << "silent for longer than the rules allow";
      }
    }
  }
}

TEST(Fleet, FirstChoicesDifferFromGatewayToGateway) {
  std::map<ServerId, int> first;
  for (int i = 0; i < kFleet; ++i) {
    Gateway g(FleetSettings(i));
    g.List(Servers(kServers));
    g.Arrive(1, 20 * kMs);
    ++first[g.ServerOf(1)];
  }
  EXPECT_GE(first.size(), 35u);  // 49 of 60 by pure chance
  for (const auto& [server, count] : first) EXPECT_LE(count, 8) << "server " << server;
}

// Guards against a hundred gateways that each meet each of the servers so seldom that every call pays a
// handshake and none knows how any does: each works with a part of them, which all together use alike.
TEST(Fleet, EachWorksWithAPartOfTheServersAndAllWithAll) {
  std::map<ServerId, int> users;
  for (int i = 0; i < kFleet; ++i) {
    Gateway g(FleetSettings(i));
    g.List(Servers(kServers));
    std::set<ServerId> used;
    for (RequestId id = 1; id <= 200; ++id) {
      g.Arrive(id, 20 * kMs);
      used.insert(g.ServerOf(id));
      g.now += 20 * kMs;
      g.End(id, Outcome::kServed, 0, 20 * kMs);
    }
    EXPECT_GE(used.size(), 3u);
    EXPECT_LE(used.size(), 24u) << "of " << kServers;
    for (ServerId server : used) ++users[server];
  }
  EXPECT_EQ(users.size(), kServers);
  for (const auto& [server, count] : users) EXPECT_GE(count, 5) << "server " << server;
  // Two gateways need all of them.
  Settings few = FleetSettings(1);
  few.gateways = 2;
  Gateway g(few);
  g.List(Servers(kServers));
  std::set<ServerId> used;
  for (RequestId id = 1; id <= 200; ++id) {
    g.Arrive(id, 20 * kMs);
    used.insert(g.ServerOf(id));
    g.now += 20 * kMs;
    g.End(id, Outcome::kServed, 0, 20 * kMs);
  }
  EXPECT_EQ(used.size(), kServers);
}

// Guards against a part of the servers that fails together: others fill it up.
TEST(Fleet, WhereItsOwnPartFailsTheOthersServe) {
  Gateway g(FleetSettings(1));
  g.List(Servers(kServers));
  std::set<ServerId> part;
  RequestId id = 1;
  for (; id <= 200; ++id) {
    g.Arrive(id, 20 * kMs);
    part.insert(g.ServerOf(id));
    g.now += 20 * kMs;
    g.End(id, Outcome::kServed, 0, 20 * kMs);
  }
  std::vector<ServerEntry> draining = Servers(kServers);
  for (ServerEntry& e : draining) {
    if (part.count(e.id) != 0) e.state = ServerState::kDraining;
  }
  g.List(draining, ListUpdate::Kind::kFull);
  std::set<ServerId> used;
  for (RequestId end = id + 200; id < end; ++id) {
    g.Arrive(id, 20 * kMs);
    ASSERT_TRUE(g.Sent(id));
    EXPECT_EQ(part.count(g.ServerOf(id)), 0u);
    used.insert(g.ServerOf(id));
    g.now += 20 * kMs;
    g.End(id, Outcome::kServed, 0, 20 * kMs);
  }
  EXPECT_GE(used.size(), 2u);
}

// Drives one gateway with a call every 50 ms, a third of them each class. `answers` tells which servers do.
class Driven {
 public:
  explicit Driven(const Settings& settings) : g(settings, kStart) {}

  template <typename Answers>
  void Run(Micros span, Answers answers) {
    for (Micros end = g.now + span; g.now < end;) {
      g.now += kStep;
      while (!due_.empty() && due_.begin()->first <= g.now) {
        auto [id, attempt] = due_.begin()->second;
        due_.erase(due_.begin());
        g.End(id, Outcome::kServed, attempt, 20 * kMs);
        Note(answers);
      }
      g.Do(TimerFired{});
      Note(answers);
      if (g.now % (50 * kMs) != 0) continue;
      RequestId id = next_id_++;
      g.Arrive(id, 20 * kMs, static_cast<int>(id % 3), 1000 * kMs);
      Note(answers);
    }
  }

  Gateway g;
  std::map<ServerId, std::vector<Micros>> sent;

 private:
  template <typename Answers>
  void Note(Answers answers) {
    for (const Action& action : g.last) {
      if (const auto* s = std::get_if<Send>(&action)) {
        sent[s->server].push_back(g.now);
        int attempt = attempts_[s->id]++;
        if (answers(s->server)) due_.insert({g.now + 20 * kMs, {s->id, attempt}});
      } else if (const auto* c = std::get_if<Cancel>(&action)) {
        cancelled_.push_back({c->id, c->attempt});
      }
    }
    for (auto [id, attempt] : std::exchange(cancelled_, {})) {
      std::erase_if(due_, [&, i = id, a = attempt](const auto& d) { return d.second == std::pair(i, a); });
      g.End(id, Outcome::kCancelled, attempt, 500 * kMs);
      Note(answers);
    }
  }

  RequestId next_id_ = 1;
  std::multimap<Micros, std::pair<RequestId, int>> due_;
  std::map<RequestId, int> attempts_;
  std::vector<std::pair<RequestId, int>> cancelled_;
};

int Count(const Driven& d, int zone, Micros from, Micros to) {
  int n = 0;
  for (const auto& [server, times] : d.sent) {
    if (static_cast<int>(server - 1) % 2 != zone) continue;
    n += static_cast<int>(
        std::count_if(times.begin(), times.end(), [&](Micros t) { return t >= from && t < to; }));
  }
  return n;
}

auto All = [](ServerId) { return true; };
auto OnlyTheOtherZone = [](ServerId server) { return (server - 1) % 2 == 1; };

// Guards against a lost zone that each gateway finds out server by server, a call or two each.
TEST(Fleet, AZoneThatGoesSilentIsLeftWithinAFewCalls) {
  Driven d(FleetSettings(3, 2));
  d.g.List(Servers(kServers, 2));
  d.Run(5000 * kMs, All);
  Micros lost = d.g.now;
  d.Run(4000 * kMs, OnlyTheOtherZone);
  EXPECT_LE(Count(d, 0, lost + 600 * kMs, d.g.now), 12) << "of 68: trials alone";
  EXPECT_GE(Count(d, 0, lost + 600 * kMs, d.g.now), 1) << "it must be tried";
  EXPECT_GE(Count(d, 1, lost + 600 * kMs, d.g.now), 55);
  Micros back = d.g.now;
  d.Run(8000 * kMs, All);
  EXPECT_GE(Count(d, 0, back + 5000 * kMs, d.g.now), 50) << "of 60: back in use";
}

// Guards against servers of a lost zone that come back cold, before the list tells of it: all gateways took
// them for warm and pushed them over.
TEST(Fleet, ServersBackFromASilenceGetAColdShareUntilTheListCanTell) {
  std::map<Micros, double> work;  // to one of the servers, from the fleet
  Micros back = 0;
  for (int i = 0; i < kFleet / 2; ++i) {
    Driven d(FleetSettings(i, 2));
    d.g.List(Servers(4, 2));
    d.Run(5000 * kMs, All);
    d.Run(3000 * kMs, OnlyTheOtherZone);
    back = d.g.now;
    d.Run(2000 * kMs, All);
    for (Micros t : d.sent[1]) {
      if (t >= back) work[t] += 20.0 * kMs;
    }
  }
  Settings s = BasicSettings();
  double most = s.fall_multiple * s.cold_share * static_cast<double>(s.fall_time);
  for (const auto& [at, w] : work) {
    double window = 0;
    for (auto it = work.lower_bound(at); it != work.end() && it->first < at + s.fall_time; ++it) {
      window += it->second;
    }
    EXPECT_LE(window, most) << at - back << " us after it came back";
  }
}

// Guards against instances that, started anew, each open with a call to the server that is cold.
TEST(Fleet, InstancesRestartedInTheMiddleKeepAColdServerWithinItsAllowance) {
  std::map<Micros, double> work;
  Settings s = BasicSettings();
  for (int i = 0; i < kFleet; ++i) {
    for (Micros from : {Micros{0}, 1000 * kMs}) {  // the second life begins in the middle
      if (from > 0 && i % 10 >= 7) continue;
      Driven d(FleetSettings(from > 0 ? i + kFleet : i));
      d.g.now = kStart + from;
      d.g.List({Entry(1), Entry(2, 0, 0, ServerState::kReady, kStart)});
      d.Run(from == 0 && i % 10 < 7 ? 1000 * kMs : 2000 * kMs - from, All);
      for (Micros t : d.sent[2]) work[t] += 20.0 * kMs;
    }
  }
  double total = 0;
  for (const auto& [at, w] : work) {
    total += w;
    double window = 0;
    for (auto it = work.lower_bound(at); it != work.end() && it->first < at + s.fall_time; ++it) {
      window += it->second;
    }
    EXPECT_LE(window, s.fall_multiple * s.cold_share * static_cast<double>(s.fall_time)) << at - kStart;
  }
  EXPECT_GT(total, 0) << "nor may it be starved";
}

// Guards against one lost call, or one slow answer, that has a server shunned or its zone given up.
TEST(Fleet, OneLostCallDoesNotShunAServer) {
  Driven d(FleetSettings(5, 2));
  d.g.List(Servers(8, 2));
  d.Run(5000 * kMs, All);
  Micros at = d.g.now;
  bool lost = false;
  d.Run(4000 * kMs, [&](ServerId server) {
    bool lose = server == 1 && !lost;
    lost = lost || lose;
    return !lose;
  });
  ASSERT_TRUE(lost);
  auto after =
      std::count_if(d.sent[1].begin(), d.sent[1].end(), [&](Micros t) { return t > at + 2000 * kMs; });
  EXPECT_GE(after, 5) << "its part of 40 calls to four servers is 10";
  EXPECT_GE(Count(d, 0, at, d.g.now), 60) << "of 80: the zone stays in use";
}

}  // namespace
}  // namespace sandstand::testing
