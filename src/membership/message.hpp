// The words of the view between processes, apart from any encoding (`codec` has that).
#ifndef DAPPLETILLER_MEMBERSHIP_MESSAGE_HPP_
#define DAPPLETILLER_MEMBERSHIP_MESSAGE_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace dappletiller::membership {

constexpr std::uint32_t kProtocol = 1;
constexpr std::size_t kLongestName = 64;
constexpr std::size_t kMostAttributes = 8;
constexpr std::size_t kLongestKey = 24;
constexpr std::size_t kLongestValue = 96;

enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
std::string_view Word(State state);

struct Attribute {  // something versioned that a member tells of itself
  std::string key;
  std::uint64_t version = 0;
  std::string value;
  bool operator==(const Attribute&) const = default;
};

struct Record {  // what is told of a member
  std::string name;
  std::uint64_t boot = 0;         // which start of that name; a later one replaces an earlier one
  std::uint64_t incarnation = 0;  // raised by the member itself to answer a suspicion
  State state = State::kAlive;
  std::string address;  // "a.b.c.d:port"; not told with suspicions and deaths
  std::string zone;
  std::string program;
  std::uint32_t protocol = kProtocol;
  std::string accuser;  // of a suspicion: who says so
  std::vector<Attribute> attributes;
  bool operator==(const Record&) const = default;
};

enum class Kind : std::uint8_t {
  kPing = 1,
  kAck,
  kAskFor,  // please ping `target` for me
  kNack,    // I did, and had no answer
  kGossip,
  kSyncAsk,  // whole views, over a stream
  kSyncAnswer,
  kOther  // of another part of the program: `topic` and `body`
};

struct Message {
  Kind kind = Kind::kGossip;
  Record from;  // the sender, by its own word
  std::string to;
  std::uint64_t to_boot = 0;
  std::uint64_t number = 0;    // counts all that the sender has sent since its start
  std::uint64_t sequence = 0;  // of a question and its answer; not to be guessed
  std::uint64_t digest = 0;    // of whom the sender sees living, itself included; 0: not told
  std::string target;          // kAskFor: whom; kAck: who answered, if not the sender
  std::string target_address;
  std::vector<Record> updates;
  std::string topic;
  std::string body;
};

// No less than what the codec makes of it, in bytes.
std::size_t SizeOf(const Record& record);
std::size_t SizeOf(const Message& message);
// Whether names, addresses and lengths are such as this program sends.
bool WellFormed(const Record& record);
bool WellFormed(const Message& message);

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_MESSAGE_HPP_
