// Hundreds of clients that write or read slowly, or send much at once, with the program as a process of
// limited memory. Each test is named after the failure that it guards against.
#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "fault_injection/process_support.hpp"

namespace dappletiller::testing {
namespace {

constexpr std::size_t kMemoryKilobytes = 48 * 1024;  // the least that is deployed, with the most descriptors
constexpr int kClients = 320;
constexpr int kSmallBuffer = 4'096;  // of a client's kernel

std::string LimitedConfig(std::uint16_t server, const std::string& effect,
                          std::size_t memory = kMemoryKilobytes) {
  std::string config = ProgramConfig(0, server);
  Replace(&config, "\"sockets\":256", "\"sockets\":1024,\"memory_mb\":" + std::to_string(memory / 1024));
  Replace(&config, "\"aim\":4000000", "\"aim\":20000000");
  Replace(&config, "\"effect\":\"free\"", "\"effect\":\"" + effect + "\"");
  Replace(&config, "\"dialTimeout\":250000", "\"dialTimeout\":5000000");
  return config;
}

std::string Post(const std::string& id, std::size_t length, const std::string& body) {
  return "POST /api HTTP/1.1\r\nRequest-Id: " + id +
         "\r\nRequest-Class: check\r\nRequest-Timeout: 15000m\r\nWork-Hint: 1000\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n" + body;
}

// Another client is served meanwhile.
void CheckServed(ProxyFixture& fixture, std::uint16_t port, TestServer& server, const std::string& id) {
  TestConnection client = TestConnection::Connect(port);
  client.Send(Post(id, 1, "x"));
  fixture.WaitForRequest(server, id).Send(Response(200, "body of " + id));
  fixture.WaitForData(client, "body of " + id);
}

// Whether what has been read of a response ends with 'r', the byte of its body, or with the framing of a
// chunk right behind one.
bool EndsWithinBody(const std::string& text) {
  constexpr std::string_view kFraming = "\r\n0123456789abcdef";
  const std::size_t last = text.find_last_not_of(kFraming);
  return last != std::string::npos && text[last] == 'r';
}

TEST_CASE("clients that read long answers slowly take the process over its memory limit") {
  constexpr std::size_t kBody = 8 * 1024 * 1024;
  constexpr std::size_t kReadAtOnce = 512;
  TestServer server;
  Program program(LimitedConfig(server.port, "single_shot"), {{"ASAN_OPTIONS", kSanitizerOptions}});
  ProxyFixture fixture;  // only for its bounded waits
  const std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  const std::size_t before = program.PeakMemoryKilobytes();
  std::vector<TestConnection> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(TestConnection::Connect(port, kSmallBuffer));
    clients.back().Send(Post("r" + std::to_string(i), 1, "x"));
  }
  fixture.WaitUntil("the server has all requests", [&] {
    while (server.Accept()) {
    }
    return server.connections.size() == kClients &&
           std::all_of(server.connections.begin(), server.connections.end(),
                       [](TestConnection& at) { return at.HasReceived("\r\n\r\nx"); });
  });
  std::string head;
  SUBCASE("with a length") {
    head = "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n";
  }
  SUBCASE("without a length") { head = "HTTP/1.1 200 X\r\n\r\n"; }
  for (TestConnection& at : server.connections) at.Send(head);
  const std::string piece(64 * 1024, 'r');
  const Micros until = fixture.loop.Now() + 2'000 * kMs;
  fixture.WaitUntil("the servers have written what they can", [&] {
    for (TestConnection& at : server.connections) at.TrySend(piece);
    for (TestConnection& client : clients) {
      client.Receive(kReadAtOnce);
      CHECK_FALSE(client.closed);
    }
    return fixture.loop.Now() > until;
  });
  CHECK(std::all_of(clients.begin(), clients.end(), [](const TestConnection& client) {
    return client.text.rfind("HTTP/1.1 200 ", 0) == 0 && EndsWithinBody(client.text);
  }));
  CheckServed(fixture, port, server, "beside");
  CHECK(program.PeakMemoryKilobytes() - before <= kMemoryKilobytes);
}

TEST_CASE("clients that stop in their requests take the process over its memory limit") {
  constexpr int kManyClients = 900;
  std::string part;
  SUBCASE("half way through a large one") { part = Post("large", 1'000'000, std::string(500'000, 'q')); }
  SUBCASE("in a head of very many short fields") {
    part = "POST /api HTTP/1.1\r\n" + Repeat("a:\r\n", 16'000);
  }
  SUBCASE("in a chunked body of very many short chunks") {
    part =
        "POST /api HTTP/1.1\r\nRequest-Id: c\r\nRequest-Class: check\r\nTransfer-Encoding: chunked\r\n\r\n" +
        Repeat("1\r\nx\r\n", 300'000);
  }
  TestServer server;
  Program program(LimitedConfig(server.port, "single_shot"), {{"ASAN_OPTIONS", kSanitizerOptions}});
  ProxyFixture fixture;  // only for its bounded waits
  const std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  const std::size_t before = program.PeakMemoryKilobytes();
  std::vector<TestConnection> clients;
  std::vector<std::size_t> sent(kManyClients, 0);
  for (int i = 0; i < kManyClients; ++i) clients.push_back(TestConnection::Connect(port));
  const Micros began = fixture.loop.Now();
  fixture.WaitUntil("all clients have an answer or a close", [&] {
    bool all = true;
    for (std::size_t i = 0; i < clients.size(); ++i) {
      if (!clients[i].closed) sent[i] += clients[i].TrySend(std::string_view(part).substr(sent[i]));
      all = clients[i].IsClosed() && all;
    }
    return all;
  });
  CHECK(program.PeakMemoryKilobytes() - before <= kMemoryKilobytes);
  MESSAGE("all closed after " << (fixture.loop.Now() - began) / kMs << " ms");
  CheckServed(fixture, port, server, "after");
}

TEST_CASE("clients that write slowly take the process over its memory limit") {
  TestServer server;
  Program program(LimitedConfig(server.port, "single_shot"), {{"ASAN_OPTIONS", kSanitizerOptions}});
  ProxyFixture fixture;  // only for its bounded waits
  const std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  const std::size_t before = program.PeakMemoryKilobytes();
  const std::string body(60'000, 'q');
  std::vector<TestConnection> clients;
  std::vector<std::string> requests;
  std::vector<std::size_t> sent(kClients, 0);
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(TestConnection::Connect(port));
    requests.push_back(Post("w" + std::to_string(i), body.size(), body));
  }
  const Micros began = fixture.loop.Now();
  constexpr Micros kWriteTime = 1'500 * kMs;
  fixture.WaitUntil("all requests are written", [&] {
    const auto due = static_cast<std::size_t>(std::min<Micros>(kWriteTime, fixture.loop.Now() - began) *
                                              static_cast<Micros>(requests[0].size()) / kWriteTime);
    bool all = true;
    for (std::size_t i = 0; i < clients.size(); ++i) {
      const std::size_t until = due >= requests[0].size() ? requests[i].size() : due;
      if (sent[i] < until)
        sent[i] += clients[i].TrySend(std::string_view(requests[i]).substr(sent[i], until - sent[i]));
      all = all && sent[i] == requests[i].size();
    }
    return all;
  });
  fixture.WaitUntil("all are answered", [&] {
    while (server.Accept()) {
    }
    for (TestConnection& at : server.connections) {
      if (at.HasReceived("\r\n\r\n") && at.text.size() > body.size() && at.text.back() == 'q') {
        at.text.clear();
        at.Send(Response(200, "served"));
      }
    }
    return std::all_of(clients.begin(), clients.end(),
                       [](TestConnection& client) { return client.HasReceived("\r\n\r\n"); });
  });
  const auto served = std::count_if(clients.begin(), clients.end(), [](TestConnection& client) {
    return client.text.rfind("HTTP/1.1 200 ", 0) == 0;
  });
  CHECK(served >= kClients / 2);  // the others: no memory for a request
  CHECK(program.PeakMemoryKilobytes() - before <= kMemoryKilobytes);
  MESSAGE(served << " of " << kClients << " served");
}

std::string HealthChecks(std::size_t total) {
  return Repeat("GET /up HTTP/1.1\r\nPadding: " + std::string(900, 'p') + "\r\n\r\n", total);
}

// Clients that pipeline as much as is kept, and more once half of it has been answered. Their first, middle
// and last requests go to the server; what is between them is answered at once.
class PipeliningClients {
 public:
  // `name`: part of their requests' ids.
  PipeliningClients(ProxyFixture& fixture, TestServer& server, std::uint16_t port, std::string name)
      : fixture_(fixture), server_(server), port_(port), name_(std::move(name)) {}

  void Connect(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) clients_.push_back(TestConnection::Connect(port_));
    SendAll([this](std::size_t i) {
      return Request("first", i) + HealthChecks(32'000) + Request("middle", i) + HealthChecks(37'000);
    });
    WaitForRequests("first");
  }
  // The server answers, and the proxy goes on to the next request for it.
  void AnswerFirst() {
    AnswerAll();
    WaitForRequests("middle");
    SendAll([this](std::size_t i) { return HealthChecks(40'000) + Request("last", i); });
    const Micros read_by = fixture_.loop.Now() + kReadTime;
    fixture_.WaitUntil("the proxy has read it", [&] { return fixture_.loop.Now() > read_by; });
  }
  void AnswerMiddle() {
    AnswerAll();
    WaitForRequests("last");
  }

 private:
  static constexpr Micros kReadTime = 500 * kMs;

  std::string Request(const std::string& which, std::size_t client) const {
    return Post(name_ + "-" + which + "-" + std::to_string(client), 1, "x");
  }
  template <typename MakeBytes>
  void SendAll(MakeBytes make_bytes) {
    for (std::size_t i = 0; i < clients_.size(); ++i) clients_[i].Send(make_bytes(i));
  }
  void AnswerAll() {
    for (TestConnection& at : server_.connections) {
      if (!std::exchange(at.text, "").empty()) at.Send(Response(200, "served"));
    }
  }
  void WaitForRequests(const std::string& which) {
    const std::string id = "Request-Id: " + name_ + "-" + which;
    fixture_.WaitUntil(id.c_str(), [&] {
      for (TestConnection& client : clients_) client.Received();
      while (server_.Accept()) {
      }
      const auto has_request = [&](TestConnection& at) {
        return at.HasReceived(id) && at.HasReceived("\r\n\r\nx");
      };
      const auto count = std::count_if(server_.connections.begin(), server_.connections.end(), has_request);
      return static_cast<std::size_t>(count) == clients_.size();
    });
  }

  ProxyFixture& fixture_;
  TestServer& server_;
  std::uint16_t port_;
  std::string name_;
  std::vector<TestConnection> clients_;
};

TEST_CASE("memory of pipelined requests is kept after they have been answered") {
  constexpr std::size_t kMemory = 32 * 1024;  // kilobytes; the least that the pages name
  constexpr std::size_t kWave = 155;          // clients; two waves are within a third of the descriptors
  TestServer server;
  Program program(LimitedConfig(server.port, "single_shot", kMemory), {{"ASAN_OPTIONS", kSanitizerOptions}});
  ProxyFixture fixture;  // only for its bounded waits
  const std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  const std::size_t before = program.PeakMemoryKilobytes();
  PipeliningClients first(fixture, server, port, "a");
  first.Connect(kWave);
  first.AnswerFirst();
  first.AnswerMiddle();
  for (TestConnection& at : server.connections) at.text.clear();
  PipeliningClients second(fixture, server, port, "b");
  second.Connect(kWave);
  second.AnswerFirst();
  MESSAGE("grown by " << program.PeakMemoryKilobytes() - before << " kB");
  CHECK(program.PeakMemoryKilobytes() - before <= kMemory);
}

}  // namespace
}  // namespace dappletiller::testing
