#include "base/endpoint.hpp"

#include <charconv>
#include <system_error>

namespace dappletiller {

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  Endpoint endpoint;
  const char* end = text.data() + text.size();
  const char* at = text.data();
  for (int i = 0; i < 5; ++i) {
    unsigned value = 0;
    auto [next, failed] = std::from_chars(at, end, value);
    if (failed != std::errc() || value > (i == 4 ? 65535u : 255u)) return std::nullopt;
    if (i == 4) {
      if (next != end) return std::nullopt;
      endpoint.port = static_cast<std::uint16_t>(value);
      break;
    }
    endpoint.address = endpoint.address << 8 | value;
    if (next == end || *next != (i == 3 ? ':' : '.')) return std::nullopt;
    at = next + 1;
  }
  return endpoint;
}

}  // namespace dappletiller
