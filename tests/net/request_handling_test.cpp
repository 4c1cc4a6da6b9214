// Request handling over real sockets: forwarding, retries, timeouts, invalid input, limits on connections,
// discovery, shutdown and reload.
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <string>

#include "http/parser.hpp"
#include "program.hpp"
#include "support.hpp"

namespace dappletiller::testing {
namespace {

// Waits for the first connection to one of two servers and returns that server.
TestServer* WaitForFirstServer(ProxyFixture& fixture, TestServer& one, TestServer& two) {
  TestServer* first = nullptr;
  fixture.WaitUntil("a server is connected", [&] {
    first = one.Accept() ? &one : two.Accept() ? &two : nullptr;
    return first != nullptr;
  });
  return first;
}

TEST_CASE("a request is served with the server's response, and connections are reused on both sides") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  for (const char* id : {"a1", "a2", "a3"}) {
    client.Send(SafeRequest(id));
    TestConnection& at = fixture.WaitForRequest(server, id);
    CHECK(at.HasReceived("GET /api?k=1 HTTP/1.1\r\n"));
    at.text.clear();
    at.Send(Response(200, std::string("body of ") + id, "Cache-Result: hit\r\n"));
    fixture.WaitForData(client, std::string("body of ") + id);
    CHECK(client.HasReceived("Cache-Result: hit\r\n"));
    client.text.clear();
  }
  CHECK(server.connections.size() == 1);
  CHECK(fixture.listener.connections() == 1);
  CheckSettled(fixture);
}

TEST_CASE("the forwarded request states the time that is left") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  const std::string& text = fixture.WaitForRequest(server, "a1").text;
  std::size_t at = text.find("Request-Timeout: ");
  REQUIRE(at != std::string::npos);
  CHECK(text.find("Request-Timeout: ", at + 1) == std::string::npos);
  long micros = std::atol(text.c_str() + at + 17);
  CHECK(micros > 0);
  CHECK(micros <= 15'000'000);
}

TEST_CASE("a request rejected by a server is served by another, and the client does not see the rejection") {
  for (int status : {503, 504}) {
    ProxyFixture fixture;
    TestServer one, two;
    fixture.SetEndpoints({&one, &two});
    TestConnection client = fixture.ConnectClient();
    client.Send(UnsafeRequest("a1"));
    TestServer* first = WaitForFirstServer(fixture, one, two);
    fixture.WaitForRequest(*first, "a1").Send(Response(status, "", "Not-Started: 1\r\n"));
    TestConnection& second = fixture.WaitForRequest(first == &one ? two : one, "a1");
    // The module must receive one outcome for each attempt: another report about the first is ignored.
    fixture.dispatcher.OnAttemptEnded({1, 0}, AttemptOutcome::kError, nullptr);
    second.Send(Response(200, "paid"));
    fixture.WaitForData(client, "paid");
    CHECK_FALSE(client.HasReceived("Not-Started"));
    CheckSettled(fixture);
  }
}

TEST_CASE("a request that cannot be served is rejected immediately, without the server's response") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  client.Send(UnsafeRequest("a1"));
  Micros request = fixture.loop.Now();
  fixture.WaitForRequest(server, "a1").Send(Response(503, "mine", "Not-Started: 1\r\n"));
  fixture.WaitForData(client, "\r\n\r\n");
  CHECK(client.HasReceived("HTTP/1.1 503 "));
  CHECK_FALSE(client.HasReceived("mine"));
  CHECK(fixture.loop.Now() < request + 15'000 * kMs);  // long before the client's timeout
  CheckSettled(fixture);
}

TEST_CASE("an unsafe request that may have run is never retried") {
  struct {
    const char* what;
    void (*end)(TestConnection&);
  } cases[] = {
      {"an error", [](TestConnection& p) { p.Send(Response(500)); }},
      {"a 503 without Not-Started", [](TestConnection& p) { p.Send(Response(503)); }},
      {"a close without a response", [](TestConnection& p) { p.Close(); }},
      {"a reset", [](TestConnection& p) { p.Reset(); }},
      {"a truncated response",
       [](TestConnection& p) { p.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal"), p.Close(); }},
      {"rubbish", [](TestConnection& p) { p.Send("rubbish\r\n\r\n"); }}};
  for (const auto& c : cases) {
    INFO(std::string(c.what));
    ProxyFixture fixture;
    TestServer one, two;
    fixture.SetEndpoints({&one, &two});
    TestConnection client = fixture.ConnectClient();
    client.Send(UnsafeRequest("a1"));
    TestServer* first = WaitForFirstServer(fixture, one, two);
    c.end(fixture.WaitForRequest(*first, "a1"));
    fixture.WaitForData(client, "HTTP/1.1 502 ");
    CheckSettled(fixture);
    CHECK_FALSE(one.Accept());
    CHECK_FALSE(two.Accept());
  }
}

// Each request must count against the quota of its own tenant, not of the first one.
TEST_CASE("a request counts against the quota of its tenant") {
  balancer::Settings settings = TestSettings();
  settings.tenants = {{0, 0.001}, {0, 1000}};  // only one request of t0 is within its quota
  settings.over_quota_weight = 0;
  ProxyFixture fixture(settings);
  TestServer server;
  fixture.SetEndpoints({&server});
  auto call = [&](const std::string& id, const std::string& tenant) {
    TestConnection client = fixture.ConnectClient();
    client.Send(SafeRequest(id, "Work-Hint: 1000000\r\nTenant: " + tenant + "\r\n"));
    return client;
  };
  TestConnection first = call("a1", "t0");
  fixture.WaitForRequest(server, "a1");
  TestConnection beyond = call("a2", "t0");  // a wait of a second is too long for a request of weight 0
  fixture.WaitForData(beyond, "HTTP/1.1 503 ");
  TestConnection other = call("a3", "t1");
  fixture.WaitForRequest(server, "a3");
  TestConnection doubled = call("a4", "t1\r\nTenant: t0");
  fixture.WaitForData(doubled, "HTTP/1.1 400 ");
}

TEST_CASE("a request to an unreachable server is served by another") {
  ProxyFixture fixture;
  TestServer dead, alive;
  fixture.SetEndpoints({&dead, &alive});
  dead.Close();
  for (const char* id : {"a1", "a2"}) {
    TestConnection client = fixture.ConnectClient();
    client.Send(UnsafeRequest(id));
    fixture.WaitForRequest(alive, id).Send(Response(200, "paid"));
    fixture.WaitForData(client, "paid");
  }
  CheckSettled(fixture);
}

// An unsafe request must not be written to a connection that the server has closed. The second request
// arrives before the event loop could have noticed the close.
TEST_CASE("a connection closed by the server while idle is not reused") {
  for (bool abort : {false, true}) {
    ProxyFixture fixture;
    TestServer server;
    fixture.SetEndpoints({&server});
    RecordingSink sink;
    Micros deadline = fixture.loop.Now() + 15'000 * kMs;
    fixture.dispatcher.OnRequest(fixture.dispatcher.NewRequestId(),
                                 {1, -1, deadline, {}, false, ParseRequest(UnsafeRequest("a1"))}, sink);
    TestConnection& first = fixture.WaitForRequest(server, "a1");
    first.Send(Response(200, "one"));
    fixture.WaitUntil("the request is served", [&] { return sink.served == 1; });
    abort ? first.Reset() : first.Close();
    fixture.dispatcher.OnRequest(fixture.dispatcher.NewRequestId(),
                                 {1, -1, deadline, {}, false, ParseRequest(UnsafeRequest("a2"))}, sink);
    fixture.WaitForRequest(server, "a2").Send(Response(200, "two"));
    fixture.WaitUntil("the second request is served", [&] { return sink.served == 2; });
    CHECK(sink.other == 0);
    CHECK(server.connections.size() == 2);
    CheckSettled(fixture);
  }
}

// Servers may drop idle connections early without notice. A request on such a connection would be reset, and
// an unsafe one would fail.
TEST_CASE("connections are not reused after idle times that break them") {
  ProxyFixture fixture;
  TestServer server;
  fixture.upstream_pool.SetEndpoint(1, server.endpoint());
  int broken = 0;
  for (RequestId i = 0; i < 12; ++i) {  // bypasses the dispatcher, since the module would back off the server
    std::string id = "a" + std::to_string(i);
    std::size_t before = server.connections.size();
    fixture.upstream_pool.Start({{1000 + i, 0}, 1, kBound, ParseRequest(UnsafeRequest(id))});
    TestConnection& at = fixture.WaitForRequest(server, id);
    bool fresh = server.connections.size() > before;
    broken += !fresh;
    fresh ? at.Send(Response(200, "paid")) : at.Reset();
    Micros rested = fixture.loop.Now() + 150 * kMs;
    fixture.WaitUntil("the connection has been idle", [&] { return fixture.loop.Now() > rested; });
    fixture.WaitUntil("its close is noticed",
                      [&] { return fixture.upstream_pool.connections() == (fresh ? 1 : 0); });
  }
  CHECK(broken >= 1);
  CHECK(broken <= 4);  // the idle times may fall into two adjacent buckets
}

TEST_CASE("an idle connection is closed before the server would close it") {
  ProxyFixture fixture(TestSettings(), 50 * kMs);
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  at.Send(Response(200, "one"));
  fixture.WaitUntil("the proxy closes it", [&] { return at.IsClosed(); });
  CHECK(fixture.upstream_pool.connections() == 0);
}

TEST_CASE("when a client disconnects, its attempt is cancelled by closing the connection") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  client.Close();
  fixture.WaitUntil("the server sees the close", [&] { return at.IsClosed(); });
  CheckSettled(fixture);
  CHECK(fixture.listener.connections() == 0);
}

TEST_CASE("a request has one final response by its deadline, and a late response is dropped") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  client.Send(
      "GET /api HTTP/1.1\r\nRequest-Id: a1\r\nRequest-Class: check\r\nRequest-Timeout: 1500m\r\n\r\n");
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  fixture.WaitForData(client, "\r\n\r\n");
  at.Send(Response(200, "past it"));
  CheckSettled(fixture);
  fixture.WaitUntil("the connection to the server is closed", [&] { return at.IsClosed(); });
  CHECK_FALSE(client.HasReceived("past it"));
  CHECK(client.text.find("HTTP/1.1 ", 9) == std::string::npos);
}

TEST_CASE("a draining or removed server gets no new requests, and its open ones continue") {
  for (bool full : {false, true}) {
    ProxyFixture fixture;
    TestServer leaving, staying;
    fixture.SetEndpoints({&leaving});
    TestConnection client = fixture.ConnectClient();
    client.Send(SafeRequest("a1"));
    TestConnection& at = fixture.WaitForRequest(leaving, "a1");
    if (full) {
      fixture.SetEndpoints({&staying}, EndpointList::Kind::kSnapshot);
    } else {
      fixture.SetEndpoints({&leaving}, EndpointList::Kind::kDelta, EndpointState::kDraining);
      fixture.SetEndpoints({&staying}, EndpointList::Kind::kDelta);
    }
    TestConnection other = fixture.ConnectClient();
    for (const char* id : {"a2", "a3", "a4", "a5"}) {  // enough for the rotation to reach the other server
      other.Send(SafeRequest(id));
      fixture.WaitForRequest(staying, id).Send(Response(200, id));
      fixture.WaitForData(other, std::string("\r\n\r\n") + id);
    }
    at.Send(Response(200, "one"));
    fixture.WaitForData(client, "one");
    CheckSettled(fixture);
  }
}

// A connection that is established late must not be used to send after the drain window. The event loop has
// had no chance to notice that it is established before the drain.
TEST_CASE("attempts still connecting when a server drains, is removed or moves are sent elsewhere") {
  for (int how : {0, 1, 2}) {
    CAPTURE(how);
    ProxyFixture fixture;
    TestServer leaving, staying, elsewhere;
    fixture.SetEndpoints({&leaving});
    RecordingSink sink;
    Micros deadline = fixture.loop.Now() + 15'000 * kMs;
    fixture.dispatcher.OnRequest(fixture.dispatcher.NewRequestId(),
                                 {1, -1, deadline, {}, false, ParseRequest(UnsafeRequest("a1"))}, sink);
    if (how == 0) {
      fixture.SetEndpoints({&staying}, EndpointList::Kind::kDelta);
      fixture.SetEndpoints({&leaving}, EndpointList::Kind::kDelta, EndpointState::kDraining);
    } else if (how == 1) {
      fixture.SetEndpoints({&staying}, EndpointList::Kind::kSnapshot);
    } else {
      fixture.SetEndpoints({&staying}, EndpointList::Kind::kDelta);
      EndpointList moved;
      moved.kind = EndpointList::Kind::kDelta;
      moved.entries.resize(1);
      moved.entries[0].uid = "w" + std::to_string(leaving.port);
      moved.entries[0].endpoint = elsewhere.endpoint();
      moved.entries[0].zone = 0;
      fixture.dispatcher.OnEndpointUpdate(moved);
    }
    fixture.WaitForRequest(staying, "a1").Send(Response(200, "one"));
    fixture.WaitUntil("the request is served", [&] { return sink.served == 1; });
    CHECK(sink.other == 0);
    leaving.Accept();
    for (TestConnection& connection : leaving.connections) CHECK(connection.Received().empty());
    CheckSettled(fixture);
  }
}

TEST_CASE("a server keeps its identity when its address changes") {
  ProxyFixture fixture;
  TestServer before, after;
  EndpointList list;
  list.kind = EndpointList::Kind::kSnapshot;
  list.entries.resize(1);
  list.entries[0].uid = "s-1";
  list.entries[0].zone = 0;
  for (TestServer* host : {&before, &after}) {
    list.entries[0].endpoint = host->endpoint();
    fixture.dispatcher.OnEndpointUpdate(list);
    TestConnection client = fixture.ConnectClient();
    client.Send(SafeRequest("a1"));
    fixture.WaitForRequest(*host, "a1").Send(Response(200, "here"));
    fixture.WaitForData(client, "here");
  }
}

// Start times in the endpoint list are Unix time; if the clocks differed, a starting server would look warmed
// up.
TEST_CASE("the loop's clock can be compared with Unix time and never goes back") {
  EventLoop loop;
  Micros off = loop.Now() - static_cast<Micros>(std::time(nullptr)) * 1'000'000;
  CHECK(off > -60'000 * kMs);
  CHECK(off < 60'000 * kMs);
  Micros before = loop.Now();
  CHECK(loop.Now() >= before);
}

TEST_CASE("large bodies are forwarded completely through partial reads and writes in both directions") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  std::string body(64 * 1024, 'x');
  body.back() = 'z';
  for (int i = 0; i < 20; ++i) {
    std::string id = "a" + std::to_string(i);
    TestConnection client = fixture.ConnectClient();
    std::string request = UnsafeRequest(id, body);
    for (std::size_t at = 0; at < request.size(); at += 30'000) {
      client.Send(std::string_view(request).substr(at, 30'000));
      fixture.loop.RunOnce(0);
    }
    TestConnection& at = fixture.WaitForRequest(server, id);
    fixture.WaitUntil("the server has received all of it", [&] { return at.HasReceived("z"); });
    CHECK(at.text.substr(at.text.find("\r\n\r\n") + 4) == body);
    at.text.clear();
    at.Send(Response(200, body));
    fixture.WaitForData(client, "z");
    CHECK(client.text.substr(client.text.find("\r\n\r\n") + 4) == body);
  }
  CHECK(server.connections.size() == 1);
}

TEST_CASE("invalid input gets an error status and a close, and the proxy continues") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  struct {
    std::string bytes;
    const char* status;
    bool closes;
  } cases[] = {
      {"rubbish\r\n\r\n", "400", true},
      {"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "413", true},
      {"GET / HTTP/1.1\r\nA: " + std::string(20'000, 'x'), "431", true},
      {"GET / HTTP/1.1\r\nRequest-Id: 1\r\n\r\n", "400", false},
      {"GET / HTTP/1.1\r\nRequest-Class: check\r\n\r\n", "400", false},
      {"GET / HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Class: odd\r\n\r\n", "400", false},
      {"GET / HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Class: pay\r\nRequest-Timeout: 5s\r\n\r\n", "400", false},
      {"BREW / HTTP/1.1\r\n\r\n", "405", false}};
  for (const auto& c : cases) {
    INFO(c.bytes.substr(0, 60));
    TestConnection client = fixture.ConnectClient();
    client.Send(c.bytes);
    fixture.WaitForData(client, std::string("HTTP/1.1 ") + c.status);
    if (c.closes) fixture.WaitUntil("the proxy closes the connection", [&] { return client.IsClosed(); });
    if (c.closes) CHECK(client.HasReceived("Connection: close\r\n"));
  }
  TestConnection client = fixture.ConnectClient();
  client.Send("GET /up HTTP/1.1\r\n\r\n");
  fixture.WaitForData(client, "HTTP/1.1 200 ");
  CHECK_FALSE(server.Accept());
}

// Clients must not hold a connection by sending nothing or little: only the first byte of a request restarts
// the timeout.
TEST_CASE("clients that send nothing, or little at a time, are disconnected") {
  ProxyFixture fixture;
  TestConnection silent = fixture.ConnectClient();
  TestConnection slow = fixture.ConnectClient();
  TestConnection served = fixture.ConnectClient();
  served.Send("GET /up HTTP/1.1\r\n\r\n");
  slow.Send("GET / HTTP/1.1\r\n");
  Micros last_sent_at = 0;
  fixture.WaitUntil("the silent clients are disconnected", [&] {
    if (!slow.IsClosed() && fixture.loop.Now() > last_sent_at + 20 * kMs)
      slow.Send("x"), last_sent_at = fixture.loop.Now();
    return silent.IsClosed() && served.IsClosed() && slow.HasReceived("HTTP/1.1 408 ");
  });
  CHECK(served.HasReceived("HTTP/1.1 200 "));
  CHECK(silent.text.empty());
}

// Requests that a server would have to reject must not be forwarded, nor two open requests with the same id.
TEST_CASE("inconsistent or conflicting requests get an error and are not forwarded") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection first = fixture.ConnectClient();
  first.Send(SafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  std::string key = "Idempotency-Key: 5\r\n";
  auto post = [](const std::string& c, const std::string& more) {
    return "POST /api HTTP/1.1\r\nRequest-Id: b1\r\nRequest-Class: " + c + "\r\n" + more + "\r\n";
  };
  struct {
    std::string bytes;
    const char* status;
  } cases[] = {{SafeRequest("a1"), "409"},
               {UnsafeRequest("a1"), "409"},
               {post("check", ""), "400"},
               {post("pay", key), "400"},
               {post("open", ""), "400"},
               {post("open", key + key), "400"},
               {SafeRequest("b1", key), "400"},
               {SafeRequest("b1", "Request-Id: b2\r\n"), "400"},
               {SafeRequest("b1", "Request-Class: pay\r\n"), "400"},
               {SafeRequest("b1", "Content-Length: 2\r\n") + "hi", "400"},
               {"GET api HTTP/1.1\r\nRequest-Id: b1\r\nRequest-Class: check\r\n\r\n", "400"}};
  for (const auto& c : cases) {
    INFO(c.bytes);
    TestConnection client = fixture.ConnectClient();
    client.Send(c.bytes);
    fixture.WaitForData(client, std::string("HTTP/1.1 ") + c.status);
    fixture.WaitUntil("the proxy closes the connection", [&] { return client.IsClosed(); });
  }
  CHECK_FALSE(server.Accept());
  at.Send(Response(200, "one"));
  fixture.WaitForData(first, "one");
  TestConnection again = fixture.ConnectClient();  // an id can be reused after its request has ended
  again.Send(SafeRequest("a1", "Request-Timeout: 1\r\n"));
  fixture.WaitForData(again, "HTTP/1.1 400 ");
  first.Send(
      "GET /api HTTP/1.1\r\nRequest-Id: a1\r\nRequest-Class: check\r\nRequest-Timeout: 999999999m\r\n\r\n");
  at.text.clear();
  std::size_t told = fixture.WaitForRequest(server, "a1").text.find("Request-Timeout: ");
  CHECK(std::atol(at.text.c_str() + told + 17) <= kBound);  // limited to the timeout of its class
}

// A huge body must be discarded in large reads, to save processor time. If it were not read at all, a reset
// would destroy the response.
TEST_CASE("an oversized body is answered immediately and discarded in large reads") {
  ProxyFixture fixture;
  TestConnection client = fixture.ConnectClient();
  client.Send("POST / HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
  fixture.WaitForData(client, "HTTP/1.1 413 ");
  const std::string piece(64 * 1024, 'x');
  for (int i = 0; i < 32; ++i) {  // more than 32 rounds of eight small reads could discard
    client.Send(piece);
    fixture.loop.RunOnce(0);
  }
  fixture.WaitUntil("the proxy closes the connection", [&] { return client.IsClosed(); });
  CHECK_FALSE(client.reset);
}

TEST_CASE("Expect: 100-continue is answered") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  client.Send(
      "POST /api HTTP/1.1\r\nRequest-Id: a1\r\nRequest-Class: pay\r\nExpect: 100-continue\r\nContent-Length: "
      "2\r\n\r\n");
  fixture.WaitForData(client, "HTTP/1.1 100 ");
  client.Send("hi");
  fixture.WaitForRequest(server, "a1").Send(Response(200, "done"));
  fixture.WaitForData(client, "done");
}

// No single client, nor many, may take all descriptors.
TEST_CASE("at the limit on connections an idle one is closed and busy ones stay") {
  ProxyFixture fixture(TestSettings(), kBound, 4, 0);
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection busy = fixture.ConnectClient();
  busy.Send(SafeRequest("a1"));
  fixture.WaitForRequest(server, "a1");  // a downstream and an upstream connection
  TestConnection idle = fixture.ConnectClient();
  fixture.WaitUntil("both are accepted", [&] { return fixture.listener.connections() == 2; });
  CHECK(fixture.descriptors.used() == 3);
  TestConnection third = fixture.ConnectClient();
  third.Send(SafeRequest("a2"));
  fixture.WaitForRequest(server, "a2");
  fixture.WaitUntil("the idle client is disconnected", [&] { return idle.IsClosed(); });
  TestConnection fourth = fixture.ConnectClient();  // waits until a busy connection is closed
  fourth.Send("GET /up HTTP/1.1\r\n\r\n");
  for (int i = 0; i < 5; ++i) fixture.loop.RunOnce(0);
  CHECK(fixture.listener.connections() == 2);
  busy.Close();
  fixture.WaitForData(fourth, "HTTP/1.1 200 ");
  CHECK_FALSE(third.IsClosed());
}

// Many silent clients must not displace connections to servers, which cost a handshake.
TEST_CASE("at the limit idle clients are closed before idle connections to servers") {
  ProxyFixture fixture(TestSettings(), kBound, 6, 0);
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  fixture.WaitForRequest(server, "a1").Send(Response(200, "one"));
  fixture.WaitForData(client, "one");
  std::vector<TestConnection> client_connections;
  for (int i = 0; i < 12; ++i) {
    client_connections.push_back(fixture.ConnectClient());
    fixture.loop.RunOnce(0);
  }
  fixture.WaitUntil("the first of them are disconnected",
                    [&] { return client_connections[0].IsClosed() && client_connections[4].IsClosed(); });
  CHECK(fixture.upstream_pool.connections() == 1);
  CHECK(fixture.descriptors.used() <= 6);
}

// The tables must not grow as servers are replaced.
TEST_CASE("a removed server is forgotten, and its last response is still delivered") {
  ProxyFixture fixture;
  TestServer first;
  fixture.SetEndpoints({&first}, EndpointList::Kind::kSnapshot);
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(first, "a1");
  for (int i = 0; i < 20; ++i) {
    TestServer next;
    fixture.SetEndpoints({&next}, EndpointList::Kind::kSnapshot);
    if (i % 2 == 0) fixture.SetEndpoints({&next}, EndpointList::Kind::kDelta, EndpointState::kRemoved);
    CHECK(fixture.dispatcher.known_servers() <= 1);
    CHECK(fixture.upstream_pool.pools() <= 1);
  }
  at.Send(Response(200, "late but good"));
  fixture.WaitForData(client, "late but good");
  CHECK(fixture.upstream_pool.connections() == 0);
  CheckSettled(fixture);
}

// Requests must not wait unanswered in the kernel: some connections are reserved for clients.
TEST_CASE("without a free upstream connection a request is rejected immediately") {
  ProxyFixture fixture(TestSettings(), kBound, 4, 2);
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection one = fixture.ConnectClient();
  one.Send(SafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  for (const char* id : {"a2", "a3"}) {
    TestConnection next = fixture.ConnectClient();
    next.Send(SafeRequest(id));
    fixture.WaitForData(next, "HTTP/1.1 503 ");
  }
  at.Send(Response(200, "one"));
  fixture.WaitForData(one, "one");
  CheckSettled(fixture);
}

TEST_CASE("during shutdown new clients are served and asked to close, and open requests are finished") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection held = fixture.ConnectClient();
  TestConnection idle = fixture.ConnectClient();
  held.Send(SafeRequest("a1"));
  fixture.WaitForRequest(server, "a1");
  fixture.listener.Drain(fixture.loop.Now() + kBound);
  TestConnection late = fixture.ConnectClient();
  late.Send(SafeRequest("a2"));
  fixture.WaitForRequest(server, "a2").Send(Response(200, "two"));
  fixture.WaitForData(late, "two");
  CHECK(late.HasReceived("Connection: close\r\n"));
  fixture.WaitUntil("all are accepted",
                    [&] { return late.IsClosed() && fixture.listener.connections() >= 2; });
  TestConnection begun =
      fixture.ConnectClient();  // its request is in the kernel when the proxy stops accepting
  begun.Send(SafeRequest("a3"));
  fixture.listener.Close();
  fixture.WaitUntil("the idle client is disconnected", [&] { return idle.IsClosed(); });
  fixture.WaitForRequest(server, "a3").Send(Response(200, "three"));
  fixture.WaitForData(begun, "three");
  fixture.WaitForRequest(server, "a1").Send(Response(200, "one"));
  fixture.WaitForData(held, "one");
  CHECK(held.HasReceived("Connection: close\r\n"));
  held.Close(), begun.Close(), late.Close();
  fixture.WaitUntil("all are disconnected", [&] { return fixture.listener.connections() == 0; });
}

balancer::Settings PollingSettings() {
  balancer::Settings s = TestSettings();
  s.endpoints_on_request = true;
  s.poll_interval = 1'000 * kMs;
  return s;
}

TEST_CASE("a watch continues from the last version") {
  ProxyFixture fixture(PollingSettings());
  TestServer server;
  fixture.SetEndpoints({});
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  std::string entry = R"({"uid":"s-1","endpoint":"127.0.0.1:)" + std::to_string(server.port) +
                      R"(","az":"here","model":"plain","state":"up","boot_ms":0})";
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=0")
      .Send(Response(200, R"({"rev":43,"all":false,"targets":[)" + entry + "]}"));
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=43&wait_ms=500")
      .Send(Response(200, R"({"rev":43,"all":false,"targets":[]})"));
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=43&wait_ms=500");
  CHECK(fixture.discovery_server.connections.size() == 1);
  fixture.WaitForRequest(server, "a1").Send(Response(200, "found"));
  fixture.WaitForData(client, "found");
}

// Each kind of failed discovery request must be followed by another request.
TEST_CASE("a failed watch is retried") {
  ProxyFixture fixture(PollingSettings());
  fixture.SetEndpoints({});
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=0").Send(Response(503));
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=0").Reset();
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=0").Send(Response(200, "{]"));
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=0").Close();
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=0").Send("nonsense\r\n\r\n");
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=0");
}

std::string ListEntry(const std::string& uid, const TestServer& at, const std::string& state = "up") {
  return R"({"uid":")" + uid + R"(","endpoint":"127.0.0.1:)" + std::to_string(at.port) +
         R"(","az":"here","model":"plain","state":")" + state + R"(","boot_ms":0})";
}

// Where lists are pushed, the module issues no Watch action, so the agent must be followed without one, also
// after each kind of failure. Otherwise the proxy would miss drains.
TEST_CASE("a pushed list is followed from the start without a Watch action, and after failures") {
  ProxyFixture fixture(TestSettings(), kBound, 64, 8, 64, true);
  TestServer leaving, staying;
  const std::string first = "/discovery/hosts?after=41&wait_ms=0";
  WaitForDiscoveryRequest(fixture, first).Send(Response(503));
  WaitForDiscoveryRequest(fixture, first).Reset();
  WaitForDiscoveryRequest(fixture, first).Send(Response(200, "{]"));
  WaitForDiscoveryRequest(fixture, first).Close();
  WaitForDiscoveryRequest(fixture, first)
      .Send(Response(200, R"({"rev":43,"all":true,"targets":[)" + ListEntry("a", leaving) + "]}"));
  TestConnection& watch = WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=43&wait_ms=1000");
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  fixture.WaitForRequest(leaving, "a1").Send(Response(200, "one"));
  fixture.WaitForData(client, "one");
  // After the drain, the next request goes to the other server.
  watch.Send(Response(200, R"({"rev":44,"all":false,"targets":[)" + ListEntry("a", leaving, "draining") +
                               "," + ListEntry("b", staying) + "]}"));
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=44&wait_ms=1000");
  for (const char* id : {"a2", "a3", "a4"}) {
    client.Send(SafeRequest(id));
    fixture.WaitForRequest(staying, id).Send(Response(200, id));
    fixture.WaitForData(client, std::string("\r\n\r\n") + id);
  }
}

// A failure of discovery must not affect requests, nor undo earlier changes.
TEST_CASE(
    "while discovery fails, requests are served with the known list, and drained servers stay drained") {
  ProxyFixture fixture(PollingSettings());
  TestServer stays;
  TestServer drains;
  fixture.SetEndpoints({&stays, &drains});
  fixture.SetEndpoints({&drains}, EndpointList::Kind::kDelta, EndpointState::kDraining);
  fixture.discovery_server.Close();  // connections are refused from now on
  for (int i = 1; i <= 8; ++i) {
    std::string id = "b" + std::to_string(i);
    TestConnection client = fixture.ConnectClient();
    client.Send(SafeRequest(id));
    fixture.WaitForRequest(stays, id).Send(Response(200, "served " + id));
    fixture.WaitForData(client, "served " + id);
  }
  CHECK_FALSE(drains.Accept());
}

TEST_CASE("a fetch requests a snapshot, and an outdated one is ignored") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  fixture.discovery.Fetch();
  WaitForDiscoveryRequest(fixture, "/discovery/hosts")
      .Send(Response(200, R"({"rev":40,"all":true,"targets":[]})"));
  fixture.discovery.Fetch();
  for (int i = 0; i < 5; ++i) fixture.loop.RunOnce(0);
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  fixture.WaitForRequest(server, "a1").Send(Response(200, "still there"));
  fixture.WaitForData(client, "still there");
}

// The list of a large fleet must be accepted. Snapshots above 64 KiB, about 400 servers, were rejected as
// malformed.
TEST_CASE("a snapshot of 17,000 servers is applied, and a delta after it") {
  ProxyFixture fixture(PollingSettings());
  TestServer first, second;
  fixture.SetEndpoints({});
  std::string list;
  for (int i = 0; i < 16'999; ++i) {
    list +=
        R"({"uid":"away-)" + std::to_string(i) +
        R"(","endpoint":"127.0.0.2:1","az":"here","model":"plain","pod_group":7,"state":"draining","boot_ms":0},)";
  }
  std::string whole =
      Response(200, R"({"rev":43,"all":true,"targets":[)" + list + ListEntry("a", first) + "]}");
  REQUIRE(whole.size() > http::kMaxBodySize);
  TestConnection& discovery = WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=0");
  std::string_view left = whole;
  fixture.WaitUntil("everything is written", [&] {
    left.remove_prefix(discovery.TrySend(left));
    return left.empty();
  });
  TestConnection& watch = WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=43&wait_ms=500");
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  fixture.WaitForRequest(first, "a1").Send(Response(200, "one"));
  fixture.WaitForData(client, "one");
  watch.Send(Response(200, R"({"rev":44,"all":false,"targets":[)" + ListEntry("a", first, "draining") + "," +
                               ListEntry("b", second) + "]}"));
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=44&wait_ms=500");
  client.Send(SafeRequest("a2"));
  fixture.WaitForRequest(second, "a2").Send(Response(200, "two"));
  fixture.WaitForData(client, "two");
}

TEST_CASE("changes of a discovery whose versions begin anew are followed by a snapshot") {
  ProxyFixture fixture(PollingSettings());
  TestServer first, second;
  fixture.SetEndpoints({});
  TestConnection& begun = WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=0");
  begun.Send(Response(200, R"({"rev":43,"all":true,"targets":[)" + ListEntry("a", first) + "]}"));
  TestConnection& watch = WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=43&wait_ms=500");
  watch.Send(Response(200, R"({"rev":2,"all":false,"targets":[]})"));
  TestConnection& whole = WaitForDiscoveryRequest(fixture, "/discovery/hosts");
  whole.Send(Response(200, R"({"rev":2,"all":true,"targets":[)" + ListEntry("b", second) + "]}"));
  WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=2&wait_ms=500");
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  fixture.WaitForRequest(second, "a1").Send(Response(200, "one"));
  fixture.WaitForData(client, "one");
}

// After a reload with a new discovery address the proxy must follow that address, or it would miss drains.
TEST_CASE("when discovery moves, a snapshot is requested from the new address and the old one is dropped") {
  ProxyFixture fixture(PollingSettings());
  TestServer before, after, elsewhere;
  fixture.SetEndpoints({&before});
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  TestConnection& open = fixture.WaitForRequest(before, "a1");
  TestConnection& old = WaitForDiscoveryRequest(fixture, "/discovery/hosts?after=41&wait_ms=0");
  fixture.discovery.MoveTo(elsewhere.endpoint(), "elsewhere");
  fixture.WaitUntil("the old connection is closed", [&] { return old.IsClosed(); });
  auto request = [&](const std::string& target) {
    fixture.WaitUntil(target.c_str(), [&] {
      elsewhere.Accept();
      return !elsewhere.connections.empty() &&
             elsewhere.connections.back().HasReceived("GET " + target + " HTTP/1.1\r\n");
    });
    elsewhere.connections.back().text.clear();
    return &elsewhere.connections.back();
  };
  request("/discovery/hosts")
      ->Reset();  // requests a snapshot again, since no version of the new address is known yet
  std::string entry = R"({"uid":"s-1","endpoint":"127.0.0.1:)" + std::to_string(after.port) +
                      R"(","az":"here","model":"plain","state":"up","boot_ms":0})";
  request("/discovery/hosts")->Send(Response(200, R"({"rev":3,"all":true,"targets":[)" + entry + "]}"));
  request("/discovery/hosts?after=3&wait_ms=500");
  TestConnection next = fixture.ConnectClient();
  for (const char* id : {"a2", "a3"}) {
    next.Send(SafeRequest(id));
    fixture.WaitForRequest(after, id).Send(Response(200, id));
    fixture.WaitForData(next, std::string("\r\n\r\n") + id);
  }
  open.Send(Response(200, "held on"));
  fixture.WaitForData(client, "held on");
}

// A handler may remove the receiver of an event that was fetched in the same round.
TEST_CASE("no event reaches a removed handler, and timers end with their owners") {
  EventLoop loop;
  struct Sink final : EventHandler {
    void OnReady(std::uint32_t) override {
      ++called;
      if (other != nullptr) loop->Unwatch(other->token, other->fd.get());
    }
    EventLoop* loop = nullptr;
    Sink* other = nullptr;
    FileDescriptor fd;
    EventLoop::WatchId token = 0;
    int called = 0;
  };
  Sink a, b;
  a.loop = b.loop = &loop;
  a.other = &b, b.other = &a;
  int ends[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
  a.fd = FileDescriptor(ends[0]), b.fd = FileDescriptor(ends[1]);
  a.token = loop.Watch(a.fd.get(), &a), b.token = loop.Watch(b.fd.get(), &b);
  loop.NotifyAgain(a.token, 1), loop.NotifyAgain(b.token, 1);
  int fired = 0;
  {
    Timer timer(loop);
    timer.Set(0, [&] { ++fired; });
  }
  for (int i = 0; i < 3; ++i) loop.RunOnce(0);
  CHECK((a.called == 0 || b.called == 0));
  CHECK(a.called + b.called > 0);
  CHECK(fired == 0);
}

TEST_CASE("the log is rate-limited and counts the dropped lines") {
  std::FILE* file = std::tmpfile();
  Log log(file, "x");
  for (int i = 0; i < 5'000; ++i) log.Info("line %d", i);
  long size = std::ftell(file);
  CHECK(size > 100);
  CHECK(size < 20'000);
  // Important lines are not subject to the limit.
  log.Important("started as %s", "x");
  CHECK(std::ftell(file) > size + 10);
  std::fclose(file);
}

// ---- The program itself ----

TEST_CASE("the program serves, and after SIGTERM finishes open requests and exits with 0") {
  TestServer server;
  Program program(ProgramConfig(0, server.port));
  ProxyFixture fixture;  // only for its bounded waits
  fixture.WaitUntil("the program is running",
                    [&] { return program.ReadLog().find("servers known\n") != std::string::npos; });
  std::string log = program.ReadLog();
  auto port = static_cast<std::uint16_t>(std::atoi(log.c_str() + log.find("port ") + 5));
  TestConnection client = TestConnection::Connect(port);
  client.Send("GET /up HTTP/1.1\r\n\r\n");
  fixture.WaitForData(client, "HTTP/1.1 200 ");
  client.Send(SafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  program.Signal(SIGTERM);
  fixture.WaitUntil("the shutdown has begun",
                    [&] { return program.ReadLog().find("leaving") != std::string::npos; });
  at.Send(Response(200, "finished"));
  fixture.WaitForData(client, "finished");
  CHECK(client.HasReceived("Connection: close\r\n"));
  client.Close();
  CHECK(program.Wait() == 0);
}

TEST_CASE("the program follows the agent if the settings say that lists are pushed") {
  TestServer server, agent;
  Program program(ProgramConfig(0, server.port, agent.port, "push"));
  ProxyFixture fixture;  // only for its bounded waits
  fixture.WaitUntil("the agent receives a request", [&] {
    agent.Accept();
    return !agent.connections.empty() &&
           agent.connections[0].HasReceived("GET /discovery/hosts?after=1&wait_ms=0 HTTP/1.1\r\n");
  });
  program.Signal(SIGTERM);
  CHECK(program.Wait() == 0);
}

// A reload must not end the program or its open requests.
TEST_CASE("SIGHUP: an invalid file changes nothing, a valid one moves discovery, and requests stay open") {
  TestServer server, discovery_server;
  Program program(ProgramConfig(0, server.port));
  ProxyFixture fixture;  // only for its bounded waits
  auto wait_for_log = [&](const char* text) {
    fixture.WaitUntil(text, [&] { return program.ReadLog().find(text) != std::string::npos; });
  };
  wait_for_log("servers known\n");
  std::string start = program.ReadLog();
  TestConnection client =
      TestConnection::Connect(static_cast<std::uint16_t>(std::atoi(start.c_str() + start.find("port ") + 5)));
  client.Send(SafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  // Empty, truncated, or with a value that is not positive: each changes nothing and reports the problem.
  std::string good = ProgramConfig(0, server.port);
  auto with = [&](const std::string& from, const std::string& to) {
    std::string text = good;
    return text.replace(text.find(from), from.size(), to);
  };
  for (const auto& [broken, named] : std::vector<std::pair<std::string, std::string>>{
           {"", "config.json is empty"},
           {"{\"name\":", "not JSON"},
           {with("\"giveUp\":20000000", "\"giveUp\":0"), "class 0 has no aim or no giveUp"},
           {with("\"maxAttempts\":5", "\"maxAttempts\":0"), "limits.maxAttempts is out of range"}}) {
    CAPTURE(named);
    program.Write(broken);
    program.Signal(SIGHUP);
    wait_for_log(named.c_str());
  }
  wait_for_log("reload: the old configuration stays");
  program.Write(ProgramConfig(0, server.port, discovery_server.port));
  program.Signal(SIGHUP);
  wait_for_log("reload: done, discovery moves to");
  fixture.WaitUntil("the new discovery receives a request", [&] {
    discovery_server.Accept();
    return !discovery_server.connections.empty() &&
           discovery_server.connections[0].HasReceived("GET /discovery/hosts HTTP/1.1\r\n");
  });
  at.Send(Response(200, "kept"));
  fixture.WaitForData(client, "kept");
  program.Signal(SIGTERM);
  CHECK(program.Wait() == 0);
}

// Signals during the start must not terminate the process by their default action. They are processed after
// the start, all in one read.
TEST_CASE("signals received during the start are processed after it") {
  TestServer server;
  std::string config = ProgramConfig(0, server.port);
  Program program(config, {}, true);
  program.WriteConfigToPipe(config, [&] {
    program.Signal(SIGHUP);
    program.Signal(SIGTERM);
    program.Signal(SIGTERM);
  });
  ProxyFixture fixture;  // only for its bounded waits
  fixture.WaitUntil("the program is running",
                    [&] { return program.ReadLog().find("servers known\n") != std::string::npos; });
  program.WriteConfigToPipe(config);  // for the reload
  CHECK(program.Wait() == 0);
  std::string log = program.ReadLog();
  CHECK(log.find("reload: done") != std::string::npos);
  CHECK(log.find("leaving: ") != std::string::npos);
}

// The shutdown must not wait for a request whose client has disconnected.
TEST_CASE(
    "after SIGTERM, a client that pipelines a request and disconnects has its request cancelled, and the "
    "program exits") {
  TestServer server;
  std::string config = ProgramConfig(0, server.port);
  std::string patient = "\"giveUp\":20000000";
  config.replace(config.find(patient), patient.size(), "\"giveUp\":600000000");
  Program program(config);
  ProxyFixture fixture;  // only for its bounded waits
  fixture.WaitUntil("the program is running",
                    [&] { return program.ReadLog().find("servers known\n") != std::string::npos; });
  std::string log = program.ReadLog();
  TestConnection client =
      TestConnection::Connect(static_cast<std::uint16_t>(std::atoi(log.c_str() + log.find("port ") + 5)));
  client.Send("GET /api HTTP/1.1\r\nRequest-Id: a1\r\nRequest-Class: check\r\n\r\n");
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  program.Signal(SIGTERM);
  fixture.WaitUntil("the shutdown has begun",
                    [&] { return program.ReadLog().find("leaving") != std::string::npos; });
  client.Send(SafeRequest("a2"));
  client.Close();
  fixture.WaitUntil("the server sees the close", [&] { return at.IsClosed(); });
  CHECK(program.Wait() == 0);
  CHECK_FALSE(server.Accept());  // the pipelined request is not forwarded either
}

TEST_CASE("a failed start is reported in one line") {
  TestServer taken;
  for (const std::string& config :
       {std::string("{"), std::string("{\"name\":\"n0\"}"), ProgramConfig(taken.port, 1)}) {
    Program program(config);
    CHECK(program.Wait() == 1);
    std::string log = program.ReadLog();
    CHECK(log.find("cannot start: ") != std::string::npos);
    CHECK(std::count(log.begin(), log.end(), '\n') == 1);
  }
}

// ---- Upgrades and the console, with the program itself ----

// Sends a console request on a new connection; returns the status code.
int SendToConsole(ProxyFixture& fixture, std::uint16_t port, const std::string& line) {
  TestConnection sink = TestConnection::Connect(port);
  sink.Send(line + " HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.WaitUntil("the console responds", [&] { return sink.IsClosed(); });
  return sink.text.size() > 12 ? std::atoi(sink.text.c_str() + 9) : 0;
}

// The platform's listening socket, which each process inherits.
struct Platform {
  std::vector<std::pair<std::string, std::string>> Env(const std::string& tmp) const {
    return {{"BALANCER_SOCKET_FD", std::to_string(socket.fd())},
            {"BALANCER_CONSOLE", "127.0.0.1:0"},
            {"TMPDIR", tmp}};
  }
  TestServer socket{true};
};

// With as many clients, servers and console connections as permitted, the process must stay below its limit
// on descriptors and still be able to reopen its watch.
TEST_CASE(
    "the limit on descriptors holds with as many clients, servers and console connections as permitted") {
  TestServer server;
  std::string config = ProgramConfig(0, server.port);
  std::string limit = "\"sockets\":256";
  config.replace(config.find(limit), limit.size(), "\"sockets\":64");
  Program program(config, {{"BALANCER_CONSOLE", "127.0.0.1:0"}});
  ProxyFixture fixture;  // only for its bounded waits
  std::uint16_t console = ReadPort(fixture, program, "console on port ");
  std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  std::vector<TestConnection> client_connections, console_connections;
  for (int i = 0; i < 80; ++i) {
    client_connections.push_back(TestConnection::Connect(port));
    client_connections.back().Send(SafeRequest("a" + std::to_string(i)));
  }
  fixture.WaitUntil("all connections are in use",
                    [&] { return program.ReadLog().find("connections in use") != std::string::npos; });
  for (int i = 0; i < 40; ++i) console_connections.push_back(TestConnection::Connect(console));
  CHECK(SendToConsole(fixture, console, "GET /_ready") ==
        200);  // the connections before it have been accepted
  CHECK(program.Descriptors() <= 64);
  CHECK(program.ReadLog().find("accept failed") == std::string::npos);
}

TEST_CASE(
    "upgrade: detach, a successor on the same socket, attach there; and a successor that cannot start") {
  TestServer server;
  Platform platform;
  char tmp[] = "/tmp/dappletiller-up-XXXXXX";
  REQUIRE(::mkdtemp(tmp) != nullptr);
  ProxyFixture fixture;  // only for its bounded waits
  auto first = std::make_unique<Program>(ProgramConfig(1, server.port), platform.Env(tmp));
  std::uint16_t console = ReadPort(fixture, *first, "console on port ");
  CHECK(SendToConsole(fixture, console, "GET /_ready") == 200);
  TestConnection client =
      TestConnection::Connect(platform.socket.port);  // served through the platform's socket
  client.Send(SafeRequest("u1"));
  TestConnection& at = fixture.WaitForRequest(server, "u1");
  at.Send(Response(200, "on the platform's socket"));
  fixture.WaitForData(client, "on the platform's socket");
  client.Close();
  CHECK(SendToConsole(fixture, console, "PUT /_plan-servers/detach?who=nobody") == 404);
  CHECK(SendToConsole(fixture, console, "PUT /_plan-servers/detach?who=s") == 200);
  CHECK(SendToConsole(fixture, console, "PUT /_plan-servers/detach?who=s") == 200);
  // /up follows each change of the lame-duck mode.
  for (const char* turn : {"on", "off", "on", "off"}) {
    CAPTURE(turn);
    CHECK(SendToConsole(fixture, console, std::string("PUT /_lameduck/") + turn) == 200);
    TestConnection probe = TestConnection::Connect(platform.socket.port);
    probe.Send("GET /up HTTP/1.1\r\n\r\n");
    fixture.WaitForData(probe, std::string(turn) == "on" ? "HTTP/1.1 503" : "HTTP/1.1 200");
  }

  // A successor without a valid listening socket exits with one line; the first process continues.
  {
    auto broken = platform.Env(tmp);
    broken[0].second = "2";  // standard error is no socket
    Program failed(ProgramConfig(1, server.port), broken);
    CHECK(failed.Wait() == 1);
    CHECK(failed.ReadLog().find("cannot start: BALANCER_SOCKET_FD") != std::string::npos);
  }
  CHECK(SendToConsole(fixture, console, "GET /_ready") == 200);

  Program second(ProgramConfig(1, server.port), platform.Env(tmp));
  std::uint16_t next = ReadPort(fixture, second, "console on port ");
  CHECK(SendToConsole(fixture, next, "GET /_ready") == 200);
  first->Signal(SIGTERM);
  CHECK(first->Wait() == 0);
  first.reset();
  // The successor knows that the server is drained, so attach has an effect.
  CHECK(SendToConsole(fixture, next, "PUT /_plan-servers/attach?who=s") == 200);
  fixture.WaitUntil("the server is undrained",
                    [&] { return second.ReadLog().find("undrained by the operators") != std::string::npos; });
  second.Signal(SIGTERM);
  CHECK(second.Wait() == 0);
  std::remove((std::string(tmp) + "/dappletiller-n0.held.json").c_str());
  ::rmdir(tmp);
}

}  // namespace
}  // namespace dappletiller::testing
