// Limits the number of connections that all parts hold together, so that the process stays below its limit on
// file descriptors.
#ifndef DAPPLETILLER_IO_DESCRIPTOR_LIMIT_HPP_
#define DAPPLETILLER_IO_DESCRIPTOR_LIMIT_HPP_

#include <cstddef>
#include <functional>
#include <utility>

namespace dappletiller {

class DescriptorLimit {
 public:
  enum class Side { kDownstream, kUpstream };

  // The last `reserved` of `limit` connections are for the downstream side alone: a request must still be
  // accepted and rejected when everything else is in use, since a client in the accept queue is already
  // connected.
  DescriptorLimit(std::size_t limit, std::size_t reserved) : limit_(limit), reserved_(reserved) {}

  // Sets the function by which a side closes one of its unused connections; it returns false if it has none.
  void SetCloseUnused(Side side, std::function<bool()> close_unused) {
    (side == Side::kDownstream ? close_unused_downstream_ : close_unused_upstream_) = std::move(close_unused);
  }
  // Sets a function that is called whenever a connection may be available again.
  void SetOnAvailable(std::function<void()> on_available) { on_available_ = std::move(on_available); }

  bool IsAvailable(Side side) const { return used_ + (side == Side::kUpstream ? reserved_ : 0) < limit_; }
  // Ensures that one more connection is available, if necessary by closing an unused one. Downstream
  // connections are closed first: a client can open another at no cost, while a new upstream connection costs
  // a handshake. So idle clients, however many, cannot use up the connections to servers.
  bool EnsureAvailable(Side side) {
    while (!IsAvailable(side)) {
      const bool closed = CloseUnused(close_unused_downstream_) || CloseUnused(close_unused_upstream_);
      if (!closed) return false;
    }
    return true;
  }
  void Acquire() { ++used_; }
  void Release() {
    --used_;
    if (on_available_) on_available_();
  }
  // A smaller limit takes effect as connections end; connections in use are not closed.
  void Resize(std::size_t limit, std::size_t reserved) {
    limit_ = limit;
    reserved_ = reserved;
    if (on_available_) on_available_();
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
  std::function<void()> on_available_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_DESCRIPTOR_LIMIT_HPP_
