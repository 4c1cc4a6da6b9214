// The granter's side of quota leases: grants leases on its part of a quota that all proxies share (the load
// that a warming-up server can take, a tenant's rate), evenly among the holders that request one.
//
// Invariant: the units that holders may be using, by any of their clocks, sum to at most kUnitsPerGranter.
// docs/design/quota_lease.md has the proof. In short:
//  - A lease expires at the granter a drift margin later than at its holder, so the holder always stops first
//    and no message is needed for that (Gray and Cheriton, SOSP 1989).
//  - A smaller lease replaces a larger one only once the holder has acknowledged it; until then the larger
//  one
//    counts.
//  - A granter that has just started grants nothing until all leases that an earlier run may have granted
//  have
//    expired.
//
// Pure: time is passed in. Clocks are assumed to run at the same rate to within kMaxClockDrift; their values
// are never compared. Not thread-safe. Requests that are late, repeated or of another configuration get no
// response.
#ifndef DAPPLETILLER_QUOTA_LEASE_LEASE_GRANTER_HPP_
#define DAPPLETILLER_QUOTA_LEASE_LEASE_GRANTER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/time.hpp"
#include "quota_lease/messages.hpp"

namespace dappletiller::quota_lease {

constexpr double kMaxClockDrift = 0.02;  // between two clocks, as a fraction of the elapsed time

class LeaseGranter {
 public:
  static constexpr std::size_t kMaxHolders = 8192;  // more holders get no response

  // `granters`: total number of granters. `started`: when this process started.
  LeaseGranter(std::uint32_t granters, Duration lease_duration, TimePoint started);

  // Returns no response to a release, or to a request that is late, repeated or has another number of
  // granters.
  std::optional<LeaseResponse> OnRequest(TimePoint now, const std::string& holder,
                                         const LeaseRequest& request);
  // Units that holders may be using.
  std::uint32_t GrantedUnits(TimePoint now);
  std::size_t holders() const { return holders_.size(); }

 private:
  struct Lease {
    std::uint32_t units = 0;
    TimePoint expires_at;
  };
  struct Holder {
    std::uint64_t last_request = 0;
    TimePoint requested_at;
    std::map<std::uint64_t, Lease> leases;  // by request number; the holder uses one of them
  };
  // Name and boot number: after a restart, the lease of the earlier run remains until it expires.
  using HolderKey = std::pair<std::string, std::uint64_t>;

  // The largest number of units that this holder may be using.
  static std::uint32_t UnitsOf(const Holder& holder);
  void Expire(TimePoint now);
  std::uint32_t Grant(TimePoint now, std::uint64_t request_number, Holder* holder);

  std::uint32_t granters_;
  Duration lease_with_margin_;
  TimePoint grants_from_;
  std::map<HolderKey, Holder> holders_;
};

}  // namespace dappletiller::quota_lease

#endif  // DAPPLETILLER_QUOTA_LEASE_LEASE_GRANTER_HPP_
