#include "config_feed/origin_file.hpp"

#include <algorithm>
#include <utility>

#include "config_feed/json_text.hpp"
#include "config_feed/values.hpp"

namespace dappletiller::config_feed {
namespace {

constexpr std::size_t kMaxKeyInMessage = 80;
constexpr std::size_t kLineMembers = 4;  // kind, service, name, value

bool IsBefore(const Change& a, const Change& b) { return a.key < b.key; }

}  // namespace

void OriginFile::Fail(std::size_t line, const std::string& key, const std::string& why) const {
  throw OriginError(name_ + ":" + std::to_string(line) + ": " + key + (key.empty() ? "" : ": ") + why);
}

// ---- One line ----

std::uint64_t OriginFile::ParseSerial(std::string_view line, std::size_t number) const {
  const auto root = ParseStrictJson(line);
  const bool is_serial = root && root->isObject() && (*root)["serial"].isUInt64() &&
                         (*root)["serial"].asUInt64() != 0 && root->size() == 1;
  if (!is_serial) {
    Fail(number, "serial", "is missing; begin the file with {\"serial\": N}, N above the last one");
  }
  return (*root)["serial"].asUInt64();
}

OriginFile::Line OriginFile::ParseLine(std::string_view text, std::size_t number) const {
  const auto root = ParseStrictJson(text);
  if (!root || !root->isObject()) {
    Fail(number, "", "is not a JSON object; write one entry a line, or remove the line");
  }
  Line line;
  line.text = text;
  line.number = number;
  for (const char* name : {"kind", "service", "name"}) {
    const Json::Value& part = (*root)[name];
    if (!part.isString()) Fail(number, name, "is missing or not a string; add it");
    line.key += (line.key.empty() ? "" : "/") + part.asString();
  }
  const auto key = ParseKey(line.key);
  if (!key || key->kind != (*root)["kind"].asString() || key->service != (*root)["service"].asString()) {
    Fail(number, line.key.substr(0, kMaxKeyInMessage),
         "is not a valid key; kind, service and name are 1 to 120 printable characters, the first two "
         "without '/'");
  }
  if (!root->isMember("value")) {
    Fail(number, line.key, "value is missing; add it, or remove the line to remove the entry");
  }
  if (root->size() != kLineMembers) {
    Fail(number, line.key, "has an unknown member; keep only kind, service, name, value");
  }
  line.value = WriteCompactJson((*root)["value"]);
  if (line.value.size() > kMaxValueSize) {
    Fail(number, line.key, "value is longer than 4096 bytes; make it shorter");
  }
  CheckValue(*key, line);
  return line;
}

void OriginFile::CheckValue(const Key& key, const Line& line) const {
  if (key.kind == kTenantKind) {
    const auto tenant = ParseTenant(line.value);
    if (!tenant) Fail(line.number, line.key, tenant.error().message);
  } else if (key.kind == kClassKind) {
    const auto request_class = ParseClass(line.value);
    if (!request_class) Fail(line.number, line.key, request_class.error().message);
  }
}

// ---- A whole text ----

OriginFile::Reading OriginFile::Read(std::string_view text) {
  Scan scan = ScanLines(text);
  const ChangedValues changed = FindChangedValues(scan);
  CheckSerial(scan.serial, !changed.empty());
  Reading reading;
  reading.serial = scan.serial;
  reading.entries = scan.lines.size();
  reading.changes = MakeChanges(changed);
  // No errors are possible from here on.
  Commit(std::move(scan), reading.changes);
  return reading;
}

OriginFile::Scan OriginFile::ScanLines(std::string_view text) const {
  Scan scan;
  for (std::size_t number = 1; !text.empty(); ++number) {
    const std::string_view line = text.substr(0, text.find('\n'));
    if (line.size() == text.size()) {
      Fail(number, "", "does not end in a newline; the file is truncated, write it in full");
    }
    text.remove_prefix(line.size() + 1);
    if (line.empty()) continue;
    if (scan.serial == 0) {
      scan.serial = ParseSerial(line, number);
    } else {
      ScanEntry(line, number, &scan);
    }
  }
  if (scan.serial == 0) Fail(1, "serial", "is missing; begin the file with {\"serial\": N}");
  return scan;
}

void OriginFile::ScanEntry(std::string_view line, std::size_t number, Scan* scan) const {
  const auto [earlier, is_first] = scan->lines.emplace(line, number);
  if (!is_first) {
    Fail(number, "", "repeats the entry of line " + std::to_string(earlier->second) + "; remove one of them");
  }
  if (scan->lines.size() > kMaxEntries) Fail(number, "", "more than 1000000 entries; split the fleet");
  if (lines_.count(std::string(line)) != 0) {
    ++scan->kept_lines;
  } else {
    scan->new_lines.push_back(ParseLine(line, number));
  }
}

// The entry of a removed line is removed, unless a new line gives it another value.
OriginFile::ChangedValues OriginFile::FindChangedValues(const Scan& scan) const {
  ChangedValues changed;
  if (scan.kept_lines != lines_.size()) {
    for (const auto& [line, key] : lines_) {
      if (scan.lines.count(line) == 0) changed[key] = std::nullopt;
    }
  }
  std::unordered_map<std::string_view, std::size_t> line_of;
  for (const Line& line : scan.new_lines) {
    const auto [earlier, is_first] = line_of.emplace(line.key, line.number);
    if (!is_first) {
      Fail(line.number, line.key,
           "is also on line " + std::to_string(earlier->second) + "; remove one of them");
    }
    const bool on_kept_line = entries_.count(line.key) != 0 && changed.count(line.key) == 0;
    if (on_kept_line) Fail(line.number, line.key, "is also on another line; remove one of them");
    changed[line.key] = line.value;
  }
  return changed;
}

void OriginFile::CheckSerial(std::uint64_t serial, bool entries_differ) const {
  if (!has_been_read()) return;
  if (entries_differ && serial <= serial_) {
    Fail(1, "serial",
         std::to_string(serial) + " is not above " + std::to_string(serial_) +
             ", the last one read, and entries differ; raise it");
  }
  if (serial < serial_) {
    Fail(1, "serial",
         std::to_string(serial) + " is below " + std::to_string(serial_) + ", the last one read; raise it");
  }
}

std::vector<Change> OriginFile::MakeChanges(const ChangedValues& changed) const {
  std::vector<Change> changes;
  for (const auto& [key, value] : changed) {
    auto known = entries_.find(std::string(key));
    const bool same = known != entries_.end() && value && known->second == *value;
    if (same) continue;
    Change change;
    change.key = key;
    if (value) change.value = std::string(*value);
    changes.push_back(std::move(change));
  }
  std::sort(changes.begin(), changes.end(), IsBefore);
  return changes;
}

void OriginFile::Commit(Scan scan, const std::vector<Change>& changes) {
  if (scan.kept_lines != lines_.size()) {
    std::erase_if(lines_, [&](const auto& line) { return scan.lines.count(line.first) == 0; });
  }
  for (const Change& change : changes) {
    if (change.value) {
      entries_[change.key] = *change.value;
    } else {
      entries_.erase(change.key);
    }
  }
  for (Line& line : scan.new_lines) lines_.emplace(std::string(line.text), std::move(line.key));
  serial_ = scan.serial;
}

std::vector<Change> OriginFile::DifferencesTo(const Store& store) const {
  std::vector<Change> changes;
  store.ForEach([&](const std::string& key, const std::string&) {
    if (entries_.count(key) == 0) changes.push_back({key, std::nullopt, 0});
  });
  for (const auto& [key, value] : entries_) {
    const std::string* other = store.Find(key);
    if (other == nullptr || *other != value) changes.push_back({key, value, 0});
  }
  std::sort(changes.begin(), changes.end(), IsBefore);
  return changes;
}

}  // namespace dappletiller::config_feed
