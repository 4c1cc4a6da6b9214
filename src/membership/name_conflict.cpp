#include "membership/name_conflict.hpp"

#include <algorithm>
#include <utility>

namespace dappletiller::membership {

void NameConflict::Start(TimePoint now) {
  started_ = now;
  next_probe_ = now + kProbeInterval;
}

void NameConflict::OnMessage(TimePoint now, const Message& message) {
  const MemberRecord& other = message.sender;
  if (other.boot == state_.self.boot || !filter_.Accept(message)) return;
  auto probe = prober_.FindAnswered(message.sequence);
  const bool answers_probe = message.kind == MessageKind::kAck && probe != prober_.open().end() &&
                             probe->second.purpose == ProbePurpose::kNameConflict;
  if (answers_probe) {
    prober_.open().erase(probe);
    OnOtherAnswered(now, other);
    return;
  }
  if (last_event_ == TimePoint{} || now >= last_event_ + kEventInterval) {
    last_event_ = now;
    state_.events.Add(now, EventKind::kNameConflict, state_.self.name,
                      "another process with this name is at " + other.address);
  }
  // A process with an earlier boot that probes this one learns that it is alive, and gives up the name.
  if (message.kind == MessageKind::kPing && other.boot < state_.self.boot) {
    Message ack;
    ack.kind = MessageKind::kAck;
    ack.sequence = message.sequence;
    transmitter_.Send(other.address, {}, 0, std::move(ack));
  }
}

void NameConflict::OnOtherAnswered(TimePoint now, const MemberRecord& other) {
  if (other.boot < state_.self.boot) return;
  other_heard_at_ = now;
  other_address_ = other.address;
  other_boot_ = other.boot;
  if (!displaced_) Displace(now, other);
}

void NameConflict::Displace(TimePoint now, const MemberRecord& other) {
  displaced_ = true;
  state_.events.Add(now, EventKind::kDisplaced, state_.self.name,
                    "a later process with this name is at " + other.address);
  state_.members.Clear();
  state_.probe_order.Clear();
  state_.broadcasts.Clear();
  prober_.Clear();
}

void NameConflict::OnGossipAboutLaterStart(TimePoint now, const std::string& sender,
                                           const MemberRecord& record) {
  if (record.boot + 1 >= kMaxCounter) return;
  const bool just_started = now < started_ + kTakeoverTime && !displaced_;
  // No other process can have this address: it was this process, before a restart with an earlier wall clock.
  const bool own_past = record.address == state_.self.address;
  if (just_started || own_past) {
    RaiseBoot(record.boot);
    return;
  }
  if (record.address.empty()) return;
  if (!IsLiving(record.state)) {
    // A single member could make this process increase its boot forever.
    says_other_is_gone_.insert(sender);
    const std::size_t needed = std::min(kWitnesses, state_.members.living());
    if (says_other_is_gone_.size() >= needed) RaiseBoot(record.boot);
    return;
  }
  other_address_ = record.address;
  next_probe_ = std::min(next_probe_, now);
}

void NameConflict::RaiseBoot(std::uint64_t above) {
  state_.self.boot = above + 1;
  says_other_is_gone_.clear();
  state_.broadcasts.Enqueue(state_.self);
}

void NameConflict::Run(TimePoint now) {
  if (now < next_probe_) return;
  next_probe_ = now + kProbeInterval;
  if (!other_address_.empty()) prober_.Start(now, ProbePurpose::kNameConflict, {{}, other_address_, 0});
  if (!displaced_) other_address_.clear();
}

bool NameConflict::RegainName(TimePoint now) {
  if (now < other_heard_at_ + kSilenceToRegain) return false;
  displaced_ = false;
  other_address_.clear();
  state_.self.boot = other_boot_ + 1;
  state_.self.incarnation = 0;
  state_.broadcasts.Enqueue(state_.self);
  state_.events.Add(now, EventKind::kNameRegained, state_.self.name,
                    "the other process with this name is silent");
  return true;
}

}  // namespace dappletiller::membership
