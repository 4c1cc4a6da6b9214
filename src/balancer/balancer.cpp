// Implementation of the decision module, see docs/design.md. Interface: include/dappletiller/balancer.hpp.
//
// The mechanism is class-dependent assignment (CDA): a request whose hint exceeds the cutoff is long, all
// others are short. Short requests are sent on arrival, round robin. Long requests are queued; the one with
// the smallest aged estimate goes to a server with nothing of this proxy in flight, and reserves it.
#include "dappletiller/balancer.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <utility>

#include "balancer/class_table.hpp"
#include "balancer/constants.hpp"
#include "balancer/settings_change.hpp"
#include "balancer/work_statistics.hpp"
#include "limits/slow_start.hpp"
#include "limits/tenant_quota.hpp"

namespace dappletiller::balancer {
namespace {

using AttemptRef = std::tuple<Micros, RequestId, int>;  // send time, request, attempt index

struct Server {
  ServerEntry entry;
  double preference = 0;    // random, 0 to 1: this proxy regularly uses the servers with the lowest values
  double rotation_key = 0;  // virtual time, offset for servers that are not preferred
  double virtual_time = 0;  // fair queueing: advances by the service time of the work sent
  bool in_rotation = false;
  bool reserved = false;  // one of this proxy's long requests is running there
  std::set<AttemptRef> in_flight;
  double work_in_flight = 0;
  double observed_wait = 0;       // queueing delay of the latest-sent request that was answered
  Micros observed_wait_at = 0;    // when that request was sent, or a rejection was received
  Micros last_answered_sent = 0;  // when the latest-sent request that was answered was sent
  bool probe_in_flight = false;   // a probe request is in flight, to find out whether the server responds
  int failures = 0;               // consecutive
  Micros backoff_until = 0;
  Micros next_send_at = 0;  // when the slow-start allowance permits the next request
};

using RotationOrder = std::set<std::pair<double, ServerId>>;

struct Zone {
  int ready_servers = 0;
  RotationOrder rotation;   // servers that are ready and not reserved
  RotationOrder idle;       // those of them on which this proxy has nothing in flight
  double virtual_time = 0;  // largest virtual time served so far
  double median_wait = 0;   // running median of observed queueing delays
  int failures = 0;         // consecutive, without a response from any server of the zone
  Micros backoff_until = 0;
  Micros recovered_at = 0;  // first response after the zone was unreachable
};

struct Attempt {
  ServerId server = 0;
  Micros sent_at = 0;
  bool in_flight = true;
  bool may_have_run = true;
  double expected_wait = 0;
  double expected_latency = 0;  // includes one more request of mean work ahead of it
  Micros suspect_at = 0;        // when it is suspected lost, on the network or in the server
  Micros overdue_at = 0;        // when it is cancelled if a later attempt was answered
  bool suspected = false;
  bool probe = false;
  bool reserves = false;
};

struct Request {
  RequestId id = 0;
  std::shared_ptr<const ClassSettings> class_settings;
  int max_attempts = 1;  // on arrival
  Micros deadline = 0;
  Micros objective_at = 0;
  double work = 0;
  bool hinted = false;
  double weight = 1;         // relative to the largest weight of any class
  double aged_estimate = 0;  // while queued
  Micros aging_interval = 0;
  bool is_long = false;
  bool queued = false;
  bool finished = false;
  std::vector<Attempt> attempts;
};

enum class TimerKind { kDeadline, kAgeEstimate, kCheckAttempts, kPollEndpoints };
using TimerRef = std::tuple<Micros, TimerKind, RequestId>;

}  // namespace

class Balancer::Impl {
 public:
  explicit Impl(const Settings& settings)
      : settings_(settings),
        random_(settings.seed),
        tenant_quota_({}, settings.proxies),
        slow_start_(SlowStartRules(settings)) {
    if (settings_.classes.empty()) throw std::invalid_argument("settings have no request class");
    if (settings_.zones < 1 || settings_.zone < 0 || settings_.zone >= settings_.zones)
      throw std::invalid_argument("zone out of range");
    if (settings_.proxies < 1) throw std::invalid_argument("proxies must be at least 1");
    if (settings_.max_attempts < 1) throw std::invalid_argument("max_attempts must be at least 1");
    for (int i = 0; const ClassSettings& c : settings_.classes) {
      if (!classes_.Set(i++, true, c))
        throw std::invalid_argument("a request class has no latency objective or no client timeout");
    }
    for (int i = 0; const TenantSettings& t : settings_.tenants) On(TenantChanged{i++, true, t});
    settings_.classes = {};
    settings_.tenants = {};
    quota_share_ = 1.0 / settings_.proxies;
    zones_.resize(settings_.zones);
  }

  void Handle(Micros now, const Event& event, std::vector<Action>* actions) {
    now_ = now;
    actions_ = actions;
    if (!started_) Start();
    std::visit([this](const auto& e) { On(e); }, event);
    RunTimers();
    ScheduleWake();
  }

  std::uint64_t ignored() const { return ignored_; }

 private:
  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  void LogMessage(std::string text) { Emit(Log{std::move(text)}); }
  void Emit(Action action) { actions_->push_back(std::move(action)); }

  // ---- Endpoint list ----

  void Start() {
    started_ = true;
    work_.Start(now_);
    // Randomized: proxies that start together must not all poll at once.
    if (settings_.endpoints_on_request) SchedulePoll(Uniform() * kInitialPollShare * settings_.poll_interval);
  }

  void SchedulePoll(double span) {
    timers_.erase({next_poll_at_, TimerKind::kPollEndpoints, 0});
    next_poll_at_ = now_ + static_cast<Micros>(span);
    timers_.insert({next_poll_at_, TimerKind::kPollEndpoints, 0});
  }

  void On(const EndpointListUpdate& update) {
    if (update.kind == EndpointListUpdate::Kind::kFailed) {
      double wait = kInitialPollShare * (settings_.poll_interval << std::min(poll_failures_++, 3));
      if (settings_.endpoints_on_request) SchedulePoll(wait * (0.2 + 0.8 * Uniform()));
      return;
    }
    if (update.kind != EndpointListUpdate::Kind::kCached && settings_.endpoints_on_request &&
        next_poll_at_ != 0) {
      poll_failures_ = 0;
      timers_.erase({next_poll_at_, TimerKind::kPollEndpoints, 0});  // subscribed
    }
    std::set<ServerId> listed_ids;
    for (const ServerEntry& entry : update.entries) {
      if (entry.zone < 0 || entry.zone >= settings_.zones || !(entry.concurrency > 0)) {
        ignored_++;
        continue;
      }
      listed_ids.insert(entry.id);
      UpdateServer(entry);
    }
    if (update.kind != EndpointListUpdate::Kind::kDelta) {
      for (auto& [id, server] : servers_) {
        if (listed_ids.count(id) == 0) server.entry.state = ServerState::kRemoved;
      }
    }
    for (Zone& zone : zones_) zone.ready_servers = 0;
    for (const auto& [id, server] : servers_) zones_[server.entry.zone].ready_servers += IsReady(server);
    for (auto it = servers_.begin(); it != servers_.end();) {
      Server& server = it->second;
      UpdateRotation(server);
      bool erase = server.entry.state == ServerState::kRemoved && server.in_flight.empty();
      if (erase) servers_by_cell_[server.entry.cell].erase(server.entry.id);
      it = erase ? servers_.erase(it) : std::next(it);
    }
    SendQueued();
  }

  void UpdateServer(const ServerEntry& entry) {
    auto [it, inserted] = servers_.try_emplace(entry.id);
    Server& server = it->second;
    if (server.in_rotation) RemoveFromRotation(server);
    bool restarted = inserted || entry.started_at != server.entry.started_at;
    if (!inserted) servers_by_cell_[server.entry.cell].erase(entry.id);
    server.entry = entry;
    servers_by_cell_[entry.cell].insert(entry.id);
    if (!restarted) return;
    server.observed_wait = 0;
    server.failures = 0;
    server.backoff_until = 0;
    // A random start: all proxies learn of the server at the same time and must not all send to it first.
    server.preference = Uniform();
    server.virtual_time = zones_[entry.zone].virtual_time + Uniform() * ServiceTime(work_.mean(), server);
  }

  double ProxiesPerZone() const { return std::max(1.0, 1.0 * settings_.proxies / settings_.zones); }

  // Number of servers of a zone that this proxy uses regularly. With all of a large fleet, each request would
  // need a new connection and nothing would be known of any server. Many proxies share each server, which
  // evens out load.
  double PreferredServers(int zone) const {
    return std::max(kMinPreferredServers,
                    kMinProxiesPerServer * zones_[zone].ready_servers / ProxiesPerZone());
  }

  bool IsReady(const Server& server) const { return server.entry.state == ServerState::kReady; }

  // Updates the server's place in the rotation and in the idle set from its state.
  void UpdateRotation(Server& server) {
    if (server.in_rotation) RemoveFromRotation(server);
    if (!IsReady(server) || server.reserved) return;
    int zone = server.entry.zone;
    server.virtual_time = std::max(server.virtual_time, zones_[zone].virtual_time);
    server.rotation_key =
        server.virtual_time +
        (server.preference * zones_[zone].ready_servers < PreferredServers(zone) ? 0 : kNonPreferredOffset);
    zones_[zone].rotation.insert({server.rotation_key, server.entry.id});
    if (server.in_flight.empty()) zones_[zone].idle.insert({server.rotation_key, server.entry.id});
    server.in_rotation = true;
  }

  void RemoveFromRotation(Server& server) {
    zones_[server.entry.zone].rotation.erase({server.rotation_key, server.entry.id});
    zones_[server.entry.zone].idle.erase({server.rotation_key, server.entry.id});
    server.in_rotation = false;
  }

  // ---- Health and speed ----

  // Service time per unit of work, in microseconds, times the server's concurrency. Learned for each hardware
  // kind, since the concurrency in the endpoint list may be inaccurate or missing. Until then the hint is
  // taken as the service time in microseconds.
  double TimePerWork(const Server& server) const {
    auto it = time_per_work_.find(server.entry.kind);
    return it == time_per_work_.end() ? server.entry.concurrency : it->second.first;
  }

  double ServiceTime(double work, const Server& server) const {
    return work * TimePerWork(server) / server.entry.concurrency;
  }

  // Estimated queueing delay of a new request, from this proxy's own attempts alone. Moves from the last
  // observation to the zone's median over time: most observations are old, and to assume an unobserved queue
  // empty would increase congestion. At least the lateness of the oldest open attempt.
  double ExpectedWait(const Server& server) const {
    double median = zones_[server.entry.zone].median_wait;
    double drained = kUnobservedDrainRate * (now_ - server.observed_wait_at);
    double wait = server.observed_wait > median ? std::max(median, server.observed_wait - drained)
                                                : std::min(median, server.observed_wait + drained);
    // Servers process requests in order: an attempt overtaken by a later one says nothing about the queue.
    // Suspected attempts are skipped too, until a probe has ended.
    auto oldest = server.in_flight.lower_bound({server.last_answered_sent, 0, 0});
    while (oldest != server.in_flight.end() && AttemptOf(*oldest).suspected) ++oldest;
    if (oldest != server.in_flight.end()) {
      const auto& [sent_at, id, index] = *oldest;
      wait = std::max(wait, now_ - sent_at - ServiceTime(requests_.at(id).work, server));
    }
    return wait + ServiceTime(server.work_in_flight, server);
  }

  const Attempt& AttemptOf(const AttemptRef& ref) const {
    return requests_.at(std::get<1>(ref)).attempts[std::get<2>(ref)];
  }

  // Whether an unanswered attempt is suspected lost and nothing sent after it has been answered.
  bool HasSuspectedLoss(const Server& server) const {
    auto oldest = server.in_flight.lower_bound({server.last_answered_sent, 0, 0});
    return oldest != server.in_flight.end() && AttemptOf(*oldest).suspected;
  }

  void RecordOutcome(Server& server, const Request& request, const Attempt& attempt, Outcome outcome,
                     Micros latency) {
    Zone& zone = zones_[server.entry.zone];
    double service_time = ServiceTime(request.work, server);
    double waited = latency - service_time;
    switch (outcome) {
      case Outcome::kServed:
        if (zone.failures >= kZoneFailureThreshold) zone.recovered_at = now_;
        zone.failures = 0;
        zone.backoff_until = 0;
        server.failures = 0;
        server.backoff_until = 0;
        failure_rate_ -= kMeanStep * failure_rate_;
        server.last_answered_sent = std::max(server.last_answered_sent, attempt.sent_at);
        tail_latency_ratio_ =
            std::max(1.0, tail_latency_ratio_ *
                              QuantileStep(latency > tail_latency_ratio_ * attempt.expected_latency));
        if ((request.hinted || (!work_.has_hints() && work_.mean_is_known())) && latency > 0 &&
            request.work >= work_.mean()) {
          double ratio = latency * server.entry.concurrency / request.work;
          auto& [time_per_work, samples] =
              time_per_work_.try_emplace(server.entry.kind, TimePerWork(server), 0).first->second;
          double step = std::max(kQuantileStep, 1.0 / ++samples);
          double quantile = request.hinted ? kServiceTimeQuantile : kUnhintedServiceTimeQuantile;
          time_per_work *= std::exp(ratio < time_per_work ? -step * (1 - quantile) : step * quantile);
        }
        StepMedian(zone.median_wait, waited, server, 1);
        StepMedian(median_excess_wait_, waited - attempt.expected_wait, server, 1);
        if (attempt.sent_at >= server.observed_wait_at) {
          server.observed_wait = std::max(0.0, waited);
          server.observed_wait_at = attempt.sent_at;
        }
        break;
      case Outcome::kTimeout:
      case Outcome::kCancelled:
        // Nothing sent since was answered. Not recorded as queueing delay, which would outlast the fault.
        if (server.last_answered_sent > attempt.sent_at) break;
        if (outcome == Outcome::kTimeout || waited > service_time + zone.median_wait) RecordFailure(server);
        break;
      case Outcome::kNotSent:
        break;
      case Outcome::kRejected:
        // The server's queue is full: assume a wait of at least the shortest objective.
        StepMedian(zone.median_wait, classes_.shortest_objective(), server, 1);
        server.observed_wait = std::max(ExpectedWait(server), classes_.shortest_objective());
        server.observed_wait_at = now_;
        break;
      case Outcome::kConnectFailed:
        RecordZoneFailure(server.entry.zone);
        RecordFailure(server);
        break;
      default:
        // All servers may fail occasionally: only a run of failures unlikely at the usual rate counts.
        failure_rate_ += kMeanStep * (1 - failure_rate_);
        if (std::pow(failure_rate_, server.failures + 1) > kMaxChanceOfRun)
          server.failures++;
        else
          RecordFailure(server);
    }
  }

  // Checks the attempts of a request for loss. A server may accept requests and never answer them until its
  // slots are used up, so an overdue attempt is cancelled. Only if a later one was answered: a stalled or
  // overloaded server keeps its attempts.
  void CheckAttempts(Request& request) {
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      Attempt& attempt = request.attempts[i];
      if (!attempt.in_flight) continue;
      Server& server = servers_.at(attempt.server);
      if (settings_.may_cancel && now_ >= attempt.overdue_at && server.last_answered_sent > attempt.sent_at) {
        Emit(Cancel{request.id, static_cast<int>(i)});
        continue;
      }
      if (!attempt.suspected && now_ >= attempt.suspect_at) SuspectLost(request, attempt, server);
      Micros next = attempt.suspected ? std::max(attempt.overdue_at, now_ + request.aging_interval)
                                      : attempt.suspect_at;
      timers_.insert({next, TimerKind::kCheckAttempts, request.id});
    }
  }

  // Marks an attempt as suspected lost. It must not block a healthy server until its deadline: its
  // reservation or lateness would keep away all requests that could overtake it. It no longer counts as load,
  // and one safe short request at a time is sent as a probe. If that is suspected lost too, the server is
  // backed off.
  void SuspectLost(Request& request, Attempt& attempt, Server& server) {
    attempt.suspected = true;
    RecordZoneFailure(server.entry.zone);
    server.work_in_flight -= request.work;
    if (attempt.reserves) server.reserved = attempt.reserves = false;
    if (attempt.probe) RecordFailure(server);
    if (attempt.probe) server.probe_in_flight = attempt.probe = false;
    UpdateRotation(server);
  }

  static double QuantileStep(bool up) {
    return std::exp(kQuantileStep * (up ? kTailQuantile : kTailQuantile - 1));
  }

  // Moves a running median of waits one step towards a sample.
  void StepMedian(double& median, double sample, const Server& server, double weight) const {
    double step = weight * kMedianStep * ServiceTime(work_.mean(), server);
    median = std::max(0.0, median + (sample > median ? step : -step));
  }

  // Backoff after a failure, with jitter so that proxies do not retry at the same time.
  double Backoff(int doublings) {
    double span = kInitialBackoffToObjective * classes_.shortest_objective() * (0.75 + 0.5 * Uniform());
    return std::ldexp(span, std::clamp(doublings, 0, kMaxBackoffDoublings));
  }

  // Backs off a server: one that fails fast or hangs has little in flight and would attract requests.
  void RecordFailure(Server& server) {
    server.backoff_until = now_ + static_cast<Micros>(Backoff(server.failures));
    if (++server.failures == kMaxBackoffDoublings)
      LogMessage("server " + std::to_string(server.entry.id) +
                 ": repeated failures; probing it at the maximum backoff until it responds");
  }

  // Counts connect failures and suspected losses without a response from the zone in between. They indicate
  // an unreachable zone; without this, each of its servers would be tried until a timeout.
  void RecordZoneFailure(int zone) {
    if (++zones_[zone].failures == kZoneFailureThreshold)
      LogMessage("zone " + std::to_string(zone) +
                 ": no response to consecutive attempts; sending only probes until one is answered");
    if (zones_[zone].failures >= kZoneFailureThreshold) BackOffZone(zone);
  }

  void BackOffZone(int zone) {
    zones_[zone].backoff_until =
        now_ + Backoff(std::min(zones_[zone].failures - kZoneFailureThreshold, kZoneFailureThreshold));
  }

  // The zone to try first: this proxy's own, or if that is unavailable the next available one.
  int HomeZone(const Request& request) const {
    int zone = settings_.zone;
    for (int i = 1; i < settings_.zones && !ZoneAvailable(zone, request); ++i)
      zone = (settings_.zone + i) % settings_.zones;
    return ZoneAvailable(zone, request) ? zone : settings_.zone;
  }

  // An unreachable zone gets one safe short request at a time as a probe.
  bool ZoneAvailable(int zone, const Request& request) const {
    if (zones_[zone].failures < kZoneFailureThreshold) return true;
    return now_ >= zones_[zone].backoff_until && !request.is_long &&
           request.class_settings->effect == Effect::kSafe;
  }

  // After failures a server gets one request at a time until it responds.
  bool InBackoff(const Server& server) const {
    return server.backoff_until > 0 && (now_ < server.backoff_until || !server.in_flight.empty());
  }

  // ---- Slow start ----

  // Latest possible start: when a zone is reachable again, the list may not show yet that servers restarted.
  Micros EffectiveStart(const Server& server) const {
    Micros recovered_at = zones_[server.entry.zone].recovered_at;
    return now_ < recovered_at + kRestartDetectionToPoll * settings_.poll_interval
               ? std::max(recovered_at, server.entry.started_at)
               : server.entry.started_at;
  }

  Micros Uptime(const Server& server) const { return now_ - EffectiveStart(server); }
  bool InSlowStart(const Server& server) const {
    return EffectiveStart(server) > 0 && slow_start_.IsWarmingUp(Uptime(server));
  }

  // Work per microsecond once warmed up: `concurrency` requests in parallel, each at the learned speed.
  double Capacity(const Server& server) const {
    return server.entry.concurrency * server.entry.concurrency / TimePerWork(server);
  }

  // Charges work to the server's slow-start allowance. Proxies of all zones send to it: a server put back by
  // an operator would otherwise stay unused if its zone has no proxy.
  void ChargeSlowStart(Server& server, double work) {
    if (!work_.has_hints()) work *= kUnhintedSlowStartWork;
    Micros age = std::max(Uptime(server), server.next_send_at - EffectiveStart(server));
    server.next_send_at =
        EffectiveStart(server) + slow_start_.NextSendAge(Capacity(server), quota_share_, work, age);
  }

  bool SlowStartAllows(Server& server, const Request& request) {
    if (!InSlowStart(server)) return true;
    bool work_unknown = !work_.has_hints() && (!work_.mean_is_known() || request.work < work_.mean());
    if (work_unknown || now_ >= quota_share_valid_until_ || quota_share_ <= 0) return false;
    double max_work = slow_start_.MaxRequestWork(Capacity(server), work_.mean(), Uptime(server));
    // A proxy that has just started does not know the mean work and assumes the largest permitted request.
    if (server.next_send_at < EffectiveStart(server))
      ChargeSlowStart(server, Uniform() * (work_.mean_is_known() ? work_.mean() : max_work));
    return now_ >= server.next_send_at && request.work <= max_work;
  }

  // ---- Rotation ----

  struct Candidate {
    Server* server = nullptr;
    double wait = 0;
  };

  bool IsEligible(Server& server, const Request& request) {
    if (InBackoff(server) || !SlowStartAllows(server, request) || AlreadyTried(request, server.entry.id))
      return false;
    bool probe =
        !server.probe_in_flight && !request.is_long && request.class_settings->effect == Effect::kSafe;
    return probe || !HasSuspectedLoss(server);
  }

  // Whether the wait is above the zone's median and a mean service time: skipped until the queue has drained.
  bool IsCongested(const Server& server, double wait) const {
    return wait > std::max(zones_[server.entry.zone].median_wait, ServiceTime(work_.mean(), server));
  }

  static bool AlreadyTried(const Request& request, ServerId id) {
    return std::any_of(request.attempts.begin(), request.attempts.end(),
                       [id](const Attempt& a) { return a.server == id; });
  }

  // Returns the next eligible server in the rotation that is not congested. A skipped server loses its turn.
  // If all inspected servers are congested, returns the one with the shortest expected wait.
  Candidate NextInRotation(int zone, const Request& request) {
    RotationOrder& rotation = zones_[zone].rotation;
    Candidate best;
    int inspected = std::min<int>(kMaxServersInspected, static_cast<int>(rotation.size()));
    for (int i = 0; i < inspected; ++i) {
      Server& server = servers_.at(rotation.begin()->second);
      double wait = ExpectedWait(server);
      if (IsEligible(server, request)) {
        if (!IsCongested(server, wait)) return {&server, wait};
        if (best.server == nullptr || wait < best.wait) best = {&server, wait};
      }
      zones_[zone].virtual_time = std::max(zones_[zone].virtual_time, server.virtual_time);
      RemoveFromRotation(server);
      server.virtual_time += ServiceTime(work_.mean(), server);
      UpdateRotation(server);
    }
    return best;
  }

  // Among idle, uncongested servers the first in the rotation that finishes well before the objective, or
  // else the one that finishes first: a large request must not go to a slow machine while a fast one is idle.
  Candidate NextIdleServer(int zone, const Request& request) {
    Candidate best;
    double earliest_finish = std::numeric_limits<double>::infinity();
    for (const auto& [key, id] : zones_[zone].idle) {
      Server& server = servers_.at(id);
      double wait = ExpectedWait(server);
      double finish = wait + ServiceTime(request.work, server);
      if (finish >= earliest_finish || IsCongested(server, wait) || !IsEligible(server, request)) continue;
      best = {&server, wait};
      earliest_finish = finish;
      if (finish <= kFastEnoughToRemaining * (request.objective_at - now_)) break;
    }
    return best;
  }

  // The reserved server with the shortest expected wait, for a short request that would be rejected
  // otherwise. The paper leaves open what happens when all servers are reserved.
  Candidate LeastLoadedReserved(const Request& request) {
    Candidate best;
    for (auto& [id, server] : servers_) {
      if (!server.reserved || server.entry.zone != settings_.zone || !IsReady(server)) continue;
      double wait = ExpectedWait(server);
      if (IsEligible(server, request) && (best.server == nullptr || wait < best.wait)) best = {&server, wait};
    }
    return best;
  }

  // Prefers the home zone unless the wait at its next server exceeds the cost of crossing and is shorter
  // elsewhere by more than that. The home zone's median wait is not considered: requests would never leave a
  // zone that is congested throughout.
  Candidate ChooseServer(const Request& request) {
    int home = HomeZone(request);
    Candidate best = NextInRotation(home, request);
    double cost =
        kCrossZoneWaitFactor * settings_.cross_zone_cost * request.class_settings->latency_objective;
    if (best.server != nullptr && best.wait <= cost) return best;
    for (int z = 0; z < settings_.zones; ++z) {
      if (z == home || !ZoneAvailable(z, request)) continue;
      Candidate other = NextInRotation(z, request);
      if (other.server == nullptr) continue;
      other.wait += cost;
      if (best.server == nullptr || other.wait < best.wait) best = other;
    }
    return best;
  }

  // Retries of a keyed request that may have run must stay within its deduplication scope.
  Candidate ChooseRetryServer(const Request& request) {
    const ClassSettings& c = *request.class_settings;
    const Attempt* first = FirstPossiblyRun(request);
    if (first == nullptr || c.effect == Effect::kSafe || c.key_scope == KeyScope::kAllServers)
      return ChooseServer(request);
    auto home = servers_.find(first->server);
    if (home == servers_.end()) return {};
    if (c.key_scope == KeyScope::kSameZone) return NextInRotation(home->second.entry.zone, request);
    Candidate best;
    for (ServerId id : servers_by_cell_[home->second.entry.cell]) {
      Server& server = servers_.at(id);
      if (!IsReady(server) || !IsEligible(server, request)) continue;
      double wait = ExpectedWait(server);
      // A reserved server is used only if there is no other, since the request would fail without one.
      std::pair rank(server.reserved, wait);
      if (best.server == nullptr || rank < std::pair(best.server->reserved, best.wait))
        best = {&server, wait};
    }
    return best;
  }

  // ---- Queue of long requests ----

  void Enqueue(Request& request) {
    request.queued = true;
    queue_.insert({request.aged_estimate, request.id});
    timers_.insert({now_ + request.aging_interval, TimerKind::kAgeEstimate, request.id});
  }

  void Dequeue(Request& request) {
    if (!request.queued) return;
    request.queued = false;
    queue_.erase({request.aged_estimate, request.id});
  }

  // Sends queued requests to idle servers, smallest aged estimate first; below the cutoff to any unreserved.
  void SendQueued() {
    while (!queue_.empty()) {
      Request& request = requests_.at(queue_.begin()->second);
      Candidate candidate = NextIdleServer(HomeZone(request), request);
      if (candidate.server == nullptr && request.aged_estimate < work_.cutoff())
        candidate = ChooseServer(request);
      if (candidate.server == nullptr) return;
      Dequeue(request);
      if (CheckTooLate(request, candidate) && MayReject(request)) {
        RejectRequest(request, candidate.wait, GiveUpReason::kExpectedWait);
        EraseIfDone(request.id);
      } else {
        SendAttempt(request, *candidate.server);
      }
    }
  }

  void AgeEstimate(Request& request) {
    if (!request.queued) return;
    Dequeue(request);
    if (MayReject(request) && now_ > request.objective_at)
      return RejectRequest(request, 0, GiveUpReason::kExpectedWait);
    request.aged_estimate /= kAgingDivisor;
    Enqueue(request);
    SendQueued();
  }

  // ---- Attempts and deadlines ----

  void SendAttempt(Request& request, Server& server) {
    Micros send_deadline = SendDeadline(request);
    int index = static_cast<int>(request.attempts.size());
    Attempt attempt;
    attempt.server = server.entry.id;
    attempt.sent_at = now_;
    attempt.reserves = request.is_long;
    attempt.expected_wait = ExpectedWait(server);
    attempt.expected_latency = attempt.expected_wait + ServiceTime(request.work + work_.mean(), server);
    double overdue_factor =
        kOverdueAfterTails * (request.class_settings->effect == Effect::kUnsafe ? kUnsafeOverdueFactor : 1);
    double remaining = request.deadline - now_;
    double tail_latency =
        std::max(tail_latency_ratio_ * attempt.expected_latency,
                 kMinSuspectToObjective * classes_.shortest_objective() / kSuspectAfterTails);
    attempt.suspect_at = now_ + static_cast<Micros>(std::min(kSuspectAfterTails * tail_latency, remaining));
    attempt.overdue_at = now_ + static_cast<Micros>(std::min(overdue_factor * tail_latency, remaining));
    attempt.probe = HasSuspectedLoss(server);
    if (attempt.probe) server.probe_in_flight = true;
    request.attempts.push_back(attempt);
    RemoveFromRotation(server);
    zones_[server.entry.zone].virtual_time =
        std::max(zones_[server.entry.zone].virtual_time, server.virtual_time);
    server.virtual_time += ServiceTime(request.work, server);
    if (zones_[server.entry.zone].failures >= kZoneFailureThreshold) BackOffZone(server.entry.zone);
    server.in_flight.insert({now_, request.id, index});
    server.work_in_flight += request.work;
    if (request.is_long) server.reserved = true;
    if (InSlowStart(server)) ChargeSlowStart(server, request.work);
    UpdateRotation(server);
    timers_.insert({attempt.suspect_at, TimerKind::kCheckAttempts, request.id});
    Emit(Send{request.id, server.entry.id, request.deadline - now_, send_deadline - now_});
  }

  static const Attempt* FirstPossiblyRun(const Request& request) {
    auto first = std::find_if(request.attempts.begin(), request.attempts.end(),
                              [](const Attempt& a) { return a.may_have_run; });
    return first == request.attempts.end() ? nullptr : &*first;
  }

  // Latest time for the last byte of another attempt, however late it is connected, without a second effect.
  Micros SendDeadline(const Request& request) const {
    const ClassSettings& c = *request.class_settings;
    const Attempt* first = FirstPossiblyRun(request);
    if (first == nullptr || c.effect == Effect::kSafe) return request.deadline;
    return c.effect == Effect::kKeyed ? std::min(request.deadline, first->sent_at + c.key_lifetime) : 0;
  }

  bool MayRetry(const Request& request) const {
    const int max_attempts = std::min(request.max_attempts, settings_.max_attempts);
    return static_cast<int>(request.attempts.size()) < max_attempts && now_ < SendDeadline(request);
  }

  // A rejection promises that the client can safely try again.
  bool MayReject(const Request& request) const {
    const ClassSettings& c = *request.class_settings;
    return c.effect == Effect::kSafe || FirstPossiblyRun(request) == nullptr ||
           (c.effect == Effect::kKeyed && c.key_scope == KeyScope::kAllServers);
  }

  // Retries are limited by a budget, since they amplify an overload.
  bool SpendRetryBudget() {
    if (retry_budget_ < 1) return false;
    retry_budget_ -= 1;
    return true;
  }

  void RejectRequest(Request& request, double expected_wait, GiveUpReason reason) {
    Micros retry_after = 0;
    if (settings_.send_retry_after) {
      double span = std::max(expected_wait, zones_[settings_.zone].median_wait) * (1 + Uniform());
      retry_after = std::min(settings_.max_retry_after, static_cast<Micros>(span));
    }
    Emit(Reject{request.id, retry_after, reason});
    Finish(request);
  }

  void RejectOrFail(Request& request, GiveUpReason reason) {
    if (MayReject(request)) return RejectRequest(request, 0, reason);
    Emit(Fail{request.id, reason});
    Finish(request);
  }

  // Marks the request as finished and cancels its attempts; from here on they only count as load.
  void Finish(Request& request) {
    request.finished = true;
    Dequeue(request);
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      if (!request.attempts[i].in_flight || !settings_.may_cancel) continue;
      Emit(Cancel{request.id, static_cast<int>(i)});
    }
    timers_.erase({request.deadline - settings_.clock_step, TimerKind::kDeadline, request.id});
  }

  void EraseIfDone(RequestId id) {
    auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.finished) return;
    const auto& attempts = it->second.attempts;
    if (std::none_of(attempts.begin(), attempts.end(), [](auto& a) { return a.in_flight; }))
      requests_.erase(it);
  }

  void On(const AttemptEnded& e) {
    auto it = requests_.find(e.id);
    if (it == requests_.end() || e.attempt < 0 || e.attempt >= static_cast<int>(it->second.attempts.size()) ||
        !it->second.attempts[e.attempt].in_flight) {
      ignored_++;
      return;
    }
    Request& request = it->second;
    Attempt& attempt = request.attempts[e.attempt];
    attempt.in_flight = false;
    attempt.may_have_run = e.outcome != Outcome::kRejected && e.outcome != Outcome::kConnectFailed &&
                           e.outcome != Outcome::kNotSent;
    auto found = servers_.find(attempt.server);
    if (found != servers_.end()) {
      Server& server = found->second;
      server.in_flight.erase({attempt.sent_at, e.id, e.attempt});
      if (!attempt.suspected) server.work_in_flight -= request.work;
      if (server.in_flight.empty()) server.work_in_flight = 0;
      if (attempt.reserves) server.reserved = false;
      if (attempt.probe) server.probe_in_flight = false;
      RecordOutcome(server, request, attempt, e.outcome, e.latency);
      UpdateRotation(server);
    }
    if (!request.finished) {
      if (e.outcome == Outcome::kServed || e.request_finished) {
        Finish(request);
      } else {
        RetryOrGiveUp(request, attempt.may_have_run);
      }
    }
    EraseIfDone(e.id);
    SendQueued();
  }

  void RetryOrGiveUp(Request& request, bool may_have_run) {
    if (MayRetry(request) && (!may_have_run || SpendRetryBudget())) {
      Candidate candidate = ChooseRetryServer(request);
      // A request that can no longer be rejected would fail, so even a late response is better for it.
      if (candidate.server != nullptr && (!MayReject(request) || !CheckTooLate(request, candidate)))
        return SendAttempt(request, *candidate.server);
    }
    RejectOrFail(request, GiveUpReason::kAttemptFailed);
  }

  void On(const StreamStarted& e) {
    auto it = requests_.find(e.id);
    if (it == requests_.end() || it->second.finished || e.attempt < 0 ||
        e.attempt >= static_cast<int>(it->second.attempts.size())) {
      ignored_++;
      return;
    }
    // The client is receiving the stream, so the deadline no longer applies.
    timers_.erase({it->second.deadline - settings_.clock_step, TimerKind::kDeadline, e.id});
  }

  void On(const ClientDisconnected& e) {
    auto it = requests_.find(e.id);
    if (it == requests_.end() || it->second.finished) return;  // the response may already be on its way
    Finish(it->second);
    EraseIfDone(e.id);
  }

  void On(const TimerFired&) {}

  void On(const QuotaShareGranted& e) {
    quota_share_ = std::clamp(e.share, 0.0, 1.0);
    quota_share_valid_until_ = e.valid_until;
    tenant_quota_.SetProxyShare(quota_share_);
    SendQueued();
  }

  void On(const TenantChanged& e) {
    tenant_quota_.Set(e.tenant, e.active, {e.settings.service_share, e.settings.quota_per_s});
  }

  // ---- Changed settings ----

  static limits::SlowStart::Rules SlowStartRules(const Settings& s) {
    return {s.initial_capacity, s.warmup_time, s.overload_factor, s.overload_window};
  }

  void On(const ClassChanged& e) {
    if (!classes_.Set(e.request_class, e.listed, e.settings)) ignored_++;
  }

  void On(const SettingsChanged& e) {
    const Settings before = settings_;
    if (!TakeOver(e.settings, &settings_)) {
      ignored_++;
      return;
    }
    const bool had_grant = quota_share_valid_until_ != std::numeric_limits<Micros>::max();
    if (!had_grant && settings_.proxies != before.proxies) {
      quota_share_ = 1.0 / settings_.proxies;
      tenant_quota_.SetProxyShare(quota_share_);
    }
    slow_start_ = limits::SlowStart(SlowStartRules(settings_));
    SendQueued();
  }

  // ---- Admission ----

  void On(const RequestArrived& e) {
    if (!classes_.Contains(e.request_class) || requests_.count(e.id) != 0) {
      ignored_++;
      return;
    }
    Request& request = requests_[e.id];
    request.id = e.id;
    request.class_settings = classes_.at(e.request_class).settings;
    request.max_attempts = settings_.max_attempts;
    const ClassSettings& c = *request.class_settings;
    request.deadline = e.answer_by == 0 ? e.deadline : std::min(e.deadline, e.answer_by);
    request.hinted = e.has_hint && e.work_hint > 0;
    if (request.hinted) {
      const bool is_first = !work_.has_hints();
      if (is_first) time_per_work_.clear();  // learned from unhinted requests, in another unit
      work_.RecordHint(e.work_hint, now_);
    } else {
      work_.RecordUnhinted(classes_.shortest_objective());
    }
    request.work = request.hinted ? e.work_hint : work_.mean();
    request.is_long = request.hinted && request.work > work_.cutoff();
    request.aged_estimate = request.work;
    request.aging_interval = std::max<Micros>(1, static_cast<Micros>(kAgingInterval * c.latency_objective));
    request.objective_at = ObjectiveTime(e, c, request.work);
    if (e.answer_by != 0) request.objective_at = std::min(request.objective_at, e.answer_by);
    request.weight = WeightOf(e, c, request);
    retry_budget_ = std::min(kMaxRetryBudget, retry_budget_ + kRetryBudgetPerRequest);
    timers_.insert({request.deadline - settings_.clock_step, TimerKind::kDeadline, request.id});
    Admit(request);
    EraseIfDone(e.id);
  }

  // Time by which the response has full weight. The client's timeout counts from its first try: a try with
  // less time left than usual in its class is a retry, and its objective is derived from the deadline.
  Micros ObjectiveTime(const RequestArrived& e, const ClassSettings& c, double work) {
    Micros remaining = e.deadline - now_;
    Micros& usual = classes_.at(e.request_class).usual_time_left;
    Micros span =
        std::min(c.client_timeout, c.latency_objective + static_cast<Micros>(c.objective_per_work * work));
    Micros objective_at = now_ + span;
    if (remaining < usual - usual / 20)
      objective_at = std::min(objective_at, e.deadline - c.client_timeout + span);
    // A high quantile: a single client with a long timeout must not make all others look like retries.
    if (!e.client_retry) usual = usual == 0 ? remaining : Micros(usual * QuantileStep(remaining > usual));
    return objective_at;
  }

  double WeightOf(const RequestArrived& e, const ClassSettings& c, const Request& request) {
    double weight = classes_.max_weight() > 0 ? c.weight / classes_.max_weight() : 1;
    if (!settings_.weight_per_work && request.work > 0) weight *= std::min(1.0, work_.mean() / request.work);
    if (request.objective_at <= now_) weight *= c.late_weight;
    if (tenant_quota_.IsOver(e.tenant, now_)) weight *= settings_.over_quota_weight;
    return weight;
  }

  // Longest time that the request may wait; shorter for a lower weight. Classes share the queues: unless
  // objectives are far apart, a long one must not fill queues beyond what the shortest one allows.
  double MaxWait(const Request& request, double service_time) const {
    double remaining = request.objective_at - now_ - service_time;
    if (remaining <= 0) {
      double late_weight = request.class_settings->late_weight;
      remaining = late_weight * (request.deadline - now_ - service_time);
    }
    remaining =
        std::clamp(remaining, 0.0, std::max(classes_.shortest_objective(), kMinOwnWaitShare * remaining));
    return remaining * kMaxWaitToRemaining * (kMinWaitShare + (1 - kMinWaitShare) * request.weight);
  }

  bool ExceedsMaxWait(const Request& request, const Candidate& candidate) const {
    // A long request delays everything behind it. Under congestion it must leave time for that.
    double wait = request.is_long
                      ? std::max(candidate.wait,
                                 kLongMinWaitToMedian * zones_[candidate.server->entry.zone].median_wait)
                      : candidate.wait;
    return wait + median_excess_wait_ > MaxWait(request, ServiceTime(request.work, *candidate.server));
  }

  // Whether the request would wait too long at the candidate. If so, also records a rejection.
  bool CheckTooLate(const Request& request, const Candidate& candidate) {
    if (!ExceedsMaxWait(request, candidate)) return false;
    // If all requests are rejected, no response can show that congestion is over: lower the learned waits.
    StepMedian(zones_[candidate.server->entry.zone].median_wait, 0, *candidate.server, kRejectionWeight);
    StepMedian(median_excess_wait_, 0, *candidate.server, kRejectionWeight);
    return true;
  }

  void Admit(Request& request) {
    if (request.deadline - settings_.clock_step <= now_) return;  // its deadline timer rejects it at once
    if (request.is_long) {
      Enqueue(request);
      SendQueued();
      return;
    }
    Candidate candidate = ChooseServer(request);
    if (candidate.server == nullptr) {
      Enqueue(request);  // all servers are reserved, in slow start or failing; it is ahead of long requests
      return;
    }
    if (CheckTooLate(request, candidate)) {
      Candidate other = LeastLoadedReserved(request);
      if (other.server == nullptr || ExceedsMaxWait(request, other))
        return RejectRequest(request, candidate.wait, GiveUpReason::kExpectedWait);
      candidate = other;
    }
    SendAttempt(request, *candidate.server);
  }

  // ---- Timers ----

  void RunTimers() {
    while (!timers_.empty() && std::get<0>(*timers_.begin()) <= now_) {
      auto [at, kind, id] = *timers_.begin();
      timers_.erase(timers_.begin());
      if (kind == TimerKind::kPollEndpoints) {
        Emit(Watch{});
        // Every poll should be answered. If an answer is lost, poll again after the maximum interval.
        SchedulePoll(settings_.poll_interval);
        continue;
      }
      auto it = requests_.find(id);
      if (it == requests_.end() || it->second.finished) continue;
      if (kind == TimerKind::kDeadline) {
        RejectOrFail(it->second, GiveUpReason::kDeadline);
      } else if (kind == TimerKind::kCheckAttempts) {
        CheckAttempts(it->second);
        SendQueued();
      } else {
        AgeEstimate(it->second);
      }
      EraseIfDone(id);
    }
  }

  void ScheduleWake() {
    if (timers_.empty()) return;
    Micros first = std::get<0>(*timers_.begin());
    if (wake_at_ > now_ && wake_at_ <= first) return;
    wake_at_ = first;
    Emit(WakeAfter{first - now_});
  }

  Settings settings_;  // without the classes and tenants in force
  ClassTable classes_;
  std::mt19937_64 random_;  // the standard distributions would differ between platforms
  Micros now_ = 0;
  std::vector<Action>* actions_ = nullptr;
  bool started_ = false;
  std::uint64_t ignored_ = 0;

  std::map<ServerId, Server> servers_;
  std::map<int, std::set<ServerId>> servers_by_cell_;
  std::vector<Zone> zones_;
  Micros next_poll_at_ = 0;
  int poll_failures_ = 0;

  WorkStatistics work_;
  // By hardware kind: service time = work * time_per_work / concurrency; and the number of samples.
  std::map<int, std::pair<double, int>> time_per_work_;
  double failure_rate_ = 0;        // running share of attempts that ended in an error or a reset
  double tail_latency_ratio_ = 2;  // running quantile of latency / expected latency
  double median_excess_wait_ = 0;  // running median of the wait beyond the expected one

  std::map<RequestId, Request> requests_;
  std::set<std::pair<double, RequestId>> queue_;
  std::set<TimerRef> timers_;
  Micros wake_at_ = -1;
  double retry_budget_ = kMaxRetryBudget;
  limits::TenantQuota tenant_quota_;
  limits::SlowStart slow_start_;
  double quota_share_ = 0;  // of what all proxies use together
  Micros quota_share_valid_until_ = std::numeric_limits<Micros>::max();
};

Balancer::Balancer(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;
void Balancer::Handle(Micros now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}
std::uint64_t Balancer::ignored_events() const { return impl_->ignored(); }

}  // namespace dappletiller::balancer
