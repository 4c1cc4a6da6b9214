// Where a socket is bound or connected to.
#ifndef DAPPLETILLER_BASE_ENDPOINT_HPP_
#define DAPPLETILLER_BASE_ENDPOINT_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dappletiller {

// An IPv4 address in host byte order, and a port. Port 0 means, for a listener, any that is free.
struct Endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

// Reads "a.b.c.d:port" in decimal; nothing if the text is anything else.
std::optional<Endpoint> ParseEndpoint(std::string_view text);
// Writes "a.b.c.d:port".
std::string ToString(const Endpoint& endpoint);

}  // namespace dappletiller

#endif  // DAPPLETILLER_BASE_ENDPOINT_HPP_
