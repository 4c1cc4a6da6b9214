// A first-in, first-out queue of bytes whose memory follows its contents.
//
// The bytes lie in segments of one size. A segment is allocated when it is needed and freed once its bytes
// have been read, so the queue allocates at most two segments more than its contents take. Pure.
#ifndef DAPPLETILLER_BASE_BYTE_QUEUE_HPP_
#define DAPPLETILLER_BASE_BYTE_QUEUE_HPP_

#include <array>
#include <cstddef>
#include <list>
#include <span>
#include <string_view>

namespace dappletiller {

class ByteQueue {
 public:
  // Memory of one segment, in bytes.
  static constexpr std::size_t kSegmentMemory = 2048;

  void Append(std::string_view bytes);
  // Puts bytes in front of all others, so that they are read next.
  void Prepend(std::string_view bytes);
  // Removes the first bytes, as many as `to` has room for, and returns their number.
  std::size_t Read(std::span<char> to);
  void Clear();

  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  // Memory in bytes.
  std::size_t allocated() const { return segments_.size() * kSegmentMemory; }
  // What allocated() will be after `count` bytes have been appended.
  std::size_t AllocatedAfterAppend(std::size_t count) const;

 private:
  static constexpr std::size_t kLinks = 2 * sizeof(void*);
  static constexpr std::size_t kSegmentSize = kSegmentMemory - kLinks - 2 * sizeof(std::size_t);

  struct Segment {
    std::array<char, kSegmentSize> bytes;
    std::size_t begin = 0;
    std::size_t end = 0;
  };

  // Unused bytes at the end of the last segment.
  std::size_t Room() const { return segments_.empty() ? 0 : kSegmentSize - segments_.back().end; }

  std::list<Segment> segments_;
  std::size_t size_ = 0;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_BASE_BYTE_QUEUE_HPP_
