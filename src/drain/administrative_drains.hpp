// Servers that the operators have taken out of service for this proxy (drain) and put back (undrain).
//
// A drained server counts as draining whatever discovery says, until it is undrained; from then it counts as
// started at that moment, so that it goes through slow start. The state travels to a successor process
// (drain_state_file.hpp).
//
// Pure: no socket, file or clock; nothing throws. Owns nothing but names. Not thread-safe.
#ifndef DAPPLETILLER_DRAIN_ADMINISTRATIVE_DRAINS_HPP_
#define DAPPLETILLER_DRAIN_ADMINISTRATIVE_DRAINS_HPP_

#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/time.hpp"

namespace dappletiller::drain {

class AdministrativeDrains {
 public:
  AdministrativeDrains() = default;
  // As a predecessor left it: servers that are drained, and when others were undrained.
  AdministrativeDrains(std::set<std::string> drained, std::map<std::string, TimePoint> undrained_at)
      : drained_(std::move(drained)), undrained_at_(std::move(undrained_at)) {}

  // Both are idempotent. They return whether anything has changed.
  bool Drain(const std::string& uid);
  bool Undrain(const std::string& uid, TimePoint now);

  bool IsDrained(const std::string& uid) const { return drained_.count(uid) != 0; }
  // When a server counts as started that discovery says started at `listed` (the epoch: long ago).
  TimePoint EffectiveStart(const std::string& uid, TimePoint listed) const;

  const std::set<std::string>& drained() const { return drained_; }
  const std::map<std::string, TimePoint>& undrained_at() const { return undrained_at_; }

 private:
  std::set<std::string> drained_;
  std::map<std::string, TimePoint> undrained_at_;
};

}  // namespace dappletiller::drain

#endif  // DAPPLETILLER_DRAIN_ADMINISTRATIVE_DRAINS_HPP_
