// The clock of a silent watch added up, for the shortest and longest times between calls that a site may set.
#include "limits/watch_times.hpp"

#include <doctest/doctest.h>

namespace dappletiller::limits {
namespace {

TEST_CASE("a silent watch is noticed with time left for another call, whatever the site's ask time") {
  constexpr WatchTimes::Micros kSecond = 1'000'000;
  for (WatchTimes::Micros ask :
       {kSecond / 5, kSecond, 4 * kSecond, 9 * kSecond, 10 * kSecond, 120 * kSecond}) {
    CAPTURE(ask);
    WatchTimes::Micros wait = WatchTimes::Wait(ask);
    CHECK(wait > 0);
    CHECK(2 * wait <= ask);
    // Silent right after it was asked, the worst: counted as told at the later of the two.
    WatchTimes::Micros told = std::max(WatchTimes::kToldAfter, wait + WatchTimes::kToldAfterWait);
    CHECK(WatchTimes::AnswerWithin(wait) + kSecond <= told);
    // An answer in time, by discovery's own clock and a slow call, is not taken for silence.
    CHECK(WatchTimes::AnswerWithin(wait) >= wait + kSecond);
  }
  CHECK(WatchTimes::Wait(0) == WatchTimes::kLongestWait);
  CHECK(WatchTimes::AnswerWithin(0) == WatchTimes::kToldAfterWait);
}

}  // namespace
}  // namespace dappletiller::limits
