// Limits how many snapshots a server of the feed sends concurrently. Deltas are not limited: many followers
// that need snapshots, such as when all proxies reconnect, must not delay changes for the others. A follower
// gets a slot with the first page of a snapshot and keeps it while it requests further pages; the slot of a
// silent follower is released after kSlotTimeout. A follower without a slot gets a turn, assigned one after
// another at the rate at which slots become free, and a time to retry. So rejected followers do not all retry
// at the same time, and frequent retries give no advantage. Pure: time is passed in. Not thread-safe.
#ifndef DAPPLETILLER_CONFIG_FEED_SNAPSHOT_ADMISSION_HPP_
#define DAPPLETILLER_CONFIG_FEED_SNAPSHOT_ADMISSION_HPP_

#include <cstddef>
#include <map>
#include <string>

#include "base/time.hpp"

namespace dappletiller::config_feed {

class SnapshotAdmission {
 public:
  static constexpr Micros kSlotTimeout = 4'000'000;
  static constexpr Micros kMinRetryAfter = 100'000;
  static constexpr Micros kMaxRetryAfter = 4'000'000;

  explicit SnapshotAdmission(std::size_t slots) : slots_(slots) {}

  // 0: the follower has a slot. Otherwise, when it should retry.
  Micros Admit(const std::string& follower, Micros now);
  // Its last page has been sent.
  void Release(const std::string& follower, Micros now);
  std::size_t slots_in_use() const { return holders_.size(); }
  std::size_t max_slots_in_use() const { return max_slots_in_use_; }  // so far

 private:
  static constexpr std::size_t kMaxTurns = 8192;  // if exceeded, the wait is kMaxRetryAfter

  struct Holder {
    Micros since = 0;
    Micros until = 0;
  };
  Micros WaitForSlot(const std::string& follower, Micros now);
  bool HasFreeSlot(Micros now);

  std::size_t slots_;
  std::map<std::string, Holder> holders_;  // at most slots_
  std::map<std::string, Micros>
      turns_;                    // time of each waiting follower's turn; kept for another kSlotTimeout
  Micros last_turn_ = 0;         // the latest assigned turn
  double usual_time_ = 100'000;  // smoothed duration of a snapshot
  std::size_t max_slots_in_use_ = 0;
};

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_SNAPSHOT_ADMISSION_HPP_
