#include "dispatch/request_dispatcher.hpp"

#include <algorithm>
#include <cstdio>
#include <set>
#include <utility>

#include "base/payload.hpp"

namespace dappletiller {
namespace {

constexpr Micros kTellEvery = 1'000'000;

// The seam between the names of this code and the module's.
balancer::Outcome Translate(AttemptOutcome end) {
  switch (end) {
    case AttemptOutcome::kAnswered:
      return balancer::Outcome::kServed;
    case AttemptOutcome::kError:
      return balancer::Outcome::kError;
    case AttemptOutcome::kRejected:
      return balancer::Outcome::kRejected;
    case AttemptOutcome::kTimedOut:
      return balancer::Outcome::kTimeout;
    case AttemptOutcome::kUnreachable:
      return balancer::Outcome::kConnectFailed;
    case AttemptOutcome::kReset:
      return balancer::Outcome::kReset;
    case AttemptOutcome::kCancelled:
      return balancer::Outcome::kCancelled;
    case AttemptOutcome::kNotSent:
      return balancer::Outcome::kNotSent;
  }
  return balancer::Outcome::kReset;
}

balancer::ServerState Translate(EndpointState state) {
  switch (state) {
    case EndpointState::kReady:
      return balancer::ServerState::kReady;
    case EndpointState::kDraining:
      return balancer::ServerState::kDraining;
    case EndpointState::kRemoved:
      break;
  }
  return balancer::ServerState::kRemoved;
}

balancer::EndpointListUpdate::Kind Translate(EndpointList::Kind kind) {
  switch (kind) {
    case EndpointList::Kind::kDelta:
      return balancer::EndpointListUpdate::Kind::kDelta;
    case EndpointList::Kind::kSnapshot:
      return balancer::EndpointListUpdate::Kind::kSnapshot;
    case EndpointList::Kind::kCached:
      return balancer::EndpointListUpdate::Kind::kCached;
    case EndpointList::Kind::kFailed:
      break;
  }
  return balancer::EndpointListUpdate::Kind::kFailed;
}

}  // namespace

RequestDispatcher::RequestDispatcher(EventLoop& loop, Log& log, const balancer::Settings& settings)
    : loop_(loop), log_(log), balancer_(settings), wake_(loop), log_counters_(loop) {}

void RequestDispatcher::Connect(UpstreamTransport& upstream, EndpointSource& endpoints) {
  upstream_ = &upstream;
  endpoints_ = &endpoints;
}

TrafficCounters& RequestDispatcher::counters() {
  // On demand: a proxy at rest isn't woken to say that nothing passes.
  if (!log_counters_.set()) log_counters_.Set(kTellEvery, [this] { LogCounters(); });
  return counters_;
}

void RequestDispatcher::LogCounters() {
  const TrafficCounters t = std::exchange(counters_, {});
  if (t.empty()) return;
  std::string answered = "never answered";
  if (listed_at_ != 0) {
    char text[40];
    std::snprintf(text, sizeof text, "answered %.1f s ago",
                  static_cast<double>(loop_.Now() - listed_at_) / 1e6);
    answered = text;
  }
  auto ended = [&t](AttemptOutcome end) { return t.ended[static_cast<std::size_t>(end)]; };
  log_.Info(
      "passed: %d in, %d served, %d refused, %d failed, %d left, %zu open; sent %d, dialled %d; ended %d ok, "
      "%d error, %d turned away, %d timed out, %d unreachable, %d reset, %d given up, %d not sent; list "
      "calls %d, failed %d, %s",
      t.arrived, t.served, t.refused, t.failed, t.left, open_requests_, t.sent, t.dialled,
      ended(AttemptOutcome::kAnswered), ended(AttemptOutcome::kError), ended(AttemptOutcome::kRejected),
      ended(AttemptOutcome::kTimedOut), ended(AttemptOutcome::kUnreachable), ended(AttemptOutcome::kReset),
      ended(AttemptOutcome::kCancelled), ended(AttemptOutcome::kNotSent), t.list_calls, t.list_failures,
      answered.c_str());
  log_counters_.Set(kTellEvery, [this] { LogCounters(); });
}

// Carrying an action out may bring the next event at once (a connection refused on the spot). Such an event
// waits until the actions at hand are done: the module must not be entered twice, and order counts.
void RequestDispatcher::Deliver(balancer::Event event) {
  events_.push_back(std::move(event));
  if (delivering_) return;
  delivering_ = true;
  std::vector<balancer::Action> actions;
  while (!events_.empty()) {
    balancer::Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    balancer_.Handle(loop_.Now(), next, &actions);
    for (const balancer::Action& action : actions) {
      std::visit([this](const auto& a) { Execute(a); }, action);
    }
  }
  delivering_ = false;
  for (RequestId id : std::exchange(over_, {})) EraseIfOver(id);
}

void RequestDispatcher::OnRequest(RequestId id, IncomingRequest incoming, ResponseSink& sink) {
  ++counters().arrived;
  Request& request = requests_[id];
  request.sink = &sink;
  request.payload = std::move(incoming.payload);
  ++open_requests_;
  balancer::RequestArrived event;
  event.id = id;
  event.request_class = incoming.request_class;
  event.tenant = incoming.tenant;
  event.deadline = incoming.deadline;
  event.answer_by = incoming.answer_by;
  event.work_hint = incoming.work_hint.value_or(0);
  event.has_hint = incoming.work_hint.has_value();
  event.client_retry = incoming.client_retry;
  Deliver(event);
}

// Ends a call towards its sink; null if that has been done before.
ResponseSink* RequestDispatcher::CloseRequest(RequestId id) {
  auto it = requests_.find(id);
  if (it == requests_.end() || it->second.sink == nullptr) return nullptr;
  --open_requests_;
  return std::exchange(it->second.sink, nullptr);
}

// Guards against an action for a call that went while its event still waited: the module, not yet told, may
// send it once more and is owed an outcome with the right number.
void RequestDispatcher::EraseIfOver(RequestId id) {
  if (delivering_) {
    over_.push_back(id);
    return;
  }
  auto it = requests_.find(id);
  if (it != requests_.end() && it->second.sink == nullptr && it->second.out == 0) requests_.erase(it);
}

void RequestDispatcher::OnClientDisconnected(RequestId id) {
  if (CloseRequest(id) == nullptr) return;
  ++counters().left;
  Deliver(balancer::ClientDisconnected{id});
  RevokeUnsentAttempts(id);
  EraseIfOver(id);
}

// What has been sent may have run, and its client must not take it for refused.
void RequestDispatcher::EndOpenRequests() {
  std::vector<RequestId> open;
  for (const auto& [id, request] : requests_) {
    if (request.sink != nullptr) open.push_back(id);
  }
  for (RequestId id : open) {
    auto it = requests_.find(id);
    bool sent = it != requests_.end() && !it->second.attempts.empty();
    ResponseSink* sink = CloseRequest(id);
    if (sink == nullptr) continue;
    ++(sent ? counters().failed : counters().refused);
    sent ? sink->OnFailed() : sink->OnRejected(0);
    Deliver(balancer::ClientDisconnected{id});
    RevokeUnsentAttempts(id);
    EraseIfOver(id);
  }
}

// Guards against sending on for nobody: the module calls off only what the settings let it, but what is not
// written whole has not been sent at all.
void RequestDispatcher::RevokeUnsentAttempts(RequestId id) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  std::vector<AttemptKey> out;
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i) {
    if (it->second.attempts[i].out) out.push_back({id, static_cast<int>(i)});
  }
  for (const AttemptKey& key : out) RevokeUnsentAttempt(key);
}

// Guards against what becomes due while its bytes can't leave yet: a connection that comes up late, a process
// that stood still. The client's end may lie in the kernel behind what this round still handles.
bool RequestDispatcher::MayWrite(AttemptKey key) {
  auto it = requests_.find(key.request);
  // Not one of ours: nothing here speaks against it.
  if (it == requests_.end() || key.number >= static_cast<int>(it->second.attempts.size())) return true;
  Request& request = it->second;
  if (request.sink != nullptr && request.sink->ClientHasLeft()) OnClientDisconnected(key.request);
  // Left forgets the call if nothing of it is out any more.
  it = requests_.find(key.request);
  if (it == requests_.end()) return false;
  const SentAttempt& sent = it->second.attempts[static_cast<std::size_t>(key.number)];
  if (!sent.out) return false;
  if (loop_.Now() < sent.write_by) return true;
  RevokeUnsentAttempt(key);
  return false;
}

// Gives up what has not been written whole: it never runs.
void RequestDispatcher::RevokeUnsentAttempt(AttemptKey key) {
  if (upstream_->RevokeUnsent(key)) OnAttemptEnded(key, AttemptOutcome::kNotSent, nullptr);
}

void RequestDispatcher::OnAttemptEnded(AttemptKey key, AttemptOutcome outcome, PayloadRef response) {
  auto it = requests_.find(key.request);
  if (it == requests_.end() || key.number >= static_cast<int>(it->second.attempts.size())) return;
  SentAttempt& sent = it->second.attempts[static_cast<std::size_t>(key.number)];
  // Guards against a second outcome of one attempt: the module is owed exactly one.
  if (!sent.out) return;
  sent.out = false;
  sent.timeout.reset();
  sent.unwritten.reset();
  --it->second.out;
  ++counters().ended[static_cast<std::size_t>(outcome)];
  // The first answer of a worker is the call's; a later one comes to nobody.
  ResponseSink* sink = outcome == AttemptOutcome::kAnswered ? CloseRequest(key.request) : nullptr;
  balancer::AttemptEnded event;
  event.id = key.request;
  event.attempt = key.number;
  event.outcome = Translate(outcome);
  event.latency = std::max<Micros>(0, loop_.Now() - sent.at);
  event.request_finished = it->second.sink == nullptr;
  if (sink != nullptr) {
    ++counters().served;
    sink->OnResponse(std::move(response));
  }
  Deliver(std::move(event));
  if (sink != nullptr) RevokeUnsentAttempts(key.request);
  EraseIfOver(key.request);
}

void RequestDispatcher::OnEndpointUpdate(const EndpointList& list) {
  bool told = list.kind == EndpointList::Kind::kSnapshot || list.kind == EndpointList::Kind::kDelta;
  // Guards against the module placing every worker anew, each second, for a watch that had nothing to tell.
  // The first answer always counts: from it the module knows that it is subscribed.
  bool news = listed_at_ == 0 || list.kind != EndpointList::Kind::kDelta || !list.entries.empty();
  if (told) listed_at_ = loop_.Now();
  if (news) ApplyEndpoints(list);
}

bool RequestDispatcher::Drain(const std::string& uid) {
  if (ever_listed_.count(uid) == 0) return false;
  if (drains_.Drain(uid)) {
    log_.Info("worker %s is drained by the operators until they undrain it", uid.c_str());
    ReapplyEndpoint(uid);
  }
  return true;
}

bool RequestDispatcher::Undrain(const std::string& uid) {
  if (ever_listed_.count(uid) == 0) return false;
  if (drains_.Undrain(uid, ToTimePoint(loop_.Now()))) {
    log_.Info("worker %s is undrained by the operators: slow start from now", uid.c_str());
    ReapplyEndpoint(uid);
  }
  return true;
}

// The module hears of the worker again as discovery last listed it, with what the operators said on top.
void RequestDispatcher::ReapplyEndpoint(const std::string& uid) {
  auto it = servers_by_uid_.find(uid);
  if (it == servers_by_uid_.end()) return;
  EndpointList one;
  one.kind = EndpointList::Kind::kDelta;
  one.entries.push_back(it->second.last);
  ApplyEndpoints(one);
}

void RequestDispatcher::ApplyEndpoints(const EndpointList& list) {
  balancer::EndpointListUpdate event;
  event.kind = Translate(list.kind);
  std::set<std::string> named;
  std::vector<ServerId> draining, gone;
  for (const EndpointEntry& listed : list.entries) {
    auto [it, fresh] = servers_by_uid_.try_emplace(listed.uid);
    KnownServer& known = it->second;
    if (fresh) known.id = ++last_server_id_;
    known.last = listed;
    ever_listed_.insert(listed.uid);
    EndpointEntry entry = listed;
    if (entry.state != EndpointState::kRemoved && drains_.IsDrained(entry.uid))
      entry.state = EndpointState::kDraining;
    entry.boot_unix = ToMicros(drains_.EffectiveStart(entry.uid, ToTimePoint(entry.boot_unix)));
    if (entry.state != EndpointState::kRemoved && !(known.endpoint == entry.endpoint)) {
      std::uint32_t a = entry.endpoint.address;
      log_.Info("worker %u is %s at %u.%u.%u.%u:%u", known.id, entry.uid.c_str(), a >> 24, a >> 16 & 255,
                a >> 8 & 255, a & 255, entry.endpoint.port);
      known.endpoint = entry.endpoint;
    }
    named.insert(entry.uid);
    if (entry.state != EndpointState::kRemoved) upstream_->SetEndpoint(known.id, entry.endpoint);
    if (entry.state == EndpointState::kDraining) draining.push_back(known.id);
    balancer::ServerEntry server;
    server.id = known.id;
    server.zone = entry.zone;
    server.kind = entry.kind;
    server.cell = entry.cell;
    server.state = Translate(entry.state);
    server.concurrency = entry.concurrency;
    // The loop's clock began as Unix time and runs at the same pace, so that a start's time, converted again
    // with each list, never seems to change: to the module that would be a restart.
    server.started_at = entry.boot_unix;
    event.entries.push_back(server);
    if (entry.state != EndpointState::kRemoved) continue;
    gone.push_back(known.id);
    servers_by_uid_.erase(it);
  }
  // Guards against tables that grow for as long as workers are replaced: who is gone is forgotten.
  if (list.kind == EndpointList::Kind::kSnapshot || list.kind == EndpointList::Kind::kCached) {
    std::erase_if(servers_by_uid_, [&](const auto& known) {
      bool absent = named.count(known.first) == 0;
      if (absent) gone.push_back(known.second.id);
      return absent;
    });
  }
  // The module hears first: what is called off below must not be sent to another that is leaving too.
  Deliver(std::move(event));
  for (ServerId id : draining) upstream_->StopUsing(id);
  for (ServerId id : gone) upstream_->Remove(id);
}

// ---- Actions ----

void RequestDispatcher::Execute(const balancer::Send& action) {
  auto it = requests_.find(action.id);
  if (it == requests_.end()) return;
  Request& request = it->second;
  AttemptKey key{action.id, static_cast<int>(request.attempts.size())};
  SentAttempt& sent = request.attempts.emplace_back();
  ++request.out;
  ++counters().sent;
  sent.at = loop_.Now();
  if (request.sink == nullptr) return OnAttemptEnded(key, AttemptOutcome::kNotSent, nullptr);
  if (action.timeout <= 0) return OnAttemptEnded(key, AttemptOutcome::kTimedOut, nullptr);
  sent.timeout = std::make_unique<Timer>(loop_);
  sent.timeout->Set(action.timeout, [this, key] {
    upstream_->Cancel(key);
    OnAttemptEnded(key, AttemptOutcome::kTimedOut, nullptr);
  });
  sent.write_by = sent.at + action.write_timeout;
  if (action.write_timeout < action.timeout) {
    sent.unwritten = std::make_unique<Timer>(loop_);
    sent.unwritten->Set(action.write_timeout, [this, key] { RevokeUnsentAttempt(key); });
  }
  upstream_->Start({key, action.server, action.timeout, request.payload});
}

void RequestDispatcher::Execute(const balancer::Reject& action) {
  ResponseSink* sink = CloseRequest(action.id);
  if (sink != nullptr) {
    ++counters().refused;
    sink->OnRejected(action.retry_after);
  }
  EraseIfOver(action.id);
}

void RequestDispatcher::Execute(const balancer::Fail& action) {
  ResponseSink* sink = CloseRequest(action.id);
  if (sink != nullptr) {
    ++counters().failed;
    sink->OnFailed();
  }
  EraseIfOver(action.id);
}

void RequestDispatcher::Execute(const balancer::Cancel& action) {
  AttemptKey key{action.id, action.attempt};
  auto it = requests_.find(action.id);
  if (it == requests_.end() || action.attempt < 0 ||
      action.attempt >= static_cast<int>(it->second.attempts.size()) ||
      !it->second.attempts[static_cast<std::size_t>(action.attempt)].out) {
    return;  // it ended while this action was on its way
  }
  upstream_->Cancel(key);
  OnAttemptEnded(key, AttemptOutcome::kCancelled, nullptr);
}

// Each request for a wake-up replaces the one before it, also when the earlier one is due and has not run
// yet: an event that is handled after its due time runs the module's alarms and asks for the next of them.
void RequestDispatcher::Execute(const balancer::WakeAfter& action) {
  wake_.Set(action.delay, [this] { Deliver(balancer::TimerFired{}); });
}

void RequestDispatcher::Execute(const balancer::Watch&) { endpoints_->Watch(); }
void RequestDispatcher::Execute(const balancer::FetchList&) { endpoints_->Fetch(); }
void RequestDispatcher::Execute(const balancer::Log& action) { log_.Info("module: %s", action.text.c_str()); }

}  // namespace dappletiller
