// Answers beyond 64 KiB that their server writes slowly, and large requests that it reads slowly, with the
// program as a process. Each test is named after the failure that it guards against.
#include <algorithm>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fault_injection/process_support.hpp"
#include "http/parser.hpp"

namespace dappletiller::testing {
namespace {

constexpr int kTimeoutMs = 700;  // of the clients
constexpr Micros kAnswerSlack = 500 * kMs;
constexpr Micros kShortRequestsFirst = 300 * kMs;
constexpr Micros kBetweenRequests = 50 * kMs;
constexpr std::size_t kMaxAnswer = std::size_t{32} * 1024 * 1024;

std::string ThreeClasses(std::uint16_t server) {
  std::string config = ProgramConfig(0, server);
  Replace(&config, "\"sockets\":256", "\"sockets\":544,\"memory_mb\":48");
  Replace(&config, "\"aim\":4000000,\"giveUp\":20000000,\"effect\":\"free\"}",
          R"("aim":400000,"giveUp":1500000,"effect":"free"},
         {"name":"pay","aim":400000,"giveUp":1500000,"effect":"single_shot"},
         {"name":"open","aim":400000,"giveUp":1500000,"effect":"guarded","group":"cell","window":1000000})");
  return config;
}

std::string RequestOf(const std::string& request_class, const std::string& id) {
  const bool safe = request_class == "check";
  return std::string(safe ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Class: " + request_class + "\r\nRequest-Timeout: " + std::to_string(kTimeoutMs) +
         "m\r\n" + (request_class == "open" ? "Idempotency-Key: k" + id + "\r\n" : "") +
         (safe ? "" : "Content-Length: 0\r\n") + "\r\n";
}

enum class Framing { kLength, kChunked, kUntilEnd };

// How a server writes its answer: the body in `pieces` equal pieces, the first `first_after` after the head,
// the others at `interval`.
struct Manner {
  std::string name;
  Framing framing;
  std::size_t body_size;
  int pieces;
  Micros first_after;
  Micros interval;
};

std::string BodyOf(const std::string& id, std::size_t size) {
  std::string body;
  for (std::size_t i = 0; body.size() < size; ++i) body += id + ":" + std::to_string(i) + ",";
  body.resize(size);
  return body;
}

std::string HeadOf(const Manner& manner) {
  switch (manner.framing) {
    case Framing::kLength:
      return "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(manner.body_size) + "\r\n\r\n";
    case Framing::kChunked:
      return "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
    case Framing::kUntilEnd:
      break;
  }
  return "HTTP/1.1 200 X\r\n\r\n";
}

std::string ChunkOf(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

// A server's answer on its way, and what its client has of it.
class LongAnswer {
 public:
  // The client sends its request `send_at`.
  LongAnswer(const Manner& manner, const std::string& request_class, const std::string& id,
             std::uint16_t proxy, Micros send_at)
      : id_(id),
        request_class_(request_class),
        manner_(manner),
        body_(BodyOf(id, manner.body_size)),
        client_(TestConnection::Connect(proxy)),
        sent_at_(send_at) {}

  const std::string& id() const { return id_; }
  bool requested() const { return begun_at_ != 0; }

  void Send(Micros now) {
    if (sent_ || now < sent_at_) return;
    sent_ = true;
    client_.Send(RequestOf(request_class_, id_));
  }

  // The server has the request: it begins to answer.
  void Begin(std::size_t connection, Micros now) {
    connection_ = connection;
    begun_at_ = now;
    unsent_ = HeadOf(manner_);
  }

  // Writes what is due. Ends the stream after the last piece if only its end tells the length.
  void Write(TestServer& server, Micros now) {
    if (!requested() || ended_) return;
    const std::size_t piece = (body_.size() + static_cast<std::size_t>(manner_.pieces) - 1) /
                              static_cast<std::size_t>(manner_.pieces);
    while (written_ < body_.size() && now >= due_at()) {
      const std::string data = body_.substr(written_, piece);
      unsent_ += manner_.framing == Framing::kChunked ? ChunkOf(data) : data;
      written_ += data.size();
      ++pieces_written_;
      if (written_ == body_.size() && manner_.framing == Framing::kChunked) unsent_ += "0\r\n\r\n";
    }
    TestConnection& to = server.connections[connection_];
    unsent_.erase(0, to.TrySend(unsent_));
    if (written_ < body_.size() || !unsent_.empty()) return;
    ended_ = true;
    if (manner_.framing == Framing::kUntilEnd) to.ShutdownWrite();
  }

  void Read(Micros now) {
    client_.Received();
    if (first_byte_at_ == 0 && !client_.text.empty()) first_byte_at_ = now;
    if (answer_ != nullptr) return;
    http::Parser parser(http::Parser::Kind::kResponse, kMaxAnswer);
    parser.Feed(client_.text);
    if (client_.closed && !client_.reset) parser.OnStreamEnd();
    if (!parser.done()) return;
    answer_ = parser.TakeMessage();
  }
  bool over() const { return answer_ != nullptr || client_.closed; }

  void CheckWhole() {
    CAPTURE(manner_.name);
    CAPTURE(id_);
    REQUIRE(answer_ != nullptr);
    CHECK(answer_->status() == 200);
    const bool is_whole = answer_->body() == body_;
    CHECK(is_whole);
    CHECK(first_byte_at_ - sent_at_ <= kTimeoutMs * kMs + kAnswerSlack);
  }

 private:
  Micros due_at() const { return begun_at_ + manner_.first_after + pieces_written_ * manner_.interval; }

  std::string id_;
  std::string request_class_;
  Manner manner_;
  std::string body_;
  TestConnection client_;
  bool sent_ = false;
  Micros sent_at_ = 0;
  Micros begun_at_ = 0;
  std::size_t connection_ = 0;
  std::string unsent_;
  std::size_t written_ = 0;
  int pieces_written_ = 0;
  bool ended_ = false;
  Micros first_byte_at_ = 0;
  http::MessageRef answer_;
};

// Short requests beside, whose answers show the proxy that the server does its work.
class ShortRequests {
 public:
  ShortRequests(std::uint16_t proxy, Micros now) : proxy_(proxy), next_at_(now) {}

  void Send(Micros now) {
    if (now < next_at_) return;
    next_at_ = now + kInterval;
    clients_.push_back(TestConnection::Connect(proxy_));
    clients_.back().Send(RequestOf("check", kPrefix + std::to_string(clients_.size())));
  }
  static bool IsOne(const std::string& request) {
    return request.find("Request-Id: " + std::string(kPrefix)) != std::string::npos;
  }

 private:
  static constexpr Micros kInterval = 20 * kMs;
  static constexpr const char* kPrefix = "short-";
  std::uint16_t proxy_;
  Micros next_at_;
  std::vector<TestConnection> clients_;
};

// Takes requests: answers the short ones at once and begins the long answers.
void Serve(TestServer& server, std::vector<LongAnswer>& answers, Micros now) {
  while (server.Accept()) {
  }
  for (std::size_t i = 0; i < server.connections.size(); ++i) {
    TestConnection& connection = server.connections[i];
    if (!connection.HasReceived("\r\n\r\n")) continue;
    const std::string request = std::exchange(connection.text, {});
    if (ShortRequests::IsOne(request)) connection.Send(Response(200, "short"));
    for (LongAnswer& answer : answers) {
      const bool is_first = !answer.requested();
      if (is_first && request.find("Request-Id: " + answer.id() + "\r\n") != std::string::npos)
        answer.Begin(i, now);
    }
  }
}

// `on_begun` is called once all answers have begun.
void CheckForwarded(
    const std::vector<Manner>& manners, const std::function<void(Program&)>& on_begun = [](Program&) {}) {
  TestServer server;
  Program program(ThreeClasses(server.port), {{"ASAN_OPTIONS", kSanitizerOptions}});
  ProxyFixture fixture;  // only for its bounded waits
  const std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  ShortRequests short_requests(port, fixture.loop.Now());
  // One after another, once the proxy knows how fast the server is.
  Micros send_at = fixture.loop.Now() + kShortRequestsFirst;
  std::vector<LongAnswer> answers;
  for (const Manner& manner : manners) {
    for (const std::string request_class : {"check", "pay", "open"}) {
      answers.emplace_back(manner, request_class, request_class + std::to_string(answers.size()), port,
                           send_at);
      send_at += kBetweenRequests;
    }
  }
  bool all_begun = false;
  fixture.WaitUntil("all answers are over", [&] {
    const Micros now = fixture.loop.Now();
    if (!all_begun) short_requests.Send(now);
    Serve(server, answers, now);
    for (LongAnswer& answer : answers) {
      answer.Send(now);
      answer.Write(server, now);
      answer.Read(now);
    }
    const bool begun =
        std::all_of(answers.begin(), answers.end(), [](const LongAnswer& a) { return a.requested(); });
    if (begun && !std::exchange(all_begun, true)) on_begun(program);
    return std::all_of(answers.begin(), answers.end(), [](const LongAnswer& a) { return a.over(); });
  });
  const std::string log = program.ReadLog();
  CAPTURE(log);
  for (LongAnswer& answer : answers) answer.CheckWhole();
}

TEST_CASE("a long answer is cut off while its server still writes it") {
  SUBCASE("at the client's time") {
    CheckForwarded({{"steady", Framing::kChunked, 185'397, 40, 0, 50 * kMs},
                    {"lumps", Framing::kChunked, 143'430, 3, 0, 600 * kMs},
                    {"lumps", Framing::kUntilEnd, 207'363, 4, 0, 500 * kMs}});
  }
  SUBCASE("when other answers overtake it") {
    CheckForwarded({{"late body", Framing::kLength, 251'537, 20, 500 * kMs, 40 * kMs},
                    {"late body", Framing::kChunked, 272'928, 20, 500 * kMs, 40 * kMs},
                    {"steady", Framing::kUntilEnd, 130'697, 30, 0, 40 * kMs}});
  }
  SUBCASE("beyond 1 MiB") {
    CheckForwarded({{"big", Framing::kUntilEnd, 2'826'768, 60, 0, 20 * kMs},
                    {"big", Framing::kLength, 2'826'768, 60, 0, 20 * kMs},
                    {"big", Framing::kChunked, 2'826'768, 60, 0, 20 * kMs}});
  }
}

TEST_CASE("a long answer is cut off when the process shuts down") {
  // The process plans to have answered everything 2.1 s after SIGTERM here.
  const auto shut_down = [](Program& program) { program.Signal(SIGTERM); };
  CheckForwarded({{"steady", Framing::kLength, 300'000, 70, 0, 50 * kMs},
                  {"steady", Framing::kChunked, 300'000, 70, 0, 50 * kMs}},
                 shut_down);
}

TEST_CASE("a large request that its server reads slowly has its final answer late") {
  constexpr std::size_t kBody = 900'000;
  constexpr int kReceiveBuffer = 4'096;
  TestServer server;
  REQUIRE(::setsockopt(server.fd(), SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer) == 0);
  std::string config = ThreeClasses(server.port);
  Program program(config, {{"ASAN_OPTIONS", kSanitizerOptions}});
  ProxyFixture fixture;  // only for its bounded waits
  const std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  TestConnection client = TestConnection::Connect(port);
  std::string request = RequestOf("pay", "large");
  Replace(&request, "Content-Length: 0", "Content-Length: " + std::to_string(kBody));
  request += std::string(kBody, 'q');
  std::size_t sent = 0;
  fixture.WaitUntil("the client has sent its request", [&] {
    sent += client.TrySend(std::string_view(request).substr(sent));
    return sent == request.size();
  });
  const Micros sent_at = fixture.loop.Now();
  fixture.WaitUntil("the client is answered", [&] {
    server.Accept();
    for (TestConnection& connection : server.connections) connection.Receive(2'000);
    return client.HasReceived("\r\n\r\n") || client.closed;
  });
  CHECK(client.text.rfind("HTTP/1.1 5", 0) == 0);
  CHECK(fixture.loop.Now() - sent_at <= kTimeoutMs * kMs + kAnswerSlack);
}

}  // namespace
}  // namespace dappletiller::testing
