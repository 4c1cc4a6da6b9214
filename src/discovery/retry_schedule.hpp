// Timing of requests to discovery: how long a long poll may wait, how long a response may take, and when a
// failed request is retried.
//
// A change counts as notified 6 s after discovery had it and could be reached, whatever happened to the
// requests before. A watch that falls silent is broken, and the changes it misses count as notified 6 s after
// it fell silent, or 2 s after its wait is over if that is later. After that only the drain window is left,
// which may be as short as half a second. So for each way in which a request can end, right after the last
// moment at which it could have delivered the change, the sum of waits and backoffs until the next request
// must leave time for its response:
//
//     MaxTimeToNextRequest(poll_interval, lost, rejections) + response time  <=  kNotifiedAfter
//
// The load on discovery is bounded as well. When discovery has recovered or is overloaded, each proxy sends
// at most one request per kMinBackoff, on average one in 0.75 s of the 6 s. None of discovery's work is
// wasted: a request in its queue is waited for over more than half of the 6 s.
//
// Pure: no clock, no socket, no random numbers of its own.
#ifndef DAPPLETILLER_DISCOVERY_RETRY_SCHEDULE_HPP_
#define DAPPLETILLER_DISCOVERY_RETRY_SCHEDULE_HPP_

#include <algorithm>
#include <cstdint>

namespace dappletiller {

struct RetrySchedule {
  using Micros = std::int64_t;

  static constexpr Micros kNotifiedAfter = 6'000'000;      // after discovery had the change
  static constexpr Micros kNotifiedAfterWait = 2'000'000;  // after the wait of a silent long poll is over

  // A sixth of kNotifiedAfter for the wait and another for the response: a silent watch is noticed with two
  // thirds left, enough for a request that is queued at discovery. Continued long polls cost discovery
  // little.
  static constexpr Micros kMaxWait = kNotifiedAfter / 6;
  static constexpr Micros kResponseMargin = kNotifiedAfter / 6;
  // Prevents requests in a tight loop where the poll interval is very short.
  static constexpr Micros kMinWait = 100'000;
  // Timeout of a request without a wait. It may be queued at discovery. Giving up early would waste
  // discovery's work, and the requests that replace abandoned ones would keep the queue full.
  static constexpr Micros kResponseTimeout = kNotifiedAfter * 11 / 20;
  // Bounds of the time between a failed request and the next. The maximum leaves time for a rejection,
  // another backoff and a queued request; the minimum prevents a tight loop where the poll interval is short.
  static constexpr Micros kMaxBackoff = kNotifiedAfter * 5 / 24;
  static constexpr Micros kMinBackoff = 100'000;
  static constexpr Micros kMaxMinBackoff = 2 * kMinBackoff;

  // Wait of a long poll. `poll_interval`: maximum time between polls according to the settings, 0 if unknown.
  // The wait is at most half of it, so that a single lost response does not exceed it.
  static constexpr Micros LongPollWait(Micros poll_interval) {
    return poll_interval <= 0 ? kMaxWait : std::clamp(poll_interval / 2, kMinWait, kMaxWait);
  }
  // Maximum time from a request with this wait to its response, including connecting.
  static constexpr Micros ResponseTimeout(Micros wait) {
    return wait > 0 ? wait + kResponseMargin : kResponseTimeout;
  }

  // Time from the end of a failed request to the next. `failures`: consecutive failures before this one.
  // `took`: duration of the failed request if it had no wait, since that has already delayed the next one; 0
  // for a long poll, or else all proxies whose watches end at the same time would send at the same time.
  // `draw`: random, in [0, 1).
  static constexpr Micros Backoff(Micros poll_interval, int failures, Micros took, double draw) {
    Micros max_backoff =
        std::min(MaxBackoff(poll_interval), InitialBackoff(poll_interval) << std::min(failures, 3));
    auto backoff = static_cast<Micros>(static_cast<double>(max_backoff) * (0.2 + 0.8 * draw));
    auto min_backoff = static_cast<Micros>(static_cast<double>(kMinBackoff) * (1 + draw));
    return std::max(min_backoff, backoff - took);
  }

  // Maximum time from the last moment at which the current request could have delivered a change until the
  // next request is sent, with `rejections` requests rejected immediately in between. `lost`: how long the
  // current request is waited for: ResponseTimeout(LongPollWait(poll_interval)) for a long poll,
  // kResponseTimeout for another request, 0 if it was rejected.
  static constexpr Micros MaxTimeToNextRequest(Micros poll_interval, Micros lost, int rejections) {
    bool is_long_poll = lost == ResponseTimeout(LongPollWait(poll_interval));
    // A silent watch is reopened immediately; after any other request the minimum backoff applies.
    Micros first = is_long_poll ? 0 : std::max(kMaxMinBackoff, MaxBackoff(poll_interval) - lost);
    return lost + first + rejections * std::max(kMaxMinBackoff, MaxBackoff(poll_interval));
  }

 private:
  static constexpr Micros InitialBackoff(Micros poll_interval) {
    return poll_interval <= 0 ? kMaxBackoff : std::max<Micros>(1, poll_interval / 10);
  }
  static constexpr Micros MaxBackoff(Micros poll_interval) {
    return poll_interval <= 0 ? kMaxBackoff : std::min(kMaxBackoff, InitialBackoff(poll_interval) * 8);
  }
};

// Checks of the sums for the longest poll interval. Shorter ones only shorten waits and backoffs; the tests
// cover them.
namespace schedule_checks {
using T = RetrySchedule;
constexpr T::Micros kLongestPollInterval = 1'000'000'000'000;
constexpr T::Micros kWatchTimeout = T::ResponseTimeout(T::LongPollWait(kLongestPollInterval));
// A watch falls silent; the request that replaces it is queued at discovery.
static_assert(T::MaxTimeToNextRequest(kLongestPollInterval, kWatchTimeout, 0) + T::kResponseTimeout <=
              T::kNotifiedAfter);
// The same, but the request is rejected first: the next one has 2.5 s.
static_assert(T::MaxTimeToNextRequest(kLongestPollInterval, kWatchTimeout, 1) + 2'500'000 <=
              T::kNotifiedAfter);
// The same, but the replacement is silent too: the third request has enough time if it is served at once.
static_assert(T::MaxTimeToNextRequest(kLongestPollInterval, kWatchTimeout, 0) +
                  T::MaxTimeToNextRequest(kLongestPollInterval, T::kResponseTimeout, 0) + 500'000 <=
              T::kNotifiedAfter);
// Discovery recovers right after rejecting a request, is overloaded at the next, and queues the third.
static_assert(T::MaxTimeToNextRequest(kLongestPollInterval, 0, 1) + T::kResponseTimeout <= T::kNotifiedAfter);
// Discovery accepts a request but sends no complete response, and recovers right afterwards: one more
// rejection is possible.
static_assert(T::MaxTimeToNextRequest(kLongestPollInterval, T::kResponseTimeout, 1) + 1'000'000 <=
              T::kNotifiedAfter);
}  // namespace schedule_checks

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISCOVERY_RETRY_SCHEDULE_HPP_
