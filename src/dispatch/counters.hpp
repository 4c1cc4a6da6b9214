// Traffic counters of this proxy since the last log line about them. Plain counts, so that the logs of a
// whole fleet can be added up second by second (tools/fleet_table). They influence no decision.
#ifndef DAPPLETILLER_DISPATCH_COUNTERS_HPP_
#define DAPPLETILLER_DISPATCH_COUNTERS_HPP_

#include <array>

namespace dappletiller {

struct TrafficCounters {
  int arrived = 0;
  int served = 0;
  int rejected = 0;
  int failed = 0;
  int client_disconnected = 0;  // before the final outcome
  int attempts_sent = 0;
  int connections_opened = 0;  // to upstream servers
  int dials_postponed = 0;     // since this machine was short of descriptors, memory, ports or a route
  int discovery_requests = 0;
  int discovery_failures = 0;
  std::array<int, 8> attempts_by_outcome{};  // indexed by AttemptOutcome

  bool empty() const {
    return arrived + served + rejected + failed + client_disconnected + attempts_sent + discovery_requests ==
           0;
  }
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_COUNTERS_HPP_
