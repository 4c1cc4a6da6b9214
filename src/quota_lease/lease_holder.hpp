// The holder's side of quota leases: how much of a shared quota this process may use, and until when.
//
// A lease runs from the time its request was sent, so it expires here before it expires at the granter
// (lease_granter.hpp). Pure: time is passed in. Not thread-safe. Responses that are late, repeated or meant
// for an earlier run of this process are ignored.
#ifndef DAPPLETILLER_QUOTA_LEASE_LEASE_HOLDER_HPP_
#define DAPPLETILLER_QUOTA_LEASE_LEASE_HOLDER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "quota_lease/messages.hpp"

namespace dappletiller::quota_lease {

class LeaseHolder {
 public:
  // `boot` increases with every start of the process. `granters`: their names, the same in the whole fleet.
  LeaseHolder(std::uint64_t boot, std::vector<std::string> granters, Duration lease_duration);

  // The request to send to `granter` now. Its send time is kept until the response.
  LeaseRequest MakeRequest(TimePoint now, const std::string& granter);
  // A request that releases the lease. To be called after Stop.
  LeaseRequest MakeRelease(TimePoint now, const std::string& granter);
  void OnResponse(const std::string& granter, const LeaseResponse& response);
  // From now on the share is zero.
  void Stop() { stopped_ = true; }

  // Share of the whole quota that may be used, 0 to 1.
  double Share(TimePoint now) const;
  // When the first of the current leases expires; the epoch if there is none.
  TimePoint ValidUntil(TimePoint now) const;
  // Whether there is a current lease from this granter. For status output.
  bool HasLeaseFrom(TimePoint now, const std::string& granter) const;
  const std::vector<std::string>& granters() const { return granters_; }

 private:
  static constexpr std::size_t kMaxOpenRequests = 16;  // per granter; older ones are dropped

  struct Lease {
    std::map<std::uint64_t, TimePoint> sent_at;  // of open requests, by request number
    std::uint64_t acknowledged = 0;              // the request whose response is in use
    std::uint32_t units = 0;
    TimePoint expires_at;
  };

  std::uint64_t boot_;
  std::uint64_t last_request_ = 0;
  std::vector<std::string> granters_;
  Duration lease_duration_;
  std::map<std::string, Lease> leases_;  // by granter
  bool stopped_ = false;
};

}  // namespace dappletiller::quota_lease

#endif  // DAPPLETILLER_QUOTA_LEASE_LEASE_HOLDER_HPP_
