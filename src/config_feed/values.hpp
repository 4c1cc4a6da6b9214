// Parses the values of known kinds. Used where values are published and where they take effect, so that both
// apply the same checks.
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
  double share = 0;             // fraction of the service, 0 to 1
  double quota_per_second = 0;  // over all proxies
};

// Effect of running a request of a class more than once.
enum class ClassEffect { kFree, kGuarded, kSingleShot };

struct ClassValue {
  Micros max_client_wait = 0;
  ClassEffect effect = ClassEffect::kFree;
};

// An invalid value; a phrase with the key in it and the remedy.
struct ValueError {
  std::string message;
};

Result<TenantValue, ValueError> ParseTenant(std::string_view json);
Result<ClassValue, ValueError> ParseClass(std::string_view json);

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_VALUES_HPP_
