#include "drain/drain_state_file.hpp"

#include <json/json.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace dappletiller::drain {
namespace {

constexpr const char* kFormat = "dappletiller-held";
constexpr int kVersion = 1;
constexpr const char* kMonotonicTimes = "back_monotonic";

bool HasSupportedFormat(const Json::Value& root) {
  const Json::Value& format = root["format"];
  const Json::Value& version = root["version"];
  return format.isString() && format.asString() == kFormat && version.isInt() && version.asInt() == kVersion;
}

std::optional<std::set<std::string>> ReadNames(const Json::Value& names) {
  if (!names.isArray()) return std::nullopt;
  std::set<std::string> read;
  for (const Json::Value& name : names) {
    if (!name.isString()) return std::nullopt;
    read.insert(name.asString());
  }
  return read;
}

std::optional<std::map<std::string, TimePoint>> ReadTimes(const Json::Value& times) {
  if (!times.isObject()) return std::nullopt;
  std::map<std::string, TimePoint> read;
  for (const std::string& name : times.getMemberNames()) {
    if (!times[name].isInt64()) return std::nullopt;
    read[name] = ToTimePoint(times[name].asInt64());
  }
  return read;
}

// A time in the future would be of another clock: the server then starts slowly from now on.
void ConvertTimes(const std::map<std::string, TimePoint>& monotonic, const MachineClock& clock,
                  std::map<std::string, TimePoint>* times) {
  for (auto& [uid, at] : *times) {
    const auto found = monotonic.find(uid);
    if (found != monotonic.end()) at = found->second + clock.ahead_of_monotonic;
    at = std::min(at, clock.now);
  }
}

}  // namespace

std::string SerializeDrains(const AdministrativeDrains& drains, std::optional<MachineClock> clock) {
  Json::Value root(Json::objectValue);
  root["format"] = kFormat;
  root["version"] = kVersion;
  root["held"] = Json::Value(Json::arrayValue);
  for (const std::string& uid : drains.drained()) root["held"].append(uid);
  root["back"] = Json::Value(Json::objectValue);
  for (const auto& [uid, at] : drains.undrained_at()) {
    root["back"][uid] = Json::Int64(ToMicros(at));
    if (clock) root[kMonotonicTimes][uid] = Json::Int64(ToMicros(at - clock->ahead_of_monotonic));
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, root);
}

std::optional<AdministrativeDrains> ParseDrains(std::string_view json, std::optional<MachineClock> clock) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  const bool parsed = reader->parse(json.data(), json.data() + json.size(), &root, &errors);
  if (!parsed || !root.isObject() || !HasSupportedFormat(root)) return std::nullopt;
  auto drained = ReadNames(root["held"]);
  auto undrained_at = ReadTimes(root["back"]);
  if (!drained || !undrained_at) return std::nullopt;
  if (clock) {
    const auto monotonic = ReadTimes(root.get(kMonotonicTimes, Json::Value(Json::objectValue)));
    if (!monotonic) return std::nullopt;
    ConvertTimes(*monotonic, *clock, &*undrained_at);
  }
  return AdministrativeDrains(std::move(*drained), std::move(*undrained_at));
}

}  // namespace dappletiller::drain
