// Addresses that sockets are bound or connected to.
#ifndef DAPPLETILLER_BASE_ENDPOINT_HPP_
#define DAPPLETILLER_BASE_ENDPOINT_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dappletiller {

// An IPv4 address in host byte order, and a port. For a listener, port 0 means any free port.
struct Endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

// Parses "a.b.c.d:port" in decimal; nothing if the text has another form.
std::optional<Endpoint> ParseEndpoint(std::string_view text);
// Writes "a.b.c.d:port".
std::string ToString(const Endpoint& endpoint);

}  // namespace dappletiller

#endif  // DAPPLETILLER_BASE_ENDPOINT_HPP_
