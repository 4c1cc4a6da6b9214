// Clients that leave with requests open or unread, and ids that come again, with the program as a process.
// Each test is named after the failure that it guards against.
#include <algorithm>
#include <string>
#include <vector>

#include "fault_injection/process_support.hpp"

namespace dappletiller::testing {
namespace {

constexpr int kLongEnoughMs = 300;  // for a request to reach the server

std::string ConfigWithEffect(std::uint16_t server, const std::string& effect, bool may_cancel = true) {
  std::string config = ProgramConfig(0, server);
  Replace(&config, "\"effect\":\"free\"",
          "\"effect\":\"" + effect + "\",\"group\":\"all\",\"window\":5000000");
  if (!may_cancel) Replace(&config, "\"mayCancel\":true", "\"mayCancel\":false");
  return config;
}

std::string RequestWithId(const std::string& effect, const std::string& id) {
  if (effect == "free") return SafeRequest(id);
  const std::string key = effect == "guarded" ? "Idempotency-Key: k" + id + "\r\n" : "";
  return "POST /api HTTP/1.1\r\nRequest-Id: " + id + "\r\nRequest-Class: check\r\n" + key +
         "Request-Timeout: 15000m\r\nContent-Length: 2\r\n\r\nok";
}

// How often the server has received a request with this id.
long CountArrivals(TestServer& server, const std::string& id) {
  while (server.Accept()) {
  }
  const std::string header = "Request-Id: " + id + "\r\n";
  long count = 0;
  for (TestConnection& at : server.connections) {
    const std::string& text = at.Received();
    for (auto found = text.find(header); found != std::string::npos; found = text.find(header, found + 1))
      ++count;
  }
  return count;
}

enum class First { kLeaves, kIsAnswered, kFails };

void CheckRefused(const std::string& effect, First first, bool may_cancel) {
  CAPTURE(effect);
  CAPTURE(static_cast<int>(first));
  CAPTURE(may_cancel);
  TestServer server;
  Program program(ConfigWithEffect(server.port, effect, may_cancel), {{"ASAN_OPTIONS", kSanitizerOptions}});
  ProxyFixture fixture;  // only for its bounded waits
  const std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  const std::string request = RequestWithId(effect, "again");
  TestConnection client = TestConnection::Connect(port);
  client.Send(request);
  TestConnection& at = fixture.WaitForRequest(server, "again");
  if (first == First::kIsAnswered) {
    at.Send(Response(200, "first"));
    fixture.WaitForData(client, "first");
  }
  if (first == First::kFails) {
    at.Reset();
    fixture.WaitForData(client, "HTTP/1.1 5");
  }
  client.Close();
  ::poll(nullptr, 0, kLongEnoughMs);
  TestConnection second = TestConnection::Connect(port);
  second.Send(request);
  fixture.WaitUntil("the second one is refused, or the server has it",
                    [&] { return second.HasReceived("HTTP/1.1 ") || CountArrivals(server, "again") > 1; });
  CHECK(second.HasReceived("HTTP/1.1 409 "));
  ::poll(nullptr, 0, kLongEnoughMs);
  CHECK(CountArrivals(server, "again") <= 1);  // none is left of a connection that was reset
}

TEST_CASE("an id that may have run runs again when it comes again") {
  SUBCASE("its client left") {
    for (const bool may_cancel : {true, false}) {
      CheckRefused("single_shot", First::kLeaves, may_cancel);
      CheckRefused("guarded", First::kLeaves, may_cancel);
    }
  }
  SUBCASE("it was answered") { CheckRefused("single_shot", First::kIsAnswered, true); }
  SUBCASE("it failed") { CheckRefused("single_shot", First::kFails, true); }
}

TEST_CASE("an id that cannot have run is refused, or one that may be repeated") {
  TestServer server;
  SUBCASE("it may be repeated") {
    Program program(ConfigWithEffect(server.port, "free"), {{"ASAN_OPTIONS", kSanitizerOptions}});
    ProxyFixture fixture;  // only for its bounded waits
    const std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
    for (int i = 0; i < 2; ++i) {
      TestConnection client = TestConnection::Connect(port);
      client.Send(SafeRequest("again"));
      TestConnection& at = fixture.WaitForRequest(server, "again");
      at.text.clear();
      at.Send(Response(200, "served"));
      fixture.WaitForData(client, "served");
    }
  }
  SUBCASE("no attempt was made") {
    // Without time left it is rejected at once.
    Program program(ConfigWithEffect(server.port, "single_shot"), {{"ASAN_OPTIONS", kSanitizerOptions}});
    ProxyFixture fixture;  // only for its bounded waits
    const std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
    std::string hopeless = RequestWithId("single_shot", "again");
    Replace(&hopeless, "15000m", "0m");
    TestConnection client = TestConnection::Connect(port);
    client.Send(hopeless);
    fixture.WaitForData(client, "HTTP/1.1 503 ");
    TestConnection second = TestConnection::Connect(port);
    second.Send(RequestWithId("single_shot", "again"));
    fixture.WaitForRequest(server, "again").Send(Response(200, "served"));
    fixture.WaitForData(second, "served");
  }
}

TEST_CASE("an id runs again at a successor since the folder could not be written for a while") {
  for (const std::string fault :
       {"pwrite:ENOSPC:count=4", "pwrite:EIO:count=4", "pwrite:short:count=2", "fallocate:ENOSPC:count=4",
        "open:ENOSPC:path=sent-ids,count=4", "pread:EINTR:count=3", "pread:short:chance=30"}) {
    CAPTURE(fault);
    char folder[] = "/tmp/dappletiller-ids-XXXXXX";
    REQUIRE(::mkdtemp(folder) != nullptr);
    TestServer listener(true), server;
    Environment environment = WithFaults(fault);
    environment.emplace_back("TMPDIR", folder);
    environment.emplace_back("BALANCER_SOCKET_FD", std::to_string(listener.fd()));
    const std::string config = ConfigWithEffect(server.port, "single_shot");
    ProxyFixture fixture;  // only for its bounded waits
    {
      Program first(config, environment);
      ReadPort(fixture, first, "started as n0 on port ");
      TestConnection client = TestConnection::Connect(listener.port);
      client.Send(RequestWithId("single_shot", "again"));
      fixture.WaitForRequest(server, "again");
      client.Close();
      ::poll(nullptr, 0, kLongEnoughMs);
    }
    Program successor(config, environment);
    ReadPort(fixture, successor, "started as n0 on port ");
    TestConnection client = TestConnection::Connect(listener.port);
    client.Send(RequestWithId("single_shot", "again"));
    fixture.WaitForData(client, "HTTP/1.1 409 ");
    CHECK(CountArrivals(server, "again") == 1);
    std::filesystem::remove_all(folder);
  }
}

TEST_CASE("requests of a client that has closed with much unread are sent on") {
  constexpr int kRequests = 3'000;
  TestServer server;
  Program program(ConfigWithEffect(server.port, "free"), {{"ASAN_OPTIONS", kSanitizerOptions}});
  ProxyFixture fixture;  // only for its bounded waits
  const std::uint16_t port = ReadPort(fixture, program, "started as n0 on port ");
  std::string filler;
  SUBCASE("small requests") { filler = ""; }
  SUBCASE("large heads") { filler = "X-Filler: " + std::string(8'000, 'f') + "\r\n"; }
  TestConnection client = TestConnection::Connect(port);
  client.Send(SafeRequest("first"));
  TestConnection& at = fixture.WaitForRequest(server, "first");
  std::string pipelined;
  for (int i = 0; i < kRequests; ++i) pipelined += SafeRequest("p" + std::to_string(i), filler);
  std::size_t sent = 0;
  for (int i = 0; i < 50; ++i) {
    sent += client.TrySend(std::string_view(pipelined).substr(sent));
    ::poll(nullptr, 0, 2);
  }
  bool answered = false;
  SUBCASE("before the answer") {}
  SUBCASE("right after the answer") {
    at.Send(Response(200, "first"));
    answered = true;
  }
  const long before = answered ? 1 : 0;
  client.Close();
  ::poll(nullptr, 0, 100);
  while (server.Accept()) {
  }
  if (!answered) at.Send(Response(200, "first"));
  // Whatever began before or within 0.1 s of the close is allowed.
  auto count = [&] {
    while (server.Accept()) {
    }
    long requests = 0;
    for (TestConnection& connection : server.connections) {
      const std::string& text = connection.Received();
      for (auto found = text.find("Request-Id: p"); found != std::string::npos;
           found = text.find("Request-Id: p", found + 1))
        ++requests;
    }
    return requests;
  };
  const long within = count();
  CHECK(within <= before);
  for (TestConnection& connection : server.connections) connection.Send(Response(200, "next"));
  ::poll(nullptr, 0, 2 * kLongEnoughMs);
  CHECK(count() == within);
}

}  // namespace
}  // namespace dappletiller::testing
