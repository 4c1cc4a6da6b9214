#include "membership/member_transitions.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace dappletiller::membership {

void MemberTransitions::SetState(TimePoint now, MemberState state, EventKind event, std::string detail,
                                 Member* member) {
  state_.members.SetState(now, state, member);
  state_.events.Add(now, event, member->record.name, std::move(detail));
}

void MemberTransitions::ConfirmAlive(TimePoint now, const MemberRecord& record) {
  if (record.name == state_.self.name || record.state == MemberState::kLeft ||
      !HasPlausibleCounters(record)) {
    ++state_.counters.claims_ignored;
    return;
  }
  ++state_.counters.verified;
  Member* member = state_.members.Find(record.name);
  if (member == nullptr) {
    Join(now, record);
    return;
  }
  member->last_heard = now;
  if (record.boot < member->record.boot) {
    ++state_.counters.stale;
  } else if (record.boot > member->record.boot) {
    Restart(now, record, member);
  } else if (record.address == member->record.address) {
    TakeOver(now, record, member);
  }
}

void MemberTransitions::Join(TimePoint now, const MemberRecord& record) {
  if (state_.members.size() >= state_.settings.max_members && !MakeRoom(now)) {
    ++state_.counters.full;
    return;
  }
  Member& member = state_.members.Add(record);
  member.record.state = MemberState::kAlive;
  member.record.accuser.clear();
  member.last_heard = now;
  SetState(now, MemberState::kAlive, EventKind::kJoined, "at " + record.address, &member);
  state_.probe_order.InsertAtRandom(record.name);
  state_.broadcasts.Enqueue(member.record);
  // The first member that answers knows all others.
  const bool first = !joined_ || state_.members.living() == 1;
  if (first) anti_entropy_.RequestExchangeWith(record.name);
  joined_ = true;
}

void MemberTransitions::Restart(TimePoint now, const MemberRecord& record, Member* member) {
  const MemberState before = member->record.state;
  member->record = record;
  member->record.accuser.clear();
  member->record.state = before;  // the table still counts it in this state
  member->replay_window = ReplayWindow();
  SetState(now, MemberState::kAlive, EventKind::kRestarted, "now at " + record.address, member);
  if (!IsLiving(before)) state_.probe_order.Append(record.name);
  state_.broadcasts.Enqueue(member->record);
}

// The known boot: accepts a later incarnation and later attributes; the member may be back.
void MemberTransitions::TakeOver(TimePoint now, const MemberRecord& record, Member* member) {
  const MemberState before = member->record.state;
  const bool raised = record.incarnation > member->record.incarnation;
  if (raised) member->record.incarnation = record.incarnation;
  MergeAttributes(record.attributes, std::numeric_limits<std::size_t>::max(), &member->record.attributes);

  const bool refuted = before == MemberState::kSuspect && (raised || member->suspicion.reported_left);
  const bool rejoined = before == MemberState::kLeft && raised;
  const bool resurrected = before == MemberState::kDead;
  if (!refuted && !rejoined && !resurrected) return;
  if (resurrected) {
    ++state_.counters.false_deaths;  // or there was a partition; only the events can tell
    anti_entropy_.RequestExchangeWith(record.name);
  }
  MarkAlive(now, refuted ? "answered" : "back", member);
  if (!IsLiving(before)) state_.probe_order.Append(record.name);
  state_.broadcasts.Enqueue(member->record);
}

bool MemberTransitions::MakeRoom(TimePoint now) {
  const Member* oldest = state_.members.FindLongestGone();
  if (oldest == nullptr) return false;
  const std::string name = oldest->record.name;
  state_.events.Add(now, EventKind::kForgotten, name, "no room");
  state_.members.Remove(name);
  return state_.members.size() < state_.settings.max_members;
}

void MemberTransitions::Suspect(TimePoint now, const std::string& accuser, Member* member) {
  Suspicion& suspicion = member->suspicion;
  if (member->record.state == MemberState::kAlive) {
    suspicion.started = now;
    suspicion.probes = 0;
    SetState(now, MemberState::kSuspect, EventKind::kSuspected, "by " + accuser, member);
    suspicion.accusers.insert(accuser);
  } else if (member->record.state == MemberState::kSuspect) {
    if (suspicion.accusers.size() > kMaxConfirmations) return;
    const bool added = suspicion.accusers.insert(accuser).second;
    if (!added) return;
  } else {
    return;
  }
  state_.broadcasts.Enqueue(MakeClaim(member->record, MemberState::kSuspect, accuser));
}

void MemberTransitions::SuspectLeft(TimePoint now, std::uint64_t incarnation, Member* member) {
  if (member->record.state == MemberState::kAlive) {
    SetState(now, MemberState::kSuspect, EventKind::kSuspected, "said to have left", member);
  }
  member->suspicion.started = now;
  member->suspicion.probes = 0;
  member->suspicion.reported_left = true;
  member->record.incarnation = std::max(member->record.incarnation, incarnation);
}

void MemberTransitions::MarkAlive(TimePoint now, const char* why, Member* member) {
  SetState(now, MemberState::kAlive, EventKind::kAlive, why, member);
}

void MemberTransitions::MarkDead(TimePoint now, Member* member) {
  ++state_.counters.deaths;
  for (const std::string& name : member->suspicion.accusers) {
    Member* accuser = state_.members.Find(name);
    if (accuser != nullptr) accuser->accusations.Return();  // the accusation was correct
  }
  member->retry_at = now + kMinDeadRetryInterval;
  SetState(now, MemberState::kDead, EventKind::kDied, "silent", member);
  state_.broadcasts.Enqueue(MakeClaim(member->record, MemberState::kDead, state_.self.name));
  if (state_.members.living() == 0) {
    state_.events.Add(now, EventKind::kAlone, state_.self.name, "nobody else answers");
  }
}

void MemberTransitions::MarkLeft(TimePoint now, std::uint64_t incarnation, const char* why, Member* member) {
  member->record.incarnation = std::max(member->record.incarnation, incarnation);
  SetState(now, MemberState::kLeft, EventKind::kLeft, why, member);
  state_.broadcasts.Enqueue(MakeClaim(member->record, MemberState::kLeft, {}));
}

}  // namespace dappletiller::membership
