// Which server an address belongs to, and that a server whose address another one has got is not used.
#include "dispatch/endpoint_owners.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/support.hpp"

namespace dappletiller::testing {
namespace {

constexpr Endpoint kA{1, 80};
constexpr Endpoint kB{2, 80};
using Uids = std::set<std::string>;

TEST_CASE("an address belongs to the server that was listed there last") {
  EndpointOwners owners;
  owners.BeginList();
  owners.OnListed("old", kA, 0);
  CHECK(owners.TakeAffected().empty());
  owners.BeginList();
  owners.OnListed("old", kA, 0);
  CHECK(owners.TakeAffected().empty());
  owners.OnListed("new", kA, 0);
  CHECK(owners.TakeAffected() == Uids{"new", "old"});
  CHECK(owners.IsSuperseded("old"));
  CHECK_FALSE(owners.IsSuperseded("new"));
  owners.BeginList();  // the old one is still listed
  owners.OnListed("new", kA, 0);
  owners.OnListed("old", kA, 0);
  CHECK(owners.TakeAffected().empty());
  CHECK(owners.IsSuperseded("old"));
  owners.OnRemoved("new");
  CHECK(owners.TakeAffected() == Uids{"old"});
  CHECK_FALSE(owners.IsSuperseded("old"));
  owners.OnRemoved("old");
  CHECK(owners.TakeAffected().empty());
  CHECK(owners.size() == 0);
}

TEST_CASE("an address belongs to the server that started last, whatever the order of the list") {
  EndpointOwners owners;
  owners.BeginList();
  owners.OnListed("new", kA, 2'000);
  owners.OnListed("old", kA, 1'000);
  CHECK(owners.IsSuperseded("old"));
  CHECK_FALSE(owners.IsSuperseded("new"));
  owners.TakeAffected();
  owners.BeginList();
  owners.OnListed("old", kA, 3'000);  // it has come back
  CHECK(owners.TakeAffected() == Uids{"new", "old"});
  CHECK(owners.IsSuperseded("new"));
  CHECK_FALSE(owners.IsSuperseded("old"));
}

TEST_CASE("two servers that are listed at one address from the beginning both keep it") {
  EndpointOwners owners;
  owners.BeginList();
  owners.OnListed("one", kA, 0);
  owners.OnListed("two", kA, 0);
  CHECK_FALSE(owners.IsSuperseded("one"));
  CHECK_FALSE(owners.IsSuperseded("two"));
}

TEST_CASE("servers that exchange their addresses in one list keep the new ones") {
  EndpointOwners owners;
  owners.BeginList();
  owners.OnListed("one", kA, 0);
  owners.OnListed("two", kB, 0);
  owners.BeginList();
  owners.OnListed("one", kB, 0);
  owners.OnListed("two", kA, 0);
  CHECK_FALSE(owners.IsSuperseded("one"));
  CHECK_FALSE(owners.IsSuperseded("two"));
}

EndpointEntry Entry(const std::string& uid, const TestServer& server, int cell) {
  EndpointEntry entry;
  entry.uid = uid;
  entry.endpoint = server.endpoint();
  entry.zone = 0;
  entry.cell = cell;
  return entry;
}

void Update(ProxyFixture& fixture, EndpointList::Kind kind, std::vector<EndpointEntry> entries) {
  EndpointList list;
  list.kind = kind;
  list.entries = std::move(entries);
  fixture.dispatcher.OnEndpointUpdate(list);
}

std::string KeyedRequest(const std::string& id) {
  return "POST /api HTTP/1.1\r\nRequest-Id: " + id +
         "\r\nRequest-Class: open\r\nIdempotency-Key: k\r\nRequest-Timeout: 15000m\r\n"
         "Content-Length: 0\r\n\r\n";
}

TEST_CASE("a repeat meant for a server that has gone reaches the new one at its address") {
  ProxyFixture fixture;
  TestServer first, shared;
  // Both of one cell. The second is not ready yet, so that the first gets the first attempt.
  EndpointEntry second = Entry("old", shared, 1);
  second.state = EndpointState::kDraining;
  Update(fixture, EndpointList::Kind::kSnapshot, {Entry("first", first, 1), second});
  SUBCASE("the old one is listed alone") {
    TestConnection client = fixture.ConnectClient();
    client.Send(KeyedRequest("r1"));
    TestConnection& at = fixture.WaitForRequest(first, "r1");
    Update(fixture, EndpointList::Kind::kDelta, {Entry("old", shared, 1)});
    at.Send(Response(500));
    fixture.WaitForRequest(shared, "r1").Send(Response(200, "repeated"));
    fixture.WaitForData(client, "repeated");
  }
  SUBCASE("a new one of another cell is listed at its address") {
    TestConnection client = fixture.ConnectClient();
    client.Send(KeyedRequest("r1"));
    TestConnection& at = fixture.WaitForRequest(first, "r1");
    Update(fixture, EndpointList::Kind::kDelta, {Entry("old", shared, 1)});
    Update(fixture, EndpointList::Kind::kDelta, {Entry("new", shared, 2)});
    at.Send(Response(500));
    fixture.WaitForData(client, "HTTP/1.1 502 ");
    CHECK_FALSE(shared.Accept());
  }
}

TEST_CASE("a server is used again once its address is its own") {
  ProxyFixture fixture;
  TestServer shared, moved;
  Update(fixture, EndpointList::Kind::kSnapshot, {Entry("old", shared, 1)});
  Update(fixture, EndpointList::Kind::kDelta, {Entry("new", shared, 2)});
  TestServer* expected = &shared;
  SUBCASE("the new one has gone") {
    EndpointEntry gone = Entry("new", shared, 2);
    gone.state = EndpointState::kRemoved;
    Update(fixture, EndpointList::Kind::kDelta, {gone});
  }
  SUBCASE("the new one has gone according to a complete list") {
    Update(fixture, EndpointList::Kind::kSnapshot, {Entry("old", shared, 1)});
  }
  SUBCASE("it has another address, and the new one is drained") {
    EndpointEntry draining = Entry("new", shared, 2);
    draining.state = EndpointState::kDraining;
    Update(fixture, EndpointList::Kind::kDelta, {Entry("old", moved, 1), draining});
    expected = &moved;
  }
  TestConnection client = fixture.ConnectClient();
  client.Send(SafeRequest("r1"));
  fixture.WaitForRequest(*expected, "r1").Send(Response(200, "served"));
  fixture.WaitForData(client, "served");
}

}  // namespace
}  // namespace dappletiller::testing
