// Codec for the bench's wire: bytes to events, actions to bytes. It decides nothing.
#ifndef DAPPLETILLER_SIMULATOR_ADAPTER_WIRE_CODEC_HPP_
#define DAPPLETILLER_SIMULATOR_ADAPTER_WIRE_CODEC_HPP_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dappletiller/balancer.hpp"

namespace dappletiller::balancer::wire {

constexpr std::size_t kHeaderSize = 20;

// What is wrong with the input, in one plain line.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Header {
  Micros clock = 0;
  std::uint32_t length = 0;
  std::uint32_t records = 0;
  std::uint32_t batch = 0;
};

struct Born {  // the instance begins empty with these settings
  Settings settings;
};
struct Halted {};   // the instance was killed
struct Ignored {};  // an event the library has no use for (a peer's message, a probe's result)

struct Record {
  std::uint16_t instance = 0;
  std::variant<Born, Halted, Ignored, Event> what;
};

Header DecodeHeader(std::string_view bytes);

// Decodes the body that follows a header. Throws Error on anything malformed.
std::vector<Record> DecodeBody(const Header& header, std::string_view body);

// Settings from path=value lines. Unknown paths are skipped; missing or unparsable required ones throw Error.
Settings ParseSettings(std::string_view text, std::uint64_t seed);

// Collects a batch's actions, in order, and turns them into a reply.
class Reply {
 public:
  void Add(std::uint16_t instance, const Action& action);
  std::string Finish(std::uint32_t batch) const;

 private:
  std::string body_;
  int instance_ = -1;
};

}  // namespace dappletiller::balancer::wire

#endif  // DAPPLETILLER_SIMULATOR_ADAPTER_WIRE_CODEC_HPP_
