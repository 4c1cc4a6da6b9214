// Handles gossip about members, including this process. Gossip alone neither adds members nor declares them
// dead: it determines which members to probe. It spreads suspicions, refutations and attributes of known
// members.
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
  // All must outlive this object.
  GossipHandler(ProtocolState& state, MemberTransitions& transitions, FailureDetector& detector,
                ClaimVerifier& verifier, NameConflict& name_conflict)
      : state_(state),
        transitions_(transitions),
        detector_(detector),
        verifier_(verifier),
        name_conflict_(name_conflict) {}

  // Handles `record`, received from `sender`.
  void OnGossip(TimePoint now, const std::string& sender, const MemberRecord& record);
  // After an operator's leave: accusations of this process are no longer refuted.
  void StopRefuting() { refutes_ = false; }

 private:
  // Maximum increase of an incarnation by another member's claim.
  static constexpr std::uint64_t kMaxIncarnationStep = 64;

  void OnGossipAboutSelf(TimePoint now, const std::string& sender, const MemberRecord& record);
  void OnGossipAboutThisStart(const MemberRecord& record);
  void OnUnknownMember(TimePoint now, const std::string& sender, const MemberRecord& record);
  void OnAlive(TimePoint now, const MemberRecord& record, Member* member);
  void OnLeft(TimePoint now, const MemberRecord& record, Member* member);
  void OnAccusation(TimePoint now, const std::string& sender, const MemberRecord& record, Member* member);
  bool IsCredible(TimePoint now, const std::string& accuser, const Member& accused);
  // Whether a suspicion, death or leave concerns the known incarnation or a slightly later one.
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
