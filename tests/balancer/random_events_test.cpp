// Random events within the contract. On every action the guarantees are checked as invariants: one final
// outcome in time, no repeated effect, nothing sent to a draining or removed server, at most max_attempts.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "balancer/test_proxy.hpp"

namespace dappletiller::balancer::testing {
namespace {

struct SentAttempt {
  ServerId server;
  Micros at;
  bool in_flight = true;
  bool may_have_run = true;
  bool cancelled = false;
};

struct Tracked {
  int request_class;
  Micros deadline;
  bool finished = false;
  std::vector<SentAttempt> attempts;
};

class RandomEventRun {
 public:
  RandomEventRun(std::uint64_t seed, Settings settings)
      : settings_(settings), rng_(seed), balancer_(settings) {
    for (ServerId id = 1; id <= 12; ++id) servers_[id] = Entry(id, id % 3, id % 4);
    SendList(EndpointListUpdate::Kind::kCached);
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      now_ += settings_.clock_step;
      while (!wake_times_.empty() && *wake_times_.begin() <= now_) {
        wake_times_.erase(wake_times_.begin());
        Handle(TimerFired{});
      }
      CheckDeadlines();
      if (Chance(0.3)) Arrive();
      if (Chance(0.35)) EndOne();
      if (Chance(0.01)) ChangeList();
      if (Chance(0.01)) DisconnectOne();
    }
    for (int i = 0; i < 2000; ++i) {  // let all requests end
      now_ += settings_.clock_step;
      while (!wake_times_.empty() && *wake_times_.begin() <= now_) {
        wake_times_.erase(wake_times_.begin());
        Handle(TimerFired{});
      }
      CheckDeadlines();
      EndOne();
    }
    for (const auto& [id, r] : requests_)
      EXPECT_TRUE(r.finished) << "request " << id << " has no final outcome";
    EXPECT_EQ(balancer_.ignored_events(), 0u);
    EXPECT_GT(sends_, 100);
  }

 private:
  double Uniform() { return static_cast<double>(rng_() >> 11) * 0x1.0p-53; }
  bool Chance(double p) { return Uniform() < p; }

  void Arrive() {
    RequestArrived e;
    e.id = ++last_id_;
    e.request_class = static_cast<int>(rng_() % settings_.classes.size());
    e.tenant = static_cast<int>(rng_() % 3);
    e.deadline = now_ + static_cast<Micros>(Uniform() * 4000 * kMs);
    e.has_hint = Chance(0.9);
    e.work_hint = static_cast<Micros>(20 * kMs * std::exp(3 * Uniform()));
    requests_[e.id] = {e.request_class, e.deadline, false, {}};
    Handle(e);
  }

  void EndOne() {
    std::vector<std::pair<RequestId, int>> out;
    for (auto& [id, r] : requests_) {
      for (std::size_t i = 0; i < r.attempts.size(); ++i) {
        if (r.attempts[i].in_flight) out.push_back({id, static_cast<int>(i)});
      }
    }
    if (out.empty()) return;
    auto [id, n] = out[rng_() % out.size()];
    Tracked& r = requests_[id];
    SentAttempt& a = r.attempts[n];
    static constexpr Outcome kAll[] = {Outcome::kServed, Outcome::kServed,        Outcome::kServed,
                                       Outcome::kError,  Outcome::kRejected,      Outcome::kTimeout,
                                       Outcome::kReset,  Outcome::kConnectFailed, Outcome::kNotSent};
    AttemptEnded e;
    e.id = id;
    e.attempt = n;
    e.outcome = a.cancelled && Chance(0.8) ? Outcome::kCancelled : kAll[rng_() % std::size(kAll)];
    e.latency = now_ - a.at;
    a.in_flight = false;
    a.may_have_run = e.outcome != Outcome::kRejected && e.outcome != Outcome::kConnectFailed &&
                     e.outcome != Outcome::kNotSent;
    if (e.outcome == Outcome::kServed) r.finished = true;
    e.request_finished = r.finished;
    Handle(e);
  }

  void DisconnectOne() {
    if (last_id_ == 0) return;
    RequestId id = 1 + rng_() % last_id_;
    requests_[id].finished = true;
    Handle(ClientDisconnected{id});
  }

  void ChangeList() {
    ServerId id = 1 + static_cast<ServerId>(rng_() % 12);
    ServerEntry e = Entry(id, id % 3, id % 4);
    int change = static_cast<int>(rng_() % 4);
    if (change == 0) e.state = ServerState::kDraining;
    if (change == 1) e.state = ServerState::kRemoved;
    if (change == 2) e.started_at = now_;
    servers_[id] = e;
    SendList(Chance(0.3) ? EndpointListUpdate::Kind::kSnapshot : EndpointListUpdate::Kind::kDelta);
  }

  void SendList(EndpointListUpdate::Kind kind) {
    EndpointListUpdate update;
    update.kind = kind;
    for (auto& [id, e] : servers_) {
      if (kind == EndpointListUpdate::Kind::kSnapshot && e.state == ServerState::kRemoved) continue;
      update.entries.push_back(e);
    }
    Handle(update);
  }

  void Handle(const Event& event) {
    std::vector<Action> actions;
    balancer_.Handle(now_, event, &actions);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) {
        CheckSend(*send);
      } else if (const auto* reject = std::get_if<Reject>(&a)) {
        CheckRejection(reject->id);
        Finish(reject->id);
      } else if (const auto* fail = std::get_if<Fail>(&a)) {
        Finish(fail->id);
      } else if (const auto* cancel = std::get_if<Cancel>(&a)) {
        ASSERT_LT(cancel->attempt, static_cast<int>(requests_[cancel->id].attempts.size()));
        requests_[cancel->id].attempts[cancel->attempt].cancelled = true;
      } else if (const auto* wake = std::get_if<WakeAfter>(&a)) {
        EXPECT_GE(wake->delay, 0);
        wake_times_.insert(std::max(now_ + 1, now_ + wake->delay));
      }
    }
  }

  void CheckSend(const Send& send) {
    ++sends_;
    ASSERT_TRUE(requests_.count(send.id));
    Tracked& r = requests_[send.id];
    const ClassSettings& c = settings_.classes[r.request_class];
    EXPECT_FALSE(r.finished) << "sent after the final outcome";
    EXPECT_LT(now_, r.deadline);
    EXPECT_LT(static_cast<int>(r.attempts.size()), settings_.max_attempts);
    EXPECT_EQ(servers_[send.server].state, ServerState::kReady) << "sent to a draining or removed server";
    const SentAttempt* first = nullptr;
    for (const SentAttempt& a : r.attempts) {
      EXPECT_FALSE(a.in_flight) << "two attempts in flight at the same time";
      if (a.may_have_run && first == nullptr) first = &a;
    }
    if (first != nullptr && c.effect == Effect::kUnsafe) ADD_FAILURE() << "an unsafe request may run twice";
    if (first != nullptr && c.effect == Effect::kKeyed) {
      EXPECT_LT(now_, first->at + c.key_lifetime);
      EXPECT_TRUE(c.key_scope != KeyScope::kSameCell || first->server % 4 == send.server % 4);
      EXPECT_TRUE(c.key_scope != KeyScope::kSameZone || first->server % 3 == send.server % 3);
    }
    r.attempts.push_back({send.server, now_});
  }

  void CheckRejection(RequestId id) {
    Tracked& r = requests_[id];
    const ClassSettings& c = settings_.classes[r.request_class];
    if (c.effect == Effect::kSafe || (c.effect == Effect::kKeyed && c.key_scope == KeyScope::kAllServers))
      return;
    for (const SentAttempt& a : r.attempts)
      EXPECT_FALSE(a.may_have_run) << "rejected although it may have run";
  }

  void Finish(RequestId id) {
    Tracked& r = requests_[id];
    EXPECT_FALSE(r.finished) << "a second final outcome";
    EXPECT_LE(now_, r.deadline) << "answered late";
    r.finished = true;
  }

  void CheckDeadlines() {
    for (const auto& [id, r] : requests_) {
      ASSERT_TRUE(r.finished || now_ <= r.deadline) << "request " << id << " is still open";
    }
  }

  Settings settings_;
  std::mt19937_64 rng_;
  Balancer balancer_;
  Micros now_ = 5'000'000'000;
  std::map<ServerId, ServerEntry> servers_;
  std::map<RequestId, Tracked> requests_;
  std::multiset<Micros> wake_times_;
  RequestId last_id_ = 0;
  int sends_ = 0;
};

class RandomEvents : public ::testing::TestWithParam<int> {};

TEST_P(RandomEvents, PreserveTheGuarantees) {
  Settings s = BasicSettings();
  s.seed = GetParam();
  s.zones = 3;
  s.zone = GetParam() % 3;
  s.cross_zone_cost = 0.03;
  s.tenants = {{0.5, 20}, {0.3, 10}, {0.2, 5}};
  s.over_quota_weight = 0.1;
  s.may_cancel = GetParam() % 3 != 0;
  ClassSettings zoned = s.classes[kKeyedClass];
  zoned.key_scope = KeyScope::kSameZone;
  ClassSettings all = zoned;
  all.key_scope = KeyScope::kAllServers;
  s.classes.push_back(zoned);
  s.classes.push_back(all);
  RandomEventRun(1000 + GetParam(), s).Run(4000);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range(0, 12));

}  // namespace
}  // namespace dappletiller::balancer::testing
