#include "config_feed/values.hpp"

#include <json/json.h>

#include <cmath>
#include <memory>

namespace dappletiller::feed {
namespace {

constexpr double kMostQuota = 1e9;
constexpr double kMostGiveUp = 3.6e9;  // an hour, in microseconds

std::optional<Json::Value> Object(std::string_view json, std::string* why) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  try {
    if (reader->parse(json.data(), json.data() + json.size(), &root, &errors) && root.isObject()) return root;
  } catch (const Json::Exception&) {  // the reader's own limits
  }
  *why = "value is no JSON object";
  return std::nullopt;
}

bool Number(const Json::Value& object, const char* key, double least, double most, double* to,
            std::string* why) {
  const Json::Value& value = object[key];
  if (value.isNumeric() && value.asDouble() >= least && value.asDouble() <= most) {
    *to = value.asDouble();
    return true;
  }
  char range[80];
  std::snprintf(range, sizeof range, " is missing or out of range; give a number from %g to %g", least, most);
  *why = std::string("value.") + key + range;
  return false;
}

}  // namespace

std::optional<TenantValue> ReadTenant(std::string_view json, std::string* why) {
  TenantValue tenant;
  auto object = Object(json, why);
  if (!object || !Number(*object, "portion", 0, 1, &tenant.portion, why) ||
      !Number(*object, "quotaRps", 0, kMostQuota, &tenant.quota_per_s, why)) {
    return std::nullopt;
  }
  return tenant;
}

std::optional<ClassValue> ReadClass(std::string_view json, std::string* why) {
  ClassValue value;
  double give_up = 0;
  auto object = Object(json, why);
  if (!object || !Number(*object, "giveUp", 1, kMostGiveUp, &give_up, why)) return std::nullopt;
  value.give_up = static_cast<std::int64_t>(give_up);
  std::string effect = (*object)["effect"].isString() ? (*object)["effect"].asString() : "";
  if (effect == "guarded") {
    value.effect = ClassEffect::kGuarded;
  } else if (effect == "single_shot") {
    value.effect = ClassEffect::kSingleShot;
  } else if (effect != "free") {
    *why = "value.effect is unknown; give one of free, guarded, single_shot";
    return std::nullopt;
  }
  return value;
}

}  // namespace dappletiller::feed
