#include "config/platform_config.hpp"

#include <json/json.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <exception>
#include <memory>

#include "simulator_adapter/wire_codec.hpp"

namespace dappletiller {
namespace {

Json::Value ParseJson(std::string_view text) {
  Json::CharReaderBuilder builder;
  builder["collectComments"] = false;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
    errors = errors.substr(0, 200);
    std::replace(errors.begin(), errors.end(), '\n', ' ');
    throw ConfigError("not JSON: " + errors);
  }
  return value;
}

std::string ToPlainText(const Json::Value& value) {
  std::string text;
  if (value.isIntegral() && !value.isBool()) {
    text = value.asString();
  } else if (value.isDouble()) {
    char digits[40];
    auto end = std::to_chars(digits, digits + sizeof digits, value.asDouble()).ptr;
    text.assign(digits, end);
  } else if (!value.isNull()) {
    text = value.asString();
  }
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == ' ' || c == ',' || c == '\n'; }, '_');
  return text;
}

// Converts nested JSON to the path=value lines in which the simulator adapter receives the same settings, so
// that both use the same parser.
void Flatten(const std::string& path, const Json::Value& value, std::string* lines) {
  if (value.isObject()) {
    for (const std::string& name : value.getMemberNames()) {
      Flatten(path.empty() ? name : path + "." + name, value[name], lines);
    }
    return;
  }
  if (!value.isArray()) {
    *lines += path + "=" + ToPlainText(value) + "\n";
    return;
  }
  bool plain = std::none_of(value.begin(), value.end(), [](const Json::Value& v) { return v.isObject(); });
  if (plain) {
    std::string list;
    for (const Json::Value& v : value) {
      if (!list.empty()) list.push_back(',');
      list += ToPlainText(v);
    }
    *lines += path + "=" + list + "\n";
    // An empty list may be a list of objects.
    if (value.empty()) *lines += path + ".count=0\n";
    return;
  }
  *lines += path + ".count=" + std::to_string(value.size()) + "\n";
  for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
    Flatten(path + "." + std::to_string(i), value[i], lines);
  }
}

// Keys that come and go with the values of others.
bool IsOptionalKey(const std::string& key) {
  return key == "settings.classes[].group" || key == "settings.classes[].window" ||
         key.rfind("known.targets[]", 0) == 0;
}

constexpr const char* kElements = "[]";

// Collects the paths of all keys. Those of a list's elements are the ones that all elements have; an empty
// list leaves its path with kElements instead.
void CollectKeys(const std::string& path, const Json::Value& value, std::set<std::string>* keys) {
  if (value.isArray() && value.empty()) keys->insert(path + kElements);
  if (value.isArray() && !value.empty() && value[0].isObject()) {
    for (const std::string& name : value[0].getMemberNames()) {
      const bool in_all = std::all_of(value.begin(), value.end(), [&name](const Json::Value& element) {
        return element.isObject() && element.isMember(name);
      });
      if (in_all) keys->insert(path + kElements + "." + name);
    }
  }
  if (!value.isObject()) return;
  for (const std::string& name : value.getMemberNames()) {
    const std::string key = path.empty() ? name : path + "." + name;
    keys->insert(key);
    CollectKeys(key, value[name], keys);
  }
}

const Json::Value& Member(const Json::Value& object, const char* name) {
  if (!object.isObject() || !object.isMember(name)) throw ConfigError(std::string(name) + " is missing");
  return object[name];
}

std::string Text(const Json::Value& object, const char* name) {
  const Json::Value& value = Member(object, name);
  if (!value.isString()) throw ConfigError(std::string(name) + " is not a string");
  return value.asString();
}

double Number(const Json::Value& object, const char* name) {
  const Json::Value& value = Member(object, name);
  if (!value.isNumeric() || !std::isfinite(value.asDouble()) || value.asDouble() < 0 ||
      value.asDouble() > 1e15) {
    throw ConfigError(std::string(name) + " is not a number in range");
  }
  return value.asDouble();
}

std::vector<std::string> Strings(const Json::Value& object, const char* name) {
  std::vector<std::string> all;
  const Json::Value& list = Member(object, name);
  if (!list.isArray()) throw ConfigError(std::string(name) + " is not a list");
  for (const Json::Value& value : list) {
    if (!value.isString()) throw ConfigError(std::string(name) + " contains an element that is not a string");
    all.push_back(value.asString());
  }
  return all;
}

Endpoint Address(const Json::Value& object, const char* name) {
  auto endpoint = ParseEndpoint(Text(object, name));
  if (!endpoint) throw ConfigError(std::string(name) + " is not an address and port");
  return *endpoint;
}

int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

EndpointEntry ReadEntry(const Json::Value& value, const Names& names) {
  EndpointEntry entry;
  entry.uid = Text(value, "uid");
  std::string state = Text(value, "state");
  if (state == "removed") {
    entry.state = EndpointState::kRemoved;
  } else if (state == "draining") {
    entry.state = EndpointState::kDraining;
  } else if (state != "up") {
    throw ConfigError("unknown state " + state.substr(0, 40));
  }
  if (entry.state != EndpointState::kRemoved || value.isMember("endpoint")) {
    entry.endpoint = Address(value, "endpoint");
  }
  entry.zone = IndexOf(names.zones, Text(value, "az"));
  // All kinds that the settings do not list count as one kind of their own.
  entry.kind = value.isMember("model") ? IndexOf(names.kinds, Text(value, "model")) : -1;
  if (value.isMember("pod_group")) entry.cell = static_cast<int>(Number(value, "pod_group"));
  if (value.isMember("capacity_hint")) entry.concurrency = Number(value, "capacity_hint");
  if (value.isMember("boot_ms")) entry.boot_unix = static_cast<Micros>(Number(value, "boot_ms")) * 1000;
  return entry;
}

EndpointList ReadList(const Json::Value& value, const Names& names) {
  EndpointList list;
  list.version = static_cast<std::uint64_t>(Number(value, "rev"));
  const Json::Value& all = Member(value, "all");
  if (!all.isBool()) throw ConfigError("all is neither true nor false");
  list.kind = all.asBool() ? EndpointList::Kind::kSnapshot : EndpointList::Kind::kDelta;
  const Json::Value& targets = Member(value, "targets");
  if (!targets.isArray()) throw ConfigError("targets is not a list");
  for (const Json::Value& target : targets) list.entries.push_back(ReadEntry(target, names));
  return list;
}

Config ReadConfig(const Json::Value& root) {
  Config config;
  CollectKeys("", root, &config.keys);
  config.name = Text(root, "name");
  config.listen = Address(root, "listen");
  if (root.isMember("console")) config.console = Address(root, "console");
  config.discovery = Address(root, "discovery");
  config.discovery_text = Text(root, "discovery");
  const Json::Value& process_limits = Member(root, "limits");
  config.sockets = static_cast<std::size_t>(Number(process_limits, "sockets"));
  if (config.sockets < 40) throw ConfigError("limits.sockets is too small");
  if (process_limits.isMember("memory_mb")) {
    double megabytes = Number(process_limits, "memory_mb");
    if (!(megabytes >= 1)) throw ConfigError("limits.memory_mb is too small");
    config.memory = static_cast<std::size_t>(megabytes) << 20;
  }
  const Json::Value& settings = Member(root, "settings");
  std::string lines;
  Flatten("", settings, &lines);
  std::string seed = Text(root, "seed");
  std::uint64_t number = 0;
  auto [end, failed] = std::from_chars(seed.data(), seed.data() + seed.size(), number, 16);
  if (failed != std::errc() || end != seed.data() + seed.size()) throw ConfigError("seed is not a number");
  config.settings = balancer::wire::ParseSettings(lines, number);
  config.settings_text = std::move(lines);
  for (const Json::Value& c : Member(settings, "classes")) config.classes.push_back(Text(c, "name"));
  // The list is optional.
  for (const Json::Value& t : settings["tenants"]) config.tenants.push_back(Text(t, "name"));
  config.names.zones = Strings(settings, "zones");
  config.names.kinds = Strings(settings, "kinds");
  const Json::Value& limits = Member(settings, "limits");
  config.dial_timeout = static_cast<Micros>(Number(limits, "dialTimeout"));
  config.idle_timeout = static_cast<Micros>(Number(limits, "connIdle"));
  Number(Member(settings, "invariants"), "graceToAnswer");  // must be there; nothing depends on its value
  config.known = ReadList(Member(root, "known"), config.names);
  config.known.kind = EndpointList::Kind::kCached;
  return config;
}

}  // namespace

Config ParseConfig(std::string_view json) {
  try {
    return ReadConfig(ParseJson(json));
  } catch (const ConfigError&) {
    throw;
  } catch (const std::exception& e) {  // limits of the JSON reader, errors in the settings
    throw ConfigError(e.what());
  }
}

std::optional<std::string> FindMissingKey(const Config& in_use, const Config& loaded) {
  for (const std::string& key : in_use.keys) {
    if (loaded.keys.count(key) != 0 || IsOptionalKey(key)) continue;
    const std::size_t elements = key.find(kElements);
    const bool list_is_empty =
        elements != std::string::npos && loaded.keys.count(key.substr(0, elements) + kElements) != 0;
    const bool was_empty = key.ends_with(kElements);
    if (!list_is_empty && !was_empty) return key;
  }
  return std::nullopt;
}

std::optional<EndpointList> ParseList(std::string_view json, const Names& names) {
  try {
    return ReadList(ParseJson(json), names);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace dappletiller
