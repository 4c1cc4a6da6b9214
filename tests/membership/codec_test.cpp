// Messages as bytes: what is whole and ours comes back as it was, all else is refused with its reason.
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

Record Some(pcg64& random, bool full) {
  Record r;
  r.name = "m" + std::to_string(random(1000));
  r.boot = random() >> 3;
  r.incarnation = random() >> 3;
  r.state = static_cast<State>(random(4));
  if (full) {
    r.address = "10.200.30.40:65535";
    r.zone = std::string(random(kLongestName) + 1, 'z');
    r.program = "10.20.30";
    for (std::uint64_t i = random(kMostAttributes + 1); i > 0; --i) {
      r.attributes.push_back(
          {"key" + std::to_string(i), random(), std::string(random(kLongestValue), '\xff')});
    }
  } else {
    r.accuser = std::string(kLongestName, 'a');
  }
  return r;
}

Message Some(pcg64& random) {
  Message m;
  m.kind = static_cast<Kind>(1 + random(8));
  m.from = Some(random, true);
  m.to = "to";
  m.to_boot = random();
  m.number = random();
  m.sequence = random();
  m.target = std::string(kLongestName, 't');
  m.target_address = "10.200.30.40:65535";
  for (std::uint64_t i = random(6); i > 0; --i) m.updates.push_back(Some(random, random(2) == 0));
  m.topic = "topic";
  m.body = std::string(random(100), '\0');
  return m;
}

TEST_CASE("a message comes back as it was, and is no larger than reckoned") {
  Codec codec("lab", Keys({1}));
  pcg64 random(7);
  for (int i = 0; i < 500; ++i) {
    Message m = Some(random);
    std::string bytes = codec.Encode(m);
    CHECK(bytes.size() <= SizeOf(m));
    Refusal why;
    auto back = codec.Decode(bytes, &why);
    REQUIRE(back.has_value());
    CHECK(back->kind == m.kind);
    CHECK(back->from == m.from);
    CHECK(back->updates == m.updates);
    CHECK(back->number == m.number);
    CHECK(back->sequence == m.sequence);
    CHECK(back->target == m.target);
    CHECK(back->body == m.body);
  }
}

TEST_CASE("what is cut, changed, foreign, of another key, fleet or version is refused by its reason") {
  Codec codec("lab", Keys({1}));
  pcg64 random(8);
  std::string bytes = codec.Encode(Some(random));
  Refusal why;
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) CHECK_FALSE(codec.Decode(bytes.substr(0, cut), &why));
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string changed = bytes;
    changed[at] = static_cast<char>(changed[at] ^ (1 << random(8)));
    CHECK_FALSE(codec.Decode(changed, &why));
  }
  std::string version = bytes;
  version[2] = 9;
  CHECK_FALSE(codec.Decode(version, &why));
  CHECK(why == Refusal::kVersion);
  CHECK_FALSE(codec.Decode("GET / HTTP/1.1\r\nHost: a-caller-that-has-lost-its-way\r\n\r\n", &why));
  CHECK(why == Refusal::kForeign);
  CHECK_FALSE(Codec("lab", Keys({2})).Decode(bytes, &why));
  CHECK(why == Refusal::kForged);
  CHECK_FALSE(Codec("another", Keys({1})).Decode(bytes, &why));
  CHECK(why == Refusal::kFleet);
}

TEST_CASE("during a change of keys both are accepted and the first one signs") {
  Codec before("lab", Keys({1})), between("lab", Keys({1, 2})), changed("lab", Keys({2, 1})),
      after("lab", Keys({2}));
  pcg64 random(9);
  Message m = Some(random);
  Refusal why;
  CHECK(between.Decode(after.Encode(m), &why));
  CHECK(between.Decode(before.Encode(m), &why));
  CHECK(after.Decode(changed.Encode(m), &why));
  CHECK_FALSE(after.Decode(between.Encode(m), &why));
}

TEST_CASE("a key file holds one or two keys of 64 digits, and errors name the line but not the key") {
  std::string key = Codec::NewKey();
  REQUIRE(key.size() == 64);
  std::string error;
  CHECK(Codec::ReadKeys(key + "\n", &error)->size() == 1);
  CHECK(Codec::ReadKeys("# new\n" + key + "\r\n\n" + Codec::NewKey(), &error)->size() == 2);
  for (const std::string& bad : {std::string(), std::string("\n#\n"), key.substr(1), key + "0",
                                 "x" + key.substr(1), key + "\n" + key + "\n" + key}) {
    error.clear();
    CHECK_FALSE(Codec::ReadKeys(bad, &error));
    CHECK_FALSE(error.empty());
    CHECK(error.find(key.substr(2, 20)) == std::string::npos);
  }
}

TEST_CASE("only such records are well formed as this program sends") {
  Record fine;
  fine.name = "p1";
  CHECK(WellFormed(fine));
  auto bad = [&fine](auto change) {
    Record r = fine;
    change(r);
    CHECK_FALSE(WellFormed(r));
  };
  bad([](Record& r) { r.name.clear(); });
  bad([](Record& r) { r.name = "a b"; });
  bad([](Record& r) { r.name = std::string(kLongestName + 1, 'a'); });
  bad([](Record& r) { r.zone = "\n"; });
  bad([](Record& r) { r.address = std::string(33, '1'); });
  bad([](Record& r) { r.attributes.resize(kMostAttributes + 1, {"k", 1, ""}); });
  bad([](Record& r) { r.attributes.push_back({"", 1, ""}); });
  bad([](Record& r) { r.attributes.push_back({"k", 1, std::string(kLongestValue + 1, 'v')}); });
}

}  // namespace
}  // namespace dappletiller::membership
