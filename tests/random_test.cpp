// Random but legal events, with the four rules checked as invariants on every action.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "harness.hpp"

namespace sandstand::testing {
namespace {

struct SentAttempt {
  ServerId server;
  Micros at;
  bool out = true;
  bool may_have_run = true;
  bool cancelled = false;
};

struct Tracked {
  int request_class;
  Micros deadline;
  bool over = false;
  std::vector<SentAttempt> attempts;
};

class World {
 public:
  World(std::uint64_t seed, Settings settings) : settings_(settings), rng_(seed), balancer_(settings) {
    for (ServerId id = 1; id <= 12; ++id) servers_[id] = Entry(id, id % 3, id % 4);
    Tell(ListUpdate::Kind::kCached);
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      now_ += settings_.tick;
      while (!wakes_.empty() && *wakes_.begin() <= now_) {
        wakes_.erase(wakes_.begin());
        Handle(TimerFired{});
      }
      CheckDeadlines();
      if (Chance(0.3)) Arrive();
      if (Chance(0.35)) EndOne();
      if (Chance(0.01)) ChangeList();
      if (Chance(0.01)) LeaveOne();
    }
    for (int i = 0; i < 2000; ++i) {  // let everything come to its end
      now_ += settings_.tick;
      while (!wakes_.empty() && *wakes_.begin() <= now_) {
        wakes_.erase(wakes_.begin());
        Handle(TimerFired{});
      }
      CheckDeadlines();
      EndOne();
    }
    for (const auto& [id, r] : requests_) EXPECT_TRUE(r.over) << "request " << id << " was never answered";
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
        if (r.attempts[i].out) out.push_back({id, static_cast<int>(i)});
      }
    }
    if (out.empty()) return;
    auto [id, n] = out[rng_() % out.size()];
    Tracked& r = requests_[id];
    SentAttempt& a = r.attempts[n];
    static constexpr Outcome kAll[] = {Outcome::kServed, Outcome::kServed,        Outcome::kServed,
                                       Outcome::kError,  Outcome::kFull,          Outcome::kTimeout,
                                       Outcome::kReset,  Outcome::kConnectFailed, Outcome::kNotSent};
    AttemptEnded e;
    e.id = id;
    e.attempt = n;
    e.outcome = a.cancelled && Chance(0.8) ? Outcome::kCancelled : kAll[rng_() % std::size(kAll)];
    e.latency = now_ - a.at;
    a.out = false;
    a.may_have_run =
        e.outcome != Outcome::kFull && e.outcome != Outcome::kConnectFailed && e.outcome != Outcome::kNotSent;
    if (e.outcome == Outcome::kServed) r.over = true;
    e.request_finished = r.over;
    Handle(e);
  }

  void LeaveOne() {
    if (last_id_ == 0) return;
    RequestId id = 1 + rng_() % last_id_;
    requests_[id].over = true;
    Handle(ClientLeft{id});
  }

  void ChangeList() {
    ServerId id = 1 + static_cast<ServerId>(rng_() % 12);
    ServerEntry e = Entry(id, id % 3, id % 4);
    int what = static_cast<int>(rng_() % 4);
    if (what == 0) e.state = ServerState::kDraining;
    if (what == 1) e.state = ServerState::kGone;
    if (what == 2) e.started_at = now_;
    servers_[id] = e;
    Tell(Chance(0.3) ? ListUpdate::Kind::kFull : ListUpdate::Kind::kChanges);
  }

  void Tell(ListUpdate::Kind kind) {
    ListUpdate update;
    update.kind = kind;
    for (auto& [id, e] : servers_) {
      if (kind == ListUpdate::Kind::kFull && e.state == ServerState::kGone) continue;
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
      } else if (const auto* refuse = std::get_if<Refuse>(&a)) {
        CheckRefusal(refuse->id);
        Finish(refuse->id);
      } else if (const auto* fail = std::get_if<Fail>(&a)) {
        Finish(fail->id);
      } else if (const auto* cancel = std::get_if<Cancel>(&a)) {
        ASSERT_LT(cancel->attempt, static_cast<int>(requests_[cancel->id].attempts.size()));
        requests_[cancel->id].attempts[cancel->attempt].cancelled = true;
      } else if (const auto* wake = std::get_if<WakeAfter>(&a)) {
        EXPECT_GE(wake->delay, 0);
        wakes_.insert(std::max(now_ + 1, now_ + wake->delay));
      }
    }
  }

  void CheckSend(const Send& send) {
    ++sends_;
    ASSERT_TRUE(requests_.count(send.id));
    Tracked& r = requests_[send.id];
    const ClassSettings& c = settings_.classes[r.request_class];
    EXPECT_FALSE(r.over) << "sent after the final answer";
    EXPECT_LT(now_, r.deadline);
    EXPECT_LT(static_cast<int>(r.attempts.size()), settings_.max_attempts);
    EXPECT_EQ(servers_[send.server].state, ServerState::kReady) << "sent to a draining or gone server";
    const SentAttempt* first = nullptr;
    for (const SentAttempt& a : r.attempts) {
      EXPECT_FALSE(a.out) << "two attempts out together";
      if (a.may_have_run && first == nullptr) first = &a;
    }
    if (first != nullptr && c.effect == Effect::kUnsafe) ADD_FAILURE() << "an unsafe request may run twice";
    if (first != nullptr && c.effect == Effect::kKeyed) {
      EXPECT_LT(now_, first->at + c.window);
      EXPECT_TRUE(c.group != KeyedGroup::kSameCell || first->server % 4 == send.server % 4);
      EXPECT_TRUE(c.group != KeyedGroup::kSameZone || first->server % 3 == send.server % 3);
    }
    r.attempts.push_back({send.server, now_});
  }

  void CheckRefusal(RequestId id) {
    Tracked& r = requests_[id];
    const ClassSettings& c = settings_.classes[r.request_class];
    if (c.effect == Effect::kSafe || (c.effect == Effect::kKeyed && c.group == KeyedGroup::kAll)) return;
    for (const SentAttempt& a : r.attempts) EXPECT_FALSE(a.may_have_run) << "a refusal that may do harm";
  }

  void Finish(RequestId id) {
    Tracked& r = requests_[id];
    EXPECT_FALSE(r.over) << "a second final answer";
    EXPECT_LE(now_, r.deadline) << "answered late";
    r.over = true;
  }

  void CheckDeadlines() {
    for (const auto& [id, r] : requests_) {
      ASSERT_TRUE(r.over || now_ <= r.deadline) << "request " << id << " is still open";
    }
  }

  Settings settings_;
  std::mt19937_64 rng_;
  Balancer balancer_;
  Micros now_ = 5'000'000'000;
  std::map<ServerId, ServerEntry> servers_;
  std::map<RequestId, Tracked> requests_;
  std::multiset<Micros> wakes_;
  RequestId last_id_ = 0;
  int sends_ = 0;
};

class RandomEvents : public ::testing::TestWithParam<int> {};

TEST_P(RandomEvents, KeepTheRules) {
  Settings s = BasicSettings();
  s.seed = GetParam();
  s.zones = 3;
  s.zone = GetParam() % 3;
  s.cross_zone_price = 0.03;
  s.tenants = {{0.5, 20}, {0.3, 10}, {0.2, 5}};
  s.over_share_worth = 0.1;
  s.may_cancel = GetParam() % 3 != 0;
  ClassSettings zoned = s.classes[kKeyedClass];
  zoned.group = KeyedGroup::kSameZone;
  ClassSettings all = zoned;
  all.group = KeyedGroup::kAll;
  s.classes.push_back(zoned);
  s.classes.push_back(all);
  World(1000 + GetParam(), s).Run(4000);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range(0, 12));

}  // namespace
}  // namespace sandstand::testing
