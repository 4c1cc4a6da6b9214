// Encoding of messages: valid messages survive encoding and decoding, all others are rejected with a reason.
#include "membership/codec.hpp"

#include <doctest/doctest.h>

#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace dappletiller::membership {
namespace {

std::vector<Key> Keys(std::initializer_list<unsigned char> firsts) {
  std::vector<Key> keys;
  for (unsigned char first : firsts) {
    Key key{};
    key[0] = first;
    keys.push_back(key);
  }
  return keys;
}

MemberRecord Some(pcg64& random, bool full) {
  MemberRecord r;
  r.name = "m" + std::to_string(random(1000));
  r.boot = random() >> 3;
  r.incarnation = random() >> 3;
  r.state = static_cast<MemberState>(random(4));
  if (full) {
    r.address = "10.200.30.40:65535";
    r.zone = std::string(random(kMaxNameLength) + 1, 'z');
    r.program = "10.20.30";
    for (std::uint64_t i = random(kMaxAttributes + 1); i > 0; --i) {
      r.attributes.push_back(
          {"key" + std::to_string(i), random(), std::string(random(kMaxValueLength), '\xff')});
    }
  } else {
    r.accuser = std::string(kMaxNameLength, 'a');
  }
  return r;
}

Message Some(pcg64& random) {
  Message m;
  m.kind = static_cast<MessageKind>(1 + random(8));
  m.sender = Some(random, true);
  m.recipient = "to";
  m.recipient_boot = random();
  m.number = random();
  m.sequence = random();
  m.target = std::string(kMaxNameLength, 't');
  m.target_address = "10.200.30.40:65535";
  for (std::uint64_t i = random(6); i > 0; --i) m.updates.push_back(Some(random, random(2) == 0));
  m.topic = "topic";
  m.body = std::string(random(100), '\0');
  return m;
}

TEST_CASE("a message is unchanged by encoding and decoding, and is within its size bound") {
  Codec codec("lab", Keys({1}));
  pcg64 random(7);
  for (int i = 0; i < 500; ++i) {
    Message m = Some(random);
    std::string bytes = codec.Encode(m);
    CHECK(bytes.size() <= EncodedSizeBound(m));
    auto back = codec.Decode(bytes);
    REQUIRE(back.ok());
    CHECK(back->kind == m.kind);
    CHECK(back->sender == m.sender);
    CHECK(back->updates == m.updates);
    CHECK(back->number == m.number);
    CHECK(back->sequence == m.sequence);
    CHECK(back->target == m.target);
    CHECK(back->body == m.body);
  }
}

TEST_CASE(
    "truncated, modified or foreign messages, and those of another key, fleet or version, are rejected with "
    "their reason") {
  Codec codec("lab", Keys({1}));
  pcg64 random(8);
  std::string bytes = codec.Encode(Some(random));
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) CHECK_FALSE(codec.Decode(bytes.substr(0, cut)).ok());
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string changed = bytes;
    changed[at] = static_cast<char>(changed[at] ^ (1 << random(8)));
    CHECK_FALSE(codec.Decode(changed).ok());
  }
  std::string version = bytes;
  version[2] = 9;
  const auto error_of = [](const Codec& reader, const std::string& received) {
    const auto decoded = reader.Decode(received);
    REQUIRE_FALSE(decoded.ok());
    return decoded.error();
  };
  CHECK(error_of(codec, version) == DecodeError::kVersion);
  CHECK(error_of(codec, "GET / HTTP/1.1\r\nHost: a-caller-that-has-lost-its-way\r\n\r\n") ==
        DecodeError::kForeign);
  CHECK(error_of(Codec("lab", Keys({2})), bytes) == DecodeError::kForged);
  CHECK(error_of(Codec("another", Keys({1})), bytes) == DecodeError::kFleet);
}

TEST_CASE("during a key rotation both keys are accepted and the first one signs") {
  Codec before("lab", Keys({1})), between("lab", Keys({1, 2})), changed("lab", Keys({2, 1})),
      after("lab", Keys({2}));
  pcg64 random(9);
  Message m = Some(random);
  CHECK(between.Decode(after.Encode(m)).ok());
  CHECK(between.Decode(before.Encode(m)).ok());
  CHECK(after.Decode(changed.Encode(m)).ok());
  CHECK_FALSE(after.Decode(between.Encode(m)).ok());
}

TEST_CASE("a key file has one or two keys of 64 digits, and errors state the line but not the key") {
  std::string key = GenerateKey();
  REQUIRE(key.size() == 64);
  CHECK(ParseKeys(key + "\n")->size() == 1);
  CHECK(ParseKeys("# new\n" + key + "\r\n\n" + GenerateKey())->size() == 2);
  for (const std::string& bad : {std::string(), std::string("\n#\n"), key.substr(1), key + "0",
                                 "x" + key.substr(1), key + "\n" + key + "\n" + key}) {
    const auto keys = ParseKeys(bad);
    REQUIRE_FALSE(keys.ok());
    CHECK_FALSE(keys.error().message.empty());
    CHECK(keys.error().message.find(key.substr(2, 20)) == std::string::npos);
  }
}

TEST_CASE("only records as sent by this program are well formed") {
  MemberRecord fine;
  fine.name = "p1";
  CHECK(IsWellFormed(fine));
  auto bad = [&fine](auto change) {
    MemberRecord r = fine;
    change(r);
    CHECK_FALSE(IsWellFormed(r));
  };
  bad([](MemberRecord& r) { r.name.clear(); });
  bad([](MemberRecord& r) { r.name = "a b"; });
  bad([](MemberRecord& r) { r.name = std::string(kMaxNameLength + 1, 'a'); });
  bad([](MemberRecord& r) { r.zone = "\n"; });
  bad([](MemberRecord& r) { r.address = std::string(33, '1'); });
  bad([](MemberRecord& r) { r.attributes.resize(kMaxAttributes + 1, {"k", 1, ""}); });
  bad([](MemberRecord& r) { r.attributes.push_back({"", 1, ""}); });
  bad([](MemberRecord& r) { r.attributes.push_back({"k", 1, std::string(kMaxValueLength + 1, 'v')}); });
}

}  // namespace
}  // namespace dappletiller::membership
