// The discovery client over real sockets: each way in which a request can fail, in sequence, and the delivery
// of a change by the next request. The bound on waits is far below the backoff that the poll interval alone
// would permit, so a late change fails the test.
#include <string>
#include <vector>

#include "discovery/retry_schedule.hpp"
#include "net/support.hpp"

namespace dappletiller::testing {
namespace {

// A backoff of a tenth of this, doubling, would be 12 s, 24 s, 48 s, 96 s.
constexpr Micros kAskWithin = 120'000 * kMs;

balancer::Settings PollingSettings(Micros span = kAskWithin) {
  balancer::Settings s = TestSettings();
  s.endpoints_on_request = true;
  s.poll_interval = span;
  return s;
}

std::string First(int version) { return "/discovery/hosts?after=" + std::to_string(version) + "&wait_ms=0"; }
std::string Waiting(int version) {
  return "/discovery/hosts?after=" + std::to_string(version) + "&wait_ms=1000";
}

std::string Entry(const TestServer& host, const char* state) {
  return R"({"uid":"w)" + std::to_string(host.port) + R"(","endpoint":"127.0.0.1:)" +
         std::to_string(host.port) + R"(","az":"here","model":"plain","state":")" + state +
         R"(","boot_ms":0})";
}

std::string Changes(int version, const std::string& entries = "") {
  return Response(200,
                  R"({"rev":)" + std::to_string(version) + R"(,"all":false,"targets":[)" + entries + "]}");
}

// Sends a request and returns whether it goes to `host` rather than to `other`.
bool Goes(ProxyFixture& fixture, TestServer& host, TestServer& other, const std::string& id) {
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest(id));
  bool there = false;
  auto has = [&](TestServer& at) {
    at.Accept();
    for (TestConnection& connection : at.connections) {
      if (!connection.HasReceived("Request-Id: " + id + "\r\n")) continue;
      connection.text.clear();
      connection.Send(Response(200, id));
      return true;
    }
    return false;
  };
  fixture.WaitUntil("the request is sent", [&] { return (there = has(host)) || has(other); });
  fixture.WaitForData(client, "\r\n\r\n" + id);
  return there;
}

struct Kind {
  const char* what;
  void (*fail)(ProxyFixture& fixture, TestConnection& request);
};

const std::vector<Kind> kKinds = {
    {"rejected", [](ProxyFixture&, TestConnection& request) { request.Send(Response(503)); }},
    {"reset", [](ProxyFixture&, TestConnection& request) { request.Reset(); }},
    {"closed", [](ProxyFixture&, TestConnection& request) { request.Close(); }},
    {"malformed list", [](ProxyFixture&, TestConnection& request) { request.Send(Response(200, "{]")); }},
    {"malformed HTTP", [](ProxyFixture&, TestConnection& request) { request.Send("nonsense\r\n\r\n"); }},
    {"half a response, then a close",
     [](ProxyFixture&, TestConnection& request) {
       request.Send("HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\n{\"rev\":");
       request.Close();
     }},
    {"half a response, then silence",
     [](ProxyFixture& fixture, TestConnection& request) {
       request.Send("HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\n{\"rev\":");
       fixture.WaitUntil("the request is abandoned", [&] { return request.IsClosed(); });
     }},
    {"silence",
     [](ProxyFixture& fixture, TestConnection& request) {
       fixture.WaitUntil("the request is abandoned", [&] { return request.IsClosed(); });
     }},
};

// A change must not count as notified while the proxy is still in backoff after failed requests.
TEST_CASE("after any run of failures the next request is sent and delivers the change") {
  ProxyFixture fixture(PollingSettings());
  TestServer leaving, staying;
  fixture.SetEndpoints({&leaving});
  fixture.discovery.Watch();
  int version = 41;
  for (const Kind& kind : kKinds) {
    CAPTURE(kind.what);
    // Two failures in a row if each takes a timeout, four if they are immediate.
    bool slow = std::string(kind.what).find("silence") != std::string::npos;
    for (int i = 0; i < (slow ? 2 : 4); ++i) {
      TestConnection& request = WaitForDiscoveryRequest(fixture, First(version));
      kind.fail(fixture, request);
      request.text.clear();
    }
    // The server drains and returns for the next kind of failure; both changes come with the first response.
    WaitForDiscoveryRequest(fixture, First(version))
        .Send(Changes(version + 1, Entry(leaving, "draining") + "," + Entry(staying, "up")));
    TestConnection& watch = WaitForDiscoveryRequest(fixture, Waiting(version + 1));
    CHECK(Goes(fixture, staying, leaving, "d" + std::to_string(version)));
    watch.Send(Changes(version + 2, Entry(leaving, "up") + "," + Entry(staying, "removed")));
    TestConnection& next = WaitForDiscoveryRequest(fixture, Waiting(version + 2));
    CHECK(Goes(fixture, leaving, staying, "u" + std::to_string(version)));
    version += 2;
    next.Send(Response(503));  // ends the watch; the next kind of failure affects the request after it
  }
}

// The time since the first silent watch counts; the second one must not be followed by a long backoff.
TEST_CASE("a silent watch, rejected replacements, and another silent one") {
  ProxyFixture fixture(PollingSettings());
  TestServer leaving, staying;
  fixture.SetEndpoints({&leaving});
  fixture.discovery.Watch();
  WaitForDiscoveryRequest(fixture, First(41)).Send(Changes(41));
  TestConnection& silent = WaitForDiscoveryRequest(fixture, Waiting(41));
  fixture.WaitUntil("the silent watch is closed", [&] { return silent.IsClosed(); });
  for (int i = 0; i < 6; ++i) WaitForDiscoveryRequest(fixture, First(41)).Send(Response(503));
  TestConnection& again = WaitForDiscoveryRequest(fixture, First(41));
  fixture.WaitUntil("the second silent watch is closed", [&] { return again.IsClosed(); });
  again.text.clear();
  WaitForDiscoveryRequest(fixture, First(41))
      .Send(Changes(42, Entry(leaving, "draining") + "," + Entry(staying, "up")));
  WaitForDiscoveryRequest(fixture, Waiting(42));
  CHECK(Goes(fixture, staying, leaving, "a1"));
}

// A request that is queued at discovery must not be abandoned: its replacement would be queued behind it.
TEST_CASE("a request that discovery queues for some time is not abandoned") {
  ProxyFixture fixture(PollingSettings());
  TestServer server;
  fixture.SetEndpoints({});
  fixture.discovery.Watch();
  TestConnection& request = WaitForDiscoveryRequest(fixture, First(41));
  // On the event loop's clock, so that load on the machine delays both equally.
  Timer served(fixture.loop);
  served.Set(2'400 * kMs, [&] { request.Send(Changes(42, Entry(server, "up"))); });
  fixture.WaitUntil("the watch continues", [&] { return request.HasReceived("GET " + Waiting(42)); });
  CHECK(fixture.discovery_server.connections.size() == 1);
  CHECK(Goes(fixture, server, server, "a1"));
}

// A connection attempt to discovery that hangs must not delay the list.
TEST_CASE("connection attempts to discovery that hang or are refused are retried") {
  ProxyFixture fixture(PollingSettings());
  TestServer hung(false, true), server;
  fixture.SetEndpoints({});
  std::uint16_t refused = 0;
  {
    TestServer gone;
    refused = gone.port;
  }
  fixture.discovery.MoveTo({kLoopback, refused}, "discovery");
  int failed = 0, last = 0;  // the counters are reset every second
  fixture.WaitUntil("six connections were refused", [&] {
    int now = fixture.dispatcher.counters().discovery_failures;
    failed += now >= last ? now - last : now;
    last = now;
    return failed >= 6;
  });
  fixture.discovery.MoveTo(hung.endpoint(), "discovery");
  Micros left = fixture.loop.Now() + 2 * RetrySchedule::kResponseTimeout;
  fixture.WaitUntil("a connection attempt was abandoned", [&] { return fixture.loop.Now() > left; });
  hung.Open();
  fixture.WaitUntil("a snapshot is requested", [&] {
    hung.Accept();
    return !hung.connections.empty() &&
           hung.connections.back().HasReceived("GET /discovery/hosts HTTP/1.1\r\n");
  });
  hung.connections.back().Send(
      Response(200, R"({"rev":7,"all":true,"targets":[)" + Entry(server, "up") + "]}"));
  CHECK(Goes(fixture, server, server, "a1"));
}

// New configurations in quick succession, and a discovery that takes longer for each answer.
TEST_CASE("moves of discovery in quick succession drop each request before its answer") {
  ProxyFixture fixture(PollingSettings());
  TestServer kept, draining, second, third;
  fixture.SetEndpoints({&kept, &draining});
  fixture.discovery.Watch();
  WaitForDiscoveryRequest(fixture, First(41));
  fixture.discovery.MoveTo(second.endpoint(), "discovery");
  auto asks_for_snapshot = [&fixture](TestServer& at) {
    fixture.WaitUntil("a snapshot is requested", [&] {
      at.Accept();
      return !at.connections.empty() &&
             at.connections.back().HasReceived("GET /discovery/hosts HTTP/1.1\r\n");
    });
  };
  asks_for_snapshot(second);
  fixture.discovery.MoveTo(third.endpoint(), "discovery");
  asks_for_snapshot(third);
  second.connections.back().Send(Response(200, R"({"rev":3,"all":true,"targets":[)" + Entry(kept, "up") +
                                                   "," + Entry(draining, "draining") + "]}"));
  fixture.WaitUntil("the former discovery is left", [&] { return second.connections.back().IsClosed(); });
  for (const char* id : {"a1", "a2", "a3", "a4"}) CHECK(Goes(fixture, kept, draining, id));
  // The watch goes on at the newest address, by its versions.
  third.connections.back().text.clear();
  third.connections.back().Send(
      Response(200, R"({"rev":9,"all":true,"targets":[)" + Entry(kept, "up") + "]}"));
  fixture.WaitForData(third.connections.back(), "GET " + Waiting(9));
}

// While the first response is missing, the log must not report the age of a list.
TEST_CASE("the traffic log line shows that discovery has not responded yet") {
  FILE* file = std::tmpfile();
  REQUIRE(file != nullptr);
  {
    EventLoop loop;
    Log log(file, "test");
    RequestDispatcher dispatcher(loop, log, PollingSettings(), kTestClassNames);
    ++dispatcher.counters().discovery_requests;
    Micros end = loop.Now() + kBound;
    std::string text;
    while (text.find("passed:") == std::string::npos && loop.Now() < end) {
      loop.RunOnce(5 * kMs);
      std::fflush(file);
      std::rewind(file);
      char bytes[4096];
      text.assign(bytes, std::fread(bytes, 1, sizeof bytes, file));
    }
    CHECK(text.find("list calls 1, failed 0, never answered") != std::string::npos);
  }
  std::fclose(file);
}

}  // namespace
}  // namespace dappletiller::testing
