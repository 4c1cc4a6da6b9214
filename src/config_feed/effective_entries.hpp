// Determines the entry in effect if several services define the same name: the first service of the scope in
// alphabetical order, or that of all services (`*`) if none of them defines it. The cost of a change is
// proportional to the number of services in scope. Pure.
#ifndef DAPPLETILLER_CONFIG_FEED_EFFECTIVE_ENTRIES_HPP_
#define DAPPLETILLER_CONFIG_FEED_EFFECTIVE_ENTRIES_HPP_

#include <optional>
#include <string>
#include <vector>

#include "config_feed/store.hpp"

namespace dappletiller::config_feed {

struct EffectiveEntry {
  std::string kind;
  std::string name;
  std::optional<std::string> value;  // none: no service defines this name any more
};

// The entries in effect for the names that `changes` affect, each once. `store` already contains the changes.
std::vector<EffectiveEntry> ResolveEntries(const Store& store, const Scope& scope,
                                           const std::vector<Change>& changes);

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_EFFECTIVE_ENTRIES_HPP_
