// Group membership: the other processes of the fleet and their states. SWIM (Das, Gupta, Motivala, DSN 2002)
// with Lifeguard (Dadgar, Phillips, Currey, DSN 2018); docs/design/membership.md explains the differences.
// Invariants: a process becomes a member only after it has answered a probe of this process, and a member is
// never declared dead because of another member's claim alone. Pure: takes messages and time, returns
// messages and events. No sockets, clocks, threads or global state; randomness comes from the seed. Every
// table is bounded. Messages that are foreign, stale, replayed or out of bounds are counted and ignored.
// Nothing throws. Not thread-safe. Parts: MemberTable (known members), FailureDetector and Prober (probes and
// suspicions), MemberTransitions (state changes), GossipHandler (claims by others), ClaimVerifier
// (verification of claims), BroadcastQueue (updates to disseminate), AntiEntropy (full state exchange),
// NameConflict (another process with the same name).
#ifndef DAPPLETILLER_MEMBERSHIP_MEMBERSHIP_HPP_
#define DAPPLETILLER_MEMBERSHIP_MEMBERSHIP_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "membership/anti_entropy.hpp"
#include "membership/claim_verifier.hpp"
#include "membership/failure_detector.hpp"
#include "membership/gossip_handler.hpp"
#include "membership/member_transitions.hpp"
#include "membership/name_conflict.hpp"
#include "membership/prober.hpp"
#include "membership/protocol_state.hpp"
#include "membership/replay_filter.hpp"
#include "membership/settings.hpp"
#include "membership/transmitter.hpp"

namespace dappletiller::membership {

enum class MessageVerdict {
  kAccepted,
  kMalformed,
  kMisaddressed,  // for another member, or another boot of this one
  kReplayed
};

struct ReceiveResult {
  MessageVerdict verdict = MessageVerdict::kAccepted;
  std::vector<Outgoing> outgoing;
};

struct StateRequestResult {
  std::optional<Message> response;  // to be sent back on the stream; nothing: the request was rejected
  std::vector<Outgoing> outgoing;
};

class Membership {
 public:
  // Tick must be called at least this often.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);

  Membership(Settings settings, std::uint64_t seed, TestFaults faults = {});

  // All times are of one monotonic clock. The returned messages must be sent immediately, in order.
  [[nodiscard]] std::vector<Outgoing> Start(TimePoint now);  // once, before any other call
  [[nodiscard]] std::vector<Outgoing> Tick(TimePoint now);
  // Handles a message that was authenticated with a key of this fleet.
  [[nodiscard]] ReceiveResult Receive(TimePoint now, const Message& message);
  // The same for a kStateRequest received over a stream.
  [[nodiscard]] StateRequestResult ReceiveStateRequest(TimePoint now, const Message& message);
  // Announces that this process leaves; it may exit once has_left() is true (within a second).
  [[nodiscard]] std::vector<Outgoing> Leave(TimePoint now);

  bool is_leaving() const { return leaving_since_ != TimePoint{}; }
  bool has_left(TimePoint now) const { return is_leaving() && now >= leaving_since_ + kLeaveTime; }
  // An operator states that a dead member will not come back. False: it is not dead here.
  bool ForceRemove(TimePoint now, const std::string& name);
  // Publishes a versioned attribute of this process. False: out of bounds, or kMaxAttributes exist.
  bool Publish(const std::string& key, const std::string& value);
  // Changes intervals, limits and seeds; name, address, boot, zone and program stay.
  void UpdateSettings(const Settings& settings);
  // Creates a message of another part of the program; nothing if the member is not alive.
  std::optional<Outgoing> MakeApplicationMessage(const std::string& recipient, std::string topic,
                                                 std::string body);

  const MemberTable::Members& members() const { return state_.members.members(); }
  const MemberRecord& self() const { return state_.self; }
  // Whether another process has taken over this process's name.
  bool displaced() const { return name_conflict_.displaced(); }
  int health_score() const { return state_.health.score(); }      // 0: healthy (Lifeguard)
  std::size_t living() const { return state_.members.living(); }  // others that are alive or suspect
  const Counters& counters() const { return state_.counters; }
  const std::deque<Event>& events() const { return state_.events.events(); }
  const Settings& settings() const { return state_.settings; }
  std::size_t open_probes() const { return prober_.size(); }
  std::size_t pending_updates() const { return state_.broadcasts.size(); }

 private:
  static constexpr Duration kLeaveTime = std::chrono::milliseconds(600);
  static constexpr std::size_t kLeaveFanout = 16;
  static constexpr Duration kSeedIntervalUntilJoined = std::chrono::seconds(1);
  static constexpr Duration kSeedInterval = std::chrono::seconds(3);

  void CatchUp(TimePoint now);
  void ContactSeeds(TimePoint now);
  void Gossip(TimePoint now);
  Message MakeGossip();

  MessageVerdict Process(TimePoint now, const Message& message);
  bool IsAddressedHere(const Message& message) const;
  MessageVerdict ProcessFromOther(TimePoint now, const Message& message);
  bool AnswersOpenProbe(const Message& message);
  void NoteSender(TimePoint now, const MemberRecord& sender, Member* member);
  void NoteUnknownSender(TimePoint now, const MemberRecord& sender, const Member* earlier_start);
  void OnPing(const Message& message);
  void OnAck(TimePoint now, bool sender_is_known, const Message& message);
  void RelayAck(const Probe& probe, const MemberRecord& answerer);
  void OnPingRequest(TimePoint now, const Message& message);
  void OnNack(const Message& message);

  ProtocolState state_;
  Transmitter transmitter_;
  Prober prober_;
  AntiEntropy anti_entropy_;
  MemberTransitions transitions_;
  ClaimVerifier verifier_;
  FailureDetector detector_;
  UnknownSenderFilter unknown_senders_;
  NameConflict name_conflict_;
  GossipHandler gossip_;
  TimePoint last_call_;  // epoch: none yet
  TimePoint next_gossip_;
  TimePoint next_seed_contact_;
  TimePoint leaving_since_;  // epoch: not leaving
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_MEMBERSHIP_HPP_
