#include "dispatch/request_classes.hpp"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <utility>

namespace dappletiller {

const RequestClasses::Entry* RequestClasses::Find(std::string_view name) const {
  const auto found = by_name_.find(std::string(name));
  return found == by_name_.end() ? nullptr : &entries_[static_cast<std::size_t>(found->second)];
}

const RequestClasses::Entry& RequestClasses::Set(const NamedClass& named) {
  const auto found = by_name_.find(named.name);
  const int index = found == by_name_.end() ? NewIndex() : found->second;
  by_name_[named.name] = index;
  std::erase(unlisted_, index);
  Entry& entry = entries_[static_cast<std::size_t>(index)];
  entry = {index, named.name, true, named.settings};
  return entry;
}

void RequestClasses::Replace(const std::vector<NamedClass>& all) {
  std::set<std::string_view> names;
  for (const NamedClass& named : all) names.insert(named.name);
  for (Entry& entry : entries_) {
    if (entry.listed && names.count(entry.name) == 0) Unlist(&entry);
  }
  for (const NamedClass& named : all) Set(named);
}

// The index of the class that left first is reused if too many have left.
int RequestClasses::NewIndex() {
  if (unlisted_.size() < kMaxUnlisted) {
    entries_.emplace_back();
    return static_cast<int>(entries_.size()) - 1;
  }
  const int index = unlisted_.front();
  unlisted_.pop_front();
  by_name_.erase(entries_[static_cast<std::size_t>(index)].name);
  return index;
}

void RequestClasses::Unlist(Entry* entry) {
  entry->listed = false;
  unlisted_.push_back(entry->index);
}

const RequestClasses::Entry* RequestClasses::FindSimilar(const balancer::ClassSettings& settings) const {
  const Entry* best = nullptr;
  std::pair<bool, balancer::Micros> best_difference;
  for (const Entry& entry : entries_) {
    if (!entry.listed) continue;
    const bool other_effect = entry.settings.effect != settings.effect;
    const std::pair difference(other_effect,
                               std::abs(entry.settings.client_timeout - settings.client_timeout));
    if (best != nullptr && difference >= best_difference) continue;
    best = &entry;
    best_difference = difference;
  }
  return best;
}

balancer::Micros RequestClasses::longest_timeout() const {
  balancer::Micros longest = 0;
  for (const Entry& entry : entries_) {
    if (entry.listed) longest = std::max(longest, entry.settings.client_timeout);
  }
  return longest;
}

}  // namespace dappletiller
