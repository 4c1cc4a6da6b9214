// The granter's side of quota leases: leases out its part of a quota that all proxies share (what a server
// that is warming up bears, a tenant's rate), evenly among the holders that ask.
//
// What always holds: the units that holders may be using, by any of their clocks, sum to at most
// kUnitsPerGranter. docs/design/quota_lease.md has the proof. In short:
//  - A lease ends for the granter a drift margin later than for its holder, so the holder always stops first
//  and no
//    message has to arrive for that (Gray and Cheriton, SOSP 1989).
//  - A smaller lease replaces a larger one here only once the holder has acknowledged it; until then the
//  larger one
//    counts.
//  - A granter that has just started grants nothing until all that an earlier start may have granted is over.
//
// Pure: time comes in. Two clocks are taken to run at the same pace to within kMaxClockDrift; they are never
// compared. Not thread-safe. A request that is late, repeated or of another configuration gets no response.
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

constexpr double kMaxClockDrift = 0.02;  // between two clocks, both ways together

class LeaseGranter {
 public:
  static constexpr std::size_t kMaxHolders = 8192;  // further ones get no response

  // `granters`: how many there are in all. `started`: when this process began.
  LeaseGranter(std::uint32_t granters, Duration lease_duration, TimePoint started);

  // No response to a release, nor to a request that is late, repeated or counts other granters.
  std::optional<LeaseResponse> OnRequest(TimePoint now, const std::string& holder,
                                         const LeaseRequest& request);
  // Units that any holder may be using.
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
    std::map<std::uint64_t, Lease> leases;  // by the request's number; the holder acts on one of them
  };
  // A name may have several starts here at a time: an earlier one's lease runs until it expires.
  using HolderKey = std::pair<std::string, std::uint64_t>;

  // The most that this holder may be using.
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
