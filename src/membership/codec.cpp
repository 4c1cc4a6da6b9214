#include "membership/codec.hpp"

#include <sodium.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "fleet.pb.h"

namespace dappletiller::membership {
namespace {

constexpr char kMark0 = 'd', kMark1 = 't';
constexpr std::size_t kHead = 3;
constexpr std::size_t kMac = crypto_auth_BYTES;
constexpr std::size_t kMostUpdates = 4096;
static_assert(crypto_auth_KEYBYTES == sizeof(Key));
static_assert(kMac == 32);

void Put(const Record& r, pb::Record* to) {
  to->set_name(r.name);
  to->set_boot(r.boot);
  to->set_incarnation(r.incarnation);
  to->set_state(static_cast<std::uint32_t>(r.state));
  to->set_address(r.address);
  to->set_zone(r.zone);
  to->set_program(r.program);
  to->set_protocol(r.protocol);
  to->set_accuser(r.accuser);
  for (const Attribute& a : r.attributes) {
    pb::Attribute* attribute = to->add_attributes();
    attribute->set_key(a.key);
    attribute->set_version(a.version);
    attribute->set_value(a.value);
  }
}

bool Get(const pb::Record& from, Record* r) {
  if (from.state() > static_cast<std::uint32_t>(State::kLeft)) return false;
  if (from.attributes_size() > static_cast<int>(kMostAttributes)) return false;
  r->name = from.name();
  r->boot = from.boot();
  r->incarnation = from.incarnation();
  r->state = static_cast<State>(from.state());
  r->address = from.address();
  r->zone = from.zone();
  r->program = from.program();
  r->protocol = from.protocol();
  r->accuser = from.accuser();
  for (const pb::Attribute& a : from.attributes()) r->attributes.push_back({a.key(), a.version(), a.value()});
  return true;
}

// The MAC covers the head too: no byte of a datagram can change unseen.
void Sign(const Key& key, std::string_view head, std::string_view body, unsigned char* mac) {
  crypto_auth_hmacsha512256_state state;
  crypto_auth_hmacsha512256_init(&state, key.data(), key.size());
  crypto_auth_hmacsha512256_update(&state, reinterpret_cast<const unsigned char*>(head.data()), head.size());
  crypto_auth_hmacsha512256_update(&state, reinterpret_cast<const unsigned char*>(body.data()), body.size());
  crypto_auth_hmacsha512256_final(&state, mac);
}

}  // namespace

std::string_view Word(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kTruncated:
      return "truncated";
    case Refusal::kForeign:
      return "foreign";
    case Refusal::kVersion:
      return "version";
    case Refusal::kForged:
      return "forged";
    case Refusal::kMalformed:
      return "malformed";
    case Refusal::kFleet:
      break;
  }
  return "fleet";
}

Codec::Codec(std::string fleet, std::vector<Key> keys) : fleet_(std::move(fleet)) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium cannot be initialised");
  SetKeys(std::move(keys));
}

void Codec::SetKeys(std::vector<Key> keys) {
  keys_ = std::move(keys);
  if (keys_.empty()) keys_.emplace_back();  // zeros: known to all
}

std::string Codec::Encode(const Message& m) const {
  pb::Message message;
  message.set_fleet(fleet_);
  message.set_kind(static_cast<std::uint32_t>(m.kind));
  Put(m.from, message.mutable_from());
  message.set_to(m.to);
  message.set_to_boot(m.to_boot);
  message.set_number(m.number);
  message.set_sequence(m.sequence);
  message.set_target(m.target);
  message.set_target_address(m.target_address);
  for (const Record& r : m.updates) Put(r, message.add_updates());
  message.set_topic(m.topic);
  message.set_body(m.body);
  message.set_digest(m.digest);
  std::string body = message.SerializeAsString();
  std::string bytes{kMark0, kMark1, static_cast<char>(kProtocol)};
  std::array<unsigned char, kMac> mac;
  Sign(keys_[0], bytes, body, mac.data());
  bytes.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  return bytes + body;
}

std::optional<Message> Codec::Decode(std::string_view bytes, Refusal* why) const {
  auto no = [why](Refusal refusal) {
    *why = refusal;
    return std::nullopt;
  };
  *why = Refusal::kNone;
  if (bytes.size() < kHead + kMac) return no(Refusal::kTruncated);
  if (bytes[0] != kMark0 || bytes[1] != kMark1) return no(Refusal::kForeign);
  if (bytes[2] != static_cast<char>(kProtocol)) return no(Refusal::kVersion);
  std::string_view body = bytes.substr(kHead + kMac);
  bool ours = std::any_of(keys_.begin(), keys_.end(), [&](const Key& key) {
    std::array<unsigned char, kMac> mac;
    Sign(key, bytes.substr(0, kHead), body, mac.data());
    return sodium_memcmp(mac.data(), bytes.data() + kHead, kMac) == 0;
  });
  if (!ours) return no(Refusal::kForged);
  return DecodeBody(body, why);
}

std::optional<Message> Codec::DecodeBody(std::string_view body, Refusal* why) const {
  auto no = [why](Refusal refusal) {
    *why = refusal;
    return std::nullopt;
  };
  *why = Refusal::kNone;
  pb::Message message;
  if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))) return no(Refusal::kMalformed);
  if (message.fleet() != fleet_) return no(Refusal::kFleet);
  if (message.kind() < static_cast<std::uint32_t>(Kind::kPing) ||
      message.kind() > static_cast<std::uint32_t>(Kind::kOther) ||
      message.updates_size() > static_cast<int>(kMostUpdates)) {
    return no(Refusal::kMalformed);
  }
  Message m;
  m.kind = static_cast<Kind>(message.kind());
  if (!Get(message.from(), &m.from)) return no(Refusal::kMalformed);
  m.to = message.to();
  m.to_boot = message.to_boot();
  m.number = message.number();
  m.sequence = message.sequence();
  m.target = message.target();
  m.target_address = message.target_address();
  for (const pb::Record& r : message.updates()) {
    if (!Get(r, &m.updates.emplace_back())) return no(Refusal::kMalformed);
  }
  m.topic = message.topic();
  m.body = message.body();
  m.digest = message.digest();
  if (!WellFormed(m)) return no(Refusal::kMalformed);
  return m;
}

std::optional<std::vector<Key>> Codec::ReadKeys(std::string_view text, std::string* error) {
  std::vector<Key> keys;
  for (int line = 1; !text.empty(); ++line) {
    std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view one = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    while (!one.empty() && (one.back() == ' ' || one.back() == '\r')) one.remove_suffix(1);
    if (one.empty() || one[0] == '#') continue;
    Key key;
    std::size_t size = 0;
    const char* stop = nullptr;
    bool hex = sodium_hex2bin(key.data(), key.size(), one.data(), one.size(), nullptr, &size, &stop) == 0;
    if (!hex || size != key.size() || stop != one.data() + one.size()) {
      *error = "line " + std::to_string(line) +
               " is not 64 hexadecimal digits; make one with 'dappletiller fleet key'";
      return std::nullopt;
    }
    keys.push_back(key);
  }
  if (keys.empty() || keys.size() > 2) {
    *error = keys.empty() ? "holds no key; make one with 'dappletiller fleet key'"
                          : "holds more than two keys; remove the oldest";
    return std::nullopt;
  }
  return keys;
}

std::string Codec::NewKey() {
  if (sodium_init() < 0) throw std::runtime_error("libsodium cannot be initialised");
  Key key;
  randombytes_buf(key.data(), key.size());
  std::array<char, 2 * sizeof(Key) + 1> hex;
  sodium_bin2hex(hex.data(), hex.size(), key.data(), key.size());
  return std::string(hex.data());
}

}  // namespace dappletiller::membership
