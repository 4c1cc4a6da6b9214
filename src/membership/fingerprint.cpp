#include "membership/fingerprint.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace dappletiller::membership {

std::uint64_t Fingerprint(std::string_view name, std::uint64_t boot) {
  return XXH3_64bits_withSeed(name.data(), name.size(), boot);
}

}  // namespace dappletiller::membership
