// One proxy's Balancer under test: feeds events to it and records its actions.
#ifndef DAPPLETILLER_TESTS_BALANCER_TEST_PROXY_HPP_
#define DAPPLETILLER_TESTS_BALANCER_TEST_PROXY_HPP_

#include <vector>

#include "dappletiller/balancer.hpp"

namespace dappletiller::balancer::testing {

constexpr Micros kMs = 1000;

inline Settings BasicSettings() {
  Settings s;
  s.seed = 7;
  s.clock_step = 5 * kMs;
  s.weight_per_work = true;
  ClassSettings safe;
  safe.latency_objective = 1000 * kMs;
  safe.client_timeout = 4000 * kMs;
  safe.effect = Effect::kSafe;
  ClassSettings keyed = safe;
  keyed.effect = Effect::kKeyed;
  keyed.key_scope = KeyScope::kSameCell;
  keyed.key_lifetime = 2000 * kMs;
  ClassSettings unsafe = safe;
  unsafe.effect = Effect::kUnsafe;
  s.classes = {safe, keyed, unsafe};
  s.max_attempts = 3;
  s.may_cancel = true;
  s.send_retry_after = true;
  s.max_retry_after = 2000 * kMs;
  s.initial_capacity = 0.2;
  s.warmup_time = 10'000 * kMs;
  s.overload_factor = 4;
  s.overload_window = 1000 * kMs;
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

// Drives one Balancer. Its clock `now` is advanced by the test.
class TestProxy {
 public:
  explicit TestProxy(const Settings& settings, Micros start = 1'000'000'000)
      : now(start), balancer(settings) {}

  std::vector<Action> Handle(const Event& event) {
    last_actions.clear();
    balancer.Handle(now, event, &last_actions);
    for (const Action& a : last_actions) {
      if (const auto* s = std::get_if<Send>(&a)) sends.push_back(*s);
    }
    return last_actions;
  }

  std::vector<Action> SetServers(const std::vector<ServerEntry>& entries,
                                 EndpointListUpdate::Kind kind = EndpointListUpdate::Kind::kCached) {
    return Handle(EndpointListUpdate{kind, entries});
  }

  std::vector<Action> Arrive(RequestId id, Micros hint, int request_class = kSafeClass,
                             Micros left = 3000 * kMs) {
    RequestArrived e;
    e.id = id;
    e.request_class = request_class;
    e.deadline = now + left;
    e.work_hint = hint;
    e.has_hint = hint > 0;
    return Handle(e);
  }

  std::vector<Action> EndAttempt(RequestId id, Outcome outcome = Outcome::kServed, int attempt = 0,
                                 Micros latency = 10 * kMs) {
    AttemptEnded e;
    e.id = id;
    e.attempt = attempt;
    e.outcome = outcome;
    e.latency = latency;
    e.request_finished = outcome == Outcome::kServed;
    return Handle(e);
  }

  std::vector<Action> AdvanceTime(Micros span) {
    now += span;
    return Handle(TimerFired{});
  }

  // Serves 200 requests with hints of 20 ms and 200 ms, so that the cutoff lies between the two.
  void LearnCutoff(RequestId first = 1'000'000) {
    for (int i = 0; i < 200; ++i) {
      now += 30 * kMs;
      RequestId id = first + i;
      Arrive(id, i % 10 == 0 ? 200 * kMs : 20 * kMs);
      if (WasSent(id)) EndAttempt(id, Outcome::kServed, 0, i % 10 == 0 ? 200 * kMs : 20 * kMs);
    }
    now += 10'000 * kMs;
    Handle(TimerFired{});
    sends.clear();
  }

  bool WasSent(RequestId id) const {
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
  // Number of actions of type T returned by the last event.
  template <typename T>
  int CountActions() const {
    int n = 0;
    for (const Action& a : last_actions) n += std::holds_alternative<T>(a);
    return n;
  }

  Micros now;
  Balancer balancer;
  std::vector<Action> last_actions;
  std::vector<Send> sends;
};

}  // namespace dappletiller::balancer::testing

#endif  // DAPPLETILLER_TESTS_BALANCER_TEST_PROXY_HPP_
