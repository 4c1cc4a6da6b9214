// What one server or follower of the configuration feed holds: entries with versions.
//
// Each change has a version of its own, one above the last, and the log keeps each key once, at its latest
// version: the changes after a version are found by that version, at a cost by what has changed (MakePage). A
// snapshot is the same walk from version 0, without removed keys. Removed keys are remembered up to a bound;
// a follower that stands before the oldest forgotten one is sent a snapshot.
//
// Pure: no socket, file or clock. Keys and values out of bounds have to be refused before they come here
// (ParseKey, kMaxValueSize). Not thread-safe.
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
  // `max_removed`: removed keys that are remembered.
  explicit Store(std::size_t max_removed = 65'536) : max_removed_(max_removed) {}

  const StorePosition& head() const { return head_; }
  const std::vector<Ancestor>& ancestors() const { return ancestors_; }
  std::size_t size() const { return live_; }
  // The value of a key; null if there is none.
  const std::string* Find(std::string_view key) const;
  // All entries, in no order. For a start and for comparisons, never for a change.
  template <typename Visit>
  void ForEach(const Visit& visit) const {
    for (const auto& [key, entry] : entries_) {
      if (entry.value) visit(key, *entry.value);
    }
  }

  // As the origin: takes these changes, under a serial above the head's. A change that changes nothing costs
  // no version. With another epoch than the head's, versions go on and the old epoch becomes an ancestor.
  // Returns the services that are touched.
  ServiceSet Publish(std::uint64_t serial, std::uint64_t epoch, const std::vector<Change>& changes);
  // As a follower: takes a page that continues from head().version. Returns the services that are touched.
  ServiceSet Apply(const Page& page);

  // Whether a follower can continue from where it stands: in this epoch or an ancestor's part, with nothing
  // forgotten that it needs. Else it is sent a snapshot.
  bool CanContinue(const PageRequest& request) const;
  // Whether the follower stands ahead of this store, which then has nothing for it.
  bool IsBehind(const PageRequest& request) const;
  // The next page: about `max_size` bytes of keys and values at most, at least one change if there is any.
  // Costs by what it returns and by the number of services in scope.
  Page MakePage(const PageRequest& request, std::size_t max_size) const;
  // Whether MakePage would have something new, for a request that may wait.
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
  std::uint64_t last_forgotten_ = 0;  // the latest version of a removed key that is no longer remembered
  std::size_t live_ = 0;
};

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_STORE_HPP_
