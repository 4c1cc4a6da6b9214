#include "downstream/receive_times.hpp"

#include <algorithm>

namespace dappletiller {

void ReceiveTimes::Restart(std::size_t buffered, Micros now) {
  reads_.assign(1, {buffered, now});
  total_ = buffered;
}

void ReceiveTimes::Add(std::size_t bytes, std::size_t buffered, Micros now) {
  if (reads_.size() < kMaxReads) {
    reads_.push_back({bytes, now});
  } else {
    reads_.back().bytes += bytes;
  }
  total_ += bytes;
  if (total_ > buffered) Take(total_ - buffered);
}

Micros ReceiveTimes::Take(std::size_t bytes) {
  Micros at = 0;
  auto read = reads_.begin();
  while (bytes > 0 && read != reads_.end()) {
    at = read->at;
    std::size_t taken = std::min(bytes, read->bytes);
    read->bytes -= taken;
    total_ -= taken;
    bytes -= taken;
    if (read->bytes == 0) ++read;
  }
  reads_.erase(reads_.begin(), read);
  return at;
}

}  // namespace dappletiller
