// The origin's file: JSON Lines (jsonlines.org), the serial first, then one entry a line:
//
//   {"serial": 12}
//   {"kind": "tenant", "service": "plan-7", "name": "acme", "value": {"portion": 0.01, "quotaRps": 5}}
//   {"kind": "class", "service": "*", "name": "check", "value": {"giveUp": 800000, "effect": "free"}}
// A new text is compared with the previous one by line, and only lines that differ are parsed: a changed
// entry costs its own line and the hashing of the file. Tenants and classes are checked by the rules of the
// proxies; the values of other kinds are any JSON. Does no file I/O. Not thread-safe.
#ifndef DAPPLETILLER_CONFIG_FEED_ORIGIN_FILE_HPP_
#define DAPPLETILLER_CONFIG_FEED_ORIGIN_FILE_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config_feed/store.hpp"

namespace dappletiller::config_feed {

// States file, line, key and remedy.
class OriginError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kMaxEntries = 1'000'000;  // four times the target's: 180,000 tenants, 26,000 routes

class OriginFile {
 public:
  explicit OriginFile(std::string name) : name_(std::move(name)) {}  // of the file, for messages

  struct Reading {
    std::uint64_t serial = 0;
    std::vector<Change>
        changes;  // since the previous reading, initially all entries; sorted by key, without versions
    std::size_t entries = 0;
  };
  // Throws OriginError; the previous reading then stays in effect.
  Reading Read(std::string_view text);
  bool has_been_read() const { return serial_ != 0; }
  std::uint64_t serial() const { return serial_; }
  // Differences between the last reading and a store received from others.
  std::vector<Change> DifferencesTo(const Store& store) const;

 private:
  struct Line {
    std::string_view text;
    std::string key;
    std::string value;
    std::size_t number = 0;  // in the file
  };
  // Result of one pass over the text.
  struct Scan {
    std::uint64_t serial = 0;
    std::unordered_map<std::string_view, std::size_t> lines;  // lines of all entries, with their numbers
    std::vector<Line> new_lines;                              // lines that were not in the last reading
    std::size_t kept_lines = 0;
  };
  using ChangedValues = std::unordered_map<std::string_view, std::optional<std::string_view>>;

  Scan ScanLines(std::string_view text) const;
  void ScanEntry(std::string_view line, std::size_t number, Scan* scan) const;
  std::uint64_t ParseSerial(std::string_view line, std::size_t number) const;
  Line ParseLine(std::string_view text, std::size_t number) const;
  void CheckValue(const Key& key, const Line& line) const;
  ChangedValues FindChangedValues(const Scan& scan) const;
  void CheckSerial(std::uint64_t serial, bool entries_differ) const;
  std::vector<Change> MakeChanges(const ChangedValues& changed) const;
  void Commit(Scan scan, const std::vector<Change>& changes);
  [[noreturn]] void Fail(std::size_t line, const std::string& key, const std::string& why) const;

  std::string name_;
  std::uint64_t serial_ = 0;
  std::unordered_map<std::string, std::string> lines_;    // text to key
  std::unordered_map<std::string, std::string> entries_;  // key to value
};

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_ORIGIN_FILE_HPP_
