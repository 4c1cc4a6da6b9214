#include "balancer/work_statistics.hpp"

#include <algorithm>
#include <cmath>

#include "balancer/constants.hpp"

namespace dappletiller::balancer {

// Once a second updates the cutoff from the histogram of the hints.
void WorkStatistics::RecordHint(double work, Micros now) {
  mean_ += (work - mean_) * std::max(kMeanStep, 1.0 / (1.0 + hint_count_++));
  const int bin = std::clamp(static_cast<int>(2 * std::log2(std::max(work, 1.0))), 0, kBins - 1);
  histogram_[bin] += work;
  if (now - cutoff_updated_at_ < kMicrosPerSecond || hint_count_ < kMinCutoffSamples) return;
  cutoff_updated_at_ = now;
  UpdateCutoff();
}

// The hint above which lies kLongWorkShare of the work.
void WorkStatistics::UpdateCutoff() {
  double total = 0;
  for (double& b : histogram_) total += (b *= kHintHistogramDecay);
  double above = 0;
  int i = kBins - 1;
  while (i > 0 && above + histogram_[i] <= kLongWorkShare * total) above += histogram_[i--];
  // Interpolate within the bin that contains the boundary.
  const double part = histogram_[i] > 0 ? (kLongWorkShare * total - above) / histogram_[i] : 0;
  // Long requests must be few: if all hints are similar there are none.
  cutoff_ = std::max(kMinCutoffToMean * mean_, std::exp2((i + 1 - std::clamp(part, 0.0, 1.0)) / 2.0));
}

void WorkStatistics::RecordUnhinted(double shortest_objective) {
  if (has_hints() || ++unhinted_count_ != kMinUnhintedRequests) return;
  mean_ = kUnhintedWorkToObjective * shortest_objective;
}

bool WorkStatistics::mean_is_known() const {
  return hint_count_ > 0 ? hint_count_ >= kMinCutoffSamples : unhinted_count_ >= kMinUnhintedRequests;
}

}  // namespace dappletiller::balancer
