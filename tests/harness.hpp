// A gateway under test: feeds events to a Balancer and sorts its actions.
#ifndef SANDSTAND_TESTS_HARNESS_HPP_
#define SANDSTAND_TESTS_HARNESS_HPP_

#include <vector>

#include "sandstand/balancer.hpp"

namespace sandstand::testing {

constexpr Micros kMs = 1000;

inline Settings BasicSettings() {
  Settings s;
  s.seed = 7;
  s.tick = 5 * kMs;
  s.worth_by_work = true;
  ClassSettings safe;
  safe.aim = 1000 * kMs;
  safe.deadline = 4000 * kMs;
  safe.effect = Effect::kSafe;
  ClassSettings keyed = safe;
  keyed.effect = Effect::kKeyed;
  keyed.group = KeyedGroup::kSameCell;
  keyed.window = 2000 * kMs;
  ClassSettings unsafe = safe;
  unsafe.effect = Effect::kUnsafe;
  s.classes = {safe, keyed, unsafe};
  s.max_attempts = 3;
  s.may_cancel = true;
  s.advise_retry = true;
  s.max_retry_after = 2000 * kMs;
  s.cold_share = 0.2;
  s.cold_time = 10'000 * kMs;
  s.fall_multiple = 4;
  s.fall_time = 1000 * kMs;
  return s;
}

enum ClassIndex { kSafeClass, kKeyedClass, kUnsafeClass };

inline ServerEntry Entry(ServerId id, int zone = 0, int cell = 0, ServerState state = ServerState::kReady,
                         Micros started = 0) {
  ServerEntry e;
  e.id = id;
  e.zone = zone;
  e.cell = cell;
  e.state = state;
  e.started_at = started;
  return e;
}

class Gateway {
 public:
  explicit Gateway(const Settings& settings, Micros start = 1'000'000'000) : now(start), balancer(settings) {}

  std::vector<Action> Do(const Event& event) {
    last.clear();
    balancer.Handle(now, event, &last);
    for (const Action& a : last) {
      if (const auto* s = std::get_if<Send>(&a)) sends.push_back(*s);
    }
    return last;
  }

  std::vector<Action> List(const std::vector<ServerEntry>& entries,
                           ListUpdate::Kind kind = ListUpdate::Kind::kCached) {
    return Do(ListUpdate{kind, entries});
  }

  std::vector<Action> Arrive(RequestId id, Micros hint, int request_class = kSafeClass,
                             Micros left = 3000 * kMs) {
    RequestArrived e;
    e.id = id;
    e.request_class = request_class;
    e.deadline = now + left;
    e.work_hint = hint;
    e.has_hint = hint > 0;
    return Do(e);
  }

  std::vector<Action> End(RequestId id, Outcome outcome = Outcome::kServed, int attempt = 0,
                          Micros latency = 10 * kMs) {
    AttemptEnded e;
    e.id = id;
    e.attempt = attempt;
    e.outcome = outcome;
    e.latency = latency;
    e.request_finished = outcome == Outcome::kServed;
    return Do(e);
  }

  std::vector<Action> Tick(Micros span) {
    now += span;
    return Do(TimerFired{});
  }

  // Shows it a usual mix of hints, so that it has a cutoff between 20 ms and 200 ms, and lets all of it end.
  void Train(RequestId first = 1'000'000) {
    for (int i = 0; i < 200; ++i) {
      now += 30 * kMs;
      RequestId id = first + i;
      Arrive(id, i % 10 == 0 ? 200 * kMs : 20 * kMs);
      if (Sent(id)) End(id, Outcome::kServed, 0, i % 10 == 0 ? 200 * kMs : 20 * kMs);
    }
    now += 10'000 * kMs;
    Do(TimerFired{});
    sends.clear();
  }

  bool Sent(RequestId id) const {
    for (const Send& s : sends) {
      if (s.id == id) return true;
    }
    return false;
  }
  ServerId ServerOf(RequestId id) const {
    ServerId server = 0;
    for (const Send& s : sends) {
      if (s.id == id) server = s.server;
    }
    return server;
  }
  template <typename T>
  int Count() const {
    int n = 0;
    for (const Action& a : last) n += std::holds_alternative<T>(a);
    return n;
  }

  Micros now;
  Balancer balancer;
  std::vector<Action> last;
  std::vector<Send> sends;
};

}  // namespace sandstand::testing

#endif  // SANDSTAND_TESTS_HARNESS_HPP_
