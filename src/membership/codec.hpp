// Encodes and decodes messages: two magic bytes, the protocol version, a keyed MAC over the head and the
// body, then protobuf (fleet.proto). The MAC (HMAC-SHA512-256 of libsodium, RFC 2104) is checked before
// parsing, so that only holders of a key reach the parser. Does no I/O.
//
// Two keys may be accepted during a key rotation; the first one signs. Without keys the MAC uses an all-zero
// key: it then detects corruption only, and the program binds to loopback only.
#ifndef DAPPLETILLER_MEMBERSHIP_CODEC_HPP_
#define DAPPLETILLER_MEMBERSHIP_CODEC_HPP_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "membership/message.hpp"

namespace dappletiller::membership {

using Key = std::array<unsigned char, 32>;
constexpr std::size_t kMaxKeys = 2;

// Why a datagram is not a valid message of this fleet.
enum class DecodeError {
  kTruncated,  // shorter than head and MAC
  kForeign,    // other magic bytes: some other protocol
  kVersion,    // another version of this protocol
  kForged,     // the MAC matches no accepted key
  kMalformed,  // not protobuf, or outside the bounds of message.hpp
  kFleet       // of a fleet with another name
};
// The name of this error in the console's counters.
std::string_view ToString(DecodeError error);

class Codec {
 public:
  // `keys`: at most kMaxKeys; the first one signs, each is accepted. Throws std::runtime_error if libsodium
  // can't be initialised.
  Codec(std::string fleet, std::vector<Key> keys);

  std::string Encode(const Message& message) const;
  // Never throws.
  Result<Message, DecodeError> Decode(std::string_view bytes) const;
  // Decodes the part after the MAC, for callers that have checked it (the fuzz target).
  Result<Message, DecodeError> DecodeBody(std::string_view body) const;
  void SetKeys(std::vector<Key> keys);

 private:
  std::string fleet_;
  std::vector<Key> keys_;
};

// An invalid key file; a one-line description that never contains a key.
struct KeyFileError {
  std::string message;
};
// Reads a key file: one or two lines of 64 hexadecimal digits; blank lines and those with # are skipped.
Result<std::vector<Key>, KeyFileError> ParseKeys(std::string_view text);
// A new random key as 64 hexadecimal digits. Throws std::runtime_error if libsodium can't be initialised.
std::string GenerateKey();

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_CODEC_HPP_
