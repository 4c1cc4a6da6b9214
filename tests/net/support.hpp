// Fixture for tests of the network code with real sockets on loopback: servers and discovery controlled by
// the test, clients, and the proxy's parts connected as in the program. Every wait is bounded and for a
// condition.
#ifndef DAPPLETILLER_TESTS_NET_SUPPORT_HPP_
#define DAPPLETILLER_TESTS_NET_SUPPORT_HPP_

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/memory_budget.hpp"
#include "base/payload.hpp"
#include "discovery/discovery_client.hpp"
#include "dispatch/request_dispatcher.hpp"
#include "downstream/listener.hpp"
#include "http/parser.hpp"
#include "upstream/upstream_pool.hpp"

namespace dappletiller::testing {

constexpr Micros kMs = 1000;
constexpr Micros kBound = 20'000 * kMs;  // far longer than any wait should take, even on a busy machine
constexpr std::uint32_t kLoopback = 0x7f000001;

// The test's end of a connection.
class TestConnection {
 public:
  explicit TestConnection(FileDescriptor fd) : fd_(std::move(fd)) {}
  // `receive_buffer`: size of the kernel's receive buffer in bytes; 0: default.
  static TestConnection Connect(std::uint16_t port, int receive_buffer = 0) {
    FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (receive_buffer != 0) {
      REQUIRE(::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer) == 0);
    }
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(kLoopback);
    to.sin_port = htons(port);
    REQUIRE(::connect(fd.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    return TestConnection(std::move(fd));
  }
  // Sends as much as the kernel accepts now; returns the number of bytes.
  std::size_t TrySend(std::string_view bytes) {
    ssize_t n = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return n > 0 ? static_cast<std::size_t>(n) : 0;
  }
  void Send(std::string_view text) { ::send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL); }
  // Reads at most `max_bytes` of the received data; the rest stays in the kernel.
  void Receive(std::size_t max_bytes) {
    std::string bytes(max_bytes, '\0');
    ssize_t n = ::recv(fd_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (n > 0) text.append(bytes, 0, static_cast<std::size_t>(n));
    reset = reset || (n < 0 && errno == ECONNRESET);
    closed = closed || n == 0 || reset;
  }
  // Reads all received data. `closed` becomes true once the other side has closed or reset the connection.
  const std::string& Received() {
    char bytes[4096];
    for (;;) {
      ssize_t n = ::recv(fd_.get(), bytes, sizeof bytes, MSG_DONTWAIT);
      if (n > 0) {
        text.append(bytes, static_cast<std::size_t>(n));
        continue;
      }
      reset = reset || (n < 0 && errno == ECONNRESET);
      closed = closed || n == 0 || errno == ECONNRESET;
      return text;
    }
  }
  bool HasReceived(std::string_view expected) { return Received().find(expected) != std::string::npos; }
  bool IsClosed() { return Received(), closed; }
  void Close() { fd_.Reset(); }
  void ShutdownWrite() { ::shutdown(fd_.get(), SHUT_WR); }
  FileDescriptor Release() { return std::move(fd_); }  // passes the descriptor to another owner
  void Reset() {                                       // closes with a TCP reset
    linger hard{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    fd_.Reset();
  }
  std::string text;
  bool closed = false;
  bool reset = false;

 private:
  FileDescriptor fd_;
};

// A server controlled by the test: a listening socket on an ephemeral port.
class TestServer {
 public:
  // `handed_down`: stays open across exec, like the socket that the platform passes to the program.
  // `hanging`: connection attempts hang until Open().
  explicit TestServer(bool handed_down = false, bool hanging = false)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | (handed_down ? 0 : SOCK_CLOEXEC), 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(kLoopback);
    socklen_t size = sizeof at;
    REQUIRE(::bind(fd_.get(), reinterpret_cast<sockaddr*>(&at), size) == 0);
    REQUIRE(::listen(fd_.get(), hanging ? 0 : 64) == 0);
    REQUIRE(::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &size) == 0);
    port = ntohs(at.sin_port);
    // The accept queue has one place, which is occupied: further SYN packets are dropped.
    if (hanging) occupying_.push_back(TestConnection::Connect(port));
  }
  // Empties the accept queue, so that retransmitted SYN packets are accepted.
  void Open() {
    REQUIRE(::listen(fd_.get(), 64) == 0);
    FileDescriptor occupying(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    occupying_.clear();
  }
  bool Accept() {  // true if a connection was accepted; it is the last of `connections`
    FileDescriptor fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    if (!fd) return false;
    connections.emplace_back(std::move(fd));
    return true;
  }
  Endpoint endpoint() const { return {kLoopback, port}; }
  int fd() const { return fd_.get(); }
  void Close() { fd_.Reset(); }
  std::uint16_t port = 0;
  std::vector<TestConnection> connections;

 private:
  FileDescriptor fd_;
  std::vector<TestConnection> occupying_;
};

inline balancer::Settings TestSettings() {
  balancer::Settings s;
  s.seed = 7;
  s.clock_step = 5 * kMs;
  balancer::ClassSettings safe;
  safe.latency_objective = 4'000 * kMs;
  safe.client_timeout = kBound;
  safe.effect = balancer::Effect::kSafe;
  balancer::ClassSettings unsafe = safe;
  unsafe.effect = balancer::Effect::kUnsafe;
  balancer::ClassSettings keyed = safe;
  keyed.effect = balancer::Effect::kKeyed;
  keyed.key_lifetime = 4'000 * kMs;
  s.classes = {safe, unsafe, keyed};
  s.max_attempts = 3;
  s.may_cancel = true;
  s.send_retry_after = true;
  s.max_retry_after = 2'000 * kMs;
  s.warmup_time = 10'000 * kMs;
  s.overload_window = 1'000 * kMs;
  return s;
}

// The names of the classes in TestSettings().
inline const std::vector<std::string> kTestClassNames = {"check", "pay", "open"};

// A name for each tenant in the settings: t0, t1 ...
inline std::vector<std::string> TenantNames(const balancer::Settings& settings) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) names.push_back("t" + std::to_string(i));
  return names;
}

// The parts of the proxy, connected as in the program, with discovery at `discovery_server`.
class ProxyFixture {
 public:
  explicit ProxyFixture(const balancer::Settings& settings = TestSettings(), Micros idle = kBound,
                        std::size_t connections = 64, std::size_t reserved = 8,
                        std::size_t connection_slots = 64, bool pushed = false, Micros write_timeout = kBound,
                        Micros linger_timeout = 1'000 * kMs, std::size_t long_body_memory = 0)
      : dispatcher(loop, log, settings, kTestClassNames),
        descriptors(connections, reserved),
        long_bodies(std::make_shared<MemoryBudget>(long_body_memory)),
        upstream_pool(loop, log, dispatcher, descriptors, {kBound, idle}, long_bodies),
        listener(loop, log, dispatcher, descriptors,
                 {{kLoopback, 0},
                  connection_slots,
                  kBound,
                  TenantNames(settings),
                  write_timeout,
                  linger_timeout,
                  long_bodies}),
        discovery(loop, log, dispatcher,
                  {discovery_server.endpoint(),
                   "discovery",
                   {{"here"}, {"plain"}},
                   41,
                   settings.poll_interval,
                   pushed}) {
    dispatcher.Connect(upstream_pool, discovery);
    listener.Listen();
    discovery.Start();
  }

  void SetEndpoints(const std::vector<TestServer*>& hosts,
                    EndpointList::Kind kind = EndpointList::Kind::kCached,
                    EndpointState state = EndpointState::kReady) {
    EndpointList list;
    list.kind = kind;
    for (TestServer* host : hosts) {
      EndpointEntry entry;
      entry.uid = "w" + std::to_string(host->port);
      entry.endpoint = host->endpoint();
      entry.zone = 0;
      entry.state = state;
      list.entries.push_back(entry);
    }
    dispatcher.OnEndpointUpdate(list);
  }

  // Runs the event loop until the condition holds; fails the test after kBound.
  void WaitUntil(const char* description, const std::function<bool()>& condition) {
    Micros end = loop.Now() + kBound;
    while (!condition()) {
      INFO("waiting until " << std::string(description));
      REQUIRE(loop.Now() < end);
      loop.RunOnce(5 * kMs);
    }
  }

  TestConnection ConnectClient() { return TestConnection::Connect(listener.port()); }
  // Waits for a request with this id on any connection of the server; returns the connection.
  TestConnection& WaitForRequest(TestServer& host, std::string_view id) {
    TestConnection* found = nullptr;
    WaitUntil("the worker has the request", [&] {
      host.Accept();
      for (TestConnection& connection : host.connections) {
        if (connection.HasReceived("Request-Id: " + std::string(id) + "\r\n") &&
            connection.HasReceived("\r\n\r\n"))
          found = &connection;
      }
      return found != nullptr;
    });
    return *found;
  }
  void WaitForData(TestConnection& connection, std::string_view expected) {
    WaitUntil(std::string(expected).c_str(), [&] { return connection.HasReceived(expected); });
  }

  TestServer discovery_server;
  EventLoop loop;
  Log log{stderr, "test"};
  RequestDispatcher dispatcher;
  DescriptorLimit descriptors;
  std::shared_ptr<MemoryBudget> long_bodies;
  UpstreamPool upstream_pool;
  DownstreamListener listener;
  DiscoveryClient discovery;
};

// Waits for a request for `target` at discovery and returns its connection, with the received text cleared.
inline TestConnection& WaitForDiscoveryRequest(ProxyFixture& fixture, const std::string& target) {
  TestConnection* found = nullptr;
  fixture.WaitUntil(target.c_str(), [&] {
    fixture.discovery_server.Accept();
    for (TestConnection& connection : fixture.discovery_server.connections) {
      if (connection.HasReceived("GET " + target + " HTTP/1.1\r\n")) found = &connection;
    }
    return found != nullptr;
  });
  found->text.clear();
  return *found;
}

inline std::string SafeRequest(const std::string& id, const std::string& more = "") {
  return "GET /api?k=1 HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Class: check\r\nRequest-Timeout: 15000m\r\n" + more + "\r\n";
}
inline std::string UnsafeRequest(const std::string& id, const std::string& body = "pay") {
  return "POST /api?k=1 HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Class: pay\r\nRequest-Timeout: 15000000u\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}
// The same with a given timeout.
inline std::string SafeRequestWithTimeout(const std::string& id, int milliseconds) {
  return "GET /api?k=1 HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Class: check\r\nRequest-Timeout: " + std::to_string(milliseconds) + "m\r\n\r\n";
}
inline std::string UnsafeRequestWithTimeout(const std::string& id, int milliseconds) {
  return "POST /api?k=1 HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Class: pay\r\nRequest-Timeout: " + std::to_string(milliseconds) +
         "m\r\nContent-Length: 3\r\n\r\npay";
}
// The timeout in microseconds that a forwarded request states; -1: none.
inline Micros StatedTimeout(const std::string& request) {
  const std::string header = "Request-Timeout: ";
  const auto at = request.find(header);
  return at == std::string::npos ? -1 : std::atoll(request.c_str() + at + header.size());
}
inline std::string Response(int status, const std::string& body = "", const std::string& more = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + more + "\r\n" + body;
}

// Waits until no request and no attempt is left: each attempt has had exactly one outcome.
inline void CheckSettled(ProxyFixture& fixture) {
  fixture.WaitUntil("all is over", [&] { return fixture.dispatcher.table_size() == 0; });
  CHECK(fixture.dispatcher.open_requests() == 0);
}

// Waits for a condition without running the proxy's event loop.
inline void WaitWithoutLoop(const char* description, const std::function<bool()>& condition) {
  EventLoop clock;
  Micros end = clock.Now() + kBound;
  while (!condition()) {
    INFO("waiting until " << std::string(description));
    REQUIRE(clock.Now() < end);
    ::poll(nullptr, 0, 1);
  }
}

// Sink for requests that a test passes directly to the dispatcher.
struct RecordingSink final : ResponseSink {
  void OnResponse(PayloadRef) override { ++served; }
  void OnResponseStarted(PayloadRef, std::shared_ptr<BodyStream>) override { ++served; }
  void OnRejected(Micros) override { ++other; }
  void OnFailed() override { ++other; }
  bool ClientHasDisconnected() const override { return false; }
  int served = 0;
  int other = 0;
};

inline PayloadRef ParseRequest(const std::string& bytes) {
  http::Parser parser(http::Parser::Kind::kRequest);
  parser.Feed(bytes);
  REQUIRE(parser.done());
  return parser.TakeMessage();
}

}  // namespace dappletiller::testing

#endif  // DAPPLETILLER_TESTS_NET_SUPPORT_HPP_
