// Lifeguard's local health multiplier: a process whose own probes fail, or that stood still, trusts itself
// less and waits longer before it suspects others. Also the smoothed round-trip time that probe time-outs
// follow.
#ifndef DAPPLETILLER_MEMBERSHIP_LOCAL_HEALTH_HPP_
#define DAPPLETILLER_MEMBERSHIP_LOCAL_HEALTH_HPP_

#include <algorithm>

#include "base/time.hpp"

namespace dappletiller::membership {

class LocalHealth {
 public:
  static constexpr int kMaxScore = 8;
  static constexpr Duration kMaxProbeTimeout = std::chrono::seconds(1);  // before the multiplier, which at
                                                                         // most triples it

  // 0: healthy; grows up to kMaxScore while this process seems slow or cut off.
  int score() const { return score_; }
  void Degrade() { score_ = std::min(score_ + 1, kMaxScore); }
  void Improve() { score_ = std::max(score_ - 1, 0); }

  void AddRoundTrip(Duration took) {
    constexpr double kSmoothing = 0.1;
    const auto sample = static_cast<double>(took.count());
    round_trip_ = round_trip_ == 0 ? sample : (1 - kSmoothing) * round_trip_ + kSmoothing * sample;
  }
  // Twice the smoothed round-trip time: by then an answer that comes at all is mostly here. 0: none known.
  Duration UsualAnswerTime() const { return Duration(static_cast<Micros>(2 * round_trip_)); }

  // How long a direct probe is waited for.
  Duration ProbeTimeout(Duration min_timeout) const {
    const Duration usual = std::clamp(UsualAnswerTime(), min_timeout, kMaxProbeTimeout);
    return std::min(usual * (1 + score_), 3 * kMaxProbeTimeout);
  }

 private:
  int score_ = 0;
  double round_trip_ = 0;  // microseconds; 0: none yet
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_LOCAL_HEALTH_HPP_
