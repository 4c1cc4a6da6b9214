#include "config_feed/snapshot_admission.hpp"

#include <algorithm>

namespace dappletiller::config_feed {
namespace {

constexpr double kSmoothing = 0.1;

}  // namespace

Micros SnapshotAdmission::Admit(const std::string& follower, Micros now) {
  auto holder = holders_.find(follower);
  if (holder == holders_.end()) {
    const Micros retry_after = WaitForSlot(follower, now);
    if (retry_after > 0) return retry_after;
    holder = holders_.emplace(follower, Holder{now, now}).first;
  }
  holder->second.until = now + kSlotTimeout;
  max_slots_in_use_ = std::max(max_slots_in_use_, holders_.size());
  return 0;
}

bool SnapshotAdmission::HasFreeSlot(Micros now) {
  if (holders_.size() >= slots_) {
    std::erase_if(holders_, [now](const auto& holder) { return holder.second.until <= now; });
  }
  return holders_.size() < slots_;
}

Micros SnapshotAdmission::WaitForSlot(const std::string& follower, Micros now) {
  const bool has_free_slot = HasFreeSlot(now);
  auto turn = turns_.find(follower);
  if (turn == turns_.end()) {
    if (has_free_slot && last_turn_ <= now) return 0;
    if (turns_.size() >= kMaxTurns) {
      std::erase_if(turns_, [now](const auto& each) { return each.second + kSlotTimeout <= now; });
    }
    if (turns_.size() >= kMaxTurns) return kMaxRetryAfter;
    const auto interval = static_cast<Micros>(usual_time_ / static_cast<double>(slots_)) + 1;
    last_turn_ = std::max(last_turn_, now) + interval;
    turn = turns_.emplace(follower, last_turn_).first;
  }
  if (has_free_slot && turn->second <= now) {
    turns_.erase(turn);
    return 0;
  }
  return std::clamp(turn->second - now, kMinRetryAfter, kMaxRetryAfter);
}

void SnapshotAdmission::Release(const std::string& follower, Micros now) {
  auto holder = holders_.find(follower);
  if (holder == holders_.end()) return;
  const auto took = static_cast<double>(now - holder->second.since);
  usual_time_ += kSmoothing * (took - usual_time_);
  holders_.erase(holder);
}

}  // namespace dappletiller::config_feed
