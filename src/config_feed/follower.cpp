#include "config_feed/follower.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dappletiller::feed {

Follower::Follower(FollowerOptions options)
    : options_(std::move(options)),
      random_(options_.seed, XXH3_64bits(options_.self.data(), options_.self.size())),
      scope_(options_.scope),
      wanted_(options_.scope) {
  Rank(std::move(options_.near), std::move(options_.others));
}

double Follower::Uniform() { return random_() * 0x1.0p-32; }

void Follower::Rank(std::vector<std::string> near, std::vector<std::string> others) {
  order_.clear();
  for (auto* part : {&near, &others}) {
    std::size_t first = order_.size();
    for (std::string& address : *part) order_.push_back({std::move(address)});
    auto weight = [this](const Machine& m) {
      std::string both = options_.self + "\n" + m.address;
      return XXH3_64bits(both.data(), both.size());
    };
    std::sort(order_.begin() + static_cast<std::ptrdiff_t>(first), order_.end(),
              [&](const Machine& a, const Machine& b) { return weight(a) > weight(b); });
  }
  at_ = best_ = look_ = 0;
}

const std::string& Follower::machine() const {
  static const std::string kNone;
  return order_.empty() ? kNone : order_[at_].address;
}

std::optional<Follower::Ask> Follower::Next(Micros now) {
  if (asking_ || order_.empty() || now < due_) return std::nullopt;
  if (!options_.look_round && at_ != 0 && now >= home_at_ && failures_ == 0) {
    at_ = 0;
    home_at_ = now + kHomeEvery;
  }
  asking_ = true;
  Ask ask;
  ask.machine = order_[at_].address;
  ask.question.scope = wanted_;
  ask.question.held = held_.head();
  if (walk_) {
    ask.question.held.epoch = walk_->store.head().epoch;
    ask.question.held.version = walk_->store.head().version;
    ask.question.began = walk_->began;
  } else if (!(wanted_ == scope_)) {
    ask.question.held.epoch = ask.question.held.version = 0;  // of this scope nothing is held
  }
  // The first question to a machine doesn't wait: what was missed is known at once.
  bool news = walk_ || ask.question.held.epoch == 0 || failures_ > 0 || answered_at_ < 0;
  ask.wait = news ? 0 : options_.look_round ? (at_ == best_ ? kLookEvery : 0) : kWait;
  ask.within = ask.wait + kAnswerWithin;
  return ask;
}

// Whether a page joins what is here. Guards against an answer to another question, or one that leaves a gap.
bool Follower::GoesOn(const Page& page) const {
  if (page.to < page.after || page.to > page.head.version || page.head.epoch == 0) return false;
  std::uint64_t before = page.after;
  for (const Change& change : page.changes) {
    if (change.version <= before || change.version > page.to) return false;
    before = change.version;
  }
  if (page.whole) return page.after == 0 || (walk_ && walk_->store.head().version == page.after);
  const Identity& held = held_.head();
  auto line = [&](const Ancestor& a) { return a.epoch == held.epoch && held.version <= a.version; };
  bool same =
      page.head.epoch == held.epoch || std::any_of(page.ancestors.begin(), page.ancestors.end(), line);
  return !walk_ && wanted_ == scope_ && page.after == held.version && same;
}

std::vector<Change> Follower::Answered(Micros now, const Page& page, std::size_t bytes) {
  asking_ = false;
  const Identity& held = held_.head();
  // Guards against going back: a machine with old settings, or a line of versions that lost.
  bool older = page.head.serial < held.serial ||
               (page.whole && page.head.serial == held.serial &&
                std::pair(page.head.epoch, page.head.version) < std::pair(held.epoch, held.version));
  if (older) return Behind(now), std::vector<Change>();
  if (!GoesOn(page)) return Failed(now), std::vector<Change>();
  failures_ = round_failures_ = 0;
  due_ = now;
  if (page.to != page.after || page.whole) best_ = at_;
  std::vector<Change> changes;
  if (page.whole) {
    if (!walk_ || page.after == 0) walk_.emplace(Walk{Store(), page.head.version});
    walk_->store.Apply(page);
    if (!page.last()) {
      // Paced by what it takes, so that a whole leaves room for all else that a proxy is told.
      if (options_.whole_rate > 0)
        due_ += static_cast<Micros>(1e6 * static_cast<double>(bytes) / options_.whole_rate);
      return changes;
    }
    changes = Replace();
  } else {
    for (const Change& change : page.changes) {
      const std::string* held = held_.Find(change.key);
      if (change.value ? held == nullptr || *held != *change.value : held != nullptr)
        changes.push_back(change);
    }
    held_.Apply(page);
  }
  if (page.last()) answered_at_ = now;
  if (page.last() && options_.look_round) LookRound(now);
  return changes;
}

// From the machine that had the latest news to the next of the others, and back: two that follow one another
// would else never hear of a third.
void Follower::LookRound(Micros now) {
  if (at_ != best_) {
    at_ = best_;
    return;
  }
  for (std::size_t i = 0; i < order_.size(); ++i) {
    look_ = (look_ + 1) % order_.size();
    if (look_ == best_ || order_[look_].shunned_until > now) continue;
    at_ = look_;
    return;
  }
}

// The walk is done: what it found is in force, and the difference is told.
std::vector<Change> Follower::Replace() {
  std::vector<Change> changes;
  const Store& fresh = walk_->store;
  held_.ForEach([&](const std::string& key, const std::string&) {
    if (fresh.Find(key) == nullptr) changes.push_back({key, std::nullopt, 0});
  });
  fresh.ForEach([&](const std::string& key, const std::string& value) {
    const std::string* held = held_.Find(key);
    if (held == nullptr || *held != value) changes.push_back({key, value, 0});
  });
  held_ = std::move(walk_->store);
  walk_.reset();
  scope_ = wanted_;
  return changes;
}

// On to the best of the others: the first in order that has not failed of late, else the one whose failure is
// the longest ago.
void Follower::Leave(Micros now) {
  asking_ = false;
  ++failures_;
  ++in_vain_;
  if (order_.empty()) return;
  order_[at_].shunned_until = now + kShunned;
  std::size_t next = at_;
  for (std::size_t i = 0; i < order_.size(); ++i) {
    if (i == at_) continue;
    bool free = order_[i].shunned_until <= now;
    bool best_free = next != at_ && order_[next].shunned_until <= now;
    if (next == at_ || (free && !best_free) ||
        (!free && !best_free && order_[i].shunned_until < order_[next].shunned_until)) {
      next = i;
    }
  }
  at_ = best_ = next;
  home_at_ = now + kHomeEvery;
  due_ = now + static_cast<Micros>(kJitter * Uniform());
  // All have failed in a row: a pause, doubling, so that a tier that comes back is not run over.
  int all = static_cast<int>(order_.size());
  if (++round_failures_ % all != 0) return;
  Micros pause = std::min(kMostPause, kLeastPause << std::min(round_failures_ / all - 1, 3));
  due_ = now + static_cast<Micros>(static_cast<double>(pause) * (0.5 + 0.5 * Uniform()));
}

void Follower::Busy(Micros now, Micros retry_after) {
  asking_ = false;
  failures_ = round_failures_ = 0;
  // It has a turn there, which another machine would not know of.
  Micros pause = std::clamp<Micros>(retry_after, kJitter, kMostRetryAfter);
  due_ = now + pause + static_cast<Micros>(kJitter * Uniform());
}

// For one that looks round a machine that is behind is none that fails: the origin finds only such.
void Follower::Behind(Micros now) {
  if (!options_.look_round) return Leave(now);
  asking_ = false;
  ++in_vain_;
  if (at_ == best_) best_ = (best_ + 1) % order_.size();
  LookRound(now);
  due_ = now + static_cast<Micros>(static_cast<double>(kLookEvery) * (0.5 + 0.5 * Uniform()));
}
void Follower::Failed(Micros now) { Leave(now); }

void Follower::SetScope(Micros now, Scope scope) {
  if (scope == wanted_) return;
  wanted_ = std::move(scope);
  walk_.reset();
  // A question of the old scope that is out is void; the driver gives it up.
  asking_ = false;
  due_ = now;
}

void Follower::SetMachines(Micros now, std::vector<std::string> near, std::vector<std::string> others) {
  Rank(std::move(near), std::move(others));
  asking_ = false;
  failures_ = round_failures_ = 0;
  home_at_ = 0;
  due_ = now;
}

std::set<std::string, std::less<>> Follower::Publish(Micros now, std::uint64_t serial, std::uint64_t epoch,
                                                     const std::vector<Change>& changes) {
  auto touched = held_.Publish(serial, epoch, changes);
  walk_.reset();
  asking_ = false;
  due_ = now;
  return touched;
}

}  // namespace dappletiller::feed
