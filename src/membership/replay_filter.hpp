// Tells messages that come again from new ones: by number for members that are known, by a bounded memory of
// recent messages for unknown senders.
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
  // False if this number has come before, or is too far behind the highest to tell.
  bool Accept(std::uint64_t number);
  // From here on `number` is the highest; lower ones that had been lost in between may come again.
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
