// Records when the bytes of a connection were received. A request's timeout runs from the time of its last
// byte, even if the request is queued behind the response to an earlier one.
#ifndef DAPPLETILLER_DOWNSTREAM_RECEIVE_TIMES_HPP_
#define DAPPLETILLER_DOWNSTREAM_RECEIVE_TIMES_HPP_

#include <cstddef>
#include <vector>

#include "base/time.hpp"

namespace dappletiller {

// Uses no socket and no clock: the owner reports each read, in order, and each message that it takes.
class ReceiveTimes {
 public:
  // Maximum number of reads recorded separately. Further bytes count as received with the read before them,
  // which is earlier than their true time, so no request gets more time than its client has.
  static constexpr std::size_t kMaxReads = 64;

  // All `buffered` bytes count as received at `now`: the last byte of the first message was not received
  // earlier.
  void Restart(std::size_t buffered, Micros now);
  // Records `bytes` received behind the message that is being answered. `buffered` is the number of bytes
  // that the parser keeps in total; it may be less than was received, as chunk framing is discarded. The
  // oldest bytes are dropped then.
  void Add(std::size_t bytes, std::size_t buffered, Micros now);
  // Removes the next `bytes` bytes and returns when the last of them was received. At least as many bytes
  // must be recorded.
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
