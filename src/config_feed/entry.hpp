// Entries of the configuration feed, and the pages in which they travel.
//
// A key is `kind/service/name` (tenant/plan-7/acme); its service says which proxies need it, `*` all of them.
// A value is opaque text.
#ifndef DAPPLETILLER_CONFIG_FEED_ENTRY_HPP_
#define DAPPLETILLER_CONFIG_FEED_ENTRY_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dappletiller::config_feed {

constexpr std::size_t kMaxKeyPartSize = 120;  // bytes of a kind, a service or a name
constexpr std::size_t kMaxValueSize = 4096;   // bytes
constexpr std::size_t kMaxPageSize =
    std::size_t{24} * 1024;  // bytes of keys and values, so that a page fits the HTTP parser
constexpr std::size_t kMaxAncestors = 16;
constexpr std::string_view kAllServices = "*";

using ServiceSet = std::set<std::string, std::less<>>;

struct Key {
  std::string_view kind;  // all three are views of the text that was parsed
  std::string_view service;
  std::string_view name;
};
// Nothing unless it is three parts of printable characters without `/` (a name may hold it), within bounds.
std::optional<Key> ParseKey(std::string_view text);

// Where a store stands. Positions are ordered by serial, epoch, version, and nobody goes back in that order.
struct StorePosition {
  std::uint64_t serial =
      0;  // the operators', raised with each change, as a zone's in the DNS (RFC 1982, no wrap)
  std::uint64_t epoch =
      0;  // of one line of versions, numbered by the origin that began it; 0: holds nothing yet
  std::uint64_t version = 0;  // of the last change within the epoch
  std::strong_ordering operator<=>(const StorePosition&) const = default;
};

// Which entries a follower takes: those of its services and of all services, or all there are.
struct Scope {
  bool all = false;
  ServiceSet services;
  bool Includes(std::string_view service) const {
    return all || service == kAllServices || services.count(service) != 0;
  }
  bool operator==(const Scope&) const = default;
};

struct Change {
  std::string key;
  std::optional<std::string> value;  // none: removed
  std::uint64_t version = 0;
  bool operator==(const Change&) const = default;
};

// An epoch that a later one goes on from, up to this version (as the timelines of PostgreSQL's recovery).
struct Ancestor {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  bool operator==(const Ancestor&) const = default;
};

// Part of a delta, or of a snapshot.
struct Page {
  StorePosition head;        // where the sender stands
  std::uint64_t up_to = 0;   // all changes up to this version have been sent with this page
  bool is_snapshot = false;  // what the follower held is to be replaced once the last page is here
  std::uint64_t after = 0;   // the version that the pages before had come to
  std::vector<Ancestor> ancestors;
  std::vector<Change> changes;
  bool is_last() const { return up_to >= head.version; }
};

struct PageRequest {
  // Where the follower stands. While it loads a snapshot: the serial in force, and how far the snapshot has
  // come.
  StorePosition position;
  std::optional<std::uint64_t>
      snapshot_began_at;  // while it loads a snapshot: the head's version when it began
  Scope scope;
};

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_ENTRY_HPP_
