// The request classes by name, and the only place outside the decision module that holds their settings.
//
// A request refers to its class by index. A class that leaves the configuration stays known, so that late
// clients are still served; only the kMaxUnlisted that left last are kept. Indexes are reused, so memory is
// bounded by the listed classes and kMaxUnlisted.
//
// Pure: no I/O, no clock. Not thread-safe.
#ifndef DAPPLETILLER_DISPATCH_REQUEST_CLASSES_HPP_
#define DAPPLETILLER_DISPATCH_REQUEST_CLASSES_HPP_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dappletiller/balancer.hpp"

namespace dappletiller {

struct NamedClass {
  std::string name;
  balancer::ClassSettings settings;
};

class RequestClasses {
 public:
  static constexpr std::size_t kMaxUnlisted = 64;

  struct Entry {
    int index = 0;
    std::string name;
    bool listed = true;  // it is part of the configuration
    balancer::ClassSettings settings;
  };

  // Null: unknown. Valid until the next change.
  const Entry* Find(std::string_view name) const;
  // Adds or changes one class.
  const Entry& Set(const NamedClass& named);
  // Makes `all` the listed classes; each other one that is listed leaves the configuration.
  void Replace(const std::vector<NamedClass>& all);
  // The listed class whose client timeout is closest to `settings`, if possible one with the same effect;
  // null: none is listed.
  const Entry* FindSimilar(const balancer::ClassSettings& settings) const;
  // The longest time that a client of a listed class waits; 0: none is listed.
  balancer::Micros longest_timeout() const;

  // By index; an entry without a name is not in use.
  const std::vector<Entry>& entries() const { return entries_; }

 private:
  int NewIndex();
  void Unlist(Entry* entry);

  std::vector<Entry> entries_;
  std::unordered_map<std::string, int> by_name_;
  std::deque<int> unlisted_;  // indexes, the first that left first
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_REQUEST_CLASSES_HPP_
