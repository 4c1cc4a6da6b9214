// What ends, crossed with what may still be owed then: one test with real sockets for each crossing in
// docs/design/endings.md. Crossings are forced: a stand-in holds bytes back or lets them go at a known state,
// and both sides of a crossing lie in the kernel before the loop's next round.
#include <string>

#include "support.hpp"

namespace dappletiller::testing {
namespace {

sandstand::Settings AskingEvery(Micros span) {
  sandstand::Settings s = Rules();
  s.list_on_request = true;
  s.ask_within = span;
  return s;
}

// The connection on which discovery was asked for `target`, once one has been.
Peer& Asked(Rig& rig, const std::string& target) {
  Peer* found = nullptr;
  rig.Until(target.c_str(), [&] {
    rig.registry.Accept();
    for (Peer& peer : rig.registry.peers) {
      if (peer.Has("GET " + target + " HTTP/1.1\r\n")) found = &peer;
    }
    return found != nullptr;
  });
  found->text.clear();
  return *found;
}

// ---- The watch ----

// Guards against a drain that is missed while the module backs off: the clock of a silent watch has run out
// by then at sites with a short drain window.
TEST_CASE("a watch that fell silent is opened anew in the same round, and once more after a back-off") {
  Rig rig(AskingEvery(1'000 * kMs));
  rig.Know({});
  const std::string first = "/discovery/hosts?after=41&wait_ms=0";
  Asked(rig, first).Say(Answer(200, R"({"rev":41,"all":false,"targets":[]})"));
  Peer& silent = Asked(rig, "/discovery/hosts?after=41&wait_ms=500");
  rig.Until("the silent one is left", [&] { return silent.Ended(); });
  for (int i = 0; i < 3; ++i) rig.loop.Round(0);  // no time passes but what these take
  REQUIRE(rig.registry.Accept());
  std::size_t anew = rig.registry.peers.size() - 1;
  CHECK(rig.registry.peers[anew].Has("GET " + first + " HTTP/1.1\r\n"));
  // Silent again: from here on the module spares discovery, and asks once more.
  rig.Until("it is left too", [&] { return rig.registry.peers[anew].Ended(); });
  rig.registry.peers[anew].text.clear();
  for (int i = 0; i < 3; ++i) rig.loop.Round(0);
  CHECK_FALSE(rig.registry.Accept());
  Asked(rig, first).Say(Answer(200, R"({"rev":42,"all":false,"targets":[]})"));
  Asked(rig, "/discovery/hosts?after=42&wait_ms=500");
}

// Guards against a wait so long that the clock of its silence runs out before the silence is noticed.
TEST_CASE("a watch waits no longer than the clock of its silence leaves time for") {
  Rig rig(AskingEvery(120'000 * kMs));
  rig.Know({});
  rig.discovery.Watch();
  Asked(rig, "/discovery/hosts?after=41&wait_ms=0")
      .Say(Answer(200, R"({"rev":41,"all":false,"targets":[]})"));
  Asked(rig, "/discovery/hosts?after=41&wait_ms=3000");
}

}  // namespace
}  // namespace dappletiller::testing
