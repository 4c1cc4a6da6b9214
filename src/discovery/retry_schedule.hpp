// The clock of asking discovery: how long a watch may wait, how long an answer may take, how soon the next
// call follows one that failed.
//
// Whatever happened to the calls before, a change counts as told to us 6 s after discovery had it and could
// be reached (the standing test's page); a watch that falls silent is broken, and what it misses counts as
// told 6 s after it fell silent, or 2 s after its wait is over if that is later. From then on only the site's
// drain window is left, half a second at some. So for each way in which the call at hand can end, right after
// the last moment at which it could have brought the change, the sum of what is waited and paused until the
// call that brings it is asked has to leave time for its answer:
//
//     AskedAgainWithin(ask, lost, refusals) + the answer  <=  kToldAfter
//
// The other side of it is the load: a discovery that has come back, or that has too many callers at once,
// gets no more than a call each LeastPause from each proxy, on the mean one in 0.75 s of the clock's 6, and
// none of its work is thrown away: a call that it holds in its queue is heard out for over half of the clock.
//
// Pure: no clock, no socket, no random numbers of its own.
#ifndef DAPPLETILLER_DISCOVERY_RETRY_SCHEDULE_HPP_
#define DAPPLETILLER_DISCOVERY_RETRY_SCHEDULE_HPP_

#include <algorithm>
#include <cstdint>

namespace dappletiller::limits {

struct WatchTimes {
  using Micros = std::int64_t;

  static constexpr Micros kToldAfter = 6'000'000;      // the page's figure
  static constexpr Micros kToldAfterWait = 2'000'000;  // after a wait is over; the page's figure

  // A sixth of the clock for the wait and as much for its answer: a silence is noticed with two thirds of the
  // clock left, enough for a call that stands in discovery's queue. A call that goes on costs it little.
  static constexpr Micros kLongestWait = kToldAfter / 6;
  static constexpr Micros kAnswerAfterWait = kToldAfter / 6;
  // Guards against calls in a tight loop at a site whose ask time is next to nothing.
  static constexpr Micros kLeastWait = 100'000;
  // A call that need not wait may stand in discovery's queue. Guards against leaving it there: discovery
  // works on it all the same, nobody hears the answer, and the calls that replace such ones keep the queue
  // full.
  static constexpr Micros kAnswerTime = kToldAfter * 11 / 20;
  // Between two calls of which the first failed. The longest leaves time for a refusal, another pause and a
  // call that stands in the queue; the least keeps a site with a short ask time from calling in a tight loop.
  static constexpr Micros kLongestPause = kToldAfter * 5 / 24;
  static constexpr Micros kLeastPause = 100'000;
  static constexpr Micros kMostLeastPause = 2 * kLeastPause;

  // `ask`: the settings' longest time between two calls, 0 if unknown. A wait is half of it at most, so that
  // one lost answer does not outlast it.
  static constexpr Micros Wait(Micros ask) {
    return ask <= 0 ? kLongestWait : std::clamp(ask / 2, kLeastWait, kLongestWait);
  }
  // How long the answer to a call that waits for `wait` may take in all, dialling included.
  static constexpr Micros AnswerWithin(Micros wait) {
    return wait > 0 ? wait + kAnswerAfterWait : kAnswerTime;
  }

  // From the end of a call that failed to the next: `failures` in a row before this one, `took`: since the
  // failed one was asked, if it was a call that need not wait (what it took has been a pause already; 0 for a
  // watch that ended, else all whose watches end together would call together). `draw` in [0, 1).
  static constexpr Micros Pause(Micros ask, int failures, Micros took, double draw) {
    Micros most = std::min(LongestPause(ask), FirstPause(ask) << std::min(failures, 3));
    auto pause = static_cast<Micros>(static_cast<double>(most) * (0.2 + 0.8 * draw));
    auto least = static_cast<Micros>(static_cast<double>(kLeastPause) * (1 + draw));
    return std::max(least, pause - took);
  }

  // The longest that passes from the last moment at which the call at hand could have brought a change until
  // the next one is asked for, `refusals` calls being refused at once in between. `lost`: how long the call
  // at hand is waited for: AnswerWithin(Wait(ask)) for a watch, kAnswerTime for another, 0 if it was refused.
  static constexpr Micros AskedAgainWithin(Micros ask, Micros lost, int refusals) {
    bool watch = lost == AnswerWithin(Wait(ask));
    // A silent watch is opened anew in the same round; after any other call the least pause is kept.
    Micros first = watch ? 0 : std::max(kMostLeastPause, LongestPause(ask) - lost);
    return lost + first + refusals * std::max(kMostLeastPause, LongestPause(ask));
  }

 private:
  static constexpr Micros FirstPause(Micros ask) {
    return ask <= 0 ? kLongestPause : std::max<Micros>(1, ask / 10);
  }
  static constexpr Micros LongestPause(Micros ask) {
    return ask <= 0 ? kLongestPause : std::min(kLongestPause, FirstPause(ask) * 8);
  }
};

// The sums, at the longest ask time; shorter ones only shorten waits and pauses (the test goes through them).
namespace watch_sums {
using T = WatchTimes;
constexpr T::Micros kAsk = 1'000'000'000'000;
constexpr T::Micros kWatch = T::AnswerWithin(T::Wait(kAsk));
// A watch falls silent; the call that replaces it stands in the queue.
static_assert(T::AskedAgainWithin(kAsk, kWatch, 0) + T::kAnswerTime <= T::kToldAfter);
// The same, and the call is refused first: the next one has 2.5 s.
static_assert(T::AskedAgainWithin(kAsk, kWatch, 1) + 2'500'000 <= T::kToldAfter);
// The same, and the call that replaces it is silent too: the third has what a call that is served at once
// takes.
static_assert(T::AskedAgainWithin(kAsk, kWatch, 0) + T::AskedAgainWithin(kAsk, T::kAnswerTime, 0) + 500'000 <=
              T::kToldAfter);
// Discovery is back right after it refused a call, has too many callers at the next, holds the third in its
// queue.
static_assert(T::AskedAgainWithin(kAsk, 0, 1) + T::kAnswerTime <= T::kToldAfter);
// It accepts and says nothing, or half, until right after a call was asked: one more refusal fits.
static_assert(T::AskedAgainWithin(kAsk, T::kAnswerTime, 1) + 1'000'000 <= T::kToldAfter);
}  // namespace watch_sums

}  // namespace dappletiller::limits

#endif  // DAPPLETILLER_DISCOVERY_RETRY_SCHEDULE_HPP_
