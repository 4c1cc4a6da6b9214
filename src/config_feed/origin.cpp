#include "config_feed/origin.hpp"

#include <json/json.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "config_feed/values.hpp"

namespace dappletiller::feed {
namespace {

Json::Value ParseObject(std::string_view text) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &root, &errors)) return Json::Value();
  } catch (const Json::Exception&) {  // the reader's own limits
    return Json::Value();
  }
  return root;
}

}  // namespace

void Origin::Fail(std::size_t line, const std::string& key, const std::string& why) const {
  throw OriginError(name_ + ":" + std::to_string(line) + ": " + key + (key.empty() ? "" : ": ") + why);
}

Origin::Line Origin::ParseLine(std::string_view text, std::size_t number) const {
  Json::Value root = ParseObject(text);
  if (!root.isObject()) Fail(number, "", "is no JSON object; write one entry a line, or remove the line");
  Line line;
  line.text = text;
  line.number = number;
  for (const char* name : {"kind", "service", "name"}) {
    if (!root[name].isString()) Fail(number, name, "is missing or not a string; add it");
    line.key += (line.key.empty() ? "" : "/") + root[name].asString();
  }
  auto key = ReadKey(line.key);
  if (!key || key->kind != root["kind"].asString() || key->service != root["service"].asString()) {
    Fail(number, line.key.substr(0, 80),
         "is no key; kind, service and name are 1 to 120 printable characters, the first two without '/'");
  }
  if (!root.isMember("value"))
    Fail(number, line.key, "value is missing; add it, or remove the line to remove the entry");
  if (root.size() != 4)
    Fail(number, line.key, "has a member that is not known here; leave kind, service, name, value");
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  line.value = Json::writeString(writer, root["value"]);
  if (line.value.size() > kLongestValue)
    Fail(number, line.key, "value is longer than 4096 bytes; make it shorter");
  std::string why;
  if ((key->kind == kTenant && !ReadTenant(line.value, &why)) ||
      (key->kind == kClass && !ReadClass(line.value, &why)))
    Fail(number, line.key, why);
  return line;
}

Origin::Reading Origin::Read(std::string_view text) {
  Reading reading;
  std::vector<Line> fresh;
  std::size_t number = 0;
  std::size_t kept_count = 0;
  std::unordered_map<std::string_view, std::size_t> seen;
  while (!text.empty()) {
    std::string_view line = text.substr(0, text.find('\n'));
    if (line.size() == text.size())
      Fail(number + 1, "", "does not end in a newline; the file is cut short, write it whole");
    text.remove_prefix(line.size() + 1);
    ++number;
    if (line.empty()) continue;
    if (reading.serial == 0) {
      Json::Value root = ParseObject(line);
      if (!root.isObject() || !root["serial"].isUInt64() || root["serial"].asUInt64() == 0 ||
          root.size() != 1)
        Fail(number, "serial", "is missing; begin the file with {\"serial\": N}, N above the last one");
      reading.serial = root["serial"].asUInt64();
      continue;
    }
    if (auto [it, first] = seen.emplace(line, number); !first)
      Fail(number, "", "says the same as line " + std::to_string(it->second) + "; remove one of them");
    if (seen.size() > kMostEntries) Fail(number, "", "more than 1000000 entries; split the fleet");
    if (lines_.count(std::string(line)) != 0) {
      ++kept_count;
    } else {
      fresh.push_back(ParseLine(line, number));
    }
  }
  if (reading.serial == 0) Fail(1, "serial", "is missing; begin the file with {\"serial\": N}");
  reading.entries = seen.size();

  // What the lines that went said is removed, unless a new one says it otherwise.
  std::unordered_map<std::string_view, std::optional<std::string_view>> changed;
  if (kept_count != lines_.size()) {
    for (const auto& [line, key] : lines_) {
      if (seen.count(line) == 0) changed[key] = std::nullopt;
    }
  }
  std::unordered_map<std::string_view, std::size_t> said;
  for (const Line& line : fresh) {
    auto [it, first] = said.emplace(line.key, line.number);
    if (!first)
      Fail(line.number, line.key,
           "stands on line " + std::to_string(it->second) + " too; remove one of them");
    // A kept line says it as well.
    if (entries_.count(line.key) != 0 && changed.count(line.key) == 0)
      Fail(line.number, line.key, "stands on another line too; remove one of them");
    changed[line.key] = line.value;
  }
  bool differs = !changed.empty();
  if (read() && differs && reading.serial <= serial_) {
    Fail(1, "serial",
         std::to_string(reading.serial) + " is not above " + std::to_string(serial_) +
             ", the last one read, and entries differ; raise it");
  }
  if (read() && reading.serial < serial_) {
    Fail(1, "serial",
         std::to_string(reading.serial) + " is below " + std::to_string(serial_) +
             ", the last one read; raise it");
  }

  for (const auto& [key, value] : changed) {
    auto it = entries_.find(std::string(key));
    bool same = it != entries_.end() && value && it->second == *value;
    if (!same)
      reading.changes.push_back(
          {std::string(key), value ? std::optional(std::string(*value)) : std::nullopt, 0});
  }
  std::sort(reading.changes.begin(), reading.changes.end(),
            [](const Change& a, const Change& b) { return a.key < b.key; });
  // Nothing can fail from here on.
  if (kept_count != lines_.size()) {
    std::erase_if(lines_, [&](const auto& line) { return seen.count(line.first) == 0; });
  }
  for (const Change& change : reading.changes) {
    if (change.value) entries_[change.key] = *change.value;
    if (!change.value) entries_.erase(change.key);
  }
  for (Line& line : fresh) lines_.emplace(std::string(line.text), std::move(line.key));
  serial_ = reading.serial;
  return reading;
}

std::vector<Change> Origin::Against(const Store& store) const {
  std::vector<Change> changes;
  store.ForEach([&](const std::string& key, const std::string&) {
    if (entries_.count(key) == 0) changes.push_back({key, std::nullopt, 0});
  });
  for (const auto& [key, value] : entries_) {
    const std::string* held = store.Find(key);
    if (held == nullptr || *held != value) changes.push_back({key, value, 0});
  }
  std::sort(changes.begin(), changes.end(), [](const Change& a, const Change& b) { return a.key < b.key; });
  return changes;
}

}  // namespace dappletiller::feed
