// Two processes of one proxy beside each other, as in an upgrade: the platform holds the listening socket,
// and both keep their state in one folder. Each test is named after the failure that it guards against.
#include <array>
#include <filesystem>
#include <string>
#include <vector>

#include "program.hpp"
#include "support.hpp"

namespace dappletiller::testing {
namespace {

// Longer than a process needs to learn what another one was told, and far shorter than a drain's grace.
constexpr int kPropagationMs = 400;

class Upgrade {
 public:
  // `effect`: of the class "check".
  explicit Upgrade(const std::string& effect = "free") : effect_(effect), old_(Start()) {}
  ~Upgrade() { std::filesystem::remove_all(folder_); }

  void StartSuccessor() { successor_ = Start(); }
  // How often a server has received a request with this id.
  long CountArrivals(const std::string& id) {
    long count = 0;
    for (TestServer& server : servers) {
      while (server.Accept()) {
      }
      for (TestConnection& connection : server.connections)
        count += connection.HasReceived("Request-Id: " + id + "\r\n") ? 1 : 0;
    }
    return count;
  }
  Program& old_process() { return *old_.program; }
  Program& successor() { return *successor_.program; }

  // Returns the status line's code.
  int CallOld(const std::string& path) { return Call(old_, path); }
  int CallSuccessor(const std::string& path) { return Call(successor_, path); }

  // Ends the old process, so that the other one gets all requests.
  void EndOld() {
    old_process().Signal(SIGTERM);
    CHECK(old_process().Wait() == 0);
  }

  // Sends requests and counts those that arrive at each server; answers all of them.
  std::array<int, 2> CountRequests(const std::string& prefix) {
    constexpr int kRequests = 8;
    std::array<int, 2> counts{};
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = prefix + std::to_string(i);
      TestConnection client = TestConnection::Connect(listener.port);
      client.Send(SafeRequest(id));
      fixture.WaitUntil("a server has the request", [&] { return Answer(id, &counts); });
      fixture.WaitForData(client, "body of " + id);
    }
    return counts;
  }

  TestServer listener{true};
  std::array<TestServer, 2> servers;
  ProxyFixture fixture;  // only for its bounded waits

 private:
  struct Process {
    std::unique_ptr<Program> program;
    std::uint16_t console = 0;
  };

  Process Start() {
    std::string config = ProgramConfig(0, servers[0].port);
    const std::string first = "\"state\":\"up\"}]";
    const std::string second = R"("state":"up"},{"uid":"t","endpoint":"127.0.0.1:)" +
                               std::to_string(servers[1].port) + R"(","az":"a","state":"up"}])";
    config.replace(config.find(first), first.size(), second);
    const std::string free = "\"effect\":\"free\"";
    config.replace(config.find(free), free.size(), "\"effect\":\"" + effect_ + "\"");
    Process process;
    process.program =
        std::make_unique<Program>(config, std::vector<std::pair<std::string, std::string>>{
                                              {"TMPDIR", folder_},
                                              {"BALANCER_CONSOLE", "127.0.0.1:0"},
                                              {"BALANCER_SOCKET_FD", std::to_string(listener.fd())}});
    process.console = ReadPort(fixture, *process.program, "console on port ");
    ReadPort(fixture, *process.program, "started as n0 on port ");
    return process;
  }

  int Call(const Process& process, const std::string& path) {
    TestConnection caller = TestConnection::Connect(process.console);
    caller.Send("PUT " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.WaitForData(caller, "\r\n\r\n");
    return std::atoi(caller.text.c_str() + std::string("HTTP/1.1 ").size());
  }

  bool Answer(const std::string& id, std::array<int, 2>* counts) {
    for (std::size_t i = 0; i < servers.size(); ++i) {
      while (servers[i].Accept()) {
      }
      for (TestConnection& connection : servers[i].connections) {
        if (!connection.HasReceived("Request-Id: " + id + "\r\n")) continue;
        connection.text.clear();
        connection.Send(Response(200, "body of " + id));
        ++(*counts)[i];
        return true;
      }
    }
    return false;
  }

  static std::string MakeFolder() {
    char name[] = "/tmp/dappletiller-upgrade-XXXXXX";
    REQUIRE(::mkdtemp(name) != nullptr);
    return name;
  }

  std::string effect_;
  std::string folder_ = MakeFolder();
  Process old_;
  Process successor_;
};

void Wait(int milliseconds) { ::poll(nullptr, 0, milliseconds); }

TEST_CASE("a drain that the old process accepts during an upgrade is lost") {
  Upgrade upgrade;
  upgrade.StartSuccessor();
  CHECK(upgrade.CallOld("/_plan-servers/detach?who=s") == 200);
  upgrade.EndOld();
  Wait(kPropagationMs);
  CHECK(upgrade.CountRequests("a") == std::array<int, 2>{0, 8});
}

TEST_CASE("a drain that the old process accepts after SIGTERM is lost") {
  Upgrade upgrade;
  TestConnection open = TestConnection::Connect(upgrade.listener.port);
  open.Send(SafeRequest("open"));  // keeps the old process alive
  upgrade.fixture.WaitUntil("a server has the request", [&] {
    bool found = false;
    for (TestServer& server : upgrade.servers) {
      server.Accept();
      found = found || (!server.connections.empty() && server.connections.back().HasReceived("\r\n\r\n"));
    }
    return found;
  });
  upgrade.StartSuccessor();
  upgrade.old_process().Signal(SIGTERM);
  upgrade.fixture.WaitUntil("the shutdown has begun", [&] {
    return upgrade.old_process().ReadLog().find("leaving") != std::string::npos;
  });
  CHECK(upgrade.CallOld("/_plan-servers/detach?who=s") == 200);
  Wait(kPropagationMs);
  CHECK(upgrade.CountRequests("a") == std::array<int, 2>{0, 8});
}

TEST_CASE("a drain that the new process accepts does not reach the old one's open connections") {
  Upgrade upgrade;
  TestConnection kept = TestConnection::Connect(upgrade.listener.port);
  kept.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
  upgrade.fixture.WaitForData(kept, "HTTP/1.1 200 ");
  upgrade.StartSuccessor();
  CHECK(upgrade.CallSuccessor("/_plan-servers/detach?who=s") == 200);
  Wait(kPropagationMs);
  for (int i = 0; i < 6; ++i) {
    const std::string id = "k" + std::to_string(i);
    kept.Send(SafeRequest(id));
    upgrade.fixture.WaitForRequest(upgrade.servers[1], id).Send(Response(200, "body of " + id));
    upgrade.fixture.WaitForData(kept, "body of " + id);
  }
  upgrade.servers[0].Accept();
  CHECK(upgrade.servers[0].connections.empty());
}

TEST_CASE("drains that two processes accept overwrite each other") {
  Upgrade upgrade;
  upgrade.StartSuccessor();
  CHECK(upgrade.CallOld("/_plan-servers/detach?who=s") == 200);
  CHECK(upgrade.CallSuccessor("/_plan-servers/detach?who=t") == 200);
  CHECK(upgrade.CallOld("/_plan-servers/attach?who=t") == 200);  // at once, before it was told of the drain
  CHECK(upgrade.CallOld("/_plan-servers/detach?who=never-listed") == 404);
  upgrade.EndOld();
  Wait(kPropagationMs);
  std::string log = upgrade.successor().ReadLog();
  CHECK(log.find("server s drained") != std::string::npos);
  CHECK(log.find("server t undrained") != std::string::npos);
  CHECK(upgrade.CallSuccessor("/_plan-servers/attach?who=s") == 200);
  CHECK(upgrade.CallSuccessor("/_plan-servers/detach?who=t") == 200);
}

std::string SingleShot(const std::string& id) {
  return "POST /api HTTP/1.1\r\nRequest-Id: " + id +
         "\r\nRequest-Class: check\r\nRequest-Timeout: 15000m\r\nContent-Length: 0\r\n\r\n";
}

// Sends a request, waits until a server has it, and leaves.
void SendAndLeave(Upgrade& upgrade, TestConnection& client, const std::string& id) {
  client.Send(SingleShot(id));
  upgrade.fixture.WaitUntil("a server has the request", [&] { return upgrade.CountArrivals(id) == 1; });
  client.Close();
}

void CheckRefused(Upgrade& upgrade, TestConnection& client, const std::string& id) {
  client.Send(SingleShot(id));
  upgrade.fixture.WaitUntil("it is refused, or a server has it",
                            [&] { return client.HasReceived("HTTP/1.1 ") || upgrade.CountArrivals(id) > 1; });
  CHECK(client.HasReceived("HTTP/1.1 409 "));
  Wait(kPropagationMs);
  CHECK(upgrade.CountArrivals(id) == 1);
}

TEST_CASE("an id that may have run at one process of an upgrade runs again at the other") {
  Upgrade upgrade("single_shot");
  TestConnection at_old = TestConnection::Connect(upgrade.listener.port);
  TestConnection kept_at_old = TestConnection::Connect(upgrade.listener.port);
  for (TestConnection* client : {&at_old, &kept_at_old}) {
    client->Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    upgrade.fixture.WaitForData(*client, "HTTP/1.1 200 ");
    client->text.clear();
  }
  upgrade.StartSuccessor();
  SUBCASE("at the successor") {
    SendAndLeave(upgrade, at_old, "x");
    kept_at_old.Close();
    upgrade.EndOld();
    TestConnection client = TestConnection::Connect(upgrade.listener.port);
    CheckRefused(upgrade, client, "x");
  }
  SUBCASE("at the old process") {
    upgrade.old_process().Signal(SIGSTOP);  // the successor accepts
    TestConnection at_successor = TestConnection::Connect(upgrade.listener.port);
    SendAndLeave(upgrade, at_successor, "x");
    upgrade.old_process().Signal(SIGCONT);
    CheckRefused(upgrade, kept_at_old, "x");
  }
}

}  // namespace
}  // namespace dappletiller::testing
