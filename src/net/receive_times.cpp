#include "net/receive_times.hpp"

namespace dappletiller {

void ReceiveTimes::Restart(std::size_t held, Micros now) { reads_.assign(1, {held, now}); }

void ReceiveTimes::Add(std::size_t bytes, Micros now) {
  if (reads_.size() < kMostReads) {
    reads_.push_back({bytes, now});
  } else {
    reads_.back().bytes += bytes;
  }
}

Micros ReceiveTimes::Take(std::size_t bytes) {
  Micros at = 0;
  auto read = reads_.begin();
  while (bytes > 0 && read != reads_.end()) {
    at = read->at;
    if (read->bytes > bytes) {
      read->bytes -= bytes;
      break;
    }
    bytes -= read->bytes;
    ++read;
  }
  reads_.erase(reads_.begin(), read);
  return at;
}

}  // namespace dappletiller
