#include "membership/replay_filter.hpp"

#include "membership/fingerprint.hpp"

namespace dappletiller::membership {

bool ReplayWindow::Accept(std::uint64_t number) {
  if (number > highest_) {
    const std::uint64_t advance = number - highest_;
    seen_ = advance < kSize ? seen_ << advance : std::bitset<kSize>();
    seen_.set(0);
    highest_ = number;
    return true;
  }
  const std::uint64_t behind = highest_ - number;
  if (behind >= kSize || seen_.test(behind)) return false;
  seen_.set(behind);
  return true;
}

void ReplayWindow::RestartAt(std::uint64_t number) {
  highest_ = number;
  seen_.reset();
}

bool UnknownSenderFilter::Accept(const Message& message) {
  constexpr std::uint64_t kNumberSpread = 0x9e3779b97f4a7c15ULL;  // 2^64 over the golden ratio
  const std::uint64_t sender = Fingerprint(message.sender.name, message.sender.boot);
  const std::uint64_t fingerprint = sender ^ (message.number * kNumberSpread);
  if (!fingerprints_.insert(fingerprint).second) return false;
  oldest_first_.push_back(fingerprint);
  if (oldest_first_.size() > kCapacity) {
    fingerprints_.erase(oldest_first_.front());
    oldest_first_.pop_front();
  }
  return true;
}

}  // namespace dappletiller::membership
