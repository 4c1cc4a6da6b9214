// The ids of requests that may have run: what is remembered, for how long, and in how much memory.
#include "dispatch/sent_ids.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

namespace dappletiller {
namespace {

constexpr Micros kSecond = 1'000'000;

// Ids of one bucket.
std::vector<RequestIdHash> IdsOfOneBucket(std::size_t count) {
  std::vector<RequestIdHash> ids;
  for (std::size_t i = 1; i <= count; ++i) ids.push_back(i * SentIdTable::kBuckets + 7);
  return ids;
}

TEST_CASE("an id has the same hash everywhere, and none has the hash of no id") {
  CHECK(HashRequestId("9b1f03aa5c7e2d41") == HashRequestId(std::string("9b1f03aa5c7e2d41")));
  CHECK(HashRequestId("9b1f03aa5c7e2d41") == 0x4eae784b0d211d5eU);
  CHECK(HashRequestId("") == 0);
  std::set<RequestIdHash> hashes;
  for (int i = 0; i < 100'000; ++i) hashes.insert(HashRequestId("id-" + std::to_string(i)));
  CHECK(hashes.size() == 100'000);
  CHECK(hashes.count(0) == 0);
}

TEST_CASE("an id is remembered for as long as a client may come again, and then forgotten") {
  SentIdTable table;
  const RequestIdHash id = HashRequestId("x");
  CHECK_FALSE(table.Contains(id, 0));
  table.Add(id, 5 * kSecond);
  CHECK(table.Contains(id, 5 * kSecond));
  CHECK(table.Contains(id, 5 * kSecond + SentIdTable::kRetention - 1));
  CHECK_FALSE(table.Contains(id, 5 * kSecond + SentIdTable::kRetention));
  CHECK_FALSE(table.Contains(HashRequestId("y"), 5 * kSecond));
}

TEST_CASE("an entry that no process of this machine can have written is ignored") {
  SentIdTable table;
  table.Add(11, 100 * kSecond);
  CHECK_FALSE(table.Contains(11, 50 * kSecond));
}

TEST_CASE("a full bucket forgets its oldest id") {
  SentIdTable table;
  const auto ids = IdsOfOneBucket(SentIdTable::kSlotsPerBucket + 1);
  for (std::size_t i = 0; i < ids.size(); ++i) table.Add(ids[i], static_cast<Micros>(i + 1) * kSecond);
  const Micros now = 10 * kSecond;
  CHECK_FALSE(table.Contains(ids[0], now));
  for (std::size_t i = 1; i < ids.size(); ++i) CHECK(table.Contains(ids[i], now));
}

TEST_CASE("what a busy proxy sends within the time of any client is remembered") {
  constexpr int kPerSecond = 300;
  constexpr int kSeconds = 10;
  SentIdTable table;
  for (int i = 0; i < kPerSecond * kSeconds; ++i)
    table.Add(HashRequestId("r" + std::to_string(i)), kSecond + i * kSecond / kPerSecond);
  int remembered = 0;
  for (int i = 0; i < kPerSecond * kSeconds; ++i)
    remembered += table.Contains(HashRequestId("r" + std::to_string(i)), (kSeconds + 1) * kSecond) ? 1 : 0;
  CHECK(remembered == kPerSecond * kSeconds);
}

}  // namespace
}  // namespace dappletiller
