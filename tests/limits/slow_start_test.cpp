#include "limits/slow_start.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <initializer_list>

namespace dappletiller::limits {
namespace {

constexpr SlowStart::Micros kSecond = 1'000'000;
const SlowStart::Rules kRules{0.2, 10 * kSecond, 2.5, kSecond};

// Work granted between two ages to the holder of the whole allowance, integrated in small steps.
double GrantedWork(const SlowStart& slow_start, double capacity, SlowStart::Micros from,
                   SlowStart::Micros to) {
  double sum = 0;
  for (SlowStart::Micros at = from; at < to; at += 20)
    sum += 0.3 * slow_start.OverloadWork(capacity, at + 10) * 20 / kSecond;
  return sum;
}

TEST_CASE("capacity grows linearly from the initial to the full capacity") {
  SlowStart slow_start(kRules);
  CHECK(slow_start.CapacityFraction(-kSecond) ==
        doctest::Approx(0.2));  // started in the future of this clock
  CHECK(slow_start.CapacityFraction(0) == doctest::Approx(0.2));
  CHECK(slow_start.CapacityFraction(5 * kSecond) == doctest::Approx(0.6));
  CHECK(slow_start.CapacityFraction(10 * kSecond) == 1);
  CHECK(slow_start.IsWarmingUp(10 * kSecond - 1));
  CHECK_FALSE(slow_start.IsWarmingUp(10 * kSecond));
  CHECK(slow_start.OverloadWork(4, 5 * kSecond) == doctest::Approx(2.5 * 0.6 * 4 * kSecond));
}

TEST_CASE("the next send comes when three tenths of the overload work have paid for the one before") {
  SlowStart slow_start(kRules);
  for (double capacity : {1.0, 4.0}) {
    for (SlowStart::Micros age : {SlowStart::Micros{0}, 3 * kSecond, 9 * kSecond, 20 * kSecond}) {
      for (double work : {0.01e6, 0.5e6, 20e6}) {
        CAPTURE(capacity);
        CAPTURE(age);
        CAPTURE(work);
        SlowStart::Micros next = slow_start.NextSendAge(capacity, 1, work, age);
        CHECK(GrantedWork(slow_start, capacity, age, next) == doctest::Approx(work).epsilon(0.01));
      }
    }
  }
}

TEST_CASE("shares of the allowance add up: all holders together send as often as a single one") {
  SlowStart slow_start(kRules);
  constexpr int kHolders = 30;
  constexpr double kWork = 0.5e6;  // the overload work at the start is one such request
  int sends = 0;
  for (int i = 0; i < kHolders; ++i) {
    auto at = slow_start.NextSendAge(1, 1.0 / kHolders, kWork * (i + 0.5) / kHolders, 0);
    for (; at < 10 * kSecond; at = slow_start.NextSendAge(1, 1.0 / kHolders, kWork, at)) ++sends;
  }
  CHECK(sends == std::lround(GrantedWork(slow_start, 1, 0, 10 * kSecond) / kWork));
}

TEST_CASE("one request brings a small fraction of the overload work, or the mean work") {
  SlowStart slow_start(kRules);
  CHECK(slow_start.MaxRequestWork(1, 1000, 0) == doctest::Approx(0.15 * 0.5e6));
  CHECK(slow_start.MaxRequestWork(1, 0.4e6, 0) == 0.4e6);
}

TEST_CASE("without share or capacity there is no next send, and nothing overflows") {
  SlowStart slow_start(kRules);
  CHECK(slow_start.NextSendAge(1, 0, 1000, 0) == SlowStart::kNever);
  CHECK(slow_start.NextSendAge(0, 1, 1000, 0) == SlowStart::kNever);
  CHECK(slow_start.NextSendAge(1, 1e-12, 1e9, 5 * kSecond) <= SlowStart::kNever);
  SlowStart without_slow_start({1, 0, 1, 0});  // settings without slow start
  CHECK_FALSE(without_slow_start.IsWarmingUp(0));
  SlowStart from_zero_capacity({0, 10 * kSecond, 2.5, kSecond});
  CHECK(from_zero_capacity.NextSendAge(1, 1, 0, 0) == 0);
  CHECK(GrantedWork(from_zero_capacity, 1, 0, from_zero_capacity.NextSendAge(1, 1, 0.1e6, 0)) ==
        doctest::Approx(0.1e6).epsilon(0.01));
}

}  // namespace
}  // namespace dappletiller::limits
