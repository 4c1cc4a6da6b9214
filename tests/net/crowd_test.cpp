// Real sockets: what a crowd of clients does to the others.
#include <string>
#include <vector>

#include "support.hpp"

namespace dappletiller::testing {
namespace {

// A whole call on this connection, answered by the worker.
void Serve(Rig& rig, Host& worker, Peer& client, const std::string& id) {
  client.text.clear();
  client.Say(Check(id));
  Peer& at = rig.Request(worker, id);
  at.text.clear();
  at.Say(Answer(200, "body of " + id));
  rig.Hears(client, "body of " + id);
}

// Guards against idle connections that shut new clients out: seen with 128 places, of which each one-shot
// client kept one for the whole idle time, so that 45 to 95 calls a second were served where 192 to 376 could
// be.
TEST_CASE("clients that call once and stay are let in at any pace, and one that comes back keeps its place") {
  constexpr std::size_t kPlaces = 8;
  Rig rig(Rules(), kBound, 64, 8, kPlaces);
  Host worker;
  rig.Know({&worker});
  Peer faithful = rig.Client();
  Serve(rig, worker, faithful, "f0");
  Serve(rig, worker, faithful, "f1");
  std::vector<Peer> once;
  for (int i = 0; i < 40; ++i) {
    CAPTURE(i);
    // The platform lets no client in beyond the places: there has to be one by now.
    REQUIRE(rig.listener.connections() < kPlaces);
    once.push_back(rig.Client());
    Serve(rig, worker, once.back(), "o" + std::to_string(i));
    if (i % 10 == 9) Serve(rig, worker, faithful, "f" + std::to_string(i));
  }
  CHECK_FALSE(faithful.Ended());
  rig.Until("the first of the others have gone", [&] { return once.front().Ended(); });
  CHECK_FALSE(once.front().reset);
}

TEST_CASE("a crowd that asks whether we are up pushes out nobody but itself") {
  Rig rig(Rules(), kBound, 24, 4, 8);
  Host worker;
  rig.Know({&worker});
  Peer faithful = rig.Client();
  Serve(rig, worker, faithful, "f0");
  Peer once = rig.Client();
  Serve(rig, worker, once, "o0");
  std::vector<Peer> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(rig.Client());
    for (int again = 0; again < 2; ++again) {
      crowd.back().text.clear();
      crowd.back().Say("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
      rig.Hears(crowd.back(), "HTTP/1.1 200 ");
    }
  }
  CHECK(crowd.front().Ended());
  CHECK_FALSE(faithful.Ended());
  CHECK_FALSE(once.Ended());
  Serve(rig, worker, faithful, "f1");
}

// Guards against a new client that is sent away in the very round in which it came, before its request, which
// needs the time of a trip, could be here: seen with a crowd that opened 900 connections a second.
TEST_CASE("in a crowd a new client is given the time to ask") {
  Rig rig(Rules(), kBound, 12, 4, 8);
  std::vector<Peer> crowd;
  for (int i = 0; i < 12; ++i) {
    crowd.push_back(rig.Client());
    crowd.back().Say("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    rig.Hears(crowd.back(), "HTTP/1.1 200 ");
  }
  // All of these wait to be accepted in one round.
  std::vector<Peer> fresh;
  for (int i = 0; i < 6; ++i) fresh.push_back(rig.Client());
  rig.Until("six of the crowd went", [&] { return crowd[5].Ended(); });
  for (Peer& client : fresh) CHECK_FALSE(client.Ended());
}

// Guards against an answered client that reads nothing more holding its descriptor while others wait.
TEST_CASE("one that has its last answer goes before all others when a descriptor is needed") {
  Rig rig(Rules(), kBound, 3, 1, 8);
  Peer silent = rig.Client();
  rig.Until("it is in", [&] { return rig.listener.connections() == 1; });
  Peer bad = rig.Client();
  bad.Say("nonsense\r\n\r\n");
  rig.Hears(bad, "HTTP/1.1 400 ");
  Peer third = rig.Client();
  rig.Until("all are in", [&] { return rig.listener.connections() == 3; });
  Peer fourth = rig.Client();
  fourth.Say("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
  rig.Hears(fourth, "HTTP/1.1 200 ");
  CHECK_FALSE(silent.Ended());
  CHECK_FALSE(third.Ended());
}

TEST_CASE("with all places busy the answer itself ends the connection") {
  Rig rig(Rules(), kBound, 64, 8, 2);
  Host worker;
  rig.Know({&worker});
  std::vector<Peer> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(rig.Client());
    clients.back().Say(Check("b" + std::to_string(i)));
    rig.Request(worker, "b" + std::to_string(i));
  }
  Peer& at = rig.Request(worker, "b0");
  at.text.clear();
  at.Say(Answer(200, "done"));
  rig.Hears(clients[0], "done");
  CHECK(clients[0].Has("Connection: close"));
  rig.Until("it ends", [&] { return clients[0].Ended(); });
  CHECK_FALSE(clients[0].reset);
}

}  // namespace
}  // namespace dappletiller::testing
