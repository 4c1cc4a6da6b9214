// Graceful shutdown after SIGTERM: answers received requests, accepts new ones for a short time, and then
// stops, in any case before the platform kills the process.
#ifndef DAPPLETILLER_PROXY_GRACEFUL_SHUTDOWN_HPP_
#define DAPPLETILLER_PROXY_GRACEFUL_SHUTDOWN_HPP_

#include "proxy/components.hpp"

namespace dappletiller {

class GracefulShutdown {
 public:
  // `components` must outlive it.
  explicit GracefulShutdown(ProxyComponents& components) : components_(components), timer_(components.loop) {}

  bool has_begun() const { return has_begun_; }
  // Begins the shutdown; stops the event loop when all requests are answered or the time is over. To be
  // called once.
  void Begin();

 private:
  void CheckFinished();
  bool IsFinished() const;

  ProxyComponents& components_;
  Timer timer_;
  bool has_begun_ = false;
  Micros answer_by_ = 0;  // on the event loop's clock
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_GRACEFUL_SHUTDOWN_HPP_
