// Queue of member updates to disseminate, piggybacked on other messages (SWIM, 4.1). Updates sent least often
// come first, the newest among equals. An update is removed after a number of transmissions. Accusations of a
// member by different accusers are kept separately, since Lifeguard counts them; any other update on a member
// replaces its pending ones. Contains at most one update per member, plus one per counted accuser.
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
  // The update was received from another member, so it has spread and counts as sent once more (feedback and
  // counter of Demers et al., PODC 1987). `sender_group` has one of 64 bits set; each counts once per update,
  // so a single member that repeats itself cannot suppress it.
  void NoteReceived(const MemberRecord& record, std::uint64_t sender_group, int max_transmissions);
  // Adds updates to `message` while its size, with `reserved_size` more bytes, stays within `max_size`.
  void Piggyback(std::size_t reserved_size, std::size_t max_size, int max_transmissions, Message* message);
  void Clear();
  std::size_t size() const { return updates_.size(); }

 private:
  static constexpr std::size_t kMaxCandidates = 32;  // inspected for one message

  struct PendingUpdate {
    MemberRecord record;
    int transmissions = 0;            // by this process, plus one for each group in `sender_groups`
    std::uint64_t sender_groups = 0;  // groups of the senders it was received from
    std::uint64_t age = 0;            // position in the order of Enqueue
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
