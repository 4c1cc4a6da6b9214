// Detects replayed messages: by number for known members, by a bounded memory of recent messages for unknown
// senders.
#ifndef DAPPLETILLER_MEMBERSHIP_REPLAY_FILTER_HPP_
#define DAPPLETILLER_MEMBERSHIP_REPLAY_FILTER_HPP_

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>

#include "membership/message.hpp"

namespace dappletiller::membership {

// The sliding window of one sender's message numbers (as in RFC 4303, section 3.4.3).
class ReplayWindow {
 public:
  // False if this number has been received before, or is too far below the highest to know.
  bool Accept(std::uint64_t number);
  // Makes `number` the highest one; lower numbers that were lost may still be received.
  void RestartAt(std::uint64_t number);
  std::uint64_t highest() const { return highest_; }

 private:
  static constexpr std::size_t kSize = 256;

  std::uint64_t highest_ = 0;
  std::bitset<kSize> seen_;  // bit n: highest_ - n has come
};

class UnknownSenderFilter {
 public:
  // False if this very message is among the last kCapacity of unknown senders.
  bool Accept(const Message& message);

 private:
  static constexpr std::size_t kCapacity = 512;

  std::deque<std::uint64_t> oldest_first_;
  std::set<std::uint64_t> fingerprints_;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_REPLAY_FILTER_HPP_
