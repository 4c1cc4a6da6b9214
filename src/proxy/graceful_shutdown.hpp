// A proxy's way out after SIGTERM: requests that have come are answered, new ones for a while still, then it
// ends; in any case before the platform ends the process.
#ifndef DAPPLETILLER_PROXY_GRACEFUL_SHUTDOWN_HPP_
#define DAPPLETILLER_PROXY_GRACEFUL_SHUTDOWN_HPP_

#include "proxy/components.hpp"

namespace dappletiller {

class GracefulShutdown {
 public:
  // `components` must outlive it.
  explicit GracefulShutdown(ProxyComponents& components) : components_(components), timer_(components.loop) {}

  bool has_begun() const { return has_begun_; }
  // Stops the event loop when all is answered, or out of time. To be called once.
  void Begin();

 private:
  void CheckFinished();
  bool IsFinished() const;

  ProxyComponents& components_;
  Timer timer_;
  bool has_begun_ = false;
  Micros answer_by_ = 0;  // on the loop's clock
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_GRACEFUL_SHUTDOWN_HPP_
