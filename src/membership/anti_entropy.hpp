// Full state exchange (push-pull anti-entropy, Demers et al. 1987). Gossip may miss a member, after which two
// tables would differ permanently. Exchanges whole tables with one member periodically, and sooner with one
// whose digest differs for long; less often in larger fleets.
#ifndef DAPPLETILLER_MEMBERSHIP_ANTI_ENTROPY_HPP_
#define DAPPLETILLER_MEMBERSHIP_ANTI_ENTROPY_HPP_

#include <string>

#include "membership/transmitter.hpp"

namespace dappletiller::membership {

class AntiEntropy {
 public:
  // Both must outlive this object.
  AntiEntropy(ProtocolState& state, Transmitter& transmitter) : state_(state), transmitter_(transmitter) {}

  void Start(TimePoint now);
  // Compares a member's digest with the own one; requests an exchange if they differ for long.
  void ReconcileWith(TimePoint now, const Message& message);
  // Requests an exchange with this member as soon as kMinInterval permits.
  void RequestExchangeWith(const std::string& name) { requested_with_ = name; }
  // Begins an exchange if one is due.
  void Run(TimePoint now);
  // After this process was paused: work that is overdue happens once at `now`.
  void Postpone(TimePoint now);
  // A message with the whole member table.
  Message MakeStateMessage(MessageKind kind) const;

 private:
  static constexpr Duration kMinInterval = std::chrono::seconds(1);
  static constexpr Duration kMaxDifference = std::chrono::seconds(2);  // maximum time that tables may differ
  // Interval between exchanges caused by differences, per living member.
  static constexpr Duration kIntervalPerMember = std::chrono::milliseconds(50);

  void BeginExchange(TimePoint now, const Member& member);

  ProtocolState& state_;
  Transmitter& transmitter_;
  TimePoint next_exchange_;
  TimePoint last_exchange_;
  TimePoint differs_since_;     // epoch: the last received digest was equal
  std::string requested_with_;  // empty: none is requested
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_ANTI_ENTROPY_HPP_
