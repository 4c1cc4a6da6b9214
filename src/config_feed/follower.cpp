#include "config_feed/follower.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dappletiller::config_feed {
namespace {

constexpr int kMaxDoublings = 3;

std::uint64_t RendezvousWeight(const std::string& follower, const std::string& server) {
  const std::string both = follower + "\n" + server;
  return XXH3_64bits(both.data(), both.size());
}

}  // namespace

Follower::Follower(FollowerOptions options)
    : options_(std::move(options)),
      random_(options_.seed, XXH3_64bits(options_.self.data(), options_.self.size())),
      scope_(options_.scope),
      wanted_scope_(options_.scope) {
  RankServers(std::move(options_.nearby), std::move(options_.others));
}

double Follower::Uniform() { return random_() * 0x1.0p-32; }

void Follower::RankServers(std::vector<std::string> nearby, std::vector<std::string> others) {
  servers_.clear();
  for (auto* group : {&nearby, &others}) {
    const auto first = static_cast<std::ptrdiff_t>(servers_.size());
    for (std::string& address : *group) servers_.push_back({std::move(address)});
    std::sort(servers_.begin() + first, servers_.end(), [this](const Server& a, const Server& b) {
      return RendezvousWeight(options_.self, a.address) > RendezvousWeight(options_.self, b.address);
    });
  }
  current_ = newest_ = polled_ = 0;
}

const std::string& Follower::server() const {
  static const std::string kNone;
  return servers_.empty() ? kNone : servers_[current_].address;
}

// ---- Requests ----

std::optional<Follower::Request> Follower::NextRequest(Micros now) {
  if (request_is_out_ || servers_.empty() || now < due_) return std::nullopt;
  const bool may_return = !options_.polls_replicas && current_ != 0 && failures_ == 0;
  if (may_return && now >= return_at_) {
    current_ = 0;
    return_at_ = now + kReturnInterval;
  }
  request_is_out_ = true;
  Request request;
  request.server = servers_[current_].address;
  request.page.scope = wanted_scope_;
  request.page.position = store_.head();
  if (loading_) {
    request.page.position.epoch = loading_->store.head().epoch;
    request.page.position.version = loading_->store.head().version;
    request.page.snapshot_began_at = loading_->began_at;
  } else if (!(wanted_scope_ == scope_)) {
    // Nothing of this scope has been received.
    request.page.position.epoch = 0;
    request.page.position.version = 0;
  }
  request.wait = WaitFor(request.page);
  request.timeout = request.wait + kResponseTimeout;
  return request;
}

// The first request to a server has no wait, so that missed changes are received immediately.
Micros Follower::WaitFor(const PageRequest& request) const {
  const bool has_missed = loading_ || request.position.epoch == 0 || failures_ > 0 || complete_at_ < 0;
  if (has_missed) return 0;
  if (!options_.polls_replicas) return kLongPollTime;
  return current_ == newest_ ? kReplicaPollInterval : 0;
}

// ---- Pages ----

// Whether the page is from a server with older settings or a superseded epoch.
bool Follower::IsOlder(const Page& page) const {
  const StorePosition& held = store_.head();
  if (page.head.serial != held.serial) return page.head.serial < held.serial;
  return page.is_snapshot &&
         std::pair(page.head.epoch, page.head.version) < std::pair(held.epoch, held.version);
}

bool Follower::HasOrderedVersions(const Page& page) const {
  if (page.up_to < page.after || page.up_to > page.head.version || page.head.epoch == 0) return false;
  std::uint64_t before = page.after;
  for (const Change& change : page.changes) {
    if (change.version <= before || change.version > page.up_to) return false;
    before = change.version;
  }
  return true;
}

// Whether a page continues the current position: it answers this request and leaves no gap.
bool Follower::Continues(const Page& page) const {
  if (!HasOrderedVersions(page)) return false;
  if (page.is_snapshot) {
    return page.after == 0 || (loading_ && loading_->store.head().version == page.after);
  }
  const StorePosition& held = store_.head();
  const bool same_epoch = page.head.epoch == held.epoch ||
                          std::any_of(page.ancestors.begin(), page.ancestors.end(), [&](const Ancestor& a) {
                            return a.epoch == held.epoch && held.version <= a.version;
                          });
  return !loading_ && wanted_scope_ == scope_ && page.after == held.version && same_epoch;
}

std::vector<Change> Follower::OnPage(Micros now, const Page& page, std::size_t size) {
  request_is_out_ = false;
  if (IsOlder(page)) {
    OnServerBehind(now);
    return {};
  }
  if (!Continues(page)) {
    OnFailure(now);
    return {};
  }
  failures_ = failures_until_backoff_ = 0;
  due_ = now;
  const bool has_news = page.up_to != page.after || page.is_snapshot;
  if (has_news) newest_ = current_;
  std::vector<Change> changes = page.is_snapshot ? TakeSnapshotPage(page, size) : TakeDeltaPage(page);
  if (!page.is_last()) return changes;
  complete_at_ = now;
  if (options_.polls_replicas) PollNextReplica(now);
  return changes;
}

std::vector<Change> Follower::TakeSnapshotPage(const Page& page, std::size_t size) {
  if (!loading_ || page.after == 0) loading_.emplace(LoadingSnapshot{Store(), page.head.version});
  loading_->store.Apply(page);
  if (page.is_last()) return FinishSnapshot();
  // Paced, so that a snapshot does not use up the proxy's bandwidth.
  if (options_.snapshot_rate > 0) {
    due_ += static_cast<Micros>(1e6 * static_cast<double>(size) / options_.snapshot_rate);
  }
  return {};
}

std::vector<Change> Follower::TakeDeltaPage(const Page& page) {
  std::vector<Change> changes;
  for (const Change& change : page.changes) {
    const std::string* known = store_.Find(change.key);
    const bool differs = change.value ? known == nullptr || *known != *change.value : known != nullptr;
    if (differs) changes.push_back(change);
  }
  store_.Apply(page);
  return changes;
}

// Puts the snapshot into force and returns the differences.
std::vector<Change> Follower::FinishSnapshot() {
  std::vector<Change> changes;
  const Store& loaded = loading_->store;
  store_.ForEach([&](const std::string& key, const std::string&) {
    if (loaded.Find(key) == nullptr) changes.push_back({key, std::nullopt, 0});
  });
  loaded.ForEach([&](const std::string& key, const std::string& value) {
    const std::string* known = store_.Find(key);
    if (known == nullptr || *known != value) changes.push_back({key, value, 0});
  });
  store_ = std::move(loading_->store);
  loading_.reset();
  scope_ = wanted_scope_;
  return changes;
}

// ---- Failures ----

void Follower::OnFailure(Micros now) { LeaveServer(now); }

void Follower::LeaveServer(Micros now) {
  request_is_out_ = false;
  ++failures_;
  ++vain_requests_;
  if (servers_.empty()) return;
  servers_[current_].deprioritized_until = now + kDeprioritizedTime;
  current_ = newest_ = BestOtherServer(now);
  return_at_ = now + kReturnInterval;
  due_ = now + static_cast<Micros>(kJitter * Uniform());
  // Backs off after all servers have failed in a row, so that recovering servers are not overloaded.
  const int count = static_cast<int>(servers_.size());
  ++failures_until_backoff_;
  if (failures_until_backoff_ % count != 0) return;
  const int doublings = std::min(failures_until_backoff_ / count - 1, kMaxDoublings);
  const Micros backoff = std::min(kMaxBackoff, kMinBackoff << doublings);
  due_ = now + static_cast<Micros>(static_cast<double>(backoff) * (0.5 + 0.5 * Uniform()));
}

// The first server that has not failed recently, or else the one whose failure is the longest ago.
std::size_t Follower::BestOtherServer(Micros now) const {
  std::size_t best = current_;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (i == current_) continue;
    const Server& server = servers_[i];
    const bool is_free = server.deprioritized_until <= now;
    const bool best_is_free = best != current_ && servers_[best].deprioritized_until <= now;
    const bool is_first = best == current_;
    const bool failed_earlier = server.deprioritized_until < servers_[best].deprioritized_until;
    if (is_first || (!best_is_free && (is_free || failed_earlier))) best = i;
  }
  return best;
}

void Follower::OnBusy(Micros now, Micros retry_after) {
  request_is_out_ = false;
  failures_ = failures_until_backoff_ = 0;
  // The server has assigned a turn, which another server would not know.
  const Micros wait = std::clamp<Micros>(retry_after, kJitter, kMaxRetryAfter);
  due_ = now + wait + static_cast<Micros>(kJitter * Uniform());
}

// For a follower that polls replicas, a replica that is behind has not failed; the origin finds only such
// replicas.
void Follower::OnServerBehind(Micros now) {
  if (!options_.polls_replicas) {
    LeaveServer(now);
    return;
  }
  request_is_out_ = false;
  ++vain_requests_;
  if (current_ == newest_) newest_ = (newest_ + 1) % servers_.size();
  PollNextReplica(now);
  due_ = now + static_cast<Micros>(static_cast<double>(kReplicaPollInterval) * (0.5 + 0.5 * Uniform()));
}

// Alternates between the replica with the latest change and the others in turn. Otherwise two replicas that
// follow each other would never learn of a third.
void Follower::PollNextReplica(Micros now) {
  if (current_ != newest_) {
    current_ = newest_;
    return;
  }
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    polled_ = (polled_ + 1) % servers_.size();
    if (polled_ == newest_ || servers_[polled_].deprioritized_until > now) continue;
    current_ = polled_;
    return;
  }
}

// ---- What its owner changes ----

void Follower::AbandonRequest(Micros now) {
  request_is_out_ = false;
  due_ = now;
}

void Follower::SetScope(Micros now, Scope scope) {
  if (scope == wanted_scope_) return;
  wanted_scope_ = std::move(scope);
  loading_.reset();
  AbandonRequest(now);
}

void Follower::SetServers(Micros now, std::vector<std::string> nearby, std::vector<std::string> others) {
  RankServers(std::move(nearby), std::move(others));
  failures_ = failures_until_backoff_ = 0;
  return_at_ = 0;
  AbandonRequest(now);
}

ServiceSet Follower::Publish(Micros now, std::uint64_t serial, std::uint64_t epoch,
                             const std::vector<Change>& changes) {
  ServiceSet touched = store_.Publish(serial, epoch, changes);
  loading_.reset();
  AbandonRequest(now);
  return touched;
}

}  // namespace dappletiller::config_feed
