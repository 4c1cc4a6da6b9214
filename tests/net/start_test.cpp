// The program under shortage: all descriptors taken by idle clients while discovery is down, and many
// processes that start at the same time with a long list and without discovery.
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
std::string At(const TestServer& host) { return "127.0.0.1:" + std::to_string(host.port); }

void Replace(std::string* text, const std::string& what, const std::string& with) {
  REQUIRE(text->find(what) != std::string::npos);
  text->replace(text->find(what), what.size(), with);
}

// Sends a request of a new client to the program at `port`; `server` responds.
void Serve(ProxyFixture& fixture, std::uint16_t port, TestServer& server, const std::string& id) {
  TestConnection client = TestConnection::Connect(port);
  client.Send(SafeRequest(id));
  TestConnection& at = fixture.WaitForRequest(server, id);
  at.text.clear();
  at.Send(
      Response(200, "body of " + id, "Connection: close\r\n"));  // the next request needs a new connection
  fixture.WaitForData(client, "body of " + id);
}

// When clients hold all descriptors, the watch, upstream connections and the shutdown still need some, also
// after their previous ones were lost with discovery.
TEST_CASE(
    "with descriptors taken by idle clients while discovery is down, the watch, upstream connections and "
    "shutdown work") {
  constexpr rlim_t kDescriptors = 64;
  for (bool silent : {false, true}) {  // discovery resets each connection, or connection attempts hang
    CAPTURE(silent);
    TestServer before, after, discovery(false, silent);
    std::string config = ProgramConfig(0, before.port, discovery.port);
    Replace(&config, "\"sockets\":256", "\"sockets\":64");
    Program program(config, {{"BALANCER_CONSOLE", "127.0.0.1:0"}}, false, kDescriptors);
    ProxyFixture fixture;  // only for its bounded waits
    std::uint16_t console = ReadPort(fixture, program, "console on port ");
    std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
    std::vector<TestConnection> idle_clients, console_connections;
    auto fill = [&] {
      // Disconnected clients are replaced, so that far more than the limit are waiting at any time. Bounded,
      // since the test needs descriptors itself, as do the sanitizers.
      std::erase_if(idle_clients, [](TestConnection& connection) { return connection.IsClosed(); });
      while (idle_clients.size() < 600) idle_clients.push_back(TestConnection::Connect(port));
      // Console connections too: everything that can be held from outside.
      std::erase_if(console_connections, [](TestConnection& connection) { return connection.IsClosed(); });
      while (console_connections.size() < 60) console_connections.push_back(TestConnection::Connect(console));
      if (!silent) {
        while (discovery.Accept()) discovery.connections.back().Reset();
      }
    };
    // Upstream connections: each request of a new client needs a descriptor for the client and one for the
    // server.
    for (int i = 0; i < 6; ++i) {
      fill();
      Serve(fixture, port, before, "d" + std::to_string(i));
      CHECK(program.Descriptors() <= kDescriptors);
    }
    fill();
    fixture.WaitUntil("the request to discovery failed while the clients were there", [&] {
      fill();
      return program.ReadLog().find("discovery: a watch failed") != std::string::npos;
    });
    fill();
    // The watch: discovery recovers while the clients are there and lists another server.
    if (silent) discovery.Open();
    TestConnection* request = nullptr;
    fixture.WaitUntil("discovery receives a request", [&] {
      discovery.Accept();
      for (TestConnection& connection : discovery.connections) {
        if (connection.HasReceived("GET /discovery/hosts?after=1&wait_ms=0 HTTP/1.1\r\n"))
          request = &connection;
      }
      return request != nullptr;
    });
    request->text.clear();
    request->Send(Response(200, R"({"rev":2,"all":true,"targets":[)" + Target("t", At(after)) + "]}"));
    fixture.WaitUntil("the watch continues",
                      [&] { return request->HasReceived("GET /discovery/hosts?after=2&wait_ms=1000 "); });
    Serve(fixture, port, after, "w0");
    fill();
    CHECK(program.Descriptors() <= kDescriptors);
    // Shutdown.
    program.Signal(SIGTERM);
    fixture.WaitUntil("the shutdown has begun",
                      [&] { return program.ReadLog().find("leaving") != std::string::npos; });
    TestConnection last = TestConnection::Connect(port);
    last.Send(SafeRequest("e0"));
    fixture.WaitUntil("a client that connects during shutdown is served", [&] {
      after.Accept();
      for (TestConnection& connection : after.connections) {
        if (connection.HasReceived("Request-Id: e0\r\n"))
          connection.text.clear(), connection.Send(Response(200, "late"));
      }
      return last.HasReceived("HTTP/1.1 ");
    });
    CHECK(program.Wait() == 0);
    std::string log = program.ReadLog();
    CHECK(log.find("accept failed") == std::string::npos);
    CHECK(log.find("cannot connect") == std::string::npos);
    CHECK(log.find("an attempt was not sent") == std::string::npos);
  }
}

// A start must not wait for discovery or fail with a long list. Each process must start and serve within the
// bound of a wait. The duration is measured by a benchmark (tools/start_times), since a check would depend on
// the load of the machine.
TEST_CASE("thirty processes started at once with a list of 17,000 and no discovery are all ready") {
  constexpr int kProcesses = 30;
  constexpr int kWorkers = 17'000;
  TestServer server, silent(false, true);
  std::string targets;
  for (int i = 1; i < kWorkers; ++i) {
    targets +=
        Target("s-" + std::to_string(i),
               "127.9." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1) + ":8080", "draining") +
        ",";
  }
  std::vector<std::unique_ptr<Program>> programs;
  for (int i = 0; i < kProcesses; ++i) {
    // Connections are refused, or hang.
    std::string config = ProgramConfig(0, server.port, i % 2 == 0 ? std::uint16_t{1} : silent.port);
    Replace(&config, "\"targets\":[", "\"targets\":[" + targets);
    programs.push_back(std::make_unique<Program>(config));
  }
  ProxyFixture fixture;  // only for its bounded waits
  for (int i = 0; i < kProcesses; ++i) {
    CAPTURE(i);
    Program& program = *programs[static_cast<std::size_t>(i)];
    std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
    CHECK(program.ReadLog().find("with 17000 servers known") != std::string::npos);
    TestConnection probe = TestConnection::Connect(port);
    probe.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.WaitForData(probe, "HTTP/1.1 200 ");
    Serve(fixture, port, server, "r" + std::to_string(i));
  }
}

}  // namespace
}  // namespace dappletiller::testing
