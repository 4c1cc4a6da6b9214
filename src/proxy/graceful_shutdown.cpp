#include "proxy/graceful_shutdown.hpp"

#include <algorithm>

namespace dappletiller {
namespace {

constexpr Micros kAcceptFor = 500'000;     // after SIGTERM: by then no more clients are sent here
constexpr Micros kCheckInterval = 10'000;  // whether all is answered
// The platform ends a process after the longest deadline, which counts as no more than this, and 0.7 s more
// (the protocol's page, Figures). A tenth of a second of that is left for the answers to leave.
constexpr Micros kMaxDeadline = 3'000'000;
constexpr Micros kAnswerAfterDeadline = 600'000;
constexpr Micros kLastAnswersTime =
    50'000;  // for the answers given at that time to leave; then the process ends

}  // namespace

void GracefulShutdown::Begin() {
  has_begun_ = true;
  components_.log.Info("leaving: %zu calls open, %zu client connections",
                       components_.dispatcher.open_requests(), components_.listener.connections());
  const Micros longest_deadline = std::min(components_.config.longest_deadline, kMaxDeadline);
  answer_by_ = components_.loop.Now() + longest_deadline + kAnswerAfterDeadline;
  components_.listener.Drain(answer_by_);
  if (components_.membership) components_.membership->Leave();
  // With the platform's socket a successor is accepting clients already.
  if (components_.listener.inherited()) components_.listener.StopAccepting();
  timer_.Set(kAcceptFor, [this] { CheckFinished(); });
}

// A request that is still open at answer_by_, because its deadline lies behind that, is answered then: after
// it the process may be gone.
void GracefulShutdown::CheckFinished() {
  components_.listener.Close();
  const Micros now = components_.loop.Now();
  if (now >= answer_by_) components_.dispatcher.EndOpenRequests();
  if (IsFinished()) {
    components_.loop.Stop();
    return;
  }
  if (now >= answer_by_ + kLastAnswersTime) {
    components_.log.Info("out of time: %zu client connections end as they are",
                         components_.listener.connections());
    components_.loop.Stop();
    return;
  }
  timer_.Set(kCheckInterval, [this] { CheckFinished(); });
}

bool GracefulShutdown::IsFinished() const {
  const bool has_left_fleet = !components_.membership || components_.membership->has_left();
  const bool no_clients = components_.listener.closed() && components_.listener.connections() == 0;
  return components_.dispatcher.open_requests() == 0 && no_clients && has_left_fleet;
}

}  // namespace dappletiller
