// Fills in the common fields of messages and collects them for the transport.
#ifndef DAPPLETILLER_MEMBERSHIP_TRANSMITTER_HPP_
#define DAPPLETILLER_MEMBERSHIP_TRANSMITTER_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "membership/protocol_state.hpp"

namespace dappletiller::membership {

// A message to be sent by the transport.
struct Outgoing {
  std::string address;  // as advertised by the recipient
  Message message;
  bool over_stream = false;  // over a connection, which also carries the response
};

class Transmitter {
 public:
  // `state` must outlive this object.
  explicit Transmitter(ProtocolState& state) : state_(state) {}

  // An empty `recipient` or a boot of 0 means any process at the address.
  void Send(const std::string& address, const std::string& recipient, std::uint64_t recipient_boot,
            Message message);
  void SendTo(const Member& member, Message message);
  // Adds pending updates to `message` up to the size of a datagram.
  void PiggybackUpdates(Message* message);
  // Creates a message of `kind` with the common fields.
  Message Make(MessageKind kind) const;
  // Fills in sender, recipient and number, and counts the message's bytes as sent.
  void Stamp(const std::string& recipient, std::uint64_t recipient_boot, Message* message);

  // The messages collected since the last call, in order.
  std::vector<Outgoing> TakeOutgoing();

 private:
  ProtocolState& state_;
  std::uint64_t last_number_ = 0;
  std::vector<Outgoing> outgoing_;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_TRANSMITTER_HPP_
