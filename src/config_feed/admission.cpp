#include "config_feed/admission.hpp"

#include <algorithm>

namespace dappletiller::feed {
namespace {

constexpr double kSmooth = 0.1;
constexpr std::size_t kMostWaiting = 8192;  // turns kept; beyond it the pause is the longest

}  // namespace

Admission::Micros Admission::Enter(const std::string& who, Micros now) {
  auto it = holders_.find(who);
  if (it == holders_.end()) {
    if (Micros retry = Wait(who, now); retry > 0) return retry;
    it = holders_.emplace(who, Holder{now, now}).first;
  }
  it->second.until = now + kPlaceTime;
  most_held_ = std::max(most_held_, holders_.size());
  return 0;
}

Admission::Micros Admission::Wait(const std::string& who, Micros now) {
  if (holders_.size() >= places_) {
    // At most places_ to look at, and only when there is none.
    std::erase_if(holders_, [now](const auto& held) { return held.second.until <= now; });
  }
  bool free = holders_.size() < places_;
  auto turn = turns_.find(who);
  if (turn == turns_.end()) {
    if (free && last_turn_ <= now) return 0;
    if (turns_.size() >= kMostWaiting)
      std::erase_if(turns_, [now](const auto& t) { return t.second + kPlaceTime <= now; });
    if (turns_.size() >= kMostWaiting) return kMostRetry;
    last_turn_ = std::max(last_turn_, now) + static_cast<Micros>(usual_ / static_cast<double>(places_)) + 1;
    turn = turns_.emplace(who, last_turn_).first;
  }
  if (free && turn->second <= now) {
    turns_.erase(turn);
    return 0;
  }
  return std::clamp(turn->second - now, kLeastRetry, kMostRetry);
}

void Admission::Leave(const std::string& who, Micros now) {
  auto it = holders_.find(who);
  if (it == holders_.end()) return;
  usual_ += kSmooth * (static_cast<double>(now - it->second.since) - usual_);
  holders_.erase(it);
}

}  // namespace dappletiller::feed
