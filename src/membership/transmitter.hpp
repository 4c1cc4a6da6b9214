// Stamps messages with what every message carries and collects them for the transport.
#ifndef DAPPLETILLER_MEMBERSHIP_TRANSMITTER_HPP_
#define DAPPLETILLER_MEMBERSHIP_TRANSMITTER_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "membership/protocol_state.hpp"

namespace dappletiller::membership {

// A message that the transport is to send at once.
struct Outgoing {
  std::string address;  // as advertised by the recipient
  Message message;
  bool over_stream = false;  // over a connection, on which the response comes back
};

class Transmitter {
 public:
  // `state` must outlive it.
  explicit Transmitter(ProtocolState& state) : state_(state) {}

  // An empty `recipient`, or a boot of 0: whoever is there.
  void Send(const std::string& address, const std::string& recipient, std::uint64_t recipient_boot,
            Message message);
  void SendTo(const Member& member, Message message);
  // Adds pending updates to `message`, as far as a datagram has room for them.
  void PiggybackUpdates(Message* message);
  // A message of `kind`, filled in as far as all messages are the same.
  Message Make(MessageKind kind) const;
  // Fills in sender, recipient and number, and counts the message's bytes as sent.
  void Stamp(const std::string& recipient, std::uint64_t recipient_boot, Message* message);

  // All that was sent since the last call, in order.
  std::vector<Outgoing> TakeOutgoing();

 private:
  ProtocolState& state_;
  std::uint64_t last_number_ = 0;
  std::vector<Outgoing> outgoing_;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_TRANSMITTER_HPP_
