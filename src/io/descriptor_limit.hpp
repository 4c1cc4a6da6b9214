// The connections that all parts may hold together, so that the limit on descriptors binds in one place.
#ifndef DAPPLETILLER_IO_DESCRIPTOR_LIMIT_HPP_
#define DAPPLETILLER_IO_DESCRIPTOR_LIMIT_HPP_

#include <cstddef>
#include <functional>

namespace dappletiller {

class Budget {
 public:
  enum class Side { kClients, kWorkers };
  // The last `kept` connections are for clients alone: a request must still be taken, and refused, when
  // everything else is in use, since one that waits in the kernel is ours already.
  Budget(std::size_t limit, std::size_t kept) : limit_(limit), kept_(kept) {}

  // How each side closes one unused connection of its own; false if it has none.
  void SetSpare(Side side, std::function<bool()> spare) {
    (side == Side::kClients ? spare_client_ : spare_worker_) = std::move(spare);
  }
  void SetFreed(std::function<void()> freed) { freed_ = std::move(freed); }

  // Room for one more, if need be by closing an unused connection, clients' first: a client opens another for
  // nothing, a worker's costs that worker a handshake. Guards against a silent crowd costing all of those.
  bool MakeRoom(Side side) {
    while (!Fits(side)) {
      if (!(spare_client_ && spare_client_()) && !(spare_worker_ && spare_worker_())) return false;
    }
    return true;
  }
  bool Fits(Side side) const { return used_ + (side == Side::kWorkers ? kept_ : 0) < limit_; }
  void Take() { ++used_; }
  void Give() {
    --used_;
    if (freed_) freed_();
  }
  // A smaller limit binds as connections end; none in use is cut off for it.
  void Resize(std::size_t limit, std::size_t kept) {
    limit_ = limit;
    kept_ = kept;
    if (freed_) freed_();
  }
  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }

 private:
  std::size_t limit_;
  std::size_t kept_;
  std::size_t used_ = 0;
  std::function<bool()> spare_client_;
  std::function<bool()> spare_worker_;
  std::function<void()> freed_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_DESCRIPTOR_LIMIT_HPP_
