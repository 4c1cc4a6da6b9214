// The program as a process whose system calls fail in ways that Linux documents (syscall_faults.cpp). Each
// test is named after the failure that it guards against.
#include <algorithm>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "fault_injection/process_support.hpp"

namespace dappletiller::testing {
namespace {

TEST_CASE("a system call that fails for a moment ends the start") {
  const std::vector<std::string> faults = {"epoll_create1:ENFILE:count=2",
                                           "epoll_create1:ENOMEM:count=2",
                                           "signalfd:ENFILE:count=2",
                                           "signalfd:ENOMEM:count=2",
                                           "socket:ENFILE:count=2",
                                           "socket:EMFILE:count=2",
                                           "socket:ENOBUFS:count=2",
                                           "socket:ENOMEM:count=2",
                                           "bind:EADDRINUSE:count=2",
                                           "bind:EADDRNOTAVAIL:count=2",
                                           "listen:EADDRINUSE:count=2",
                                           "epoll_ctl:ENOMEM:count=2",
                                           "epoll_ctl:ENOSPC:count=2",
                                           "open:EINTR:path=config.json,count=2",
                                           "open:ENFILE:path=config.json,count=2",
                                           "read:EINTR:count=2",
                                           "read:EIO:count=2",
                                           "read:short"};
  for (const std::string& fault : faults) {
    CAPTURE(fault);
    TestServer server;
    Program program(ProgramConfig(0, server.port), WithFaults(fault));
    ProxyFixture fixture;  // only for its bounded waits
    std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
    TestConnection client = TestConnection::Connect(port);
    client.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.WaitForData(client, "HTTP/1.1 200 ");
    program.Signal(SIGTERM);
    CHECK(program.Wait() == 0);
  }
}

// A client may send so much ahead of an answer (README of the protocol: 64 KiB of body, and a head).
constexpr std::size_t kPipelined = 80'000;

// One client may cost a process a small multiple of what it has sent, and the allocator's slack.
constexpr std::size_t kMaxGrowthKilobytes = 8 * kPipelined / 1024 + 6 * 1024;

TEST_CASE("one client's pipelined requests multiply the memory of the process") {
  std::string request;
  SUBCASE("health checks") { request = "GET /up HTTP/1.1\r\n\r\n"; }
  SUBCASE("requests that are rejected at once") {
    request = "GET / HTTP/1.1\r\nRequest-Id: b\r\nRequest-Class: check\r\nRequest-Timeout: 0m\r\n\r\n";
  }
  TestServer server;
  Program program(ProgramConfig(0, server.port), {{"ASAN_OPTIONS", kSanitizerOptions}});
  ProxyFixture fixture;  // only for its bounded waits
  std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  TestConnection client = TestConnection::Connect(port);
  client.Send(SafeRequest("a"));
  TestConnection& at = fixture.WaitForRequest(server, "a");
  const std::string pipelined = Repeat(request, kPipelined);
  std::size_t sent = 0;
  const std::size_t before = program.PeakMemoryKilobytes();
  fixture.WaitUntil("the client has sent its requests", [&] {
    sent += client.TrySend(std::string_view(pipelined).substr(sent));
    return sent == pipelined.size();
  });
  at.Send(Response(200, "first"));
  const auto requests = static_cast<long>(pipelined.size() / request.size());
  fixture.WaitUntil("all requests have their answers", [&] {
    const std::string& text = client.Received();
    long answers = 0;
    for (auto at = text.find("HTTP/1.1 "); at != std::string::npos; at = text.find("HTTP/1.1 ", at + 1))
      ++answers;
    return answers == requests + 1;
  });
  CHECK(program.PeakMemoryKilobytes() - before <= kMaxGrowthKilobytes);
}

TEST_CASE("many clients' half-written requests exceed the memory limit") {
  constexpr std::size_t kMemoryKilobytes =
      48 * 1024;  // the least that is deployed, with the most descriptors
  constexpr int kClients = 900;
  TestServer server;
  std::string config = ProgramConfig(0, server.port);
  Replace(&config, "\"sockets\":256", "\"sockets\":1024,\"memory_mb\":48");
  Replace(&config, "\"effect\":\"free\"", "\"effect\":\"single_shot\"");
  Program program(config, {{"ASAN_OPTIONS", kSanitizerOptions}});
  ProxyFixture fixture;  // only for its bounded waits
  std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  const std::size_t before = program.PeakMemoryKilobytes();
  const std::string body(65'000, 'x');
  std::vector<TestConnection> clients;
  std::vector<std::size_t> sent(kClients, 0);
  std::vector<std::string> requests;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(TestConnection::Connect(port));
    requests.push_back("POST /api HTTP/1.1\r\nRequest-Id: h" + std::to_string(i) +
                       "\r\nRequest-Class: check\r\nContent-Length: 65536\r\n\r\n" + body);
  }
  // All at once, within the time for a request.
  fixture.WaitUntil("all clients have sent their halves, or have their rejection", [&] {
    bool all = true;
    for (std::size_t i = 0; i < clients.size(); ++i) {
      sent[i] += clients[i].TrySend(std::string_view(requests[i]).substr(sent[i]));
      all = all &&
            (sent[i] == requests[i].size() || clients[i].HasReceived("HTTP/1.1 ") || clients[i].IsClosed());
    }
    return all;
  });
  fixture.WaitUntil("all clients have an answer", [&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](TestConnection& client) { return client.IsClosed(); });
  });
  CHECK(program.PeakMemoryKilobytes() - before <= kMemoryKilobytes);
  // Others are served all the same.
  TestConnection client = TestConnection::Connect(port);
  client.Send("POST /api HTTP/1.1\r\nRequest-Id: z\r\nRequest-Class: check\r\nContent-Length: 1\r\n\r\ny");
  fixture.WaitForRequest(server, "z").Send(Response(200, "served"));
  fixture.WaitForData(client, "served");
}

TEST_CASE("slow answers take the process over its memory limit") {
  constexpr std::size_t kMemoryKilobytes = 32 * 1024;
  constexpr std::size_t kClients = 330;
  const std::string body(37'000, 'q');
  TestServer server;
  std::string config = ProgramConfig(0, server.port);
  Replace(&config, "\"sockets\":256", "\"sockets\":1024,\"memory_mb\":32");
  Replace(&config, "\"aim\":4000000", "\"aim\":20000000");
  Replace(&config, "\"effect\":\"free\"", "\"effect\":\"single_shot\"");
  Replace(&config, "\"dialTimeout\":250000", "\"dialTimeout\":5000000");
  Program program(config, {{"ASAN_OPTIONS", kSanitizerOptions}});
  ProxyFixture fixture;  // only for its bounded waits
  std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  const std::size_t before = program.PeakMemoryKilobytes();
  std::vector<TestConnection> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(TestConnection::Connect(port));
    clients.back().Send("POST /api HTTP/1.1\r\nRequest-Id: m" + std::to_string(i) +
                        "\r\nRequest-Class: check\r\nRequest-Timeout: 15000m\r\nWork-Hint: 1000\r\n" +
                        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    while (server.Accept()) {
    }
  }
  fixture.WaitUntil("the server has all requests", [&] {
    while (server.Accept()) {
    }
    return server.connections.size() == kClients &&
           std::all_of(server.connections.begin(), server.connections.end(),
                       [&](TestConnection& at) { return at.HasReceived(body); });
  });
  const std::string answer = Response(200, std::string(64 * 1024 - 1, 'r') + "z");
  constexpr std::size_t kHeldBack = 100;
  std::vector<std::size_t> sent(kClients, 0);
  auto send_up_to = [&](std::size_t size) {
    bool all = true;
    for (std::size_t i = 0; i < kClients; ++i) {
      sent[i] += server.connections[i].TrySend(std::string_view(answer).substr(sent[i], size - sent[i]));
      all = all && sent[i] == size;
    }
    return all;
  };
  fixture.WaitUntil("most of each answer is written", [&] { return send_up_to(answer.size() - kHeldBack); });
  ::poll(nullptr, 0, 300);  // the proxy reads what it can hold
  fixture.WaitUntil("the rest is written", [&] { return send_up_to(answer.size()); });
  fixture.WaitUntil("all clients have their answers", [&] {
    return std::all_of(clients.begin(), clients.end(), [&](TestConnection& client) {
      return client.Received().size() > kHeldBack && client.text.back() == 'z';
    });
  });
  CHECK(program.PeakMemoryKilobytes() - before <= kMemoryKilobytes);
}

TEST_CASE("a list without end takes the process over its memory limit") {
  constexpr std::size_t kMaxGrowthKilobytes = 8 * 1024;  // of 32 MB, most of which belong to requests
  constexpr std::size_t kSent = std::size_t{24} * 1024 * 1024;
  TestServer server, discovery;
  std::string config = ProgramConfig(0, server.port, discovery.port);
  Replace(&config, "\"sockets\":256", "\"sockets\":1024,\"memory_mb\":32");
  Program program(config, {{"ASAN_OPTIONS", kSanitizerOptions}});
  ProxyFixture fixture;  // only for its bounded waits
  ReadPort(fixture, program, "started as n0 on port ");
  const std::size_t before = program.PeakMemoryKilobytes();
  fixture.WaitUntil("the list is requested", [&] {
    discovery.Accept();
    return !discovery.connections.empty() && discovery.connections.back().HasReceived("\r\n\r\n");
  });
  TestConnection& endless = discovery.connections.back();
  endless.Send("HTTP/1.1 200 X\r\n\r\n{\"rev\":2,\"all\":true,\"targets\":[");
  const std::string piece(64 * 1024, ' ');
  std::size_t sent = 0;
  fixture.WaitUntil("the list is given up", [&] {
    if (sent < kSent) sent += endless.TrySend(piece);
    return endless.IsClosed();
  });
  CHECK(program.PeakMemoryKilobytes() - before <= kMaxGrowthKilobytes);
}

TEST_CASE("a shortage at a dial is held against the server") {
  const std::vector<std::string> faults = {"socket:ENFILE:skip=2,count=6",
                                           "socket:ENOBUFS:skip=2,count=6",
                                           "socket:EMFILE:skip=2,count=6",
                                           "connect:EADDRNOTAVAIL:skip=1,count=6",
                                           "connect:EINTR",
                                           "connect:ENETUNREACH:skip=1,count=6",
                                           "epoll_ctl:ENOMEM:skip=6,count=6"};
  for (const std::string& fault : faults) {
    CAPTURE(fault);
    TestServer server, discovery(false, true);  // discovery stays silent
    Program program(ProgramConfig(0, server.port, discovery.port), WithFaults(fault));
    ProxyFixture fixture;  // only for its bounded waits
    std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
    for (int i = 0; i < 6; ++i)
      ExpectServed(fixture, port, server, "d" + std::to_string(i), "Connection: close\r\n");
    CHECK(program.ReadLog().find("no response to consecutive attempts") == std::string::npos);
    program.Signal(SIGTERM);
    CHECK(program.Wait() == 0);
  }
}

TEST_CASE("time in the accept queue is added to what a server is told") {
  constexpr Micros kStated = 15'000 * kMs;  // by SafeRequest
  constexpr Micros kSlack = 150 * kMs;
  TestServer server;
  Program program(ProgramConfig(0, server.port), WithFaults("accept4:ENFILE:count=40"));
  ProxyFixture fixture;  // only for its bounded waits
  std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  TestConnection client = TestConnection::Connect(port);
  const Micros sent_at = fixture.loop.Now();
  client.Send(SafeRequest("q"));
  TestConnection& at = fixture.WaitForRequest(server, "q");
  const Micros waited = fixture.loop.Now() - sent_at;
  CHECK(waited > 2 * kSlack);  // or the test shows nothing
  CHECK(StatedTimeout(at.text) <= kStated - waited + kSlack);
}

TEST_CASE("system calls that fail in service cost requests") {
  const std::string faults =
      "accept4:ECONNABORTED:chance=10;accept4:ENFILE:chance=10;accept4:ENOBUFS:chance=10;accept4:"
      "EHOSTUNREACH:chance=10;"
      "socket:ENFILE:chance=15;connect:EADDRNOTAVAIL:chance=15;connect:EINTR:chance=15;epoll_ctl:ENOMEM:"
      "chance=15;"
      "epoll_wait:EINTR:chance=20;poll:EINTR:chance=20;recv:short:chance=50;recv:EINTR:chance=10;recv:ENOMEM:"
      "chance=10;"
      "sendmsg:short:chance=50;sendmsg:EINTR:chance=10;sendmsg:ENOBUFS:chance=10";
  TestServer server;
  Program program(ProgramConfig(0, server.port), WithFaults(faults, "11"));
  ProxyFixture fixture;  // only for its bounded waits
  std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  for (int i = 0; i < 60; ++i) {
    ExpectServed(fixture, port, server, "s" + std::to_string(i), i % 2 == 0 ? "Connection: close\r\n" : "");
  }
  CHECK(program.ReadLog().find("no response to consecutive attempts") == std::string::npos);
  program.Signal(SIGTERM);
  CHECK(program.Wait() == 0);
}

TEST_CASE("a flood of bad requests hides the counters in the log") {
  TestServer server;
  Program program(ProgramConfig(0, server.port));
  ProxyFixture fixture;  // only for its bounded waits
  std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  for (int i = 0; i < 120; ++i) {
    TestConnection client = TestConnection::Connect(port);
    client.Send("GET /api HTTP/1.1\r\nRequest-Class: nobody\r\n\r\n");
    fixture.WaitForData(client, "HTTP/1.1 400 ");
  }
  ExpectServed(fixture, port, server, "f0");
  fixture.WaitUntil("the counters are logged",
                    [&] { return program.ReadLog().find("passed: 1 in, 1 served") != std::string::npos; });
  fixture.WaitUntil("the reasons are logged",
                    [&] { return program.ReadLog().find(" malformed, ") != std::string::npos; });
}

TEST_CASE("a drain is lost when the folder cannot be written for a while") {
  for (const std::string fault :
       {"write:ENOSPC:count=3", "write:short", "fsync:EIO:count=3", "rename:EIO:count=3"}) {
    CAPTURE(fault);
    char folder[] = "/tmp/dappletiller-state-XXXXXX";
    REQUIRE(::mkdtemp(folder) != nullptr);
    TestServer server;
    Environment environment = WithFaults(fault);
    environment.emplace_back("TMPDIR", folder);
    environment.emplace_back("BALANCER_CONSOLE", "127.0.0.1:0");
    Program program(ProgramConfig(0, server.port), environment);
    ProxyFixture fixture;  // only for its bounded waits
    std::uint16_t console = ReadPort(fixture, program, "console on port ");
    TestConnection operators = TestConnection::Connect(console);
    operators.Send("PUT /_plan-servers/detach?who=s HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.WaitForData(operators, "HTTP/1.1 200 ");
    fixture.WaitUntil("the drain is in the file", [&] {
      std::ifstream file(std::string(folder) + "/dappletiller-n0.held.json");
      return std::string(std::istreambuf_iterator<char>(file), {}).find("[\"s\"]") != std::string::npos;
    });
    program.Signal(SIGTERM);
    CHECK(program.Wait() == 0);
    std::filesystem::remove_all(folder);
  }
}

TEST_CASE("a drain that only this process knows is confirmed") {
  char folder[] = "/tmp/dappletiller-state-XXXXXX";
  REQUIRE(::mkdtemp(folder) != nullptr);
  TestServer server;
  Environment environment = WithFaults("rename:EIO:path=held.json,count=30");
  environment.emplace_back("TMPDIR", folder);
  environment.emplace_back("BALANCER_CONSOLE", "127.0.0.1:0");
  Program program(ProgramConfig(0, server.port), environment);
  ProxyFixture fixture;  // only for its bounded waits
  std::uint16_t console = ReadPort(fixture, program, "console on port ");
  auto detach = [&] {
    TestConnection operators = TestConnection::Connect(console);
    operators.Send("PUT /_plan-servers/detach?who=s HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.WaitForData(operators, "HTTP/1.1 ");
    return operators.HasReceived("HTTP/1.1 200 ");
  };
  auto is_in_file = [&] {
    std::ifstream file(std::string(folder) + "/dappletiller-n0.held.json");
    return std::string(std::istreambuf_iterator<char>(file), {}).find("[\"s\"]") != std::string::npos;
  };
  CHECK_FALSE(detach());  // the folder fails for longer than the operators wait
  CHECK_FALSE(is_in_file());
  fixture.WaitUntil("the drain is confirmed", [&] { return detach(); });
  CHECK(is_in_file());
  std::filesystem::remove_all(folder);
}

TEST_CASE("a reload is dropped when its file cannot be read for a moment") {
  for (const std::string fault : {"open:ENFILE:path=config.json,skip=1,count=3", "read:EIO:skip=4,count=3"}) {
    CAPTURE(fault);
    TestServer server;
    Program program(ProgramConfig(0, server.port), WithFaults(fault));
    ProxyFixture fixture;  // only for its bounded waits
    ReadPort(fixture, program, "started as n0 on port ");
    for (int i = 0; i < 4; ++i) {
      program.Signal(SIGHUP);
      ::poll(nullptr, 0, 100);
    }
    fixture.WaitUntil("the reload is done",
                      [&] { return program.ReadLog().find("trying again") != std::string::npos; });
    fixture.WaitUntil("the reload is done",
                      [&] { return program.ReadLog().find("reload: done") != std::string::npos; });
    CHECK(program.ReadLog().find("the old configuration stays") == std::string::npos);
  }
}

}  // namespace
}  // namespace dappletiller::testing
