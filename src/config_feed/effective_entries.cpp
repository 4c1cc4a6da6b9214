#include "config_feed/effective_entries.hpp"

#include <set>
#include <utility>

namespace dappletiller::config_feed {
namespace {

const std::string* FindEffective(const Store& store, const Scope& scope, const std::string& kind,
                                 const std::string& name) {
  const auto find = [&](std::string_view service) {
    std::string key = kind;
    key.append("/").append(service).append("/").append(name);
    return store.Find(key);
  };
  for (const std::string& service : scope.services) {
    if (service == kAllServices) continue;
    if (const std::string* value = find(service)) return value;
  }
  return find(kAllServices);
}

}  // namespace

std::vector<EffectiveEntry> ResolveEntries(const Store& store, const Scope& scope,
                                           const std::vector<Change>& changes) {
  std::set<std::pair<std::string, std::string>> names;
  for (const Change& change : changes) {
    if (const auto key = ParseKey(change.key)) names.emplace(key->kind, key->name);
  }
  std::vector<EffectiveEntry> entries;
  for (const auto& [kind, name] : names) {
    const std::string* value = FindEffective(store, scope, kind, name);
    entries.push_back({kind, name, value == nullptr ? std::nullopt : std::optional(*value)});
  }
  return entries;
}

}  // namespace dappletiller::config_feed
