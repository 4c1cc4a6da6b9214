// Resolves conflicts between two processes with the same name. The one with the later boot keeps it. A
// process that finds a later boot alive is displaced: it forgets the fleet, and takes its name back when the
// other has been silent for long.
//
// A name is never given up because of gossip alone: the other process must answer a probe first.
#ifndef DAPPLETILLER_MEMBERSHIP_NAME_CONFLICT_HPP_
#define DAPPLETILLER_MEMBERSHIP_NAME_CONFLICT_HPP_

#include <cstdint>
#include <set>
#include <string>

#include "membership/prober.hpp"
#include "membership/replay_filter.hpp"

namespace dappletiller::membership {

class NameConflict {
 public:
  // All must outlive this object.
  NameConflict(ProtocolState& state, Transmitter& transmitter, Prober& prober, UnknownSenderFilter& filter)
      : state_(state), transmitter_(transmitter), prober_(prober), filter_(filter) {}

  void Start(TimePoint now);
  // Whether this process has given up its name; it is inactive until RegainName then.
  bool displaced() const { return displaced_; }

  // A message whose sender has this process's name.
  void OnMessage(TimePoint now, const Message& message);
  // `sender` claims that a later boot of this name exists.
  void OnGossipAboutLaterStart(TimePoint now, const std::string& sender, const MemberRecord& record);
  // Probes the other process when that is due.
  void Run(TimePoint now);
  // While displaced: returns whether the other process has been silent for long enough. If so, the name is
  // taken back with a boot above the other's, and the caller must join the fleet again.
  bool RegainName(TimePoint now);

 private:
  static constexpr Duration kProbeInterval = std::chrono::seconds(3);
  static constexpr Duration kSilenceToRegain = std::chrono::seconds(15);
  static constexpr Duration kTakeoverTime = std::chrono::seconds(3);  // since the start
  static constexpr Duration kEventInterval = std::chrono::seconds(10);
  // Number of members that must report the other process as gone, if there are as many.
  static constexpr std::size_t kWitnesses = 2;

  void OnOtherAnswered(TimePoint now, const MemberRecord& other);
  void Displace(TimePoint now, const MemberRecord& other);
  void RaiseBoot(std::uint64_t above);

  ProtocolState& state_;
  Transmitter& transmitter_;
  Prober& prober_;
  UnknownSenderFilter& filter_;
  TimePoint started_;
  TimePoint next_probe_;
  bool displaced_ = false;
  std::string other_address_;  // empty: no other process with this name is known
  std::uint64_t other_boot_ = 0;
  TimePoint other_heard_at_;
  TimePoint last_event_;                      // epoch: none yet
  std::set<std::string> says_other_is_gone_;  // members
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_NAME_CONFLICT_HPP_
