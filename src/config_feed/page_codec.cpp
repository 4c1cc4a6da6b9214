#include "config_feed/page_codec.hpp"

#include <json/json.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

#include "config_feed/json_text.hpp"

namespace dappletiller::config_feed {
namespace {

constexpr std::string_view kPath = "/feed?";
constexpr std::int64_t kMaxWaitMs = 60'000;
constexpr int kMaxJsonDepth = 8;

template <typename Number>
bool ParseNumber(std::string_view text, Number* number) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *number);
  return error == std::errc() && stop == end;
}

// Whether a name needs no escaping in a query.
bool IsPlainName(std::string_view text) {
  static constexpr std::string_view kReserved = "&=%,#?";
  return !text.empty() && text.size() <= kMaxKeyPartSize && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < 0x7f && kReserved.find(c) == std::string_view::npos;
  });
}

// Removes and returns the text before `separator`.
std::string_view TakeUntil(char separator, std::string_view* text) {
  const std::string_view taken = text->substr(0, text->find(separator));
  text->remove_prefix(std::min(text->size(), taken.size() + 1));
  return taken;
}

bool ParseServices(std::string_view list, ServiceSet* services) {
  while (!list.empty()) {
    const std::string_view service = TakeUntil(',', &list);
    if (!IsPlainName(service) || services->size() >= kMaxServices) return false;
    services->emplace(service);
  }
  return true;
}

// One parameter of a request. Unknown ones are ignored.
bool ParseParameter(std::string_view name, std::string_view value, FeedRequest* request) {
  PageRequest& page = request->page;
  if (name == "self") {
    request->follower = value;
    return IsPlainName(value);
  }
  if (name == "serial") return ParseNumber(value, &page.position.serial);
  if (name == "epoch") return ParseNumber(value, &page.position.epoch);
  if (name == "after") return ParseNumber(value, &page.position.version);
  if (name == "wait_ms") {
    return ParseNumber(value, &request->wait_ms) && request->wait_ms >= 0 && request->wait_ms <= kMaxWaitMs;
  }
  if (name == "began") return ParseNumber(value, &page.snapshot_began_at.emplace());
  if (name == "all") {
    page.scope.all = value == "1";
    return page.scope.all;
  }
  if (name == "services") return ParseServices(value, &page.scope.services);
  return true;
}

std::optional<std::uint64_t> ReadUnsigned(const Json::Value& value) {
  if (value.isUInt64()) return value.asUInt64();
  std::uint64_t number = 0;
  if (value.isString() && ParseNumber(value.asString(), &number)) return number;
  return std::nullopt;
}

bool ReadMember(const Json::Value& object, const char* name, std::uint64_t* number) {
  const auto value = ReadUnsigned(object[name]);
  if (value) *number = *value;
  return value.has_value();
}

std::optional<Ancestor> ReadAncestor(const Json::Value& json) {
  if (!json.isArray() || json.size() != 2) return std::nullopt;
  const auto epoch = ReadUnsigned(json[0]);
  const auto version = ReadUnsigned(json[1]);
  if (!epoch || !version) return std::nullopt;
  return Ancestor{*epoch, *version};
}

// [version, key, value], or [version, key] for a removal.
std::optional<Change> ReadChange(const Json::Value& json) {
  if (!json.isArray() || json.size() < 2 || json.size() > 3 || !json[1].isString()) return std::nullopt;
  const auto version = ReadUnsigned(json[0]);
  if (!version) return std::nullopt;
  Change change{json[1].asString(), std::nullopt, *version};
  if (!ParseKey(change.key)) return std::nullopt;
  if (json.size() == 3) {
    if (!json[2].isString()) return std::nullopt;
    change.value = json[2].asString();
    if (change.value->size() > kMaxValueSize) return std::nullopt;
  }
  return change;
}

bool ReadHead(const Json::Value& root, Page* page) {
  return ReadMember(root, "serial", &page->head.serial) && ReadMember(root, "epoch", &page->head.epoch) &&
         ReadMember(root, "version", &page->head.version) && ReadMember(root, "to", &page->up_to) &&
         ReadMember(root, "after", &page->after);
}

Json::Value WriteChange(const Change& change) {
  Json::Value json(Json::arrayValue);
  json.append(Json::UInt64(change.version));
  json.append(change.key);
  if (change.value) json.append(*change.value);
  return json;
}

}  // namespace

std::string WriteRequest(const FeedRequest& request) {
  const StorePosition& position = request.page.position;
  std::string target(kPath);
  target += "self=" + request.follower + "&serial=" + std::to_string(position.serial) +
            "&epoch=" + std::to_string(position.epoch) + "&after=" + std::to_string(position.version) +
            "&wait_ms=" + std::to_string(request.wait_ms);
  const auto began_at = request.page.snapshot_began_at;
  if (began_at) target += "&began=" + std::to_string(*began_at);
  if (request.page.scope.all) return target + "&all=1";
  target += "&services=";
  bool first = true;
  for (const std::string& service : request.page.scope.services) {
    if (!std::exchange(first, false)) target += ",";
    target += service;
  }
  return target;
}

std::optional<FeedRequest> ParseRequest(std::string_view target) {
  if (target.substr(0, kPath.size()) != kPath) return std::nullopt;
  target.remove_prefix(kPath.size());
  FeedRequest request;
  std::set<std::string_view> seen;
  while (!target.empty()) {
    const std::string_view parameter = TakeUntil('&', &target);
    const std::size_t equals = parameter.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    const std::string_view name = parameter.substr(0, equals);
    const bool first_of_name = seen.insert(name).second;
    if (!first_of_name || !ParseParameter(name, parameter.substr(equals + 1), &request)) return std::nullopt;
  }
  for (std::string_view required : {"self", "serial", "epoch", "after"}) {
    if (seen.count(required) == 0) return std::nullopt;
  }
  if (seen.count("all") + seen.count("services") != 1) return std::nullopt;
  return request;
}

std::string WritePage(const Page& page) {
  Json::Value root(Json::objectValue);
  root["serial"] = Json::UInt64(page.head.serial);
  root["epoch"] = std::to_string(page.head.epoch);
  root["version"] = Json::UInt64(page.head.version);
  root["to"] = Json::UInt64(page.up_to);
  root["after"] = Json::UInt64(page.after);
  root["whole"] = page.is_snapshot;
  root["ancestors"] = Json::Value(Json::arrayValue);
  for (const Ancestor& ancestor : page.ancestors) {
    Json::Value json(Json::arrayValue);
    json.append(std::to_string(ancestor.epoch));
    json.append(Json::UInt64(ancestor.version));
    root["ancestors"].append(std::move(json));
  }
  root["changes"] = Json::Value(Json::arrayValue);
  for (const Change& change : page.changes) root["changes"].append(WriteChange(change));
  return WriteCompactJson(root);
}

std::optional<Page> ParsePage(std::string_view text) {
  const auto root = ParseStrictJson(text, kMaxJsonDepth);
  if (!root || !root->isObject()) return std::nullopt;
  Page page;
  const Json::Value& is_snapshot = (*root)["whole"];
  const Json::Value& ancestors = (*root)["ancestors"];
  const Json::Value& changes = (*root)["changes"];
  if (!ReadHead(*root, &page) || !is_snapshot.isBool() || !ancestors.isArray() || !changes.isArray()) {
    return std::nullopt;
  }
  page.is_snapshot = is_snapshot.asBool();
  if (ancestors.size() > kMaxAncestors) return std::nullopt;
  for (const Json::Value& json : ancestors) {
    const auto ancestor = ReadAncestor(json);
    if (!ancestor) return std::nullopt;
    page.ancestors.push_back(*ancestor);
  }
  for (const Json::Value& json : changes) {
    auto change = ReadChange(json);
    if (!change) return std::nullopt;
    page.changes.push_back(std::move(*change));
  }
  return page;
}

}  // namespace dappletiller::config_feed
