// What a proxy goes by: entries of several services under one name, settled the same way everywhere. A name
// said by several services that the proxy takes is in force as the first of them in alphabetical order says;
// as everybody's (`*`) only where none of them does. A change costs by the number of services in scope. Pure.
#ifndef DAPPLETILLER_CONFIG_FEED_IN_FORCE_HPP_
#define DAPPLETILLER_CONFIG_FEED_IN_FORCE_HPP_

#include <optional>
#include <string>
#include <vector>

#include "config_feed/store.hpp"

namespace dappletiller::feed {

struct Effect {
  std::string kind, name;
  std::optional<std::string> value;  // none: nothing says it any more
};

// What `changes`, which `store` has taken already, mean for the names that they touch; each name once.
std::vector<Effect> InForce(const Store& store, const Scope& scope, const std::vector<Change>& changes);

}  // namespace dappletiller::feed

#endif  // DAPPLETILLER_CONFIG_FEED_IN_FORCE_HPP_
