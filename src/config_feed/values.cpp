#include "config_feed/values.hpp"

#include <array>
#include <cstdio>
#include <optional>

#include "config_feed/json_text.hpp"

namespace dappletiller::config_feed {
namespace {

constexpr double kMaxQuota = 1e9;
constexpr double kMaxClientWait = 3.6e9;  // an hour, in microseconds
constexpr const char* kNoObject = "value is not a JSON object";

std::optional<Json::Value> ParseObject(std::string_view json) {
  auto value = ParseStrictJson(json);
  if (!value || !value->isObject()) return std::nullopt;
  return value;
}

Result<double, ValueError> ReadNumber(const Json::Value& object, const char* key, double min, double max) {
  const Json::Value& value = object[key];
  if (value.isNumeric() && value.asDouble() >= min && value.asDouble() <= max) return value.asDouble();
  std::array<char, 80> range;
  std::snprintf(range.data(), range.size(), " is missing or out of range; give a number from %g to %g", min,
                max);
  return Failure{ValueError{std::string("value.") + key + range.data()}};
}

std::optional<ClassEffect> ParseEffect(const Json::Value& effect) {
  if (!effect.isString()) return std::nullopt;
  const std::string word = effect.asString();
  if (word == "free") return ClassEffect::kFree;
  if (word == "guarded") return ClassEffect::kGuarded;
  if (word == "single_shot") return ClassEffect::kSingleShot;
  return std::nullopt;
}

}  // namespace

Result<TenantValue, ValueError> ParseTenant(std::string_view json) {
  const auto object = ParseObject(json);
  if (!object) return Failure{ValueError{kNoObject}};
  const auto share = ReadNumber(*object, "portion", 0, 1);
  if (!share) return Failure{share.error()};
  const auto quota = ReadNumber(*object, "quotaRps", 0, kMaxQuota);
  if (!quota) return Failure{quota.error()};
  return TenantValue{*share, *quota};
}

Result<ClassValue, ValueError> ParseClass(std::string_view json) {
  const auto object = ParseObject(json);
  if (!object) return Failure{ValueError{kNoObject}};
  const auto max_wait = ReadNumber(*object, "giveUp", 1, kMaxClientWait);
  if (!max_wait) return Failure{max_wait.error()};
  const auto effect = ParseEffect((*object)["effect"]);
  if (!effect) return Failure{ValueError{"value.effect is unknown; give one of free, guarded, single_shot"}};
  return ClassValue{static_cast<Micros>(*max_wait), *effect};
}

}  // namespace dappletiller::config_feed
