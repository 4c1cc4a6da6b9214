// Traffic counters of this proxy since the last log line about them. Plain counts, so that the logs of a
// whole fleet can be added up second by second (tools/fleet_table). They influence no decision.
#ifndef DAPPLETILLER_DISPATCH_COUNTERS_HPP_
#define DAPPLETILLER_DISPATCH_COUNTERS_HPP_

#include <array>
#include <numeric>

#include "dappletiller/balancer.hpp"

namespace dappletiller {

// Why the proxy closed a client's connection.
enum class ClientClose {
  kIdle,         // no request for the idle time
  kEarly,        // idle, and its descriptor or slot was needed
  kLateRequest,  // a request was not complete in time
  kNotReading,   // it took no bytes of its response for too long
  kMalformed,    // its request was malformed, contradictory or too large
  kPipelined,    // it sent more ahead of a response than is kept
  kNoMemory,     // there was no memory for its request
  kRepeatedId,   // its request had the id of one that may have run
  kResponseCut,  // its server did not complete a response that had begun
  kCount
};

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
  int retries = 0;
  int rejected_after_attempt = 0;  // of `rejected`
  int responses_streamed = 0;      // of `served`: passed on while they were received
  int responses_cut = 0;           // of these, in this or an earlier period: not completed by their server
  int accepts_postponed = 0;       // since this machine was short of descriptors or memory
  // Rejected and failed requests, indexed by balancer::GiveUpReason.
  std::array<int, static_cast<std::size_t>(balancer::GiveUpReason::kCount)> given_up{};
  std::array<int, static_cast<std::size_t>(ClientClose::kCount)> clients_closed{};  // indexed by ClientClose
  std::array<int, 8> attempts_by_outcome{};  // indexed by AttemptOutcome

  bool empty() const {
    return arrived + served + rejected + failed + client_disconnected + attempts_sent + discovery_requests ==
           0;
  }
  // Whether the line of details has anything to tell.
  bool has_details() const {
    const int closed = std::accumulate(clients_closed.begin(), clients_closed.end(), 0);
    return retries + rejected + failed + responses_streamed + responses_cut + dials_postponed +
               accepts_postponed + closed >
           0;
  }
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_COUNTERS_HPP_
