// Logs what the process uses of its limits, so that the log alone tells how a process got near them.
#ifndef DAPPLETILLER_PROXY_RESOURCE_LOG_HPP_
#define DAPPLETILLER_PROXY_RESOURCE_LOG_HPP_

#include "io/event_loop.hpp"
#include "proxy/components.hpp"

namespace dappletiller {

class ResourceLog {
 public:
  // `components` must outlive it.
  explicit ResourceLog(ProxyComponents& components) : components_(components), timer_(components.loop) {}

  // Logs from now on, at intervals while the peak memory grows or connections are open.
  void Start();

 private:
  void Write();

  ProxyComponents& components_;
  Timer timer_;
  Micros started_at_ = 0;
  long reported_peak_ = 0;  // kilobytes
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_RESOURCE_LOG_HPP_
