#include "drain/administrative_drains.hpp"

#include <algorithm>
#include <iterator>

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

std::set<std::string> AdministrativeDrains::DifferencesTo(const AdministrativeDrains& other) const {
  std::set<std::string> differences;
  std::set_symmetric_difference(drained_.begin(), drained_.end(), other.drained_.begin(),
                                other.drained_.end(), std::inserter(differences, differences.end()));
  auto add_changed = [&differences](const auto& times, const auto& other_times) {
    for (const auto& [uid, at] : times) {
      const auto found = other_times.find(uid);
      if (found == other_times.end() || found->second != at) differences.insert(uid);
    }
  };
  add_changed(undrained_at_, other.undrained_at_);
  add_changed(other.undrained_at_, undrained_at_);
  return differences;
}

TimePoint AdministrativeDrains::EffectiveStart(const std::string& uid, TimePoint listed) const {
  auto it = undrained_at_.find(uid);
  return it == undrained_at_.end() ? listed : std::max(listed, it->second);
}

}  // namespace dappletiller::drain
