// What contradicts what, and the meet's properties on random rules.
#include "rules/rule_set.hpp"

#include <doctest/doctest.h>

#include <pcg_random.hpp>

namespace dappletiller::rules {
namespace {

class Dice {
 public:
  explicit Dice(std::uint64_t seed) : random_(seed) {}
  int Below(int n) { return static_cast<int>(random_(static_cast<std::uint32_t>(n))); }
  Level Any(int least, int most) {
    int does = least + Below(most - least + 1);
    return {does, Below(2) == 0 ? does : does + Below(most - does + 1)};
  }
  RuleSet Draw() {
    RuleSet rules;
    rules.version = static_cast<std::uint64_t>(Below(9));
    if (Below(2) == 0) rules.default_class = {Any(1, 4), Any(0, 1), Any(0, 2)};
    for (const char* name : {"a", "b", "c"}) {
      if (Below(3) > 0) rules.classes[name] = {Any(1, 4), Any(0, 1), Any(0, 2)};
      if (Below(3) > 0)
        rules.servers[name] =
            Any(static_cast<int>(ServerStanding::kRemoved), static_cast<int>(ServerStanding::kReady));
      Share left = kWholeQuota;
      for (const char* proxy : {"p", "q", "r"}) {
        Share part = static_cast<Share>(Below(static_cast<int>(left) + 1));
        if (Below(2) == 0) left -= rules.quotas[name][proxy] = part;
      }
    }
    return rules;
  }

 private:
  pcg32 random_;
};

TEST_CASE("the meet contradicts neither; commutative, associative, idempotent; so does the restricted one") {
  Dice dice(1);
  int contradict = 0;
  for (int i = 0; i < 3000; ++i) {
    RuleSet a = dice.Draw(), b = dice.Draw(), c = dice.Draw();
    REQUIRE(IsValid(a));
    RuleSet meet = StrictestCommonRules(a, b);
    contradict += AreCompatible(a, b) ? 0 : 1;
    CHECK(IsValid(meet));
    CHECK(AreCompatible(a, b) == AreCompatible(b, a));
    CHECK(AreCompatible(a, a));
    CHECK(AreCompatible(a, meet));
    CHECK(AreCompatible(meet, b));
    CHECK(meet == StrictestCommonRules(b, a));
    CHECK(StrictestCommonRules(a, a) == a);
    CHECK(StrictestCommonRules(meet, c) == StrictestCommonRules(a, StrictestCommonRules(b, c)));
    // Of workers the restricted rules say what was said last; all else contradicts nobody.
    RuleSet strict = RestrictedRules(a), other = b;
    strict.servers.clear();
    CHECK(AreCompatible(strict, other));
  }
  CHECK(contradict > 500);
}

TEST_CASE("each kind of contradiction is named, with the loose and the strict word") {
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
  RuleSet meet = StrictestCommonRules(v, w);
  CHECK(meet.classes["pay"].attempts.acts_up_to == 1);
  CHECK(meet.servers["w1"].acts_up_to == static_cast<int>(ServerStanding::kDraining));
  CHECK(meet.quotas["cold"]["p1"] == 500'000);
  CHECK(meet.quotas["cold"]["p2"] == 400'000);
}

}  // namespace
}  // namespace dappletiller::rules
