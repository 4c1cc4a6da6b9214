// SWIM's failure detector with Lifeguard's extensions: each interval one member is pinged; one that does not
// answer is pinged through helpers, then suspected; a suspect that answers none of our own last probes is
// dead. No member is declared dead because of another's claim alone. Dead members are probed again
// periodically, so that partitions heal.
#ifndef DAPPLETILLER_MEMBERSHIP_FAILURE_DETECTOR_HPP_
#define DAPPLETILLER_MEMBERSHIP_FAILURE_DETECTOR_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/claim_verifier.hpp"
#include "membership/member_transitions.hpp"
#include "membership/prober.hpp"

namespace dappletiller::membership {

class FailureDetector {
 public:
  // All must outlive this object.
  FailureDetector(ProtocolState& state, Transmitter& transmitter, Prober& prober,
                  MemberTransitions& transitions, ClaimVerifier& verifier)
      : state_(state),
        transmitter_(transmitter),
        prober_(prober),
        transitions_(transitions),
        verifier_(verifier) {}

  void ScheduleProbes(TimePoint now);
  void ScheduleDeadRetries(TimePoint now);
  // Probes a member that another one accuses soon, out of order.
  void ProbeSoon(const std::string& name) { probe_soon_.push_back(name); }
  // Whether ProbeSoon accepts another member: at most kMaxProbedSoon are queued.
  bool HasRoomToProbeSoon() const { return probe_soon_.size() < kMaxProbedSoon; }
  // Repeats, widens and ends open probes.
  void RunProbes(TimePoint now);
  // Probes suspects whose timeout is near, and declares those dead that do not respond.
  void RunSuspicions(TimePoint now);
  // Probes the next member in order.
  void ProbeNextMember(TimePoint now);
  // Probes one dead member, or forgets one that has been dead for long.
  void RetryDeadMember(TimePoint now);
  // After this process was paused: excludes the pause from all running timeouts.
  void Postpone(TimePoint now, Duration pause);

 private:
  static constexpr int kSuspicionProbes = 5;
  static constexpr Duration kSuspicionProbeInterval = std::chrono::milliseconds(200);
  static constexpr Duration kMaxDeadRetryInterval = std::chrono::seconds(5);
  static constexpr std::size_t kMaxProbedSoon = 64;
  static constexpr int kProbeTimeouts = 3;  // a probe fails after this many timeouts of its first ping

  // Work on open probes, collected in one pass and done after it.
  struct DueWork {
    std::vector<std::uint64_t> to_repeat;
    std::vector<std::uint64_t> to_ask_helpers;
    std::vector<std::string> failed;
  };

  bool HandleRelay(TimePoint now, std::uint64_t sequence, const Probe& probe, DueWork* due);
  bool HandleProbe(TimePoint now, std::uint64_t sequence, const Probe& probe, DueWork* due);
  bool WantsRepetition(Duration age, const Probe& probe) const;
  void OnProbeFailed(TimePoint now, const Probe& probe, DueWork* due);
  void AskHelpers(std::uint64_t sequence);
  Duration SuspicionTimeout(const Member& member) const;
  void RunSuspicion(TimePoint now, Member* member);
  void Decide(TimePoint now, Member* member);
  void ProbeDead(TimePoint now, Member* member);

  ProtocolState& state_;
  Transmitter& transmitter_;
  Prober& prober_;
  MemberTransitions& transitions_;
  ClaimVerifier& verifier_;
  TimePoint next_probe_;
  TimePoint next_dead_retry_;
  std::vector<std::string> probe_soon_;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_FAILURE_DETECTOR_HPP_
