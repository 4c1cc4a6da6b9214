#include "config_feed/page_json.hpp"

#include <json/json.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

namespace dappletiller::feed {
namespace {

constexpr std::string_view kPath = "/feed?";
constexpr std::int64_t kLongestWait = 60'000;

template <typename Number>
bool ReadNumber(std::string_view text, Number* to) {
  auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), *to);
  return failed == std::errc() && end == text.data() + text.size();
}

// A name in a query: nothing in it that would need decoding.
bool Plain(std::string_view text) {
  return !text.empty() && text.size() <= kLongestWord && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < 0x7f && c != '&' && c != '=' && c != '%' && c != ',' && c != '#' && c != '?';
  });
}

std::optional<std::uint64_t> Unsigned(const Json::Value& value) {
  std::uint64_t number = 0;
  if (value.isUInt64()) return value.asUInt64();
  if (value.isString() && ReadNumber(value.asString(), &number)) return number;
  return std::nullopt;
}

}  // namespace

std::string WriteQuestion(const Asked& asked) {
  const Identity& held = asked.question.held;
  std::string target(kPath);
  target += "self=" + asked.self + "&serial=" + std::to_string(held.serial) +
            "&epoch=" + std::to_string(held.epoch) + "&after=" + std::to_string(held.version) +
            "&wait_ms=" + std::to_string(asked.wait_ms);
  if (asked.question.began) target += "&began=" + std::to_string(*asked.question.began);
  if (asked.question.scope.all) return target + "&all=1";
  target += "&services=";
  bool first = true;
  for (const std::string& service : asked.question.scope.services) {
    if (!std::exchange(first, false)) target += ",";
    target += service;
  }
  return target;
}

std::optional<Asked> ReadQuestion(std::string_view target) {
  if (target.substr(0, kPath.size()) != kPath) return std::nullopt;
  target.remove_prefix(kPath.size());
  Asked asked;
  Identity& held = asked.question.held;
  std::set<std::string_view> seen;
  while (!target.empty()) {
    std::string_view pair = target.substr(0, target.find('&'));
    target.remove_prefix(std::min(target.size(), pair.size() + 1));
    std::size_t split = pair.find('=');
    if (split == std::string_view::npos || !seen.insert(pair.substr(0, split)).second) return std::nullopt;
    std::string_view name = pair.substr(0, split), value = pair.substr(split + 1);
    bool good = true;
    if (name == "self") {
      asked.self = value;
      good = Plain(value);
    } else if (name == "serial") {
      good = ReadNumber(value, &held.serial);
    } else if (name == "epoch") {
      good = ReadNumber(value, &held.epoch);
    } else if (name == "after") {
      good = ReadNumber(value, &held.version);
    } else if (name == "wait_ms") {
      good = ReadNumber(value, &asked.wait_ms) && asked.wait_ms >= 0 && asked.wait_ms <= kLongestWait;
    } else if (name == "began") {
      good = ReadNumber(value, &asked.question.began.emplace());
    } else if (name == "all") {
      asked.question.scope.all = good = value == "1";
    } else if (name == "services") {
      while (good && !value.empty()) {
        std::string_view service = value.substr(0, value.find(','));
        value.remove_prefix(std::min(value.size(), service.size() + 1));
        good = Plain(service) && asked.question.scope.services.size() < kMostServices;
        asked.question.scope.services.emplace(service);
      }
    }
    if (!good) return std::nullopt;
  }
  for (std::string_view name : {"self", "serial", "epoch", "after"}) {
    if (seen.count(name) == 0) return std::nullopt;
  }
  if (seen.count("all") + seen.count("services") != 1) return std::nullopt;
  return asked;
}

std::string WritePage(const Page& page) {
  Json::Value root(Json::objectValue);
  root["serial"] = Json::UInt64(page.head.serial);
  root["epoch"] = std::to_string(page.head.epoch);
  root["version"] = Json::UInt64(page.head.version);
  root["to"] = Json::UInt64(page.to);
  root["after"] = Json::UInt64(page.after);
  root["whole"] = page.whole;
  root["ancestors"] = Json::Value(Json::arrayValue);
  for (const Ancestor& a : page.ancestors) {
    Json::Value pair(Json::arrayValue);
    pair.append(std::to_string(a.epoch));
    pair.append(Json::UInt64(a.version));
    root["ancestors"].append(std::move(pair));
  }
  root["changes"] = Json::Value(Json::arrayValue);
  for (const Change& change : page.changes) {
    Json::Value one(Json::arrayValue);
    one.append(Json::UInt64(change.version));
    one.append(change.key);
    if (change.value) one.append(*change.value);
    root["changes"].append(std::move(one));
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, root);
}

std::optional<Page> ReadPage(std::string_view text) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = 8;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &root, &errors) || !root.isObject())
      return std::nullopt;
  } catch (const Json::Exception&) {  // the reader's own limits
    return std::nullopt;
  }
  Page page;
  auto number = [&root](const char* name, std::uint64_t* to) {
    auto value = Unsigned(root[name]);
    if (value) *to = *value;
    return value.has_value();
  };
  if (!number("serial", &page.head.serial) || !number("epoch", &page.head.epoch) ||
      !number("version", &page.head.version) || !number("to", &page.to) || !number("after", &page.after) ||
      !root["whole"].isBool() || !root["ancestors"].isArray() || !root["changes"].isArray()) {
    return std::nullopt;
  }
  page.whole = root["whole"].asBool();
  for (const Json::Value& pair : root["ancestors"]) {
    if (!pair.isArray() || pair.size() != 2 || page.ancestors.size() == kMostAncestors) return std::nullopt;
    auto epoch = Unsigned(pair[0]), version = Unsigned(pair[1]);
    if (!epoch || !version) return std::nullopt;
    page.ancestors.push_back({*epoch, *version});
  }
  for (const Json::Value& one : root["changes"]) {
    if (!one.isArray() || one.size() < 2 || one.size() > 3 || !one[1].isString()) return std::nullopt;
    auto version = Unsigned(one[0]);
    Change change{one[1].asString(), std::nullopt, version.value_or(0)};
    if (!version || !ReadKey(change.key)) return std::nullopt;
    if (one.size() == 3) {
      if (!one[2].isString()) return std::nullopt;
      change.value = one[2].asString();
      if (change.value->size() > kLongestValue) return std::nullopt;
    }
    page.changes.push_back(std::move(change));
  }
  return page;
}

}  // namespace dappletiller::feed
