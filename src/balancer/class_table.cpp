#include "balancer/class_table.hpp"

#include <algorithm>
#include <limits>

namespace dappletiller::balancer {

bool ClassTable::Set(int index, bool listed, const ClassSettings& settings) {
  const bool is_usable = settings.client_timeout > 0 && settings.latency_objective > 0;
  if (index < 0 || !is_usable) return false;
  const auto position = static_cast<std::size_t>(index);
  if (position >= entries_.size()) entries_.resize(position + 1);
  Entry& entry = entries_[position];
  const bool same_timeout =
      entry.settings != nullptr && entry.settings->client_timeout == settings.client_timeout;
  if (!same_timeout) entry.usual_time_left = 0;
  entry.settings = std::make_shared<const ClassSettings>(settings);
  entry.listed = listed;
  UpdateExtremes();
  return true;
}

bool ClassTable::Contains(int index) const {
  return index >= 0 && static_cast<std::size_t>(index) < entries_.size() &&
         entries_[static_cast<std::size_t>(index)].settings != nullptr;
}

void ClassTable::UpdateExtremes() {
  double shortest = std::numeric_limits<double>::infinity();
  double largest = 0;
  bool any = false;
  for (const Entry& entry : entries_) {
    if (!entry.listed || entry.settings == nullptr) continue;
    any = true;
    shortest = std::min(shortest, static_cast<double>(entry.settings->latency_objective));
    largest = std::max(largest, entry.settings->weight);
  }
  if (!any) return;
  shortest_objective_ = shortest;
  max_weight_ = largest;
}

}  // namespace dappletiller::balancer
