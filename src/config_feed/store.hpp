// The versioned entries of one server or follower of the configuration feed.
//
// Each change has its own version, one above the last. The log contains each key once, at its latest version,
// so the changes after a version are found at a cost proportional to their number (MakePage). A snapshot is
// the same traversal from version 0, without removed keys. Removed keys are remembered up to a limit; a
// follower that is behind the oldest forgotten one gets a snapshot.
//
// Pure: no socket, file or clock. Keys and values must be checked by the caller (ParseKey, kMaxValueSize).
// Not thread-safe.
#ifndef DAPPLETILLER_CONFIG_FEED_STORE_HPP_
#define DAPPLETILLER_CONFIG_FEED_STORE_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config_feed/entry.hpp"

namespace dappletiller::config_feed {

class Store {
 public:
  // `max_removed`: number of removed keys that are remembered.
  explicit Store(std::size_t max_removed = 65'536) : max_removed_(max_removed) {}

  const StorePosition& head() const { return head_; }
  const std::vector<Ancestor>& ancestors() const { return ancestors_; }
  std::size_t size() const { return live_; }
  // The value of a key; null if there is none.
  const std::string* Find(std::string_view key) const;
  // Visits all entries, in no order. For startup and comparisons only.
  template <typename Visit>
  void ForEach(const Visit& visit) const {
    for (const auto& [key, entry] : entries_) {
      if (entry.value) visit(key, *entry.value);
    }
  }

  // As the origin: applies changes under a serial above the head's. Changes without effect get no version.
  // With a new epoch, versions continue and the old epoch becomes an ancestor. Returns the affected services.
  ServiceSet Publish(std::uint64_t serial, std::uint64_t epoch, const std::vector<Change>& changes);
  // As a follower: applies a page that continues from head().version. Returns the affected services.
  ServiceSet Apply(const Page& page);

  // Whether a follower can continue from its position: it is in this epoch or an ancestor, and no change that
  // it needs is forgotten. Otherwise it gets a snapshot.
  bool CanContinue(const PageRequest& request) const;
  // Whether the follower is ahead of this store.
  bool IsBehind(const PageRequest& request) const;
  // The next page, with at most about `max_size` bytes of keys and values, but at least one change if there
  // is any. The cost is proportional to the result and the number of services in scope.
  Page MakePage(const PageRequest& request, std::size_t max_size) const;
  // Whether MakePage would return new changes, for a request that may wait.
  bool HasChangesFor(const PageRequest& request) const;

 private:
  struct Entry {
    std::optional<std::string> value;
    std::uint64_t version = 0;
  };
  using Entries = std::map<std::string, Entry, std::less<>>;
  using ChangeLog = std::map<std::uint64_t, Entries::const_iterator>;  // by version
  struct Cursor;

  void Put(std::string_view key, std::optional<std::string> value, std::uint64_t version,
           ServiceSet* touched);
  void ForgetOldestRemoved();
  std::vector<const ChangeLog*> LogsIn(const Scope& scope) const;
  void FillPage(std::vector<Cursor> cursors, std::size_t max_size, Page* page) const;

  std::size_t max_removed_;
  StorePosition head_;
  std::vector<Ancestor> ancestors_;  // oldest first
  Entries entries_;
  std::map<std::string, ChangeLog, std::less<>> logs_;  // by service
  ChangeLog removed_;
  std::uint64_t last_forgotten_ = 0;  // latest version of a forgotten removed key
  std::size_t live_ = 0;
};

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_STORE_HPP_
