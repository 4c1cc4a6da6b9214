// State shared by the parts of the membership protocol. Owned by Membership and passed to each part; each
// member is modified only by the part responsible for it.
#ifndef DAPPLETILLER_MEMBERSHIP_PROTOCOL_STATE_HPP_
#define DAPPLETILLER_MEMBERSHIP_PROTOCOL_STATE_HPP_

#include <cstdint>
#include <pcg_random.hpp>

#include "membership/broadcast_queue.hpp"
#include "membership/event_log.hpp"
#include "membership/local_health.hpp"
#include "membership/member_table.hpp"
#include "membership/probe_order.hpp"
#include "membership/settings.hpp"

namespace dappletiller::membership {

// Counted since startup.
struct Counters {
  std::uint64_t received = 0;
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;  // by EncodedSizeBound
  std::uint64_t misaddressed = 0;
  std::uint64_t replayed = 0;
  std::uint64_t stale = 0;  // records of an earlier boot than the known one
  std::uint64_t malformed = 0;
  std::uint64_t accusations_ignored = 0;
  std::uint64_t claims_ignored = 0;
  std::uint64_t full = 0;  // members or claims dropped because a table was full
  std::uint64_t probes = 0;
  std::uint64_t probes_failed = 0;
  std::uint64_t refuted = 0;
  std::uint64_t pauses = 0;
  std::uint64_t full_exchanges = 0;
  std::uint64_t verified = 0;
  std::uint64_t false_deaths = 0;  // dead members that came back
  std::uint64_t deaths = 0;
};

struct ProtocolState {
  ProtocolState(Settings initial, TestFaults planted, std::uint64_t seed);
  // Not copyable: parts keep references into it.
  ProtocolState(const ProtocolState&) = delete;
  ProtocolState& operator=(const ProtocolState&) = delete;

  // Number of transmissions before an update is removed from the queue.
  int MaxTransmissions() const;
  // Digest of the living members, including this process.
  std::uint64_t Digest() const;
  // A random duration below `limit`.
  Duration RandomBelow(Duration limit);
  // True with this probability.
  bool Chance(double probability);

  Settings settings;
  const TestFaults faults;
  MemberRecord self;
  pcg64 random;
  MemberTable members;
  ProbeOrder probe_order;
  BroadcastQueue broadcasts;
  EventLog events;
  Counters counters;
  LocalHealth health;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_PROTOCOL_STATE_HPP_
