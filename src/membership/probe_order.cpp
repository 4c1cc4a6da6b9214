#include "membership/probe_order.hpp"

#include <algorithm>

namespace dappletiller::membership {
namespace {

// Several draws per member, since dead members stay in the list until the end of the round.
constexpr std::size_t kDrawsPerMember = 4;
constexpr std::size_t kExtraDraws = 8;

}  // namespace

void ProbeOrder::InsertAtRandom(const std::string& name) {
  const auto place = static_cast<std::ptrdiff_t>(random_(names_.size() + 1));
  names_.insert(names_.begin() + place, name);
}

void ProbeOrder::Append(const std::string& name) { names_.push_back(name); }

void ProbeOrder::Clear() {
  names_.clear();
  next_ = 0;
}

const Member* ProbeOrder::Next() {
  for (std::size_t i = 0; i <= names_.size(); ++i) {
    if (next_ >= names_.size()) BeginRound();
    if (names_.empty()) return nullptr;
    const Member* member = members_.Find(names_[next_++]);
    if (member != nullptr && IsLiving(member->record.state)) return member;
  }
  return nullptr;
}

void ProbeOrder::BeginRound() {
  std::erase_if(names_, [this](const std::string& name) {
    const Member* member = members_.Find(name);
    return member == nullptr || !IsLiving(member->record.state);
  });
  std::sort(names_.begin(), names_.end());
  names_.erase(std::unique(names_.begin(), names_.end()), names_.end());
  std::shuffle(names_.begin(), names_.end(), random_);
  next_ = 0;
}

std::vector<const Member*> ProbeOrder::PickAlive(std::size_t count, const std::string& except) {
  std::vector<const Member*> picked;
  if (names_.empty()) return picked;
  const std::size_t max_draws = kDrawsPerMember * count + kExtraDraws;
  for (std::size_t draw = 0; draw < max_draws && picked.size() < count; ++draw) {
    const std::string& name = names_[random_(names_.size())];
    const Member* member = members_.Find(name);
    if (member == nullptr || member->record.state != MemberState::kAlive || name == except) continue;
    if (std::find(picked.begin(), picked.end(), member) == picked.end()) picked.push_back(member);
  }
  return picked;
}

}  // namespace dappletiller::membership
