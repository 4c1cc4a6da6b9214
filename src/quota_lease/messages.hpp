// What holders and granters of quota leases tell one another, and their encoding: little endian, fixed
// length.
#ifndef DAPPLETILLER_QUOTA_LEASE_MESSAGES_HPP_
#define DAPPLETILLER_QUOTA_LEASE_MESSAGES_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dappletiller::quota_lease {

constexpr std::uint32_t kUnitsPerGranter = 1'000'000;  // what one granter leases out, in all

// A holder asks a granter for a lease, or renews the one it has.
struct LeaseRequest {
  std::uint64_t boot = 0;    // which start of the holder
  std::uint64_t number = 0;  // grows with each request of that start
  std::uint64_t acknowledged =
      0;                       // the latest response that the holder acts on; it has dropped all earlier ones
  bool release = false;        // the holder uses nothing any more, and asks for nothing
  std::uint32_t granters = 0;  // how many the holder counts; a granter that counts otherwise grants nothing
};

struct LeaseResponse {
  std::uint64_t boot = 0;    // of the request
  std::uint64_t number = 0;  // of the request
  std::uint32_t units = 0;   // of kUnitsPerGranter
};

std::string Encode(const LeaseRequest& request);
std::string Encode(const LeaseResponse& response);
// Nothing if `bytes` has another length.
std::optional<LeaseRequest> DecodeRequest(std::string_view bytes);
std::optional<LeaseResponse> DecodeResponse(std::string_view bytes);

}  // namespace dappletiller::quota_lease

#endif  // DAPPLETILLER_QUOTA_LEASE_MESSAGES_HPP_
