// Sends probes (SWIM's pings) and keeps them until they are answered. Owns the table of open probes, bounded
// by kMaxOpen. A probe's sequence number is random, so that only the recipient of the ping can answer it. Its
// lowest bits identify the repetition of the ping, so that a lost ping is not taken for a slow one (Karn and
// Partridge, 1987).
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
  kSeed,          // to join, or to find members after a partition
  kSuspicion,     // of this process, before a suspect is declared dead
  kRelay,         // on behalf of another member (indirect probe)
  kNameConflict   // whether another process with this name is running
};

struct Probe {
  static constexpr std::size_t kMaxPings = 8;

  ProbePurpose purpose = ProbePurpose::kRound;
  std::string name;  // empty: any member at the address
  std::string address;
  std::uint64_t boot = 0;  // 0: any
  TimePoint sent_at;
  Duration timeout{};          // of the direct probe; the probe fails after three times this
  bool helpers_asked = false;  // indirect probes have been requested, or are not wanted
  int helpers = 0;             // number of helpers asked
  int nacks = 0;               // received from helpers
  int attempts = 0;            // kVerification: earlier probes of the same claim
  int repetitions = 0;         // pings after the first
  std::array<TimePoint, kMaxPings> pinged_at{};  // by repetition
  std::string requester_address;                 // kRelay: the requester
  std::uint64_t requester_sequence = 0;
};

// The member or address to probe.
struct ProbeTarget {
  std::string name;  // empty: any member at the address
  std::string address;
  std::uint64_t boot = 0;  // 0: any
};
ProbeTarget TargetOf(const Member& member);

class Prober {
 public:
  static constexpr std::size_t kMaxOpen = 1024;
  using Probes = std::map<std::uint64_t, Probe>;  // by sequence number

  // Both must outlive this object.
  Prober(ProtocolState& state, Transmitter& transmitter) : state_(state), transmitter_(transmitter) {}

  // Sends the first ping. Null, without sending, if kMaxOpen probes are open.
  Probe* Start(TimePoint now, ProbePurpose purpose, const ProbeTarget& target);
  // Sends one more ping of an open probe; does nothing if it is no longer open.
  void Repeat(TimePoint now, std::uint64_t sequence);

  // The probe with this sequence number, or the end iterator.
  Probes::iterator FindAnswered(std::uint64_t sequence);
  // Send time of the ping that an answer with this sequence number belongs to.
  static TimePoint AnsweredPing(const Probe& probe, std::uint64_t sequence);

  Probes& open() { return probes_; }
  std::size_t size() const { return probes_.size(); }
  void Clear() { probes_.clear(); }
  // Excludes a pause of this process from the timeouts of all probes.
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
