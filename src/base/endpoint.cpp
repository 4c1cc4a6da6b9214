#include "base/endpoint.hpp"

#include <charconv>
#include <system_error>

namespace dappletiller {
namespace {

constexpr int kAddressBytes = 4;
constexpr unsigned kMaxByte = 255;
constexpr unsigned kMaxPort = 65535;

// Removes a decimal number of at most `max`, followed by `end_mark`, from the front of `text`.
std::optional<unsigned> TakeNumber(unsigned max, char end_mark, std::string_view* text) {
  unsigned value = 0;
  const char* end = text->data() + text->size();
  const auto [next, error] = std::from_chars(text->data(), end, value);
  if (error != std::errc() || value > max || next == end || *next != end_mark) return std::nullopt;
  text->remove_prefix(static_cast<std::size_t>(next - text->data()) + 1);
  return value;
}

std::optional<unsigned> ParsePort(std::string_view text) {
  unsigned value = 0;
  const char* end = text.data() + text.size();
  const auto [next, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || value > kMaxPort || next != end) return std::nullopt;
  return value;
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  Endpoint endpoint;
  for (int i = 0; i < kAddressBytes; ++i) {
    const char end_mark = i + 1 < kAddressBytes ? '.' : ':';
    const auto byte = TakeNumber(kMaxByte, end_mark, &text);
    if (!byte) return std::nullopt;
    endpoint.address = endpoint.address << 8 | *byte;
  }
  const auto port = ParsePort(text);
  if (!port) return std::nullopt;
  endpoint.port = static_cast<std::uint16_t>(*port);
  return endpoint;
}

std::string ToString(const Endpoint& endpoint) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string(endpoint.address >> shift & kMaxByte);
    text += shift > 0 ? '.' : ':';
  }
  return text + std::to_string(endpoint.port);
}

}  // namespace dappletiller
