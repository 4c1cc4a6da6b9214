// Quota leases. In a simulation with message loss, delay, reordering, pauses, restarts, partitions and clock
// drift, the shares in use never sum to more than the whole quota. Planted bugs that break one assumption
// each are detected.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <vector>

#include "quota_lease/lease_granter.hpp"
#include "quota_lease/lease_holder.hpp"

namespace dappletiller::quota_lease {
namespace {

constexpr Duration kLease = std::chrono::seconds(3);
constexpr Duration kMs = std::chrono::milliseconds(1);

struct PlantedBugs {
  bool lease_runs_from_response = false;  // a holder's lease runs from the response instead of the request
  bool grants_immediately = false;        // a granter does not wait after its start
  double drift = 0.009;                   // of each clock, in either direction
};

class LeaseSimulation {
 public:
  LeaseSimulation(std::uint64_t seed, PlantedBugs bugs) : random_(seed), bugs_(bugs) {
    for (int i = 0; i < kNodes; ++i) {
      nodes_[i].clock_rate = 1 + bugs_.drift * (i % 2 == 0 ? 1 : -1);
      nodes_[i].offset = Duration(static_cast<Micros>(random_(1'000'000'000)));
      if (i < 4) Start(i);
    }
  }

  // Runs the simulation; returns the largest sum of shares in use at any time.
  double Run(int steps) {
    double max_in_use = 0;
    for (int i = 0; i < steps; ++i) {
      Step();
      now_ += 20 * kMs;
      double sum = 0;
      for (Node& node : nodes_) {
        // A paused process uses nothing; when it resumes, it checks its lease first.
        if (node.holder && now_ >= node.paused) sum += ShareOf(node);
      }
      max_in_use = std::max(max_in_use, sum);
    }
    return max_in_use;
  }
  double InUse() {
    double sum = 0;
    for (Node& node : nodes_) sum += node.holder ? ShareOf(node) : 0;
    return sum;
  }
  // Stops injecting faults and starts all granters.
  void StopFaults() {
    faults_stopped_ = true;
    for (int k = 0; k < kGranters; ++k) {
      if (!nodes_[k].holder) Start(k);
    }
  }

 private:
  static constexpr int kNodes = 7;
  static constexpr int kGranters = 3;
  struct Node {
    std::optional<LeaseGranter> granter;
    std::optional<LeaseHolder> holder;
    double clock_rate = 1;
    Duration offset{};
    std::uint64_t boot = 0;
    TimePoint paused;
    TimePoint requested_at;
  };
  struct Message {
    TimePoint at;
    int from, to;
    std::uint64_t boot;
    std::string bytes;
    bool ask;
    bool operator>(const Message& o) const { return at > o.at; }
  };

  TimePoint Local(const Node& n) const {
    return TimePoint(n.offset + Scale(now_.time_since_epoch(), n.clock_rate));
  }
  double ShareOf(const Node& n) const { return n.holder->Share(Local(n)); }
  static std::string Name(int i) { return "p" + std::to_string(i); }

  void Start(int i) {
    Node& n = nodes_[i];
    ++n.boot;
    n.granter.reset();
    const TimePoint started = bugs_.grants_immediately ? Local(n) - 10 * kLease : Local(n);
    if (i < kGranters) n.granter.emplace(static_cast<std::uint32_t>(kGranters), kLease, started);
    n.holder.emplace(n.boot, std::vector<std::string>{"p0", "p1", "p2"}, kLease);
    n.requested_at = TimePoint{};
  }
  void Stop(int i) {
    nodes_[i].granter.reset();
    nodes_[i].holder.reset();
  }
  void Send(int from, int to, const std::string& bytes, bool ask) {
    bool cut = !faults_stopped_ && group_[from] != group_[to];
    if (cut || (!faults_stopped_ && random_(100) < 20)) return;
    const Duration delay =
        faults_stopped_ ? kMs
                        : Duration(static_cast<Micros>(random_(random_(10) == 0 ? 4'000'000 : 200'000)));
    messages_.push({now_ + delay, from, to, nodes_[to].boot, bytes, ask});
    if (!faults_stopped_ && random_(10) == 0)
      messages_.push({now_ + 2 * delay, from, to, nodes_[to].boot, bytes, ask});
  }
  void Arrive(const Message& message) {
    Node& n = nodes_[message.to];
    if (!n.holder || message.boot != n.boot) return;
    if (message.ask) {
      auto ask = DecodeRequest(message.bytes);
      if (!n.granter || !ask) return;
      if (auto answer = n.granter->OnRequest(Local(n), Name(message.from), *ask))
        Send(message.to, message.from, Encode(*answer), false);
    } else if (auto answer = DecodeResponse(message.bytes)) {
      n.holder->OnResponse(Name(message.from), *answer);
    }
  }
  void Step() {
    while (!messages_.empty() && messages_.top().at <= now_) {
      Message message = messages_.top();
      messages_.pop();
      if (now_ < nodes_[message.to].paused) {
        message.at = nodes_[message.to].paused;
        messages_.push(message);
        continue;
      }
      Arrive(message);
    }
    int who = static_cast<int>(random_(kNodes));
    if (!faults_stopped_ && random_(40) == 0) {
      switch (random_(6)) {
        case 0:
          Stop(who);
          break;
        case 1:
        case 2:
          Start(who);
          break;
        case 3:
          nodes_[who].paused = now_ + Duration(static_cast<Micros>(random_(20'000'000)));
          break;
        case 4:
          for (int& g : group_) g = static_cast<int>(random_(2));
          break;
        case 5:
          for (int& g : group_) g = 0;
          break;
      }
    }
    for (int i = 0; i < kNodes; ++i) {
      Node& n = nodes_[i];
      if (!n.holder || now_ < n.paused || now_ < n.requested_at + kLease / 3) continue;
      n.requested_at = now_;
      for (int k = 0; k < kGranters; ++k) {
        // The planted bug: the request is recorded with a later send time.
        const TimePoint when = Local(n) + (bugs_.lease_runs_from_response ? kLease : Duration{});
        LeaseRequest ask = n.holder->MakeRequest(when, Name(k));
        if (k != i) {
          Send(i, k, Encode(ask), true);
        } else if (auto answer = n.granter->OnRequest(Local(n), Name(i), ask)) {
          n.holder->OnResponse(Name(k), *answer);
        }
      }
    }
  }

  pcg64 random_;
  PlantedBugs bugs_;
  TimePoint now_{std::chrono::seconds(1)};
  Node nodes_[kNodes];
  int group_[kNodes] = {};
  bool faults_stopped_ = false;
  std::priority_queue<Message, std::vector<Message>, std::greater<>> messages_;
};

double MaxInUse(PlantedBugs bugs, int seeds) {
  double max_in_use = 0;
  for (int seed = 1; seed <= seeds; ++seed)
    max_in_use = std::max(max_in_use, LeaseSimulation(static_cast<std::uint64_t>(seed), bugs).Run(3000));
  return max_in_use;
}

TEST_CASE("the shares in use never exceed the quota under loss, delay, partitions, pauses and restarts") {
  CHECK(MaxInUse({}, 150) <= 1.0 + 1e-9);
}

TEST_CASE("the whole quota is in use again after the faults") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LeaseSimulation simulation(seed, {});
    simulation.Run(2000);
    simulation.StopFaults();
    // Pauses of up to 20 s, the wait of a restarted granter, and a few rounds until shares are even.
    simulation.Run(2500);
    CAPTURE(seed);
    CHECK(simulation.InUse() > 0.9);
  }
}

TEST_CASE("each planted bug is detected") {
  PlantedBugs from_response, immediate, drift;
  from_response.lease_runs_from_response = true;
  immediate.grants_immediately = true;
  drift.drift = 0.2;
  CHECK(MaxInUse(from_response, 60) > 1.0 + 1e-9);
  CHECK(MaxInUse(immediate, 60) > 1.0 + 1e-9);
  CHECK(MaxInUse(drift, 150) > 1.0 + 1e-9);
}

TEST_CASE("a new holder gets its share only after the others have acknowledged smaller leases") {
  LeaseGranter granter(1, kLease, TimePoint{});
  TimePoint now{10 * kLease};
  LeaseHolder a(1, {"k"}, kLease), b(1, {"k"}, kLease);
  auto answer = granter.OnRequest(now, "a", a.MakeRequest(now, "k"));
  a.OnResponse("k", *answer);
  CHECK(a.Share(now) == doctest::Approx(1));
  CHECK(b.Share(now) == 0);
  b.OnResponse("k", *granter.OnRequest(now, "b", b.MakeRequest(now, "k")));
  CHECK(b.Share(now) == 0);  // a may be using the whole quota
  answer = granter.OnRequest(now + kMs, "a", a.MakeRequest(now + kMs, "k"));
  CHECK(answer->units == kUnitsPerGranter / 2);
  b.OnResponse("k", *granter.OnRequest(now + 2 * kMs, "b", b.MakeRequest(now + 2 * kMs, "k")));
  CHECK(b.Share(now + 2 * kMs) == 0);  // a may not have received the smaller lease
  a.OnResponse("k", *answer);
  granter.OnRequest(now + 3 * kMs, "a", a.MakeRequest(now + 3 * kMs, "k"));  // acknowledges the smaller lease
  b.OnResponse("k", *granter.OnRequest(now + 4 * kMs, "b", b.MakeRequest(now + 4 * kMs, "k")));
  CHECK(a.Share(now + 4 * kMs) == doctest::Approx(0.5));
  CHECK(b.Share(now + 4 * kMs) == doctest::Approx(0.5));
}

TEST_CASE("a lease expires by itself, a release frees it at once, and silence frees it only by expiry") {
  LeaseGranter granter(1, kLease, TimePoint{});
  TimePoint now{10 * kLease};
  LeaseHolder a(1, {"k"}, kLease), b(1, {"k"}, kLease);
  a.OnResponse("k", *granter.OnRequest(now, "a", a.MakeRequest(now, "k")));
  CHECK(a.Share(now + kLease - Duration(1)) == doctest::Approx(1));
  CHECK(a.Share(now + kLease) == 0);
  CHECK(granter.GrantedUnits(now + kLease) == kUnitsPerGranter);  // not yet: the holder's clock may be slower
  CHECK(granter.GrantedUnits(now + kLease + kLease / 10) == 0);
  now += 2 * kLease;
  a.OnResponse("k", *granter.OnRequest(now, "a", a.MakeRequest(now, "k")));
  a.Stop();
  CHECK(a.Share(now) == 0);
  CHECK_FALSE(granter.OnRequest(now, "a", a.MakeRelease(now, "k")).has_value());
  b.OnResponse("k", *granter.OnRequest(now, "b", b.MakeRequest(now, "k")));
  CHECK(b.Share(now) == doctest::Approx(1));
}

TEST_CASE("late, repeated and foreign messages have no effect") {
  LeaseGranter granter(2, kLease, TimePoint{});
  TimePoint now{10 * kLease};
  LeaseHolder a(1, {"k", "l"}, kLease);
  LeaseRequest first = a.MakeRequest(now, "k"), second = a.MakeRequest(now + Duration(1), "k");
  auto late = granter.OnRequest(now, "a", second);
  CHECK_FALSE(granter.OnRequest(now, "a", first).has_value());
  CHECK_FALSE(granter.OnRequest(now, "a", second).has_value());
  LeaseRequest other = a.MakeRequest(now + Duration(2), "k");
  other.granters = 3;
  CHECK_FALSE(granter.OnRequest(now, "a", other).has_value());
  a.OnResponse("k", *late);
  CHECK(a.Share(now) == doctest::Approx(0.5));
  LeaseResponse forged = *late;
  forged.boot = 2;
  forged.units = 5;
  a.OnResponse("k", forged);
  a.OnResponse("nobody", *late);
  CHECK(a.Share(now) == doctest::Approx(0.5));
  for (std::size_t size = 0; size < 40; ++size) {
    CHECK(DecodeRequest(std::string(size, 'x')).has_value() == (size == 29));
    CHECK(DecodeResponse(std::string(size, 'x')).has_value() == (size == 20));
  }
}

}  // namespace
}  // namespace dappletiller::quota_lease
