// The Request-Ids of requests that may have run at a server, so that a request that comes again with one of
// them is refused: it would run twice. Clients use a new id for each request, their own retries included.
//
// A table of fixed size with buckets of a few slots. Ids are forgotten after kRetention, or if their bucket
// is full; the oldest first. A process keeps one in memory, and the processes of an upgrade share one in a
// file with the same layout. Pure: no I/O, no clock.
#ifndef DAPPLETILLER_DISPATCH_SENT_IDS_HPP_
#define DAPPLETILLER_DISPATCH_SENT_IDS_HPP_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace dappletiller {

using RequestIdHash = std::uint64_t;  // 0: no id

// The same in each process and version of the program.
RequestIdHash HashRequestId(std::string_view id);

class SentIdTable {
 public:
  // Far longer than any client waits.
  static constexpr Micros kRetention = 30'000'000;
  static constexpr std::size_t kBuckets = 4096;
  static constexpr std::size_t kSlotsPerBucket = 8;

  struct Slot {
    RequestIdHash id = 0;
    Micros sent_at = 0;
  };
  using Bucket = std::span<const Slot, kSlotsPerBucket>;

  static std::size_t BucketOf(RequestIdHash id) { return id % kBuckets; }
  static bool Contains(Bucket bucket, RequestIdHash id, Micros now);
  // The slot of the bucket that a new id replaces.
  static std::size_t SlotToReplace(Bucket bucket);

  SentIdTable() : slots_(kBuckets * kSlotsPerBucket) {}
  bool Contains(RequestIdHash id, Micros now) const;
  void Add(RequestIdHash id, Micros now);

 private:
  Bucket At(RequestIdHash id) const;

  std::vector<Slot> slots_;  // bucket by bucket
};

// Ids that other processes of this proxy share.
class SharedSentIds {
 public:
  virtual bool Contains(RequestIdHash id) = 0;
  virtual void Add(RequestIdHash id) = 0;

 protected:
  ~SharedSentIds() = default;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_SENT_IDS_HPP_
