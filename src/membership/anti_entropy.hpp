// Full state exchange (push-pull anti-entropy, Demers et al. 1987): gossip may miss a member, and then two
// tables differ for good. Exchanges whole tables with one member now and then, and soon with one whose digest
// keeps differing from ours; the more seldom the larger the fleet is.
#ifndef DAPPLETILLER_MEMBERSHIP_ANTI_ENTROPY_HPP_
#define DAPPLETILLER_MEMBERSHIP_ANTI_ENTROPY_HPP_

#include <string>

#include "membership/transmitter.hpp"

namespace dappletiller::membership {

class AntiEntropy {
 public:
  // Both must outlive it.
  AntiEntropy(ProtocolState& state, Transmitter& transmitter) : state_(state), transmitter_(transmitter) {}

  void Start(TimePoint now);
  // Compares the digest that a member sent with ours; asks for an exchange with it if they differ for long.
  void ReconcileWith(TimePoint now, const Message& message);
  // An exchange with this member as soon as kMinInterval allows.
  void RequestExchangeWith(const std::string& name) { requested_with_ = name; }
  // Begins an exchange if one is due.
  void Run(TimePoint now);
  // What is due already happens at `now`, not several times over, after this process stood still.
  void Postpone(TimePoint now);
  // All that this process knows of other members.
  Message MakeStateMessage(MessageKind kind) const;

 private:
  static constexpr Duration kMinInterval = std::chrono::seconds(1);
  static constexpr Duration kMaxDifference = std::chrono::seconds(2);  // tables may differ for so long
  // Between exchanges because of a difference, for each living member.
  static constexpr Duration kIntervalPerMember = std::chrono::milliseconds(50);

  void BeginExchange(TimePoint now, const Member& member);

  ProtocolState& state_;
  Transmitter& transmitter_;
  TimePoint next_exchange_;
  TimePoint last_exchange_;
  TimePoint differs_since_;     // epoch: the last digest that came was ours
  std::string requested_with_;  // empty: none is requested
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_ANTI_ENTROPY_HPP_
