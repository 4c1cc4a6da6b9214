// Claims by others that a member runs somewhere: none is believed until that member answers a probe of our
// own.
//
// Owns the queue of claims to be verified and remembers which addresses were probed lately, both bounded.
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

  // Both must outlive it.
  ClaimVerifier(ProtocolState& state, Prober& prober) : state_(state), prober_(prober) {}

  // Queues a claim, unless its member was probed at that address within kRepeatInterval.
  void Enqueue(TimePoint now, const MemberRecord& claim);
  // Queues it once more after a probe that failed: with a back-off that doubles, up to kMaxAttempts times.
  void RetryLater(TimePoint now, const Probe& failed);
  // Probes what is queued and due, at most kMaxPerTick.
  void Run(TimePoint now);
  // Drops what is no longer needed to tell repeated claims.
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
