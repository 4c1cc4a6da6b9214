// The request classes of the decision module, by index. Part of its implementation.
#ifndef DAPPLETILLER_BALANCER_CLASS_TABLE_HPP_
#define DAPPLETILLER_BALANCER_CLASS_TABLE_HPP_

#include <cstddef>
#include <memory>
#include <vector>

#include "dappletiller/balancer.hpp"

namespace dappletiller::balancer {

class ClassTable {
 public:
  struct Entry {
    // Shared with the open requests, which keep the settings that their class had on their arrival.
    std::shared_ptr<const ClassSettings> settings;
    bool listed = true;          // it is part of the configuration
    Micros usual_time_left = 0;  // high quantile of the time to the deadline on arrival
  };

  // Adds or changes a class. False, and no change: the index is negative or the settings are unusable.
  bool Set(int index, bool listed, const ClassSettings& settings);
  bool Contains(int index) const;
  // `index` must be contained.
  Entry& at(int index) { return entries_[static_cast<std::size_t>(index)]; }

  // Of the listed classes; while none is listed, as before.
  double shortest_objective() const { return shortest_objective_; }
  double max_weight() const { return max_weight_; }

 private:
  void UpdateExtremes();

  std::vector<Entry> entries_;
  double shortest_objective_ = 0;
  double max_weight_ = 0;
};

}  // namespace dappletiller::balancer

#endif  // DAPPLETILLER_BALANCER_CLASS_TABLE_HPP_
