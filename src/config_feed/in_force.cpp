#include "config_feed/in_force.hpp"

#include <set>
#include <utility>

namespace dappletiller::feed {

std::vector<Effect> InForce(const Store& store, const Scope& scope, const std::vector<Change>& changes) {
  std::set<std::pair<std::string, std::string>> names;
  for (const Change& change : changes) {
    if (auto key = ReadKey(change.key)) names.emplace(key->kind, key->name);
  }
  std::vector<Effect> effects;
  for (const auto& [kind, name] : names) {
    auto said = [&, kind = kind, name = name](std::string_view service) {
      std::string key = kind;
      key.append("/").append(service).append("/").append(name);
      return store.Find(key);
    };
    const std::string* value = nullptr;
    for (const std::string& service : scope.services) {
      if (value == nullptr && service != kEverybody) value = said(service);
    }
    if (value == nullptr) value = said(kEverybody);
    effects.push_back({kind, name, value == nullptr ? std::nullopt : std::optional(*value)});
  }
  return effects;
}

}  // namespace dappletiller::feed
