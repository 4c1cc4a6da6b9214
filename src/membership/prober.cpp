#include "membership/prober.hpp"

#include <algorithm>
#include <utility>

namespace dappletiller::membership {

ProbeTarget TargetOf(const Member& member) {
  return {member.record.name, member.record.address, member.record.boot};
}

Probe* Prober::Start(TimePoint now, ProbePurpose purpose, const ProbeTarget& target) {
  if (probes_.size() >= kMaxOpen) return nullptr;
  // The bit above the mask ensures that a sequence number is not 0.
  const std::uint64_t sequence = (state_.random() & ~kRepetitionMask) | (kRepetitionMask + 1);
  Probe& probe = probes_[sequence];
  probe.purpose = purpose;
  probe.name = target.name;
  probe.address = target.address;
  probe.boot = target.boot;
  probe.sent_at = now;
  probe.pinged_at[0] = now;
  probe.timeout = state_.health.ProbeTimeout(state_.settings.min_probe_timeout);
  SendPing(sequence, probe);
  ++state_.counters.probes;
  return &probe;
}

void Prober::Repeat(TimePoint now, std::uint64_t sequence) {
  auto it = probes_.find(sequence);
  if (it == probes_.end()) return;
  Probe& probe = it->second;
  ++probe.repetitions;
  probe.pinged_at[static_cast<std::size_t>(probe.repetitions)] = now;
  SendPing(sequence, probe);
}

void Prober::SendPing(std::uint64_t sequence, const Probe& probe) {
  Message ping = transmitter_.Make(MessageKind::kPing);
  ping.sequence = sequence + static_cast<std::uint64_t>(probe.repetitions);
  // A suspect learns of the suspicion first with the ping (Lifeguard's buddy system), so that it can refute
  // it.
  const Member* member = state_.members.Find(probe.name);
  const bool accused =
      member != nullptr && member->record.state != MemberState::kAlive && !member->suspicion.reported_left;
  if (accused) ping.updates.push_back(MakeClaim(member->record, member->record.state, state_.self.name));
  transmitter_.PiggybackUpdates(&ping);
  transmitter_.Send(probe.address, probe.name, probe.boot, std::move(ping));
}

Prober::Probes::iterator Prober::FindAnswered(std::uint64_t sequence) {
  return probes_.find(sequence & ~kRepetitionMask);
}

TimePoint Prober::AnsweredPing(const Probe& probe, std::uint64_t sequence) {
  const auto repetition = static_cast<std::size_t>(sequence & kRepetitionMask);
  return probe.pinged_at[std::min(repetition, static_cast<std::size_t>(probe.repetitions))];
}

void Prober::Postpone(Duration pause) {
  for (auto& [sequence, probe] : probes_) {
    probe.sent_at += pause;
    for (TimePoint& at : probe.pinged_at) at += pause;
  }
}

}  // namespace dappletiller::membership
