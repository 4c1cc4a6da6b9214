// Updates on members that are still to be disseminated, piggybacked on the messages that are sent anyway
// (SWIM, 4.1): the least often sent first, of those the newest. An update is retired once it has been sent
// often enough.
//
// Accusations of one member by different accusers are kept side by side, since Lifeguard counts them; any
// other update on a member replaces all that is pending on it. Holds at most one update per member, and one
// more per accuser that suspicion still counts.
#ifndef DAPPLETILLER_MEMBERSHIP_BROADCAST_QUEUE_HPP_
#define DAPPLETILLER_MEMBERSHIP_BROADCAST_QUEUE_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "membership/message.hpp"

namespace dappletiller::membership {

class BroadcastQueue {
 public:
  void Enqueue(const MemberRecord& record);
  // Another member sends this update as well, so it has spread: it counts as sent once more (feedback and
  // counter of Demers et al., PODC 1987). `sender_group` has one of 64 bits set; each counts once for an
  // update, so that one member who repeats itself silences nothing.
  void NoteReceived(const MemberRecord& record, std::uint64_t sender_group, int max_transmissions);
  // Adds updates to `message` while its size, with `reserved_size` more bytes, stays within `max_size`.
  void Piggyback(std::size_t reserved_size, std::size_t max_size, int max_transmissions, Message* message);
  void Clear();
  std::size_t size() const { return updates_.size(); }

 private:
  static constexpr std::size_t kMaxCandidates = 32;  // looked at for one message

  struct PendingUpdate {
    MemberRecord record;
    int transmissions = 0;            // by us, and one for each group in `sender_groups`
    std::uint64_t sender_groups = 0;  // who sent it to us, as bits
    std::uint64_t age = 0;            // the place in the order of Enqueue
  };
  // Accusations: "name accuser"; others: "name".
  using Updates = std::map<std::string, PendingUpdate>;
  // Transmissions, and the age inverted so that the newest comes first.
  using Priority = std::pair<int, std::uint64_t>;

  static Priority PriorityOf(const PendingUpdate& update) { return {update.transmissions, ~update.age}; }
  Updates::iterator Retire(Updates::iterator update);
  void CountTransmission(Updates::iterator update, int max_transmissions);

  Updates updates_;
  std::map<Priority, Updates::iterator> by_priority_;
  std::uint64_t last_age_ = 0;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_BROADCAST_QUEUE_HPP_
