#include "quota_lease/parts.hpp"

#include <algorithm>
#include <utility>

namespace dappletiller::limits {
namespace {

Micros WithMargin(Micros lease) {
  return lease + static_cast<Micros>(kDrift * static_cast<double>(lease)) + 1000;
}

void Put(std::string* to, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) to->push_back(static_cast<char>(value >> (8 * i)));
}

std::uint64_t Take(std::string_view* from, int bytes) {
  std::uint64_t value = 0;
  for (int i = 0; i < bytes; ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>((*from)[static_cast<std::size_t>(i)]))
             << (8 * i);
  from->remove_prefix(static_cast<std::size_t>(bytes));
  return value;
}

}  // namespace

std::string Encode(const LoanAsk& ask) {
  std::string bytes;
  Put(&bytes, ask.boot, 8);
  Put(&bytes, ask.number, 8);
  Put(&bytes, ask.taken, 8);
  Put(&bytes, ask.keepers, 4);
  Put(&bytes, ask.give_back ? 1 : 0, 1);
  return bytes;
}

std::optional<LoanAsk> DecodeAsk(std::string_view bytes) {
  if (bytes.size() != 29) return std::nullopt;
  LoanAsk ask;
  ask.boot = Take(&bytes, 8);
  ask.number = Take(&bytes, 8);
  ask.taken = Take(&bytes, 8);
  ask.keepers = static_cast<std::uint32_t>(Take(&bytes, 4));
  ask.give_back = Take(&bytes, 1) != 0;
  return ask;
}

std::string Encode(const LoanAnswer& answer) {
  std::string bytes;
  Put(&bytes, answer.boot, 8);
  Put(&bytes, answer.number, 8);
  Put(&bytes, answer.units, 4);
  return bytes;
}

std::optional<LoanAnswer> DecodeAnswer(std::string_view bytes) {
  if (bytes.size() != 20) return std::nullopt;
  LoanAnswer answer;
  answer.boot = Take(&bytes, 8);
  answer.number = Take(&bytes, 8);
  answer.units = static_cast<std::uint32_t>(Take(&bytes, 4));
  return answer;
}

Keeper::Keeper(std::uint32_t keepers, Micros lease, Micros started)
    : keepers_(keepers), lease_(lease), opens_(started + WithMargin(lease)) {}

std::uint32_t Keeper::Counts(const Holder& holder) {
  std::uint32_t most = 0;
  for (const auto& [number, loan] : holder.loans) most = std::max(most, loan.units);
  return most;
}

void Keeper::Expire(Micros now) {
  for (auto it = book_.begin(); it != book_.end();) {
    std::erase_if(it->second.loans, [now](const auto& loan) { return now > loan.second.ends; });
    // Who has nothing and no longer asks is not counted among those who share.
    bool gone = it->second.loans.empty() && now > it->second.asked + WithMargin(lease_);
    it = gone ? book_.erase(it) : std::next(it);
  }
}

std::uint32_t Keeper::Lent(Micros now) {
  Expire(now);
  std::uint32_t lent = 0;
  for (const auto& [who, holder] : book_) lent += Counts(holder);
  return lent;
}

std::optional<LoanAnswer> Keeper::Ask(Micros now, const std::string& name, const LoanAsk& ask) {
  if (ask.keepers != keepers_) return std::nullopt;
  Expire(now);
  auto key = std::make_pair(name, ask.boot);
  auto it = book_.find(key);
  // Guards against questions that come late or twice: what they say of `taken` is old.
  if (it != book_.end() && ask.number <= it->second.number) return std::nullopt;
  if (ask.give_back) {
    if (it != book_.end()) book_.erase(it);
    return std::nullopt;
  }
  if (it == book_.end()) {
    if (book_.size() >= kMostHolders) return std::nullopt;
    it = book_.emplace(std::move(key), Holder()).first;
  }
  Holder& holder = it->second;
  holder.number = ask.number;
  holder.asked = now;
  holder.loans.erase(holder.loans.begin(), holder.loans.lower_bound(ask.taken));
  LoanAnswer answer{ask.boot, ask.number, 0};
  if (now < opens_) return answer;
  std::uint32_t others = 0;
  for (const auto& [who, other] : book_) {
    if (&other != &holder) others += Counts(other);
  }
  auto even = static_cast<std::uint32_t>(kSlice / book_.size());
  answer.units = std::min(even, kSlice - std::min(kSlice, others));
  holder.loans[ask.number] = {answer.units, now + WithMargin(lease_)};
  return answer;
}

Holder::Holder(std::uint64_t boot, std::vector<std::string> keepers, Micros lease)
    : boot_(boot), keepers_(std::move(keepers)), lease_(lease) {
  for (const std::string& keeper : keepers_) from_[keeper];
}

LoanAsk Holder::Ask(Micros now, const std::string& keeper, bool give_back) {
  LoanAsk ask;
  ask.boot = boot_;
  ask.number = ++number_;
  ask.keepers = static_cast<std::uint32_t>(keepers_.size());
  ask.give_back = give_back;
  auto it = from_.find(keeper);
  if (it == from_.end()) return ask;
  From& from = it->second;
  ask.taken = from.taken;
  from.asked[ask.number] = now;
  if (from.asked.size() > kOpenAsks) from.asked.erase(from.asked.begin());
  return ask;
}

void Holder::Answer(const std::string& keeper, const LoanAnswer& answer) {
  auto it = from_.find(keeper);
  if (it == from_.end() || answer.boot != boot_ || stopped_) return;
  From& from = it->second;
  auto asked = from.asked.find(answer.number);
  // Guards against an older answer that comes after a newer one: we have said that we dropped it.
  if (asked == from.asked.end() || answer.number <= from.taken) return;
  from.taken = answer.number;
  from.units = std::min(answer.units, kSlice);
  from.ends = asked->second + lease_;
  from.asked.erase(from.asked.begin(), std::next(asked));
}

bool Holder::Lends(Micros now, const std::string& keeper) const {
  auto it = from_.find(keeper);
  return it != from_.end() && it->second.units > 0 && now < it->second.ends;
}

double Holder::Part(Micros now) const {
  if (stopped_ || keepers_.empty()) return 0;
  double units = 0;
  for (const auto& [keeper, from] : from_) {
    if (now < from.ends) units += from.units;
  }
  return units / (static_cast<double>(kSlice) * static_cast<double>(keepers_.size()));
}

Micros Holder::Until(Micros now) const {
  Micros until = 0;
  for (const auto& [keeper, from] : from_) {
    if (now < from.ends && from.units > 0) until = until == 0 ? from.ends : std::min(until, from.ends);
  }
  return until;
}

}  // namespace dappletiller::limits
