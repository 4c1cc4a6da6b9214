// JSON as the configuration feed reads and writes it: strict, bounded in depth, compact, without exceptions.
#ifndef DAPPLETILLER_CONFIG_FEED_JSON_TEXT_HPP_
#define DAPPLETILLER_CONFIG_FEED_JSON_TEXT_HPP_

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace dappletiller::config_feed {

constexpr int kDefaultJsonDepth = 1000;  // jsoncpp's own

// Nothing if the text is not JSON by the letter, has a key twice, or is nested deeper than `max_depth`.
std::optional<Json::Value> ParseStrictJson(std::string_view text, int max_depth = kDefaultJsonDepth);
// On one line, without blanks.
std::string WriteCompactJson(const Json::Value& value);

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_JSON_TEXT_HPP_
