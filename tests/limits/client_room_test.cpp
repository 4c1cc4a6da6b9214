// Which connections stay and which go, on sequences of events.
#include "limits/client_room.hpp"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dappletiller::limits {
namespace {

using Id = ClientRoom::Id;

// Carries out what the room asks for, and remembers in which order.
struct Keeper {
  explicit Keeper(std::size_t places) : room(places, 100) {}
  Id Open() {
    room.Opened(++last, now);
    open.insert(last);
    return last;
  }
  Id Called(Id id, bool rests = true) {
    room.Receiving(id);
    room.Called(id);
    if (rests) room.Rested(id);
    return id;
  }
  Id Probed(Id id) {
    room.Receiving(id);
    room.Probed(id);
    room.Rested(id);
    return id;
  }
  bool Close(Id id) {
    if (stubborn.count(id) != 0) return false;
    CHECK(open.erase(id) == 1);
    gone.push_back(id);
    room.Closed(id);
    return true;
  }
  void Trim() {
    room.Trim([this](Id id) { return Close(id); });
  }
  bool MakeRoom() {
    return room.MakeRoom(now, [this](Id id) { return Close(id); });
  }
  ClientRoom room;
  std::set<Id> open;
  std::set<Id> stubborn;  // that have bytes of a request waiting, say
  std::vector<Id> gone;
  Id last = 0;
  ClientRoom::Micros now = 0;
};

TEST_CASE("below half of the places nobody goes; beyond it the ones used once, longest at rest first") {
  Keeper k(8);
  std::vector<Id> all;
  for (int i = 0; i < 4; ++i) all.push_back(k.Called(k.Open()));
  k.Trim();
  CHECK(k.gone.empty());
  k.Called(all[0]);  // it came back, so that the second is next
  Id fifth = k.Called(k.Open());
  k.Trim();
  CHECK(k.gone == std::vector<Id>{all[1]});
  CHECK(k.open.count(fifth) == 1);
}

TEST_CASE("ones that came back stay until three quarters are taken, and the longest at rest goes") {
  Keeper k(8);
  std::vector<Id> all;
  for (int i = 0; i < 6; ++i) all.push_back(k.Called(k.Called(k.Open())));
  k.Trim();
  CHECK(k.gone.empty());
  Id seventh = k.Called(k.Open(), false);
  k.Trim();
  CHECK(k.gone == std::vector<Id>{all[0]});
  CHECK(k.open.count(seventh) == 1);
}

TEST_CASE("busy ones count for the places and never go") {
  Keeper k(8);
  std::vector<Id> busy;
  for (int i = 0; i < 9; ++i) busy.push_back(k.Called(k.Open(), false));
  k.Trim();
  CHECK_FALSE(k.MakeRoom());
  CHECK(k.gone.empty());
  // None at rest could go instead of it: its own answer says so.
  CHECK(k.room.LastAnswer(busy[0]));
  k.room.Rested(busy[1]);
  CHECK_FALSE(k.room.LastAnswer(busy[0]));
  k.Trim();
  CHECK(k.gone == std::vector<Id>{busy[1]});
}

TEST_CASE("what goes when a descriptor is needed") {
  Keeper k(100);
  Id returned = k.Called(k.Called(k.Open()));
  Id once = k.Called(k.Open());
  Id probing = k.Probed(k.Open());
  Id silent = k.Open();
  Id told = k.Called(k.Open(), false);
  k.room.ToldToGo(told);
  Id receiving = k.Open();
  k.room.Receiving(receiving);
  k.now = 100;
  Id fresh = k.Open();
  for (int i = 0; i < 9; ++i) k.Probed(probing);  // being the most recent doesn't help
  while (k.MakeRoom()) {
  }
  CHECK(k.gone == std::vector<Id>{told, silent, probing, once, fresh, returned});
  CHECK(k.open == std::set<Id>{receiving});
}

TEST_CASE("a probe takes nothing away from one that has called, and a call lifts one that probed") {
  Keeper k(100);
  Id caller = k.Probed(k.Called(k.Open()));
  Id prober = k.Called(k.Probed(k.Open()));
  CHECK(k.room.resting(Standing::kOnce) == 2);
  CHECK(k.room.calling() == 2);
  k.Called(prober);
  CHECK(k.MakeRoom());
  CHECK(k.gone == std::vector<Id>{caller});
}

TEST_CASE("one that cannot go is passed over, and the next goes") {
  Keeper k(100);
  Id first = k.Open();
  Id second = k.Open();
  k.stubborn = {first};
  CHECK(k.MakeRoom());
  CHECK(k.gone == std::vector<Id>{second});
  CHECK_FALSE(k.MakeRoom());
}

TEST_CASE("one-shot clients by the thousand are all let in, and ones that come back keep their places") {
  Keeper k(100);
  std::vector<Id> faithful;
  for (int i = 0; i < 20; ++i) faithful.push_back(k.Called(k.Called(k.Open())));
  for (int i = 0; i < 5000; ++i) {
    REQUIRE(k.room.calling() < 100);  // there is a place before the client needs it
    k.Called(k.Open());
    if (i % 50 == 0) k.Called(faithful[static_cast<std::size_t>(i / 50) % faithful.size()]);
    k.Trim();
  }
  for (Id id : faithful) CHECK(k.open.count(id) == 1);
}

// Whatever happens in whatever order: counts agree with a plain model, none busy is ever closed, events for
// unknown ids do nothing.
TEST_CASE("random events") {
  for (unsigned seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Keeper k(1 + random() % 20);
    struct Model {
      int calls = 0;
      bool rests = true;
      bool told = false;
    };
    std::map<Id, Model> model;
    auto sync = [&] {
      for (Id id : k.gone) {
        REQUIRE(model.count(id) == 1);
        CHECK(model[id].rests);
        model.erase(id);
      }
      k.gone.clear();
    };
    for (int step = 0; step < 3000; ++step) {
      Id id = 1 + random() % (k.last + 2);
      bool known = model.count(id) != 0 && !model[id].told;
      k.now += static_cast<ClientRoom::Micros>(random() % 40);
      switch (random() % 8) {
        case 0:
          model[k.Open()] = {};
          break;
        case 1:
          k.room.Receiving(id);
          if (model.count(id) != 0) model[id].rests = false;
          break;
        case 2:
          if (model.count(id) != 0 && model[id].told) break;
          k.room.Called(id);
          if (known) ++model[id].calls, model[id].rests = false;
          break;
        case 3:
          k.room.Rested(id);
          if (model.count(id) != 0) model[id].rests = true;
          break;
        case 4:
          k.room.ToldToGo(id);
          if (model.count(id) != 0) model[id] = {0, true, true};
          break;
        case 5:
          k.Trim();
          break;
        case 6:
          if (random() % 4 == 0) k.MakeRoom();
          break;
        default:
          if (random() % 4 != 0) break;
          k.room.Closed(id);  // its client went, busy or not
          k.open.erase(id);
          model.erase(id);
      }
      sync();
      std::size_t calling = 0;
      std::size_t resting = 0;
      for (const auto& [at, m] : model) {
        calling += m.calls > 0 ? 1 : 0;
        resting += m.rests ? 1 : 0;
      }
      std::size_t told = 0;
      for (std::size_t i = 0; i < kStandings; ++i) told += k.room.resting(static_cast<Standing>(i));
      REQUIRE(k.room.calling() == calling);
      REQUIRE(told == resting);
    }
  }
}

}  // namespace
}  // namespace dappletiller::limits
