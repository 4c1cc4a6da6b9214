// Codec of the simulator's wire protocol: decodes bytes to events and encodes actions to bytes. Also parses
// the settings, which the proxy receives in the same form. Decides nothing.
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

// Malformed input; what() is a one-line description.
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

struct InstanceStarted {  // a new instance with these settings
  Settings settings;
};
struct InstanceStopped {};  // the instance was terminated
struct IgnoredEvent {};     // an event that the module does not use: a peer's message, the result of a probe

struct Record {
  std::uint16_t instance = 0;
  std::variant<InstanceStarted, InstanceStopped, IgnoredEvent, Event> what;
};

Header DecodeHeader(std::string_view bytes);

// Decodes the body of a batch. Throws Error if it is malformed.
std::vector<Record> DecodeBody(const Header& header, std::string_view body);

// Parses settings from path=value lines. Unknown paths are ignored. Throws Error if a required setting is
// missing or any is invalid.
Settings ParseSettings(std::string_view text, std::uint64_t seed);

// Encodes the actions of a batch, in order, into a reply.
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
