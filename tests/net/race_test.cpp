// Races between the end of a connection, a watch or a process and events that are still in progress
// (docs/design/endings.md). Each race is forced: a test server withholds bytes until a known state is
// reached, and both events are in the kernel before the event loop's next round.
#include <string>

#include "support.hpp"

namespace dappletiller::testing {
namespace {

balancer::Settings PollingSettings(Micros span) {
  balancer::Settings s = TestSettings();
  s.endpoints_on_request = true;
  s.poll_interval = span;
  return s;
}

// ---- The watch ----

// A silent watch must be reopened without backoff: with a short drain window, a drain would count as missed
// by then.
TEST_CASE("a silent watch is reopened in the same round, and again after a backoff") {
  ProxyFixture fixture(PollingSettings(1'000 * kMs));
  fixture.SetEndpoints({});
  const std::string first = "/discovery/hosts?after=41&wait_ms=0";
  WaitForDiscoveryRequest(fixture, first).Send(Response(200, R"({"rev":41,"all":false,"targets":[]})"));
  TestConnection& silent = WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=500");
  fixture.WaitUntil("the silent watch is closed", [&] { return silent.IsClosed(); });
  for (int i = 0; i < 3; ++i) fixture.loop.RunOnce(0);  // no further time passes
  REQUIRE(fixture.discovery_server.Accept());
  std::size_t reopened = fixture.discovery_server.connections.size() - 1;
  CHECK(fixture.discovery_server.connections[reopened].HasReceived("GET " + first + " HTTP/1.1\r\n"));
  // Silent again: now there is a backoff before the next request.
  fixture.WaitUntil("it is closed too",
                    [&] { return fixture.discovery_server.connections[reopened].IsClosed(); });
  fixture.discovery_server.connections[reopened].text.clear();
  for (int i = 0; i < 3; ++i) fixture.loop.RunOnce(0);
  CHECK_FALSE(fixture.discovery_server.Accept());
  WaitForDiscoveryRequest(fixture, first).Send(Response(200, R"({"rev":42,"all":false,"targets":[]})"));
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=42&wait_ms=500");
}

// A long poll must not wait so long that its silence is noticed too late.
TEST_CASE("the wait of a watch is bounded") {
  ProxyFixture fixture(PollingSettings(120'000 * kMs));
  fixture.SetEndpoints({});
  fixture.discovery.Watch();
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=0")
      .Send(Response(200, R"({"rev":41,"all":false,"targets":[]})"));
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=1000");
}

// ---- Disconnect of the client ----

// Data that a client may have sent after its request before it disconnects.
struct TrailingData {
  const char* what;
  std::string bytes;
};

std::vector<TrailingData> TrailingDataCases() {
  std::string many;
  for (int i = 0; i < 40; ++i) many += SafeRequest("m" + std::to_string(i));
  return {{"nothing", ""},
          {"half a next request", "GET /api?k=1 HTTP/1.1\r\nHost: x\r\n"},
          {"a complete next request", SafeRequest("n1")},
          {"many complete requests", many},
          {"malformed data", "\x01rubbish\r\n\r\n"},
          {"a next request with an incomplete body", "POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\nxy"},
          {"more than any buffer holds", many + std::string(12'000'000, 'x')}};
}

// Sends everything while the event loop runs.
void SendAll(ProxyFixture& fixture, TestConnection& client, std::string_view bytes) {
  fixture.WaitUntil("everything is sent", [&] {
    bytes.remove_prefix(client.TrySend(bytes));
    return bytes.empty();
  });
}

void DisconnectClient(TestConnection& client, bool with_reset) {
  with_reset ? client.Reset() : client.Close();
}

// A queued request must not be forwarded after its client has disconnected. The end of stream follows all
// data that the client has sent, so the proxy has to keep reading.
TEST_CASE("a queued request whose client disconnects is not forwarded, whatever the client sent after it") {
  for (const TrailingData& trailing : TrailingDataCases()) {
    for (bool with_reset : {false, true}) {
      CAPTURE(trailing.what);
      CAPTURE(with_reset);
      ProxyFixture fixture;
      fixture.SetEndpoints({});  // no server: requests are queued
      TestConnection client = fixture.ConnectClient();
      client.Send(SafeRequest("a1"));
      fixture.WaitUntil("the request is queued", [&] { return fixture.dispatcher.open_requests() == 1; });
      SendAll(fixture, client, trailing.bytes);
      DisconnectClient(client, with_reset);
      fixture.WaitUntil("the disconnect is noticed", [&] { return fixture.dispatcher.open_requests() == 0; });
      CheckSettled(fixture);
      CHECK(fixture.listener.connections() == 0);
      TestServer server;
      fixture.SetEndpoints({&server}, EndpointList::Kind::kDelta);
      TestConnection next = fixture.ConnectClient();  // a queued request would be sent before this one
      next.Send(SafeRequest("b1"));
      TestConnection& at = fixture.WaitForRequest(server, "b1");
      for (TestConnection& connection : server.connections)
        CHECK_FALSE(connection.HasReceived("Request-Id: a1"));
      at.Send(Response(200, "one"));
      fixture.WaitForData(next, "one");
    }
  }
}

TEST_CASE(
    "many clients that disconnect at the same time are all noticed, and their requests are not forwarded") {
  ProxyFixture fixture(TestSettings(), kBound, 128, 8, 100);
  fixture.SetEndpoints({});
  std::vector<TrailingData> trailing_cases = TrailingDataCases();
  trailing_cases.pop_back();
  std::vector<TestConnection> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(fixture.ConnectClient());
    crowd.back().Send(
        (i % 3 == 0 ? UnsafeRequest("a" + std::to_string(i)) : SafeRequest("a" + std::to_string(i))));
  }
  fixture.WaitUntil("all requests are queued", [&] { return fixture.dispatcher.open_requests() == 60; });
  for (std::size_t i = 0; i < crowd.size(); ++i) {
    std::string bytes = trailing_cases[i % trailing_cases.size()].bytes;
    crowd[i].Send(bytes.substr(0, 8'000));
    DisconnectClient(crowd[i], i % 2 == 0);
  }
  fixture.WaitUntil("all disconnects are noticed", [&] { return fixture.dispatcher.open_requests() == 0; });
  CheckSettled(fixture);
  TestServer server;
  fixture.SetEndpoints({&server}, EndpointList::Kind::kDelta);
  TestConnection next = fixture.ConnectClient();
  next.Send(SafeRequest("b1"));
  fixture.WaitForRequest(server, "b1");
  CHECK(server.connections.size() == 1);
}

// A request whose client has disconnected must not be written to a connection established later. This also
// holds where settings forbid cancellation, since nothing has been sent yet.
TEST_CASE("a request whose client disconnects while connecting to the server is not sent") {
  for (bool may_cancel : {false, true}) {
    for (bool retry : {false, true}) {
      CAPTURE(may_cancel);
      CAPTURE(retry);
      balancer::Settings settings = TestSettings();
      settings.may_cancel = may_cancel;
      ProxyFixture fixture(settings);
      TestServer first, hanging(false, true);
      if (retry) fixture.SetEndpoints({&first});
      if (!retry) fixture.SetEndpoints({&hanging});
      TestConnection client = fixture.ConnectClient();
      client.Send(SafeRequest("a1"));
      if (retry) {  // rejected by the first server; the connection to the other one hangs
        TestConnection& at = fixture.WaitForRequest(first, "a1");
        fixture.SetEndpoints({&hanging}, EndpointList::Kind::kDelta);
        at.Send(Response(503, "", "Not-Started: 1\r\nConnection: close\r\n"));
        fixture.WaitUntil("the first connection is closed", [&] { return at.IsClosed(); });
      }
      fixture.WaitUntil("a connection is being established",
                        [&] { return fixture.upstream_pool.connections() == 1; });
      client.Close();
      fixture.WaitUntil("the disconnect is noticed", [&] { return fixture.dispatcher.open_requests() == 0; });
      CHECK(fixture.upstream_pool.connections() == 0);  // no attempt is left
      CheckSettled(fixture);
      hanging.Open();
      TestConnection next = fixture.ConnectClient();
      next.Send(SafeRequest("b1"));
      if (retry) fixture.SetEndpoints({&first}, EndpointList::Kind::kDelta, EndpointState::kDraining);
      fixture.WaitForRequest(hanging, "b1");
      for (TestConnection& connection : hanging.connections)
        CHECK_FALSE(connection.HasReceived("Request-Id: a1"));
    }
  }
}

// Where cancellation is forbidden, a request that is completely written continues: it is not retried, and its
// response ends it.
TEST_CASE("an attempt in flight continues after its client disconnects where cancellation is forbidden") {
  balancer::Settings settings = TestSettings();
  settings.may_cancel = false;
  ProxyFixture fixture(settings);
  TestServer server, other;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  client.Send(UnsafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  fixture.SetEndpoints({&other}, EndpointList::Kind::kDelta);
  client.Reset();
  fixture.WaitUntil("the disconnect is noticed", [&] { return fixture.dispatcher.open_requests() == 0; });
  CHECK_FALSE(at.IsClosed());
  CHECK(fixture.dispatcher.table_size() == 1);
  at.Send(Response(500));
  CheckSettled(fixture);
  CHECK_FALSE(other.Accept());
}

// A client may send without end: data beyond the limit is discarded, and the requests before it are answered
// in order.
TEST_CASE("pipelined requests are answered in order, with an error for what exceeds the limit") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  fixture.WaitForRequest(server, "a1");
  std::string large(60'000, 'x');
  SendAll(fixture, client,
          UnsafeRequest("a2", large) + UnsafeRequest("a3", large) + std::string(3'000'000, 'x'));
  for (const char* id : {"a1", "a2"}) {
    TestConnection& now = fixture.WaitForRequest(server, id);
    now.text.clear();
    now.Send(Response(200, std::string("body of ") + id));
    fixture.WaitForData(client, std::string("body of ") + id);
  }
  fixture.WaitForData(client, "HTTP/1.1 413 ");
  fixture.WaitUntil("the proxy closes the connection", [&] { return client.IsClosed(); });
  CheckSettled(fixture);
}

// ---- Responses ----

// A response that precedes the end of its request belongs to an earlier request, since a server begins a
// request after its last byte.
TEST_CASE("a response before the end of its request is dropped, but a rejection counts") {
  for (bool refusal : {false, true}) {
    CAPTURE(refusal);
    ProxyFixture fixture;
    TestServer early, other;
    fixture.SetEndpoints({&early});
    TestConnection client = fixture.ConnectClient();
    SendAll(fixture, client, UnsafeRequest("a1", std::string(64 * 1024, 'x')));
    // The connection is established in both kernels, but the event loop has not noticed and has written
    // nothing.
    fixture.WaitUntil("the server is connected", [&] { return early.Accept(); });
    fixture.SetEndpoints({&other}, EndpointList::Kind::kDelta);
    early.connections[0].Send(refusal ? Response(503, "", "Not-Started: 1\r\n") : Response(200, "too early"));
    fixture.WaitForRequest(other, "a1").Send(Response(200, "made for it"));
    fixture.WaitForData(client, "made for it");
    CHECK_FALSE(client.HasReceived("too early"));
    CheckSettled(fixture);
  }
}

// A late second response must not be taken for the response to the next request. After one, connections of
// that server are reused only after some idle time.
TEST_CASE("after a second response, connections of the server are idle for some time before reuse") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  TestConnection& first_connection = fixture.WaitForRequest(server, "a1");
  first_connection.Send(Response(200, "one") + Response(200, "one"));
  fixture.WaitForData(client, "one");
  fixture.WaitUntil("that connection is closed", [&] { return first_connection.IsClosed(); });
  client.text.clear();
  client.Send(SafeRequest("a2"));
  TestConnection* at = &fixture.WaitForRequest(server, "a2");
  at->Send(Response(200, "two"));
  fixture.WaitForData(client, "two");
  client.text.clear();
  client.Send(SafeRequest("a3"));
  std::size_t before = server.connections.size();
  fixture.WaitForRequest(server, "a3");  // may reallocate the connections
  REQUIRE(server.connections.size() == before + 1);
  server.connections[before - 1].Send(Response(200, "two"));  // late, belongs to no open request
  server.connections[before].Send(Response(200, "three"));
  fixture.WaitForData(client, "\r\n\r\n");
  CHECK(client.HasReceived("three"));
  CHECK_FALSE(client.HasReceived("two"));
  CheckSettled(fixture);
}

TEST_CASE("an endless response ends at the maximum body size, and its client can tell") {
  constexpr std::size_t kEnd = 5;  // of a chunked body
  for (const char* head :
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"}) {
    CAPTURE(head);
    ProxyFixture fixture;
    TestServer endless;
    fixture.SetEndpoints({&endless});
    TestConnection client = fixture.ConnectClient();
    client.Send(SafeRequest("a1"));
    TestConnection& at = fixture.WaitForRequest(endless, "a1");
    std::string piece;
    for (int i = 0; i < 40; ++i) piece += "1000\r\n" + std::string(4096, 'x') + "\r\n";
    at.Send(head);
    std::size_t sent = 0;
    std::size_t received = 0;
    std::string last;
    fixture.WaitUntil("both connections are closed", [&] {
      // The rest of a piece first: the chunks must be sound.
      sent += at.TrySend(std::string_view(piece).substr(sent % piece.size()));
      received += client.Received().size();
      last += std::exchange(client.text, {});
      last.erase(0, last.size() - std::min(last.size(), kEnd));
      return at.IsClosed() && client.closed;
    });
    CHECK(received >= http::kMaxStreamedBodySize / 2);
    CHECK(received <= http::kMaxStreamedBodySize + http::kMaxStreamedBodySize / 4);
    CHECK(last != "0\r\n\r\n");
    CheckSettled(fixture);
  }
}

TEST_CASE("a response that states more than the maximum fails, and a safe request is retried elsewhere") {
  for (const char* head : {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb2d05e00\r\n"}) {
    CAPTURE(head);
    ProxyFixture fixture;
    TestServer endless, other;
    fixture.SetEndpoints({&endless});
    TestConnection client = fixture.ConnectClient();
    client.Send(SafeRequest("a1"));
    TestConnection& at = fixture.WaitForRequest(endless, "a1");
    fixture.SetEndpoints({&other}, EndpointList::Kind::kDelta);
    at.Send(head + std::string(40 * 4096, 'x'));
    fixture.WaitUntil("it is closed", [&] { return at.IsClosed(); });
    fixture.WaitForRequest(other, "a1").Send(Response(200, "whole"));
    fixture.WaitForData(client, "whole");
    CHECK_FALSE(client.HasReceived("xxx"));
    CheckSettled(fixture);
  }
}

// ---- Connecting ----

// A connection attempt to a machine that has vanished gets no reply. Since nothing was written, even an
// unsafe request is retried elsewhere.
TEST_CASE("a connection attempt that times out is followed by an attempt at another server") {
  ProxyFixture fixture;
  fixture.upstream_pool.SetLimits({50 * kMs, kBound});
  TestServer hanging(false, true), other;
  fixture.SetEndpoints({&hanging});
  TestConnection client = fixture.ConnectClient();
  client.Send(UnsafeRequest("a1"));
  fixture.WaitUntil("a connection is being established",
                    [&] { return fixture.upstream_pool.connections() == 1; });
  fixture.SetEndpoints({&other}, EndpointList::Kind::kDelta);
  fixture.WaitForRequest(other, "a1").Send(Response(200, "one"));
  fixture.WaitForData(client, "one");
  CHECK(fixture.upstream_pool.connections() == 1);  // only the one to the other server
  CheckSettled(fixture);
}

// ---- Drain ----

// An attempt that is connecting to a draining server must not be retried on another server that drains by the
// same list.
TEST_CASE("attempts that are connecting when many servers drain go to the remaining server") {
  ProxyFixture fixture;
  TestServer hanging(false, true), staying;
  std::vector<TestServer> leaving(8);  // so many that the remaining one is not chosen by chance
  fixture.SetEndpoints({&hanging});
  TestConnection client = fixture.ConnectClient();
  client.Send(UnsafeRequest("a1"));
  fixture.WaitUntil("a connection is being established",
                    [&] { return fixture.upstream_pool.connections() == 1; });
  std::vector<TestServer*> all = {&hanging};
  for (TestServer& host : leaving) all.push_back(&host);
  fixture.SetEndpoints(all, EndpointList::Kind::kDelta);
  fixture.SetEndpoints({&staying}, EndpointList::Kind::kDelta);
  EndpointList list;
  list.kind = EndpointList::Kind::kDelta;
  for (TestServer* host : all) {
    EndpointEntry& entry = list.entries.emplace_back();
    entry.uid = "w" + std::to_string(host->port);
    entry.endpoint = host->endpoint();
    entry.zone = 0;
    entry.state = EndpointState::kDraining;
  }
  fixture.dispatcher.OnEndpointUpdate(list);
  fixture.WaitForRequest(staying, "a1").Send(Response(200, "one"));
  fixture.WaitForData(client, "one");
  for (TestServer& host : leaving) CHECK_FALSE(host.Accept());
  CheckSettled(fixture);
}

// ---- Two events in one round ----

// Both events are in the kernel before the event loop's next round, in each order. A connected client gets
// exactly one response, no state is left over, and an unsafe request was written completely only once.
TEST_CASE("two events in one round: one response, one outcome, and no repeated unsafe request") {
  enum End { kAnswer, kError, kReset, kClose, kFin, kRst, kDrain, kGone, kAll };
  for (int first = 0; first < kAll; ++first) {
    for (int second = 0; second < kAll; ++second) {
      if (first == second || ((first == kFin || first == kRst) && (second == kFin || second == kRst)))
        continue;
      for (bool unsafe : {false, true}) {
        CAPTURE(first);
        CAPTURE(second);
        CAPTURE(unsafe);
        ProxyFixture fixture(PollingSettings(10'000 * kMs));
        TestServer server, other;
        fixture.SetEndpoints({&server});
        fixture.discovery.Watch();
        WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=0")
            .Send(Response(200, R"({"rev":41,"all":false,"targets":[]})"));
        TestConnection& watch = WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=1000");
        TestConnection client = fixture.ConnectClient();
        client.Send(unsafe ? UnsafeRequest("a1") : SafeRequest("a1"));
        TestConnection* at = &fixture.WaitForRequest(server, "a1");
        fixture.SetEndpoints({&other}, EndpointList::Kind::kDelta);
        int rev = 42;
        bool disconnected = false, closed = false;
        auto listed = [&](const char* state) {
          watch.Send(Response(200, R"({"rev":)" + std::to_string(rev++) +
                                       R"(,"all":false,"targets":[{"uid":"w)" + std::to_string(server.port) +
                                       R"(","endpoint":"127.0.0.1:)" + std::to_string(server.port) +
                                       R"(","az":"here","state":")" + state + "\"}]}"));
        };
        for (int end : {first, second}) {
          if (end == kAnswer && !closed) at->Send(Response(200, "one"));
          if (end == kError && !closed) at->Send(Response(500));
          if (end == kReset && !closed) at->Reset(), closed = true;
          if (end == kClose && !closed) at->Close(), closed = true;
          if (end == kFin) client.Close(), disconnected = true;
          if (end == kRst) client.Reset(), disconnected = true;
          if (end == kDrain) listed("draining");
          if (end == kGone) listed("removed");
        }
        auto answered = [&] { return client.HasReceived("HTTP/1.1 ") && client.HasReceived("\r\n\r\n"); };
        bool server_unaffected =
            !closed && (first != kAnswer && second != kAnswer) && (first != kError && second != kError);
        if (disconnected) {
          fixture.WaitUntil("the disconnect is noticed",
                            [&] { return fixture.dispatcher.open_requests() == 0; });
        } else if (server_unaffected) {  // both events concern the list: the request continues
          for (int i = 0; i < 5; ++i) fixture.loop.RunOnce(0);
          at->Send(Response(200, "one"));
          fixture.WaitForData(client, "one");
        } else {
          fixture.WaitUntil("the request is answered by either server", [&] {
            other.Accept();
            for (TestConnection& connection : other.connections) {
              if (!connection.HasReceived("\r\n\r\n")) continue;
              CHECK_FALSE(unsafe);
              connection.text.clear();
              connection.Send(Response(200, "two"));
            }
            return answered();
          });
          CHECK(client.text.find("HTTP/1.1 ", 9) == std::string::npos);
        }
        CheckSettled(fixture);
      }
    }
  }
}

// ---- Shutdown ----

// Clients in the accept queue must not be reset when no descriptor was available for them.
TEST_CASE("during shutdown the listener stays open until clients in the accept queue are served") {
  ProxyFixture fixture(TestSettings(), kBound, 2, 0);
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection held = fixture.ConnectClient();
  held.Send(SafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  CHECK(fixture.descriptors.used() == 2);
  fixture.listener.Drain(fixture.loop.Now() + kBound);
  TestConnection waits = fixture.ConnectClient();
  waits.Send("GET /up HTTP/1.1\r\n\r\n");
  fixture.listener.Close();
  CHECK_FALSE(fixture.listener.closed());
  at.Send(Response(200, "one"));
  fixture.WaitForData(held, "one");
  held.Close();
  fixture.WaitUntil("the waiting client is answered", [&] {
    fixture.listener.Close();
    return waits.HasReceived("HTTP/1.1 503 ");
  });
  CHECK_FALSE(waits.reset);
  fixture.WaitUntil("the listener is closed", [&] {
    fixture.listener.Close();
    return fixture.listener.closed();
  });
}

// No request may still be queued when the platform kills the process.
TEST_CASE("requests during shutdown are answered before the process may be killed") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  fixture.listener.Drain(fixture.loop.Now() + 4'000 * kMs);
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  std::string text = fixture.WaitForRequest(server, "a1").text;
  CHECK(std::atol(text.c_str() + text.find("Request-Timeout: ") + 17) <= 4'000 * kMs);
  fixture.listener.Drain(fixture.loop.Now() - 1);  // already over: rejected immediately
  TestConnection late = fixture.ConnectClient();
  late.Send(SafeRequest("a2"));
  fixture.WaitForData(late, "HTTP/1.1 503 ");
  CHECK(late.HasReceived("Connection: close\r\n"));
}

// ---- Reload ----

// After a reload, new requests of a class have its new effect, and open ones keep the old one.
TEST_CASE("a class with a changed effect after a reload is served with its new effect") {
  ProxyFixture fixture;
  TestServer one, two;
  fixture.SetEndpoints({&one});
  TestConnection open = fixture.ConnectClient();
  open.Send(SafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(one, "a1");
  balancer::Settings changed = TestSettings();
  changed.classes[0].effect = balancer::Effect::kUnsafe;
  fixture.dispatcher.ApplySettings(changed, kTestClassNames);
  TestConnection old = fixture.ConnectClient();
  old.Send(SafeRequest("a2"));
  fixture.WaitForData(old, "HTTP/1.1 400 ");  // GET is not permitted for the class any more
  TestConnection client = fixture.ConnectClient();
  client.Send("POST /api HTTP/1.1\r\nRequest-Id: a3\r\nRequest-Class: check\r\nContent-Length: 2\r\n\r\nhi");
  TestConnection& unsafe = fixture.WaitForRequest(one, "a3");
  fixture.SetEndpoints({&two}, EndpointList::Kind::kDelta);
  unsafe.Reset();
  fixture.WaitForData(client, "HTTP/1.1 502 ");  // may have run: not retried
  CHECK_FALSE(two.Accept());
  for (TestConnection& connection : one.connections) {
    if (connection.HasReceived("Request-Id: a1")) connection.Reset();  // was safe on arrival: retried
  }
  (void)at;
  fixture.WaitForRequest(two, "a1").Send(Response(200, "one"));
  fixture.WaitForData(open, "one");
  CheckSettled(fixture);
}

}  // namespace
}  // namespace dappletiller::testing
