// Which entry is in effect where several services give one name. A name that several services of the scope
// give is in effect as the first of them in alphabetical order says; as that of all services (`*`) only where
// none of them does. A change costs by the number of services in scope. Pure.
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
  std::optional<std::string> value;  // none: no service gives this name any more
};

// What `changes`, which `store` has taken already, mean for the names that they touch; each name once.
std::vector<EffectiveEntry> ResolveEntries(const Store& store, const Scope& scope,
                                           const std::vector<Change>& changes);

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_EFFECTIVE_ENTRIES_HPP_
