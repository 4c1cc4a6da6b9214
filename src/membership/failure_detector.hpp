// SWIM's failure detector with Lifeguard's extensions: each interval one member is pinged; one that does not
// answer is pinged through helpers, then suspected; a suspect that answers none of our own last probes is
// dead.
//
// No member is declared dead on another's word. Dead members are probed again now and then, so that a
// partition heals by itself.
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
  // All must outlive it.
  FailureDetector(ProtocolState& state, Transmitter& transmitter, Prober& prober,
                  MemberTransitions& transitions, ClaimVerifier& verifier)
      : state_(state),
        transmitter_(transmitter),
        prober_(prober),
        transitions_(transitions),
        verifier_(verifier) {}

  void ScheduleProbes(TimePoint now);
  void ScheduleDeadRetries(TimePoint now);
  // A member that another accuses is to be probed at once, out of its turn.
  void ProbeSoon(const std::string& name) { probe_soon_.push_back(name); }
  // Whether another member can be taken for ProbeSoon: at most kMaxProbedSoon wait.
  bool HasRoomToProbeSoon() const { return probe_soon_.size() < kMaxProbedSoon; }
  // Repeats, widens and ends open probes.
  void RunProbes(TimePoint now);
  // Probes suspects whose time runs out, and decides on those that stayed silent.
  void RunSuspicions(TimePoint now);
  // Probes the next member in order.
  void ProbeNextMember(TimePoint now);
  // Probes one dead member, or forgets one that has been dead for long.
  void RetryDeadMember(TimePoint now);
  // After this process stood still for `pause`: nothing that waits for an answer has waited in that time.
  void Postpone(TimePoint now, Duration pause);

 private:
  static constexpr int kSuspicionProbes = 5;
  static constexpr Duration kSuspicionProbeInterval = std::chrono::milliseconds(200);
  static constexpr Duration kMaxDeadRetryInterval = std::chrono::seconds(5);
  static constexpr std::size_t kMaxProbedSoon = 64;
  static constexpr int kProbeTimeouts = 3;  // a probe fails after so many time-outs of its first ping

  // What open probes need, gathered in one pass and done after it.
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
