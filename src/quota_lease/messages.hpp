// Messages between holders and granters of quota leases, and their encoding: little endian, fixed length.
#ifndef DAPPLETILLER_QUOTA_LEASE_MESSAGES_HPP_
#define DAPPLETILLER_QUOTA_LEASE_MESSAGES_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dappletiller::quota_lease {

constexpr std::uint32_t kUnitsPerGranter = 1'000'000;  // total units that one granter grants

// A holder asks a granter for a lease, or renews the one it has.
struct LeaseRequest {
  std::uint64_t boot = 0;    // boot number of the holder
  std::uint64_t number = 0;  // increases with each request of that boot
  // Number of the latest response that the holder uses; it has dropped all earlier ones.
  std::uint64_t acknowledged = 0;
  bool release = false;        // the holder no longer uses any units and requests none
  std::uint32_t granters = 0;  // number of granters known to the holder; must match the granter's
};

struct LeaseResponse {
  std::uint64_t boot = 0;    // of the request
  std::uint64_t number = 0;  // of the request
  std::uint32_t units = 0;   // of kUnitsPerGranter
};

std::string Encode(const LeaseRequest& request);
std::string Encode(const LeaseResponse& response);
// Return nothing if `bytes` has the wrong length.
std::optional<LeaseRequest> DecodeRequest(std::string_view bytes);
std::optional<LeaseResponse> DecodeResponse(std::string_view bytes);

}  // namespace dappletiller::quota_lease

#endif  // DAPPLETILLER_QUOTA_LEASE_MESSAGES_HPP_
