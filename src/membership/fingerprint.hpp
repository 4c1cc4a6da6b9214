// A 64-bit fingerprint of a member and its boot. Part of the protocol: processes compare digests of these.
#ifndef DAPPLETILLER_MEMBERSHIP_FINGERPRINT_HPP_
#define DAPPLETILLER_MEMBERSHIP_FINGERPRINT_HPP_

#include <cstdint>
#include <string_view>

namespace dappletiller::membership {

// XXH3 of `name`, seeded with `boot`; the same in all builds.
std::uint64_t Fingerprint(std::string_view name, std::uint64_t boot);

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_FINGERPRINT_HPP_
