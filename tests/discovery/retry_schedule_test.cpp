// The clock of asking discovery added up, for the shortest and longest times between calls that a site may
// set, and played in simulated time by a fleet whose discovery has too many callers at once.
#include "discovery/retry_schedule.hpp"

#include <doctest/doctest.h>

#include <queue>
#include <random>
#include <vector>

namespace dappletiller::limits {
namespace {

using Micros = RetrySchedule::Micros;
constexpr Micros kSecond = 1'000'000;
// From what no site sets to what none would: a call for each of these is due within it.
const std::vector<Micros> kAsks = {0,           1,           kSecond / 100, kSecond / 5,   kSecond,
                                   4 * kSecond, 9 * kSecond, 10 * kSecond,  120 * kSecond, 86'400 * kSecond};

TEST_CASE("a silent watch is noticed with time left for another call, whatever the site's ask time") {
  for (Micros ask : kAsks) {
    CAPTURE(ask);
    Micros wait = RetrySchedule::LongPollWait(ask);
    CHECK(wait >= RetrySchedule::kMinWait);
    if (ask >= 2 * RetrySchedule::kMinWait) CHECK(2 * wait <= ask);
    // Silent right after it was asked, the worst: counted as told at the later of the two.
    Micros told = std::max(RetrySchedule::kNotifiedAfter, wait + RetrySchedule::kNotifiedAfterWait);
    CHECK(RetrySchedule::ResponseTimeout(wait) + RetrySchedule::kResponseTimeout <= told);
    // An answer in time, by discovery's own clock and a slow call, is not taken for silence.
    CHECK(RetrySchedule::ResponseTimeout(wait) >= wait + kSecond);
  }
  CHECK(RetrySchedule::LongPollWait(0) == RetrySchedule::kMaxWait);
}

TEST_CASE("a call that discovery holds for half of the clock is heard out") {
  CHECK(RetrySchedule::ResponseTimeout(0) > RetrySchedule::kNotifiedAfter / 2);
}

// Each way in which the call at hand may end, right after the last moment at which it could have told.
TEST_CASE("whatever failed before, the call that brings a change is asked with time for its answer") {
  for (Micros ask : kAsks) {
    CAPTURE(ask);
    Micros watch = RetrySchedule::ResponseTimeout(RetrySchedule::LongPollWait(ask));
    auto left = [ask](Micros lost, int refusals) {
      return RetrySchedule::kNotifiedAfter - RetrySchedule::MaxTimeToNextRequest(ask, lost, refusals);
    };
    CHECK(left(watch, 0) >= RetrySchedule::kResponseTimeout);
    CHECK(left(watch, 1) >= 2 * kSecond);
    CHECK(left(watch, 2) >= kSecond);
    CHECK(left(RetrySchedule::kResponseTimeout, 0) >=
          2 * kSecond);  // silent, half an answer, a dial that hangs
    CHECK(left(RetrySchedule::kResponseTimeout, 1) >= kSecond);
    CHECK(left(0, 0) >= RetrySchedule::kResponseTimeout);  // refused, turned down, reset
    CHECK(left(0, 1) >= RetrySchedule::kResponseTimeout);
    CHECK(left(0, 2) >= 2 * kSecond);
    // A watch that falls silent, and the one that replaces it as well.
    CHECK(left(watch, 0) - RetrySchedule::MaxTimeToNextRequest(ask, RetrySchedule::kResponseTimeout, 0) >=
          kSecond / 2);
  }
}

TEST_CASE("no draw and no run of failures takes a pause out of its bounds") {
  constexpr double kMost = 0.9999999999;
  for (Micros ask : kAsks) {
    for (int failures : {0, 1, 2, 3, 4, 1000, 2'000'000'000}) {
      for (double draw : {0.0, 0.25, 0.5, kMost}) {
        for (Micros took :
             {Micros{0}, kSecond / 100, kSecond, RetrySchedule::kResponseTimeout, 100 * kSecond}) {
          CAPTURE(ask);
          CAPTURE(failures);
          CAPTURE(draw);
          CAPTURE(took);
          Micros pause = RetrySchedule::Backoff(ask, failures, took, draw);
          CHECK(pause >= RetrySchedule::kMinBackoff);
          CHECK(pause <= RetrySchedule::kMaxBackoff);
          // The sums above count with these.
          CHECK(took + pause <= std::max(took + RetrySchedule::kMaxMinBackoff, RetrySchedule::kMaxBackoff));
          CHECK(pause <= RetrySchedule::MaxTimeToNextRequest(ask, 0, 0));
        }
      }
    }
  }
  // Growing, so that a discovery that says no once is asked again soon and one that goes on is spared.
  CHECK(RetrySchedule::Backoff(4 * kSecond, 0, 0, 0.5) < RetrySchedule::Backoff(4 * kSecond, 1, 0, 0.5));
  CHECK(RetrySchedule::Backoff(4 * kSecond, 1, 0, 0.5) < RetrySchedule::Backoff(4 * kSecond, 5, 0, 0.5));
}

// A discovery that takes calls in turn, `gap` for each, works on those too that their callers have left, and
// turns down at once what would wait longer than `patience`.
struct Result {
  Micros last = 0;         // when the last of the fleet had its answer
  int wasted = 0;          // answers that nobody waited for any more
  int busiest = 0;         // calls in one second
  Micros longest_gap = 0;  // between the end of a failed call and the next, or of a call's own time
};

Result AllAsk(int fleet, Micros gap, Micros patience, Micros down_until, Micros ask) {
  enum class What { kAsk, kAnswer, kLeave };
  struct Event {
    Micros at;
    int order;  // of equals the earlier made first: the same on every run
    What what;
    int who;
    int call;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Caller {
    bool has = false;
    int call = 0;
    int failures = 0;
    Micros asked = 0;
  };
  std::mt19937_64 random(7);
  auto draw = [&random] { return static_cast<double>(random() >> 11) * 0x1.0p-53; };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  int order = 0;
  auto add = [&](Micros at, What what, int who, int call) { events.push({at, ++order, what, who, call}); };
  std::vector<Caller> callers(static_cast<std::size_t>(fleet));
  std::vector<int> calls(1000);
  for (int i = 0; i < fleet; ++i) add(static_cast<Micros>(draw() * kSecond), What::kAsk, i, 0);
  Result result;
  Micros free_at = 0;
  auto again = [&](int who, Micros at) {
    Caller& caller = callers[static_cast<std::size_t>(who)];
    Micros pause = RetrySchedule::Backoff(ask, caller.failures++, at - caller.asked, draw());
    result.longest_gap = std::max(result.longest_gap, at - caller.asked + pause);
    ++caller.call;
    add(at + pause, What::kAsk, who, caller.call);
  };
  while (!events.empty()) {
    Event e = events.top();
    events.pop();
    Caller& caller = callers[static_cast<std::size_t>(e.who)];
    if (e.at > 900 * kSecond) break;
    switch (e.what) {
      case What::kAsk:
        caller.asked = e.at;
        ++calls[static_cast<std::size_t>(e.at / kSecond)];
        if (e.at < down_until || std::max(free_at, e.at) + gap - e.at > patience) {
          again(e.who, e.at);
        } else {
          free_at = std::max(free_at, e.at) + gap;
          add(free_at, What::kAnswer, e.who, caller.call);
          add(e.at + RetrySchedule::ResponseTimeout(0), What::kLeave, e.who, caller.call);
        }
        break;
      case What::kAnswer:
        if (caller.call != e.call) {
          ++result.wasted;
        } else {
          caller.has = true;
          result.last = e.at;
        }
        break;
      case What::kLeave:
        if (caller.call == e.call && !caller.has) again(e.who, e.at);
        break;
    }
  }
  for (const Caller& caller : callers) {
    if (!caller.has) result.last = 900 * kSecond;
  }
  for (int n : calls) result.busiest = std::max(result.busiest, n);
  return result;
}

// Guards against a discovery kept busy with calls that nobody waits for: with 2 s for a call that it holds
// for up to 3 s half of its work went unheard, and a proxy was without a list for over 20 s.
TEST_CASE("with too many callers at once discovery's whole time goes into answers that are heard") {
  for (int fleet : {5, 32, 300}) {
    for (Micros patience : {kSecond, 2 * kSecond, 3 * kSecond}) {
      for (Micros down : {Micros{0}, 8 * kSecond}) {
        for (Micros gap : {20 * kSecond / fleet, kSecond / 100}) {
          if (gap > patience) continue;
          CAPTURE(fleet);
          CAPTURE(patience);
          CAPTURE(down);
          CAPTURE(gap);
          Result result = AllAsk(fleet, gap, patience, down, 10 * kSecond);
          CHECK(result.wasted == 0);
          // As long as the calls take in turn, a tenth more, and the pauses at both ends.
          CHECK(result.last <= down + fleet * gap * 11 / 10 + 3 * RetrySchedule::kMaxBackoff);
          CHECK(result.longest_gap <= RetrySchedule::kResponseTimeout + RetrySchedule::kMaxMinBackoff);
          // A bound on the load of a discovery that is down or refuses: two calls a second from each.
          CHECK(result.busiest <= 2 * fleet + 5);
        }
      }
    }
  }
}

}  // namespace
}  // namespace dappletiller::limits
