#include "membership/transmitter.hpp"

#include <utility>

namespace dappletiller::membership {
namespace {

// Reserved for the recipient's name, which is filled in after the updates.
constexpr std::size_t kRecipientSize = kMaxNameLength + 3;

bool CarriesDigest(MessageKind kind) { return kind == MessageKind::kPing || kind == MessageKind::kAck; }

}  // namespace

Message Transmitter::Make(MessageKind kind) const {
  Message message;
  message.kind = kind;
  message.sender = state_.self;
  return message;
}

void Transmitter::Stamp(const std::string& recipient, std::uint64_t recipient_boot, Message* message) {
  message->sender = state_.self;
  message->recipient = recipient;
  message->recipient_boot = recipient_boot;
  message->number = ++last_number_;
  state_.counters.sent_bytes += EncodedSizeBound(*message);
}

void Transmitter::Send(const std::string& address, const std::string& recipient, std::uint64_t recipient_boot,
                       Message message) {
  message.digest = CarriesDigest(message.kind) ? state_.Digest() : 0;
  Stamp(recipient, recipient_boot, &message);
  ++state_.counters.sent;
  const bool over_stream = message.kind == MessageKind::kStateRequest;
  outgoing_.push_back({address, std::move(message), over_stream});
}

void Transmitter::SendTo(const Member& member, Message message) {
  Send(member.record.address, member.record.name, member.record.boot, std::move(message));
}

void Transmitter::PiggybackUpdates(Message* message) {
  state_.broadcasts.Piggyback(kRecipientSize, state_.settings.max_datagram_size, state_.MaxTransmissions(),
                              message);
}

std::vector<Outgoing> Transmitter::TakeOutgoing() { return std::exchange(outgoing_, {}); }

}  // namespace dappletiller::membership
