// Probes that wait for their answers: SWIM's pings, whoever wanted them.
//
// Owns the table of open probes, bounded by kMaxOpen. A probe's sequence number is random, so that only who
// received the ping can answer it; its lowest bits say which repetition of the ping is answered, so that a
// lost ping doesn't pass for a slow one (Karn and Partridge, 1987).
#ifndef DAPPLETILLER_MEMBERSHIP_PROBER_HPP_
#define DAPPLETILLER_MEMBERSHIP_PROBER_HPP_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "membership/transmitter.hpp"

namespace dappletiller::membership {

enum class ProbePurpose {
  kRound,         // this member's turn in the probe order
  kVerification,  // of a claim that a member runs there
  kSeed,          // to join, or to find members that were cut off
  kSuspicion,     // of our own, before a suspect is declared dead
  kRelay,         // on behalf of another member (indirect probe)
  kNameConflict   // whether another process with our name runs
};

struct Probe {
  static constexpr std::size_t kMaxPings = 8;

  ProbePurpose purpose = ProbePurpose::kRound;
  std::string name;  // empty: whoever is at the address
  std::string address;
  std::uint64_t boot = 0;  // 0: any
  TimePoint sent_at;
  Duration timeout{};          // of the direct probe; the probe fails after three times this
  bool helpers_asked = false;  // indirect probes are under way, or not wanted
  int helpers = 0;             // that were asked
  int nacks = 0;               // from helpers
  int attempts = 0;            // kVerification: earlier probes of the same claim
  int repetitions = 0;         // pings after the first
  std::array<TimePoint, kMaxPings> pinged_at{};  // by repetition
  std::string requester_address;                 // kRelay: on whose behalf
  std::uint64_t requester_sequence = 0;
};

// Whom to probe.
struct ProbeTarget {
  std::string name;  // empty: whoever is at the address
  std::string address;
  std::uint64_t boot = 0;  // 0: any
};
ProbeTarget TargetOf(const Member& member);

class Prober {
 public:
  static constexpr std::size_t kMaxOpen = 1024;
  using Probes = std::map<std::uint64_t, Probe>;  // by sequence number

  // Both must outlive it.
  Prober(ProtocolState& state, Transmitter& transmitter) : state_(state), transmitter_(transmitter) {}

  // Sends the first ping. Null if kMaxOpen probes are open: nothing was sent.
  Probe* Start(TimePoint now, ProbePurpose purpose, const ProbeTarget& target);
  // Sends one more ping of an open probe; does nothing if it is no longer open.
  void Repeat(TimePoint now, std::uint64_t sequence);

  // The probe that an answer with this sequence number belongs to, and its iterator's end otherwise.
  Probes::iterator FindAnswered(std::uint64_t sequence);
  // When the ping was sent that an answer with this sequence number answers.
  static TimePoint AnsweredPing(const Probe& probe, std::uint64_t sequence);

  Probes& open() { return probes_; }
  std::size_t size() const { return probes_.size(); }
  void Clear() { probes_.clear(); }
  // Time in which this process stood still does not count against any probe.
  void Postpone(Duration pause);

 private:
  static constexpr std::uint64_t kRepetitionMask = 7;
  static_assert(kRepetitionMask + 1 == Probe::kMaxPings);

  void SendPing(std::uint64_t sequence, const Probe& probe);

  ProtocolState& state_;
  Transmitter& transmitter_;
  Probes probes_;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_PROBER_HPP_
