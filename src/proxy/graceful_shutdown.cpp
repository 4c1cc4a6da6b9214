#include "proxy/graceful_shutdown.hpp"

#include <algorithm>

namespace dappletiller {
namespace {

constexpr Micros kAcceptTime = 500'000;    // after SIGTERM; by then the platform sends no more clients
constexpr Micros kCheckInterval = 10'000;  // interval of the checks for open requests
// The platform kills a process after the longest client timeout, limited to this value, plus 0.7 s. A tenth
// of a second of that is reserved for sending responses.
constexpr Micros kMaxDeadline = 3'000'000;
constexpr Micros kAnswerAfterDeadline = 600'000;
constexpr Micros kLastAnswersTime = 50'000;  // for sending the last responses before the process ends

}  // namespace

void GracefulShutdown::Begin() {
  has_begun_ = true;
  begun_at_ = components_.loop.EventsSince();
  components_.log.Info("leaving: shutting down with %zu open requests and %zu client connections",
                       components_.dispatcher.open_requests(), components_.listener.connections());
  UpdateAnswerTime();
  if (components_.membership) components_.membership->Leave();
  // With an inherited socket, a successor is already accepting clients.
  if (components_.listener.inherited()) components_.listener.StopAccepting();
  timer_.Set(kAcceptTime, [this] { CheckFinished(); });
}

// The platform counts the classes of the configuration in force, and a reload may drop one while the shutdown
// runs. The time is never extended.
void GracefulShutdown::UpdateAnswerTime() {
  const Micros longest_deadline = std::min(components_.dispatcher.classes().longest_timeout(), kMaxDeadline);
  const Micros answer_by = begun_at_ + longest_deadline + kAnswerAfterDeadline;
  if (answer_by_ != 0 && answer_by >= answer_by_) return;
  answer_by_ = answer_by;
  components_.listener.Drain(answer_by_);
}

// Requests that are still open at answer_by_ because of a later deadline are answered then, since the process
// may be killed afterwards.
void GracefulShutdown::CheckFinished() {
  UpdateAnswerTime();
  components_.listener.Close();
  const Micros now = components_.loop.Now();
  if (now >= answer_by_) components_.dispatcher.EndOpenRequests();
  if (IsFinished()) {
    components_.loop.Stop();
    return;
  }
  // Responses that are still being received and passed on may take longer; the platform decides how long.
  const bool is_streaming = components_.listener.streaming_connections() > 0;
  if (now >= answer_by_ + kLastAnswersTime && !is_streaming) {
    components_.log.Info("out of time: shutdown limit reached; closing %zu client connections",
                         components_.listener.connections());
    components_.loop.Stop();
    return;
  }
  timer_.Set(kCheckInterval, [this] { CheckFinished(); });
}

bool GracefulShutdown::IsFinished() const {
  const bool has_left_fleet = !components_.membership || components_.membership->has_left();
  const bool no_clients = components_.listener.closed() && components_.listener.connections() == 0;
  return components_.dispatcher.open_requests() == 0 && no_clients && has_left_fleet && drain_state_.saved();
}

}  // namespace dappletiller
