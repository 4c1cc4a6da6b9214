// Verifies claims by others that a member runs at an address: a claim is accepted only when that member
// answers a probe of this process. Owns the queue of claims and the addresses that were probed recently, both
// bounded.
#ifndef DAPPLETILLER_MEMBERSHIP_CLAIM_VERIFIER_HPP_
#define DAPPLETILLER_MEMBERSHIP_CLAIM_VERIFIER_HPP_

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "membership/prober.hpp"

namespace dappletiller::membership {

class ClaimVerifier {
 public:
  static constexpr int kMaxAttempts = 5;  // probes after the first

  // Both must outlive this object.
  ClaimVerifier(ProtocolState& state, Prober& prober) : state_(state), prober_(prober) {}

  // Queues a claim, unless its member was probed at that address within kRepeatInterval.
  void Enqueue(TimePoint now, const MemberRecord& claim);
  // Queues a claim again after a failed probe, with exponential backoff, up to kMaxAttempts times.
  void RetryLater(TimePoint now, const Probe& failed);
  // Probes queued claims that are due, at most kMaxPerTick.
  void Run(TimePoint now);
  // Drops records that are no longer needed to recognize repeated claims.
  void ForgetOldClaims(TimePoint now);

 private:
  static constexpr Duration kRepeatInterval = std::chrono::seconds(2);
  static constexpr std::size_t kMaxClaims = 4096;
  static constexpr int kMaxPerTick = 64;

  struct Claim {
    MemberRecord record;
    int attempts = 0;
    TimePoint not_before;
  };

  bool IsKnown(const MemberRecord& claim) const;
  void StartProbe(TimePoint now, const Claim& claim);

  ProtocolState& state_;
  Prober& prober_;
  std::deque<Claim> queue_;
  std::map<std::string, TimePoint> probed_at_;  // by "name address"
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_CLAIM_VERIFIER_HPP_
