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
sandstand::Outcome Translate(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return sandstand::Outcome::kServed;
    case AttemptEnd::kError:
      return sandstand::Outcome::kError;
    case AttemptEnd::kTurnedAway:
      return sandstand::Outcome::kFull;
    case AttemptEnd::kTimedOut:
      return sandstand::Outcome::kTimeout;
    case AttemptEnd::kUnreachable:
      return sandstand::Outcome::kConnectFailed;
    case AttemptEnd::kReset:
      return sandstand::Outcome::kReset;
    case AttemptEnd::kGivenUp:
      return sandstand::Outcome::kCancelled;
    case AttemptEnd::kNotSent:
      return sandstand::Outcome::kNotSent;
  }
  return sandstand::Outcome::kReset;
}

sandstand::ServerState Translate(WorkerState state) {
  switch (state) {
    case WorkerState::kReady:
      return sandstand::ServerState::kReady;
    case WorkerState::kDraining:
      return sandstand::ServerState::kDraining;
    case WorkerState::kGone:
      break;
  }
  return sandstand::ServerState::kGone;
}

sandstand::ListUpdate::Kind Translate(WorkerList::Kind kind) {
  switch (kind) {
    case WorkerList::Kind::kChanges:
      return sandstand::ListUpdate::Kind::kChanges;
    case WorkerList::Kind::kFull:
      return sandstand::ListUpdate::Kind::kFull;
    case WorkerList::Kind::kCached:
      return sandstand::ListUpdate::Kind::kCached;
    case WorkerList::Kind::kFailed:
      break;
  }
  return sandstand::ListUpdate::Kind::kFailed;
}

}  // namespace

Gateway::Gateway(EventLoop& loop, Log& log, const sandstand::Settings& settings)
    : loop_(loop), log_(log), balancer_(settings), wake_(loop), tell_(loop) {}

void Gateway::Connect(Workers& workers, ListSource& list) {
  workers_ = &workers;
  list_ = &list;
}

Tally& Gateway::tally() {
  // On demand: a proxy at rest isn't woken to say that nothing passes.
  if (!tell_.set()) tell_.Set(kTellEvery, [this] { TellTally(); });
  return tally_;
}

void Gateway::TellTally() {
  const Tally t = std::exchange(tally_, {});
  if (t.empty()) return;
  std::string answered = "never answered";
  if (listed_at_ != 0) {
    char text[40];
    std::snprintf(text, sizeof text, "answered %.1f s ago",
                  static_cast<double>(loop_.Now() - listed_at_) / 1e6);
    answered = text;
  }
  auto ended = [&t](AttemptEnd end) { return t.ended[static_cast<std::size_t>(end)]; };
  log_.Info(
      "passed: %d in, %d served, %d refused, %d failed, %d left, %zu open; sent %d, dialled %d; ended %d ok, "
      "%d error, %d turned away, %d timed out, %d unreachable, %d reset, %d given up, %d not sent; list "
      "calls %d, failed %d, %s",
      t.arrived, t.served, t.refused, t.failed, t.left, open_calls_, t.sent, t.dialled,
      ended(AttemptEnd::kAnswered), ended(AttemptEnd::kError), ended(AttemptEnd::kTurnedAway),
      ended(AttemptEnd::kTimedOut), ended(AttemptEnd::kUnreachable), ended(AttemptEnd::kReset),
      ended(AttemptEnd::kGivenUp), ended(AttemptEnd::kNotSent), t.list_calls, t.list_failures,
      answered.c_str());
  tell_.Set(kTellEvery, [this] { TellTally(); });
}

// Carrying an action out may bring the next event at once (a connection refused on the spot). Such an event
// waits until the actions at hand are done: the module must not be entered twice, and order counts.
void Gateway::Deliver(sandstand::Event event) {
  events_.push_back(std::move(event));
  if (delivering_) return;
  delivering_ = true;
  std::vector<sandstand::Action> actions;
  while (!events_.empty()) {
    sandstand::Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    balancer_.Handle(loop_.Now(), next, &actions);
    for (const sandstand::Action& action : actions) {
      std::visit([this](const auto& a) { Carry(a); }, action);
    }
  }
  delivering_ = false;
  for (CallId id : std::exchange(over_, {})) ForgetIfOver(id);
}

void Gateway::Arrive(CallId id, Arrival arrival, Caller& caller) {
  ++tally().arrived;
  Call& call = calls_[id];
  call.caller = &caller;
  call.payload = std::move(arrival.payload);
  ++open_calls_;
  sandstand::RequestArrived event;
  event.id = id;
  event.request_class = arrival.call_class;
  event.tenant = arrival.tenant;
  event.deadline = arrival.deadline;
  event.answer_by = arrival.answer_by;
  event.work_hint = arrival.work_hint.value_or(0);
  event.has_hint = arrival.work_hint.has_value();
  event.client_retry = arrival.client_retry;
  Deliver(event);
}

// Ends a call towards its caller; null if that has been done before.
Caller* Gateway::Close(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end() || it->second.caller == nullptr) return nullptr;
  --open_calls_;
  return std::exchange(it->second.caller, nullptr);
}

// Guards against an action for a call that went while its event still waited: the module, not yet told, may
// send it once more and is owed an outcome with the right number.
void Gateway::ForgetIfOver(CallId id) {
  if (delivering_) {
    over_.push_back(id);
    return;
  }
  auto it = calls_.find(id);
  if (it != calls_.end() && it->second.caller == nullptr && it->second.out == 0) calls_.erase(it);
}

void Gateway::Left(CallId id) {
  if (Close(id) == nullptr) return;
  ++tally().left;
  Deliver(sandstand::ClientLeft{id});
  Withdraw(id);
  ForgetIfOver(id);
}

// What has been sent may have run, and its client must not take it for refused.
void Gateway::EndOpenCalls() {
  std::vector<CallId> open;
  for (const auto& [id, call] : calls_) {
    if (call.caller != nullptr) open.push_back(id);
  }
  for (CallId id : open) {
    auto it = calls_.find(id);
    bool sent = it != calls_.end() && !it->second.attempts.empty();
    Caller* caller = Close(id);
    if (caller == nullptr) continue;
    ++(sent ? tally().failed : tally().refused);
    sent ? caller->Failed() : caller->Rejected(0);
    Deliver(sandstand::ClientLeft{id});
    Withdraw(id);
    ForgetIfOver(id);
  }
}

// Guards against sending on for nobody: the module calls off only what the settings let it, but what is not
// written whole has not been sent at all.
void Gateway::Withdraw(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  std::vector<AttemptKey> out;
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i) {
    if (it->second.attempts[i].out) out.push_back({id, static_cast<int>(i)});
  }
  for (const AttemptKey& key : out) TakeBack(key);
}

// Guards against what becomes due while its bytes can't leave yet: a connection that comes up late, a process
// that stood still. The client's end may lie in the kernel behind what this round still handles.
bool Gateway::MayWrite(AttemptKey key) {
  auto it = calls_.find(key.call);
  // Not one of ours: nothing here speaks against it.
  if (it == calls_.end() || key.number >= static_cast<int>(it->second.attempts.size())) return true;
  Call& call = it->second;
  if (call.caller != nullptr && call.caller->Gone()) Left(key.call);
  // Left forgets the call if nothing of it is out any more.
  it = calls_.find(key.call);
  if (it == calls_.end()) return false;
  const Sent& sent = it->second.attempts[static_cast<std::size_t>(key.number)];
  if (!sent.out) return false;
  if (loop_.Now() < sent.write_by) return true;
  TakeBack(key);
  return false;
}

// Gives up what has not been written whole: it never runs.
void Gateway::TakeBack(AttemptKey key) {
  if (workers_->Withdraw(key)) Ended(key, AttemptEnd::kNotSent, nullptr);
}

void Gateway::Ended(AttemptKey key, AttemptEnd end, PayloadRef answer) {
  auto it = calls_.find(key.call);
  if (it == calls_.end() || key.number >= static_cast<int>(it->second.attempts.size())) return;
  Sent& sent = it->second.attempts[static_cast<std::size_t>(key.number)];
  // Guards against a second outcome of one attempt: the module is owed exactly one.
  if (!sent.out) return;
  sent.out = false;
  sent.limit.reset();
  sent.unwritten.reset();
  --it->second.out;
  ++tally().ended[static_cast<std::size_t>(end)];
  // The first answer of a worker is the call's; a later one comes to nobody.
  Caller* caller = end == AttemptEnd::kAnswered ? Close(key.call) : nullptr;
  sandstand::AttemptEnded event;
  event.id = key.call;
  event.attempt = key.number;
  event.outcome = Translate(end);
  event.latency = std::max<Micros>(0, loop_.Now() - sent.at);
  event.request_finished = it->second.caller == nullptr;
  if (caller != nullptr) {
    ++tally().served;
    caller->Served(std::move(answer));
  }
  Deliver(std::move(event));
  if (caller != nullptr) Withdraw(key.call);
  ForgetIfOver(key.call);
}

void Gateway::Learn(const WorkerList& list) {
  bool told = list.kind == WorkerList::Kind::kFull || list.kind == WorkerList::Kind::kChanges;
  // Guards against the module placing every worker anew, each second, for a watch that had nothing to tell.
  // The first answer always counts: from it the module knows that it is subscribed.
  bool news = listed_at_ == 0 || list.kind != WorkerList::Kind::kChanges || !list.entries.empty();
  if (told) listed_at_ = loop_.Now();
  if (news) Apply(list);
}

bool Gateway::Drain(const std::string& uid) {
  if (ever_listed_.count(uid) == 0) return false;
  if (drains_.Drain(uid)) {
    log_.Info("worker %s is drained by the operators until they undrain it", uid.c_str());
    Relist(uid);
  }
  return true;
}

bool Gateway::Undrain(const std::string& uid) {
  if (ever_listed_.count(uid) == 0) return false;
  if (drains_.Undrain(uid, ToTimePoint(loop_.Now()))) {
    log_.Info("worker %s is undrained by the operators: slow start from now", uid.c_str());
    Relist(uid);
  }
  return true;
}

// The module hears of the worker again as discovery last listed it, with what the operators said on top.
void Gateway::Relist(const std::string& uid) {
  auto it = workers_by_uid_.find(uid);
  if (it == workers_by_uid_.end()) return;
  WorkerList one;
  one.kind = WorkerList::Kind::kChanges;
  one.entries.push_back(it->second.last);
  Apply(one);
}

void Gateway::Apply(const WorkerList& list) {
  sandstand::ListUpdate event;
  event.kind = Translate(list.kind);
  std::set<std::string> named;
  std::vector<WorkerId> draining, gone;
  for (const WorkerEntry& listed : list.entries) {
    auto [it, fresh] = workers_by_uid_.try_emplace(listed.uid);
    Known& known = it->second;
    if (fresh) known.id = ++worker_ids_;
    known.last = listed;
    ever_listed_.insert(listed.uid);
    WorkerEntry entry = listed;
    if (entry.state != WorkerState::kGone && drains_.IsDrained(entry.uid))
      entry.state = WorkerState::kDraining;
    entry.boot_unix = ToMicros(drains_.EffectiveStart(entry.uid, ToTimePoint(entry.boot_unix)));
    if (entry.state != WorkerState::kGone && !(known.endpoint == entry.endpoint)) {
      std::uint32_t a = entry.endpoint.address;
      log_.Info("worker %u is %s at %u.%u.%u.%u:%u", known.id, entry.uid.c_str(), a >> 24, a >> 16 & 255,
                a >> 8 & 255, a & 255, entry.endpoint.port);
      known.endpoint = entry.endpoint;
    }
    named.insert(entry.uid);
    if (entry.state != WorkerState::kGone) workers_->Locate(known.id, entry.endpoint);
    if (entry.state == WorkerState::kDraining) draining.push_back(known.id);
    sandstand::ServerEntry server;
    server.id = known.id;
    server.zone = entry.zone;
    server.kind = entry.kind;
    server.cell = entry.cell;
    server.state = Translate(entry.state);
    server.size = entry.size;
    // The loop's clock began as Unix time and runs at the same pace, so that a start's time, converted again
    // with each list, never seems to change: to the module that would be a restart.
    server.started_at = entry.boot_unix;
    event.entries.push_back(server);
    if (entry.state != WorkerState::kGone) continue;
    gone.push_back(known.id);
    workers_by_uid_.erase(it);
  }
  // Guards against tables that grow for as long as workers are replaced: who is gone is forgotten.
  if (list.kind == WorkerList::Kind::kFull || list.kind == WorkerList::Kind::kCached) {
    std::erase_if(workers_by_uid_, [&](const auto& known) {
      bool absent = named.count(known.first) == 0;
      if (absent) gone.push_back(known.second.id);
      return absent;
    });
  }
  // The module hears first: what is called off below must not be sent to another that is leaving too.
  Deliver(std::move(event));
  for (WorkerId id : draining) workers_->Release(id);
  for (WorkerId id : gone) workers_->Forget(id);
}

// ---- Actions ----

void Gateway::Carry(const sandstand::Send& action) {
  auto it = calls_.find(action.id);
  if (it == calls_.end()) return;
  Call& call = it->second;
  AttemptKey key{action.id, static_cast<int>(call.attempts.size())};
  Sent& sent = call.attempts.emplace_back();
  ++call.out;
  ++tally().sent;
  sent.at = loop_.Now();
  if (call.caller == nullptr) return Ended(key, AttemptEnd::kNotSent, nullptr);
  if (action.timeout <= 0) return Ended(key, AttemptEnd::kTimedOut, nullptr);
  sent.limit = std::make_unique<Timer>(loop_);
  sent.limit->Set(action.timeout, [this, key] {
    workers_->GiveUp(key);
    Ended(key, AttemptEnd::kTimedOut, nullptr);
  });
  sent.write_by = sent.at + action.write_within;
  if (action.write_within < action.timeout) {
    sent.unwritten = std::make_unique<Timer>(loop_);
    sent.unwritten->Set(action.write_within, [this, key] { TakeBack(key); });
  }
  workers_->Start({key, action.server, action.timeout, call.payload});
}

void Gateway::Carry(const sandstand::Refuse& action) {
  Caller* caller = Close(action.id);
  if (caller != nullptr) {
    ++tally().refused;
    caller->Rejected(action.retry_after);
  }
  ForgetIfOver(action.id);
}

void Gateway::Carry(const sandstand::Fail& action) {
  Caller* caller = Close(action.id);
  if (caller != nullptr) {
    ++tally().failed;
    caller->Failed();
  }
  ForgetIfOver(action.id);
}

void Gateway::Carry(const sandstand::Cancel& action) {
  AttemptKey key{action.id, action.attempt};
  auto it = calls_.find(action.id);
  if (it == calls_.end() || action.attempt < 0 ||
      action.attempt >= static_cast<int>(it->second.attempts.size()) ||
      !it->second.attempts[static_cast<std::size_t>(action.attempt)].out) {
    return;  // it ended while this action was on its way
  }
  workers_->GiveUp(key);
  Ended(key, AttemptEnd::kGivenUp, nullptr);
}

// Each request for a wake-up replaces the one before it, also when the earlier one is due and has not run
// yet: an event that is handled after its due time runs the module's alarms and asks for the next of them.
void Gateway::Carry(const sandstand::WakeAfter& action) {
  wake_.Set(action.delay, [this] { Deliver(sandstand::TimerFired{}); });
}

void Gateway::Carry(const sandstand::Watch&) { list_->Watch(); }
void Gateway::Carry(const sandstand::FetchList&) { list_->Fetch(); }
void Gateway::Carry(const sandstand::Log& action) { log_.Info("module: %s", action.text.c_str()); }

}  // namespace dappletiller
