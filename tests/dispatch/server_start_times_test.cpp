// Start times of servers whose wall clocks are stepped.
#include "dispatch/server_start_times.hpp"

#include <doctest/doctest.h>

#include <string>

namespace dappletiller::testing {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kHour = 3'600 * kSecond;
constexpr Micros kNow = 100 * kHour;

TEST_CASE("a restart with a wall clock stepped back makes a cold server look warm") {
  ServerStartTimes starts;
  const Micros long_before = kNow - 20 * kHour - 600 * kSecond;
  CHECK(starts.Update("s", long_before, kNow, 0) == long_before);  // the first list
  const Micros restarted = kNow + 60 * kSecond;
  const Micros listed = restarted - kHour;
  const Micros bounded = starts.Update("s", listed, restarted, restarted - kSecond);
  CHECK(bounded >= restarted - 7 * kSecond);
  CHECK(bounded <= restarted);
  // Later lists of the same start change nothing.
  CHECK(starts.Update("s", listed, restarted + kHour, restarted + kHour) == bounded);
}

TEST_CASE("a process that starts on a wall clock stepped forward takes a cold server for warm") {
  constexpr Micros kLongestWarmup = 120 * kSecond;
  ServerStartTimes starts;
  int number = 0;
  for (const Micros true_age : {Micros{0}, 3 * kSecond, kLongestWarmup}) {
    for (const Micros ahead : {kHour, 2 * kHour, 24 * kHour}) {
      for (const Micros difference : {-2 * kSecond, Micros{0}}) {  // between the machines
        const Micros listed = kNow - ahead - true_age - difference;
        CAPTURE(true_age);
        CAPTURE(ahead);
        CHECK(starts.Update("s" + std::to_string(++number), listed, kNow, 0) == kNow);
      }
    }
  }
  // Other ages are what they are: in a release all servers are some minutes old.
  for (const Micros age : {3 * kSecond, 40 * 60 * kSecond, kHour + 10 * 60 * kSecond, 30 * 24 * kHour}) {
    CAPTURE(age);
    CHECK(starts.Update("s" + std::to_string(++number), kNow - age, kNow, 0) == kNow - age);
  }
}

TEST_CASE("a start time ahead of the clock keeps a server cold for an hour") {
  ServerStartTimes starts;
  CHECK(starts.Update("s", kNow + kHour, kNow, 0) == kNow);
  CHECK(starts.Update("t", kNow + kHour, kNow, kNow - kSecond) == kNow);
}

TEST_CASE("a server that was listed before and returns unchanged counts as cold") {
  ServerStartTimes starts;
  const Micros started = kNow - kHour - 600 * kSecond;
  starts.Update("s", started, kNow, 0);
  CHECK(starts.Update("s", started, kNow + 30 * kSecond, kNow + 29 * kSecond) == started);
  CHECK(starts.Contains("s"));
  CHECK_FALSE(starts.Contains("t"));
}

TEST_CASE("a server that started long ago is listed with a start time") {
  ServerStartTimes starts;
  CHECK(starts.Update("s", 0, kNow, kNow - kSecond) == 0);
  CHECK(starts.Contains("s"));
}

TEST_CASE("a server that starts during an outage of discovery counts as younger than it can be") {
  ServerStartTimes starts;
  const Micros last_answer = kNow - 60 * kSecond;
  const Micros started = kNow - 40 * kSecond;
  CHECK(starts.Update("s", started, kNow, last_answer) == started);
}

}  // namespace
}  // namespace dappletiller::testing
