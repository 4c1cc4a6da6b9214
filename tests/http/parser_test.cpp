// Parsers, by tables of cases: HTTP requests and responses, timeouts, addresses, endpoint lists, the
// configuration.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "http/parser.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/byte_queue.hpp"
#include "base/memory_budget.hpp"
#include "config/platform_config.hpp"
#include "dispatch/request_classes.hpp"
#include "http/text.hpp"
#include "http/writer.hpp"
#include "io/output_buffer.hpp"

namespace dappletiller {
namespace {

using http::Parser;

struct Case {
  const char* what;
  std::string bytes;
  int error;  // 0: a complete message
  std::string body;
};

std::string Repeat(const std::string& s, int n) {
  std::string all;
  for (int i = 0; i < n; ++i) all += s;
  return all;
}

// Each case is fed at once and byte by byte; the result must be the same.
void Play(Parser::Kind kind, const std::vector<Case>& cases) {
  for (const Case& c : cases) {
    for (std::size_t step : {c.bytes.size(), std::size_t{1}}) {
      INFO(std::string(c.what) << ", " << step << " bytes at a time");
      Parser parser(kind);
      for (std::size_t at = 0; at < c.bytes.size() && !parser.bad(); at += step) {
        parser.Feed(std::string_view(c.bytes).substr(at, step));
      }
      parser.OnStreamEnd();
      CHECK(parser.done() == (c.error == 0));
      CHECK(parser.error_status() == c.error);
      if (parser.done()) CHECK(parser.TakeMessage()->body() == c.body);
    }
  }
}

const std::string kPost = "POST /a HTTP/1.1\r\n";
const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

TEST_CASE("requests") {
  Play(Parser::Kind::kRequest,
       {{"no body", "GET / HTTP/1.1\r\n\r\n", 0, ""},
        {"empty lines before it", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", 0, ""},
        {"a body", kPost + "Content-Length: 5\r\n\r\nhello", 0, "hello"},
        {"the largest body", kPost + "content-length: 65536\r\n\r\n" + Repeat("x", 65536), 0,
         Repeat("x", 65536)},
        {"one byte more", kPost + "Content-Length: 65537\r\n\r\n", 413, ""},
        {"a length beyond any number", kPost + "Content-Length: 99999999999999999999\r\n\r\n", 400, ""},
        {"chunks", kPost + kChunked + "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: 1\r\n\r\n", 0, "hello"},
        {"many tiny chunks", kPost + kChunked + Repeat("1\r\nx\r\n", 9000) + "0\r\n\r\n", 0,
         Repeat("x", 9000)},
        {"chunks past the limit", kPost + kChunked + "ffff\r\n" + Repeat("x", 65535) + "\r\n2\r\n", 413, ""},
        {"a chunk of no number", kPost + kChunked + "zz\r\n", 400, ""},
        {"a negative chunk", kPost + kChunked + "-1\r\n", 400, ""},
        {"a chunk longer than it says", kPost + kChunked + "1\r\nxy\r\n", 400, ""},
        {"an endless chunk line", kPost + kChunked + "1;" + Repeat("x", 300), 400, ""},
        {"two framings", kPost + "Content-Length: 1\r\n" + kChunked, 400, ""},
        {"two lengths", kPost + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, ""},
        {"the same length twice", kPost + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", 0, "x"},
        {"another coding", kPost + "Transfer-Encoding: gzip\r\n\r\n", 400, ""},
        {"a space before the colon", "GET / HTTP/1.1\r\nA : b\r\n\r\n", 400, ""},
        {"a folded header", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400, ""},
        {"a bare line feed", "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", 400, ""},
        {"a zero byte", std::string("GET / HTTP/1.1\r\nA: \0\r\n\r\n", 24), 400, ""},
        {"no version", "GET /\r\n\r\n", 400, ""},
        {"another version", "GET / HTTP/2.0\r\n\r\n", 400, ""},
        {"no target", "GET  HTTP/1.1\r\n\r\n", 400, ""},
        {"rubbish", "\x16\x03\x01\r\n\r\n", 400, ""},
        {"an endless head", "GET / HTTP/1.1\r\nA: " + Repeat("x", 20000), 431, ""},
        {"too many headers", "GET / HTTP/1.1\r\n" + Repeat("A: b\r\n", 101) + "\r\n", 431, ""}});
}

TEST_CASE("answers") {
  Play(Parser::Kind::kResponse,
       {{"a length", kOk + "Content-Length: 2\r\n\r\nok", 0, "ok"},
        {"chunks", kOk + kChunked + "2\r\nok\r\n0\r\n\r\n", 0, "ok"},
        {"up to the end", kOk + "\r\nall of it", 0, "all of it"},
        {"an interim answer first", "HTTP/1.1 100 Continue\r\n\r\n" + kOk + "Content-Length: 1\r\n\r\nx", 0,
         "x"},
        {"no content", "HTTP/1.1 204 No Content\r\n\r\n", 0, ""},
        {"no reason", "HTTP/1.1 503\r\n\r\n", 0, ""},
        {"an empty reason", "HTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n", 0, ""},
        {"no number", "HTTP/1.1 abc OK\r\n\r\n", 400, ""},
        {"too much, up to the end", kOk + "\r\n" + Repeat("x", 70000), 413, ""}});
}

// A truncated response must not count as complete, or it would be forwarded to the client.
TEST_CASE("a truncated response is not complete") {
  for (const char* text : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", "HTTP/1.1 200 OK\r\nConte",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"}) {
    Parser parser(Parser::Kind::kResponse);
    parser.Feed(text);
    parser.OnStreamEnd();
    CHECK_FALSE(parser.done());
  }
}

TEST_CASE("pipelined requests are returned one at a time") {
  Parser parser(Parser::Kind::kRequest);
  parser.Feed(
      "POST /1 HTTP/1.1\r\nContent-Length: 1\r\n\r\naGET /2 HTTP/1.1\r\nConnection: close\r\n\r\nGET");
  REQUIRE(parser.done());
  CHECK(parser.ReceiveBuffer().empty());
  auto first = parser.TakeMessage();
  REQUIRE(parser.done());
  auto second = parser.TakeMessage();
  CHECK(first->target() == "/1");
  CHECK(first->body() == "a");
  CHECK(first->keep_alive());
  CHECK(second->target() == "/2");
  CHECK_FALSE(second->keep_alive());
  CHECK(parser.begun());
  CHECK_FALSE(parser.done());
}

// Whoever owns a parser reserves memory for it by these figures: if they were too low, many messages together
// would exceed the memory of the process.
TEST_CASE("a parser allocates what it has announced, within what it expects") {
  constexpr std::size_t kSlack = 2 * http::kMinReceiveBuffer + 1'000;  // and the table of headers
  const std::string body = Repeat("x", 60'000);
  const struct {
    Parser::Kind kind;
    std::string bytes;
  } cases[] = {
      {Parser::Kind::kRequest, kPost + "Content-Length: 60000\r\n\r\n" + body},
      {Parser::Kind::kRequest, kPost + kChunked + Repeat("5;a=b\r\nxxxxx\r\n", 12'000) + "0\r\n\r\n"},
      {Parser::Kind::kRequest, kPost + kChunked + "ea60\r\n" + body + "\r\n0\r\nT: 1\r\n\r\n"},
      {Parser::Kind::kRequest, kPost + "A: " + Repeat("x", 15'000) + "\r\n\r\n"},
      {Parser::Kind::kResponse, kOk + "Content-Length: 60000\r\n\r\n" + body},
      {Parser::Kind::kResponse, kOk + kChunked + "ea60\r\n" + body + "\r\n0\r\n\r\n"},
      {Parser::Kind::kResponse, kOk + "\r\n" + body}};
  for (const auto& c : cases) {
    for (const std::size_t step : {std::size_t{1}, std::size_t{700}, std::size_t{16'000}}) {
      CAPTURE(c.bytes.substr(0, 50));
      CAPTURE(step);
      Parser parser(c.kind);
      std::string_view rest = c.bytes;
      while (!rest.empty()) {
        const std::size_t announced = parser.AllocatedToReceive();
        const std::span<char> buffer = parser.ReceiveBuffer();
        REQUIRE(parser.allocated() == announced);
        const std::size_t count = std::min({step, rest.size(), buffer.size()});
        std::copy_n(rest.begin(), count, buffer.begin());
        rest.remove_prefix(count);
        const bool in_body = parser.in_body();
        if (in_body) REQUIRE(parser.allocated() <= parser.expected_size() + kSlack);
        parser.Commit(count);
        const bool has_whole = in_body && parser.message().content_length() && parser.buffered() >= 16'000;
        if (!has_whole)
          REQUIRE(parser.allocated() <= parser.buffered() * 2 + http::kMaxReceiveBuffer + kSlack);
      }
      parser.OnStreamEnd();
      REQUIRE(parser.done());
      const std::size_t size = parser.buffered();
      auto budget = std::make_shared<MemoryBudget>(1'000'000);
      MemoryBudget::Reservation memory(budget);
      memory.GrowTo(parser.allocated());
      const auto message = parser.TakeMessage(&memory);
      CHECK(parser.allocated() == 0);
      memory.ShrinkTo(0);
      CHECK(budget->used() >= size);
      CHECK(budget->used() <= size + 1'000);
    }
  }
}

TEST_CASE("what is pipelined frees its memory as its messages are taken") {
  constexpr std::size_t kSlack = 2 * ByteQueue::kSegmentMemory + http::kMinReceiveBuffer + 1'000;
  const std::string request = "GET /up HTTP/1.1\r\n\r\n";
  const std::string all = Repeat(request, 3'000);
  Parser parser(Parser::Kind::kRequest);
  for (std::string_view rest = all; !rest.empty();
       rest.remove_prefix(std::min<std::size_t>(rest.size(), 7'000))) {
    const std::string_view part = rest.substr(0, 7'000);
    const std::size_t announced = parser.AllocatedToFeed(part.size());
    const bool is_behind = parser.done();
    parser.Feed(part);
    if (is_behind) CHECK(parser.allocated() <= announced);
  }
  int messages = 0;
  for (; parser.done(); ++messages) {
    CHECK(parser.allocated() <= parser.buffered() * 26 / 25 + kSlack);
    parser.TakeMessage();
  }
  CHECK(messages == 3'000);
  CHECK(parser.allocated() == 0);
}

TEST_CASE("a request is forwarded with its headers except those of its connection") {
  Parser parser(Parser::Kind::kRequest);
  parser.Feed(
      "POST /api?k=7f HTTP/1.1\r\nHost: o\r\nRequest-Id: 9b\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
      "Request-Timeout: 480m\r\nIdempotency-Key: 5c\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nhi\r\n0\r\n\r\n");
  REQUIRE(parser.done());
  OutputBuffer out;
  http::WriteRequest(parser.TakeMessage(), 250'000, &out);
  CHECK(out.Text() ==
        "POST /api?k=7f HTTP/1.1\r\nHost: o\r\nRequest-Id: 9b\r\nIdempotency-Key: 5c\r\n"
        "Request-Timeout: 250000u\r\nContent-Length: 2\r\n\r\nhi");
  out.Consume(out.Text().size() - 1);
  CHECK(out.Text() == "i");
}

TEST_CASE("a rejection has a Retry-After") {
  struct {
    Micros after;
    const char* line;
  } cases[] = {{0, ""},
               {1, "Retry-After: 0.001\r\n"},
               {350'000, "Retry-After: 0.350\r\n"},
               {1'999'500, "Retry-After: 2.000\r\n"},
               {2'034'000, "Retry-After: 2.034\r\n"}};
  for (const auto& c : cases) {
    OutputBuffer out;
    http::WriteStatusResponse(503, "x", c.after, true, &out);
    CHECK(out.Text() == std::string("HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n"
                                    "Content-Length: 2\r\n") +
                            c.line + "\r\nx\n");
  }
}

TEST_CASE("timeouts and addresses") {
  CHECK(http::ParseTimeout("480m") == 480'000);
  CHECK(http::ParseTimeout("250000u") == 250'000);
  for (const char* bad : {"", "m", "480", "480s", "-1m", "4 m", "99999999999999999m"}) {
    CHECK_FALSE(http::ParseTimeout(bad));
  }
  CHECK(ParseEndpoint("127.0.0.2:8080") == Endpoint{0x7f000002, 8080});
  for (const char* bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0:80", "256.0.0.1:80", "1.2.3.4:65536",
                          "1.2.3.4:80x", "host:80"}) {
    CHECK_FALSE(ParseEndpoint(bad));
  }
}

const char kEntry[] = R"({"uid":"s-1","endpoint":"10.1.0.18:8080","az":"b","model":"m2","pod_group":3,)"
                      R"("state":"draining","capacity_hint":1.5,"boot_ms":1700000000123})";

TEST_CASE("lists") {
  Names names{{"a", "b"}, {"m1", "m2"}};
  auto list = ParseList(std::string(R"({"rev":43,"all":false,"targets":[)") + kEntry + "]}", names);
  REQUIRE(list);
  CHECK(list->version == 43);
  CHECK(list->kind == EndpointList::Kind::kDelta);
  REQUIRE(list->entries.size() == 1);
  const EndpointEntry& e = list->entries[0];
  CHECK(e.uid == "s-1");
  CHECK(e.zone == 1);
  CHECK(e.kind == 1);
  CHECK(e.cell == 3);
  CHECK(e.concurrency == 1.5);
  CHECK(e.state == EndpointState::kDraining);
  CHECK(e.boot_unix == 1700000000123000);
  auto full = ParseList(R"({"rev":44,"all":true,"targets":[{"uid":"x","state":"removed","az":"z"}]})", names);
  REQUIRE(full);
  CHECK(full->kind == EndpointList::Kind::kSnapshot);
  CHECK(full->entries[0].state == EndpointState::kRemoved);
  CHECK(full->entries[0].zone == -1);
  for (const char* bad : {"", "[]", "{}", R"({"rev":1,"all":true})", R"({"rev":-1,"all":true,"targets":[]})",
                          R"({"rev":1,"all":true,"targets":[7]})", R"({"rev":1,"all":true,"targets":[{}]})",
                          R"({"rev":1,"all":1,"targets":[]})",
                          R"({"rev":1,"all":true,"targets":[{"uid":"x","az":"a","state":"odd"}]})",
                          R"({"rev":1,"all":true,"targets":[{"uid":"x","az":"a","state":"up"}]})"}) {
    INFO(std::string(bad));
    CHECK_FALSE(ParseList(bad, names));
  }
  CHECK_FALSE(ParseList(Repeat("[", 5000), names));  // nested more deeply than the reader permits
}

std::string ConfigText() {
  return std::string(
             R"({"name":"n3","listen":"127.0.0.4:8080","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
  "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"rev":41,"all":true,"targets":[)") +
         kEntry + R"(]},"settings":{"balancers":2,"zones":["a","b"],"zone":1,"kinds":["m1","m2"],
  "classes":[{"name":"limit-check","aim":1200000,"giveUp":2500000,"effect":"free","worth":3.0},
  {"name":"plan-open","aim":1500000,"giveUp":4000000,"effect":"guarded","group":"cell","window":4000000}],
  "registryMode":"ask","tick":5000,"tenants":[{"name":"north","portion":0.4,"quotaRps":20},
  {"name":"south","portion":0.6,"quotaRps":30.5}],"report":{"source":"off","columns":[]},
  "invariants":{"askEvery":10000000,"cold":22000000,"fall":2000000,"startCapacity":0.13,"tipMultiple":2.5,
  "graceToAnswer":20000},
  "limits":{"maxAttempts":5,"mayCancel":true,"retryAfter":true,"maxRetryAfter":2000000,"dialTimeout":250000,
  "connIdle":15000000}}})";
}

TEST_CASE("the configuration is interpreted like the settings of the simulator adapter") {
  Config c = ParseConfig(ConfigText());
  CHECK(c.name == "n3");
  CHECK(c.listen.port == 8080);
  CHECK(c.sockets == 1024);
  CHECK(c.known.kind == EndpointList::Kind::kCached);
  CHECK(c.known.entries.size() == 1);
  CHECK(c.classes == std::vector<std::string>{"limit-check", "plan-open"});
  CHECK(c.tenants == std::vector<std::string>{"north", "south"});
  CHECK(c.settings.tenants[1].quota_per_s == 30.5);
  CHECK(c.settings.seed == 0x8c1f30d27a5be964);
  CHECK(c.settings.proxies == 2);
  CHECK(c.settings.zone == 1);
  CHECK(c.settings.classes[1].key_lifetime == 4'000'000);
  CHECK(c.settings.classes[1].key_scope == balancer::KeyScope::kSameCell);
  CHECK(c.settings.initial_capacity == 0.13);
  CHECK(c.settings.max_attempts == 5);
  CHECK(c.settings.may_cancel);
  CHECK(c.settings.endpoints_on_request);
  CHECK(c.dial_timeout == 250'000);
  CHECK(c.idle_timeout == 15'000'000);
  RequestClasses classes;
  for (std::size_t i = 0; i < c.classes.size(); ++i) classes.Set({c.classes[i], c.settings.classes[i]});
  CHECK(classes.longest_timeout() == 4'000'000);
}

// The proxy must not start with an incomplete configuration; the error is reported in one line.
TEST_CASE("an invalid configuration is a one-line error") {
  struct {
    const char* from;
    const char* to;
  } cases[] = {{"\"name\":\"n3\",", ""},
               {"127.0.0.4:8080", "nowhere"},
               {"\"balancers\":2,", ""},
               {"{", "["},
               {"\"zone\":1", "\"zone\":2"},
               {"8c1f30d27a5be964", "xyz"},
               {"\"sockets\":1024", "\"sockets\":\"many\""},
               {"\"free\"", "\"odd\""},
               {"\"state\":\"draining\"", "\"state\":7"},
               {"\"connIdle\":15000000", "\"a\":1"}};
  for (const auto& c : cases) {
    std::string text = ConfigText();
    text.replace(text.find(c.from), std::string(c.from).size(), c.to);
    INFO(std::string(c.from));
    try {
      ParseConfig(text);
      FAIL_CHECK("accepted");
    } catch (const ConfigError& e) {
      CHECK(std::string(e.what()).find('\n') == std::string::npos);
      CHECK(std::string(e.what()).size() > 5);
    }
  }
}

}  // namespace
}  // namespace dappletiller
