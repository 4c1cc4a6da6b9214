// How much memory the long bodies of requests and answers may take together.
//
// Every message may have a body of a usual size; what a body takes beyond that is asked for here, as it is
// known (all of a stated length at once, a body without one as it comes), and given back with the message.
// So a few long bodies pass, and many at once are refused before they exhaust the process's memory.
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

  // What one body has taken; it is given back when this goes.
  class Share {
   public:
    Share() = default;
    explicit Share(std::shared_ptr<BodyMemory> memory) : memory_(std::move(memory)) {}
    Share(Share&& other) noexcept { *this = std::move(other); }
    Share& operator=(Share&& other) noexcept;
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share() { GiveBack(); }

    // Takes more, up to `bytes` in all. False: so much is not left, or there is no memory to share; what was
    // taken before is kept.
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
