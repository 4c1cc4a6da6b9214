// Bytes that come late: a request after its process was told to end.
#include <csignal>
#include <string>

#include "program.hpp"
#include "support.hpp"

namespace dappletiller::testing {
namespace {

// ---- On the way out ----

// The process must have answered by its own end, which is no sign that a client has tried for long. Were the
// client's deadline told to the module as cut by that end, a request would look like the late try of one that
// began long ago: worth nothing any more, and refused at the first sign of waiting, with servers idle.
TEST_CASE("a request that comes after SIGTERM is sent, also where its class has a long deadline") {
  std::function<std::string(const std::string&)> request;
  SUBCASE("safe") {
    request = [](const std::string& id) { return Check(id); };
  }
  SUBCASE("unsafe") {
    request = [](const std::string& id) { return Pay(id); };
  }
  constexpr Micros kTimeLeft = 3'600 * kMs;  // as the program leaves itself
  Rig rig;
  Host one, two;
  rig.Know({&one, &two});
  auto serve = [&](const std::string& id) {
    Peer client = rig.Client();
    client.Say(request(id));
    Peer* at = nullptr;
    rig.Until("it is sent or answered", [&] {
      for (Host* host : {&one, &two}) {
        host->Accept();
        for (Peer& peer : host->peers) {
          if (peer.Has("Request-Id: " + id + "\r\n") && peer.Has("\r\n\r\n")) at = &peer;
        }
      }
      return at != nullptr || client.Has("HTTP/1.1 ");
    });
    REQUIRE_MESSAGE(at != nullptr, client.text);
    at->Say(Answer(200, "body of " + id));
    rig.Hears(client, "body of " + id);
  };
  for (int i = 0; i < 4; ++i) serve("before" + std::to_string(i));
  rig.acceptor.Drain(rig.loop.Now() + kTimeLeft);
  for (int i = 0; i < 4; ++i) serve("after" + std::to_string(i));
  Settles(rig);
}

TEST_CASE("the program sends a request that comes after SIGTERM, and answers it") {
  Rig outside;  // only its loop: it gives the time in which all this has to happen
  Host worker;
  Program program(ProgramConfig(0, worker.port));
  std::uint16_t port = PortAfter(outside, program, "on port ");
  Peer before = Peer::Dial(port);
  before.Say(Check("before"));
  outside.Request(worker, "before").Say(Answer(200, "one"));
  outside.Hears(before, "one");
  // Begun before, so that its connection stays for it, and whole only after.
  std::string request = Check("after");
  Peer client = Peer::Dial(port);
  client.Say(request.substr(0, 10));
  program.Signal(SIGTERM);
  outside.Until("the program is leaving",
                [&] { return program.Said().find("leaving: ") != std::string::npos; });
  client.Say(request.substr(10));
  Peer* at = nullptr;
  outside.Until("it is sent or answered", [&] {
    worker.Accept();
    for (Peer& peer : worker.peers) {
      if (peer.Has("Request-Id: after\r\n") && peer.Has("\r\n\r\n")) at = &peer;
    }
    return at != nullptr || client.Has("HTTP/1.1 ");
  });
  REQUIRE_MESSAGE(at != nullptr, client.text);
  at->Say(Answer(200, "two"));
  outside.Hears(client, "two");
  CHECK(program.Wait() == 0);
}

}  // namespace
}  // namespace dappletiller::testing
