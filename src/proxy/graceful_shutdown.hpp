// A proxy's way out after SIGTERM: requests that have come are answered, new ones for a while still, then it
// ends; in any case before the platform ends the process.
#ifndef DAPPLETILLER_PROXY_GRACEFUL_SHUTDOWN_HPP_
#define DAPPLETILLER_PROXY_GRACEFUL_SHUTDOWN_HPP_

#include "proxy/parts.hpp"

namespace dappletiller {

class GracefulShutdown {
 public:
  // `parts` must outlive it.
  explicit GracefulShutdown(ProxyParts& parts) : parts_(parts), timer_(parts.loop) {}

  bool has_begun() const { return has_begun_; }
  // Stops the event loop when all is answered, or out of time. To be called once.
  void Begin();

 private:
  void CheckFinished();
  bool IsFinished() const;

  ProxyParts& parts_;
  Timer timer_;
  bool has_begun_ = false;
  Micros answer_by_ = 0;  // on the loop's clock
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_GRACEFUL_SHUTDOWN_HPP_
