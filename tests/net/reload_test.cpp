// The program under SIGHUP: what a reload has to reach. Each test is named after the failure that it guards
// against.
#include <string>
#include <vector>

#include "program.hpp"
#include "support.hpp"

namespace dappletiller::testing {
namespace {

// The settings that these tests change, as JSON.
struct ReloadConfig {
  std::string classes = R"({"name":"check","aim":4000000,"giveUp":20000000,"effect":"free"})";
  std::string max_attempts = "5";
  std::string discovery = "127.0.0.1:1";
  std::string idle_time = "15000000";
  std::string limits = R"("sockets":256,"memory_mb":64)";
};

std::string GuardedClass(const std::string& name, const std::string& group, const std::string& window) {
  return R"({"name":")" + name + R"(","aim":4000000,"giveUp":20000000,"effect":"guarded","group":")" + group +
         R"(","window":)" + window + "}";
}

// Each server is a pod of its own; all are in the proxy's zone.
std::string ConfigText(const ReloadConfig& config, const std::vector<TestServer*>& servers) {
  std::string targets;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const std::string number = std::to_string(i);
    targets += (i == 0 ? "" : ",") + (R"({"uid":"s)" + number + R"(","endpoint":"127.0.0.1:)") +
               std::to_string(servers[i]->port) + R"(","az":"a","state":"up","pod_group":)" + number + "}";
  }
  return R"({"name":"n0","listen":"127.0.0.1:0","seed":"7","limits":{)" + config.limits +
         R"(},"discovery":")" + config.discovery + R"(","known":{"rev":1,"all":true,"targets":[)" + targets +
         R"(]},"settings":{"balancers":1,"zones":["a"],"zone":0,"kinds":["m"],"classes":[)" + config.classes +
         R"(],"registryMode":"push","tick":5000,"invariants":{"askEvery":10000000,"cold":22000000,
         "fall":2000000,"startCapacity":0.13,"tipMultiple":2.5,"graceToAnswer":20000},
         "limits":{"maxAttempts":)" +
         config.max_attempts + R"(,"mayCancel":true,"dialTimeout":250000,"connIdle":)" + config.idle_time +
         "}}}";
}

// A proxy with two servers, which is told to read a changed configuration.
class ReloadedProxy {
 public:
  explicit ReloadedProxy(const ReloadConfig& at_start = {}) : program_(ConfigText(at_start, {&one, &two})) {
    port_ = ReadPort(fixture, program_, "started as n0 on port ");
  }

  void Reload(const ReloadConfig& config) {
    program_.Write(ConfigText(config, {&one, &two}));
    program_.Signal(SIGHUP);
    ++reloads_;
    fixture.WaitUntil("the reload is done", [&] { return CountReloads() == reloads_; });
  }

  // The same for a file that the proxy must not take.
  void ReloadInVain(const ReloadConfig& config, const std::string& reason) {
    program_.Write(ConfigText(config, {&one, &two}));
    program_.Signal(SIGHUP);
    fixture.WaitUntil(reason.c_str(), [&] {
      return program_.ReadLog().find("reload: the old configuration stays: " + reason) != std::string::npos;
    });
    CHECK(CountReloads() == reloads_);
  }

  TestConnection Request(const std::string& request) {
    TestConnection client = TestConnection::Connect(port_);
    client.Send(request);
    return client;
  }

  // Waits for the request at either server and lets that one answer.
  void AnswerFirst(const std::string& id, const std::string& response) {
    fixture.WaitUntil("a server has the request", [&] {
      for (TestServer* server : {&one, &two}) {
        TestConnection* at = Find(*server, id);
        if (at == nullptr) continue;
        at->text.clear();
        at->Send(response);
        return true;
      }
      return false;
    });
  }

  Program& program() { return program_; }
  std::uint16_t port() const { return port_; }

  // What the first server that has the request was told.
  Micros StatedTimeoutOf(const std::string& id) {
    TestConnection* at = Find(one, id);
    if (at == nullptr) at = Find(two, id);
    REQUIRE(at != nullptr);
    return StatedTimeout(at->text);
  }

  // Servers that have the request and have not answered it.
  int CountWaiting(const std::string& id) {
    return static_cast<int>(Find(one, id) != nullptr) + static_cast<int>(Find(two, id) != nullptr);
  }

  TestServer one, two;
  ProxyFixture fixture;  // only for its bounded waits

 private:
  static TestConnection* Find(TestServer& server, const std::string& id) {
    while (server.Accept()) {
    }
    for (TestConnection& connection : server.connections) {
      if (connection.HasReceived("Request-Id: " + id + "\r\n")) return &connection;
    }
    return nullptr;
  }

  int CountReloads() {
    const std::string log = program_.ReadLog();
    int count = 0;
    for (auto at = log.find("reload: done"); at != std::string::npos; at = log.find("reload: done", at + 1))
      ++count;
    return count;
  }

  Program program_;
  std::uint16_t port_ = 0;
  int reloads_ = 0;
};

std::string KeyedRequest(const std::string& id, const std::string& request_class) {
  return "POST /api?k=1 HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRequest-Class: " + request_class +
         "\r\nIdempotency-Key: key-" + id + "\r\nRequest-Timeout: 15000m\r\nContent-Length: 2\r\n\r\nhi";
}

TEST_CASE("a keyed request of a class that a reload added or changed is repeated outside its group") {
  const std::string wide = GuardedClass("save", "zone", "6000000");
  ReloadConfig at_start;
  SUBCASE("added") { at_start.classes = wide; }
  SUBCASE("changed") { at_start.classes = wide + "," + GuardedClass("list", "zone", "6000000"); }
  ReloadedProxy proxy(at_start);
  proxy.Reload({.classes = wide + "," + GuardedClass("list", "cell", "4000000")});
  for (const std::string id : {"k1", "k2", "k3"}) {
    TestConnection client = proxy.Request(KeyedRequest(id, "list"));
    proxy.AnswerFirst(id, Response(500));  // it may have run
    proxy.fixture.WaitForData(client, "HTTP/1.1 502 ");
    CHECK(proxy.CountWaiting(id) == 0);
  }
}

TEST_CASE("a keyed request is repeated after the window that a reload has shortened") {
  ReloadedProxy proxy({.classes = GuardedClass("save", "zone", "6000000")});
  proxy.Reload({.classes = GuardedClass("save", "zone", "300000")});
  TestConnection client = proxy.Request(KeyedRequest("k1", "save"));
  proxy.fixture.WaitUntil("a server has the request", [&] { return proxy.CountWaiting("k1") == 1; });
  ::poll(nullptr, 0, 400);                 // longer than the window
  proxy.AnswerFirst("k1", Response(500));  // it may have run
  proxy.fixture.WaitForData(client, "HTTP/1.1 502 ");
  CHECK(proxy.CountWaiting("k1") == 0);
}

TEST_CASE("a reload does not reach the number of attempts") {
  ReloadedProxy proxy;
  proxy.Reload({.max_attempts = "1"});
  TestConnection client = proxy.Request(SafeRequest("a1"));
  proxy.AnswerFirst("a1", Response(500));
  proxy.fixture.WaitForData(client, "HTTP/1.1 50");
  CHECK(proxy.CountWaiting("a1") == 0);
}

TEST_CASE("a reload does not reach the connections that are idle already") {
  ReloadedProxy proxy;
  TestConnection client = proxy.Request(SafeRequest("a1"));
  proxy.AnswerFirst("a1", Response(200, "safe"));
  proxy.fixture.WaitForData(client, "safe");
  proxy.Reload({.idle_time = "100000"});
  const Micros reloaded_at = proxy.fixture.loop.Now();
  TestServer& used = proxy.one.connections.empty() ? proxy.two : proxy.one;
  proxy.fixture.WaitUntil("the connection is closed", [&] { return used.connections.front().IsClosed(); });
  CHECK(proxy.fixture.loop.Now() - reloaded_at < 5'000 * kMs);
}

TEST_CASE("a file with a key missing is taken") {
  const std::string weighted =
      R"({"name":"check","aim":4000000,"giveUp":20000000,"effect":"free","worth":3})";
  ReloadedProxy proxy({.classes = weighted});
  proxy.ReloadInVain({.classes = weighted, .discovery = "127.0.0.1:2", .limits = R"("sockets":256)"},
                     "limits.memory_mb is missing");
  proxy.ReloadInVain({.discovery = "127.0.0.1:2"}, "settings.classes[].worth is missing");
  // The keys of a class follow its effect, and a list of classes may become shorter.
  const std::string guarded = GuardedClass("save", "cell", "4000000");
  proxy.Reload({.classes = weighted + "," + guarded.substr(0, guarded.size() - 1) + R"(,"worth":1})"});
  proxy.Reload({.classes = weighted});
}

// SIGKILL comes the longest deadline of the configuration in force and 0.7 s after SIGTERM.
TEST_CASE("a shutdown after a reload plans with the longest deadline of the start") {
  const std::string kept = R"({"name":"check","aim":800000,"giveUp":1500000,"effect":"free"})";
  const std::string dropped = R"({"name":"report","aim":1500000,"giveUp":4000000,"effect":"free"})";
  constexpr Micros kKillAfter = 2'200 * kMs;
  ReloadedProxy proxy({.classes = kept + "," + dropped});
  EventLoop& clock = proxy.fixture.loop;
  Micros term_at = 0;
  SUBCASE("before SIGTERM") {
    proxy.Reload({.classes = kept});
    term_at = clock.Now();
    proxy.program().Signal(SIGTERM);
  }
  SUBCASE("after SIGTERM") {
    term_at = clock.Now();
    proxy.program().Signal(SIGTERM);
    proxy.Reload({.classes = kept});
  }
  TestConnection client = TestConnection::Connect(proxy.port());
  const std::string request = SafeRequest("late");
  client.Send(request.substr(0, 20));
  while (clock.Now() < term_at + 1'400 * kMs) clock.RunOnce(5 * kMs);
  const Micros sent_at = clock.Now();
  client.Send(request.substr(20));
  proxy.fixture.WaitUntil("a server has the request", [&] { return proxy.CountWaiting("late") == 1; });
  const Micros stated = proxy.StatedTimeoutOf("late");
  CHECK(stated <= term_at + kKillAfter - sent_at);
  proxy.fixture.WaitForData(client, "HTTP/1.1 50");
  CHECK(proxy.program().Wait() == 0);
}

TEST_CASE("a reload back to the settings of the start is skipped") {
  const std::string other = "," + GuardedClass("save", "zone", "6000000");
  const std::string free = ReloadConfig().classes + other;
  ReloadedProxy proxy({.classes = free});
  proxy.Reload({.classes = GuardedClass("check", "zone", "6000000") + other});
  TestConnection keyed = proxy.Request(KeyedRequest("k1", "check"));
  proxy.AnswerFirst("k1", Response(200, "keyed"));
  proxy.fixture.WaitForData(keyed, "keyed");
  proxy.Reload({.classes = free});
  TestConnection safe = proxy.Request(SafeRequest("a1"));
  proxy.AnswerFirst("a1", Response(200, "safe"));
  proxy.fixture.WaitForData(safe, "safe");
}

}  // namespace
}  // namespace dappletiller::testing
