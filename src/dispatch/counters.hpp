// What passed through this proxy since the last log line about it: plain counts, so that a whole fleet's logs
// can be added up second by second (tools/fleet_table). Counting decides nothing.
#ifndef DAPPLETILLER_DISPATCH_COUNTERS_HPP_
#define DAPPLETILLER_DISPATCH_COUNTERS_HPP_

#include <array>

namespace dappletiller {

struct TrafficCounters {
  int arrived = 0;
  int served = 0;
  int refused = 0;
  int failed = 0;
  int left = 0;  // the client disconnected first
  int sent = 0;  // attempts
  int dialled = 0;
  int list_calls = 0;
  int list_failures = 0;
  std::array<int, 8> ended{};  // attempts by AttemptOutcome

  bool empty() const { return arrived + served + refused + failed + left + sent + list_calls == 0; }
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_COUNTERS_HPP_
