// End of streams: a reset must never count as an orderly end, whichever system call reported it first. Also
// attempts that must not begin after their client has disconnected or their write timeout has passed. Both
// events of a race are in the kernel before the event loop's next round.
#include <optional>
#include <string>

#include "http/text.hpp"
#include "support.hpp"

namespace dappletiller::testing {
namespace {

// ---- Stream socket ----

struct Recorder final : StreamSocket::Callbacks {
  explicit Recorder(EventLoop& loop) : socket(loop, *this) {}
  std::span<char> ReceiveBuffer() override { return room; }
  void OnReceived(std::size_t n) override {
    text.append(room.data(), n);
    if (!replies) return;
    socket.output().Append("reply");
    socket.Flush();
  }
  void OnClosed(StreamEnd how) override {
    ++closed_count;
    closed = how;
  }
  StreamSocket socket;
  std::array<char, 4096> room{};
  std::string text;
  bool replies = false;  // writes from within OnReceived
  int closed_count = 0;
  std::optional<StreamEnd> closed;
};

// An adopted connection and its other end.
struct AdoptedConnection {
  explicit AdoptedConnection(Recorder& recorder) : connection(TestConnection::Connect(host.port)) {
    REQUIRE(host.Accept());
    // The stream socket owns the descriptor from here on.
    FileDescriptor accepted = host.connections.back().Release();
    REQUIRE(recorder.socket.Adopt(accepted));
  }
  TestServer host;
  TestConnection connection;
};

TEST_CASE("a reset is reported as a reset and an end as an end, whichever system call detected it") {
  enum class DetectedBy { kByRead, kByStaleCheck, kByWrite, kByWriteWithinRead, kByPoll, kByErrorQuery };
  for (bool reset : {false, true}) {
    for (bool fin_before : {false, true}) {
      for (DetectedBy detected_by :
           {DetectedBy::kByRead, DetectedBy::kByStaleCheck, DetectedBy::kByWrite,
            DetectedBy::kByWriteWithinRead, DetectedBy::kByPoll, DetectedBy::kByErrorQuery}) {
        for (bool bytes : {false, true}) {
          CAPTURE(reset);
          CAPTURE(fin_before);
          CAPTURE(static_cast<int>(detected_by));
          CAPTURE(bytes);
          EventLoop loop;
          Recorder recorder(loop);
          AdoptedConnection pair(recorder);
          recorder.replies = detected_by == DetectedBy::kByWriteWithinRead;
          if (bytes) pair.connection.Send("abc");
          if (fin_before) pair.connection.ShutdownWrite();
          if (reset) {
            pair.connection.Reset();
          } else {
            pair.connection.ShutdownWrite();
          }
          WaitWithoutLoop("the end is in the kernel", [&] { return recorder.socket.PeerHasClosed(); });
          if (detected_by == DetectedBy::kByStaleCheck) CHECK(recorder.socket.IsStale());
          if (detected_by == DetectedBy::kByPoll) CHECK(recorder.socket.PeerHasClosed());
          if (detected_by == DetectedBy::kByWrite && reset) {
            recorder.socket.output().Append("late");
            recorder.socket.Flush();
          }
          for (int i = 0; recorder.closed_count == 0 && i < 1000; ++i) loop.RunOnce(5 * kMs);
          REQUIRE(recorder.closed_count == 1);
          CHECK(recorder.text == (bytes ? "abc" : ""));
          CHECK((*recorder.closed == StreamEnd::kBroken) == reset);
          for (int i = 0; i < 3; ++i) loop.RunOnce(0);
          CHECK(recorder.closed_count == 1);
        }
      }
    }
  }
}

TEST_CASE("the end of a stream does not affect the next one on the same object") {
  EventLoop loop;
  Recorder recorder(loop);
  for (bool reset : {true, false}) {
    AdoptedConnection pair(recorder);
    if (reset) {
      pair.connection.Reset();
    } else {
      pair.connection.Close();
    }
    int before = recorder.closed_count;
    for (int i = 0; recorder.closed_count == before && i < 1000; ++i) loop.RunOnce(5 * kMs);
    CHECK((*recorder.closed == StreamEnd::kBroken) == reset);
  }
}

// ---- Owners of stream sockets ----

struct TruncatedResponse {
  const char* what;
  std::string bytes;
  bool complete_at_end;    // if an orderly end follows
  bool complete_at_reset;  // if a reset follows
};

std::vector<TruncatedResponse> TruncatedResponses() {
  return {
      {"no length, no body", "HTTP/1.1 200 OK\r\n\r\n", true, false},
      {"no length, part of the body", "HTTP/1.1 200 OK\r\n\r\nmade so far", true, false},
      {"no length, Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nmade so far", true,
       false},
      {"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nmade so far", true, false},
      {"chunked, without the last chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmade\r\n", false, false},
      {"chunked, without the last line",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmade\r\n0\r\n", false, false},
      {"Content-Length, incomplete", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nmade so far", false,
       false},
      {"half a header", "HTTP/1.1 200 OK\r\nConte", false, false},
      {"Content-Length, complete", "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nmade so far", true, true}};
}

// A response truncated by a reset must not be forwarded as complete, and an unsafe request must not be
// retried.
TEST_CASE("a response truncated by a reset is not forwarded; one with an orderly end is") {
  for (const TruncatedResponse& response : TruncatedResponses()) {
    for (bool reset : {false, true}) {
      for (bool safe : {false, true}) {
        CAPTURE(response.what);
        CAPTURE(reset);
        CAPTURE(safe);
        ProxyFixture fixture;
        TestServer server, other;
        fixture.SetEndpoints({&server});
        TestConnection client = fixture.ConnectClient();
        client.Send(safe ? SafeRequest("a1") : UnsafeRequest("a1"));
        TestConnection& at = fixture.WaitForRequest(server, "a1");
        fixture.SetEndpoints({&other}, EndpointList::Kind::kDelta);
        at.Send(response.bytes);
        if (reset) {
          at.Reset();
        } else {
          at.Close();
        }
        if (reset ? response.complete_at_reset : response.complete_at_end) {
          fixture.WaitForData(client, "HTTP/1.1 200 OK\r\n");
          CheckSettled(fixture);
          CHECK_FALSE(other.Accept());
          continue;
        }
        if (safe) {
          fixture.WaitForRequest(other, "a1").Send(Response(200, "whole elsewhere"));
          fixture.WaitForData(client, "whole elsewhere");
        } else {
          fixture.WaitForData(client, "HTTP/1.1 502 ");
          CHECK_FALSE(other.Accept());
        }
        CheckSettled(fixture);
        CHECK_FALSE(client.HasReceived("made"));
      }
    }
  }
}

// A list truncated by a reset may be the beginning of another one, even if it is valid JSON.
TEST_CASE("a list truncated by a reset is not applied and is requested again") {
  for (bool reset : {false, true}) {
    CAPTURE(reset);
    balancer::Settings settings = TestSettings();
    settings.endpoints_on_request = true;
    settings.poll_interval = 1'000 * kMs;
    ProxyFixture fixture(settings);
    fixture.SetEndpoints({});
    TestServer server;
    fixture.WaitUntil("discovery receives a request", [&] { return fixture.discovery_server.Accept(); });
    TestConnection& request = fixture.discovery_server.connections[0];
    fixture.WaitForData(request, "\r\n\r\n");
    request.Send(
        "HTTP/1.1 200 "
        "OK\r\n\r\n{\"rev\":42,\"all\":false,\"targets\":[{\"uid\":\"w\",\"endpoint\":\"127.0.0.1:" +
        std::to_string(server.port) + "\",\"az\":\"here\",\"model\":\"plain\",\"state\":\"up\"}]}\n");
    if (reset) {
      request.Reset();
    } else {
      request.Close();
    }
    fixture.WaitUntil("discovery receives another request",
                      [&] { return fixture.discovery_server.Accept(); });
    TestConnection& again = fixture.discovery_server.connections[1];
    fixture.WaitForData(again, reset ? "?after=41&" : "?after=42&");
    CHECK(fixture.dispatcher.known_servers() == (reset ? 0 : 1));
  }
}

// ---- Attempts that must not begin ----

enum class Disconnect { kClose, kReset, kCloseBehindBytes };

void DisconnectClient(TestConnection& client, Disconnect how) {
  if (how == Disconnect::kCloseBehindBytes) {
    for (int i = 0; i < 20; ++i) client.TrySend(SafeRequest("behind" + std::to_string(i)));
  }
  if (how == Disconnect::kReset) {
    client.Reset();
  } else {
    client.Close();
  }
}

// No attempt may begin for a client that has disconnected. The disconnect is in the kernel behind the outcome
// that causes the retry, and an idle connection would send the retry immediately.
TEST_CASE("no retry begins for a client whose disconnect is known to the kernel") {
  for (Disconnect how : {Disconnect::kClose, Disconnect::kReset, Disconnect::kCloseBehindBytes}) {
    for (bool may_cancel : {false, true}) {
      for (std::size_t burst : {1, 4}) {
        CAPTURE(static_cast<int>(how));
        CAPTURE(may_cancel);
        CAPTURE(burst);
        balancer::Settings settings = TestSettings();
        settings.may_cancel = may_cancel;
        ProxyFixture fixture(settings);
        TestServer first, second;
        // Creates idle connections to the second server.
        fixture.SetEndpoints({&second});
        std::vector<TestConnection> clients;
        for (std::size_t i = 0; i < burst; ++i) {
          clients.push_back(fixture.ConnectClient());
          clients[i].Send(SafeRequest("w" + std::to_string(i)));
        }
        for (std::size_t i = 0; i < burst; ++i) fixture.WaitForRequest(second, "w" + std::to_string(i));
        for (TestConnection& connection : second.connections) connection.Send(Response(200, "warm"));
        for (TestConnection& client : clients) fixture.WaitForData(client, "warm");
        fixture.SetEndpoints({&second}, EndpointList::Kind::kDelta, EndpointState::kDraining);
        fixture.SetEndpoints({&first}, EndpointList::Kind::kDelta);
        for (std::size_t i = 0; i < burst; ++i) clients[i].Send(SafeRequest("a" + std::to_string(i)));
        for (std::size_t i = 0; i < burst; ++i) fixture.WaitForRequest(first, "a" + std::to_string(i));
        fixture.SetEndpoints({&second}, EndpointList::Kind::kDelta);
        TestConnection next = fixture.ConnectClient();
        next.Send(SafeRequest("warm-again"));
        TestConnection* warm = nullptr;
        fixture.WaitUntil("a server has the request", [&] {
          for (TestServer* host : {&first, &second}) {
            host->Accept();
            for (TestConnection& connection : host->connections) {
              if (connection.HasReceived("Request-Id: warm-again\r\n")) warm = &connection;
            }
          }
          return warm != nullptr;
        });
        warm->Send(Response(200, "again"));
        fixture.WaitForData(next, "again");
        for (TestConnection& connection : second.connections) connection.text.clear();
        // Both in the kernel: the rejection that causes the retry, then the client's disconnect.
        for (TestConnection& connection : first.connections) {
          if (connection.HasReceived("Request-Id: a"))
            connection.Send(Response(503, "", "Not-Started: 1\r\n"));
        }
        for (TestConnection& client : clients) DisconnectClient(client, how);
        fixture.WaitUntil("the disconnects are noticed",
                          [&] { return fixture.dispatcher.open_requests() == 0; });
        CheckSettled(fixture);
        // Attempts that have begun are in the kernel by now, also on connections not accepted yet.
        while (second.Accept()) {
        }
        for (TestConnection& connection : second.connections)
          CHECK_FALSE(connection.HasReceived("Request-Id: a"));
      }
    }
  }
}

// The connection is established and the client disconnects while the process is stalled. The attempt must not
// begin.
TEST_CASE("no attempt begins on a connection established after its client has disconnected") {
  for (Disconnect how : {Disconnect::kClose, Disconnect::kReset, Disconnect::kCloseBehindBytes}) {
    for (bool may_cancel : {false, true}) {
      CAPTURE(static_cast<int>(how));
      CAPTURE(may_cancel);
      balancer::Settings settings = TestSettings();
      settings.may_cancel = may_cancel;
      ProxyFixture fixture(settings);
      TestServer shut(false, true);
      fixture.SetEndpoints({&shut});
      TestConnection client = fixture.ConnectClient();
      client.Send(SafeRequest("a1"));
      fixture.WaitUntil("a connection is being established",
                        [&] { return fixture.upstream_pool.connections() == 1; });
      shut.Open();
      WaitWithoutLoop("the connection is established", [&] { return shut.Accept(); });
      DisconnectClient(client, how);
      fixture.WaitUntil("the disconnect is noticed", [&] { return fixture.dispatcher.open_requests() == 0; });
      CheckSettled(fixture);
      TestConnection next = fixture.ConnectClient();
      next.Send(SafeRequest("b1"));
      fixture.WaitForRequest(shut, "b1");
      for (TestConnection& connection : shut.connections)
        CHECK_FALSE(connection.HasReceived("Request-Id: a1"));
    }
  }
}

std::string Open(const std::string& id) {
  return "POST /api?k=1 HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Class: open\r\nIdempotency-Key: k1\r\nRequest-Timeout: 15000m\r\nContent-Length: "
         "4\r\n\r\nopen";
}

// A retry decided within the lifetime of the idempotency key must not be written after it, when its
// connection is established late: the servers would run the request again.
TEST_CASE(
    "a retry that cannot be written within the key's lifetime is revoked, and the request is answered "
    "immediately") {
  for (bool stood_still : {false, true}) {
    CAPTURE(stood_still);
    balancer::Settings settings = TestSettings();
    settings.classes[2].key_lifetime = 400 * kMs;
    ProxyFixture fixture(settings);
    TestServer first, shut(false, true);
    fixture.SetEndpoints({&first});
    TestConnection client = fixture.ConnectClient();
    client.Send(Open("a1"));
    TestConnection& at = fixture.WaitForRequest(first, "a1");
    Micros sent_by = fixture.loop.Now();
    fixture.SetEndpoints({&shut}, EndpointList::Kind::kDelta);
    fixture.SetEndpoints({&first}, EndpointList::Kind::kDelta, EndpointState::kDraining);
    at.Send(Response(500));  // it may have run; the connection stays open
    fixture.WaitUntil("the retry is connecting", [&] {
      return fixture.upstream_pool.connections() == 2 || client.HasReceived("HTTP/1.1 502 ");
    });
    REQUIRE_FALSE(client.HasReceived("HTTP/1.1 "));
    if (stood_still) {
      // Established in the kernel, but the event loop notices it only after the key's lifetime.
      shut.Open();
      WaitWithoutLoop("the connection is established", [&] { return shut.Accept(); });
      WaitWithoutLoop("the key's lifetime is over",
                      [&] { return fixture.loop.Now() > sent_by + settings.classes[2].key_lifetime; });
    }
    fixture.WaitForData(client, "HTTP/1.1 502 ");
    CheckSettled(fixture);
    CHECK(fixture.upstream_pool.connections() == 1);
    if (!stood_still) shut.Open();
    TestConnection next = fixture.ConnectClient();
    next.Send(SafeRequest("b1"));
    fixture.WaitForRequest(shut, "b1");
    for (TestConnection& connection : shut.connections) CHECK_FALSE(connection.HasReceived("Request-Id: a1"));
  }
}

// The time stated to a server must not include the time spent on connecting.
TEST_CASE("an attempt states the time left when it is written, not when it began to connect") {
  ProxyFixture fixture;
  TestServer shut(false, true);
  fixture.SetEndpoints({&shut});
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("a1"));
  fixture.WaitUntil("a connection is being established",
                    [&] { return fixture.upstream_pool.connections() == 1; });
  Micros begun_by = fixture.loop.Now();
  shut.Open();
  WaitWithoutLoop("the connection is established", [&] { return shut.Accept(); });
  Micros up_at = fixture.loop.Now();
  TestConnection& at = fixture.WaitForRequest(shut, "a1");
  const std::string name = "\r\nRequest-Timeout: ";
  std::size_t position = at.text.find(name);
  REQUIRE(position != std::string::npos);
  auto stated = http::ParseTimeout(at.text.substr(
      position + name.size(), at.text.find('u', position + name.size()) + 1 - position - name.size()));
  REQUIRE(stated.has_value());
  CHECK(*stated <= begun_by + 15'000 * kMs - up_at);
}

}  // namespace
}  // namespace dappletiller::testing
