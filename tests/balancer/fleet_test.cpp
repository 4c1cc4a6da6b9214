// Behaviour that is harmless in one proxy and harmful in a hundred: many instances in simulated time.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "balancer/test_proxy.hpp"

namespace dappletiller::balancer::testing {
namespace {

constexpr int kFleet = 100;
constexpr int kServers = 60;
constexpr Micros kStart = 1'000'000'000;
constexpr Micros kStep = 5 * kMs;

Settings FleetSettings(int seed, int zones = 1) {
  Settings s = BasicSettings();
  s.seed = static_cast<std::uint64_t>(seed) * 7919 + 1;
  s.proxies = kFleet;
  s.zones = zones;
  s.endpoints_on_request = true;
  s.poll_interval = 10'000 * kMs;
  s.cross_zone_cost = 0.02;
  return s;
}

std::vector<ServerEntry> Servers(int count, int zones = 1) {
  std::vector<ServerEntry> list;
  for (int i = 0; i < count; ++i) list.push_back(Entry(static_cast<ServerId>(i + 1), i % zones, i / 6));
  return list;
}

// Discovery that answers one poll per `gap` and fails polls that would wait more than a second.
struct Discovery {
  Micros gap;
  Micros free_at = kStart;
  std::optional<Micros> Poll(Micros now) {
    if (free_at - now > 1000 * kMs) return std::nullopt;
    free_at = std::max(free_at, now) + gap;
    return free_at;
  }
};

TEST(Fleet, AllGetTheListSoonFromASlowDiscovery) {
  for (Micros gap : {10 * kMs, 100 * kMs, 250 * kMs}) {
    Discovery discovery{gap};
    std::vector<std::unique_ptr<TestProxy>> fleet;
    std::vector<std::vector<Micros>> poll_times(kFleet);
    std::vector<Micros> answer_at(kFleet, 0);
    std::vector<bool> has(kFleet, false);
    for (int i = 0; i < kFleet; ++i) {
      fleet.push_back(std::make_unique<TestProxy>(FleetSettings(i), kStart));
      fleet.back()->SetServers(Servers(kServers));
    }
    Micros bound = kStart + 3 * kFleet * gap + 15'000 * kMs;
    Micros now = kStart;
    while (now < bound && std::count(has.begin(), has.end(), true) < kFleet) {
      now += kStep;
      for (int i = 0; i < kFleet; ++i) {
        TestProxy& proxy = *fleet[i];
        proxy.now = now;
        if (answer_at[i] != 0 && answer_at[i] <= now) {
          answer_at[i] = 0;
          has[i] = true;
          proxy.SetServers(Servers(kServers), EndpointListUpdate::Kind::kSnapshot);
        }
        proxy.Handle(TimerFired{});
        if (proxy.CountActions<Watch>() == 0) continue;
        poll_times[i].push_back(now);
        auto at = discovery.Poll(now);
        if (at) answer_at[i] = *at;
        if (!at) proxy.SetServers({}, EndpointListUpdate::Kind::kFailed);
      }
    }
    EXPECT_EQ(std::count(has.begin(), has.end(), true), kFleet) << "a poll takes " << gap;
    for (const auto& times : poll_times) {
      for (std::size_t k = 1; k < times.size(); ++k) {
        EXPECT_GE(times[k] - times[k - 1], 200 * kMs) << "polled in a tight loop";
        EXPECT_LE(times[k] - times[k - 1], 10'000 * kMs) << "no poll for longer than the poll interval";
      }
    }
  }
}

TEST(Fleet, FirstChoicesDifferBetweenProxies) {
  std::map<ServerId, int> first;
  for (int i = 0; i < kFleet; ++i) {
    TestProxy proxy(FleetSettings(i));
    proxy.SetServers(Servers(kServers));
    proxy.Arrive(1, 20 * kMs);
    ++first[proxy.ServerOf(1)];
  }
  EXPECT_GE(first.size(), 35u);  // 49 of 60 are expected with random choice
  for (const auto& [server, count] : first) EXPECT_LE(count, 8) << "server " << server;
}

// With a hundred proxies, each would use each server so rarely that every request needs a new connection and
// nothing is learned about any server. So each proxy prefers a subset, and all servers are used equally.
TEST(Fleet, EachProxyUsesASubsetAndTogetherTheyUseAllServers) {
  std::map<ServerId, int> users;
  for (int i = 0; i < kFleet; ++i) {
    TestProxy proxy(FleetSettings(i));
    proxy.SetServers(Servers(kServers));
    std::set<ServerId> used;
    for (RequestId id = 1; id <= 200; ++id) {
      proxy.Arrive(id, 20 * kMs);
      used.insert(proxy.ServerOf(id));
      proxy.now += 20 * kMs;
      proxy.EndAttempt(id, Outcome::kServed, 0, 20 * kMs);
    }
    EXPECT_GE(used.size(), 3u);
    EXPECT_LE(used.size(), 24u) << "of " << kServers;
    for (ServerId server : used) ++users[server];
  }
  EXPECT_EQ(users.size(), kServers);
  for (const auto& [server, count] : users) EXPECT_GE(count, 5) << "server " << server;
  // With only two proxies, each uses all servers.
  Settings few = FleetSettings(1);
  few.proxies = 2;
  TestProxy proxy(few);
  proxy.SetServers(Servers(kServers));
  std::set<ServerId> used;
  for (RequestId id = 1; id <= 200; ++id) {
    proxy.Arrive(id, 20 * kMs);
    used.insert(proxy.ServerOf(id));
    proxy.now += 20 * kMs;
    proxy.EndAttempt(id, Outcome::kServed, 0, 20 * kMs);
  }
  EXPECT_EQ(used.size(), kServers);
}

// If all preferred servers drain at the same time, others take their place.
TEST(Fleet, OtherServersReplaceADrainingSubset) {
  TestProxy proxy(FleetSettings(1));
  proxy.SetServers(Servers(kServers));
  std::set<ServerId> subset;
  RequestId id = 1;
  for (; id <= 200; ++id) {
    proxy.Arrive(id, 20 * kMs);
    subset.insert(proxy.ServerOf(id));
    proxy.now += 20 * kMs;
    proxy.EndAttempt(id, Outcome::kServed, 0, 20 * kMs);
  }
  std::vector<ServerEntry> draining = Servers(kServers);
  for (ServerEntry& e : draining) {
    if (subset.count(e.id) != 0) e.state = ServerState::kDraining;
  }
  proxy.SetServers(draining, EndpointListUpdate::Kind::kSnapshot);
  std::set<ServerId> used;
  for (RequestId end = id + 200; id < end; ++id) {
    proxy.Arrive(id, 20 * kMs);
    ASSERT_TRUE(proxy.WasSent(id));
    EXPECT_EQ(subset.count(proxy.ServerOf(id)), 0u);
    used.insert(proxy.ServerOf(id));
    proxy.now += 20 * kMs;
    proxy.EndAttempt(id, Outcome::kServed, 0, 20 * kMs);
  }
  EXPECT_GE(used.size(), 2u);
}

// Drives one proxy with a request every 50 ms, in three classes by turns. `answers(server)` tells whether a
// server responds.
class DrivenProxy {
 public:
  explicit DrivenProxy(const Settings& settings) : proxy(settings, kStart) {}

  template <typename Answers>
  void Run(Micros span, Answers answers) {
    for (Micros end = proxy.now + span; proxy.now < end;) {
      proxy.now += kStep;
      while (!due_.empty() && due_.begin()->first <= proxy.now) {
        auto [id, attempt] = due_.begin()->second;
        due_.erase(due_.begin());
        proxy.EndAttempt(id, Outcome::kServed, attempt, 20 * kMs);
        RecordActions(answers);
      }
      proxy.Handle(TimerFired{});
      RecordActions(answers);
      if (proxy.now % (50 * kMs) != 0) continue;
      RequestId id = next_id_++;
      proxy.Arrive(id, 20 * kMs, static_cast<int>(id % 3), 1000 * kMs);
      RecordActions(answers);
    }
  }

  TestProxy proxy;
  std::map<ServerId, std::vector<Micros>> sent;

 private:
  template <typename Answers>
  void RecordActions(Answers answers) {
    for (const Action& action : proxy.last_actions) {
      if (const auto* s = std::get_if<Send>(&action)) {
        sent[s->server].push_back(proxy.now);
        int attempt = attempts_[s->id]++;
        if (answers(s->server)) due_.insert({proxy.now + 20 * kMs, {s->id, attempt}});
      } else if (const auto* c = std::get_if<Cancel>(&action)) {
        cancelled_.push_back({c->id, c->attempt});
      }
    }
    for (auto [id, attempt] : std::exchange(cancelled_, {})) {
      std::erase_if(due_, [&, i = id, a = attempt](const auto& d) { return d.second == std::pair(i, a); });
      proxy.EndAttempt(id, Outcome::kCancelled, attempt, 500 * kMs);
      RecordActions(answers);
    }
  }

  RequestId next_id_ = 1;
  std::multimap<Micros, std::pair<RequestId, int>> due_;
  std::map<RequestId, int> attempts_;
  std::vector<std::pair<RequestId, int>> cancelled_;
};

int Count(const DrivenProxy& d, int zone, Micros from, Micros to) {
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

// A zone that is lost must not be discovered server by server, with a request or two for each.
TEST(Fleet, UnreachableZoneIsAvoidedAfterAFewRequests) {
  DrivenProxy d(FleetSettings(3, 2));
  d.proxy.SetServers(Servers(kServers, 2));
  d.Run(5000 * kMs, All);
  Micros lost = d.proxy.now;
  d.Run(4000 * kMs, OnlyTheOtherZone);
  EXPECT_LE(Count(d, 0, lost + 600 * kMs, d.proxy.now), 12) << "of 68: only probes";
  EXPECT_GE(Count(d, 0, lost + 600 * kMs, d.proxy.now), 1) << "it must be probed";
  EXPECT_GE(Count(d, 1, lost + 600 * kMs, d.proxy.now), 55);
  Micros back = d.proxy.now;
  d.Run(8000 * kMs, All);
  EXPECT_GE(Count(d, 0, back + 5000 * kMs, d.proxy.now), 50) << "of 60: back in use";
}

// Servers of a lost zone may come back restarted before the endpoint list shows it. All proxies treated them
// as warmed up and overloaded them.
TEST(Fleet, ServersThatComeBackAreInSlowStartUntilTheListIsCurrent) {
  std::map<Micros, double> work;  // to one of the servers, from the fleet
  Micros back = 0;
  for (int i = 0; i < kFleet / 2; ++i) {
    DrivenProxy d(FleetSettings(i, 2));
    d.proxy.SetServers(Servers(4, 2));
    d.Run(5000 * kMs, All);
    d.Run(3000 * kMs, OnlyTheOtherZone);
    back = d.proxy.now;
    d.Run(2000 * kMs, All);
    for (Micros t : d.sent[1]) {
      if (t >= back) work[t] += 20.0 * kMs;
    }
  }
  Settings s = BasicSettings();
  double allowance = s.overload_factor * s.initial_capacity * static_cast<double>(s.overload_window);
  for (const auto& [at, w] : work) {
    double window = 0;
    for (auto it = work.lower_bound(at); it != work.end() && it->first < at + s.overload_window; ++it) {
      window += it->second;
    }
    EXPECT_LE(window, allowance) << at - back << " us after it came back";
  }
}

// Proxies that restart must not each send their first request to a server in slow start.
TEST(Fleet, RestartedProxiesStayWithinTheSlowStartAllowance) {
  std::map<Micros, double> work;
  Settings s = BasicSettings();
  for (int i = 0; i < kFleet; ++i) {
    for (Micros from : {Micros{0}, 1000 * kMs}) {  // the second run begins in the middle
      if (from > 0 && i % 10 >= 7) continue;
      DrivenProxy d(FleetSettings(from > 0 ? i + kFleet : i));
      d.proxy.now = kStart + from;
      d.proxy.SetServers({Entry(1), Entry(2, 0, 0, ServerState::kReady, kStart)});
      d.Run(from == 0 && i % 10 < 7 ? 1000 * kMs : 2000 * kMs - from, All);
      for (Micros t : d.sent[2]) work[t] += 20.0 * kMs;
    }
  }
  double total = 0;
  for (const auto& [at, w] : work) {
    total += w;
    double window = 0;
    for (auto it = work.lower_bound(at); it != work.end() && it->first < at + s.overload_window; ++it) {
      window += it->second;
    }
    EXPECT_LE(window, s.overload_factor * s.initial_capacity * static_cast<double>(s.overload_window))
        << at - kStart;
  }
  EXPECT_GT(total, 0) << "it must get some requests";
}

// One lost request or one slow response must not put a server or its zone out of use.
TEST(Fleet, OneLostRequestDoesNotExcludeAServer) {
  DrivenProxy d(FleetSettings(5, 2));
  d.proxy.SetServers(Servers(8, 2));
  d.Run(5000 * kMs, All);
  Micros at = d.proxy.now;
  bool lost = false;
  d.Run(4000 * kMs, [&](ServerId server) {
    bool lose = server == 1 && !lost;
    lost = lost || lose;
    return !lose;
  });
  ASSERT_TRUE(lost);
  auto after =
      std::count_if(d.sent[1].begin(), d.sent[1].end(), [&](Micros t) { return t > at + 2000 * kMs; });
  EXPECT_GE(after, 5) << "its share of 40 requests to four servers is 10";
  EXPECT_GE(Count(d, 0, at, d.proxy.now), 60) << "of 80: the zone stays in use";
}

}  // namespace
}  // namespace dappletiller::balancer::testing
