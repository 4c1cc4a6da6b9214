// The console's responses of a running program, the fleet status as JSON, the drain state file and the JSON
// log, compared with those of an earlier build. In texts with times, ports or process ids, digits are masked.
#include <cstdio>
#include <string>
#include <vector>

#include "drain/drain_state_file.hpp"
#include "golden.hpp"
#include "io/log.hpp"
#include "membership/transport/membership_transport.hpp"
#include "net/program.hpp"

namespace dappletiller::testing {
namespace {

std::string Ask(ProxyFixture& fixture, std::uint16_t port, const std::string& line) {
  TestConnection connection = TestConnection::Connect(port);
  connection.Send(line + " HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.WaitUntil(line.c_str(), [&] { return connection.IsClosed(); });
  return line + "\n" + connection.text + "\n----\n";
}

TEST_CASE("the console of a running program responds as before") {
  ProxyFixture fixture;
  TestServer server;
  Program program(ProgramConfig(0, server.port),
                  {{"BALANCER_CONSOLE", "127.0.0.1:0"}, {"TMPDIR", "/nonexistent"}});
  std::uint16_t port = ReadPort(fixture, program, "console on port ");
  std::string all;
  for (const char* line : {"GET /_ready",
                           "PUT /_ready",
                           "PUT /_lameduck/on",
                           "PUT /_lameduck/off",
                           "GET /_lameduck/on",
                           "PUT /_plan-servers/detach?who=s",
                           "PUT /_plan-servers/attach?who=s",
                           "PUT /_plan-servers/detach?who=never",
                           "PUT /_plan-servers/attach?who=never",
                           "PUT /_plan-servers/detach",
                           "PUT /_plan-servers/detach?who=",
                           "PUT /_plan-servers/detach?who=a&who=b",
                           "PUT /_plan-servers/attach?who=a%20b",
                           "GET /_plan-servers/attach?who=a",
                           "GET /_fleet",
                           "GET /_fleet?after=x",
                           "GET /_fleet?before=1",
                           "PUT /_fleet",
                           "PUT /_fleet/leave",
                           "GET /_fleet/leave",
                           "PUT /_fleet/reap?who=m",
                           "GET /_fleet/reap?who=m",
                           "GET /_settings",
                           "PUT /_settings",
                           "GET /other",
                           "nonsense"}) {
    all += Ask(fixture, port, line);
  }
  CHECK(Golden("console_answers.txt", all) == all);
}

struct NoObserver final : QuotaShareObserver {
  void OnQuotaShare(double, TimePoint) override {}
};

operators::FleetOptions FixedFleet() {
  operators::FleetOptions options;
  options.name = "golden";
  options.self = "m1";
  options.zone = "z1";
  options.bind = {kLoopback, 0};
  options.lease_granters = {"m1", "m2"};
  options.lease_duration = std::chrono::seconds(60);
  return options;
}

TEST_CASE("the fleet status has the same keys in the same order as before") {
  ProxyFixture fixture;
  NoObserver sink;
  MembershipTransport first(fixture.loop, fixture.log, FixedFleet(), "n0", "z0", sink);
  first.Start();
  operators::FleetOptions options = FixedFleet();
  options.self = "m2";
  options.membership.seeds = {first.membership().self().address};
  MembershipTransport second(fixture.loop, fixture.log, options, "n0", "z0", sink);
  second.Start();
  fixture.WaitUntil("each knows the other",
                    [&] { return first.membership().living() == 1 && second.membership().living() == 1; });
  second.Leave();
  fixture.WaitUntil("the first knows of the leave", [&] { return first.membership().living() == 0; });
  std::string all = WithoutNumbers(first.StatusJson(0)) + "\n";
  CHECK(Golden("console_fleet.txt", all) == all);
}

TEST_CASE("the drain state file is written as before, and the recorded one can be read") {
  const drain::AdministrativeDrains drains({"w1", "w-2\"x"},
                                           {{"w3", ToTimePoint(1'700'000'000'000'000)}, {"w4", TimePoint{}}});
  std::string text = drain::SerializeDrains(drains);
  std::string recorded = Golden("drain_state.json", text);
  CHECK(recorded == text);
  auto read = drain::ParseDrains(recorded);
  REQUIRE(read.has_value());
  CHECK(read->drained() == drains.drained());
  CHECK(read->undrained_at() == drains.undrained_at());
}

TEST_CASE("the log's JSON lines have the same keys in the same order as before") {
  std::FILE* file = std::tmpfile();
  REQUIRE(file != nullptr);
  {
    Log log(file, "dappletiller");
    log.Info("plain %d", 1);
    log.Configure(Log::Format::kJson, Log::Level::kDebug);
    log.Write(Log::Level::kDebug, "a \"quoted\" line\twith\\escapes");
    log.Write(Log::Level::kWarn, "warning");
    log.Write(Log::Level::kError, "error");
    log.Important("always");
  }
  std::rewind(file);
  std::string text;
  for (int c; (c = std::fgetc(file)) != EOF;) text.push_back(static_cast<char>(c));
  std::fclose(file);
  text = WithoutNumbers(text);
  CHECK(Golden("log_lines.txt", text) == text);
}

}  // namespace
}  // namespace dappletiller::testing
