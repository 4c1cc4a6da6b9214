// What the program makes of the values of kinds that it knows. Used where values are published (the origin
// checks them) and where they take effect, so that both agree.
#ifndef DAPPLETILLER_CONFIG_FEED_VALUES_HPP_
#define DAPPLETILLER_CONFIG_FEED_VALUES_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.hpp"
#include "base/time.hpp"

namespace dappletiller::config_feed {

constexpr std::string_view kTenantKind = "tenant";
constexpr std::string_view kClassKind = "class";

struct TenantValue {
  double share = 0;             // of the service, 0 to 1
  double quota_per_second = 0;  // requests within its share, over all proxies
};

// What a request of a class may do if it runs more than once.
enum class ClassEffect { kFree, kGuarded, kSingleShot };

struct ClassValue {
  Micros max_client_wait = 0;
  ClassEffect effect = ClassEffect::kFree;
};

// What is wrong with a value, in one phrase that names the key in it and the remedy.
struct ValueError {
  std::string message;
};

Result<TenantValue, ValueError> ParseTenant(std::string_view json);
Result<ClassValue, ValueError> ParseClass(std::string_view json);

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_VALUES_HPP_
