#include "config_feed/json_text.hpp"

#include <memory>

namespace dappletiller::config_feed {

std::optional<Json::Value> ParseStrictJson(std::string_view text, int max_depth) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = max_depth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &root, &errors)) return root;
  } catch (const Json::Exception&) {  // the depth
  }
  return std::nullopt;
}

std::string WriteCompactJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace dappletiller::config_feed
