// What others say about members, this process included. Gossip alone makes nobody a member and nobody dead:
// it decides whom to probe. It does spread suspicions, refutations and attributes of members that are known.
#ifndef DAPPLETILLER_MEMBERSHIP_GOSSIP_HANDLER_HPP_
#define DAPPLETILLER_MEMBERSHIP_GOSSIP_HANDLER_HPP_

#include <cstdint>
#include <string>

#include "membership/claim_verifier.hpp"
#include "membership/failure_detector.hpp"
#include "membership/member_transitions.hpp"
#include "membership/name_conflict.hpp"

namespace dappletiller::membership {

class GossipHandler {
 public:
  // All must outlive it.
  GossipHandler(ProtocolState& state, MemberTransitions& transitions, FailureDetector& detector,
                ClaimVerifier& verifier, NameConflict& name_conflict)
      : state_(state),
        transitions_(transitions),
        detector_(detector),
        verifier_(verifier),
        name_conflict_(name_conflict) {}

  // `sender` says `record`.
  void OnGossip(TimePoint now, const std::string& sender, const MemberRecord& record);
  // The operator's leave: from here on accusations of this process are not refuted.
  void StopRefuting() { refutes_ = false; }

 private:
  // An incarnation may rise by so much on another's word.
  static constexpr std::uint64_t kMaxIncarnationStep = 64;

  void OnGossipAboutSelf(TimePoint now, const std::string& sender, const MemberRecord& record);
  void OnGossipAboutThisStart(const MemberRecord& record);
  void OnUnknownMember(TimePoint now, const std::string& sender, const MemberRecord& record);
  void OnAlive(TimePoint now, const MemberRecord& record, Member* member);
  void OnLeft(TimePoint now, const MemberRecord& record, Member* member);
  void OnAccusation(TimePoint now, const std::string& sender, const MemberRecord& record, Member* member);
  bool IsCredible(TimePoint now, const std::string& accuser, const Member& accused);
  // Whether a suspicion, death or leave is about the incarnation that is known, or a slightly later one.
  bool IsCurrentClaim(const MemberRecord& record, const Member& member);
  static bool IsTooFarAhead(const MemberRecord& record, std::uint64_t known_incarnation);

  ProtocolState& state_;
  MemberTransitions& transitions_;
  FailureDetector& detector_;
  ClaimVerifier& verifier_;
  NameConflict& name_conflict_;
  bool refutes_ = true;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_GOSSIP_HANDLER_HPP_
