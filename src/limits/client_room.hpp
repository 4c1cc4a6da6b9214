// Which of the clients' connections may stay when there are many, and which goes first.
//
// Clients hold only so many connections for their calls. One that asked once and then keeps its connection
// takes a place from the next client for as long as it rests there, whatever the workers could still do. So
// how long a connection may rest follows from how full the places are, and from what the connection was good
// for:
//  - up to half of the places it may rest for as long as its owner's timer grants;
//  - beyond that the ones used once go, the longest at rest first, and beyond three quarters also those that
//    have come back, again the longest at rest first. At R new clients a second a place is then held for
//    about (places / 2) / R seconds: free before the next one needs it, and never shorter than that;
//  - when a descriptor is needed, the order is: told to go, silent, asked only whether we are up, used once,
//  new,
//    come back. A new one is silent too, but its request may be on the way: it counts as silent only after a
//    while. What a connection is counts before when it was last heard of, so that a crowd which keeps
//    touching its connections pushes out nobody but itself.
// A connection with a call, or with part of a request, is never among them.
//
// It knows no socket and no clock: it is told what happens to each connection, by an id that is never used
// twice, and names the ones to close. Events for an id that isn't here are ignored. Each event costs constant
// time.
#ifndef DAPPLETILLER_LIMITS_CLIENT_ROOM_HPP_
#define DAPPLETILLER_LIMITS_CLIENT_ROOM_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>

namespace dappletiller::limits {

// What a connection has been good for so far, in the order in which such connections go.
enum class Standing : std::uint8_t {
  kToldToGo,  // has its last answer and is given a moment to read it
  kSilent,    // has asked nothing yet
  kProbing,   // has asked only whether we are up, however often
  kOnce,      // has made one call
  kNew,       // has asked nothing yet, and hardly could have
  kReturned,  // has made several calls
};
inline constexpr std::size_t kStandings = 6;

class ClientRoom {
 public:
  using Id = std::uint64_t;
  using Micros = std::int64_t;

  // `places`: how many connections clients may hold for calls, at least 1. `new_for`: how long a connection
  // is new, that is, how long after it came its first request may be on its way.
  ClientRoom(std::size_t places, Micros new_for) : places_(places), new_for_(new_for) {}
  void Resize(std::size_t places) { places_ = places; }

  void Opened(Id id, Micros now);
  void Receiving(Id id);  // part of a request is here
  void Probed(Id id);     // a whole request that asks whether we are up
  void Called(Id id);     // a whole request that is a call
  void Rested(Id id);     // its answer is written, nothing of another request is here
  void ToldToGo(Id id);   // its last answer is written
  void Closed(Id id);

  // Whether the answer to be written should also end the connection: places are short, and no other one at
  // rest could go in its stead. Better than closing it later: no request can cross such an end.
  bool LastAnswer(Id id) const;

  // Offers connections in the order above until `close` has closed one and says so (it tells Closed itself).
  // It must not enter this object in any other way.
  using CloseOne = std::function<bool(Id)>;
  bool MakeRoom(Micros now, const CloseOne& close);  // false: nothing that may go
  void Trim(const CloseOne& close);                  // while more rest here than the places allow

  std::size_t places() const { return places_; }
  std::size_t calling() const { return calling_; }  // connections that have made a call
  std::size_t resting(Standing standing) const { return resting_[Place(standing)].size(); }

 private:
  using Resting = std::list<Id>;  // the longest at rest first
  struct Seat {
    Standing standing = Standing::kNew;
    bool at_rest = false;
    Micros opened = 0;
    Resting::iterator place;
  };
  static std::size_t Place(Standing standing) { return static_cast<std::size_t>(standing); }
  static bool Calls(Standing standing) {
    return standing == Standing::kOnce || standing == Standing::kReturned;
  }
  static bool Quiet(Standing standing) { return standing == Standing::kNew || standing == Standing::kSilent; }
  Seat* Find(Id id);
  void AgeNew(Micros now);
  void Busy(Seat& seat);
  void Rest(Id id, Seat& seat);
  bool Offer(Standing standing, const CloseOne& close);

  std::size_t MarkOnce() const { return places_ / 2; }
  std::size_t MarkReturned() const { return places_ - places_ / 4; }

  std::size_t places_;
  Micros new_for_;
  std::size_t calling_ = 0;
  std::unordered_map<Id, Seat> seats_;
  std::array<Resting, kStandings> resting_;
};

}  // namespace dappletiller::limits

#endif  // DAPPLETILLER_LIMITS_CLIENT_ROOM_HPP_
