// One client that sends at full speed on one connection, with the program as a process. Each test is named
// after the failure that it guards against.
#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "fault_injection/process_support.hpp"

namespace dappletiller::testing {
namespace {

constexpr Micros kFloodTime = 3'000 * kMs;
constexpr Micros kMaxLatency = 500 * kMs;  // of other clients, whose requests are answered at once
constexpr std::size_t kMaxGrowthKilobytes = 8 * 1024;
constexpr std::size_t kBatch = 30'000;  // bytes

// Sends batches of requests at full speed, on a new connection when one is closed.
class Flood {
 public:
  // `request` makes the request with this number.
  Flood(std::uint16_t port, std::function<std::string(int)> request, bool reads)
      : port_(port), request_(std::move(request)), reads_(reads), client_(TestConnection::Connect(port)) {}

  void Send() {
    if (unsent_.empty()) {
      while (unsent_.size() < kBatch) unsent_ += request_(++requests_);
    }
    unsent_.erase(0, client_.TrySend(unsent_));
    if (reads_) {
      client_.Received();
      received_ += std::exchange(client_.text, {}).size();
    }
    if (!client_.closed) return;
    client_ = TestConnection::Connect(port_);
    unsent_.clear();
  }
  int requests() const { return requests_; }

 private:
  std::uint16_t port_;
  std::function<std::string(int)> request_;
  bool reads_;
  TestConnection client_;
  std::string unsent_;
  int requests_ = 0;
  std::size_t received_ = 0;
};

// Answers whatever request has come.
void AnswerAll(TestServer& server) {
  while (server.Accept()) {
  }
  for (TestConnection& at : server.connections) {
    if (at.HasReceived("\r\n\r\n")) {
      at.text.clear();
      at.Send(Response(200, "served"));
    }
  }
}

std::string Numbered(const std::string& before, int number, const std::string& after) {
  return before + std::to_string(number) + after;
}

TEST_CASE("one client at full speed delays others or lets memory grow") {
  std::function<std::string(int)> request;
  bool reads = true;
  SUBCASE("health checks") {
    request = [](int) { return std::string("GET /up HTTP/1.1\r\n\r\n"); };
  }
  SUBCASE("health checks whose answers it does not read") {
    request = [](int) { return std::string("GET /up HTTP/1.1\r\n\r\n"); };
    reads = false;
  }
  SUBCASE("requests without time") {
    request = [](int number) {
      return Numbered("GET / HTTP/1.1\r\nRequest-Class: check\r\nRequest-Timeout: 0m\r\nRequest-Id: z",
                      number, "\r\n\r\n");
    };
  }
  SUBCASE("requests that are served") {
    request = [](int number) {
      return Numbered("GET / HTTP/1.1\r\nRequest-Class: check\r\nRequest-Timeout: 900m\r\nRequest-Id: s",
                      number, "\r\n\r\n");
    };
  }
  SUBCASE("unknown classes under ever new names") {
    request = [](int number) {
      return Numbered("GET / HTTP/1.1\r\nRequest-Id: c\r\nRequest-Class: class-", number, "\r\n\r\n");
    };
  }
  SUBCASE("ever new tenants") {
    request = [](int number) {
      const std::string name = std::to_string(number);
      return "GET / HTTP/1.1\r\nRequest-Id: t" + name +
             "\r\nRequest-Class: check\r\nRequest-Timeout: 900m\r\nTenant: tenant-" + name + "\r\n\r\n";
    };
  }
  SUBCASE("noise") {
    request = [](int) { return std::string("noise\r\n\r\n"); };
  }
  SUBCASE("empty lines") {
    request = [](int) { return std::string("\r\n"); };
  }
  SUBCASE("chunks of one byte") {
    request = [](int number) {
      if (number > 1) return std::string("1\r\nx\r\n");
      return std::string("POST / HTTP/1.1\r\nRequest-Id: k\r\nTransfer-Encoding: chunked\r\n\r\n");
    };
  }
  TestServer server;
  Program program(ProgramConfig(0, server.port), {{"ASAN_OPTIONS", kSanitizerOptions}});
  ProxyFixture fixture;  // only for its bounded waits
  const std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  const std::size_t before = program.PeakMemoryKilobytes();
  Flood flood(port, request, reads);
  const Micros until = fixture.loop.Now() + kFloodTime;
  Micros longest = 0;
  int answered = 0;
  TestConnection other = TestConnection::Connect(port);
  for (int i = 0; fixture.loop.Now() < until; ++i) {
    const Micros sent_at = fixture.loop.Now();
    other.text.clear();
    other.Send(SafeRequest(Numbered("other-", i, "")));
    fixture.WaitUntil("the other client is answered", [&] {
      flood.Send();
      AnswerAll(server);
      return other.HasReceived("\r\n\r\n") || other.closed;
    });
    CHECK_FALSE(other.closed);
    if (other.closed) other = TestConnection::Connect(port);
    longest = std::max(longest, fixture.loop.Now() - sent_at);
    ++answered;
  }
  CHECK(longest <= kMaxLatency);
  CHECK(program.PeakMemoryKilobytes() - before <= kMaxGrowthKilobytes);
  MESSAGE(flood.requests() << " requests sent; " << answered << " of others, the slowest " << longest / kMs
                           << " ms; grown by " << program.PeakMemoryKilobytes() - before << " kB");
}

}  // namespace
}  // namespace dappletiller::testing
