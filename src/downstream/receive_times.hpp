// When the bytes of a connection were received, for the time of a request's last byte: a client's patience
// runs from there, also where the request waits behind the answer to an earlier one.
#ifndef DAPPLETILLER_DOWNSTREAM_RECEIVE_TIMES_HPP_
#define DAPPLETILLER_DOWNSTREAM_RECEIVE_TIMES_HPP_

#include <cstddef>
#include <vector>

#include "base/time.hpp"

namespace dappletiller {

// Knows no socket and no clock: it is told of each read, in order, and of each message that is taken.
class ReceiveTimes {
 public:
  // Reads that are told apart at most. Beyond it, bytes count as received with the read before them, which is
  // earlier than they were: memory stays bounded, and no request is granted more time than its client has.
  static constexpr std::size_t kMostReads = 64;

  // The last byte of the first message was not here before `now`: all `held` bytes count as received then.
  void Restart(std::size_t held, Micros now);
  // `bytes` more were received behind the message that is being answered, and `held` of all that came are
  // kept: less than were received where a parser gives back the framing of chunks. The oldest go off the
  // record then.
  void Add(std::size_t bytes, std::size_t held, Micros now);
  // Takes the next `bytes` bytes off the record and returns when the last of them was received. At least as
  // many bytes have to be on the record.
  Micros Take(std::size_t bytes);

  std::size_t reads() const { return reads_.size(); }

 private:
  struct Read {
    std::size_t bytes = 0;
    Micros at = 0;
  };
  std::vector<Read> reads_;  // oldest first
  std::size_t total_ = 0;    // bytes of all of them
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DOWNSTREAM_RECEIVE_TIMES_HPP_
