// The table of known members, each in one of the four states of SWIM, with the number of living members, the
// sets of suspect and dead members, and the digest by which two processes compare their tables. Owns all
// Member objects; their addresses are valid until Remove or Clear. Does not handle messages or timeouts.
#ifndef DAPPLETILLER_MEMBERSHIP_MEMBER_TABLE_HPP_
#define DAPPLETILLER_MEMBERSHIP_MEMBER_TABLE_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/message.hpp"
#include "membership/replay_filter.hpp"
#include "membership/token_bucket.hpp"

namespace dappletiller::membership {

// State of a suspicion.
struct Suspicion {
  TimePoint started;
  TimePoint last_probe;  // sent by this process because of the suspicion
  int probes = 0;        // sent because of the suspicion
  std::set<std::string> accusers;
  bool reported_left =
      false;  // another member reported that it left: silence then confirms the leave, not a death
};

struct Member {
  static constexpr double kMaxAccusations = 5;    // accepted as a burst
  static constexpr double kAccusationRate = 0.5;  // per second after the burst
  static constexpr double kMaxNewNames = 2000;    // as a burst: as many as a full state exchange may contain
  static constexpr double kNewNameRate = 20;      // per second after the burst

  MemberRecord record;
  TimePoint since;       // start of the current state
  TimePoint last_heard;  // own message, or an answer reported by a helper
  TimePoint retry_at;    // dead: next probe not before this time
  Suspicion suspicion;
  ReplayWindow replay_window;
  // Limits a member that accuses all others, because it is faulty or partitioned itself.
  TokenBucket accusations{kMaxAccusations, kAccusationRate};
  // Limits a member that makes this process probe thousands of addresses.
  TokenBucket new_names{kMaxNewNames, kNewNameRate};
  std::uint64_t fingerprint = 0;  // its contribution to the digest
};

// Copies attributes of `from` that are new (up to `max_attributes` in total) or have a later version.
void MergeAttributes(const std::vector<Attribute>& from, std::size_t max_attributes,
                     std::vector<Attribute>* to);

class MemberTable {
 public:
  using Members = std::map<std::string, Member>;

  const Members& members() const { return members_; }
  Member* Find(const std::string& name);
  const Member* Find(const std::string& name) const;
  std::size_t size() const { return members_.size(); }
  std::size_t living() const { return living_; }  // alive or suspect
  const std::set<std::string>& suspects() const { return suspects_; }
  const std::set<std::string>& dead() const { return dead_; }
  // Digest of the living members' fingerprints, without this process.
  std::uint64_t digest() const { return digest_; }

  // Adds a new member; it counts in no state until SetState.
  Member& Add(const MemberRecord& record);
  void SetState(TimePoint now, MemberState state, Member* member);
  void Remove(const std::string& name);
  void Clear();
  // The member that has been dead or left for the longest time; null if all are alive.
  const Member* FindLongestGone() const;
  // Whether a living member has this address.
  bool HasLivingAt(const std::string& address) const;

 private:
  Members members_;
  std::set<std::string> suspects_;
  std::set<std::string> dead_;
  std::size_t living_ = 0;
  std::uint64_t digest_ = 0;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_MEMBER_TABLE_HPP_
