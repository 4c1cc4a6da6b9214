#include "membership/member_table.hpp"

#include <algorithm>

#include "membership/fingerprint.hpp"

namespace dappletiller::membership {

void MergeAttributes(const std::vector<Attribute>& from, std::size_t max_attributes,
                     std::vector<Attribute>* to) {
  for (const Attribute& attribute : from) {
    auto known = std::find_if(to->begin(), to->end(),
                              [&](const Attribute& other) { return other.key == attribute.key; });
    if (known != to->end()) {
      if (attribute.version > known->version) *known = attribute;
    } else if (to->size() < max_attributes) {
      to->push_back(attribute);
    }
  }
}

Member* MemberTable::Find(const std::string& name) {
  auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

const Member* MemberTable::Find(const std::string& name) const {
  auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

Member& MemberTable::Add(const MemberRecord& record) {
  Member& member = members_[record.name];
  member.record = record;
  return member;
}

void MemberTable::SetState(TimePoint now, MemberState state, Member* member) {
  const std::string& name = member->record.name;
  const bool counted = member->since != TimePoint{} && IsLiving(member->record.state);
  if (counted) {
    --living_;
    digest_ ^= member->fingerprint;
  }
  member->fingerprint = Fingerprint(name, member->record.boot);
  if (IsLiving(state)) {
    ++living_;
    digest_ ^= member->fingerprint;
  }
  suspects_.erase(name);
  dead_.erase(name);
  if (state == MemberState::kSuspect) suspects_.insert(name);
  if (state == MemberState::kDead) dead_.insert(name);
  member->record.state = state;
  member->since = now;
  if (state != MemberState::kSuspect) {
    member->suspicion.accusers.clear();
    member->suspicion.reported_left = false;
  }
}

void MemberTable::Remove(const std::string& name) {
  dead_.erase(name);
  members_.erase(name);
}

void MemberTable::Clear() {
  members_.clear();
  suspects_.clear();
  dead_.clear();
  living_ = 0;
  digest_ = 0;
}

const Member* MemberTable::FindLongestGone() const {
  const Member* oldest = nullptr;
  for (const auto& [name, member] : members_) {
    if (IsLiving(member.record.state)) continue;
    if (oldest == nullptr || member.since < oldest->since) oldest = &member;
  }
  return oldest;
}

bool MemberTable::HasLivingAt(const std::string& address) const {
  return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
    const MemberRecord& record = entry.second.record;
    return record.address == address && IsLiving(record.state);
  });
}

}  // namespace dappletiller::membership
