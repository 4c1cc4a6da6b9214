#include "base/byte_queue.hpp"

#include <algorithm>
#include <cstring>

namespace dappletiller {

void ByteQueue::Append(std::string_view bytes) {
  size_ += bytes.size();
  while (!bytes.empty()) {
    if (Room() == 0) segments_.emplace_back();
    const std::size_t count = std::min(bytes.size(), Room());
    Segment& last = segments_.back();
    std::memcpy(&last.bytes[last.end], bytes.data(), count);
    last.end += count;
    bytes.remove_prefix(count);
  }
}

void ByteQueue::Prepend(std::string_view bytes) {
  size_ += bytes.size();
  while (!bytes.empty()) {
    if (segments_.empty() || segments_.front().begin == 0) {
      Segment& added = segments_.emplace_front();
      added.begin = added.end = kSegmentSize;
    }
    Segment& first = segments_.front();
    const std::size_t count = std::min(bytes.size(), first.begin);
    first.begin -= count;
    std::memcpy(&first.bytes[first.begin], bytes.data() + bytes.size() - count, count);
    bytes.remove_suffix(count);
  }
}

std::size_t ByteQueue::Read(std::span<char> to) {
  std::size_t read = 0;
  while (read < to.size() && !empty()) {
    Segment& first = segments_.front();
    const std::size_t count = std::min(to.size() - read, first.end - first.begin);
    std::memcpy(&to[read], &first.bytes[first.begin], count);
    first.begin += count;
    size_ -= count;
    read += count;
    if (first.begin == first.end) segments_.pop_front();
  }
  return read;
}

void ByteQueue::Clear() {
  segments_.clear();
  size_ = 0;
}

std::size_t ByteQueue::AllocatedAfterAppend(std::size_t count) const {
  const std::size_t beyond_room = count - std::min(count, Room());
  const std::size_t added = (beyond_room + kSegmentSize - 1) / kSegmentSize;
  return allocated() + added * kSegmentMemory;
}

}  // namespace dappletiller
