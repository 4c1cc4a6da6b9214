// Limits how many client connections are kept, and decides which idle ones are closed first.
//
// Clients may hold a limited number of connections with requests ("slots"). A client that sends one request
// and then keeps its connection open occupies a slot while it is idle. So how long a connection may stay idle
// depends on how many slots are in use, and on what the connection has been used for:
//  - up to half of the slots, a connection may be idle for as long as its owner's timer permits;
//  - beyond that, idle connections with a single request are closed, and beyond three quarters also reused
//    ones, longest idle first. With R new clients per second a slot is then held for about (slots / 2) / R
//    seconds: it is released before the next client needs it, and no earlier;
//  - when a descriptor is needed, connections are closed in the order of ConnectionUse. A new connection has
//    sent nothing, but its first request may be on the way, so it counts as silent only after a grace period.
//    The order depends on the use before the time of the last use, so that a large number of clients that
//    keep touching their connections displaces only its own kind.
// A connection with a request in progress, or with part of a request received, is never closed.
//
// Uses no socket and no clock. The owner reports each event of a connection under an id that is never reused;
// events with unknown ids are ignored. Each event takes constant time. Not thread-safe.
#ifndef DAPPLETILLER_LIMITS_CONNECTION_ADMISSION_HPP_
#define DAPPLETILLER_LIMITS_CONNECTION_ADMISSION_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>

namespace dappletiller::limits {

// What a connection has been used for so far, in the order in which idle connections are closed.
enum class ConnectionUse : std::uint8_t {
  kClosing,          // has received its last response and is given time to read it
  kSilent,           // has sent nothing
  kHealthCheckOnly,  // has sent only health checks
  kSingleRequest,
  kNew,     // has sent nothing, but is within the grace period
  kReused,  // has sent several requests
};
inline constexpr std::size_t kConnectionUses = 6;

class ConnectionAdmission {
 public:
  using Id = std::uint64_t;
  using Micros = std::int64_t;

  // `slots`: maximum number of connections with requests, at least 1. `grace_period`: how long after
  // connecting the first request of a client may be on its way.
  ConnectionAdmission(std::size_t slots, Micros grace_period) : slots_(slots), grace_period_(grace_period) {}
  void Resize(std::size_t slots) { slots_ = slots; }

  void OnOpened(Id id, Micros now);
  void OnBytesReceived(Id id);  // part of a request has been received
  void OnHealthCheck(Id id);    // a complete health check has been received
  void OnRequest(Id id);        // a complete request has been received
  void OnIdle(Id id);           // the response is written and nothing of another request has been received
  void OnLastResponse(Id id);   // a response that ends the connection is written
  void OnClosed(Id id);

  // Whether the response to be written should also end the connection: slots are short and no idle connection
  // could be closed instead. Preferred to closing it later, since no request can be on its way then.
  bool ShouldCloseAfterResponse(Id id) const;

  // Offers connections in the order above until `close` has closed one and returned true (it reports OnClosed
  // itself). `close` must not call any other function of this object.
  using CloseCallback = std::function<bool(Id)>;
  bool CloseOne(Micros now, const CloseCallback& close);  // false: no connection can be closed
  void CloseExcess(const CloseCallback& close);           // while more are idle than the slots permit

  std::size_t slots() const { return slots_; }
  std::size_t used_slots() const { return used_slots_; }  // connections that have sent a request
  std::size_t idle_count(ConnectionUse use) const { return idle_[Index(use)].size(); }

 private:
  using IdleList = std::list<Id>;  // longest idle first
  struct Connection {
    ConnectionUse use = ConnectionUse::kNew;
    bool idle = false;
    Micros opened = 0;
    IdleList::iterator idle_position;
  };
  static std::size_t Index(ConnectionUse use) { return static_cast<std::size_t>(use); }
  static bool UsesSlot(ConnectionUse use) {
    return use == ConnectionUse::kSingleRequest || use == ConnectionUse::kReused;
  }
  static bool HasSentNothing(ConnectionUse use) {
    return use == ConnectionUse::kNew || use == ConnectionUse::kSilent;
  }
  Connection* Find(Id id);
  void EndGracePeriods(Micros now);
  void MarkBusy(Connection& connection);
  void MarkIdle(Id id, Connection& connection);
  bool Offer(ConnectionUse use, const CloseCallback& close);

  std::size_t SingleRequestLimit() const { return slots_ / 2; }
  std::size_t ReusedLimit() const { return slots_ - slots_ / 4; }

  std::size_t slots_;
  Micros grace_period_;
  std::size_t used_slots_ = 0;
  std::unordered_map<Id, Connection> connections_;
  std::array<IdleList, kConnectionUses> idle_;
};

}  // namespace dappletiller::limits

#endif  // DAPPLETILLER_LIMITS_CONNECTION_ADMISSION_HPP_
