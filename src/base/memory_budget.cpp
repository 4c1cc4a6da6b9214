#include "base/memory_budget.hpp"

#include <algorithm>

namespace dappletiller {

MemoryBudget::Reservation& MemoryBudget::Reservation::operator=(Reservation&& other) noexcept {
  if (this == &other) return *this;
  ShrinkTo(0);
  budget_ = std::move(other.budget_);
  size_ = std::exchange(other.size_, 0);
  return *this;
}

bool MemoryBudget::Reservation::GrowTo(std::size_t bytes) {
  if (bytes <= size_) return true;
  if (budget_ == nullptr) return false;
  const std::size_t more = bytes - size_;
  const std::size_t used = budget_->used_;
  if (used > budget_->limit_ || more > budget_->limit_ - used) return false;
  GrowUnconditionallyTo(bytes);
  return true;
}

void MemoryBudget::Reservation::GrowUnconditionallyTo(std::size_t bytes) {
  if (bytes <= size_ || budget_ == nullptr) return;
  budget_->used_ += bytes - size_;
  size_ = bytes;
}

void MemoryBudget::Reservation::ShrinkTo(std::size_t bytes) {
  if (bytes >= size_) return;
  budget_->used_ -= size_ - bytes;
  size_ = bytes;
  if (budget_->on_released_) budget_->on_released_();
}

MemoryBudget::Reservation MemoryBudget::Reservation::Split(std::size_t bytes) {
  Reservation part(budget_);
  part.size_ = std::min(bytes, size_);
  size_ -= part.size_;
  return part;
}

void MemoryBudget::SetLimit(std::size_t limit) {
  limit_ = limit;
  if (on_released_) on_released_();
}

}  // namespace dappletiller
