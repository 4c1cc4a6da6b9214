#include "membership/message.hpp"

#include <algorithm>

namespace dappletiller::membership {
namespace {

constexpr std::size_t kField = 3;    // a tag, and a length of up to two bytes
constexpr std::size_t kNumber = 11;  // a tag, and a varint
constexpr std::size_t kFrame = 48;   // MAC, marks, fleet's name's tag

bool Printable(std::string_view text, std::size_t most) {
  return text.size() <= most &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace

std::string_view Word(State state) {
  switch (state) {
    case State::kAlive:
      return "alive";
    case State::kSuspect:
      return "suspect";
    case State::kDead:
      return "dead";
    case State::kLeft:
      break;
  }
  return "left";
}

std::size_t SizeOf(const Record& r) {
  std::size_t size = kField + 3 * kNumber + 4;
  for (const std::string* text : {&r.name, &r.address, &r.zone, &r.program, &r.accuser}) {
    if (!text->empty()) size += kField + text->size();
  }
  for (const Attribute& a : r.attributes) size += 3 * kField + kNumber + a.key.size() + a.value.size();
  return size;
}

std::size_t SizeOf(const Message& m) {
  std::size_t size = kFrame + kLongestName + 5 * kNumber + SizeOf(m.from);
  for (const std::string* text : {&m.to, &m.target, &m.target_address, &m.topic, &m.body}) {
    if (!text->empty()) size += kField + text->size();
  }
  for (const Record& r : m.updates) size += SizeOf(r);
  return size;
}

bool WellFormed(const Record& r) {
  if (r.name.empty() || !Printable(r.name, kLongestName) || !Printable(r.address, 32) ||
      !Printable(r.zone, kLongestName) || !Printable(r.program, 32) || !Printable(r.accuser, kLongestName) ||
      r.attributes.size() > kMostAttributes || r.state > State::kLeft) {
    return false;
  }
  return std::all_of(r.attributes.begin(), r.attributes.end(), [](const Attribute& a) {
    return !a.key.empty() && Printable(a.key, kLongestKey) && a.value.size() <= kLongestValue;
  });
}

bool WellFormed(const Message& m) {
  return m.kind >= Kind::kPing && m.kind <= Kind::kOther && !m.from.address.empty() && WellFormed(m.from) &&
         Printable(m.to, kLongestName) && Printable(m.target, kLongestName) &&
         Printable(m.target_address, 32) && Printable(m.topic, kLongestKey) &&
         std::all_of(m.updates.begin(), m.updates.end(), [](const Record& r) { return WellFormed(r); });
}

}  // namespace dappletiller::membership
