// Conflicts between rule sets, and the properties of StrictestCommonRules on random sets.
#include "rules/rule_set.hpp"

#include <doctest/doctest.h>

#include <pcg_random.hpp>

namespace dappletiller::rules {
namespace {

class RandomRules {
 public:
  explicit RandomRules(std::uint64_t seed) : random_(seed) {}
  int Below(int n) { return static_cast<int>(random_(static_cast<std::uint32_t>(n))); }
  Level RandomLevel(int min, int max) {
    int acts = min + Below(max - min + 1);
    return {acts, Below(2) == 0 ? acts : acts + Below(max - acts + 1)};
  }
  RuleSet Next() {
    RuleSet rules;
    rules.version = static_cast<std::uint64_t>(Below(9));
    if (Below(2) == 0) rules.default_class = {RandomLevel(1, 4), RandomLevel(0, 1), RandomLevel(0, 2)};
    for (const char* name : {"a", "b", "c"}) {
      if (Below(3) > 0) rules.classes[name] = {RandomLevel(1, 4), RandomLevel(0, 1), RandomLevel(0, 2)};
      if (Below(3) > 0)
        rules.servers[name] =
            RandomLevel(static_cast<int>(ServerStanding::kRemoved), static_cast<int>(ServerStanding::kReady));
      Share remaining = kWholeQuota;
      for (const char* proxy : {"p", "q", "r"}) {
        Share share = static_cast<Share>(Below(static_cast<int>(remaining) + 1));
        if (Below(2) == 0) remaining -= rules.quotas[name][proxy] = share;
      }
    }
    return rules;
  }

 private:
  pcg32 random_;
};

TEST_CASE(
    "the strictest common rules conflict with neither set and are commutative, associative, idempotent; "
    "restricted rules conflict with none") {
  RandomRules random_rules(1);
  int conflicting = 0;
  for (int i = 0; i < 3000; ++i) {
    RuleSet a = random_rules.Next(), b = random_rules.Next(), c = random_rules.Next();
    REQUIRE(IsValid(a));
    RuleSet common = StrictestCommonRules(a, b);
    conflicting += AreCompatible(a, b) ? 0 : 1;
    CHECK(IsValid(common));
    CHECK(AreCompatible(a, b) == AreCompatible(b, a));
    CHECK(AreCompatible(a, a));
    CHECK(AreCompatible(a, common));
    CHECK(AreCompatible(common, b));
    CHECK(common == StrictestCommonRules(b, a));
    CHECK(StrictestCommonRules(a, a) == a);
    CHECK(StrictestCommonRules(common, c) == StrictestCommonRules(a, StrictestCommonRules(b, c)));
    // Restricted rules keep the last rules on servers; everything else conflicts with no set.
    RuleSet restricted = RestrictedRules(a), other = b;
    restricted.servers.clear();
    CHECK(AreCompatible(restricted, other));
  }
  CHECK(conflicting > 500);
}

TEST_CASE("each kind of conflict is reported with the looser and the stricter level") {
  RuleSet v, w;
  v.classes["pay"] = {ExactLevel(1), ExactLevel(0), ExactLevel(0)};
  w.classes["pay"] = {ExactLevel(3), ExactLevel(1), ExactLevel(2)};
  w.classes["new"] = {ExactLevel(2), ExactLevel(0), ExactLevel(0)};
  v.servers = {{"w1", ExactLevel(ServerStanding::kReady)}, {"w2", ExactLevel(ServerStanding::kReady)}};
  w.servers = {{"w1", ExactLevel(ServerStanding::kDraining)}};
  v.quotas["cold"] = {{"p1", 600'000}, {"p2", 400'000}};
  w.quotas["cold"] = {{"p1", 500'000}, {"p2", 500'000}};
  std::vector<std::string> conflicts;
  for (const RuleConflict& conflict : FindConflicts(v, w)) conflicts.push_back(ToString(conflict));
  CHECK(conflicts == std::vector<std::string>{
                         "class new attempts: 2 against at most 1", "class pay attempts: 3 against at most 1",
                         "class pay hedges: 1 against at most 0", "class pay retries: 2 against at most 0",
                         "server w1 standing: 3 against at most 2",
                         "quota cold shares: 1100000 against at most 1000000"});
  RuleSet common = StrictestCommonRules(v, w);
  CHECK(common.classes["pay"].attempts.acts_up_to == 1);
  CHECK(common.servers["w1"].acts_up_to == static_cast<int>(ServerStanding::kDraining));
  CHECK(common.quotas["cold"]["p1"] == 500'000);
  CHECK(common.quotas["cold"]["p2"] == 400'000);
}

}  // namespace
}  // namespace dappletiller::rules
