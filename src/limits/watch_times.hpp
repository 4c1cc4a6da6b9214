// How long a watch on the list of workers may wait, and how soon its silence is taken for its end.
//
// A watch that falls silent is broken, and what it misses counts as told to us 6 s after it fell silent, or 2
// s after its wait is over if that is later (the standing test's page, "One clock for silence"). From then on
// only the site's drain window is left, half a second at some. So the silence has to be noticed, a new watch
// opened and its answer here before that clock runs out, at the worst when it fell silent right after it was
// asked:
//
//     kLongestWait + AnswerWithin(kLongestWait) + one more call  <=  6 s
//
// A call that waits longer than kLongestWait would cost discovery less but shift the clock by no more than
// the wait, and leave the new call less time. Pure: no clock, no socket.
#ifndef DAPPLETILLER_LIMITS_WATCH_TIMES_HPP_
#define DAPPLETILLER_LIMITS_WATCH_TIMES_HPP_

#include <algorithm>
#include <cstdint>

namespace dappletiller::limits {

struct WatchTimes {
  using Micros = std::int64_t;

  static constexpr Micros kToldAfter = 6'000'000;      // of silence; the page's figure
  static constexpr Micros kToldAfterWait = 2'000'000;  // after the wait is over; the page's figure
  static constexpr Micros kLongestWait = kToldAfter / 2;
  // Beyond its wait a call that waits is given three quarters of what the clock grants: discovery works
  // through calls in turn, and to leave a slow one early would only add a call.
  static constexpr Micros kAnswerAfterWait = kToldAfterWait * 3 / 4;

  // `ask_within`: the settings' longest time between two calls; a wait is half of it at most, so that one
  // lost answer does not outlast it. 0: unknown, the longest wait.
  static constexpr Micros Wait(Micros ask_within) {
    return ask_within <= 0 ? kLongestWait : std::min(kLongestWait, ask_within / 2);
  }
  // How long the answer to a call that waits for `wait` may take in all.
  static constexpr Micros AnswerWithin(Micros wait) {
    return wait + (wait > 0 ? kAnswerAfterWait : kToldAfterWait);
  }
};

}  // namespace dappletiller::limits

#endif  // DAPPLETILLER_LIMITS_WATCH_TIMES_HPP_
