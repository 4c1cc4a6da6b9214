#include "config_feed/store.hpp"

#include <algorithm>
#include <queue>
#include <tuple>
#include <utility>

namespace dappletiller::feed {
namespace {

bool Word(std::string_view text) {
  return !text.empty() && text.size() <= kLongestWord &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace

std::optional<Key> ReadKey(std::string_view text) {
  std::size_t first = text.find('/');
  if (first == std::string_view::npos) return std::nullopt;
  std::size_t second = text.find('/', first + 1);
  if (second == std::string_view::npos) return std::nullopt;
  Key key{text.substr(0, first), text.substr(first + 1, second - first - 1), text.substr(second + 1)};
  if (!Word(key.kind) || !Word(key.service) || !Word(key.name)) return std::nullopt;
  return key;
}

const std::string* Store::Find(std::string_view key) const {
  auto it = entries_.find(key);
  return it == entries_.end() || !it->second.value ? nullptr : &*it->second.value;
}

void Store::Put(std::string_view key, std::optional<std::string> value, std::uint64_t version,
                std::set<std::string, std::less<>>* touched) {
  std::string service(ReadKey(key)->service);
  auto it = entries_.find(key);
  if (it == entries_.end()) {
    it = entries_.emplace(std::string(key), Entry{}).first;
  } else {
    logs_[service].erase(it->second.version);
    if (it->second.value) --live_;
    if (!it->second.value) removed_.erase(it->second.version);
  }
  it->second = {std::move(value), version};
  logs_[service][version] = it;
  if (it->second.value) ++live_;
  if (!it->second.value) removed_[version] = it;
  touched->insert(std::move(service));
  if (removed_.size() > most_removed_) ForgetOldest();
}

void Store::ForgetOldest() {
  auto oldest = removed_.begin();
  auto entry = oldest->second;
  forgotten_ = oldest->first;
  auto log = logs_.find(ReadKey(entry->first)->service);
  log->second.erase(oldest->first);
  if (log->second.empty()) logs_.erase(log);
  removed_.erase(oldest);
  entries_.erase(entry);
}

std::set<std::string, std::less<>> Store::Publish(std::uint64_t serial, std::uint64_t epoch,
                                                  const std::vector<Change>& changes) {
  std::set<std::string, std::less<>> touched;
  if (epoch != head_.epoch) {
    if (head_.epoch != 0) ancestors_.push_back({head_.epoch, head_.version});
    if (ancestors_.size() > kMostAncestors) ancestors_.erase(ancestors_.begin());
    head_.epoch = epoch;
  }
  head_.serial = serial;
  for (const Change& change : changes) {
    auto it = entries_.find(change.key);
    bool same = it == entries_.end() ? !change.value : it->second.value == change.value;
    if (!same) Put(change.key, change.value, ++head_.version, &touched);
  }
  return touched;
}

std::set<std::string, std::less<>> Store::Apply(const Page& page) {
  std::set<std::string, std::less<>> touched;
  head_.epoch = page.head.epoch;
  ancestors_ = page.ancestors;
  for (const Change& change : page.changes) {
    // Of a walk through the whole, what was removed before it began is nowhere.
    if (!change.value && entries_.find(change.key) == entries_.end() && page.whole) continue;
    Put(change.key, change.value, change.version, &touched);
  }
  head_.version = page.to;
  // Until all is here the old serial stands: what is half new must not count as the new one.
  if (page.last()) head_.serial = page.head.serial;
  return touched;
}

bool Store::CanFollow(const Question& question) const {
  const Identity& held = question.held;
  // What a walk has not met yet may have been changed up to where it began: it goes on from no earlier head.
  std::uint64_t known = std::max(held.version, question.began.value_or(0));
  if (held.epoch == 0 || known > head_.version || known < forgotten_) return false;
  if (held.epoch == head_.epoch) return true;
  return std::any_of(ancestors_.begin(), ancestors_.end(),
                     [&](const Ancestor& a) { return a.epoch == held.epoch && known <= a.version; });
}

bool Store::Behind(const Question& question) const {
  const Identity& held = question.held;
  if (head_.epoch == 0) return true;
  // Within a walk the serial is still the old one's.
  if (held.serial > head_.serial) return true;
  if (held.epoch == head_.epoch) return std::max(held.version, question.began.value_or(0)) > head_.version;
  return held.serial == head_.serial && held.epoch > head_.epoch && !CanFollow(question);
}

Page Store::Tell(const Question& question, std::size_t most_bytes) const {
  Page page;
  page.head = head_;
  page.ancestors = ancestors_;
  bool follows = CanFollow(question);
  page.whole = question.began || !follows;
  page.after = follows ? question.held.version : 0;
  page.to = head_.version;
  // One cursor a service in scope, the least version first.
  using Cursor = std::tuple<std::uint64_t, Log::const_iterator, const Log*>;
  auto later = [](const Cursor& a, const Cursor& b) { return std::get<0>(a) > std::get<0>(b); };
  std::priority_queue<Cursor, std::vector<Cursor>, decltype(later)> cursors(later);
  auto begin = [&](const Log& log) {
    auto at = log.upper_bound(page.after);
    if (at != log.end()) cursors.emplace(at->first, at, &log);
  };
  if (question.scope.all) {
    for (const auto& [service, log] : logs_) begin(log);
  } else {
    auto one = [&](std::string_view service) {
      if (auto it = logs_.find(service); it != logs_.end()) begin(it->second);
    };
    one(kEverybody);
    for (const std::string& service : question.scope.services) {
      if (service != kEverybody) one(service);
    }
  }
  std::size_t bytes = 0;
  while (!cursors.empty()) {
    auto [version, at, log] = cursors.top();
    cursors.pop();
    const auto& [key, entry] = *at->second;
    std::size_t more = key.size() + (entry.value ? entry.value->size() : 0) + 16;
    if (bytes > 0 && bytes + more > most_bytes) {
      page.to = page.changes.back().version;
      break;
    }
    // A removal is told also within a walk: the key may have come with one of its earlier pages.
    if (entry.value || page.after > 0) {
      page.changes.push_back({key, entry.value, version});
      bytes += more;
    }
    if (++at != log->end()) cursors.emplace(at->first, at, log);
  }
  return page;
}

bool Store::HasNews(const Question& question) const {
  if (!CanFollow(question) || question.began) return true;
  Page page = Tell(question, 1);
  return !page.changes.empty() || !page.last();
}

}  // namespace dappletiller::feed
