#include "membership/claim_verifier.hpp"

#include <algorithm>
#include <utility>

namespace dappletiller::membership {

void ClaimVerifier::Enqueue(TimePoint now, const MemberRecord& claim) {
  if (claim.address.empty() || claim.address == state_.self.address) return;
  std::string key = claim.name + " " + claim.address;
  auto probed = probed_at_.find(key);
  if (probed != probed_at_.end() && now < probed->second + kRepeatInterval) return;
  if (probed_at_.size() >= kMaxClaims || queue_.size() >= kMaxClaims) {
    ++state_.counters.full;
    return;
  }
  probed_at_[std::move(key)] = now;
  queue_.push_back({claim, 0, TimePoint{}});
}

void ClaimVerifier::RetryLater(TimePoint now, const Probe& failed) {
  if (failed.attempts >= kMaxAttempts) return;
  if (failed.address.empty() || failed.address == state_.self.address) return;
  Claim claim;
  claim.record.name = failed.name;
  claim.record.address = failed.address;
  claim.record.boot = failed.boot;
  claim.attempts = failed.attempts + 1;
  claim.not_before = now + (1 << failed.attempts) * state_.settings.min_probe_timeout;
  queue_.push_back(std::move(claim));
}

void ClaimVerifier::Run(TimePoint now) {
  constexpr std::size_t kMaxLookedAt = 4 * static_cast<std::size_t>(kMaxPerTick);
  std::size_t remaining = std::min(queue_.size(), kMaxLookedAt);
  for (int probed = 0; remaining > 0 && probed < kMaxPerTick; --remaining) {
    Claim claim = std::move(queue_.front());
    queue_.pop_front();
    if (now < claim.not_before) {
      queue_.push_back(std::move(claim));
      continue;
    }
    if (IsKnown(claim.record)) continue;
    StartProbe(now, claim);
    ++probed;
  }
}

bool ClaimVerifier::IsKnown(const MemberRecord& claim) const {
  const Member* member = state_.members.Find(claim.name);
  return member != nullptr && member->record.boot >= claim.boot &&
         member->record.state == MemberState::kAlive && member->record.incarnation >= claim.incarnation;
}

void ClaimVerifier::StartProbe(TimePoint now, const Claim& claim) {
  // Addressed to any boot of the member; the claimed boot is kept for another attempt.
  Probe* probe =
      prober_.Start(now, ProbePurpose::kVerification, {claim.record.name, claim.record.address, 0});
  if (probe == nullptr) return;
  probe->attempts = claim.attempts;
  probe->boot = claim.record.boot;
}

void ClaimVerifier::ForgetOldClaims(TimePoint now) {
  std::erase_if(probed_at_, [now](const auto& entry) { return now > entry.second + kRepeatInterval; });
}

}  // namespace dappletiller::membership
