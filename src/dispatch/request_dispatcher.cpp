#include "dispatch/request_dispatcher.hpp"

#include <algorithm>
#include <cstdio>
#include <set>
#include <string_view>
#include <utility>

#include "base/payload.hpp"

namespace dappletiller {
namespace {

constexpr Micros kCounterLogInterval = 1'000'000;

// Conversion between the dispatcher's types and the module's.
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

std::vector<NamedClass> NamedClasses(const balancer::Settings& settings,
                                     const std::vector<std::string>& names) {
  std::vector<NamedClass> classes;
  for (std::size_t i = 0; i < settings.classes.size() && i < names.size(); ++i)
    classes.push_back({names[i], settings.classes[i]});
  return classes;
}

}  // namespace

RequestDispatcher::RequestDispatcher(EventLoop& loop, Log& log, const balancer::Settings& settings,
                                     const std::vector<std::string>& class_names)
    : loop_(loop), log_(log), balancer_(settings), wake_(loop), log_counters_(loop) {
  classes_.Replace(NamedClasses(settings, class_names));
}

void RequestDispatcher::Connect(UpstreamTransport& upstream, EndpointSource& endpoints) {
  upstream_ = &upstream;
  endpoints_ = &endpoints;
}

TrafficCounters& RequestDispatcher::counters() {
  // Set on demand, so that an idle proxy is not woken up to log nothing.
  if (!log_counters_.set()) log_counters_.Set(kCounterLogInterval, [this] { LogCounters(); });
  return counters_;
}

void RequestDispatcher::LogCounters() {
  const TrafficCounters t = std::exchange(counters_, {});
  if (t.has_details()) LogDetails(t);
  if (t.empty()) return;
  std::string last_answer = "never answered";
  if (last_list_at_ != 0) {
    char text[40];
    std::snprintf(text, sizeof text, "answered %.1f s ago",
                  static_cast<double>(loop_.Now() - last_list_at_) / 1e6);
    last_answer = text;
  }
  auto ended = [&t](AttemptOutcome end) { return t.attempts_by_outcome[static_cast<std::size_t>(end)]; };
  // Not rate-limited: it is needed most when faults fill the log.
  log_.Important(
      "passed: %d in, %d served, %d refused, %d failed, %d left, %zu open; sent %d, dialled %d; ended %d ok, "
      "%d error, %d turned away, %d timed out, %d unreachable, %d reset, %d given up, %d not sent; list "
      "calls %d, failed %d, %s",
      t.arrived, t.served, t.rejected, t.failed, t.client_disconnected, open_requests_, t.attempts_sent,
      t.connections_opened, ended(AttemptOutcome::kAnswered), ended(AttemptOutcome::kError),
      ended(AttemptOutcome::kRejected), ended(AttemptOutcome::kTimedOut), ended(AttemptOutcome::kUnreachable),
      ended(AttemptOutcome::kReset), ended(AttemptOutcome::kCancelled), ended(AttemptOutcome::kNotSent),
      t.discovery_requests, t.discovery_failures, last_answer.c_str());
  log_counters_.Set(kCounterLogInterval, [this] { LogCounters(); });
}

void RequestDispatcher::LogDetails(const TrafficCounters& t) {
  auto closed = [&t](ClientClose why) { return t.clients_closed[static_cast<std::size_t>(why)]; };
  auto given_up = [&t](balancer::GiveUpReason why) { return t.given_up[static_cast<std::size_t>(why)]; };
  log_.Important(
      "details: %d retries; rejected %d without and %d after an attempt; given up for: %d deadline, %d "
      "expected wait, %d failed attempt; clients closed: %d idle, %d early, %d late "
      "request, %d not reading, %d malformed, %d too much pipelined, %d no memory, %d repeated id, %d "
      "response cut; "
      "responses passed "
      "on as received: %d begun, %d cut by servers; postponed: %d dials, %d accepts",
      t.retries, t.rejected - t.rejected_after_attempt, t.rejected_after_attempt,
      given_up(balancer::GiveUpReason::kDeadline), given_up(balancer::GiveUpReason::kExpectedWait),
      given_up(balancer::GiveUpReason::kAttemptFailed), closed(ClientClose::kIdle),
      closed(ClientClose::kEarly), closed(ClientClose::kLateRequest), closed(ClientClose::kNotReading),
      closed(ClientClose::kMalformed), closed(ClientClose::kPipelined), closed(ClientClose::kNoMemory),
      closed(ClientClose::kRepeatedId), closed(ClientClose::kResponseCut), t.responses_streamed,
      t.responses_cut, t.dials_postponed, t.accepts_postponed);
}

// Executing an action may cause the next event immediately, such as a refused connection. That event is
// queued until the current actions are executed: the module is not reentrant, and the order of actions
// matters.
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
  for (RequestId id : std::exchange(finished_, {})) EraseIfFinished(id);
}

bool RequestDispatcher::MayBeRepeated(int request_class) const {
  const auto index = static_cast<std::size_t>(request_class);
  return index < classes_.entries().size() &&
         classes_.entries()[index].settings.effect == balancer::Effect::kSafe;
}

RequestDispatcher::IdStatus RequestDispatcher::CheckId(RequestIdHash id, int request_class) {
  if (const auto known = requests_by_id_.find(id); known != requests_by_id_.end()) {
    const Request& request = requests_.at(known->second);
    const bool is_open = request.sink != nullptr || request.attempts_in_flight > 0;
    if (is_open) return IdStatus::kOpen;
  }
  if (MayBeRepeated(request_class)) return IdStatus::kNew;
  const bool is_sent =
      sent_ids_.Contains(id, loop_.Now()) || (shared_sent_ids_ != nullptr && shared_sent_ids_->Contains(id));
  return is_sent ? IdStatus::kMayHaveRun : IdStatus::kNew;
}

// Before the first attempt, so that no other process can take it for new.
void RequestDispatcher::RecordSentId(Request* request) {
  if (request->id == 0 || request->may_be_repeated || std::exchange(request->id_recorded, true)) return;
  sent_ids_.Add(request->id, loop_.Now());
  if (shared_sent_ids_ != nullptr) shared_sent_ids_->Add(request->id);
}

void RequestDispatcher::OnRequest(RequestId id, IncomingRequest incoming, ResponseSink& sink) {
  ++counters().arrived;
  Request& request = requests_[id];
  request.sink = &sink;
  request.id = incoming.id;
  request.may_be_repeated = MayBeRepeated(incoming.request_class);
  if (incoming.id != 0) requests_by_id_[incoming.id] = id;
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

// ---- Settings ----

void RequestDispatcher::SetClass(const NamedClass& named) {
  if (classes_.Find(named.name) == nullptr) log_.Info("class %s added", named.name.c_str());
  DeliverClass(classes_.Set(named));
}

void RequestDispatcher::ApplySettings(const balancer::Settings& settings,
                                      const std::vector<std::string>& class_names) {
  const std::vector<NamedClass> all = NamedClasses(settings, class_names);
  LogClassChanges(all);
  classes_.Replace(all);
  for (const RequestClasses::Entry& entry : classes_.entries()) DeliverClass(entry);
  Deliver(balancer::SettingsChanged{settings});
}

void RequestDispatcher::DeliverClass(const RequestClasses::Entry& entry) {
  Deliver(balancer::ClassChanged{entry.index, entry.listed, entry.settings});
}

void RequestDispatcher::LogClassChanges(const std::vector<NamedClass>& all) const {
  std::set<std::string> names;
  for (const NamedClass& named : all) {
    names.insert(named.name);
    if (classes_.Find(named.name) == nullptr) log_.Info("reload: class %s added", named.name.c_str());
  }
  for (const RequestClasses::Entry& entry : classes_.entries()) {
    if (entry.listed && names.count(entry.name) == 0)
      log_.Info("reload: class %s is not listed any more; late requests are served", entry.name.c_str());
  }
}

// Detaches and returns the request's sink; null if it has been detached before.
ResponseSink* RequestDispatcher::CloseRequest(RequestId id) {
  auto it = requests_.find(id);
  if (it == requests_.end() || it->second.sink == nullptr) return nullptr;
  --open_requests_;
  it->second.payload = nullptr;  // nothing is sent any more; its memory may be needed
  return std::exchange(it->second.sink, nullptr);
}

// While events are queued, the request is kept: the module may not know yet that the request has ended, may
// send another attempt, and must receive an outcome with the right attempt number.
void RequestDispatcher::EraseIfFinished(RequestId id) {
  auto it = requests_.find(id);
  if (it == requests_.end() || it->second.sink != nullptr || it->second.attempts_in_flight != 0) return;
  if (delivering_) {
    finished_.push_back(id);
    return;
  }
  const auto by_id = requests_by_id_.find(it->second.id);
  if (by_id != requests_by_id_.end() && by_id->second == id) requests_by_id_.erase(by_id);
  requests_.erase(it);
}

void RequestDispatcher::OnClientDisconnected(RequestId id) {
  if (CloseRequest(id) == nullptr) return;
  ++counters().client_disconnected;
  Deliver(balancer::ClientDisconnected{id});
  RevokeUnsentAttempts(id);
  EraseIfFinished(id);
}

// A request with attempts may have run, so it is failed, not rejected.
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
    ++(sent ? counters().failed : counters().rejected);
    sent ? sink->OnFailed() : sink->OnRejected(0);
    Deliver(balancer::ClientDisconnected{id});
    RevokeUnsentAttempts(id);
    EraseIfFinished(id);
  }
}

// Stops attempts of a finished request that are not completely written. The module cancels attempts only
// where the settings permit it, but these have not been sent at all.
void RequestDispatcher::RevokeUnsentAttempts(RequestId id) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  std::vector<AttemptKey> in_flight;
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i) {
    if (it->second.attempts[i].in_flight) in_flight.push_back({id, static_cast<int>(i)});
  }
  for (const AttemptKey& key : in_flight) RevokeUnsentAttempt(key);
}

// The write may have become obsolete while it was delayed by a slow connection or a stalled process. The
// client's disconnect may be known to the kernel only, behind events that are still to be processed.
bool RequestDispatcher::MayWrite(AttemptKey key) {
  auto it = requests_.find(key.request);
  // Unknown attempt: no reason to refuse.
  if (it == requests_.end() || key.number >= static_cast<int>(it->second.attempts.size())) return true;
  Request& request = it->second;
  if (request.sink != nullptr && request.sink->ClientHasDisconnected()) OnClientDisconnected(key.request);
  // OnClientDisconnected erases the request if it has no attempt in flight.
  it = requests_.find(key.request);
  if (it == requests_.end()) return false;
  const SentAttempt& sent = it->second.attempts[static_cast<std::size_t>(key.number)];
  if (!sent.in_flight) return false;
  if (loop_.Now() < sent.write_by) return true;
  RevokeUnsentAttempt(key);
  return false;
}

// Cancels the attempt if it is not completely written; it cannot have run.
void RequestDispatcher::RevokeUnsentAttempt(AttemptKey key) {
  if (upstream_->RevokeUnsent(key)) OnAttemptEnded(key, AttemptOutcome::kNotSent, nullptr);
}

void RequestDispatcher::OnAttemptEnded(AttemptKey key, AttemptOutcome outcome, PayloadRef response) {
  EndAttempt(key, outcome, [&](ResponseSink& sink) { sink.OnResponse(std::move(response)); });
}

bool RequestDispatcher::OnResponseStarted(AttemptKey key, PayloadRef head, std::shared_ptr<BodyStream> body) {
  return EndAttempt(key, AttemptOutcome::kAnswered, [&](ResponseSink& sink) {
    ++counters().responses_streamed;
    sink.OnResponseStarted(std::move(head), std::move(body));
  });
}

RequestDispatcher::SentAttempt* RequestDispatcher::FindInFlight(AttemptKey key) {
  auto it = requests_.find(key.request);
  if (it == requests_.end() || key.number < 0 || key.number >= static_cast<int>(it->second.attempts.size()))
    return nullptr;
  SentAttempt& sent = it->second.attempts[static_cast<std::size_t>(key.number)];
  return sent.in_flight ? &sent : nullptr;
}

// The module must receive exactly one outcome for each attempt. Calls `respond` with the client's sink if the
// outcome is a response that the client still waits for, and returns whether it is.
template <typename Respond>
bool RequestDispatcher::EndAttempt(AttemptKey key, AttemptOutcome outcome, Respond respond) {
  SentAttempt* found = FindInFlight(key);
  if (found == nullptr) return false;
  SentAttempt& sent = *found;
  auto it = requests_.find(key.request);
  sent.in_flight = false;
  sent.timeout_timer.reset();
  sent.write_timer.reset();
  --it->second.attempts_in_flight;
  ++counters().attempts_by_outcome[static_cast<std::size_t>(outcome)];
  // The first successful response is the request's outcome; later ones are dropped.
  ResponseSink* sink = outcome == AttemptOutcome::kAnswered ? CloseRequest(key.request) : nullptr;
  balancer::AttemptEnded event;
  event.id = key.request;
  event.attempt = key.number;
  event.outcome = Translate(outcome);
  event.latency = std::max<Micros>(0, loop_.Now() - sent.sent_at);
  event.request_finished = it->second.sink == nullptr;
  if (sink != nullptr) {
    ++counters().served;
    respond(*sink);
  }
  Deliver(std::move(event));
  if (sink != nullptr) RevokeUnsentAttempts(key.request);
  EraseIfFinished(key.request);
  return sink != nullptr;
}

void RequestDispatcher::OnEndpointUpdate(const EndpointList& list) {
  bool has_list = list.kind == EndpointList::Kind::kSnapshot || list.kind == EndpointList::Kind::kDelta;
  // An empty delta is not passed on, since the module would update all servers each second. The first
  // response is always passed on: it tells the module that the watch is established.
  const Micros previous_list_at = last_list_at_;
  bool has_changes = last_list_at_ == 0 || list.kind != EndpointList::Kind::kDelta || !list.entries.empty();
  if (has_list) last_list_at_ = loop_.Now();
  if (has_changes) ApplyEndpoints(list, previous_list_at);
}

bool RequestDispatcher::Drain(const std::string& uid) {
  if (!start_times_.Contains(uid)) return false;
  if (drains_.Drain(uid)) {
    log_.Info("server %s drained by the operators; it gets no requests until it is undrained", uid.c_str());
    ReapplyEndpoint(uid);
  }
  return true;
}

bool RequestDispatcher::Undrain(const std::string& uid) {
  if (!start_times_.Contains(uid)) return false;
  if (drains_.Undrain(uid, ToTimePoint(loop_.Now()))) {
    log_.Info("server %s undrained by the operators; slow start begins now", uid.c_str());
    ReapplyEndpoint(uid);
  }
  return true;
}

void RequestDispatcher::AdoptDrains(const drain::AdministrativeDrains& drains) {
  const std::set<std::string> changed = drains_.DifferencesTo(drains);
  drains_ = drains;
  for (const std::string& uid : changed) {
    log_.Info("server %s %s according to the drain state", uid.c_str(),
              drains_.IsDrained(uid) ? "drained" : "undrained");
    ReapplyEndpoint(uid);
  }
}

// Passes the server's last listed state to the module again, combined with the administrative drains.
void RequestDispatcher::ReapplyEndpoint(const std::string& uid) {
  auto it = servers_by_uid_.find(uid);
  if (it == servers_by_uid_.end()) return;
  EndpointList update;
  update.kind = EndpointList::Kind::kDelta;
  update.entries.push_back(it->second.listed);
  ApplyEndpoints(update, last_list_at_);
}

void RequestDispatcher::ApplyEndpoints(const EndpointList& list, Micros previous_list_at) {
  const bool is_complete =
      list.kind == EndpointList::Kind::kSnapshot || list.kind == EndpointList::Kind::kCached;
  const std::vector<ServerId> missing = is_complete ? ForgetMissing(list) : std::vector<ServerId>();
  balancer::EndpointListUpdate event;
  event.kind = Translate(list.kind);
  EndpointChanges changes;
  const auto apply = [&](const std::vector<EndpointEntry>& entries) {
    for (const EndpointEntry& listed : entries)
      event.entries.push_back(ApplyEndpoint(listed, previous_list_at, &changes));
  };
  const std::vector<EndpointEntry> others = UpdateOwners(list);
  apply(list.entries);
  apply(others);
  changes.removed.insert(changes.removed.end(), missing.begin(), missing.end());
  // The module is updated first: attempts cancelled below must not be retried on another server that is
  // draining too.
  Deliver(std::move(event));
  for (ServerId id : changes.draining) upstream_->StopUsing(id);
  for (ServerId id : changes.removed) upstream_->Remove(id);
}

// Forgets the servers that a complete list does not name, so that the tables do not grow as servers are
// replaced. Returns them.
std::vector<ServerId> RequestDispatcher::ForgetMissing(const EndpointList& list) {
  std::set<std::string_view> listed_uids;
  for (const EndpointEntry& listed : list.entries) listed_uids.insert(listed.uid);
  std::vector<ServerId> missing;
  std::erase_if(servers_by_uid_, [&](const auto& known) {
    const auto& [uid, server] = known;
    if (listed_uids.count(uid) != 0) return false;
    missing.push_back(server.id);
    owners_.OnRemoved(uid);
    return true;
  });
  return missing;
}

// Returns the servers that the list does not name itself, but whose address another server has got, or got
// back, by it.
std::vector<EndpointEntry> RequestDispatcher::UpdateOwners(const EndpointList& list) {
  owners_.BeginList();
  for (const EndpointEntry& listed : list.entries) {
    if (listed.state == EndpointState::kRemoved) {
      owners_.OnRemoved(listed.uid);
    } else {
      owners_.OnListed(listed.uid, listed.endpoint, listed.boot_unix);
    }
  }
  std::set<std::string> affected = owners_.TakeAffected();
  if (affected.empty()) return {};
  for (const EndpointEntry& listed : list.entries) affected.erase(listed.uid);
  std::vector<EndpointEntry> entries;
  for (const std::string& uid : affected) {
    const auto known = servers_by_uid_.find(uid);
    if (known != servers_by_uid_.end()) entries.push_back(known->second.listed);
  }
  return entries;
}

balancer::ServerEntry RequestDispatcher::ApplyEndpoint(const EndpointEntry& listed, Micros previous_list_at,
                                                       EndpointChanges* changes) {
  const auto [it, inserted] = servers_by_uid_.try_emplace(listed.uid);
  KnownServer& known = it->second;
  if (inserted) known.id = ++last_server_id_;
  known.listed = listed;
  const EndpointEntry entry = EffectiveEntry(&known, previous_list_at);
  if (entry.state == EndpointState::kRemoved) {
    changes->removed.push_back(known.id);
  } else {
    LogIfMoved(&known);
    upstream_->SetEndpoint(known.id, entry.endpoint);
  }
  if (entry.state == EndpointState::kDraining) changes->draining.push_back(known.id);
  balancer::ServerEntry server;
  server.id = known.id;
  server.zone = entry.zone;
  server.kind = entry.kind;
  server.cell = entry.cell;
  server.state = Translate(entry.state);
  server.concurrency = entry.concurrency;
  // The event loop's clock starts as Unix time and is never adjusted, so a start time is the same in each
  // list. A changed start time would count as a restart.
  server.started_at = entry.boot_unix;
  if (listed.state == EndpointState::kRemoved) servers_by_uid_.erase(it);
  return server;
}

// What is listed, combined with what this process knows: bounded start times, administrative drains, and who
// owns the address.
EndpointEntry RequestDispatcher::EffectiveEntry(KnownServer* known, Micros previous_list_at) {
  EndpointEntry entry = known->listed;
  entry.boot_unix = start_times_.Update(entry.uid, entry.boot_unix, loop_.Now(), previous_list_at);
  entry.boot_unix = ToMicros(drains_.EffectiveStart(entry.uid, ToTimePoint(entry.boot_unix)));
  if (entry.state == EndpointState::kRemoved) return entry;
  if (drains_.IsDrained(entry.uid)) entry.state = EndpointState::kDraining;
  const bool was_superseded = std::exchange(known->superseded, owners_.IsSuperseded(entry.uid));
  if (known->superseded) entry.state = EndpointState::kRemoved;
  if (known->superseded && !was_superseded)
    log_.Info("server %u (%s) is not used: another server is listed at its address", known->id,
              entry.uid.c_str());
  return entry;
}

void RequestDispatcher::LogIfMoved(KnownServer* known) {
  const EndpointEntry& listed = known->listed;
  if (known->endpoint == listed.endpoint) return;
  known->endpoint = listed.endpoint;
  log_.Info("server %u is %s at %s", known->id, listed.uid.c_str(), ToString(listed.endpoint).c_str());
}

// ---- Actions ----

void RequestDispatcher::Execute(const balancer::Send& action) {
  auto it = requests_.find(action.id);
  if (it == requests_.end()) return;
  Request& request = it->second;
  AttemptKey key{action.id, static_cast<int>(request.attempts.size())};
  SentAttempt& sent = request.attempts.emplace_back();
  ++request.attempts_in_flight;
  ++counters().attempts_sent;
  if (key.number > 0) ++counters().retries;
  sent.sent_at = loop_.Now();
  if (request.sink == nullptr) return OnAttemptEnded(key, AttemptOutcome::kNotSent, nullptr);
  if (action.timeout <= 0) return OnAttemptEnded(key, AttemptOutcome::kTimedOut, nullptr);
  sent.timeout_timer = std::make_unique<Timer>(loop_);
  sent.timeout_timer->Set(action.timeout, [this, key] {
    upstream_->Cancel(key, CancelReason::kTimedOut);
    OnAttemptEnded(key, AttemptOutcome::kTimedOut, nullptr);
  });
  sent.write_by = sent.sent_at + action.write_timeout;
  if (action.write_timeout < action.timeout) {
    sent.write_timer = std::make_unique<Timer>(loop_);
    sent.write_timer->Set(action.write_timeout, [this, key] { RevokeUnsentAttempt(key); });
  }
  RecordSentId(&request);
  upstream_->Start({key, action.server, action.timeout, request.payload});
}

void RequestDispatcher::Execute(const balancer::Reject& action) {
  auto it = requests_.find(action.id);
  const bool has_attempts = it != requests_.end() && !it->second.attempts.empty();
  ResponseSink* sink = CloseRequest(action.id);
  if (sink != nullptr) {
    ++counters().rejected;
    if (has_attempts) ++counters().rejected_after_attempt;
    ++counters().given_up[static_cast<std::size_t>(action.reason)];
    sink->OnRejected(action.retry_after);
  }
  EraseIfFinished(action.id);
}

void RequestDispatcher::Execute(const balancer::Fail& action) {
  ResponseSink* sink = CloseRequest(action.id);
  if (sink != nullptr) {
    ++counters().failed;
    ++counters().given_up[static_cast<std::size_t>(action.reason)];
    sink->OnFailed();
  }
  EraseIfFinished(action.id);
}

void RequestDispatcher::Execute(const balancer::Cancel& action) {
  AttemptKey key{action.id, action.attempt};
  if (FindInFlight(key) == nullptr) return;  // it has ended since the action was issued
  // The module takes an attempt for lost; it is not told of a response before that is complete.
  const bool client_waits = requests_.at(action.id).sink != nullptr;
  if (client_waits && upstream_->StartResponse(key)) return;
  upstream_->Cancel(key, CancelReason::kDecided);
  OnAttemptEnded(key, AttemptOutcome::kCancelled, nullptr);
}

// Replaces the previous wake-up, even one that is due and has not run yet: any event that is handled after
// its due time runs the module's timers and schedules the next wake-up.
void RequestDispatcher::Execute(const balancer::WakeAfter& action) {
  wake_.Set(action.delay, [this] { Deliver(balancer::TimerFired{}); });
}

void RequestDispatcher::Execute(const balancer::Watch&) { endpoints_->Watch(); }
void RequestDispatcher::Execute(const balancer::FetchList&) { endpoints_->Fetch(); }
void RequestDispatcher::Execute(const balancer::Log& action) { log_.Info("module: %s", action.text.c_str()); }

}  // namespace dappletiller
