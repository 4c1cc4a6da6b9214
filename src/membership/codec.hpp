// Messages as bytes, and back: two marks, the protocol's number, a keyed MAC over all that follows and the
// head, then protobuf (fleet.proto). The MAC (HMAC-SHA512-256 of libsodium, RFC 2104) is checked before
// anything is parsed, so that only holders of a key reach the parser. Pure; never throws on bad input.
//
// Two keys may be accepted while keys change; the first one signs. With no key the MAC is made with a key
// that everybody knows: it then guards against accidents only, and the program binds nothing but loopback.
#ifndef DAPPLETILLER_MEMBERSHIP_CODEC_HPP_
#define DAPPLETILLER_MEMBERSHIP_CODEC_HPP_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/message.hpp"

namespace dappletiller::membership {

using Key = std::array<unsigned char, 32>;

enum class Refusal { kNone, kTruncated, kForeign, kVersion, kForged, kMalformed, kFleet };
std::string_view Word(Refusal refusal);

class Codec {
 public:
  // `keys`: at most two; the first one signs, each is accepted.
  Codec(std::string fleet, std::vector<Key> keys);

  std::string Encode(const Message& message) const;
  // Nothing, and why, unless it is whole, ours, of this fleet and this protocol, and well formed.
  std::optional<Message> Decode(std::string_view bytes, Refusal* why) const;
  // The part behind the MAC, for those who have checked it (and for the fuzz target).
  std::optional<Message> DecodeBody(std::string_view body, Refusal* why) const;
  void SetKeys(std::vector<Key> keys);

  // A key file: one or two lines of 64 hexadecimal digits; blank lines and those with # are passed over.
  // Nothing, and a line that says what is wrong (without the key), if it is not that.
  static std::optional<std::vector<Key>> ReadKeys(std::string_view text, std::string* error);
  static std::string NewKey();  // 64 hexadecimal digits

 private:
  std::string fleet_;
  std::vector<Key> keys_;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_CODEC_HPP_
