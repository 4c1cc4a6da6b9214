// Requests are answered by their deadlines, whatever else happens at that time.
#include <string>

#include "downstream/receive_times.hpp"
#include "support.hpp"

namespace dappletiller::testing {
namespace {

// The module uses a single timer. An event that is handled when the timer is due but has not run yet answers
// the first request and schedules the wake-up for the second. If that wake-up were dropped in favour of the
// due one, the second request would stay unanswered until another event.
TEST_CASE("a queued request is answered at its deadline, whatever event runs the earlier timer") {
  enum class Other { kList, kRequest, kClientLeaves };
  Other other = Other::kList;
  SUBCASE("an endpoint list") { other = Other::kList; }
  SUBCASE("a request") { other = Other::kRequest; }
  SUBCASE("a client that disconnects") { other = Other::kClientLeaves; }
  constexpr int kFirstWithin = 100;   // milliseconds
  constexpr int kSecondWithin = 300;  // before any other timer of the module
  ProxyFixture fixture;               // no server is known, so requests are queued
  TestConnection first = fixture.ConnectClient();
  TestConnection second = fixture.ConnectClient();
  TestConnection third = fixture.ConnectClient();
  if (other == Other::kClientLeaves) third.Send(SafeRequest("third"));
  fixture.WaitUntil("all are connected", [&] { return fixture.listener.connections() == 3; });
  first.Send(SafeRequestWithTimeout("first", kFirstWithin));
  second.Send(SafeRequestWithTimeout("second", kSecondWithin));
  std::size_t held = other == Other::kClientLeaves ? 3 : 2;
  fixture.WaitUntil("the requests are queued", [&] { return fixture.dispatcher.open_requests() == held; });
  // The next event is in the kernel when the first deadline's timer is due.
  if (other == Other::kRequest) third.Send(SafeRequest("third"));
  if (other == Other::kClientLeaves) third.Close();
  Micros due_by = fixture.loop.Now() + kFirstWithin * kMs;
  WaitWithoutLoop("the first deadline has passed", [&] { return fixture.loop.Now() > due_by; });
  if (other == Other::kList) fixture.SetEndpoints({}, EndpointList::Kind::kSnapshot);
  fixture.WaitForData(first, "HTTP/1.1 503 ");
  fixture.WaitForData(second, "HTTP/1.1 503 ");
}

// If the timeout ran from the first byte, a slowly written request would have expired when it is complete.
TEST_CASE("the timeout of a slowly written request runs from its last byte") {
  constexpr int kWithin = 300;  // milliseconds
  const std::string request = SafeRequestWithTimeout("slow", kWithin);
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  client.Send(request.substr(0, request.size() / 2));
  Micros written_until = fixture.loop.Now() + 2 * kWithin * kMs;
  fixture.WaitUntil("more than its timeout has passed", [&] { return fixture.loop.Now() > written_until; });
  client.Send(request.substr(request.size() / 2));
  fixture.WaitForRequest(server, "slow").Send(Response(200, "in time"));
  fixture.WaitForData(client, "in time");
}

// The event loop reports a request only after the round in which it arrived.
TEST_CASE("a proxy that is busy while a request arrives tells its server too much time") {
  constexpr int kWithin = 5'000;  // milliseconds
  constexpr Micros kBusy = 300 * kMs;
  constexpr Micros kSlack = 150 * kMs;
  ProxyFixture fixture;
  TestServer server;
  fixture.SetEndpoints({&server});
  TestConnection client = fixture.ConnectClient();
  bool is_new = false;
  SUBCASE("on an open connection") {
    fixture.WaitUntil("it is connected", [&] { return fixture.listener.connections() == 1; });
  }
  SUBCASE("in the accept queue") { is_new = true; }
  CAPTURE(is_new);
  fixture.loop.RunOnce(0);
  client.Send(SafeRequestWithTimeout("b", kWithin));
  const Micros sent_at = fixture.loop.Now();
  WaitWithoutLoop("the proxy is busy", [&] { return fixture.loop.Now() > sent_at + kBusy; });
  TestConnection& at = fixture.WaitForRequest(server, "b");
  CHECK(StatedTimeout(at.text) <= kWithin * kMs - kBusy + kSlack);
  at.Send(Response(200, "done"));
  fixture.WaitForData(client, "done");
}

// If the timeout ran from the previous response, a pipelined request would be answered too late.
TEST_CASE("the timeout of a pipelined request runs while it waits") {
  constexpr int kWithin = 200;  // milliseconds
  // Of another class: a request with far less time than others of its class counts as a late retry.
  std::string second = UnsafeRequestWithTimeout("second", kWithin);
  bool in_pieces = false;
  SUBCASE("received with the first") {}
  SUBCASE("received in two pieces after it") { in_pieces = true; }
  ProxyFixture fixture;  // no server is known yet, so the first request is queued
  TestServer server;
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("first") + (in_pieces ? "" : second));
  fixture.WaitUntil("the first request is queued", [&] { return fixture.dispatcher.open_requests() == 1; });
  if (in_pieces) {
    client.Send(second.substr(0, 20));
    fixture.loop.RunOnce(0);
    client.Send(second.substr(20));
  }
  // The event loop runs and reads the data behind the first request.
  Micros over_at = fixture.loop.Now() + 2 * kWithin * kMs;
  fixture.WaitUntil("the second request's timeout is over", [&] { return fixture.loop.Now() > over_at; });
  fixture.SetEndpoints({&server});
  fixture.WaitForRequest(server, "first").Send(Response(200, "for the first"));
  fixture.WaitForData(client, "for the first");
  fixture.WaitForData(client, "HTTP/1.1 503 ");
  CheckSettled(fixture);
  server.Accept();
  for (TestConnection& connection : server.connections)
    CHECK_FALSE(connection.HasReceived("Request-Id: second"));
}

TEST_CASE("receive times: a message has the time of the read with its last byte") {
  ReceiveTimes times;
  times.Restart(10, 100);
  CHECK(times.Take(10) == 100);
  CHECK(times.reads() == 0);
  times.Restart(10, 200);  // one message and the first two bytes of the next
  times.Add(3, 13, 300);
  times.Add(5, 18, 400);
  CHECK(times.Take(8) == 200);
  CHECK(times.Take(5) == 300);  // ends with the second read
  CHECK(times.Take(1) == 400);
  times.Restart(9, 500);  // the rest of the current message
  CHECK(times.Take(9) == 500);
}

TEST_CASE("receive times: when framing is discarded, the latest bytes keep their time") {
  ReceiveTimes times;
  times.Add(100, 100, 100);
  times.Add(20, 30, 200);  // 90 bytes of framing were discarded
  CHECK(times.Take(10) == 100);
  CHECK(times.Take(20) == 200);
  times.Add(20, 5, 300);  // more bytes than are kept
  CHECK(times.Take(5) == 300);
  CHECK(times.reads() == 0);
}

TEST_CASE("receive times: many small reads use bounded memory and never count as later than they were") {
  ReceiveTimes times;
  const Micros reads = 4 * ReceiveTimes::kMaxReads;
  for (Micros at = 1; at <= reads; ++at) times.Add(1, static_cast<std::size_t>(at), at);
  CHECK(times.reads() == ReceiveTimes::kMaxReads);
  for (Micros at = 1; at <= reads; ++at) {
    Micros taken = times.Take(1);
    CHECK(taken <= at);
    if (at <= static_cast<Micros>(ReceiveTimes::kMaxReads)) CHECK(taken == at);
  }
  CHECK(times.reads() == 0);
}

}  // namespace
}  // namespace dappletiller::testing
