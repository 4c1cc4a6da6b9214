// The retry schedule of discovery: the sums for short and long poll intervals, and a simulated fleet whose
// discovery is overloaded.
#include "discovery/retry_schedule.hpp"

#include <doctest/doctest.h>

#include <queue>
#include <random>
#include <vector>

namespace dappletiller::limits {
namespace {

using Micros = RetrySchedule::Micros;
constexpr Micros kSecond = 1'000'000;
// Poll intervals, from shorter to longer than any realistic one.
const std::vector<Micros> kPollIntervals = {
    0,           1,           kSecond / 100, kSecond / 5,   kSecond,
    4 * kSecond, 9 * kSecond, 10 * kSecond,  120 * kSecond, 86'400 * kSecond};

TEST_CASE("a silent watch is noticed with time left for another request, for any poll interval") {
  for (Micros poll_interval : kPollIntervals) {
    CAPTURE(poll_interval);
    Micros wait = RetrySchedule::LongPollWait(poll_interval);
    CHECK(wait >= RetrySchedule::kMinWait);
    if (poll_interval >= 2 * RetrySchedule::kMinWait) CHECK(2 * wait <= poll_interval);
    // The worst case: silent right after the request. Counts as notified at the later of the two times.
    Micros notified_by = std::max(RetrySchedule::kNotifiedAfter, wait + RetrySchedule::kNotifiedAfterWait);
    CHECK(RetrySchedule::ResponseTimeout(wait) + RetrySchedule::kResponseTimeout <= notified_by);
    // A timely response, with a slow connection, is not taken for silence.
    CHECK(RetrySchedule::ResponseTimeout(wait) >= wait + kSecond);
  }
  CHECK(RetrySchedule::LongPollWait(0) == RetrySchedule::kMaxWait);
}

TEST_CASE("a request that discovery queues for half of the time is not abandoned") {
  CHECK(RetrySchedule::ResponseTimeout(0) > RetrySchedule::kNotifiedAfter / 2);
}

// Each way in which the current request may end, right after the last moment at which it could have delivered
// the change.
TEST_CASE("after any failure the next request is sent with time left for its response") {
  for (Micros poll_interval : kPollIntervals) {
    CAPTURE(poll_interval);
    Micros watch = RetrySchedule::ResponseTimeout(RetrySchedule::LongPollWait(poll_interval));
    auto time_left = [poll_interval](Micros lost, int refusals) {
      return RetrySchedule::kNotifiedAfter -
             RetrySchedule::MaxTimeToNextRequest(poll_interval, lost, refusals);
    };
    CHECK(time_left(watch, 0) >= RetrySchedule::kResponseTimeout);
    CHECK(time_left(watch, 1) >= 2 * kSecond);
    CHECK(time_left(watch, 2) >= kSecond);
    CHECK(time_left(RetrySchedule::kResponseTimeout, 0) >=
          2 * kSecond);  // silent, half a response, a connection attempt that hangs
    CHECK(time_left(RetrySchedule::kResponseTimeout, 1) >= kSecond);
    CHECK(time_left(0, 0) >= RetrySchedule::kResponseTimeout);  // refused, rejected, reset
    CHECK(time_left(0, 1) >= RetrySchedule::kResponseTimeout);
    CHECK(time_left(0, 2) >= 2 * kSecond);
    // A silent watch, and its replacement is silent too.
    CHECK(time_left(watch, 0) -
              RetrySchedule::MaxTimeToNextRequest(poll_interval, RetrySchedule::kResponseTimeout, 0) >=
          kSecond / 2);
  }
}

TEST_CASE("the backoff is within its bounds for any random draw and number of failures") {
  constexpr double kMost = 0.9999999999;
  for (Micros poll_interval : kPollIntervals) {
    for (int failures : {0, 1, 2, 3, 4, 1000, 2'000'000'000}) {
      for (double draw : {0.0, 0.25, 0.5, kMost}) {
        for (Micros took :
             {Micros{0}, kSecond / 100, kSecond, RetrySchedule::kResponseTimeout, 100 * kSecond}) {
          CAPTURE(poll_interval);
          CAPTURE(failures);
          CAPTURE(draw);
          CAPTURE(took);
          Micros pause = RetrySchedule::Backoff(poll_interval, failures, took, draw);
          CHECK(pause >= RetrySchedule::kMinBackoff);
          CHECK(pause <= RetrySchedule::kMaxBackoff);
          // The sums above assume these bounds.
          CHECK(took + pause <= std::max(took + RetrySchedule::kMaxMinBackoff, RetrySchedule::kMaxBackoff));
          CHECK(pause <= RetrySchedule::MaxTimeToNextRequest(poll_interval, 0, 0));
        }
      }
    }
  }
  // Increasing: retried soon after one failure, and less often after many.
  CHECK(RetrySchedule::Backoff(4 * kSecond, 0, 0, 0.5) < RetrySchedule::Backoff(4 * kSecond, 1, 0, 0.5));
  CHECK(RetrySchedule::Backoff(4 * kSecond, 1, 0, 0.5) < RetrySchedule::Backoff(4 * kSecond, 5, 0, 0.5));
}

// Simulates a discovery that serves requests in order, `gap` for each, including abandoned ones, and rejects
// requests that would wait longer than `max_queueing_time`.
struct Result {
  Micros last_response = 0;         // when the last proxy had its response
  int wasted_responses = 0;         // responses to abandoned requests
  int max_requests_per_second = 0;  // requests in one second
  Micros longest_gap = 0;           // longest time from a request to the next one of the same proxy
};

Result SimulateFleet(int fleet, Micros gap, Micros max_queueing_time, Micros down_until,
                     Micros poll_interval) {
  enum class EventKind { kRequest, kResponse, kTimeout };
  struct Event {
    Micros at;
    int order;  // breaks ties, for reproducible runs
    EventKind kind;
    int proxy;
    int request;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Proxy {
    bool has_list = false;
    int request = 0;
    int failures = 0;
    Micros requested_at = 0;
  };
  std::mt19937_64 random(7);
  auto draw = [&random] { return static_cast<double>(random() >> 11) * 0x1.0p-53; };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  int order = 0;
  auto add = [&](Micros at, EventKind kind, int proxy, int request) {
    events.push({at, ++order, kind, proxy, request});
  };
  std::vector<Proxy> proxies(static_cast<std::size_t>(fleet));
  std::vector<int> requests_per_second(1000);
  for (int i = 0; i < fleet; ++i) add(static_cast<Micros>(draw() * kSecond), EventKind::kRequest, i, 0);
  Result result;
  Micros free_at = 0;
  auto retry = [&](int proxy, Micros at) {
    Proxy& state = proxies[static_cast<std::size_t>(proxy)];
    Micros pause = RetrySchedule::Backoff(poll_interval, state.failures++, at - state.requested_at, draw());
    result.longest_gap = std::max(result.longest_gap, at - state.requested_at + pause);
    ++state.request;
    add(at + pause, EventKind::kRequest, proxy, state.request);
  };
  while (!events.empty()) {
    Event e = events.top();
    events.pop();
    Proxy& state = proxies[static_cast<std::size_t>(e.proxy)];
    if (e.at > 900 * kSecond) break;
    switch (e.kind) {
      case EventKind::kRequest:
        state.requested_at = e.at;
        ++requests_per_second[static_cast<std::size_t>(e.at / kSecond)];
        if (e.at < down_until || std::max(free_at, e.at) + gap - e.at > max_queueing_time) {
          retry(e.proxy, e.at);
        } else {
          free_at = std::max(free_at, e.at) + gap;
          add(free_at, EventKind::kResponse, e.proxy, state.request);
          add(e.at + RetrySchedule::ResponseTimeout(0), EventKind::kTimeout, e.proxy, state.request);
        }
        break;
      case EventKind::kResponse:
        if (state.request != e.request) {
          ++result.wasted_responses;
        } else {
          state.has_list = true;
          result.last_response = e.at;
        }
        break;
      case EventKind::kTimeout:
        if (state.request == e.request && !state.has_list) retry(e.proxy, e.at);
        break;
    }
  }
  for (const Proxy& state : proxies) {
    if (!state.has_list) result.last_response = 900 * kSecond;
  }
  for (int n : requests_per_second)
    result.max_requests_per_second = std::max(result.max_requests_per_second, n);
  return result;
}

// Discovery must not work on abandoned requests. With a timeout of 2 s for requests that it queues for up to
// 3 s, half of its work was wasted, and a proxy had no list for over 20 s.
TEST_CASE("an overloaded discovery wastes no time on abandoned requests") {
  for (int fleet : {5, 32, 300}) {
    for (Micros max_queueing_time : {kSecond, 2 * kSecond, 3 * kSecond}) {
      for (Micros down : {Micros{0}, 8 * kSecond}) {
        for (Micros gap : {20 * kSecond / fleet, kSecond / 100}) {
          if (gap > max_queueing_time) continue;
          CAPTURE(fleet);
          CAPTURE(max_queueing_time);
          CAPTURE(down);
          CAPTURE(gap);
          Result result = SimulateFleet(fleet, gap, max_queueing_time, down, 10 * kSecond);
          CHECK(result.wasted_responses == 0);
          // The total service time, a tenth more, and the backoff at both ends.
          CHECK(result.last_response <= down + fleet * gap * 11 / 10 + 3 * RetrySchedule::kMaxBackoff);
          CHECK(result.longest_gap <= RetrySchedule::kResponseTimeout + RetrySchedule::kMaxMinBackoff);
          // The load on a discovery that is down or rejects requests: at most two requests per second per
          // proxy.
          CHECK(result.max_requests_per_second <= 2 * fleet + 5);
        }
      }
    }
  }
}

}  // namespace
}  // namespace dappletiller::limits
