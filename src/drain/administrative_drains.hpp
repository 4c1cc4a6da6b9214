// Servers that operators have taken out of service for this proxy (drain) or put back (undrain).
//
// A drained server counts as draining, regardless of discovery, until it is undrained. Then it counts as
// started at that moment, so it goes through slow start. The state is passed to a successor process
// (drain_state_file.hpp).
//
// Pure: no socket, file or clock; nothing throws. Not thread-safe.
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
  // Restores the state of a predecessor: servers that are drained, and when others were undrained.
  AdministrativeDrains(std::set<std::string> drained, std::map<std::string, TimePoint> undrained_at)
      : drained_(std::move(drained)), undrained_at_(std::move(undrained_at)) {}

  // Both are idempotent and return whether anything changed.
  bool Drain(const std::string& uid);
  bool Undrain(const std::string& uid, TimePoint now);

  bool IsDrained(const std::string& uid) const { return drained_.count(uid) != 0; }
  // The effective start time of a server that started at `listed` according to discovery (epoch: long ago).
  TimePoint EffectiveStart(const std::string& uid, TimePoint listed) const;

  // The servers that are not in the same state in `other`.
  std::set<std::string> DifferencesTo(const AdministrativeDrains& other) const;

  const std::set<std::string>& drained() const { return drained_; }
  const std::map<std::string, TimePoint>& undrained_at() const { return undrained_at_; }

 private:
  std::set<std::string> drained_;
  std::map<std::string, TimePoint> undrained_at_;
};

}  // namespace dappletiller::drain

#endif  // DAPPLETILLER_DRAIN_ADMINISTRATIVE_DRAINS_HPP_
