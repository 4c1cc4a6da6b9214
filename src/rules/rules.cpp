#include "rules/rules.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <string_view>

namespace dappletiller::agreement {
namespace {

constexpr int kLoosest = std::numeric_limits<int>::max();

// Of a worker that a set doesn't name it neither acts as if it knew nor forbids: it can't contradict.
constexpr Level kSilent = {0, kLoosest};

Level Meet(const Level& a, const Level& b) {
  return {std::min(a.does, b.does), std::max(a.forbids, b.forbids)};
}

ClassRule Meet(const ClassRule& a, const ClassRule& b) {
  return {Meet(a.attempts, b.attempts), Meet(a.copies, b.copies), Meet(a.repeats, b.repeats)};
}

template <typename Map>
typename Map::mapped_type Find(const Map& map, const std::string& key,
                               const typename Map::mapped_type& otherwise) {
  auto it = map.find(key);
  return it == map.end() ? otherwise : it->second;
}

template <typename Map>
std::vector<std::string> Names(const Map& a, const Map& b) {
  std::vector<std::string> names;
  for (const Map* map : {&a, &b}) {
    for (const auto& [name, value] : *map) names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

bool Valid(const Level& level) { return level.does >= 0 && level.does <= level.forbids; }

void Against(const std::string& what, const Level& a, const Level& b, std::vector<std::string>* out) {
  auto say = [&](const Level& loose, const Level& strict) {
    out->push_back(what + ": " + std::to_string(loose.does) + " against at most " +
                   std::to_string(strict.forbids));
  };
  if (a.does > b.forbids) say(a, b);
  if (b.does > a.forbids) say(b, a);
}

using Shares = std::map<std::string, Part>;

std::uint64_t Sum(const Shares& shares) {
  return std::accumulate(shares.begin(), shares.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const auto& share) { return sum + share.second; });
}

// Each proxy acts on one of the two, whichever: at the worst on its larger part.
std::uint64_t AtWorst(const Shares& a, const Shares& b) {
  std::uint64_t sum = 0;
  for (const std::string& name : Names(a, b)) sum += std::max(Find(a, name, 0), Find(b, name, 0));
  return sum;
}

}  // namespace

bool Valid(const Rules& rules) {
  return std::all_of(rules.classes.begin(), rules.classes.end(),
                     [](const auto& c) {
                       return c.second.attempts.does >= 1 && Valid(c.second.attempts) &&
                              Valid(c.second.copies) && Valid(c.second.repeats);
                     }) &&
         std::all_of(rules.workers.begin(), rules.workers.end(),
                     [](const auto& w) { return Valid(w.second); }) &&
         std::all_of(rules.parts.begin(), rules.parts.end(),
                     [](const auto& p) { return Sum(p.second) <= kWhole; });
}

std::vector<std::string> Contradictions(const Rules& a, const Rules& b) {
  std::vector<std::string> all;
  for (const std::string& name : Names(a.classes, b.classes)) {
    ClassRule x = Find(a.classes, name, a.otherwise), y = Find(b.classes, name, b.otherwise);
    Against("class " + name + " attempts", x.attempts, y.attempts, &all);
    Against("class " + name + " copies", x.copies, y.copies, &all);
    Against("class " + name + " repeats", x.repeats, y.repeats, &all);
  }
  for (const std::string& name : Names(a.workers, b.workers)) {
    Against("worker " + name + " standing", Find(a.workers, name, kSilent), Find(b.workers, name, kSilent),
            &all);
  }
  for (const std::string& name : Names(a.parts, b.parts)) {
    std::uint64_t sum = AtWorst(Find(a.parts, name, {}), Find(b.parts, name, {}));
    if (sum > kWhole)
      all.push_back("parts of " + name + ": " + std::to_string(sum) + " millionths at the worst");
  }
  return all;
}

bool Contradicts(const Rules& a, const Rules& b) { return !Contradictions(a, b).empty(); }

Rules Meet(const Rules& a, const Rules& b) {
  Rules meet;
  meet.version = std::max(a.version, b.version);
  meet.otherwise = Meet(a.otherwise, b.otherwise);
  for (const std::string& name : Names(a.classes, b.classes)) {
    meet.classes[name] = Meet(Find(a.classes, name, a.otherwise), Find(b.classes, name, b.otherwise));
  }
  for (const std::string& name : Names(a.workers, b.workers))
    meet.workers[name] = Meet(Find(a.workers, name, kSilent), Find(b.workers, name, kSilent));
  for (const std::string& name : Names(a.parts, b.parts)) {
    Shares x = Find(a.parts, name, {}), y = Find(b.parts, name, {});
    Shares& shares = meet.parts[name];
    for (const std::string& proxy : Names(x, y))
      shares[proxy] = std::min(Find(x, proxy, 0), Find(y, proxy, 0));
  }
  return meet;
}

Rules Restricted(const Rules& last) {
  Rules strict;
  strict.version = last.version;
  strict.workers = last.workers;
  for (auto& [name, standing] : strict.workers) standing.forbids = kLoosest;
  strict.otherwise = {{1, kLoosest}, {0, kLoosest}, {0, kLoosest}};
  return strict;
}

}  // namespace dappletiller::agreement
