// The parser's streaming mode: a response's head first, its body in parts, and the next response after it.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

#include "http/parser.hpp"

namespace dappletiller {
namespace {

using http::Parser;

std::string Body(std::size_t size) {
  std::string body;
  for (std::size_t i = 0; body.size() < size; ++i) body += std::to_string(i) + ",";
  body.resize(size);
  return body;
}

std::string Chunked(const std::string& body, std::size_t chunk) {
  std::string text;
  for (std::size_t at = 0; at < body.size(); at += chunk) {
    const std::string part = body.substr(at, chunk);
    char size[32];
    std::snprintf(size, sizeof size, "%zx;x=1\r\n", part.size());
    text += size + part + "\r\n";
  }
  return text + "0\r\nTrailer: t\r\n\r\n";
}

// What a driver does: receives into the parser's buffer, takes the head when it has to, and parts as they
// come.
struct Driver {
  explicit Driver(std::size_t buffer_size = http::kMaxReceiveBuffer) : buffer_size(buffer_size) {
    parser.EnableStreaming();
  }

  // Returns the bytes that the parser did not take.
  std::string_view Receive(std::string_view bytes, std::size_t step) {
    while (!bytes.empty() && !parser.done() && !parser.bad()) {
      const auto buffer = parser.ReceiveBuffer(buffer_size);
      REQUIRE_FALSE(buffer.empty());
      REQUIRE(buffer.size() <= buffer_size);
      const std::size_t count = std::min({bytes.size(), step, buffer.size()});
      std::memcpy(buffer.data(), bytes.data(), count);
      bytes.remove_prefix(count);
      parser.Commit(count);
      if (parser.must_stream() || (take_early && head == nullptr && parser.in_body()))
        head = parser.TakeHead();
      if (head != nullptr) TakePart();
    }
    return bytes;
  }
  void TakePart() {
    body += parser.TakeBody();
    largest_rest = std::max(largest_rest, parser.buffered());
  }

  std::size_t buffer_size;
  Parser parser{Parser::Kind::kResponse};
  bool take_early = false;
  http::MessageRef head;
  std::string body;
  std::size_t largest_rest = 0;  // bytes held after a part was taken
};

TEST_CASE("a streamed body is the same for each framing and each size of the pieces") {
  const std::string body = Body(200'000);
  const std::string head = "HTTP/1.1 200 OK\r\nX-First: 1\r\n";
  const struct {
    std::string bytes;
    bool until_end;
  } cases[] = {{head + "Content-Length: 200000\r\n\r\n" + body, false},
               {head + "Transfer-Encoding: chunked\r\n\r\n" + Chunked(body, 100'000), false},
               {head + "Transfer-Encoding: chunked\r\n\r\n" + Chunked(body, 7), false},
               {head + "\r\n" + body, true}};
  for (const auto& c : cases) {
    for (const std::size_t step : {c.bytes.size(), std::size_t{1'000}, std::size_t{1}}) {
      CAPTURE(step);
      CAPTURE(c.bytes.substr(0, 60));
      Driver driver(2'048);
      CHECK(driver.Receive(c.bytes, step).empty());
      if (c.until_end) {
        CHECK_FALSE(driver.parser.done());
        driver.parser.OnStreamEnd();
      }
      REQUIRE(driver.head != nullptr);
      CHECK(driver.head->status() == 200);
      CHECK(driver.head->Find("X-First") == "1");
      CHECK(driver.head->body().empty());
      CHECK(driver.parser.done());
      driver.TakePart();
      const bool is_same = driver.body == body;
      CHECK(is_same);
      CHECK(driver.parser.body_size() == body.size());
      CHECK(driver.largest_rest <= 2'048);
    }
  }
}

TEST_CASE("a body without a length can be streamed before it is long") {
  Driver driver;
  driver.take_early = true;
  driver.Receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 1);
  REQUIRE(driver.head != nullptr);
  CHECK_FALSE(driver.parser.must_stream());
  CHECK(driver.body == "abc");
  driver.Receive("2\r\nde\r\n0\r\n\r\n", 100);
  CHECK(driver.body == "abcde");
  CHECK(driver.parser.done());
}

TEST_CASE("what follows a streamed response is the next one") {
  const std::string body = Body(100'000);
  const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + body;
  const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
  Driver driver;
  const std::string both = first + second;
  const std::string_view rest = driver.Receive(both, 4'000);
  REQUIRE(driver.parser.done());
  driver.TakePart();
  CHECK(driver.body.size() == body.size());
  driver.parser.TakeMessage();
  driver.parser.Feed(rest);
  REQUIRE(driver.parser.done());
  CHECK(driver.parser.TakeMessage()->body() == "second");
  CHECK_FALSE(driver.parser.begun());
}

TEST_CASE("a body beyond the maximum, or malformed on the way, is bad") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const struct {
    std::string bytes;
    int error;
  } cases[] = {
      {head + "Content-Length: 33554433\r\n\r\n", 413},
      {head + "Transfer-Encoding: chunked\r\n\r\n2000001\r\n", 413},
      {head + "Transfer-Encoding: chunked\r\n\r\n1ffffff\r\n" + std::string(0x1ffffff, 'x') + "\r\n2\r\n",
       413},
      {head + "Transfer-Encoding: chunked\r\n\r\n20000\r\n" + std::string(0x20000, 'x') + "no end\r\n", 400},
      {head + "\r\n" + std::string(33'554'433, 'x'), 413}};
  for (const auto& c : cases) {
    CAPTURE(c.bytes.substr(0, 60));
    Driver driver;
    driver.Receive(c.bytes, 1'000'000);
    CHECK(driver.parser.bad());
    CHECK(driver.parser.error_status() == c.error);
  }
}

}  // namespace
}  // namespace dappletiller
