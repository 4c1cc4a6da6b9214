#include "balancer/settings_change.hpp"

#include <utility>

namespace dappletiller::balancer {

bool TakeOver(const Settings& changed, Settings* in_use) {
  if (changed.proxies < 1 || changed.max_attempts < 1) return false;
  Settings taken = changed;
  taken.classes.clear();
  taken.tenants.clear();
  taken.seed = in_use->seed;
  taken.zone = in_use->zone;
  taken.zones = in_use->zones;
  taken.endpoints_on_request = in_use->endpoints_on_request;
  taken.clock_step = in_use->clock_step;
  *in_use = std::move(taken);
  return true;
}

}  // namespace dappletiller::balancer
