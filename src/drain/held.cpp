#include "drain/held.hpp"

#include <algorithm>

namespace dappletiller::maintenance {
bool Held::Detach(const std::string& uid) {
  back_.erase(uid);
  return held_.insert(uid).second;
}

bool Held::Attach(const std::string& uid, Micros now) {
  if (held_.erase(uid) == 0) return false;
  back_[uid] = now;
  return true;
}

Held::Micros Held::Started(const std::string& uid, Micros listed) const {
  auto it = back_.find(uid);
  return it == back_.end() ? listed : std::max(listed, it->second);
}

}  // namespace dappletiller::maintenance
