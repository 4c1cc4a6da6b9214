// State transitions of members, and the updates that they disseminate.
#ifndef DAPPLETILLER_MEMBERSHIP_MEMBER_TRANSITIONS_HPP_
#define DAPPLETILLER_MEMBERSHIP_MEMBER_TRANSITIONS_HPP_

#include <cstdint>
#include <string>

#include "membership/anti_entropy.hpp"
#include "membership/protocol_state.hpp"

namespace dappletiller::membership {

class MemberTransitions {
 public:
  static constexpr int kMaxConfirmations =
      3;  // accusers after the first that shorten a suspicion (Lifeguard)
  static constexpr Duration kMinDeadRetryInterval = std::chrono::seconds(1);

  // Both must outlive this object.
  MemberTransitions(ProtocolState& state, AntiEntropy& anti_entropy)
      : state_(state), anti_entropy_(anti_entropy) {}

  // A member answered a probe of this process or of a helper, so its own statements are accepted.
  void ConfirmAlive(TimePoint now, const MemberRecord& record);
  // `accuser` reports that a living member does not answer.
  void Suspect(TimePoint now, const std::string& accuser, Member* member);
  // Another member reports that it left; own probes decide within a short suspicion.
  void SuspectLeft(TimePoint now, std::uint64_t incarnation, Member* member);
  void MarkAlive(TimePoint now, const char* why, Member* member);
  void MarkDead(TimePoint now, Member* member);
  void MarkLeft(TimePoint now, std::uint64_t incarnation, const char* why, Member* member);
  // Whether any member has been confirmed since startup or ForgetJoin.
  bool joined() const { return joined_; }
  void ForgetJoin() { joined_ = false; }

 private:
  void SetState(TimePoint now, MemberState state, EventKind event, std::string detail, Member* member);
  void Join(TimePoint now, const MemberRecord& record);
  void Restart(TimePoint now, const MemberRecord& record, Member* member);
  void TakeOver(TimePoint now, const MemberRecord& record, Member* member);
  // Forgets the member that has been dead or left for the longest time; false if the table stays full.
  bool MakeRoom(TimePoint now);

  ProtocolState& state_;
  AntiEntropy& anti_entropy_;
  bool joined_ = false;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_MEMBER_TRANSITIONS_HPP_
