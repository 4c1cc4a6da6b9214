// What members tell one another, apart from any encoding (codec.hpp has that): SWIM's messages, and the
// records of members that they carry.
#ifndef DAPPLETILLER_MEMBERSHIP_MESSAGE_HPP_
#define DAPPLETILLER_MEMBERSHIP_MESSAGE_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dappletiller::membership {

constexpr std::uint32_t kProtocolVersion = 1;
constexpr std::size_t kMaxNameLength = 64;     // bytes of a member's or zone's name
constexpr std::size_t kMaxAddressLength = 32;  // bytes of "a.b.c.d:port", and of a program's version
constexpr std::size_t kMaxAttributes = 8;      // that one member publishes
constexpr std::size_t kMaxKeyLength = 24;      // bytes of an attribute's key, and of a topic
constexpr std::size_t kMaxValueLength = 96;    // bytes of an attribute's value

enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
// "alive", "suspect", "dead" or "left".
std::string_view ToString(MemberState state);
// Whether a member in this state counts as running: alive or suspect.
bool IsLiving(MemberState state);

// A versioned value that a member publishes about itself.
struct Attribute {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
  bool operator==(const Attribute&) const = default;
};

// What is said about a member, by itself or by another.
struct MemberRecord {
  std::string name;
  std::uint64_t boot = 0;         // which start of that name; a later one replaces an earlier one
  std::uint64_t incarnation = 0;  // raised by the member itself to refute a suspicion (SWIM, 4.2)
  MemberState state = MemberState::kAlive;
  std::string address;  // "a.b.c.d:port"; left out of suspicions and deaths
  std::string zone;
  std::string program;  // version of the program
  std::uint32_t protocol = kProtocolVersion;
  std::string accuser;  // of a suspicion or death: the member that says so
  std::vector<Attribute> attributes;
  bool operator==(const MemberRecord&) const = default;
};

// The numbers are part of the wire format.
enum class MessageKind : std::uint8_t {
  kPing = 1,
  kAck = 2,
  kPingRequest = 3,    // asks the recipient to ping `target` (SWIM's ping-req)
  kNack = 4,           // the pinged target did not answer the helper in time (Lifeguard)
  kGossip = 5,         // carries updates only
  kStateRequest = 6,   // full state exchange, over a stream
  kStateResponse = 7,  // the response, on the same stream
  kApplication = 8     // for another part of the program: `topic` and `body`
};

struct Message {
  MessageKind kind = MessageKind::kGossip;
  MemberRecord sender;  // as stated by the sender itself
  std::string recipient;
  std::uint64_t recipient_boot = 0;  // 0: any boot of the recipient
  std::uint64_t number = 0;          // counts the sender's messages since its start
  std::uint64_t sequence = 0;        // matches an answer to its probe; unpredictable
  std::uint64_t digest = 0;          // of the living members as seen by the sender, including itself; 0: none
  std::string target;  // kPingRequest: the member to ping; kAck: the member that answered, if not the sender
  std::string target_address;
  std::vector<MemberRecord> updates;
  std::string topic;
  std::string body;
};

// Upper bounds of the encoded size, in bytes.
std::size_t EncodedSizeBound(const MemberRecord& record);
std::size_t EncodedSizeBound(const Message& message);

// Whether names, addresses, lengths and enumerators are within the bounds above.
bool IsWellFormed(const MemberRecord& record);
bool IsWellFormed(const Message& message);

// Larger boots and incarnations are rejected, so that a faulty member cannot exhaust the range.
constexpr std::uint64_t kMaxCounter = 1ULL << 62;
// Whether boot and incarnation are below kMaxCounter.
bool HasPlausibleCounters(const MemberRecord& record);

// A record with only the state of `record`'s member and who claims it.
MemberRecord MakeClaim(const MemberRecord& record, MemberState state, const std::string& accuser);

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_MESSAGE_HPP_
