// A limit on the memory that buffered data of one kind uses together, over all connections.
//
// Whoever buffers bytes holds a reservation for them, which moves with the bytes from owner to owner and ends
// with them.
//
// Pure: no I/O, no clock, no allocation of its own. One instance is shared by all connections of a process.
#ifndef DAPPLETILLER_BASE_MEMORY_BUDGET_HPP_
#define DAPPLETILLER_BASE_MEMORY_BUDGET_HPP_

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace dappletiller {

class MemoryBudget {
 public:
  // In bytes.
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}

  // Bytes of one owner; released on destruction.
  class Reservation {
   public:
    Reservation() = default;  // of no budget
    explicit Reservation(std::shared_ptr<MemoryBudget> budget) : budget_(std::move(budget)) {}
    Reservation(Reservation&& other) noexcept { *this = std::move(other); }
    Reservation& operator=(Reservation&& other) noexcept;
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    ~Reservation() { ShrinkTo(0); }

    // Increases the reservation to `bytes` in total. False: not available; the earlier reservation is kept.
    bool GrowTo(std::size_t bytes);
    // Increases the reservation even beyond the budget: for small buffers that nothing works without.
    void GrowUnconditionallyTo(std::size_t bytes);
    void ShrinkTo(std::size_t bytes);
    // Passes `bytes` of it, or all if there are less, to another owner.
    Reservation Split(std::size_t bytes);

    std::size_t size() const { return size_; }
    bool has_budget() const { return budget_ != nullptr; }

   private:
    std::shared_ptr<MemoryBudget> budget_;
    std::size_t size_ = 0;
  };

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }
  // A smaller limit takes effect as reservations end.
  void SetLimit(std::size_t limit);
  // Sets a function that is called whenever more may be available. It must not change any reservation.
  void SetOnReleased(std::function<void()> on_released) { on_released_ = std::move(on_released); }

 private:
  std::size_t limit_;
  std::size_t used_ = 0;
  std::function<void()> on_released_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_BASE_MEMORY_BUDGET_HPP_
