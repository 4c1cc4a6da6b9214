// How many snapshots a server of the feed sends at once. Deltas are never held back: a crowd that needs
// snapshots, as when all proxies reconnect, must not keep the others from changes.
//
// A follower takes a slot by name with the first page of a snapshot and keeps it while it asks for the next
// ones; the slot of one that falls silent is free again after kSlotTimeout. A follower that finds no free
// slot is given a turn, one after another at the pace at which slots come free, and told when to come back.
// So neither does a crowd come back together to find no slot again, nor is the follower that asks most often
// served first.
//
// Pure: time comes in. Not thread-safe.
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

  // 0: `follower` has a slot and may be sent a page. Else when it is to come back.
  Micros Admit(const std::string& follower, Micros now);
  // Its last page has been sent.
  void Release(const std::string& follower, Micros now);
  std::size_t slots_in_use() const { return holders_.size(); }
  std::size_t max_slots_in_use() const { return max_slots_in_use_; }  // so far

 private:
  static constexpr std::size_t kMaxTurns = 8192;  // beyond it the wait is kMaxRetryAfter

  struct Holder {
    Micros since = 0;
    Micros until = 0;
  };
  Micros WaitForSlot(const std::string& follower, Micros now);
  bool HasFreeSlot(Micros now);

  std::size_t slots_;
  std::map<std::string, Holder> holders_;  // at most slots_
  std::map<std::string, Micros> turns_;    // when each waiting follower's turn is; kept kSlotTimeout longer
  Micros last_turn_ = 0;                   // the latest given
  double usual_time_ = 100'000;            // that a snapshot takes, smoothed
  std::size_t max_slots_in_use_ = 0;
};

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_SNAPSHOT_ADMISSION_HPP_
