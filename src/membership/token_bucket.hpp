// A token bucket: bounds how often one member's claims are acted on.
#ifndef DAPPLETILLER_MEMBERSHIP_TOKEN_BUCKET_HPP_
#define DAPPLETILLER_MEMBERSHIP_TOKEN_BUCKET_HPP_

#include <algorithm>

#include "base/time.hpp"

namespace dappletiller::membership {

class TokenBucket {
 public:
  // Starts full.
  TokenBucket(double capacity, double tokens_per_second)
      : capacity_(capacity), tokens_per_microsecond_(tokens_per_second / 1e6), tokens_(capacity) {}

  // Takes one token; false if there is none.
  bool TryTake(TimePoint now) {
    const double elapsed = static_cast<double>((now - updated_at_).count());
    tokens_ = std::min(capacity_, tokens_ + elapsed * tokens_per_microsecond_);
    updated_at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  // Returns one token, up to the capacity.
  void Return() { tokens_ = std::min(capacity_, tokens_ + 1); }

 private:
  double capacity_;
  double tokens_per_microsecond_;
  double tokens_;
  TimePoint updated_at_;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_TOKEN_BUCKET_HPP_
