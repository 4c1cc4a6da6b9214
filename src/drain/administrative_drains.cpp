#include "drain/administrative_drains.hpp"

#include <algorithm>

namespace dappletiller::drain {

bool AdministrativeDrains::Drain(const std::string& uid) {
  undrained_at_.erase(uid);
  return drained_.insert(uid).second;
}

bool AdministrativeDrains::Undrain(const std::string& uid, TimePoint now) {
  if (drained_.erase(uid) == 0) return false;
  undrained_at_[uid] = now;
  return true;
}

TimePoint AdministrativeDrains::EffectiveStart(const std::string& uid, TimePoint listed) const {
  auto it = undrained_at_.find(uid);
  return it == undrained_at_.end() ? listed : std::max(listed, it->second);
}

}  // namespace dappletiller::drain
