// The program itself where the platform gives it least: descriptors filled by idle clients while discovery is
// down, and many that start at once with a long list and no discovery.
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "program.hpp"
#include "support.hpp"

namespace dappletiller::testing {
namespace {

std::string Target(const std::string& uid, const std::string& endpoint, const char* state = "up") {
  return R"({"uid":")" + uid + R"(","endpoint":")" + endpoint + R"(","az":"a","model":"m","state":")" +
         state + R"(","boot_ms":0})";
}
std::string At(const Host& host) { return "127.0.0.1:" + std::to_string(host.port); }

void Replace(std::string* text, const std::string& what, const std::string& with) {
  REQUIRE(text->find(what) != std::string::npos);
  text->replace(text->find(what), what.size(), with);
}

// A call of a new client to the program at `port`, answered by `worker`.
void Serve(Rig& outside, std::uint16_t port, Host& worker, const std::string& id) {
  Peer client = Peer::Dial(port);
  client.Say(Check(id));
  Peer& at = outside.Request(worker, id);
  at.text.clear();
  at.Say(Answer(200, "body of " + id, "Connection: close\r\n"));  // the next one needs a dial
  outside.Hears(client, "body of " + id);
}

// Guards against a proxy that is deaf once a crowd holds its descriptors: the watch, the dials and the way
// out need some, also when what they had was lost with discovery.
TEST_CASE("idle clients fill the descriptors while discovery is down: watch, dials and way out have theirs") {
  constexpr rlim_t kDescriptors = 64;
  for (bool silent : {false, true}) {  // it resets each connection; or none comes up
    CAPTURE(silent);
    Host before, after, discovery(false, silent);
    std::string config = ProgramConfig(0, before.port, discovery.port);
    Replace(&config, "\"sockets\":256", "\"sockets\":64");
    Program program(config, {{"BALANCER_CONSOLE", "127.0.0.1:0"}}, false, kDescriptors);
    Rig outside;  // for its bounded waits only
    std::uint16_t console = PortAfter(outside, program, "console on port ");
    std::uint16_t port = PortAfter(outside, program, "started as n0 on port ");
    std::vector<Peer> crowd, callers;
    auto fill = [&] {
      // Who was sent away is replaced, so that far more than it has room for wait at every moment. Bounded: a
      // test that runs out of descriptors itself would tell nothing (and the sanitizers need some).
      std::erase_if(crowd, [](Peer& peer) { return peer.Ended(); });
      while (crowd.size() < 600) crowd.push_back(Peer::Dial(port));
      // The console's callers as well: all that anybody may hold from outside.
      std::erase_if(callers, [](Peer& peer) { return peer.Ended(); });
      while (callers.size() < 60) callers.push_back(Peer::Dial(console));
      if (!silent) {
        while (discovery.Accept()) discovery.peers.back().Abort();
      }
    };
    // Dials: each call of a new client needs a descriptor for itself; a worker that closes, one for its dial.
    for (int i = 0; i < 6; ++i) {
      fill();
      Serve(outside, port, before, "d" + std::to_string(i));
      CHECK(program.Descriptors() <= kDescriptors);
    }
    fill();
    outside.Until("the call to discovery failed while the crowd was there", [&] {
      fill();
      return program.Said().find("discovery: a watch failed") != std::string::npos;
    });
    fill();
    // The watch: discovery is back while the crowd is there, and tells of another worker.
    if (silent) discovery.Open();
    Peer* asked = nullptr;
    outside.Until("discovery is asked", [&] {
      discovery.Accept();
      for (Peer& peer : discovery.peers) {
        if (peer.Has("GET /discovery/hosts?after=1&wait_ms=0 HTTP/1.1\r\n")) asked = &peer;
      }
      return asked != nullptr;
    });
    asked->text.clear();
    asked->Say(Answer(200, R"({"rev":2,"all":true,"targets":[)" + Target("t", At(after)) + "]}"));
    outside.Until("the watch goes on",
                  [&] { return asked->Has("GET /discovery/hosts?after=2&wait_ms=1000 "); });
    Serve(outside, port, after, "w0");
    fill();
    CHECK(program.Descriptors() <= kDescriptors);
    // The way out.
    program.Signal(SIGTERM);
    outside.Until("it is leaving", [&] { return program.Said().find("leaving") != std::string::npos; });
    Peer last = Peer::Dial(port);
    last.Say(Check("e0"));
    outside.Until("who comes on the way out is taken and answered", [&] {
      after.Accept();
      for (Peer& peer : after.peers) {
        if (peer.Has("Request-Id: e0\r\n")) peer.text.clear(), peer.Say(Answer(200, "late"));
      }
      return last.Has("HTTP/1.1 ");
    });
    CHECK(program.Wait() == 0);
    std::string said = program.Said();
    CHECK(said.find("accept failed") == std::string::npos);
    CHECK(said.find("cannot connect") == std::string::npos);
    CHECK(said.find("a call is not sent") == std::string::npos);
  }
}

// Guards against a start that waits for discovery, or that a long list keeps from coming up. How long it
// takes, and how that grows with the list, is a benchmark (tools/start_times): a verdict on it would go by
// the load of the machine. Each has to come up, answer and serve within the bound of a wait.
TEST_CASE("thirty processes started at once with a list of 17,000 and no discovery are all ready") {
  constexpr int kProcesses = 30;
  constexpr int kWorkers = 17'000;
  Host worker, silent(false, true);
  std::string targets;
  for (int i = 1; i < kWorkers; ++i) {
    targets +=
        Target("s-" + std::to_string(i),
               "127.9." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1) + ":8080", "draining") +
        ",";
  }
  std::vector<std::unique_ptr<Program>> programs;
  for (int i = 0; i < kProcesses; ++i) {
    // Refused, or no connection comes up.
    std::string config = ProgramConfig(0, worker.port, i % 2 == 0 ? std::uint16_t{1} : silent.port);
    Replace(&config, "\"targets\":[", "\"targets\":[" + targets);
    programs.push_back(std::make_unique<Program>(config));
  }
  Rig outside;  // for its bounded waits only
  for (int i = 0; i < kProcesses; ++i) {
    CAPTURE(i);
    Program& program = *programs[static_cast<std::size_t>(i)];
    std::uint16_t port = PortAfter(outside, program, "started as n0 on port ");
    CHECK(program.Said().find("with 17000 workers known") != std::string::npos);
    Peer probe = Peer::Dial(port);
    probe.Say("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    outside.Hears(probe, "HTTP/1.1 200 ");
    Serve(outside, port, worker, "r" + std::to_string(i));
  }
}

}  // namespace
}  // namespace dappletiller::testing
