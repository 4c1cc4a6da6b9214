#include "dispatch/sent_ids.hpp"

#include <algorithm>
#include <iterator>

// In this file alone, so that no shared library is needed.
#define XXH_INLINE_ALL  // NOLINT(cppcoreguidelines-macro-usage): the library's switch
#include <xxhash.h>

namespace dappletiller {

RequestIdHash HashRequestId(std::string_view id) {
  if (id.empty()) return 0;
  const RequestIdHash hash = XXH3_64bits(id.data(), id.size());
  return hash == 0 ? 1 : hash;
}

bool SentIdTable::Contains(Bucket bucket, RequestIdHash id, Micros now) {
  return std::any_of(bucket.begin(), bucket.end(), [&](const Slot& slot) {
    // A time in the future is not one that a process of this machine has written.
    return slot.id == id && slot.sent_at <= now && now - slot.sent_at < kRetention;
  });
}

std::size_t SentIdTable::SlotToReplace(Bucket bucket) {
  const auto oldest = std::min_element(bucket.begin(), bucket.end(),
                                       [](const Slot& a, const Slot& b) { return a.sent_at < b.sent_at; });
  return static_cast<std::size_t>(std::distance(bucket.begin(), oldest));
}

SentIdTable::Bucket SentIdTable::At(RequestIdHash id) const {
  return Bucket(&slots_[BucketOf(id) * kSlotsPerBucket], kSlotsPerBucket);
}

bool SentIdTable::Contains(RequestIdHash id, Micros now) const { return Contains(At(id), id, now); }

void SentIdTable::Add(RequestIdHash id, Micros now) {
  const std::size_t slot = BucketOf(id) * kSlotsPerBucket + SlotToReplace(At(id));
  slots_[slot] = {id, now};
}

}  // namespace dappletiller
