#include "config_feed/store.hpp"

#include <algorithm>
#include <utility>

namespace dappletiller::config_feed {
namespace {

constexpr std::size_t kChangeOverhead = 16;  // bytes of a change in addition to its key and value

std::size_t SizeOf(std::string_view key, const std::optional<std::string>& value) {
  return key.size() + (value ? value->size() : 0) + kChangeOverhead;
}

// Parts of a snapshot that were not sent yet may have changed until it began, so it cannot continue from an
// earlier head.
std::uint64_t KnownVersion(const PageRequest& request) {
  return std::max(request.position.version, request.snapshot_began_at.value_or(0));
}

}  // namespace

// The next change of one service's log.
struct Store::Cursor {
  ChangeLog::const_iterator next;
  const ChangeLog* log = nullptr;
  // Orders a heap by the lowest version.
  static bool IsLater(const Cursor& a, const Cursor& b) { return a.next->first > b.next->first; }
};

const std::string* Store::Find(std::string_view key) const {
  auto it = entries_.find(key);
  if (it == entries_.end() || !it->second.value) return nullptr;
  return &*it->second.value;
}

// ---- Changes in ----

void Store::Put(std::string_view key, std::optional<std::string> value, std::uint64_t version,
                ServiceSet* touched) {
  std::string service(ParseKey(key)->service);
  ChangeLog& log = logs_[service];
  auto it = entries_.find(key);
  if (it == entries_.end()) {
    it = entries_.emplace(std::string(key), Entry{}).first;
  } else {
    log.erase(it->second.version);
    if (it->second.value) {
      --live_;
    } else {
      removed_.erase(it->second.version);
    }
  }
  it->second = {std::move(value), version};
  log[version] = it;
  if (it->second.value) {
    ++live_;
  } else {
    removed_[version] = it;
  }
  touched->insert(std::move(service));
  if (removed_.size() > max_removed_) ForgetOldestRemoved();
}

void Store::ForgetOldestRemoved() {
  auto oldest = removed_.begin();
  const std::uint64_t version = oldest->first;
  const auto entry = oldest->second;
  last_forgotten_ = version;
  auto log = logs_.find(ParseKey(entry->first)->service);
  log->second.erase(version);
  if (log->second.empty()) logs_.erase(log);
  removed_.erase(oldest);
  entries_.erase(entry);
}

ServiceSet Store::Publish(std::uint64_t serial, std::uint64_t epoch, const std::vector<Change>& changes) {
  if (epoch != head_.epoch) {
    if (head_.epoch != 0) ancestors_.push_back({head_.epoch, head_.version});
    if (ancestors_.size() > kMaxAncestors) ancestors_.erase(ancestors_.begin());
    head_.epoch = epoch;
  }
  head_.serial = serial;
  ServiceSet touched;
  for (const Change& change : changes) {
    auto it = entries_.find(change.key);
    const bool same = it == entries_.end() ? !change.value : it->second.value == change.value;
    if (!same) Put(change.key, change.value, ++head_.version, &touched);
  }
  return touched;
}

ServiceSet Store::Apply(const Page& page) {
  ServiceSet touched;
  head_.epoch = page.head.epoch;
  ancestors_ = page.ancestors;
  for (const Change& change : page.changes) {
    // The key was removed before the snapshot reached it.
    const bool unknown = entries_.find(change.key) == entries_.end();
    if (page.is_snapshot && !change.value && unknown) continue;
    Put(change.key, change.value, change.version, &touched);
  }
  head_.version = page.up_to;
  // The old serial stays until the last page: a partial update must not count as the new serial.
  if (page.is_last()) head_.serial = page.head.serial;
  return touched;
}

// ---- Pages out ----

bool Store::CanContinue(const PageRequest& request) const {
  const StorePosition& position = request.position;
  const std::uint64_t known = KnownVersion(request);
  if (position.epoch == 0 || known > head_.version || known < last_forgotten_) return false;
  if (position.epoch == head_.epoch) return true;
  return std::any_of(ancestors_.begin(), ancestors_.end(), [&](const Ancestor& ancestor) {
    return ancestor.epoch == position.epoch && known <= ancestor.version;
  });
}

bool Store::IsBehind(const PageRequest& request) const {
  const StorePosition& position = request.position;
  if (head_.epoch == 0) return true;
  // While a snapshot is loaded, the serial is still the old one.
  if (position.serial > head_.serial) return true;
  if (position.epoch == head_.epoch) return KnownVersion(request) > head_.version;
  return position.serial == head_.serial && position.epoch > head_.epoch && !CanContinue(request);
}

std::vector<const Store::ChangeLog*> Store::LogsIn(const Scope& scope) const {
  std::vector<const ChangeLog*> logs;
  if (scope.all) {
    for (const auto& [service, log] : logs_) logs.push_back(&log);
    return logs;
  }
  const auto add = [&](std::string_view service) {
    auto it = logs_.find(service);
    if (it != logs_.end()) logs.push_back(&it->second);
  };
  add(kAllServices);
  for (const std::string& service : scope.services) {
    if (service != kAllServices) add(service);
  }
  return logs;
}

Page Store::MakePage(const PageRequest& request, std::size_t max_size) const {
  const bool continues = CanContinue(request);
  Page page;
  page.head = head_;
  page.ancestors = ancestors_;
  page.is_snapshot = request.snapshot_began_at || !continues;
  page.after = continues ? request.position.version : 0;
  page.up_to = head_.version;
  std::vector<Cursor> cursors;
  for (const ChangeLog* log : LogsIn(request.scope)) {
    auto next = log->upper_bound(page.after);
    if (next != log->end()) cursors.push_back({next, log});
  }
  FillPage(std::move(cursors), max_size, &page);
  return page;
}

// Merges the logs by version until the page is full.
void Store::FillPage(std::vector<Cursor> cursors, std::size_t max_size, Page* page) const {
  std::make_heap(cursors.begin(), cursors.end(), Cursor::IsLater);
  std::size_t size = 0;
  while (!cursors.empty()) {
    std::pop_heap(cursors.begin(), cursors.end(), Cursor::IsLater);
    Cursor& cursor = cursors.back();
    const auto& [key, entry] = *cursor.next->second;
    const std::size_t added = SizeOf(key, entry.value);
    if (size > 0 && size + added > max_size) {
      page->up_to = page->changes.back().version;
      return;
    }
    // Removals are sent within a snapshot too, after its first page: an earlier page may contain the key.
    if (entry.value || page->after > 0) {
      page->changes.push_back({key, entry.value, cursor.next->first});
      size += added;
    }
    ++cursor.next;
    if (cursor.next == cursor.log->end()) {
      cursors.pop_back();
    } else {
      std::push_heap(cursors.begin(), cursors.end(), Cursor::IsLater);
    }
  }
}

bool Store::HasChangesFor(const PageRequest& request) const {
  if (!CanContinue(request) || request.snapshot_began_at) return true;
  const Page page = MakePage(request, 1);
  return !page.changes.empty() || !page.is_last();
}

}  // namespace dappletiller::config_feed
