// Each accepted request ends in one complete response: with slow clients, with servers that fail during the
// response, and when the connection or the process ends right after it.
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "program.hpp"
#include "support.hpp"

namespace dappletiller::testing {
namespace {

constexpr int kSmallBuffer = 4096;
constexpr std::size_t kPiece = 4096;

// A body that is much larger than small buffers.
std::string LongBody() { return std::string(60'000, 'x') + "z"; }

// Replaces the listening socket by one with small kernel send buffers, so that the proxy has to keep most of
// a response until the client reads.
void ServeThroughSmallBuffers(ProxyFixture& fixture) {
  TestServer host;
  REQUIRE(::setsockopt(host.fd(), SOL_SOCKET, SO_SNDBUF, &kSmallBuffer, sizeof kSmallBuffer) == 0);
  fixture.listener.StopAccepting();
  fixture.listener.Inherit(::dup(host.fd()));
}

bool IsComplete(const TestConnection& client, std::string_view body) {
  return client.text.find(body) != std::string::npos;
}

// Reads a piece of the response every `pause` until it is complete or the connection is closed. Returns how
// long that took.
Micros ReadSteadily(ProxyFixture& fixture, TestConnection& client, std::string_view body, Micros pause) {
  Micros began = fixture.loop.Now();
  Micros next = began;
  fixture.WaitUntil("the response is complete or truncated", [&] {
    if (fixture.loop.Now() >= next) {
      client.Receive(kPiece);
      next = fixture.loop.Now() + pause;
    }
    return client.closed || IsComplete(client, body);
  });
  return fixture.loop.Now() - began;
}

// ---- Slow clients ----

// If the write timeout ran from the start of writing, the proxy would truncate the response. The client never
// pauses for as long as the timeout, but takes far longer in total.
TEST_CASE("a client that reads slowly but steadily gets the complete response") {
  constexpr Micros kWriteTimeout = 1'000 * kMs;
  ProxyFixture fixture(TestSettings(), kBound, 64, 8, 64, false, kWriteTimeout);
  ServeThroughSmallBuffers(fixture);
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = TestConnection::Connect(fixture.listener.port(), kSmallBuffer);
  client.Send(SafeRequest("a1"));
  fixture.WaitForRequest(server, "a1").Send(Response(200, LongBody()));
  Micros took = ReadSteadily(fixture, client, LongBody(), kWriteTimeout / 8);
  CHECK(IsComplete(client, LongBody()));
  CHECK(took > kWriteTimeout);  // otherwise the test would prove nothing
}

// Otherwise such a client would hold a connection forever.
TEST_CASE("a client that reads nothing is disconnected, and can detect it") {
  constexpr Micros kWriteTimeout = 100 * kMs;
  ProxyFixture fixture(TestSettings(), kBound, 64, 8, 64, false, kWriteTimeout);
  ServeThroughSmallBuffers(fixture);
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = TestConnection::Connect(fixture.listener.port(), kSmallBuffer);
  client.Send(SafeRequest("a1"));
  fixture.WaitForRequest(server, "a1").Send(Response(200, LongBody()));
  fixture.WaitUntil("the connection is closed", [&] { return fixture.listener.connections() == 0; });
  fixture.WaitUntil("the client has noticed the close", [&] { return client.IsClosed(); });
  CHECK(client.HasReceived("Content-Length: " + std::to_string(LongBody().size()) + "\r\n"));
  CHECK_FALSE(IsComplete(client, LongBody()));
}

// The proxy has written the whole response and its kernel still holds most of it. If the connection were
// closed by the linger or idle timeout, the client's next bytes would cause a reset and the rest would be
// lost.
TEST_CASE("a response in the kernel's buffer is not lost when the client sends data meanwhile") {
  constexpr Micros kLingerTimeout = 600 * kMs;
  constexpr Micros kIdleTimeout = 2'100 * kMs;  // of the listener
  bool last = false;
  SUBCASE("the last response on a connection") { last = true; }
  SUBCASE("a response on a connection that stays open") { last = false; }
  const Micros ends_after = last ? kLingerTimeout : kIdleTimeout;
  ProxyFixture fixture(TestSettings(), kBound, 64, 8, 64, false, kBound, kLingerTimeout);
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = TestConnection::Connect(fixture.listener.port(), kSmallBuffer);
  client.Send(SafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  if (last) fixture.listener.Drain(fixture.loop.Now() + kBound);
  at.Send(Response(200, LongBody()));
  const Micros sends_at = fixture.loop.Now() + ends_after + ends_after / 4;
  bool log = false;
  Micros next = 0;
  fixture.WaitUntil("the response is complete or truncated", [&] {
    Micros now = fixture.loop.Now();
    if (now >= next) {
      client.Receive(kPiece);
      next = now + (log ? 0 : ends_after / 8);
    }
    if (!log && now >= sends_at) {
      CHECK_FALSE(IsComplete(client, LongBody()));
      client.Send("GET /up HTTP/1.1\r\n\r\n");
      log = true;
    }
    return client.closed || IsComplete(client, LongBody());
  });
  CHECK(log);
  CHECK(IsComplete(client, LongBody()));
  CHECK(client.HasReceived("Connection: close\r\n") == last);
  if (!last) return fixture.WaitForData(client, "\r\n\r\nup");
  fixture.WaitUntil("the connection is closed after the client has everything",
                    [&] { return fixture.listener.connections() == 0; });
}

// ---- Servers that fail during the response ----

// The partial response is useless, and a retry is not permitted or there is no time for it. The request must
// still end in one response by its deadline.
TEST_CASE("a truncated response without length ends in one final response if no retry is possible") {
  enum class NoRetryReason { kUnsafe, kNoMoreAttempts, kNextIsSilent, kPastDeadline };
  constexpr int kWithin = 1'000;  // milliseconds
  for (NoRetryReason why : {NoRetryReason::kUnsafe, NoRetryReason::kNoMoreAttempts,
                            NoRetryReason::kNextIsSilent, NoRetryReason::kPastDeadline}) {
    CAPTURE(static_cast<int>(why));
    bool at_once = why == NoRetryReason::kUnsafe || why == NoRetryReason::kNoMoreAttempts;
    balancer::Settings settings = TestSettings();
    if (why == NoRetryReason::kNoMoreAttempts) settings.max_attempts = 1;
    ProxyFixture fixture(settings);
    TestServer server, other;
    fixture.SetEndpoints({&server});
    TestConnection client = fixture.ConnectClient();
    client.Send(why == NoRetryReason::kUnsafe ? UnsafeRequest("a1")
                : at_once                     ? SafeRequest("a1")
                                              : SafeRequestWithTimeout("a1", kWithin));
    TestConnection& at = fixture.WaitForRequest(server, "a1");
    fixture.SetEndpoints({&other}, EndpointList::Kind::kDelta);
    at.Send("HTTP/1.1 200 OK\r\n\r\nmade so far");
    at.Reset();
    Micros cut = fixture.loop.Now();
    if (why == NoRetryReason::kNextIsSilent) fixture.WaitForRequest(other, "a1");
    // The reset and the deadline are processed in the same round.
    while (why == NoRetryReason::kPastDeadline && fixture.loop.Now() < cut + kWithin * kMs)
      ::poll(nullptr, 0, 1);
    fixture.WaitForData(client, "\r\n\r\n");
    if (at_once) CHECK(fixture.loop.Now() < cut + 5'000 * kMs);  // its deadline is 15 s away
    CheckSettled(fixture);
    bool final = client.HasReceived("HTTP/1.1 502 ") || client.HasReceived("HTTP/1.1 503 ");
    CHECK(final);
    CHECK(client.text.find("HTTP/1.1 ", 9) == std::string::npos);
    CHECK_FALSE(client.HasReceived("made"));
    if (why != NoRetryReason::kNextIsSilent) CHECK_FALSE(other.Accept());
  }
}

// The clock step of the settings is the margin for the client: a failure sent at the deadline itself would be
// too late. It is long here, so that the load of the machine does not matter.
TEST_CASE("the failure of an unsafe request whose attempt hangs is sent in time") {
  constexpr int kWithin = 1'000;  // milliseconds
  for (bool partial_response : {false, true}) {
    CAPTURE(partial_response);
    balancer::Settings settings = TestSettings();
    settings.clock_step = 500 * kMs;
    ProxyFixture fixture(settings);
    TestServer server, other;
    fixture.SetEndpoints({&server});
    TestConnection client = fixture.ConnectClient();
    client.Send(UnsafeRequestWithTimeout("a1", kWithin));
    Micros deadline = fixture.loop.Now() + kWithin * kMs;
    TestConnection& at = fixture.WaitForRequest(server, "a1");
    fixture.SetEndpoints({&other}, EndpointList::Kind::kDelta);
    if (partial_response) at.Send("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nmade so far");
    fixture.WaitForData(client, "HTTP/1.1 502 ");
    CHECK(fixture.loop.Now() < deadline);
    CHECK_FALSE(client.HasReceived("made"));
    CheckSettled(fixture);
    CHECK_FALSE(other.Accept());
  }
}

// ---- Connections that end with their response ----

// A complete pipelined request has been accepted. A response with Connection: close would leave it
// unanswered.
TEST_CASE("a complete pipelined request is answered before the connection ends") {
  enum class CloseReason { kDrain, kLameDuck, kNoSlot };
  CloseReason how = CloseReason::kDrain;
  SUBCASE("the process shuts down") { how = CloseReason::kDrain; }
  SUBCASE("lame-duck mode") { how = CloseReason::kLameDuck; }
  SUBCASE("all connection slots are in use") { how = CloseReason::kNoSlot; }
  // The proxy has either read it before the previous response, or it is only in the kernel.
  for (bool read : {true, false}) {
    CAPTURE(read);
    ProxyFixture fixture(TestSettings(), kBound, 64, 8, how == CloseReason::kNoSlot ? 1 : 64);
    TestServer server;
    fixture.SetEndpoints({&server});
    TestConnection busy = fixture.ConnectClient();
    busy.Send(SafeRequest("b1"));
    fixture.WaitForRequest(server, "b1");
    TestConnection client = fixture.ConnectClient();
    client.Send(SafeRequest("a1") + (read ? SafeRequest("a2") : ""));
    TestConnection& at = fixture.WaitForRequest(server, "a1");
    if (how == CloseReason::kDrain) fixture.listener.Drain(fixture.loop.Now() + kBound);
    if (how == CloseReason::kLameDuck) fixture.listener.SetLameDuck(true);
    at.Send(Response(200, "one"));
    if (!read) client.Send(SafeRequest("a2"));  // noticed after the response
    fixture.WaitForRequest(server, "a2").Send(Response(200, "two"));
    fixture.WaitForData(client, "two");
    CHECK(client.HasReceived("Connection: close\r\n"));
    CHECK(client.text.find("Connection: close\r\n") > client.text.find("one"));
  }
}

// Its first request may be on the way.
TEST_CASE("a new connection is still served when idle ones are closed") {
  bool lame_duck = false;
  SUBCASE("the process shuts down") { lame_duck = false; }
  SUBCASE("lame-duck mode") { lame_duck = true; }
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  if (lame_duck) {
    fixture.WaitUntil("the connection is accepted", [&] { return fixture.listener.connections() == 1; });
    fixture.listener.SetLameDuck(true);
  } else {
    fixture.listener.Close();
    REQUIRE(fixture.listener.closed());
  }
  client.Send(SafeRequest("a1"));
  fixture.WaitForRequest(server, "a1").Send(Response(200, "one"));
  fixture.WaitForData(client, "one");
  CHECK(client.HasReceived("Connection: close\r\n"));
}

// Operators count a connection that is idle 4 s after the drain as a request that was lost.
TEST_CASE("a connection whose response had begun before a drain is held idle after it") {
  constexpr Micros kNoneIdleAfter = 4'050 * kMs;  // every time limit is 50 ms longer
  constexpr Micros kLate = 2'800 * kMs;           // the usual idle time is over only after the limit
  std::string head = "HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\n";
  std::string body(100'000, 'x');
  std::string request = SafeRequest("a1");
  bool reads_slowly = false;
  SUBCASE("with a length") {}
  SUBCASE("in chunks") {
    head = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
    body = "186a0\r\n" + body + "\r\n0\r\n\r\n";
  }
  SUBCASE("short, without a length") {
    head = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
    body = "3\r\nabc\r\n0\r\n\r\n";
  }
  SUBCASE("its client reads the last bytes late") { reads_slowly = true; }
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  if (reads_slowly) ServeThroughSmallBuffers(fixture);
  TestConnection client = TestConnection::Connect(fixture.listener.port(), reads_slowly ? kSmallBuffer : 0);
  client.Send(request);
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  at.Send(head);
  fixture.WaitForData(client, "\r\n\r\n");
  const Micros drained = fixture.loop.Now();
  fixture.listener.SetLameDuck(true);
  std::size_t sent = 0;
  fixture.WaitUntil("the response ends late", [&] {
    if (reads_slowly || fixture.loop.Now() > drained + kLate) {
      sent += at.TrySend(std::string_view(body).substr(sent));
    }
    if (fixture.loop.Now() > drained + kLate) client.Received();
    return client.IsClosed() || fixture.loop.Now() > drained + kNoneIdleAfter;
  });
  CHECK(client.closed);
  CHECK_FALSE(client.reset);
  CHECK(client.text.size() >= head.size() + body.size());
}

TEST_CASE("a connection that comes after a drain is held idle") {
  constexpr Micros kNoneIdleAfter = 4'050 * kMs;
  ProxyFixture fixture;
  const Micros drained = fixture.loop.Now();
  fixture.listener.SetLameDuck(true);
  fixture.WaitUntil("a while is over", [&] { return fixture.loop.Now() > drained + 2'800 * kMs; });
  TestConnection client = fixture.ConnectClient();
  fixture.WaitUntil("the connection is closed",
                    [&] { return client.IsClosed() || fixture.loop.Now() > drained + kNoneIdleAfter; });
  CHECK(client.closed);
}

TEST_CASE("the end of a drain leaves connections open") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  at.Send("HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\n");
  fixture.WaitForData(client, "\r\n\r\n");
  fixture.listener.SetLameDuck(true);
  fixture.listener.SetLameDuck(false);
  at.Send(std::string(100'000, 'x'));
  fixture.WaitUntil("the response is whole", [&] { return client.Received().size() > 100'000; });
  const Micros until = fixture.loop.Now() + 500 * kMs;
  fixture.WaitUntil("a while is over", [&] { return fixture.loop.Now() > until; });
  CHECK_FALSE(client.IsClosed());
}

// ---- Shutdown ----

// A listening socket for the program with small send buffers.
struct SmallSocket {
  SmallSocket() {
    REQUIRE(::setsockopt(host.fd(), SOL_SOCKET, SO_SNDBUF, &kSmallBuffer, sizeof kSmallBuffer) == 0);
  }
  std::vector<std::pair<std::string, std::string>> Env() const {
    return {{"BALANCER_SOCKET_FD", std::to_string(host.fd())}};
  }
  TestServer host{true};
};

void UntilUp(ProxyFixture& fixture, Program& program) {
  fixture.WaitUntil("the program is running",
                    [&] { return program.ReadLog().find("servers known\n") != std::string::npos; });
}

// The platform kills the process 3.7 s after the signal, regardless of open requests. The bound is larger for
// the sake of busy machines, and far below the request's timeout of 15 s.
constexpr Micros kEndsWithin = 6'000 * kMs;

// If the process were killed with the request open, there would be no response.
TEST_CASE("a request with a deadline after the end of the process is answered before it") {
  TestServer server;
  Program program(ProgramConfig(0, server.port));
  ProxyFixture fixture;  // only for its bounded waits
  std::uint16_t port = ReadPort(fixture, program, " on port ");
  UntilUp(fixture, program);
  TestConnection client = TestConnection::Connect(port);
  client.Send(SafeRequest("a1"));
  fixture.WaitForRequest(server, "a1");  // never answers
  Micros signalled = fixture.loop.Now();
  program.Signal(SIGTERM);
  fixture.WaitForData(client, "\r\n\r\n");
  CHECK(client.HasReceived("HTTP/1.1 502 "));
  CHECK(client.HasReceived("Connection: close\r\n"));
  CHECK(program.Wait() == 0);
  CHECK(fixture.loop.Now() < signalled + kEndsWithin);
}

// Otherwise such a client would delay the exit until the platform kills the process.
TEST_CASE("a client that reads nothing does not delay the shutdown") {
  TestServer server;
  SmallSocket socket;
  Program program(ProgramConfig(1, server.port), socket.Env());
  ProxyFixture fixture;  // only for its bounded waits
  UntilUp(fixture, program);
  TestConnection client = TestConnection::Connect(socket.host.port, kSmallBuffer);
  client.Send(SafeRequest("a1"));
  TestConnection& at = fixture.WaitForRequest(server, "a1");
  at.Send(Response(200, LongBody()));
  fixture.WaitUntil("the response has begun", [&] { return client.Receive(1), !client.text.empty(); });
  Micros signalled = fixture.loop.Now();
  program.Signal(SIGTERM);
  CHECK(program.Wait() == 0);
  CHECK(fixture.loop.Now() < signalled + kEndsWithin);
}

}  // namespace
}  // namespace dappletiller::testing
