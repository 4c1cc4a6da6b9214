// Limits the memory that the long bodies of requests and responses use together.
//
// Each message may have a body of the usual size. Memory beyond that is reserved here as soon as the size is
// known (a stated length at once, other bodies as they are received) and released with the message. So a few
// long bodies are accepted, and many at the same time are rejected before they exhaust the process's memory.
//
// Pure: no I/O, no clock, no allocation of its own. One instance is shared by all connections of a process.
#ifndef DAPPLETILLER_HTTP_BODY_MEMORY_HPP_
#define DAPPLETILLER_HTTP_BODY_MEMORY_HPP_

#include <cstddef>
#include <memory>
#include <utility>

namespace dappletiller {

class BodyMemory {
 public:
  explicit BodyMemory(std::size_t limit) : limit_(limit) {}

  // The reservation of one body; released on destruction.
  class Share {
   public:
    Share() = default;
    explicit Share(std::shared_ptr<BodyMemory> memory) : memory_(std::move(memory)) {}
    Share(Share&& other) noexcept { *this = std::move(other); }
    Share& operator=(Share&& other) noexcept;
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share() { GiveBack(); }

    // Increases the reservation to `bytes` in total. False: not available; the earlier reservation is kept.
    bool GrowTo(std::size_t bytes);
    bool shares() const { return memory_ != nullptr; }

   private:
    void GiveBack();

    std::shared_ptr<BodyMemory> memory_;
    std::size_t taken_ = 0;
  };

  std::size_t limit() const { return limit_; }
  std::size_t taken() const { return taken_; }

 private:
  std::size_t limit_;
  std::size_t taken_ = 0;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_HTTP_BODY_MEMORY_HPP_
