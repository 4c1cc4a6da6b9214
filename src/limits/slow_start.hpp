// Slow start: how much load a server that has just started can take, and when one of several proxies may send
// it the next request.
//
// A starting server has a fraction of its capacity and warms up over time; if it receives more than a
// multiple of its capacity for some time, it fails. All proxies send requests to it without knowing of each
// other. Each uses its share of an allowance that is well below the load that would overload the server.
// Requests are indivisible, and a share may be less than one of them. So the first send of each proxy is
// drawn at random from the time in which its share amounts to one request, and each further send comes when
// the allowance has paid for the request before. The allowance grows as the server warms up, so sends become
// more frequent. Unused allowance is not saved up, since all proxies might spend it at the same time.
//
// Pure: ages are microseconds since the server's start; work is in any unit, and capacity in that unit per
// microsecond. Throws nothing.
#ifndef DAPPLETILLER_LIMITS_SLOW_START_HPP_
#define DAPPLETILLER_LIMITS_SLOW_START_HPP_

#include <cstdint>

namespace dappletiller::limits {

class SlowStart {
 public:
  using Micros = std::int64_t;
  struct Rules {
    double initial_capacity = 1;  // fraction of its capacity that a server has at its start, 0 to 1
    Micros warmup_time = 0;       // it has its full capacity at this age
    double overload_factor = 1;   // it fails if it receives this multiple of its capacity ...
    Micros overload_window = 0;   // ... for this long
  };
  explicit SlowStart(const Rules& rules) : rules_(rules) {}

  bool IsWarmingUp(Micros age) const { return age < rules_.warmup_time; }
  // Fraction of its capacity that the server has at least, 0 to 1.
  double CapacityFraction(Micros age) const;
  // Work that overloads the server if it is received within the overload window around that age.
  double OverloadWork(double capacity, Micros age) const;
  // Maximum work of a single request: a small fraction of OverloadWork, but at least `mean_work`, or a server
  // with a small allowance would get no requests at all. The tolerance for random excess covers that.
  double MaxRequestWork(double capacity, double mean_work, Micros age) const;
  // The age, at most kNever, at which the holder of a `share` (0 to 1) of the allowance has been granted
  // `work` since `age`.
  Micros NextSendAge(double capacity, double share, double work, Micros age) const;

  static constexpr Micros kNever = Micros{1} << 50;

 private:
  Rules rules_;
};

}  // namespace dappletiller::limits

#endif  // DAPPLETILLER_LIMITS_SLOW_START_HPP_
