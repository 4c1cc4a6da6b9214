// How many connections all parts may hold together, so that the process's limit on descriptors binds in one
// place.
#ifndef DAPPLETILLER_IO_DESCRIPTOR_LIMIT_HPP_
#define DAPPLETILLER_IO_DESCRIPTOR_LIMIT_HPP_

#include <cstddef>
#include <functional>
#include <utility>

namespace dappletiller {

class DescriptorLimit {
 public:
  enum class Side { kDownstream, kUpstream };

  // The last `reserved` of `limit` connections are for downstream alone: a request must still be accepted,
  // and rejected, when everything else is in use, since one that waits in the kernel is ours already.
  DescriptorLimit(std::size_t limit, std::size_t reserved) : limit_(limit), reserved_(reserved) {}

  // How a side closes one unused connection of its own; it returns false if it has none.
  void SetCloseUnused(Side side, std::function<bool()> close_unused) {
    (side == Side::kDownstream ? close_unused_downstream_ : close_unused_upstream_) = std::move(close_unused);
  }
  // Called whenever there may be room again.
  void SetOnRoom(std::function<void()> on_room) { on_room_ = std::move(on_room); }

  bool HasRoom(Side side) const { return used_ + (side == Side::kUpstream ? reserved_ : 0) < limit_; }
  // Makes room for one more connection, if need be by closing an unused one, downstream first: a client opens
  // another at no cost, an upstream server pays a handshake. A silent crowd of clients thus can't cost all of
  // those.
  bool MakeRoom(Side side) {
    while (!HasRoom(side)) {
      const bool closed = CloseUnused(close_unused_downstream_) || CloseUnused(close_unused_upstream_);
      if (!closed) return false;
    }
    return true;
  }
  void Acquire() { ++used_; }
  void Release() {
    --used_;
    if (on_room_) on_room_();
  }
  // A smaller limit binds as connections end; none in use is closed for it.
  void Resize(std::size_t limit, std::size_t reserved) {
    limit_ = limit;
    reserved_ = reserved;
    if (on_room_) on_room_();
  }
  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }

 private:
  static bool CloseUnused(const std::function<bool()>& close_unused) {
    return close_unused && close_unused();
  }

  std::size_t limit_;
  std::size_t reserved_;
  std::size_t used_ = 0;
  std::function<bool()> close_unused_downstream_;
  std::function<bool()> close_unused_upstream_;
  std::function<void()> on_room_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_DESCRIPTOR_LIMIT_HPP_
