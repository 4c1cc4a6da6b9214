// What the decision module knows of the work of requests: the mean, and the cutoff above which a request is
// long. Part of its implementation.
#ifndef DAPPLETILLER_BALANCER_WORK_STATISTICS_HPP_
#define DAPPLETILLER_BALANCER_WORK_STATISTICS_HPP_

#include <array>
#include <limits>

#include "dappletiller/balancer.hpp"

namespace dappletiller::balancer {

class WorkStatistics {
 public:
  void Start(Micros now) { cutoff_updated_at_ = now; }
  void RecordHint(double work, Micros now);
  // Counts a request without a hint. Until the first hint, work is counted in mean requests, and their
  // service time is learned.
  void RecordUnhinted(double shortest_objective);

  bool has_hints() const { return hint_count_ > 0; }
  double mean() const { return mean_; }
  bool mean_is_known() const;
  double cutoff() const { return cutoff_; }

 private:
  static constexpr int kBins = 80;  // of half an octave each

  void UpdateCutoff();

  std::array<double, kBins> histogram_{};
  double hint_count_ = 0;
  double unhinted_count_ = 0;  // before the first hint
  double mean_ = 1;
  double cutoff_ = std::numeric_limits<double>::infinity();
  Micros cutoff_updated_at_ = 0;
};

}  // namespace dappletiller::balancer

#endif  // DAPPLETILLER_BALANCER_WORK_STATISTICS_HPP_
