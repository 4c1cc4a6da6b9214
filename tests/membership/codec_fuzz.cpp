// Fuzz target: what arrives, with a MAC made right, so that the parser behind it is reached. Whatever parses
// is fed to a view, and must come back the same when written and read once more.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "membership/codec.hpp"
#include "membership/view.hpp"

namespace dm = dappletiller::membership;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const dm::Codec codec("fuzz", {});
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  dm::Refusal why;
  codec.Decode(bytes, &why);  // as it came: nearly always refused
  auto message = codec.DecodeBody(bytes, &why);
  if (!message) return 0;
  auto again = codec.Decode(codec.Encode(*message), &why);
  if (!again || !(again->from == message->from) || !(again->updates == message->updates)) std::abort();
  dm::Settings settings;
  settings.name = "self";
  settings.address = "127.0.0.1:1";
  settings.boot = 5;
  dm::View view(settings, 1);
  std::vector<dm::Out> out;
  view.Start(1'000'000, &out);
  for (int i = 0; i < 3; ++i) {
    message->number += 1;
    view.Receive(1'000'000 + i, *message, &out);
    view.Tick(1'050'000 + i * 50'000, &out);
  }
  if (view.members().size() > 1) std::abort();  // nobody has answered a question
  return 0;
}
