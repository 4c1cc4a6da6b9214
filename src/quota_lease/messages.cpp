#include "quota_lease/messages.hpp"

#include <cstddef>

namespace dappletiller::quota_lease {
namespace {

constexpr std::size_t kRequestSize = 3 * sizeof(std::uint64_t) + sizeof(std::uint32_t) + 1;
constexpr std::size_t kResponseSize = 2 * sizeof(std::uint64_t) + sizeof(std::uint32_t);

template <typename Number>
void Append(Number number, std::string* to) {
  for (std::size_t i = 0; i < sizeof(Number); ++i) to->push_back(static_cast<char>(number >> (8 * i)));
}

// Removes a number from the front of `from`, which must be long enough.
template <typename Number>
Number Take(std::string_view* from) {
  Number number = 0;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    const auto byte = static_cast<unsigned char>((*from)[i]);
    number |= static_cast<Number>(static_cast<Number>(byte) << (8 * i));
  }
  from->remove_prefix(sizeof(Number));
  return number;
}

}  // namespace

std::string Encode(const LeaseRequest& request) {
  std::string bytes;
  Append(request.boot, &bytes);
  Append(request.number, &bytes);
  Append(request.acknowledged, &bytes);
  Append(request.granters, &bytes);
  bytes.push_back(request.release ? 1 : 0);
  return bytes;
}

std::optional<LeaseRequest> DecodeRequest(std::string_view bytes) {
  if (bytes.size() != kRequestSize) return std::nullopt;
  LeaseRequest request;
  request.boot = Take<std::uint64_t>(&bytes);
  request.number = Take<std::uint64_t>(&bytes);
  request.acknowledged = Take<std::uint64_t>(&bytes);
  request.granters = Take<std::uint32_t>(&bytes);
  request.release = Take<std::uint8_t>(&bytes) != 0;
  return request;
}

std::string Encode(const LeaseResponse& response) {
  std::string bytes;
  Append(response.boot, &bytes);
  Append(response.number, &bytes);
  Append(response.units, &bytes);
  return bytes;
}

std::optional<LeaseResponse> DecodeResponse(std::string_view bytes) {
  if (bytes.size() != kResponseSize) return std::nullopt;
  LeaseResponse response;
  response.boot = Take<std::uint64_t>(&bytes);
  response.number = Take<std::uint64_t>(&bytes);
  response.units = Take<std::uint32_t>(&bytes);
  return response;
}

}  // namespace dappletiller::quota_lease
