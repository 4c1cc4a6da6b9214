#include "drain/held_file.hpp"

#include <json/json.h>

#include <memory>

namespace dappletiller::state {
namespace {

constexpr const char* kFormat = "dappletiller-held";
constexpr int kVersion = 1;

}  // namespace

std::string HeldToJson(const maintenance::Held& held) {
  Json::Value root(Json::objectValue);
  root["format"] = kFormat;
  root["version"] = kVersion;
  root["held"] = Json::Value(Json::arrayValue);
  for (const std::string& uid : held.detached()) root["held"].append(uid);
  root["back"] = Json::Value(Json::objectValue);
  for (const auto& [uid, at] : held.returned()) root["back"][uid] = Json::Int64(at);
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, root);
}

std::optional<maintenance::Held> HeldFromJson(std::string_view text) {
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  if (!reader->parse(text.data(), text.data() + text.size(), &root, &errors) || !root.isObject()) {
    return std::nullopt;
  }
  const Json::Value& format = root["format"];
  const Json::Value& version = root["version"];
  const Json::Value& held = root["held"];
  const Json::Value& back = root["back"];
  if (!format.isString() || format.asString() != kFormat || !version.isInt() || version.asInt() != kVersion ||
      !held.isArray() || !back.isObject()) {
    return std::nullopt;
  }
  std::set<std::string> detached;
  for (const Json::Value& uid : held) {
    if (!uid.isString()) return std::nullopt;
    detached.insert(uid.asString());
  }
  std::map<std::string, maintenance::Held::Micros> returned;
  for (const std::string& uid : back.getMemberNames()) {
    if (!back[uid].isInt64()) return std::nullopt;
    returned[uid] = back[uid].asInt64();
  }
  return maintenance::Held(std::move(detached), std::move(returned));
}

}  // namespace dappletiller::state
