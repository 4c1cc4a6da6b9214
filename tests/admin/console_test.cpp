// The operators' console: parsing of requests, drained servers across discovery updates and processes,
// lame-duck mode, and the inherited socket.
#include "admin/console.hpp"

#include <string>
#include <vector>

#include "admin/command.hpp"
#include "drain/administrative_drains.hpp"
#include "drain/drain_state_file.hpp"
#include "net/support.hpp"

namespace dappletiller::testing {
namespace {

using console::Verb;

TEST_CASE("console requests are parsed by method, path and a single who= parameter") {
  struct Row {
    const char* method;
    const char* target;
    Verb verb;
    int status;
    const char* who;
  };
  const std::vector<Row> rows = {
      {"GET", "/_ready", Verb::kReady, 0, ""},
      {"PUT", "/_ready", Verb::kNone, 405, ""},
      {"PUT", "/_lameduck/on", Verb::kLameduckOn, 0, ""},
      {"PUT", "/_lameduck/off", Verb::kLameduckOff, 0, ""},
      {"GET", "/_lameduck/on", Verb::kNone, 405, ""},
      {"PUT", "/_plan-servers/detach?who=w1", Verb::kDetach, 0, "w1"},
      {"PUT", "/_plan-servers/attach?x=1&who=w-2", Verb::kAttach, 0, "w-2"},
      {"PUT", "/_plan-servers/detach", Verb::kNone, 400, ""},
      {"PUT", "/_plan-servers/detach?who=", Verb::kNone, 400, ""},
      {"PUT", "/_plan-servers/detach?who=a&who=b", Verb::kNone, 400, ""},
      {"PUT", "/_plan-servers/detach?who=a%20b", Verb::kNone, 400, ""},
      {"POST", "/_plan-servers/attach?who=w1", Verb::kNone, 405, ""},
      {"GET", "/_settings", Verb::kSettings, 0, ""},
      {"PUT", "/_settings", Verb::kNone, 405, ""},
      {"GET", "/up", Verb::kNone, 404, ""},
      {"PUT", "/_lameduck", Verb::kNone, 404, ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.target);
    console::Command c = console::Read(row.method, row.target);
    CHECK(c.verb == row.verb);
    CHECK(c.status == row.status);
    CHECK(c.who == row.who);
  }
}

TEST_CASE(
    "administrative drains: idempotent, slow start after an undrain, and restored only from complete files") {
  drain::AdministrativeDrains drains;
  CHECK(drains.Drain("w1"));
  CHECK_FALSE(drains.Drain("w1"));
  CHECK(drains.IsDrained("w1"));
  CHECK(drains.EffectiveStart("w1", ToTimePoint(5)) == ToTimePoint(5));
  CHECK_FALSE(drains.Undrain("w2", ToTimePoint(100)));
  CHECK(drains.Undrain("w1", ToTimePoint(100)));
  CHECK_FALSE(drains.Undrain("w1", ToTimePoint(200)));
  CHECK(drains.EffectiveStart("w1", ToTimePoint(5)) == ToTimePoint(100));
  CHECK(drains.EffectiveStart("w1", ToTimePoint(300)) ==
        ToTimePoint(300));  // a later start of the server itself
  drains.Drain("w3");

  std::string text = drain::SerializeDrains(drains);
  auto next = drain::ParseDrains(text);
  REQUIRE(next.has_value());
  CHECK(next->IsDrained("w3"));
  CHECK_FALSE(next->IsDrained("w1"));
  CHECK(next->EffectiveStart("w1", TimePoint{}) == ToTimePoint(100));

  // Truncated, of another format or of another version: rejected.
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    CAPTURE(cut);
    CHECK_FALSE(drain::ParseDrains(text.substr(0, cut)).has_value());
  }
  for (const char* foreign : {"{}", "[]", R"({"format":"dappletiller-held","version":2,"held":[],"back":{}})",
                              R"({"format":"other","version":1,"held":[],"back":{}})",
                              R"({"format":"dappletiller-held","version":1,"held":[1],"back":{}})",
                              R"({"format":"dappletiller-held","version":1,"held":[],"back":{"w1":"x"}})"}) {
    CAPTURE(foreign);
    CHECK_FALSE(drain::ParseDrains(foreign).has_value());
  }
}

TEST_CASE(
    "a drained server gets no new requests while discovery lists it as ready, and returns after an undrain") {
  ProxyFixture fixture;
  TestServer a, b;
  fixture.SetEndpoints({&a, &b});
  std::string uid_a = "w" + std::to_string(a.port);
  CHECK_FALSE(fixture.dispatcher.Drain("never-listed"));
  // A request in flight at the server when it is drained still gets its response.
  TestConnection first = fixture.ConnectClient();
  TestConnection* at = nullptr;
  for (int i = 0; at == nullptr; ++i) {
    REQUIRE(i < 8);
    first.text.clear();
    std::string id = "c" + std::to_string(i);
    first.Send(SafeRequest(id));
    TestConnection& got = [&]() -> TestConnection& {
      TestConnection* found = nullptr;
      fixture.WaitUntil("a server has the request", [&] {
        for (TestServer* h : {&a, &b}) {
          h->Accept();
          for (TestConnection& p : h->connections) {
            if (p.HasReceived("Request-Id: " + id + "\r\n")) found = &p;
          }
        }
        return found != nullptr;
      });
      return *found;
    }();
    bool on_a = std::any_of(a.connections.begin(), a.connections.end(),
                            [&](TestConnection& p) { return &p == &got; });
    if (on_a) {
      at = &got;
    } else {
      got.text.clear();
      got.Send(Response(200, "b " + id));
      fixture.WaitForData(first, "b " + id);
    }
  }
  REQUIRE(fixture.dispatcher.Drain(uid_a));
  REQUIRE(fixture.dispatcher.Drain(uid_a));
  fixture.SetEndpoints({&a, &b}, EndpointList::Kind::kSnapshot);  // discovery still lists the server as ready
  at->Send(Response(200, "from a"));
  fixture.WaitForData(first, "from a");
  for (int i = 0; i < 6; ++i) {
    TestConnection client = fixture.ConnectClient();
    std::string id = "d" + std::to_string(i);
    client.Send(SafeRequest(id));
    TestConnection& got = fixture.WaitForRequest(b, id);
    got.text.clear();
    got.Send(Response(200, "ok " + id));
    fixture.WaitForData(client, "ok " + id);
  }
  for (TestConnection& p : a.connections) CHECK(p.Received().find("Request-Id: d") == std::string::npos);
  CHECK(fixture.dispatcher.Undrain(uid_a));
  CHECK_FALSE(fixture.dispatcher.drains().IsDrained(uid_a));
}

class Answers final : public ConsoleHandler {
 public:
  ConsoleReply Do(const console::Command& c) override {
    seen.push_back(c.verb);
    return {c.verb == Verb::kDetach ? 404 : 200, "fine"};
  }
  std::vector<Verb> seen;
};

TEST_CASE("the console responds immediately while silent clients hold connections, and reports errors") {
  ProxyFixture fixture;
  Answers handler;
  Console console(fixture.loop, fixture.log, handler);
  console.Listen({kLoopback, 0});
  std::vector<TestConnection> silent;
  for (std::size_t i = 0; i < Console::kMaxConnections + 4; ++i)
    silent.push_back(TestConnection::Connect(console.port()));
  TestConnection half = TestConnection::Connect(console.port());
  half.Send("PUT /_lameduck/on HTTP/1.1\r\nHo");
  TestConnection ready = TestConnection::Connect(console.port());
  ready.Send("GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.WaitForData(ready, "HTTP/1.1 200");
  fixture.WaitUntil("the console connection is closed", [&] { return ready.IsClosed(); });
  TestConnection unknown = TestConnection::Connect(console.port());
  unknown.Send("PUT /_plan-servers/detach?who=nobody HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.WaitForData(unknown, "HTTP/1.1 404");
  TestConnection bad = TestConnection::Connect(console.port());
  bad.Send("NOT HTTP\r\n\r\n");
  fixture.WaitForData(bad, "HTTP/1.1 400");
  fixture.WaitUntil("the incomplete request is closed", [&] { return half.IsClosed(); });
  CHECK(handler.seen == std::vector<Verb>{Verb::kReady, Verb::kDetach});
  CHECK(console.connections() <= Console::kMaxConnections);
}

TEST_CASE(
    "lame-duck mode fails health checks, closes idle connections, serves open ones, and can be switched "
    "off") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection idle = fixture.ConnectClient();
  idle.Send(SafeRequest("i0"));
  TestConnection& at = fixture.WaitForRequest(server, "i0");
  at.Send(Response(200, "first"));
  fixture.WaitForData(idle, "first");
  TestConnection busy = fixture.ConnectClient();
  busy.Send(SafeRequest("b0"));
  TestConnection& busy_at = fixture.WaitForRequest(server, "b0");
  REQUIRE(fixture.listener.connections() == 2);
  fixture.listener.SetLameDuck(true);
  CHECK(fixture.listener.connections() ==
        1);  // the idle connection is closed immediately, without waiting for the idle timeout
  fixture.WaitUntil("the idle client is disconnected", [&] { return idle.IsClosed(); });
  busy_at.text.clear();
  busy_at.Send(Response(200, "second"));
  fixture.WaitForData(busy, "Connection: close");
  TestConnection probe = fixture.ConnectClient();
  probe.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.WaitForData(probe, "HTTP/1.1 503");
  fixture.listener.SetLameDuck(false);
  TestConnection again = fixture.ConnectClient();
  again.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.WaitForData(again, "HTTP/1.1 200");
}

TEST_CASE("an inherited socket is accepted only if it is a listening TCP socket") {
  ProxyFixture fixture;
  FileDescriptor plain(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  CHECK_THROWS(fixture.listener.Inherit(plain.get()));
  FileDescriptor datagram(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  CHECK_THROWS(fixture.listener.Inherit(datagram.get()));
  CHECK_THROWS(fixture.listener.Inherit(1000));  // not an open descriptor
}

// Seen in operation: after SIGHUP, clients used a new class and got status 400.
TEST_CASE(
    "a class added by a reload is served, a removed one finishes its open requests, and an unknown effect is "
    "ignored") {
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  std::string fresh = "GET /api HTTP/1.1\r\nHost: x\r\nRequest-Id: n1\r\nRequest-Class: look\r\n\r\n";
  TestConnection before = fixture.ConnectClient();
  before.Send(fresh);
  fixture.WaitForData(before, "HTTP/1.1 400");
  // The reload removes "check" while a request of it is open: the request keeps its class and gets its
  // response.
  TestConnection open = fixture.ConnectClient();
  open.Send(SafeRequest("c1"));
  TestConnection& open_at = fixture.WaitForRequest(server, "c1");
  balancer::Settings changed = TestSettings();
  changed.classes = {changed.classes[0]};
  fixture.dispatcher.ApplySettings(changed, {"look"});
  open_at.text.clear();
  open_at.Send(Response(200, "checked"));
  fixture.WaitForData(open, "checked");
  TestConnection after = fixture.ConnectClient();
  after.Send(fresh);
  TestConnection& at = fixture.WaitForRequest(server, "n1");
  at.text.clear();
  at.Send(Response(200, "looked"));
  fixture.WaitForData(after, "looked");
  // A class with an unknown effect allows no method that a client may use for it.
  changed.classes[0].effect = static_cast<balancer::Effect>(99);
  fixture.dispatcher.ApplySettings(changed, {"odd"});
  TestConnection odd = fixture.ConnectClient();
  odd.Send("GET /api HTTP/1.1\r\nHost: x\r\nRequest-Id: o1\r\nRequest-Class: odd\r\n\r\n");
  fixture.WaitForData(odd, "HTTP/1.1 400");
}

}  // namespace
}  // namespace dappletiller::testing
