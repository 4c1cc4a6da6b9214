// What the program makes of a value of a kind it knows. Used where values are written (the origin checks
// them) and where they come in force, so that both agree.
#ifndef DAPPLETILLER_CONFIG_FEED_VALUES_HPP_
#define DAPPLETILLER_CONFIG_FEED_VALUES_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dappletiller::feed {

constexpr std::string_view kTenant = "tenant";
constexpr std::string_view kClass = "class";

struct TenantValue {
  double portion = 0;      // of the service, 0 to 1
  double quota_per_s = 0;  // requests a second within its share, over all proxies
};
enum class ClassEffect { kFree, kGuarded, kSingleShot };
struct ClassValue {
  std::int64_t give_up = 0;  // microseconds that a client waits at most
  ClassEffect effect = ClassEffect::kFree;
};

// Nothing if the value is not one; `why` then names the key in it and the remedy.
std::optional<TenantValue> ReadTenant(std::string_view json, std::string* why);
std::optional<ClassValue> ReadClass(std::string_view json, std::string* why);

}  // namespace dappletiller::feed

#endif  // DAPPLETILLER_CONFIG_FEED_VALUES_HPP_
