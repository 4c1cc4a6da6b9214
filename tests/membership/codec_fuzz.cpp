// Fuzz target: received bytes with a valid MAC, so that the parser is reached. Messages that can be parsed
// are passed to a Membership, and must be unchanged after encoding and decoding.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "membership/codec.hpp"
#include "membership/membership.hpp"

namespace dm = dappletiller::membership;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const dm::Codec codec("fuzz", {});
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  static_cast<void>(codec.Decode(bytes));  // unmodified: almost always rejected
  auto message = codec.DecodeBody(bytes);
  if (!message) return 0;
  auto again = codec.Decode(codec.Encode(*message));
  if (!again.ok() || !(again->sender == message->sender) || !(again->updates == message->updates))
    std::abort();
  dm::Settings settings;
  settings.name = "self";
  settings.address = "127.0.0.1:1";
  settings.boot = 5;
  dm::Membership view(settings, 1);
  const dappletiller::TimePoint start{std::chrono::seconds(1)};
  static_cast<void>(view.Start(start));
  for (int i = 0; i < 3; ++i) {
    message->number += 1;
    static_cast<void>(view.Receive(start + std::chrono::microseconds(i), *message));
    static_cast<void>(
        view.Tick(start + (i + 1) * dm::Membership::kTickInterval + std::chrono::microseconds(i)));
  }
  if (view.members().size() > 1) std::abort();  // no member has answered a probe
  return 0;
}
