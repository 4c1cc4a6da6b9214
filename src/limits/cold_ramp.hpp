// How much a server that has just started bears, and when one of several proxies may send it the next
// request.
//
// A cold server begins with a part of its capacity and is warm after a while; given more than a multiple of
// what it can do for some time, it falls. All proxies send it work, and none knows of the others: each goes
// by its own part of an allowance that is well below what would push the server over. Requests are whole, and
// a part may be less than one of them: so each proxy's first turn is drawn at random from the span in which
// its part comes to one request, and each turn after that comes when the allowance has paid for the request
// before. The allowance grows as the server warms, and the turns come closer with it. What is not used in
// time is not saved up, since all proxies might then spend their savings at once.
//
// Pure: ages are microseconds since the server started, work is in any unit and capacity in that unit a
// microsecond. Throws nothing.
#ifndef DAPPLETILLER_LIMITS_COLD_RAMP_HPP_
#define DAPPLETILLER_LIMITS_COLD_RAMP_HPP_

#include <cstdint>

namespace dappletiller::limits {

class ColdRamp {
 public:
  using Micros = std::int64_t;
  struct Rules {            // as the settings' invariants state them
    double share = 1;       // of its capacity that a server starts with at least, 0 to 1
    Micros warm_after = 0;  // and it has all of it by this age
    double multiple = 1;    // it falls when given so many times what it can do ...
    Micros fall = 0;        // ... over this span
  };
  explicit ColdRamp(const Rules& rules) : rules_(rules) {}

  bool Cold(Micros age) const { return age < rules_.warm_after; }
  // The part of its capacity that it has at least, 0 to 1.
  double Warmed(Micros age) const;
  // The work that pushes it over when given within the fall time around that age.
  double Budget(double capacity, Micros age) const;
  // The most that one request may bring, `usual` being the work of a usual one: a small part of the budget,
  // but always a usual request, or a server of a small budget would get nothing at all. The chance that is
  // granted beyond the budget covers that.
  double Lump(double capacity, double usual, Micros age) const;
  // The age, at most kNever, at which `work` more has been allowed since `age` to the holder of a `part` (0
  // to 1) of the whole.
  Micros NextTurn(double capacity, double part, double work, Micros age) const;

  static constexpr Micros kNever = Micros{1} << 50;

 private:
  Rules rules_;
};

}  // namespace dappletiller::limits

#endif  // DAPPLETILLER_LIMITS_COLD_RAMP_HPP_
