// Settings of the membership protocol. The defaults are explained in docs/design/membership.md.
#ifndef DAPPLETILLER_MEMBERSHIP_SETTINGS_HPP_
#define DAPPLETILLER_MEMBERSHIP_SETTINGS_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace dappletiller::membership {

struct Settings {
  std::string name;     // of this process: 1 to kMaxNameLength printable characters
  std::string address;  // address for other members, "a.b.c.d:port"
  std::string zone;
  std::string program;     // version of the program
  std::uint64_t boot = 0;  // increases with each start; only the order matters (Unix microseconds will do)
  std::vector<std::string> seeds;  // addresses to join by

  Duration probe_interval = std::chrono::milliseconds(500);  // one member is probed, in shuffled order
  Duration min_probe_timeout =
      std::chrono::milliseconds(200);                          // before helpers are asked for indirect probes
  Duration gossip_interval = std::chrono::milliseconds(200);   // while updates are pending
  Duration full_exchange_interval = std::chrono::seconds(30);  // push-pull anti-entropy with one member
  Duration min_suspicion_timeout =
      std::chrono::milliseconds(1500);  // once enough members confirm it, up to 100
                                        // members; grows with their logarithm
  int max_suspicion_multiplier = 4;     // times that, while nobody confirms it (Lifeguard)
  int indirect_probes = 3;              // helpers asked to ping a member that does not answer
  int gossip_fanout = 3;                // members that a round of gossip goes to
  int retransmit_multiplier = 4;        // an update is sent this often times log2 of the members
  Duration dead_member_retention = std::chrono::hours(72);  // how long a dead member is retried
  std::size_t max_members = 4096;
  std::size_t max_datagram_size = 1400;  // bytes, including the MAC
  Duration pause_threshold =
      std::chrono::milliseconds(400);  // ticks further apart mean that the process was paused
};

// Faults that tests plant to show that their checks can fail (docs/membership.md, Simulated). Not used in
// production.
struct TestFaults {
  bool never_refute = false;          // accusations of this member stay unanswered
  bool never_retire_updates = false;  // updates are gossiped forever
  bool never_retry_dead = false;      // dead members are not probed again
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_SETTINGS_HPP_
