// Estimates for how long a connection may be idle and still be reused, from how requests on connections with
// similar idle times ended.
//
// Servers may close idle connections long before the configured time, and a request that crosses the close
// counts as one that may have run. Requests also fail for reasons unrelated to idle time, and equally often
// on new connections. So an idle time is too long only if requests fail clearly more often after it than on
// new connections. Otherwise a server that fails one request in ten would have every connection closed after
// its first use, and each request would need a new connection, which fails as often.
//
// Uses no clock and no socket. Idle times are grouped by powers of two of a millisecond. Not thread-safe.
#ifndef DAPPLETILLER_LIMITS_IDLE_REUSE_HPP_
#define DAPPLETILLER_LIMITS_IDLE_REUSE_HPP_

#include <array>
#include <cstddef>
#include <cstdint>

namespace dappletiller::limits {

class IdleReuseEstimator {
 public:
  using Micros = std::int64_t;

  // Records how a request that was written completely ended: with a response, or with a connection that broke
  // before the response began. A negative idle time stands for a new connection.
  void Record(Micros idle_time, bool answered);
  // Whether a connection may be reused after that idle time: neither it nor a shorter one failed too often.
  bool IsReusable(Micros idle_time) const;
  // Share of requests that failed after such an idle time, 0 to 1, drawn towards that of new connections
  // while there are few samples. For choosing among available connections.
  double FailureRate(Micros idle_time) const;
  // Halves all counts, so that long idle times are tried again. Returns whether counts worth decaying are
  // left.
  bool Decay();

 private:
  struct Counts {
    double answered = 0;
    double failed = 0;
  };
  static std::size_t Bucket(Micros idle_time);

  Counts new_connections_;
  std::array<Counts, 32> by_idle_time_;
};

}  // namespace dappletiller::limits

#endif  // DAPPLETILLER_LIMITS_IDLE_REUSE_HPP_
