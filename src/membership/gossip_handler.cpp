#include "membership/gossip_handler.hpp"

#include <algorithm>

namespace dappletiller::membership {

void GossipHandler::OnGossip(TimePoint now, const std::string& sender, const MemberRecord& record) {
  if (!HasPlausibleCounters(record)) {
    ++state_.counters.claims_ignored;
    return;
  }
  if (record.name == state_.self.name) {
    OnGossipAboutSelf(now, sender, record);
    return;
  }
  Member* member = state_.members.Find(record.name);
  if (member == nullptr) {
    OnUnknownMember(now, sender, record);
    return;
  }
  if (record.boot < member->record.boot) {
    ++state_.counters.stale;
    return;
  }
  if (record.boot > member->record.boot) {
    if (IsLiving(record.state)) verifier_.Enqueue(now, record);
    return;
  }
  switch (record.state) {
    case MemberState::kAlive:
      return OnAlive(now, record, member);
    case MemberState::kLeft:
      return OnLeft(now, record, member);
    case MemberState::kSuspect:
    case MemberState::kDead:
      return OnAccusation(now, sender, record, member);
  }
}

void GossipHandler::OnGossipAboutSelf(TimePoint now, const std::string& sender, const MemberRecord& record) {
  if (record.boot == state_.self.boot) {
    OnGossipAboutThisStart(record);
  } else if (record.boot > state_.self.boot) {
    name_conflict_.OnGossipAboutLaterStart(now, sender, record);
  }
}

void GossipHandler::OnGossipAboutThisStart(const MemberRecord& record) {
  MemberRecord& self = state_.self;
  if (IsTooFarAhead(record, self.incarnation)) {
    ++state_.counters.claims_ignored;
    return;
  }
  if (!refutes_) return;
  if (record.state != MemberState::kAlive && record.incarnation >= self.incarnation) {
    if (state_.faults.never_refute) return;
    self.incarnation = record.incarnation + 1;
    ++state_.counters.refuted;
    state_.health.Degrade();
    state_.broadcasts.Enqueue(self);
  } else {
    self.incarnation = std::max(self.incarnation, record.incarnation);
  }
}

void GossipHandler::OnUnknownMember(TimePoint now, const std::string& sender, const MemberRecord& record) {
  // A member that the sender considers dead is verified too: the sender may be partitioned.
  if (record.state == MemberState::kLeft) return;
  Member* informer = state_.members.Find(sender);
  if (informer == nullptr) return;
  if (!informer->new_names.TryTake(now)) {
    ++state_.counters.claims_ignored;
    return;
  }
  verifier_.Enqueue(now, record);
}

void GossipHandler::OnAlive(TimePoint now, const MemberRecord& record, Member* member) {
  const MemberState before = member->record.state;
  const bool later = record.incarnation > member->record.incarnation;
  const bool too_far = IsTooFarAhead(record, member->record.incarnation);
  if (!IsLiving(before) || too_far) {
    // A dead member returns only by its own message; one that left, if the record is later than its leave.
    if (too_far || before == MemberState::kDead || later) verifier_.Enqueue(now, member->record);
    return;
  }
  if (!later) return;
  member->record.incarnation = record.incarnation;
  MergeAttributes(record.attributes, kMaxAttributes, &member->record.attributes);
  if (before == MemberState::kSuspect) transitions_.MarkAlive(now, "refuted", member);
  state_.broadcasts.Enqueue(member->record);
}

void GossipHandler::OnLeft(TimePoint now, const MemberRecord& record, Member* member) {
  if (!IsCurrentClaim(record, *member)) return;
  if (member->record.state == MemberState::kLeft) return;
  if (member->record.state == MemberState::kDead) {
    transitions_.MarkLeft(now, record.incarnation, "left, as others know", member);
    return;
  }
  if (!member->suspicion.reported_left) transitions_.SuspectLeft(now, record.incarnation, member);
}

void GossipHandler::OnAccusation(TimePoint now, const std::string& sender, const MemberRecord& record,
                                 Member* member) {
  if (!IsCurrentClaim(record, *member)) return;
  const std::string& accuser = record.accuser.empty() ? sender : record.accuser;
  const MemberState before = member->record.state;
  if (accuser == state_.self.name || accuser == record.name || !IsLiving(before)) return;
  if (!IsCredible(now, accuser, *member)) {
    ++state_.counters.accusations_ignored;
    return;
  }
  member->record.incarnation = std::max(member->record.incarnation, record.incarnation);
  // Some of the members that learn of a suspicion probe the suspect immediately. If all waited for its turn,
  // none would confirm the suspicion before its longest timeout.
  constexpr double kWantedProbes = 2.0 * MemberTransitions::kMaxConfirmations;
  const auto living = static_cast<double>(state_.members.living());
  const bool may_probe = before == MemberState::kAlive && detector_.HasRoomToProbeSoon();
  if (may_probe && state_.Chance(kWantedProbes / living)) detector_.ProbeSoon(record.name);
  transitions_.Suspect(now, accuser, member);
}

bool GossipHandler::IsCredible(TimePoint now, const std::string& accuser, const Member& accused) {
  Member* by = state_.members.Find(accuser);
  if (by == nullptr || !IsLiving(by->record.state)) return false;
  // Confirming an existing suspicion does not count against the accuser's limit.
  return accused.record.state != MemberState::kAlive || by->accusations.TryTake(now);
}

bool GossipHandler::IsCurrentClaim(const MemberRecord& record, const Member& member) {
  if (record.incarnation < member.record.incarnation) return false;
  if (!IsTooFarAhead(record, member.record.incarnation)) return true;
  ++state_.counters.claims_ignored;
  return false;
}

bool GossipHandler::IsTooFarAhead(const MemberRecord& record, std::uint64_t known_incarnation) {
  return record.incarnation > known_incarnation + kMaxIncarnationStep;
}

}  // namespace dappletiller::membership
