// What contradicts what, and the meet's properties on random rules.
#include "rules/rules.hpp"

#include <doctest/doctest.h>

#include <pcg_random.hpp>

namespace dappletiller::agreement {
namespace {

class Dice {
 public:
  explicit Dice(std::uint64_t seed) : random_(seed) {}
  int Below(int n) { return static_cast<int>(random_(static_cast<std::uint32_t>(n))); }
  Level Any(int least, int most) {
    int does = least + Below(most - least + 1);
    return {does, Below(2) == 0 ? does : does + Below(most - does + 1)};
  }
  Rules Draw() {
    Rules rules;
    rules.version = static_cast<std::uint64_t>(Below(9));
    if (Below(2) == 0) rules.otherwise = {Any(1, 4), Any(0, 1), Any(0, 2)};
    for (const char* name : {"a", "b", "c"}) {
      if (Below(3) > 0) rules.classes[name] = {Any(1, 4), Any(0, 1), Any(0, 2)};
      if (Below(3) > 0) rules.workers[name] = Any(kGone, kReady);
      Part left = kWhole;
      for (const char* proxy : {"p", "q", "r"}) {
        Part part = static_cast<Part>(Below(static_cast<int>(left) + 1));
        if (Below(2) == 0) left -= rules.parts[name][proxy] = part;
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
    Rules a = dice.Draw(), b = dice.Draw(), c = dice.Draw();
    REQUIRE(Valid(a));
    Rules meet = Meet(a, b);
    contradict += Contradicts(a, b) ? 1 : 0;
    CHECK(Valid(meet));
    CHECK(Contradicts(a, b) == Contradicts(b, a));
    CHECK_FALSE(Contradicts(a, a));
    CHECK_FALSE(Contradicts(a, meet));
    CHECK_FALSE(Contradicts(meet, b));
    CHECK(meet == Meet(b, a));
    CHECK(Meet(a, a) == a);
    CHECK(Meet(meet, c) == Meet(a, Meet(b, c)));
    // Of workers the restricted rules say what was said last; all else contradicts nobody.
    Rules strict = Restricted(a), other = b;
    strict.workers.clear();
    CHECK_FALSE(Contradicts(strict, other));
  }
  CHECK(contradict > 500);
}

TEST_CASE("each kind of contradiction is named, with the loose and the strict word") {
  Rules v, w;
  v.classes["pay"] = {Plain(1), Plain(0), Plain(0)};
  w.classes["pay"] = {Plain(3), Plain(1), Plain(2)};
  w.classes["new"] = {Plain(2), Plain(0), Plain(0)};
  v.workers = {{"w1", Plain(kReady)}, {"w2", Plain(kReady)}};
  w.workers = {{"w1", Plain(kDraining)}};
  v.parts["cold"] = {{"p1", 600'000}, {"p2", 400'000}};
  w.parts["cold"] = {{"p1", 500'000}, {"p2", 500'000}};
  CHECK(Contradictions(v, w) ==
        std::vector<std::string>{
            "class new attempts: 2 against at most 1", "class pay attempts: 3 against at most 1",
            "class pay copies: 1 against at most 0", "class pay repeats: 2 against at most 0",
            "worker w1 standing: 3 against at most 2", "parts of cold: 1100000 millionths at the worst"});
  Rules meet = Meet(v, w);
  CHECK(meet.classes["pay"].attempts.does == 1);
  CHECK(meet.workers["w1"].does == kDraining);
  CHECK(meet.parts["cold"]["p1"] == 500'000);
  CHECK(meet.parts["cold"]["p2"] == 400'000);
}

}  // namespace
}  // namespace dappletiller::agreement
