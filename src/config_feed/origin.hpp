// The origin's file: JSON Lines (jsonlines.org), the serial first, then one entry a line:
//
//   {"serial": 12}
//   {"kind": "tenant", "service": "plan-7", "name": "acme", "value": {"portion": 0.01, "quotaRps": 5}}
//   {"kind": "class", "service": "*", "name": "check", "value": {"giveUp": 800000, "effect": "free"}}
//
// A new reading is compared with the last by line, so that only lines that differ are parsed: a changed entry
// costs its own line and the hashing of the file. Tenants and classes are checked for what proxies will make
// of them; the values of other kinds are any JSON. Throws OriginError: file, line, key, remedy; what was read
// before stays. Touches no file.
#ifndef DAPPLETILLER_CONFIG_FEED_ORIGIN_HPP_
#define DAPPLETILLER_CONFIG_FEED_ORIGIN_HPP_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config_feed/store.hpp"

namespace dappletiller::feed {

class OriginError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kMostEntries = 1'000'000;  // four times the target's: 180,000 tenants, 26,000 routes

class Origin {
 public:
  explicit Origin(std::string name) : name_(std::move(name)) {}  // of the file, for messages

  struct Reading {
    std::uint64_t serial = 0;
    std::vector<Change> changes;  // against the reading before; at first all entries. Without versions
    std::size_t entries = 0;
  };
  Reading Read(std::string_view text);
  bool read() const { return serial_ != 0; }
  std::uint64_t serial() const { return serial_; }
  // What the last reading differs in from a store that others held: to go on from there.
  std::vector<Change> Against(const Store& store) const;

 private:
  struct Line {
    std::string_view text;
    std::string key, value;
    std::size_t number = 0;  // in the file
  };
  Line ParseLine(std::string_view text, std::size_t number) const;
  [[noreturn]] void Fail(std::size_t line, const std::string& key, const std::string& why) const;

  std::string name_;
  std::uint64_t serial_ = 0;
  std::unordered_map<std::string, std::string> lines_;  // text to key
  std::unordered_map<std::string, std::string> entries_;
};

}  // namespace dappletiller::feed

#endif  // DAPPLETILLER_CONFIG_FEED_ORIGIN_HPP_
