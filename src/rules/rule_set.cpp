#include "rules/rule_set.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace dappletiller::rules {
namespace {

constexpr int kForbidsNothing = std::numeric_limits<int>::max();

// Level of a server without a rule: neither acts nor forbids, so it cannot conflict.
constexpr Level kAbstains = {0, kForbidsNothing};

Level StricterOf(const Level& a, const Level& b) {
  return {std::min(a.acts_up_to, b.acts_up_to), std::max(a.forbids_above, b.forbids_above)};
}

ClassRules StricterOf(const ClassRules& a, const ClassRules& b) {
  return {StricterOf(a.attempts, b.attempts), StricterOf(a.hedges, b.hedges),
          StricterOf(a.retries, b.retries)};
}

template <typename Map>
typename Map::mapped_type FindOr(const Map& map, const std::string& key,
                                 const typename Map::mapped_type& fallback) {
  auto it = map.find(key);
  return it == map.end() ? fallback : it->second;
}

// The union of the keys of both maps, sorted.
template <typename Map>
std::vector<std::string> KeysOf(const Map& a, const Map& b) {
  std::vector<std::string> keys;
  for (const Map* map : {&a, &b}) {
    for (const auto& [key, value] : *map) keys.push_back(key);
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  return keys;
}

bool IsValid(const Level& level) { return level.acts_up_to >= 0 && level.acts_up_to <= level.forbids_above; }

bool IsValid(const ClassRules& rules) {
  return rules.attempts.acts_up_to >= 1 && IsValid(rules.attempts) && IsValid(rules.hedges) &&
         IsValid(rules.retries);
}

std::uint64_t SumOf(const SharesByProxy& shares) {
  return std::accumulate(shares.begin(), shares.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const auto& share) { return sum + share.second; });
}

// Each proxy may act on either of the two sets: in the worst case, on its larger share.
std::uint64_t WorstSumOf(const SharesByProxy& a, const SharesByProxy& b) {
  std::uint64_t sum = 0;
  for (const std::string& proxy : KeysOf(a, b)) sum += std::max(FindOr(a, proxy, 0), FindOr(b, proxy, 0));
  return sum;
}

SharesByProxy SmallerSharesOf(const SharesByProxy& a, const SharesByProxy& b) {
  SharesByProxy shares;
  for (const std::string& proxy : KeysOf(a, b)) {
    shares[proxy] = std::min(FindOr(a, proxy, 0), FindOr(b, proxy, 0));
  }
  return shares;
}

void AddConflicts(const std::string& rule, const Level& a, const Level& b,
                  std::vector<RuleConflict>* conflicts) {
  const auto add = [&](const Level& looser, const Level& stricter) {
    conflicts->push_back({rule, static_cast<std::uint64_t>(looser.acts_up_to),
                          static_cast<std::uint64_t>(stricter.forbids_above)});
  };
  if (a.acts_up_to > b.forbids_above) add(a, b);
  if (b.acts_up_to > a.forbids_above) add(b, a);
}

}  // namespace

bool IsValid(const RuleSet& rules) {
  return std::all_of(rules.classes.begin(), rules.classes.end(),
                     [](const auto& entry) { return IsValid(entry.second); }) &&
         std::all_of(rules.servers.begin(), rules.servers.end(),
                     [](const auto& entry) { return IsValid(entry.second); }) &&
         std::all_of(rules.quotas.begin(), rules.quotas.end(),
                     [](const auto& entry) { return SumOf(entry.second) <= kWholeQuota; });
}

std::string ToString(const RuleConflict& conflict) {
  return conflict.rule + ": " + std::to_string(conflict.acted) + " against at most " +
         std::to_string(conflict.allowed);
}

std::vector<RuleConflict> FindConflicts(const RuleSet& a, const RuleSet& b) {
  std::vector<RuleConflict> conflicts;
  for (const std::string& name : KeysOf(a.classes, b.classes)) {
    const ClassRules of_a = FindOr(a.classes, name, a.default_class);
    const ClassRules of_b = FindOr(b.classes, name, b.default_class);
    AddConflicts("class " + name + " attempts", of_a.attempts, of_b.attempts, &conflicts);
    AddConflicts("class " + name + " hedges", of_a.hedges, of_b.hedges, &conflicts);
    AddConflicts("class " + name + " retries", of_a.retries, of_b.retries, &conflicts);
  }
  for (const std::string& uid : KeysOf(a.servers, b.servers)) {
    AddConflicts("server " + uid + " standing", FindOr(a.servers, uid, kAbstains),
                 FindOr(b.servers, uid, kAbstains), &conflicts);
  }
  for (const std::string& name : KeysOf(a.quotas, b.quotas)) {
    const std::uint64_t sum = WorstSumOf(FindOr(a.quotas, name, {}), FindOr(b.quotas, name, {}));
    if (sum > kWholeQuota) conflicts.push_back({"quota " + name + " shares", sum, kWholeQuota});
  }
  return conflicts;
}

bool AreCompatible(const RuleSet& a, const RuleSet& b) { return FindConflicts(a, b).empty(); }

RuleSet StrictestCommonRules(const RuleSet& a, const RuleSet& b) {
  RuleSet common;
  common.version = std::max(a.version, b.version);
  common.default_class = StricterOf(a.default_class, b.default_class);
  for (const std::string& name : KeysOf(a.classes, b.classes)) {
    common.classes[name] =
        StricterOf(FindOr(a.classes, name, a.default_class), FindOr(b.classes, name, b.default_class));
  }
  for (const std::string& uid : KeysOf(a.servers, b.servers)) {
    common.servers[uid] = StricterOf(FindOr(a.servers, uid, kAbstains), FindOr(b.servers, uid, kAbstains));
  }
  for (const std::string& name : KeysOf(a.quotas, b.quotas)) {
    common.quotas[name] = SmallerSharesOf(FindOr(a.quotas, name, {}), FindOr(b.quotas, name, {}));
  }
  return common;
}

RuleSet RestrictedRules(const RuleSet& last) {
  RuleSet restricted;
  restricted.version = last.version;
  restricted.default_class = {{1, kForbidsNothing}, {0, kForbidsNothing}, {0, kForbidsNothing}};
  restricted.servers = last.servers;
  for (auto& [uid, standing] : restricted.servers) standing.forbids_above = kForbidsNothing;
  return restricted;
}

}  // namespace dappletiller::rules
