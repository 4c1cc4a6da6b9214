// Fuzz target: what arrives, with a MAC made right, so that the parser behind it is reached. Whatever parses
// is fed to a view, and must come back the same when written and read once more.
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
  static_cast<void>(codec.Decode(bytes));  // as it came: nearly always refused
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
  if (view.members().size() > 1) std::abort();  // nobody has answered a question
  return 0;
}
