// Long bodies are forwarded completely while memory for them is available, and rejected otherwise.
#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/memory_budget.hpp"
#include "http/parser.hpp"
#include "support.hpp"

namespace dappletiller::testing {
namespace {

constexpr std::size_t kLong = 100 * 1024;                         // a long body
constexpr std::size_t kBeyondUsual = kLong - http::kMaxBodySize;  // its part of the shared memory

ProxyFixture FixtureWithMemory(std::size_t long_body_memory) {
  return ProxyFixture(TestSettings(), kBound, 64, 8, 64, false, kBound, 1'000 * kMs, long_body_memory);
}

// No two parts are equal, so that missing or repeated pieces are detected.
std::string LongBody(std::size_t size, char first) {
  std::string body;
  for (std::size_t i = 0; body.size() < size; ++i) body += std::string(1, first) + std::to_string(i) + ",";
  body.resize(size);
  return body;
}

void SendAll(ProxyFixture& fixture, TestConnection& connection, const std::string& bytes) {
  std::string_view remaining = bytes;
  fixture.WaitUntil("everything is written", [&] {
    remaining.remove_prefix(connection.TrySend(remaining));
    return remaining.empty();
  });
}

const std::string kChunkedHead = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kLastChunk = "0\r\n\r\n";

std::string Chunk(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

std::string Chunked(const std::string& body) {
  std::string text = kChunkedHead;
  constexpr std::size_t kPiece = 30'000;
  for (std::size_t at = 0; at < body.size(); at += kPiece) text += Chunk(body.substr(at, kPiece));
  return text + kLastChunk;
}

// Ends the stream if only its end tells the length of the answer.
void EndIfUnframed(TestConnection& connection, const std::string& answer) {
  const std::string head = answer.substr(0, answer.find("\r\n\r\n"));
  const bool is_framed =
      head.find("Content-Length") != std::string::npos || head.find("chunked") != std::string::npos;
  if (!is_framed) connection.ShutdownWrite();
}

// Waits for a complete response, whatever its framing.
http::MessageRef WaitForResponse(ProxyFixture& fixture, TestConnection& client) {
  http::Parser parser(http::Parser::Kind::kResponse, http::kMaxStreamedBodySize);
  std::size_t parsed = 0;
  fixture.WaitUntil("the response is complete", [&] {
    const std::string& text = client.Received();
    parser.Feed(std::string_view(text).substr(std::exchange(parsed, text.size())));
    if (client.closed && !client.reset) parser.OnStreamEnd();
    return parser.done();
  });
  return parser.TakeMessage();
}

TEST_CASE("a long request and a long response are forwarded completely, with each framing of the response") {
  ProxyFixture fixture = FixtureWithMemory(1024 * 1024);
  TestServer server;
  fixture.SetEndpoints({&server});
  const std::string request_body = LongBody(kLong, 'q');
  const std::string response_body = LongBody(kLong, 'r');
  std::string answer;
  SUBCASE("Content-Length") { answer = Response(200, response_body); }
  SUBCASE("chunked") { answer = Chunked(response_body); }
  SUBCASE("until the end of the stream") { answer = "HTTP/1.1 200 X\r\n\r\n" + response_body; }
  TestConnection client = fixture.ConnectClient();
  SendAll(fixture, client, UnsafeRequest("a1", request_body));
  TestConnection& upstream = fixture.WaitForRequest(server, "a1");
  fixture.WaitForData(upstream, request_body);
  CHECK(fixture.long_bodies->used() == kBeyondUsual);
  SendAll(fixture, upstream, answer);
  EndIfUnframed(upstream, answer);
  const http::MessageRef received = WaitForResponse(fixture, client);
  CHECK(received->status() == 200);
  CHECK(received->body().size() == response_body.size());
  CHECK((received->body() == response_body));
  CheckSettled(fixture);
  fixture.WaitUntil("its memory is released", [&] { return fixture.long_bodies->used() == 0; });
}

TEST_CASE("a long request is rejected while the memory for long bodies is in use, and served afterwards") {
  ProxyFixture fixture = FixtureWithMemory(kBeyondUsual);
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection first = fixture.ConnectClient();
  SendAll(fixture, first, UnsafeRequest("first", LongBody(kLong, 'a')));
  TestConnection& upstream = fixture.WaitForRequest(server, "first");
  TestConnection second = fixture.ConnectClient();
  second.Send(UnsafeRequest("second", LongBody(kLong, 'b')).substr(0, 1000));
  fixture.WaitForData(second, "HTTP/1.1 503 ");
  // Bodies of the usual size are still forwarded.
  TestServer other;
  fixture.SetEndpoints({&other}, EndpointList::Kind::kDelta);
  TestConnection third = fixture.ConnectClient();
  third.Send(SafeRequest("third"));
  fixture.WaitForRequest(other, "third").Send(Response(200, "usual"));
  fixture.WaitForData(third, "usual");
  upstream.Send(Response(200, "for the first"));
  fixture.WaitForData(first, "for the first");
  fixture.WaitUntil("its memory is released", [&] { return fixture.long_bodies->used() == 0; });
  TestConnection fourth = fixture.ConnectClient();
  const std::string body = LongBody(kLong, 'd');
  SendAll(fixture, fourth, UnsafeRequest("fourth", body));
  TestConnection* at = nullptr;
  fixture.WaitUntil("the request is sent", [&] {
    for (TestServer* host : {&server, &other}) {
      host->Accept();
      for (TestConnection& connection : host->connections) {
        if (connection.HasReceived("Request-Id: fourth\r\n") && connection.HasReceived(body))
          at = &connection;
      }
    }
    return at != nullptr;
  });
  at->Send(Response(200, "for the fourth"));
  fixture.WaitForData(fourth, "for the fourth");
}

TEST_CASE("a request above the maximum size, or with an impossible size, is rejected as too large") {
  ProxyFixture fixture = FixtureWithMemory(64 * 1024 * 1024);
  const std::string head =
      "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: a1\r\nRequest-Class: pay\r\nRequest-Timeout: 15000m\r\n";
  for (const std::string& framing :
       {"Content-Length: " + std::to_string(http::kMaxLongBodySize + 1) + "\r\n\r\n",
        std::string("Content-Length: 18446744073709551615\r\n\r\n"),
        std::string("Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"),
        std::string("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nfffffffffffffffe\r\n")}) {
    CAPTURE(framing);
    TestConnection client = fixture.ConnectClient();
    client.Send(head + framing);
    fixture.WaitForData(client, "HTTP/1.1 413 ");
  }
  CHECK(fixture.long_bodies->used() == 0);
}

TEST_CASE("a long response is forwarded completely without memory for long bodies, and uses little") {
  constexpr std::size_t kSmallPart = 2 * 1024;
  constexpr std::size_t kBody = 3 * 1024 * 1024;
  ProxyFixture fixture = FixtureWithMemory(0);
  TestServer server;
  fixture.SetEndpoints({&server});
  const std::string body = LongBody(kBody, 'r');
  std::string answer;
  SUBCASE("Content-Length") { answer = Response(200, body); }
  SUBCASE("chunked") { answer = Chunked(body); }
  SUBCASE("until the end of the stream") { answer = "HTTP/1.1 200 X\r\n\r\n" + body; }
  TestConnection client = fixture.ConnectClient();
  client.Send(UnsafeRequest("a1"));
  TestConnection& upstream = fixture.WaitForRequest(server, "a1");
  std::string_view remaining = answer;
  std::size_t most_used = 0;
  fixture.WaitUntil("the answer is written", [&] {
    remaining.remove_prefix(upstream.TrySend(remaining));
    most_used = std::max(most_used, fixture.long_bodies->used());
    client.Received();
    return remaining.empty();
  });
  EndIfUnframed(upstream, answer);
  CHECK((WaitForResponse(fixture, client)->body() == body));
  CHECK(most_used <= kSmallPart);
  fixture.WaitUntil("its memory is released", [&] { return fixture.long_bodies->used() == 0; });
}

TEST_CASE("a long response is read as fast as its client takes it") {
  constexpr std::size_t kBody = 24 * 1024 * 1024;  // beyond what the kernel holds on both sides
  ProxyFixture fixture = FixtureWithMemory(1024 * 1024);
  TestServer server;
  fixture.SetEndpoints({&server});
  const std::string answer = Response(200, LongBody(kBody, 'r'));
  TestConnection client = TestConnection::Connect(fixture.listener.port(), 4'096);
  client.Send(UnsafeRequest("a1"));
  TestConnection& upstream = fixture.WaitForRequest(server, "a1");
  std::string_view remaining = answer;
  const Micros until = fixture.loop.Now() + 300 * kMs;
  fixture.WaitUntil("the server can write no more", [&] {
    remaining.remove_prefix(upstream.TrySend(remaining));
    return fixture.loop.Now() > until;
  });
  CHECK_FALSE(remaining.empty());
  CHECK(fixture.long_bodies->used() <= http::kMaxReceiveBuffer);
  SUBCASE("it takes all of it") {
    fixture.WaitUntil("the answer is written", [&] {
      remaining.remove_prefix(upstream.TrySend(remaining));
      client.Received();
      return remaining.empty();
    });
    CHECK((WaitForResponse(fixture, client)->body().size() == kBody));
  }
  SUBCASE("it leaves") {
    client.Close();
    fixture.WaitUntil("the server's connection is closed", [&] {
      upstream.TrySend("x");
      return upstream.IsClosed();
    });
  }
  fixture.WaitUntil("its memory is released", [&] { return fixture.long_bodies->used() == 0; });
  CheckSettled(fixture);
}

TEST_CASE("a client can tell that a long response was not completed") {
  ProxyFixture fixture = FixtureWithMemory(1024 * 1024);
  TestServer server;
  fixture.SetEndpoints({&server});
  std::string answer;
  bool resets = true;
  std::string version = "1.1";
  SUBCASE("Content-Length") { answer = Response(200, LongBody(kLong, 'r')); }
  SUBCASE("Content-Length, an orderly end") {
    answer = Response(200, LongBody(kLong, 'r'));
    resets = false;
  }
  SUBCASE("chunked") { answer = Chunked(LongBody(kLong, 'r')); }
  SUBCASE("until the end of the stream") { answer = "HTTP/1.1 200 X\r\n\r\n" + LongBody(kLong, 'r'); }
  SUBCASE("until the end, to a client that knows no chunks") {
    answer = "HTTP/1.1 200 X\r\n\r\n" + LongBody(kLong, 'r');
    version = "1.0";
  }
  std::string request = UnsafeRequest("a1");
  request.replace(request.find("HTTP/1.1"), 8, "HTTP/" + version);
  TestConnection client = fixture.ConnectClient();
  client.Send(request);
  TestConnection& upstream = fixture.WaitForRequest(server, "a1");
  SendAll(fixture, upstream, answer.substr(0, answer.size() - 10));
  fixture.WaitForData(client, "r0,r1,");
  if (resets) {
    upstream.Reset();
  } else {
    upstream.Close();
  }
  fixture.WaitUntil("the client's connection ends", [&] { return client.IsClosed(); });
  http::Parser parser(http::Parser::Kind::kResponse, kLong);
  parser.Feed(client.text);
  if (!client.reset) parser.OnStreamEnd();
  CHECK_FALSE(parser.done());
  CheckSettled(fixture);
}

TEST_CASE("a response that states no length reaches a client that knows no chunks") {
  ProxyFixture fixture = FixtureWithMemory(1024 * 1024);
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  std::string request = UnsafeRequest("a1");
  request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  client.Send(request);
  TestConnection& upstream = fixture.WaitForRequest(server, "a1");
  const std::string body = LongBody(kLong, 'r');
  SendAll(fixture, upstream, Chunked(body));
  fixture.WaitUntil("the client's connection ends", [&] { return client.IsClosed(); });
  CHECK_FALSE(client.reset);
  CHECK(client.text.find("chunked") == std::string::npos);
  CHECK((client.text.substr(client.text.find("\r\n\r\n") + 4) == body));
}

TEST_CASE("a connection carries the next request after a long response") {
  ProxyFixture fixture = FixtureWithMemory(1024 * 1024);
  TestServer server;
  fixture.SetEndpoints({&server});
  const std::string body = LongBody(kLong, 'r');
  std::string answer;
  SUBCASE("Content-Length") { answer = Response(200, body); }
  SUBCASE("chunked") { answer = Chunked(body); }
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  TestConnection& upstream = fixture.WaitForRequest(server, "a1");
  SendAll(fixture, upstream, answer);
  REQUIRE((WaitForResponse(fixture, client)->body() == body));
  client.text.clear();
  upstream.text.clear();
  client.Send(SafeRequest("a2"));
  TestConnection& second = fixture.WaitForRequest(server, "a2");
  CHECK(&second == &upstream);
  second.Send(Response(200, "second"));
  fixture.WaitForData(client, "second");
}

// A response that states no length, as its server writes it: a part, and after a pause the rest.
struct PausedResponse {
  std::string before;
  std::string after;
  bool until_end = false;
};

constexpr int kShortTimeoutMs = 400;  // of a client

// Such a response may be a long one, whose server may pause for seconds.
TEST_CASE("a response without a length is cut off when its server pauses") {
  constexpr Micros kPause = 2'500 * kMs;  // the client's time is over meanwhile
  const std::string body = LongBody(kLong, 'r');
  PausedResponse response;
  SUBCASE("in chunks, after a short one") {
    response = {kChunkedHead + Chunk("first"), Chunk(body) + kLastChunk};
  }
  SUBCASE("within a long chunk") {
    response = {kChunkedHead + Chunk(body).substr(0, 8'000), Chunk(body).substr(8'000) + kLastChunk};
  }
  SUBCASE("after its head") { response = {kChunkedHead, Chunk(body) + kLastChunk}; }
  SUBCASE("a short one in all") { response = {kChunkedHead + Chunk("first"), Chunk("last") + kLastChunk}; }
  SUBCASE("until the end of the stream") { response = {"HTTP/1.1 200 X\r\n\r\nfirst", body, true}; }
  ProxyFixture fixture = FixtureWithMemory(1024 * 1024);
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  client.Send(UnsafeRequestWithTimeout("a1", kShortTimeoutMs));
  const Micros sent_at = fixture.loop.Now();
  TestConnection& upstream = fixture.WaitForRequest(server, "a1");
  upstream.Send(response.before);
  fixture.WaitForData(client, "HTTP/1.1 200 ");
  CHECK(fixture.loop.Now() - sent_at < kShortTimeoutMs * kMs);
  const Micros resume_at = fixture.loop.Now() + kPause;
  fixture.WaitUntil("the pause is over", [&] { return client.IsClosed() || fixture.loop.Now() > resume_at; });
  REQUIRE_FALSE(client.closed);
  SendAll(fixture, upstream, response.after);
  if (response.until_end) upstream.Close();
  http::Parser expected(http::Parser::Kind::kResponse, 2 * kLong);
  expected.Feed(response.before + response.after);
  expected.OnStreamEnd();
  REQUIRE(expected.done());
  CHECK((WaitForResponse(fixture, client)->body() == expected.TakeMessage()->body()));
  CheckSettled(fixture);
}

// Its client would wait for its end, and its connections would stay in use.
TEST_CASE("a response without a length that its server never ends is not given up") {
  constexpr Micros kMaxSilence = 10'000 * kMs;
  constexpr Micros kSlack = 1'000 * kMs;
  ProxyFixture fixture = FixtureWithMemory(1024 * 1024);
  TestServer server;
  fixture.SetEndpoints({&server});
  const Micros sent_at = fixture.loop.Now();
  std::vector<TestConnection> clients;
  const std::string first_parts[] = {Chunk("begin"), Chunk(LongBody(kLong, 'r')) + Chunk("begin")};
  for (const std::string& first : first_parts) {
    const std::string id = "a" + std::to_string(clients.size());
    clients.push_back(fixture.ConnectClient());
    clients.back().Send(UnsafeRequestWithTimeout(id, kShortTimeoutMs));
    SendAll(fixture, fixture.WaitForRequest(server, id), kChunkedHead + first);
  }
  for (TestConnection& client : clients) fixture.WaitForData(client, "begin");
  const Micros silent_since = fixture.loop.Now();
  CHECK(silent_since - sent_at < kShortTimeoutMs * kMs);
  for (TestConnection& client : clients) {
    fixture.WaitUntil("the client's connection ends", [&] { return client.IsClosed(); });
    CHECK(fixture.loop.Now() - silent_since <= kMaxSilence + kSlack);
    CHECK(client.text.find(kLastChunk) == std::string::npos);
  }
  for (TestConnection& upstream : server.connections) CHECK(upstream.IsClosed());
  CHECK(fixture.long_bodies->used() == 0);
  CheckSettled(fixture);
}

// Writes a request's body at a rate, in bytes per second, up to `until` bytes, or until the client is
// answered.
void WriteSteadily(ProxyFixture& fixture, TestConnection& client, const std::string& request,
                   std::size_t rate, std::size_t until) {
  const Micros began = fixture.loop.Now();
  std::size_t sent = 0;
  fixture.WaitUntil("the request is written, or answered", [&] {
    const auto due = static_cast<std::size_t>(fixture.loop.Now() - began) * rate / 1'000'000;
    if (sent < std::min(due, until))
      sent += client.TrySend(std::string_view(request).substr(sent, std::min(due, until) - sent));
    return sent == until || client.HasReceived("\r\n\r\n");
  });
}

TEST_CASE("a client that writes a long request steadily, if slowly, is cut off") {
  ProxyFixture fixture = FixtureWithMemory(1024 * 1024);
  TestServer server;
  fixture.SetEndpoints({&server});
  const std::string body = LongBody(250'000, 'q');  // takes 3.9 s
  const std::string request = UnsafeRequest("a1", body);
  TestConnection client = fixture.ConnectClient();
  WriteSteadily(fixture, client, request, 64'000, request.size());
  CHECK(client.text.empty());
  TestConnection& upstream = fixture.WaitForRequest(server, "a1");
  fixture.WaitForData(upstream, body.substr(body.size() - 100));
  upstream.Send(Response(200, "served"));
  fixture.WaitForData(client, "served");
}

TEST_CASE("a client that does not complete its long request has no error within 3 s") {
  ProxyFixture fixture = FixtureWithMemory(1024 * 1024);
  const std::string request = UnsafeRequest("a1", LongBody(900'000, 'q'));
  TestConnection client = fixture.ConnectClient();
  const Micros connected = fixture.loop.Now();
  Micros since = connected;
  SUBCASE("it stops") {
    WriteSteadily(fixture, client, request, 10'000'000, 500'000);
    since = fixture.loop.Now();
  }
  SUBCASE("it trickles") { WriteSteadily(fixture, client, request, 3'000, request.size()); }
  fixture.WaitForData(client, "HTTP/1.1 408 ");
  CHECK(fixture.loop.Now() - since < 3'000 * kMs);
  fixture.WaitUntil("its memory is released", [&] { return fixture.long_bodies->used() == 0; });
}

TEST_CASE("body memory: shares grow within the common limit and release their memory") {
  auto memory = std::make_shared<MemoryBudget>(100);
  MemoryBudget::Reservation none;
  CHECK(none.GrowTo(0));
  CHECK_FALSE(none.GrowTo(1));
  {
    MemoryBudget::Reservation first(memory);
    CHECK(first.GrowTo(60));
    CHECK(first.GrowTo(40));  // no change
    CHECK(memory->used() == 60);
    MemoryBudget::Reservation second(memory);
    CHECK_FALSE(second.GrowTo(41));
    CHECK(second.GrowTo(40));
    CHECK_FALSE(first.GrowTo(61));
    MemoryBudget::Reservation moved(std::move(first));
    CHECK(memory->used() == 100);
    second = std::move(moved);
    CHECK(memory->used() == 60);
  }
  CHECK(memory->used() == 0);
}

}  // namespace
}  // namespace dappletiller::testing
