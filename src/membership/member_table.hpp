// The members that this process knows, each in one of the four states of SWIM, and what follows from the
// states: how many live, who is suspect, who is dead, and the digest by which two processes compare their
// tables.
//
// Owns all Member objects; their addresses stay valid until Remove or Clear. Knows no messages and no
// time-outs.
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

// What is known while a member is suspect.
struct Suspicion {
  TimePoint started;
  TimePoint last_probe;  // of our own, sent because of the suspicion
  int probes = 0;        // sent because of the suspicion
  std::set<std::string> accusers;
  bool reported_left = false;  // another says that it has left: silence confirms that, not a death
};

struct Member {
  static constexpr double kMaxAccusations = 5;    // believed at once
  static constexpr double kAccusationRate = 0.5;  // a second, after that
  static constexpr double kMaxNewNames = 2000;    // at once: as many as a full state exchange may bring
  static constexpr double kNewNameRate = 20;      // a second, after that

  MemberRecord record;
  TimePoint since;       // in this state
  TimePoint last_heard;  // a message of its own, or a helper's word that it answered
  TimePoint retry_at;    // dead: not probed again before
  Suspicion suspicion;
  ReplayWindow replay_window;
  // Bounds a member that calls all others suspect, be it a liar or cut off itself.
  TokenBucket accusations{kMaxAccusations, kAccusationRate};
  // Bounds a member that has us probe thousands of addresses of its choice.
  TokenBucket new_names{kMaxNewNames, kNewNameRate};
  std::uint64_t fingerprint = 0;  // its part of the digest
};

// Takes over attributes of `from` that are new (up to `max_attributes` in all) or of a later version.
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
  // Of the living members' fingerprints; this process is not among them.
  std::uint64_t digest() const { return digest_; }

  // Adds a member that the table doesn't have; it counts in no state until SetState.
  Member& Add(const MemberRecord& record);
  void SetState(TimePoint now, MemberState state, Member* member);
  void Remove(const std::string& name);
  void Clear();
  // The member that has been dead or gone for longest; null if all live.
  const Member* FindLongestGone() const;
  // Whether a living member is reached at `address`.
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
