// Entries of the configuration feed, and the pages in which they are transferred.
//
// A key is `kind/service/name` (tenant/plan-7/acme); its service determines which proxies need it, `*` for
// all of them. A value is opaque text.
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
// Nothing unless the text consists of three parts of printable characters, within bounds and without `/`
// (except in a name).
std::optional<Key> ParseKey(std::string_view text);

// The position of a store. Positions are ordered by serial, epoch and version, and never decrease.
struct StorePosition {
  std::uint64_t serial =
      0;  // the operators', raised with each change, as a zone's in the DNS (RFC 1982, no wrap)
  std::uint64_t epoch =
      0;  // of one line of versions, numbered by the origin that began it; 0: holds nothing yet
  std::uint64_t version = 0;  // of the last change within the epoch
  std::strong_ordering operator<=>(const StorePosition&) const = default;
};

// The entries that a follower needs: those of its services and of all services, or everything.
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

// An earlier epoch that was continued by a later one from this version on (as the timelines of PostgreSQL's
// recovery).
struct Ancestor {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  bool operator==(const Ancestor&) const = default;
};

// Part of a delta, or of a snapshot.
struct Page {
  StorePosition head;        // position of the sender
  std::uint64_t up_to = 0;   // with this page, all changes up to this version have been sent
  bool is_snapshot = false;  // replaces the follower's entries when the last page has been received
  std::uint64_t after = 0;   // version reached by the previous pages
  std::vector<Ancestor> ancestors;
  std::vector<Change> changes;
  bool is_last() const { return up_to >= head.version; }
};

struct PageRequest {
  // The follower's position. While it loads a snapshot: the serial in force and the snapshot's progress.
  StorePosition position;
  std::optional<std::uint64_t>
      snapshot_began_at;  // while it loads a snapshot: the head's version when it began
  Scope scope;
};

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_ENTRY_HPP_
