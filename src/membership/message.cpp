#include "membership/message.hpp"

#include <algorithm>

namespace dappletiller::membership {
namespace {

constexpr std::size_t kFieldOverhead = 3;  // a tag, and a length of up to two bytes
constexpr std::size_t kNumberSize = 11;    // a tag, and a varint
constexpr std::size_t kEnvelopeSize = 48;  // head, MAC, and the tag of the fleet's name
constexpr std::size_t kRecordNumbersSize = 3 * kNumberSize + 4;

bool IsPrintable(std::string_view text, std::size_t max_length) {
  return text.size() <= max_length &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

bool IsWellFormed(const Attribute& attribute) {
  return !attribute.key.empty() && IsPrintable(attribute.key, kMaxKeyLength) &&
         attribute.value.size() <= kMaxValueLength;
}

}  // namespace

std::string_view ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      break;
  }
  return "left";
}

bool IsLiving(MemberState state) { return state == MemberState::kAlive || state == MemberState::kSuspect; }

std::size_t EncodedSizeBound(const MemberRecord& record) {
  std::size_t size = kFieldOverhead + kRecordNumbersSize;
  for (const std::string* text :
       {&record.name, &record.address, &record.zone, &record.program, &record.accuser}) {
    if (!text->empty()) size += kFieldOverhead + text->size();
  }
  for (const Attribute& attribute : record.attributes) {
    size += 3 * kFieldOverhead + kNumberSize + attribute.key.size() + attribute.value.size();
  }
  return size;
}

std::size_t EncodedSizeBound(const Message& message) {
  std::size_t size = kEnvelopeSize + kMaxNameLength + 5 * kNumberSize + EncodedSizeBound(message.sender);
  for (const std::string* text :
       {&message.recipient, &message.target, &message.target_address, &message.topic, &message.body}) {
    if (!text->empty()) size += kFieldOverhead + text->size();
  }
  for (const MemberRecord& record : message.updates) size += EncodedSizeBound(record);
  return size;
}

bool IsWellFormed(const MemberRecord& record) {
  return !record.name.empty() && IsPrintable(record.name, kMaxNameLength) &&
         IsPrintable(record.address, kMaxAddressLength) && IsPrintable(record.zone, kMaxNameLength) &&
         IsPrintable(record.program, kMaxAddressLength) && IsPrintable(record.accuser, kMaxNameLength) &&
         record.attributes.size() <= kMaxAttributes && record.state <= MemberState::kLeft &&
         std::all_of(record.attributes.begin(), record.attributes.end(),
                     [](const Attribute& attribute) { return IsWellFormed(attribute); });
}

bool IsWellFormed(const Message& message) {
  return message.kind >= MessageKind::kPing && message.kind <= MessageKind::kApplication &&
         !message.sender.address.empty() && IsWellFormed(message.sender) &&
         IsPrintable(message.recipient, kMaxNameLength) && IsPrintable(message.target, kMaxNameLength) &&
         IsPrintable(message.target_address, kMaxAddressLength) &&
         IsPrintable(message.topic, kMaxKeyLength) &&
         std::all_of(message.updates.begin(), message.updates.end(),
                     [](const MemberRecord& record) { return IsWellFormed(record); });
}

bool HasPlausibleCounters(const MemberRecord& record) {
  return record.boot < kMaxCounter && record.incarnation < kMaxCounter;
}

MemberRecord MakeClaim(const MemberRecord& record, MemberState state, const std::string& accuser) {
  MemberRecord claim;
  claim.name = record.name;
  claim.boot = record.boot;
  claim.incarnation = record.incarnation;
  claim.state = state;
  claim.accuser = accuser;
  return claim;
}

}  // namespace dappletiller::membership
