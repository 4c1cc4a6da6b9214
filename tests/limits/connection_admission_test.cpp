// Which connections stay open and which are closed, on sequences of events.
#include "limits/connection_admission.hpp"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dappletiller::limits {
namespace {

using Id = ConnectionAdmission::Id;

// Closes the connections that the admission offers, and records their order.
struct Connections {
  explicit Connections(std::size_t slots) : admission(slots, 100) {}
  Id Open() {
    admission.OnOpened(++last, now);
    open.insert(last);
    return last;
  }
  Id Request(Id id, bool idle = true) {
    admission.OnBytesReceived(id);
    admission.OnRequest(id);
    if (idle) admission.OnIdle(id);
    return id;
  }
  Id HealthCheck(Id id) {
    admission.OnBytesReceived(id);
    admission.OnHealthCheck(id);
    admission.OnIdle(id);
    return id;
  }
  bool Close(Id id) {
    if (unclosable.count(id) != 0) return false;
    CHECK(open.erase(id) == 1);
    closed.push_back(id);
    admission.OnClosed(id);
    return true;
  }
  void CloseExcess() {
    admission.CloseExcess([this](Id id) { return Close(id); });
  }
  bool CloseOne() {
    return admission.CloseOne(now, [this](Id id) { return Close(id); });
  }
  ConnectionAdmission admission;
  std::set<Id> open;
  std::set<Id> unclosable;  // refuse to be closed, such as with unread bytes of a request
  std::vector<Id> closed;
  Id last = 0;
  ConnectionAdmission::Micros now = 0;
};

TEST_CASE(
    "below half of the slots none is closed; beyond it those with a single request, longest idle first") {
  Connections connections(8);
  std::vector<Id> all;
  for (int i = 0; i < 4; ++i) all.push_back(connections.Request(connections.Open()));
  connections.CloseExcess();
  CHECK(connections.closed.empty());
  connections.Request(all[0]);  // reused, so the second is closed next
  Id fifth = connections.Request(connections.Open());
  connections.CloseExcess();
  CHECK(connections.closed == std::vector<Id>{all[1]});
  CHECK(connections.open.count(fifth) == 1);
}

TEST_CASE(
    "reused connections stay until three quarters of the slots are used, then the longest idle is closed") {
  Connections connections(8);
  std::vector<Id> all;
  for (int i = 0; i < 6; ++i) all.push_back(connections.Request(connections.Request(connections.Open())));
  connections.CloseExcess();
  CHECK(connections.closed.empty());
  Id seventh = connections.Request(connections.Open(), false);
  connections.CloseExcess();
  CHECK(connections.closed == std::vector<Id>{all[0]});
  CHECK(connections.open.count(seventh) == 1);
}

TEST_CASE("connections with a request use slots and are never closed") {
  Connections connections(8);
  std::vector<Id> busy;
  for (int i = 0; i < 9; ++i) busy.push_back(connections.Request(connections.Open(), false));
  connections.CloseExcess();
  CHECK_FALSE(connections.CloseOne());
  CHECK(connections.closed.empty());
  // No idle connection can be closed instead, so its own response ends it.
  CHECK(connections.admission.ShouldCloseAfterResponse(busy[0]));
  connections.admission.OnIdle(busy[1]);
  CHECK_FALSE(connections.admission.ShouldCloseAfterResponse(busy[0]));
  connections.CloseExcess();
  CHECK(connections.closed == std::vector<Id>{busy[1]});
}

TEST_CASE("order of closing when a descriptor is needed") {
  Connections connections(100);
  Id reused = connections.Request(connections.Request(connections.Open()));
  Id single = connections.Request(connections.Open());
  Id health_checking = connections.HealthCheck(connections.Open());
  Id silent = connections.Open();
  Id closing = connections.Request(connections.Open(), false);
  connections.admission.OnLastResponse(closing);
  Id receiving = connections.Open();
  connections.admission.OnBytesReceived(receiving);
  connections.now = 100;
  Id new_connection = connections.Open();
  for (int i = 0; i < 9; ++i) connections.HealthCheck(health_checking);  // recent use does not protect it
  while (connections.CloseOne()) {
  }
  CHECK(connections.closed ==
        std::vector<Id>{closing, silent, health_checking, single, new_connection, reused});
  CHECK(connections.open == std::set<Id>{receiving});
}

TEST_CASE("a health check does not lower the use of a connection, and a request raises it") {
  Connections connections(100);
  Id requester = connections.HealthCheck(connections.Request(connections.Open()));
  Id health_checker = connections.Request(connections.HealthCheck(connections.Open()));
  CHECK(connections.admission.idle_count(ConnectionUse::kSingleRequest) == 2);
  CHECK(connections.admission.used_slots() == 2);
  connections.Request(health_checker);
  CHECK(connections.CloseOne());
  CHECK(connections.closed == std::vector<Id>{requester});
}

TEST_CASE("a connection that cannot be closed is skipped") {
  Connections connections(100);
  Id first = connections.Open();
  Id second = connections.Open();
  connections.unclosable = {first};
  CHECK(connections.CloseOne());
  CHECK(connections.closed == std::vector<Id>{second});
  CHECK_FALSE(connections.CloseOne());
}

TEST_CASE("thousands of single-request clients are admitted, and reused connections stay open") {
  Connections connections(100);
  std::vector<Id> returning;
  for (int i = 0; i < 20; ++i)
    returning.push_back(connections.Request(connections.Request(connections.Open())));
  for (int i = 0; i < 5000; ++i) {
    REQUIRE(connections.admission.used_slots() < 100);  // a slot is free before the client needs it
    connections.Request(connections.Open());
    if (i % 50 == 0) connections.Request(returning[static_cast<std::size_t>(i / 50) % returning.size()]);
    connections.CloseExcess();
  }
  for (Id id : returning) CHECK(connections.open.count(id) == 1);
}

// For random events in any order: the counts agree with a simple model, no busy connection is closed, and
// events with unknown ids have no effect.
TEST_CASE("random events") {
  for (unsigned seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Connections connections(1 + random() % 20);
    struct Model {
      int requests = 0;
      bool idle = true;
      bool closing = false;
    };
    std::map<Id, Model> model;
    auto sync = [&] {
      for (Id id : connections.closed) {
        REQUIRE(model.count(id) == 1);
        CHECK(model[id].idle);
        model.erase(id);
      }
      connections.closed.clear();
    };
    for (int step = 0; step < 3000; ++step) {
      Id id = 1 + random() % (connections.last + 2);
      bool known = model.count(id) != 0 && !model[id].closing;
      connections.now += static_cast<ConnectionAdmission::Micros>(random() % 40);
      switch (random() % 8) {
        case 0:
          model[connections.Open()] = {};
          break;
        case 1:
          connections.admission.OnBytesReceived(id);
          if (model.count(id) != 0) model[id].idle = false;
          break;
        case 2:
          if (model.count(id) != 0 && model[id].closing) break;
          connections.admission.OnRequest(id);
          if (known) ++model[id].requests, model[id].idle = false;
          break;
        case 3:
          connections.admission.OnIdle(id);
          if (model.count(id) != 0) model[id].idle = true;
          break;
        case 4:
          connections.admission.OnLastResponse(id);
          if (model.count(id) != 0) model[id] = {0, true, true};
          break;
        case 5:
          connections.CloseExcess();
          break;
        case 6:
          if (random() % 4 == 0) connections.CloseOne();
          break;
        default:
          if (random() % 4 != 0) break;
          connections.admission.OnClosed(id);  // the client disconnected, busy or not
          connections.open.erase(id);
          model.erase(id);
      }
      sync();
      std::size_t used_slots = 0;
      std::size_t idle = 0;
      for (const auto& [at, m] : model) {
        used_slots += m.requests > 0 ? 1 : 0;
        idle += m.idle ? 1 : 0;
      }
      std::size_t closing = 0;
      for (std::size_t i = 0; i < kConnectionUses; ++i)
        closing += connections.admission.idle_count(static_cast<ConnectionUse>(i));
      REQUIRE(connections.admission.used_slots() == used_slots);
      REQUIRE(closing == idle);
    }
  }
}

}  // namespace
}  // namespace dappletiller::limits
