// The holder's side of quota leases: how much of a shared quota this process may use, and until when.
//
// A lease counts from the moment its request was SENT, so that it ends here before it ends at the granter
// (lease_granter.hpp). Pure: time comes in. Not thread-safe. Responses that are late, repeated or of another
// start are ignored.
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
  // `boot` grows from start to start. `granters`: their names, the same in the whole fleet.
  LeaseHolder(std::uint64_t boot, std::vector<std::string> granters, Duration lease_duration);

  // The request to send to `granter` now; when it was made is remembered by its number.
  LeaseRequest MakeRequest(TimePoint now, const std::string& granter);
  // The same, to give back what was granted. To be made after Stop.
  LeaseRequest MakeRelease(TimePoint now, const std::string& granter);
  void OnResponse(const std::string& granter, const LeaseResponse& response);
  // From now on nothing is used.
  void Stop() { stopped_ = true; }

  // What may be used of the whole quota: 0 to 1.
  double Share(TimePoint now) const;
  // When the first of the leases in force ends; the epoch if there is none.
  TimePoint ValidUntil(TimePoint now) const;
  // Whether a lease of this granter is in force, for operators.
  bool HasLeaseFrom(TimePoint now, const std::string& granter) const;
  const std::vector<std::string>& granters() const { return granters_; }

 private:
  static constexpr std::size_t kMaxOpenRequests = 16;  // to one granter; older ones are forgotten

  struct Lease {
    std::map<std::uint64_t, TimePoint> sent_at;  // of open requests, by number
    std::uint64_t acknowledged = 0;              // the request whose response is acted on
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
