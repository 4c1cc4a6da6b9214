// Settings entries with versions: what one machine of the settings feed holds, and what it tells those who
// follow it. Pure: no socket, file or clock.
//
// A key is `kind/service/name` (tenant/plan-7/acme); its service says who takes it, `*` everybody. A value is
// opaque text. Each change has a version of its own, one above the last, and the log keeps each key once, at
// its latest: what follows a version is found by that version, at a cost by what has changed (Delta). The
// whole is the same walk from 0, without what was removed. Removed keys are remembered up to a bound; who
// follows from before the oldest forgotten one is given the whole.
//
// Where a version stands (Identity) is ordered by serial, epoch, version, and nobody goes back in that order:
// a machine that was away and comes back with old settings is told by it. The serial is the operators', as a
// zone's serial in the DNS (RFC 1982 without the wrap). An epoch is one line of versions, numbered by the
// origin that began it; an origin that goes on from what another held names from where (the timelines of
// PostgreSQL's recovery are the model).
//
// Bad input: keys and values out of bounds are refused by ReadKey and kLongestValue before they come here.
#ifndef DAPPLETILLER_CONFIG_FEED_STORE_HPP_
#define DAPPLETILLER_CONFIG_FEED_STORE_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dappletiller::feed {

constexpr std::size_t kLongestWord = 120;      // bytes of a kind, a service or a name
constexpr std::size_t kLongestValue = 4096;    // bytes
constexpr std::size_t kPageBytes = 24 * 1024;  // of keys and values, so that an answer fits the HTTP codec
constexpr std::string_view kEverybody = "*";

struct Key {
  std::string_view kind, service, name;  // views of the text that was read
};
// Nothing unless it is three words of printable characters without `/` (a name may hold it), within bounds.
std::optional<Key> ReadKey(std::string_view text);

struct Identity {
  std::uint64_t serial = 0;
  std::uint64_t epoch = 0;  // 0: holds nothing yet
  std::uint64_t version = 0;
  std::strong_ordering operator<=>(const Identity&) const = default;
};

// Who follows: the services whose entries it takes, beside everybody's; or all there is.
struct Scope {
  bool all = false;
  std::set<std::string, std::less<>> services;
  bool Takes(std::string_view service) const {
    return all || service == kEverybody || services.count(service) != 0;
  }
  bool operator==(const Scope&) const = default;
};

struct Change {
  std::string key;
  std::optional<std::string> value;  // none: removed
  std::uint64_t version = 0;
  bool operator==(const Change&) const = default;
};

// One epoch that this one goes on from, up to a version.
struct Ancestor {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  bool operator==(const Ancestor&) const = default;
};
constexpr std::size_t kMostAncestors = 16;

struct Page {
  Identity head;            // where the machine that tells stands
  std::uint64_t to = 0;     // all up to this version is told now
  bool whole = false;       // a walk through the whole; what the follower held is to be replaced at its end
  std::uint64_t after = 0;  // the walk stood here before this page
  std::vector<Ancestor> ancestors;
  std::vector<Change> changes;
  bool last() const { return to >= head.version; }
};

// What a follower asks for.
struct Question {
  // What it holds. Within a walk of the whole: the serial that is in force, and how far the walk has come.
  Identity held;
  std::optional<std::uint64_t> began;  // within a walk: the head's version when it began
  Scope scope;
};

class Store {
 public:
  // `most_removed`: removed keys that are remembered.
  explicit Store(std::size_t most_removed = 65'536) : most_removed_(most_removed) {}

  const Identity& head() const { return head_; }
  const std::vector<Ancestor>& ancestors() const { return ancestors_; }
  std::size_t size() const { return live_; }
  const std::string* Find(std::string_view key) const;
  // All that is live, in no order. For a start and for comparing, never for a change.
  template <typename Visit>
  void ForEach(const Visit& visit) const {
    for (const auto& [key, entry] : entries_)
      if (entry.value) visit(key, *entry.value);
  }

  // As the origin: all of these changes, under a serial above the head's. What is already so costs no
  // version. In `epoch`, if that is another than the head's: versions go on, and the old epoch is an
  // ancestor. Returns the services that are touched.
  std::set<std::string, std::less<>> Publish(std::uint64_t serial, std::uint64_t epoch,
                                             const std::vector<Change>& changes);
  // As a follower: one page that goes on from head().version (Follows says whether it does).
  std::set<std::string, std::less<>> Apply(const Page& page);

  // Whether what is asked can go on from where it stands: in this epoch or an ancestor's part, and nothing
  // that it must hear of is forgotten. Else the whole is told from its beginning.
  bool CanFollow(const Question& question) const;
  // Whether whoever holds `held` is ahead of this machine, which then has nothing for it.
  bool Behind(const Question& question) const;
  // The next page; at most about `most_bytes` of keys and values, at least one change if there is any. Costs
  // by what it returns and by the number of services in scope.
  Page Tell(const Question& question, std::size_t most_bytes) const;
  // Whether Tell would have changes: for who waits.
  bool HasNews(const Question& question) const;

 private:
  struct Entry {
    std::optional<std::string> value;
    std::uint64_t version = 0;
  };
  using Entries = std::map<std::string, Entry, std::less<>>;
  using Log = std::map<std::uint64_t, Entries::const_iterator>;

  void Put(std::string_view key, std::optional<std::string> value, std::uint64_t version,
           std::set<std::string, std::less<>>* touched);
  void ForgetOldest();

  std::size_t most_removed_;
  Identity head_;
  std::vector<Ancestor> ancestors_;  // oldest first
  Entries entries_;
  std::map<std::string, Log, std::less<>> logs_;  // by service
  std::map<std::uint64_t, Entries::const_iterator> removed_;
  std::uint64_t forgotten_ = 0;  // the latest version of a removed key that is no longer remembered
  std::size_t live_ = 0;
};

}  // namespace dappletiller::feed

#endif  // DAPPLETILLER_CONFIG_FEED_STORE_HPP_
