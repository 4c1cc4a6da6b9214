// How connections fared that had rested for about as long, and so how long one may rest and still be used.
//
// Workers may close connections long before the time in the settings, and a request that meets that counts as
// one that may have run. Requests also break for reasons that have nothing to do with rest; those break on
// new connections just as often. So a rest is too long only if requests break after it by clearly more than
// they do on new connections: otherwise a worker that breaks one request in ten would have every connection
// given up after its first use, and each request pay a handshake, on connections that break as often.
//
// Knows no clock and no socket. Rests are kept by doublings of a millisecond. Not thread-safe.
#ifndef DAPPLETILLER_LIMITS_REST_RECORD_HPP_
#define DAPPLETILLER_LIMITS_REST_RECORD_HPP_

#include <array>
#include <cstddef>
#include <cstdint>

namespace dappletiller::limits {

class RestRecord {
 public:
  using Micros = std::int64_t;

  // What became of a request that was written whole: answered (`kept`) or broken before its answer began. A
  // negative rest stands for a new connection.
  void Note(Micros rest, bool kept);
  // Whether a connection may be used after that rest: neither it nor a shorter one broke too many.
  bool Trusted(Micros rest) const;
  // The part of requests that broke after such a rest, drawn towards what breaks on new connections while
  // little is known: 0 to 1, to choose among connections at hand.
  double Risk(Micros rest) const;
  // Halves all that is known, so that rests are tried again. True while anything worth fading is left.
  bool Fade();

 private:
  struct Fates {
    double kept = 0;
    double broken = 0;
  };
  static std::size_t Place(Micros rest);

  Fates fresh_;  // on new connections
  std::array<Fates, 32> rested_;
};

}  // namespace dappletiller::limits

#endif  // DAPPLETILLER_LIMITS_REST_RECORD_HPP_
