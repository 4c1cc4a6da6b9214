// Long bodies are forwarded completely while memory for them is available, and rejected otherwise.
#include <string>

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

std::string Chunked(const std::string& body) {
  std::string text = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kPiece = 30'000;
  for (std::size_t at = 0; at < body.size(); at += kPiece) {
    std::string piece = body.substr(at, kPiece);
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    text += size + piece + "\r\n";
  }
  return text + "0\r\n\r\n";
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
  if (answer.find("Content-Length") == std::string::npos && answer.find("chunked") == std::string::npos) {
    upstream.ShutdownWrite();
  }
  fixture.WaitForData(client, response_body);
  CHECK(client.text.rfind("HTTP/1.1 200 ", 0) == 0);
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

TEST_CASE("a response without memory available fails and uses none") {
  ProxyFixture fixture = FixtureWithMemory(kBeyondUsual - 1);
  TestServer server;
  fixture.SetEndpoints({&server});
  std::string answer;
  SUBCASE("Content-Length") { answer = Response(200, LongBody(kLong, 'r')); }
  SUBCASE("chunked") { answer = Chunked(LongBody(kLong, 'r')); }
  SUBCASE("until the end of the stream") { answer = "HTTP/1.1 200 X\r\n\r\n" + LongBody(kLong, 'r'); }
  TestConnection client = fixture.ConnectClient();
  client.Send(UnsafeRequest("a1"));
  TestConnection& upstream = fixture.WaitForRequest(server, "a1");
  std::string_view remaining = answer;
  fixture.WaitUntil("the client is answered", [&] {
    remaining.remove_prefix(upstream.TrySend(remaining));
    return client.HasReceived("HTTP/1.1 502 ");
  });
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
