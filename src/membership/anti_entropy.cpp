#include "membership/anti_entropy.hpp"

#include <algorithm>
#include <utility>

namespace dappletiller::membership {

void AntiEntropy::Start(TimePoint now) {
  const Duration interval = state_.settings.full_exchange_interval;
  next_exchange_ = now + interval / 2 + state_.RandomBelow(interval);
}

void AntiEntropy::ReconcileWith(TimePoint now, const Message& message) {
  if (message.digest == 0 || message.digest == state_.Digest()) {
    differs_since_ = TimePoint{};
    return;
  }
  if (differs_since_ == TimePoint{}) differs_since_ = now;
  const Duration fleet_interval = static_cast<Micros>(state_.members.living()) * kIntervalPerMember;
  const Duration interval = std::max(kMaxDifference, fleet_interval);
  const bool differs_for_long = now >= differs_since_ + kMaxDifference;
  if (differs_for_long && now >= last_exchange_ + interval) requested_with_ = message.sender.name;
}

void AntiEntropy::Run(TimePoint now) {
  if (!requested_with_.empty() && now >= last_exchange_ + kMinInterval) {
    const Member* member = state_.members.Find(std::exchange(requested_with_, {}));
    if (member != nullptr && IsLiving(member->record.state)) {
      BeginExchange(now, *member);
      return;
    }
  }
  if (now < next_exchange_) return;
  const Duration interval = state_.settings.full_exchange_interval;
  const Duration jitter = state_.RandomBelow(interval / 4 + Duration(1));
  next_exchange_ = now + interval - interval / 8 + jitter;
  const auto picked = state_.probe_order.PickAlive(1);
  if (!picked.empty()) BeginExchange(now, *picked.front());
}

void AntiEntropy::Postpone(TimePoint now) { next_exchange_ = std::max(next_exchange_, now); }

void AntiEntropy::BeginExchange(TimePoint now, const Member& member) {
  last_exchange_ = now;
  ++state_.counters.full_exchanges;
  transmitter_.SendTo(member, MakeStateMessage(MessageKind::kStateRequest));
}

Message AntiEntropy::MakeStateMessage(MessageKind kind) const {
  Message message;
  message.kind = kind;
  for (const auto& [name, member] : state_.members.members()) {
    MemberRecord record = member.record;
    const bool accused = record.state == MemberState::kSuspect || record.state == MemberState::kDead;
    if (accused) record.accuser = state_.self.name;
    message.updates.push_back(std::move(record));
  }
  return message;
}

}  // namespace dappletiller::membership
