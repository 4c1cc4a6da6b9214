#include "limits/cold_ramp.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <initializer_list>

namespace dappletiller::limits {
namespace {

constexpr ColdRamp::Micros kSecond = 1'000'000;
const ColdRamp::Rules kRules{0.2, 10 * kSecond, 2.5, kSecond};

// What is allowed between two ages to the holder of all, added up in small steps.
double Allowed(const ColdRamp& ramp, double capacity, ColdRamp::Micros from, ColdRamp::Micros to) {
  double sum = 0;
  for (ColdRamp::Micros at = from; at < to; at += 20)
    sum += 0.3 * ramp.Budget(capacity, at + 10) * 20 / kSecond;
  return sum;
}

TEST_CASE("a cold server warms evenly from its share to all of its capacity") {
  ColdRamp ramp(kRules);
  CHECK(ramp.Warmed(-kSecond) == doctest::Approx(0.2));  // a start that this clock has not come to yet
  CHECK(ramp.Warmed(0) == doctest::Approx(0.2));
  CHECK(ramp.Warmed(5 * kSecond) == doctest::Approx(0.6));
  CHECK(ramp.Warmed(10 * kSecond) == 1);
  CHECK(ramp.Cold(10 * kSecond - 1));
  CHECK_FALSE(ramp.Cold(10 * kSecond));
  CHECK(ramp.Budget(4, 5 * kSecond) == doctest::Approx(2.5 * 0.6 * 4 * kSecond));
}

TEST_CASE("a turn comes when three tenths of the budget have paid for the one before") {
  ColdRamp ramp(kRules);
  for (double capacity : {1.0, 4.0}) {
    for (ColdRamp::Micros age : {ColdRamp::Micros{0}, 3 * kSecond, 9 * kSecond, 20 * kSecond}) {
      for (double work : {0.01e6, 0.5e6, 20e6}) {
        CAPTURE(capacity);
        CAPTURE(age);
        CAPTURE(work);
        ColdRamp::Micros next = ramp.NextTurn(capacity, 1, work, age);
        CHECK(Allowed(ramp, capacity, age, next) == doctest::Approx(work).epsilon(0.01));
      }
    }
  }
}

TEST_CASE("many parts of one allowance make the whole: turns of all holders come as often as one's") {
  ColdRamp ramp(kRules);
  constexpr int kHolders = 30;
  constexpr double kWork = 0.5e6;  // the whole budget at the start is one request of this
  int turns = 0;
  for (int i = 0; i < kHolders; ++i) {
    auto at = ramp.NextTurn(1, 1.0 / kHolders, kWork * (i + 0.5) / kHolders, 0);
    for (; at < 10 * kSecond; at = ramp.NextTurn(1, 1.0 / kHolders, kWork, at)) ++turns;
  }
  CHECK(turns == std::lround(Allowed(ramp, 1, 0, 10 * kSecond) / kWork));
}

TEST_CASE("one request brings a small part of the budget, or a usual request's work") {
  ColdRamp ramp(kRules);
  CHECK(ramp.Lump(1, 1000, 0) == doctest::Approx(0.15 * 0.5e6));
  CHECK(ramp.Lump(1, 0.4e6, 0) == 0.4e6);
}

TEST_CASE("no part, no capacity or no share is never a turn, and nothing overflows") {
  ColdRamp ramp(kRules);
  CHECK(ramp.NextTurn(1, 0, 1000, 0) == ColdRamp::kNever);
  CHECK(ramp.NextTurn(0, 1, 1000, 0) == ColdRamp::kNever);
  CHECK(ramp.NextTurn(1, 1e-12, 1e9, 5 * kSecond) <= ColdRamp::kNever);
  ColdRamp always({1, 0, 1, 0});  // settings without cold starts
  CHECK_FALSE(always.Cold(0));
  ColdRamp from_nothing({0, 10 * kSecond, 2.5, kSecond});
  CHECK(from_nothing.NextTurn(1, 1, 0, 0) == 0);
  CHECK(Allowed(from_nothing, 1, 0, from_nothing.NextTurn(1, 1, 0.1e6, 0)) ==
        doctest::Approx(0.1e6).epsilon(0.01));
}

}  // namespace
}  // namespace dappletiller::limits
