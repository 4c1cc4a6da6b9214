#include "http/body_memory.hpp"

namespace dappletiller {

BodyMemory::Share& BodyMemory::Share::operator=(Share&& other) noexcept {
  if (this == &other) return *this;
  GiveBack();
  memory_ = std::move(other.memory_);
  taken_ = std::exchange(other.taken_, 0);
  return *this;
}

bool BodyMemory::Share::GrowTo(std::size_t bytes) {
  if (bytes <= taken_) return true;
  if (memory_ == nullptr) return false;
  std::size_t more = bytes - taken_;
  if (more > memory_->limit_ - memory_->taken_) return false;
  memory_->taken_ += more;
  taken_ = bytes;
  return true;
}

void BodyMemory::Share::GiveBack() {
  if (memory_ != nullptr) memory_->taken_ -= std::exchange(taken_, 0);
}

}  // namespace dappletiller
