#include "membership/broadcast_queue.hpp"

#include <vector>

namespace dappletiller::membership {
namespace {

bool IsAccusation(const MemberRecord& record) {
  return record.state == MemberState::kSuspect || record.state == MemberState::kDead;
}

std::string KeyOf(const MemberRecord& record) {
  return IsAccusation(record) ? record.name + " " + record.accuser : record.name;
}

bool SaysTheSame(const MemberRecord& one, const MemberRecord& other) {
  return one.boot == other.boot && one.incarnation == other.incarnation && one.state == other.state;
}

}  // namespace

void BroadcastQueue::Enqueue(const MemberRecord& record) {
  if (!IsAccusation(record)) {
    auto accusation = updates_.lower_bound(record.name + " ");
    while (accusation != updates_.end() && accusation->second.record.name == record.name) {
      accusation = Retire(accusation);
    }
  }
  auto it = updates_.try_emplace(KeyOf(record)).first;
  PendingUpdate& update = it->second;
  by_priority_.erase(PriorityOf(update));
  update.record = record;
  update.transmissions = 0;
  update.sender_groups = 0;
  update.age = ++last_age_;
  by_priority_[PriorityOf(update)] = it;
}

BroadcastQueue::Updates::iterator BroadcastQueue::Retire(Updates::iterator update) {
  by_priority_.erase(PriorityOf(update->second));
  return updates_.erase(update);
}

void BroadcastQueue::CountTransmission(Updates::iterator update, int max_transmissions) {
  by_priority_.erase(PriorityOf(update->second));
  ++update->second.transmissions;
  by_priority_[PriorityOf(update->second)] = update;
  if (update->second.transmissions >= max_transmissions) Retire(update);
}

void BroadcastQueue::NoteReceived(const MemberRecord& record, std::uint64_t sender_group,
                                  int max_transmissions) {
  auto it = updates_.find(KeyOf(record));
  if (it == updates_.end()) return;
  PendingUpdate& update = it->second;
  if (!SaysTheSame(update.record, record) || (update.sender_groups & sender_group) != 0) return;
  update.sender_groups |= sender_group;
  CountTransmission(it, max_transmissions);
}

void BroadcastQueue::Piggyback(std::size_t reserved_size, std::size_t max_size, int max_transmissions,
                               Message* message) {
  std::vector<Updates::iterator> candidates;
  for (const auto& [priority, update] : by_priority_) {
    if (candidates.size() == kMaxCandidates) break;
    candidates.push_back(update);
  }
  std::size_t size = EncodedSizeBound(*message) + reserved_size;
  for (auto update : candidates) {
    const std::size_t added = EncodedSizeBound(update->second.record);
    if (size + added > max_size) continue;
    size += added;
    message->updates.push_back(update->second.record);
    CountTransmission(update, max_transmissions);
  }
}

void BroadcastQueue::Clear() {
  updates_.clear();
  by_priority_.clear();
}

}  // namespace dappletiller::membership
