// The state of membership and quota leases as JSON, for the console's GET /_fleet. The keys are an interface
// for operators (docs/membership.md) and do not change with names in the code.
#ifndef DAPPLETILLER_MEMBERSHIP_TRANSPORT_STATUS_JSON_HPP_
#define DAPPLETILLER_MEMBERSHIP_TRANSPORT_STATUS_JSON_HPP_

#include <cstdint>
#include <string>

#include "membership/transport/membership_transport.hpp"

namespace dappletiller {

struct MembershipStatus {
  const membership::Membership& membership;
  const std::string& fleet;
  const MembershipTransport::Traffic& traffic;
  const MembershipTransport::DecodeErrors& decode_errors;
  const QuotaLeaseSession* quota_leases;  // null: this fleet has none
};

// Includes events numbered above `after`.
std::string WriteStatusJson(TimePoint now, std::uint64_t after, const MembershipStatus& status);

}  // namespace dappletiller

#endif  // DAPPLETILLER_MEMBERSHIP_TRANSPORT_STATUS_JSON_HPP_
