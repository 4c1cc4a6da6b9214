#include "membership/failure_detector.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace dappletiller::membership {
namespace {

// Whether helpers are asked for indirect probes when the target does not answer. Not for the first probe of a
// claim: it is usually sufficient, and there may be many claims.
bool WantsHelpers(const Probe& probe) {
  switch (probe.purpose) {
    case ProbePurpose::kRound:
    case ProbePurpose::kSuspicion:
      return true;
    case ProbePurpose::kVerification:
      return probe.attempts == 1;
    case ProbePurpose::kSeed:
    case ProbePurpose::kRelay:
    case ProbePurpose::kNameConflict:
      break;
  }
  return false;
}

}  // namespace

void FailureDetector::ScheduleProbes(TimePoint now) {
  next_probe_ = now + state_.RandomBelow(state_.settings.probe_interval);
}

void FailureDetector::ScheduleDeadRetries(TimePoint now) {
  next_dead_retry_ = now + state_.RandomBelow(MemberTransitions::kMinDeadRetryInterval);
}

void FailureDetector::Postpone(TimePoint now, Duration pause) {
  prober_.Postpone(pause);
  for (const std::string& name : state_.members.suspects()) {
    Suspicion& suspicion = state_.members.Find(name)->suspicion;
    suspicion.started += pause;
    suspicion.last_probe += pause;
  }
  next_probe_ = std::max(next_probe_, now);
  next_dead_retry_ = std::max(next_dead_retry_, now);
}

// ---- Open probes ----

void FailureDetector::RunProbes(TimePoint now) {
  DueWork due;
  Prober::Probes& probes = prober_.open();
  for (auto it = probes.begin(); it != probes.end();) {
    const auto& [sequence, probe] = *it;
    const bool over = probe.purpose == ProbePurpose::kRelay ? HandleRelay(now, sequence, probe, &due)
                                                            : HandleProbe(now, sequence, probe, &due);
    it = over ? probes.erase(it) : std::next(it);
  }
  for (std::uint64_t sequence : due.to_repeat) prober_.Repeat(now, sequence);
  for (std::uint64_t sequence : due.to_ask_helpers) AskHelpers(sequence);
  for (const std::string& name : due.failed) {
    Member* member = state_.members.Find(name);
    if (member != nullptr) transitions_.Suspect(now, state_.self.name, member);
  }
}

// Returns whether a probe on behalf of another member is over; its requester has been sent a nack then.
bool FailureDetector::HandleRelay(TimePoint now, std::uint64_t sequence, const Probe& probe, DueWork* due) {
  const Duration age = now - probe.sent_at;
  if (age < probe.timeout) {
    if (probe.repetitions == 0 && age >= probe.timeout / 2) due->to_repeat.push_back(sequence);
    return false;
  }
  Message nack;
  nack.kind = MessageKind::kNack;
  nack.sequence = probe.requester_sequence;
  transmitter_.Send(probe.requester_address, {}, 0, std::move(nack));
  return true;
}

// Returns whether the probe has failed.
bool FailureDetector::HandleProbe(TimePoint now, std::uint64_t sequence, const Probe& probe, DueWork* due) {
  const Duration age = now - probe.sent_at;
  if (age >= probe.timeout && !probe.helpers_asked && WantsHelpers(probe)) {
    due->to_ask_helpers.push_back(sequence);
  }
  if (WantsRepetition(age, probe)) due->to_repeat.push_back(sequence);
  if (age < kProbeTimeouts * probe.timeout) return false;
  OnProbeFailed(now, probe, due);
  return true;
}

// On a lossy link a single lost datagram means little. Pings are repeated while an answer is still possible,
// so that few members are suspected because of the link. The last pings before a member is declared dead,
// which all members send to the same suspect, are repeated less often.
bool FailureDetector::WantsRepetition(Duration age, const Probe& probe) const {
  const bool in_round = probe.purpose == ProbePurpose::kRound;
  if (!in_round && probe.purpose != ProbePurpose::kSuspicion) return false;
  const Duration interval =
      in_round ? std::max(state_.health.UsualAnswerTime(), probe.timeout / 2) : probe.timeout;
  return age >= (probe.repetitions + 1) * interval && age < kProbeTimeouts * probe.timeout &&
         static_cast<std::size_t>(probe.repetitions) + 1 < Probe::kMaxPings;
}

void FailureDetector::OnProbeFailed(TimePoint now, const Probe& probe, DueWork* due) {
  // A probe from before the end of a partition may expire after the member has responded.
  const Member* member = state_.members.Find(probe.name);
  if (member != nullptr && member->last_heard > probe.sent_at) return;
  if (probe.purpose == ProbePurpose::kVerification) {
    verifier_.RetryLater(now, probe);
  } else if (probe.purpose == ProbePurpose::kRound) {
    ++state_.counters.probes_failed;
    // If helpers do not respond either, this process itself may be at fault (Lifeguard).
    const bool helpers_answered = probe.helpers > 0 && probe.nacks >= probe.helpers;
    if (!helpers_answered) state_.health.Degrade();
    due->failed.push_back(probe.name);
  }
}

void FailureDetector::AskHelpers(std::uint64_t sequence) {
  auto it = prober_.open().find(sequence);
  if (it == prober_.open().end()) return;
  Probe& probe = it->second;
  probe.helpers_asked = true;
  const auto count = static_cast<std::size_t>(state_.settings.indirect_probes);
  for (const Member* helper : state_.probe_order.PickAlive(count, probe.name)) {
    Message request;
    request.kind = MessageKind::kPingRequest;
    request.sequence = sequence;
    request.target = probe.name;
    request.target_address = probe.address;
    transmitter_.SendTo(*helper, std::move(request));
    ++probe.helpers;
  }
}

// ---- Suspicions ----

// Lifeguard's dynamic timeout: long with one accuser, decreasing to the minimum as others confirm the
// suspicion.
Duration FailureDetector::SuspicionTimeout(const Member& member) const {
  if (member.suspicion.reported_left) return kSuspicionProbes * kSuspicionProbeInterval;
  const auto living = static_cast<double>(state_.members.living());
  const auto setting = static_cast<double>(state_.settings.min_suspicion_timeout.count());
  const double min_timeout = setting * std::max(1.0, std::log10(living + 1) / 2);
  const double max_timeout = min_timeout * state_.settings.max_suspicion_multiplier;
  const int possible =
      std::min(MemberTransitions::kMaxConfirmations, static_cast<int>(state_.members.living()) - 1);
  if (possible < 1) return Duration(static_cast<Micros>(min_timeout));
  const double confirmations = static_cast<double>(member.suspicion.accusers.size()) - 1;
  const double confirmed = std::log(std::max(0.0, confirmations) + 1) / std::log(possible + 1);
  const double timeout = std::max(min_timeout, max_timeout - (max_timeout - min_timeout) * confirmed);
  return Duration(static_cast<Micros>(timeout));
}

void FailureDetector::RunSuspicions(TimePoint now) {
  const std::vector<std::string> names(state_.members.suspects().begin(), state_.members.suspects().end());
  for (const std::string& name : names) RunSuspicion(now, state_.members.Find(name));
}

void FailureDetector::RunSuspicion(TimePoint now, Member* member) {
  Suspicion& suspicion = member->suspicion;
  const TimePoint deadline = suspicion.started + SuspicionTimeout(*member);
  const TimePoint first_probe = deadline - kSuspicionProbes * kSuspicionProbeInterval;
  const bool may_probe = now >= suspicion.last_probe + kSuspicionProbeInterval;
  if (suspicion.probes < kSuspicionProbes && now >= first_probe && may_probe) {
    suspicion.last_probe = now;
    ++suspicion.probes;
    prober_.Start(now, ProbePurpose::kSuspicion, TargetOf(*member));
  }
  const bool last_probe_over =
      suspicion.probes >= kSuspicionProbes && now >= suspicion.last_probe + kSuspicionProbeInterval;
  if (now >= deadline && last_probe_over) Decide(now, member);
}

void FailureDetector::Decide(TimePoint now, Member* member) {
  Suspicion& suspicion = member->suspicion;
  const bool heard = member->last_heard > suspicion.started;
  if (heard && suspicion.reported_left) {
    transitions_.MarkAlive(now, "did not leave", member);
  } else if (heard) {
    // The member still sends messages, and refutes the suspicion when it learns of it.
    suspicion.started = now;
    suspicion.probes = 0;
  } else if (suspicion.reported_left) {
    transitions_.MarkLeft(now, member->record.incarnation, "left, as others say, and is silent", member);
  } else {
    transitions_.MarkDead(now, member);
  }
}

// ---- Rounds ----

void FailureDetector::ProbeNextMember(TimePoint now) {
  for (const std::string& name : std::exchange(probe_soon_, {})) {
    const Member* member = state_.members.Find(name);
    if (member == nullptr || member->record.state != MemberState::kSuspect) continue;
    prober_.Start(now, ProbePurpose::kRound, TargetOf(*member));
  }
  if (now < next_probe_) return;
  next_probe_ = now + state_.settings.probe_interval * (1 + state_.health.score() / 2);
  const Member* member = state_.probe_order.Next();
  if (member != nullptr) prober_.Start(now, ProbePurpose::kRound, TargetOf(*member));
}

void FailureDetector::RetryDeadMember(TimePoint now) {
  if (now < next_dead_retry_) return;
  next_dead_retry_ = now + MemberTransitions::kMinDeadRetryInterval;
  verifier_.ForgetOldClaims(now);
  const std::set<std::string>& dead = state_.members.dead();
  if (dead.empty() || state_.faults.never_retry_dead) return;
  // The first that is due, starting from a random one.
  auto it = std::next(dead.begin(), static_cast<std::ptrdiff_t>(state_.random(dead.size())));
  for (std::size_t i = 0; i < dead.size(); ++i, ++it) {
    if (it == dead.end()) it = dead.begin();
    Member* member = state_.members.Find(*it);
    if (now > member->since + state_.settings.dead_member_retention) {
      // NOLINTNEXTLINE(performance-unnecessary-copy-initialization): Remove frees what `it` refers to
      const std::string name = *it;
      state_.events.Add(now, EventKind::kForgotten, name, "dead for long");
      state_.members.Remove(name);
      return;
    }
    if (now < member->retry_at) continue;
    ProbeDead(now, member);
    return;
  }
}

void FailureDetector::ProbeDead(TimePoint now, Member* member) {
  const Duration dead_for = now - member->since;
  member->retry_at =
      now + std::clamp(dead_for / 10, MemberTransitions::kMinDeadRetryInterval, kMaxDeadRetryInterval);
  Probe* probe =
      prober_.Start(now, ProbePurpose::kVerification, {member->record.name, member->record.address, 0});
  if (probe == nullptr) return;
  probe->helpers_asked = true;  // helpers were asked before it was declared dead
  probe->attempts = ClaimVerifier::kMaxAttempts;
}

}  // namespace dappletiller::membership
