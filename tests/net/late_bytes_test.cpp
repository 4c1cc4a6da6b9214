// Late data: a request after SIGTERM, the rest of a request after its write timeout, a second response to an
// earlier request.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <csignal>
#include <string>

#include "program.hpp"
#include "support.hpp"

namespace dappletiller::testing {
namespace {

const std::string kLastBytes = "the last bytes";
const std::string kLargeBody = std::string(60'000, 'x') + kLastBytes;

void SetBufferSize(int fd, int which, int bytes) {
  REQUIRE(::setsockopt(fd, SOL_SOCKET, which, &bytes, sizeof bytes) == 0);
}

// The proxy runs in the test's process: finds its end of its only connection to a server.
int FindProxySocket(const TestServer& host) {
  int found = -1;
  for (int fd = 0; fd < 1024; ++fd) {
    sockaddr_in to{};
    socklen_t size = sizeof to;
    if (::getpeername(fd, reinterpret_cast<sockaddr*>(&to), &size) != 0) continue;
    if (to.sin_family != AF_INET || ntohs(to.sin_port) != host.port) continue;
    REQUIRE(found == -1);
    found = fd;
  }
  REQUIRE(found >= 0);
  return found;
}

// Bytes written by the proxy that the server's kernel has not acknowledged.
int Unsent(int fd) {
  int bytes = 0;
  REQUIRE(::ioctl(fd, SIOCOUTQ, &bytes) == 0);
  return bytes;
}

int Unread(int fd) {
  int bytes = 0;
  REQUIRE(::ioctl(fd, FIONREAD, &bytes) == 0);
  return bytes;
}

constexpr int kSmallBuffer = 4'096;    // smaller than a large body
constexpr int kLargeBuffer = 200'000;  // larger than a large body
constexpr int kMostlyUnsent = 30'000;  // far more than two small buffers hold

// ---- Shutdown ----

// During shutdown the process must answer before it ends. If this limit were passed to the module as the
// client's deadline, requests would look like late retries and be rejected while servers are idle.
TEST_CASE("a request after SIGTERM is forwarded, even if its class has a long timeout") {
  std::function<std::string(const std::string&)> request;
  SUBCASE("safe") {
    request = [](const std::string& id) { return SafeRequest(id); };
  }
  SUBCASE("unsafe") {
    request = [](const std::string& id) { return UnsafeRequest(id); };
  }
  constexpr Micros kTimeLeft = 3'600 * kMs;  // the time that the program allows itself
  ProxyFixture fixture;
  TestServer one, two;
  fixture.SetEndpoints({&one, &two});
  auto serve = [&](const std::string& id) {
    TestConnection client = fixture.ConnectClient();
    client.Send(request(id));
    TestConnection* at = nullptr;
    fixture.WaitUntil("the request is forwarded or answered", [&] {
      for (TestServer* host : {&one, &two}) {
        host->Accept();
        for (TestConnection& connection : host->connections) {
          if (connection.HasReceived("Request-Id: " + id + "\r\n") && connection.HasReceived("\r\n\r\n"))
            at = &connection;
        }
      }
      return at != nullptr || client.HasReceived("HTTP/1.1 ");
    });
    REQUIRE_MESSAGE(at != nullptr, client.text);
    at->Send(Response(200, "body of " + id));
    fixture.WaitForData(client, "body of " + id);
  };
  for (int i = 0; i < 4; ++i) serve("before" + std::to_string(i));
  fixture.listener.Drain(fixture.loop.Now() + kTimeLeft);
  for (int i = 0; i < 4; ++i) serve("after" + std::to_string(i));
  CheckSettled(fixture);
}

TEST_CASE("the program forwards a request received after SIGTERM and answers it") {
  ProxyFixture fixture;  // only for its bounded waits
  TestServer server;
  Program program(ProgramConfig(0, server.port));
  std::uint16_t port = ReadPort(fixture, program, "on port ");
  TestConnection before = TestConnection::Connect(port);
  before.Send(SafeRequest("before"));
  fixture.WaitForRequest(server, "before").Send(Response(200, "one"));
  fixture.WaitForData(before, "one");
  // Begins before the signal, so that the connection stays open, and is complete only after it.
  std::string request = SafeRequest("after");
  TestConnection client = TestConnection::Connect(port);
  client.Send(request.substr(0, 10));
  program.Signal(SIGTERM);
  fixture.WaitUntil("the shutdown has begun",
                    [&] { return program.ReadLog().find("leaving: ") != std::string::npos; });
  client.Send(request.substr(10));
  TestConnection* at = nullptr;
  fixture.WaitUntil("the request is forwarded or answered", [&] {
    server.Accept();
    for (TestConnection& connection : server.connections) {
      if (connection.HasReceived("Request-Id: after\r\n") && connection.HasReceived("\r\n\r\n"))
        at = &connection;
    }
    return at != nullptr || client.HasReceived("HTTP/1.1 ");
  });
  REQUIRE_MESSAGE(at != nullptr, client.text);
  at->Send(Response(200, "two"));
  fixture.WaitForData(client, "two");
  CHECK(program.Wait() == 0);
}

// ---- The rest of a request ----

std::string LargeOpen(const std::string& id) {
  return "POST /api?k=1 HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Class: open\r\nIdempotency-Key: k1\r\nRequest-Timeout: 15000m\r\nContent-Length: " +
         std::to_string(kLargeBody.size()) + "\r\n\r\n" + kLargeBody;
}

void SendAll(ProxyFixture& fixture, TestConnection& client, std::string_view bytes) {
  fixture.WaitUntil("everything is sent", [&] {
    bytes.remove_prefix(client.TrySend(bytes));
    return bytes.empty();
  });
}

// A keyed request that failed at one server and is retried at a second one, which does not read. `room` is
// the send buffer of the connection to the second server.
struct KeyedRetry {
  explicit KeyedRetry(int buffer_size) : fixture(RulesWithWindow()), client(fixture.ConnectClient()) {
    SetBufferSize(second.fd(), SO_RCVBUF, kSmallBuffer);  // inherited by what it accepts
    fixture.SetEndpoints({&first});
    SendAll(fixture, client, LargeOpen("a1"));
    TestConnection& at = fixture.WaitForRequest(first, "a1");
    sent_by = fixture.loop.Now();
    fixture.WaitForData(at, kLastBytes);
    fixture.SetEndpoints({&second}, EndpointList::Kind::kDelta);
    fixture.SetEndpoints({&first}, EndpointList::Kind::kDelta, EndpointState::kDraining);
    at.Send(Response(500));  // it may have run
    fixture.WaitUntil("the retry is connecting", [&] { return fixture.upstream_pool.connections() == 2; });
    WaitWithoutLoop("the connection is established", [&] { return second.Accept(); });
    proxy_socket = FindProxySocket(second);
    SetBufferSize(proxy_socket, SO_SNDBUF, buffer_size);
    fixture.WaitUntil("as much as possible is written", [&] { return Unsent(proxy_socket) > 0; });
    REQUIRE(fixture.loop.Now() < sent_by + kWindow);
  }
  TestConnection& server() { return second.connections[0]; }
  // The server reads and the send buffer is enlarged for the rest, while the event loop does not run.
  void ReadAndEnlargeBuffer() {
    SetBufferSize(proxy_socket, SO_SNDBUF, kLargeBuffer);
    WaitWithoutLoop("the data in the kernel is read",
                    [&] { return server().Received(), Unsent(proxy_socket) == 0; });
    REQUIRE_FALSE(server().HasReceived(kLastBytes));
  }
  static balancer::Settings RulesWithWindow() {
    balancer::Settings settings = TestSettings();
    settings.classes[2].key_lifetime = kWindow;
    return settings;
  }

  static constexpr Micros kWindow = 2'000 * kMs;
  ProxyFixture fixture;
  TestServer first, second;
  TestConnection client;
  Micros sent_by = 0;  // latest send time of the first attempt
  int proxy_socket = -1;
};

// After a stall, the process handles the writable event before the write timeout. If it wrote the rest, the
// server might run the request again, since the key has expired.
TEST_CASE(
    "the rest of a retry is not written after the key's lifetime, even if the socket becomes writable "
    "first") {
  KeyedRetry retry(kSmallBuffer);
  WaitWithoutLoop("the key's lifetime is over",
                  [&] { return retry.fixture.loop.Now() > retry.sent_by + KeyedRetry::kWindow; });
  retry.ReadAndEnlargeBuffer();
  retry.fixture.WaitForData(retry.client, "HTTP/1.1 502 ");
  retry.fixture.WaitUntil("the server sees the close", [&] { return retry.server().IsClosed(); });
  CHECK_FALSE(retry.server().HasReceived(kLastBytes));
  CheckSettled(retry.fixture);
}

// The same for a client whose disconnect is in the kernel behind the writable event.
TEST_CASE(
    "the rest of a request is not written after its client has disconnected, even if the socket is "
    "writable") {
  KeyedRetry retry(kSmallBuffer);
  retry.ReadAndEnlargeBuffer();
  retry.client.Close();
  retry.fixture.WaitUntil("the server sees the close", [&] { return retry.server().IsClosed(); });
  CHECK_FALSE(retry.server().HasReceived(kLastBytes));
  CheckSettled(retry.fixture);
}

// A request that the kernel has completely cannot be revoked: it counts as sent, even if the server reads it
// later, and its response is forwarded.
TEST_CASE("a retry that is completely in the kernel when the key expires counts as sent and continues") {
  KeyedRetry retry(kLargeBuffer);
  REQUIRE(Unsent(retry.proxy_socket) > kMostlyUnsent);
  retry.fixture.WaitUntil("the key's lifetime is over",
                          [&] { return retry.fixture.loop.Now() > retry.sent_by + KeyedRetry::kWindow; });
  for (int i = 0; i < 3; ++i) retry.fixture.loop.RunOnce(0);
  REQUIRE_FALSE(retry.client.HasReceived("HTTP/1.1 "));
  retry.fixture.WaitForData(retry.server(), kLastBytes);
  retry.server().Send(Response(200, "made of the repeat"));
  retry.fixture.WaitForData(retry.client, "made of the repeat");
  CheckSettled(retry.fixture);
}

// An attempt is cancelled by closing its connection. The kernel still delivers the data it has: the server
// receives the complete request, followed by the end of the stream.
TEST_CASE("a cancelled request that is completely in the kernel is delivered, followed by the close") {
  KeyedRetry retry(kLargeBuffer);
  REQUIRE(Unsent(retry.proxy_socket) > kMostlyUnsent);
  retry.client.Close();
  CheckSettled(retry.fixture);
  CHECK(retry.fixture.upstream_pool.connections() <= 1);  // the one to the first server may still be open
  retry.fixture.WaitUntil("the server sees the close", [&] { return retry.server().IsClosed(); });
  CHECK(retry.server().HasReceived(kLastBytes));
}

// ---- Second responses ----

// Serves one request; its connection stays open for reuse.
TestConnection& ServeFirst(ProxyFixture& fixture, TestServer& server, TestConnection& client) {
  client.Send(SafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  at.Send(Response(200, "made of the first"));
  fixture.WaitForData(client, "made of the first");
  CheckSettled(fixture);
  client.text.clear();
  return at;
}

// The connection is closed because of the unsolicited data, or the data is noticed when the connection would
// be reused.
TEST_CASE("a second response received before the next request is sent is dropped") {
  bool request_first = false;
  SUBCASE("the next request is processed first") { request_first = true; }
  SUBCASE("the second response is processed first") { request_first = false; }
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  TestConnection& at = ServeFirst(fixture, server, client);
  int proxy_socket = FindProxySocket(server);
  if (request_first) client.Send(UnsafeRequest("a2"));
  at.Send(Response(200, "made of the first"));
  WaitWithoutLoop("the second response is in the kernel", [&] { return Unread(proxy_socket) > 0; });
  if (!request_first) client.Send(UnsafeRequest("a2"));
  fixture.WaitForRequest(server, "a2").Send(Response(200, "made of the second"));
  fixture.WaitForData(client, "HTTP/1.1 200 ");
  fixture.WaitForData(client, "made of the second");
  CHECK_FALSE(client.HasReceived("made of the first"));
  CheckSettled(fixture);
}

// A server begins a request after its last byte, and its response acknowledges that byte. A response that is
// read while the byte is not acknowledged belongs to an earlier request, possibly of another client.
TEST_CASE("a second response that is read before the next request has arrived is dropped") {
  const std::string second = Response(200, "made of the first");
  std::size_t early = second.size();  // number of its bytes that are read before the request has arrived
  int buffer_size = kLargeBuffer;
  bool rest_waits = false;  // the rest of the request is still in the proxy
  SUBCASE("complete, and the request is completely written") {}
  SUBCASE("partial, and the request is completely written") { early = 20; }
  SUBCASE("partial, and the request is partially written") {
    early = 20;
    buffer_size = kSmallBuffer;
  }
  SUBCASE("partial, and the request is partially written and acknowledged") {
    early = 20;
    buffer_size = kSmallBuffer;
    rest_waits = true;
  }
  ProxyFixture fixture;
  TestServer server;
  SetBufferSize(server.fd(), SO_RCVBUF, kSmallBuffer);  // inherited by what it accepts
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  TestConnection& at = ServeFirst(fixture, server, client);
  int proxy_socket = FindProxySocket(server);
  SetBufferSize(proxy_socket, SO_SNDBUF, buffer_size);
  SendAll(fixture, client, UnsafeRequest("a2", kLargeBody));
  fixture.WaitUntil("as much as possible is written",
                    [&] { return Unsent(proxy_socket) > (buffer_size == kLargeBuffer ? kMostlyUnsent : 0); });
  if (rest_waits) {
    WaitWithoutLoop("the written data is read", [&] { return at.Received(), Unsent(proxy_socket) == 0; });
    REQUIRE(at.text.find(kLastBytes) == std::string::npos);
  }
  at.Send(second.substr(0, early));
  WaitWithoutLoop("the second response is in the kernel", [&] { return Unread(proxy_socket) > 0; });
  fixture.WaitUntil("the second response is read", [&] { return Unread(proxy_socket) == 0; });
  for (int i = 0; i < 3; ++i) fixture.loop.RunOnce(0);
  CHECK_FALSE(client.HasReceived("HTTP/1.1 "));
  fixture.WaitForData(at, kLastBytes);
  at.Send(second.substr(early) + Response(200, "made of the second"));
  fixture.WaitForData(client, "HTTP/1.1 200 ");
  fixture.WaitForData(client, "made of the second");
  CHECK_FALSE(client.HasReceived("made of the first"));
  CheckSettled(fixture);
}

// Nothing can follow the end of the stream, so the attempt must end, not wait until the deadline.
TEST_CASE(
    "a second response that ends with its stream before the next request has arrived ends the attempt") {
  ProxyFixture fixture;
  TestServer server;
  SetBufferSize(server.fd(), SO_RCVBUF, kSmallBuffer);  // inherited by what it accepts
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  TestConnection& at = ServeFirst(fixture, server, client);
  int proxy_socket = FindProxySocket(server);
  SetBufferSize(proxy_socket, SO_SNDBUF, kLargeBuffer);
  Micros begun = fixture.loop.Now();
  SendAll(fixture, client, UnsafeRequest("a2", kLargeBody));
  fixture.WaitUntil("the request is completely written",
                    [&] { return Unsent(proxy_socket) > kMostlyUnsent; });
  at.Send("HTTP/1.1 200 OK\r\n\r\nmade of the first");
  at.ShutdownWrite();
  fixture.WaitForData(client, "HTTP/1.1 502 ");      // it may have run
  CHECK(fixture.loop.Now() < begun + 10'000 * kMs);  // the request's timeout is 15 s
  CheckSettled(fixture);
}

}  // namespace
}  // namespace dappletiller::testing
