#include "membership/codec.hpp"

#include <sodium.h>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

#include "fleet.pb.h"

namespace dappletiller::membership {
namespace {

constexpr char kMagic0 = 'd';
constexpr char kMagic1 = 't';
constexpr std::size_t kHeadSize = 3;
constexpr std::size_t kMacSize = crypto_auth_BYTES;
constexpr int kMaxUpdates = 4096;
static_assert(crypto_auth_KEYBYTES == sizeof(Key));
static_assert(kMacSize == 32);

using Mac = std::array<unsigned char, kMacSize>;

void InitialiseSodium() {
  if (sodium_init() < 0) throw std::runtime_error("libsodium cannot be initialised");
}

void WriteRecord(const MemberRecord& record, pb::Record* to) {
  to->set_name(record.name);
  to->set_boot(record.boot);
  to->set_incarnation(record.incarnation);
  to->set_state(static_cast<std::uint32_t>(record.state));
  to->set_address(record.address);
  to->set_zone(record.zone);
  to->set_program(record.program);
  to->set_protocol(record.protocol);
  to->set_accuser(record.accuser);
  for (const Attribute& attribute : record.attributes) {
    pb::Attribute* written = to->add_attributes();
    written->set_key(attribute.key);
    written->set_version(attribute.version);
    written->set_value(attribute.value);
  }
}

// Nothing if the state is unknown or there are too many attributes.
std::optional<MemberRecord> ReadRecord(const pb::Record& from) {
  if (from.state() > static_cast<std::uint32_t>(MemberState::kLeft)) return std::nullopt;
  if (from.attributes_size() > static_cast<int>(kMaxAttributes)) return std::nullopt;
  MemberRecord record;
  record.name = from.name();
  record.boot = from.boot();
  record.incarnation = from.incarnation();
  record.state = static_cast<MemberState>(from.state());
  record.address = from.address();
  record.zone = from.zone();
  record.program = from.program();
  record.protocol = from.protocol();
  record.accuser = from.accuser();
  for (const pb::Attribute& attribute : from.attributes()) {
    record.attributes.push_back({attribute.key(), attribute.version(), attribute.value()});
  }
  return record;
}

bool HasKnownKind(const pb::Message& message) {
  return message.kind() >= static_cast<std::uint32_t>(MessageKind::kPing) &&
         message.kind() <= static_cast<std::uint32_t>(MessageKind::kApplication);
}

// Nothing if the kind is unknown, a record is malformed or there are too many updates.
std::optional<Message> ReadMessage(const pb::Message& from) {
  if (!HasKnownKind(from) || from.updates_size() > kMaxUpdates) return std::nullopt;
  auto sender = ReadRecord(from.from());
  if (!sender) return std::nullopt;
  Message message;
  message.kind = static_cast<MessageKind>(from.kind());
  message.sender = std::move(*sender);
  message.recipient = from.to();
  message.recipient_boot = from.to_boot();
  message.number = from.number();
  message.sequence = from.sequence();
  message.target = from.target();
  message.target_address = from.target_address();
  for (const pb::Record& update : from.updates()) {
    auto record = ReadRecord(update);
    if (!record) return std::nullopt;
    message.updates.push_back(std::move(*record));
  }
  message.topic = from.topic();
  message.body = from.body();
  message.digest = from.digest();
  return message;
}

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());  // NOLINT(*-reinterpret-cast): libsodium's type
}

// Covers the head too: no byte of a datagram can change unseen.
Mac MakeMac(const Key& key, std::string_view head, std::string_view body) {
  Mac mac;
  crypto_auth_hmacsha512256_state state;
  crypto_auth_hmacsha512256_init(&state, key.data(), key.size());
  crypto_auth_hmacsha512256_update(&state, Bytes(head), head.size());
  crypto_auth_hmacsha512256_update(&state, Bytes(body), body.size());
  crypto_auth_hmacsha512256_final(&state, mac.data());
  return mac;
}

// One line of a key file, without its line end and trailing blanks; `text` goes on behind it.
std::string_view TakeLine(std::string_view* text) {
  std::size_t end = std::min(text->find('\n'), text->size());
  std::string_view line = text->substr(0, end);
  text->remove_prefix(std::min(end + 1, text->size()));
  while (!line.empty() && (line.back() == ' ' || line.back() == '\r')) line.remove_suffix(1);
  return line;
}

std::optional<Key> ParseKey(std::string_view line) {
  Key key;
  std::size_t size = 0;
  const char* stop = nullptr;
  if (sodium_hex2bin(key.data(), key.size(), line.data(), line.size(), nullptr, &size, &stop) != 0) {
    return std::nullopt;
  }
  if (size != key.size() || stop != line.data() + line.size()) return std::nullopt;
  return key;
}

}  // namespace

std::string_view ToString(DecodeError error) {
  switch (error) {
    case DecodeError::kTruncated:
      return "truncated";
    case DecodeError::kForeign:
      return "foreign";
    case DecodeError::kVersion:
      return "version";
    case DecodeError::kForged:
      return "forged";
    case DecodeError::kMalformed:
      return "malformed";
    case DecodeError::kFleet:
      break;
  }
  return "fleet";
}

Codec::Codec(std::string fleet, std::vector<Key> keys) : fleet_(std::move(fleet)) {
  InitialiseSodium();
  SetKeys(std::move(keys));
}

void Codec::SetKeys(std::vector<Key> keys) {
  keys_ = std::move(keys);
  if (keys_.empty()) keys_.emplace_back();  // all zeros
}

std::string Codec::Encode(const Message& message) const {
  pb::Message written;
  written.set_fleet(fleet_);
  written.set_kind(static_cast<std::uint32_t>(message.kind));
  WriteRecord(message.sender, written.mutable_from());
  written.set_to(message.recipient);
  written.set_to_boot(message.recipient_boot);
  written.set_number(message.number);
  written.set_sequence(message.sequence);
  written.set_target(message.target);
  written.set_target_address(message.target_address);
  for (const MemberRecord& update : message.updates) WriteRecord(update, written.add_updates());
  written.set_topic(message.topic);
  written.set_body(message.body);
  written.set_digest(message.digest);

  const std::string body = written.SerializeAsString();
  std::string bytes{kMagic0, kMagic1, static_cast<char>(kProtocolVersion)};
  const Mac mac = MakeMac(keys_[0], bytes, body);
  bytes.append(mac.begin(), mac.end());
  return bytes + body;
}

Result<Message, DecodeError> Codec::Decode(std::string_view bytes) const {
  if (bytes.size() < kHeadSize + kMacSize) return Failure{DecodeError::kTruncated};
  if (bytes[0] != kMagic0 || bytes[1] != kMagic1) return Failure{DecodeError::kForeign};
  if (bytes[2] != static_cast<char>(kProtocolVersion)) return Failure{DecodeError::kVersion};
  const std::string_view head = bytes.substr(0, kHeadSize);
  const std::string_view mac = bytes.substr(kHeadSize, kMacSize);
  const std::string_view body = bytes.substr(kHeadSize + kMacSize);
  const bool authentic = std::any_of(keys_.begin(), keys_.end(), [&](const Key& key) {
    return sodium_memcmp(MakeMac(key, head, body).data(), mac.data(), kMacSize) == 0;
  });
  if (!authentic) return Failure{DecodeError::kForged};
  return DecodeBody(body);
}

Result<Message, DecodeError> Codec::DecodeBody(std::string_view body) const {
  pb::Message parsed;
  if (!parsed.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    return Failure{DecodeError::kMalformed};
  }
  if (parsed.fleet() != fleet_) return Failure{DecodeError::kFleet};
  auto message = ReadMessage(parsed);
  if (!message || !IsWellFormed(*message)) return Failure{DecodeError::kMalformed};
  return std::move(*message);
}

Result<std::vector<Key>, KeyFileError> ParseKeys(std::string_view text) {
  std::vector<Key> keys;
  for (int number = 1; !text.empty(); ++number) {
    const std::string_view line = TakeLine(&text);
    if (line.empty() || line[0] == '#') continue;
    const auto key = ParseKey(line);
    if (!key) {
      return Failure{KeyFileError{"line " + std::to_string(number) +
                                  " is not 64 hexadecimal digits; make one with 'dappletiller fleet key'"}};
    }
    keys.push_back(*key);
  }
  if (keys.empty()) return Failure{KeyFileError{"contains no key; make one with 'dappletiller fleet key'"}};
  if (keys.size() > kMaxKeys) return Failure{KeyFileError{"contains more than two keys; remove the oldest"}};
  return keys;
}

std::string GenerateKey() {
  InitialiseSodium();
  Key key;
  randombytes_buf(key.data(), key.size());
  std::array<char, 2 * sizeof(Key) + 1> hex;
  sodium_bin2hex(hex.data(), hex.size(), key.data(), key.size());
  return hex.data();
}

}  // namespace dappletiller::membership
