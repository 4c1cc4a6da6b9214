// Graceful shutdown after SIGTERM: answers received requests, accepts new ones for a short time, and then
// stops, in any case before the platform kills the process.
#ifndef DAPPLETILLER_PROXY_GRACEFUL_SHUTDOWN_HPP_
#define DAPPLETILLER_PROXY_GRACEFUL_SHUTDOWN_HPP_

#include "proxy/components.hpp"
#include "proxy/drain_state_storage.hpp"

namespace dappletiller {

class GracefulShutdown {
 public:
  // Both must outlive it.
  GracefulShutdown(ProxyComponents& components, const DrainStateStorage& drain_state)
      : components_(components), drain_state_(drain_state), timer_(components.loop) {}

  bool has_begun() const { return has_begun_; }
  // Begins the shutdown; stops the event loop when all requests are answered or the time is over. To be
  // called once.
  void Begin();

 private:
  void UpdateAnswerTime();
  void CheckFinished();
  bool IsFinished() const;

  ProxyComponents& components_;
  const DrainStateStorage& drain_state_;
  Timer timer_;
  bool has_begun_ = false;
  Micros begun_at_ = 0;   // when SIGTERM may have come, on the event loop's clock
  Micros answer_by_ = 0;  // on the same clock; 0: not begun
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_GRACEFUL_SHUTDOWN_HPP_
