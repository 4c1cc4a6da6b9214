#include "limits/client_room.hpp"

namespace dappletiller::limits {

ClientRoom::Seat* ClientRoom::Find(Id id) {
  auto it = seats_.find(id);
  return it == seats_.end() ? nullptr : &it->second;
}

void ClientRoom::Busy(Seat& seat) {
  if (!seat.at_rest) return;
  seat.at_rest = false;
  resting_[Place(seat.standing)].erase(seat.place);
}

void ClientRoom::Rest(Id id, Seat& seat) {
  if (seat.at_rest) return;
  Resting& resting = resting_[Place(seat.standing)];
  seat.place = resting.insert(resting.end(), id);
  seat.at_rest = true;
}

void ClientRoom::Opened(Id id, Micros now) {
  auto [it, fresh] = seats_.try_emplace(id);
  if (!fresh) return;
  it->second.opened = now;
  Rest(id, it->second);
}

// They lie in the order in which they came, so only those whose time is over are looked at.
void ClientRoom::AgeNew(Micros now) {
  Resting& fresh = resting_[Place(Standing::kNew)];
  Resting& silent = resting_[Place(Standing::kSilent)];
  while (!fresh.empty()) {
    Seat& seat = seats_.at(fresh.front());
    if (now - seat.opened < new_for_) return;
    seat.standing = Standing::kSilent;
    silent.splice(silent.end(), fresh, fresh.begin());
  }
}

void ClientRoom::Receiving(Id id) {
  if (Seat* seat = Find(id)) Busy(*seat);
}

void ClientRoom::Probed(Id id) {
  Seat* seat = Find(id);
  if (seat == nullptr) return;
  Busy(*seat);
  // A call before it speaks for more than this does.
  if (Quiet(seat->standing)) seat->standing = Standing::kProbing;
}

void ClientRoom::Called(Id id) {
  Seat* seat = Find(id);
  if (seat == nullptr) return;
  Busy(*seat);
  if (!Calls(seat->standing)) {
    seat->standing = Standing::kOnce;
    ++calling_;
  } else {
    seat->standing = Standing::kReturned;
  }
}

void ClientRoom::Rested(Id id) {
  if (Seat* seat = Find(id)) Rest(id, *seat);
}

void ClientRoom::ToldToGo(Id id) {
  Seat* seat = Find(id);
  if (seat == nullptr) return;
  Busy(*seat);
  if (Calls(seat->standing)) --calling_;
  seat->standing = Standing::kToldToGo;
  Rest(id, *seat);
}

void ClientRoom::Closed(Id id) {
  auto it = seats_.find(id);
  if (it == seats_.end()) return;
  Busy(it->second);
  if (Calls(it->second.standing)) --calling_;
  seats_.erase(it);
}

bool ClientRoom::LastAnswer(Id id) const {
  auto it = seats_.find(id);
  if (it == seats_.end() || !Calls(it->second.standing)) return false;
  if (calling_ <= MarkReturned()) return false;
  return resting(Standing::kOnce) == 0 && resting(Standing::kReturned) == 0;
}

bool ClientRoom::Offer(Standing standing, const CloseOne& close) {
  Resting& resting = resting_[Place(standing)];
  for (auto it = resting.begin(); it != resting.end();) {
    Id id = *it++;  // closing it takes its own place away and no other
    if (close(id)) return true;
  }
  return false;
}

bool ClientRoom::MakeRoom(Micros now, const CloseOne& close) {
  AgeNew(now);
  for (std::size_t i = 0; i < kStandings; ++i) {
    if (Offer(static_cast<Standing>(i), close)) return true;
  }
  return false;
}

void ClientRoom::Trim(const CloseOne& close) {
  while (calling_ > MarkOnce() && Offer(Standing::kOnce, close)) {
  }
  while (calling_ > MarkReturned() && Offer(Standing::kReturned, close)) {
  }
}

}  // namespace dappletiller::limits
