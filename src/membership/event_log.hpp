// A bounded log of membership events as seen by this process, for operators and tests.
#ifndef DAPPLETILLER_MEMBERSHIP_EVENT_LOG_HPP_
#define DAPPLETILLER_MEMBERSHIP_EVENT_LOG_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace dappletiller::membership {

enum class EventKind {
  kJoined,
  kAlive,      // refuted a suspicion, or came back
  kSuspected,  // its probes fail, or others accuse it
  kDied,       // did not respond during the whole suspicion
  kLeft,
  kRestarted,     // runs with a later boot
  kForgotten,     // removed from the table
  kNameConflict,  // another process uses this process's name
  kDisplaced,     // this process gives up its name to a process with a later boot
  kNameRegained,  // this process takes its name back
  kPaused,        // this process was paused
  kAlone          // the last other member died
};
// The event as a phrase that follows the member's name: "joined", "is dead".
std::string_view Describe(EventKind kind);

struct Event {
  std::uint64_t number = 0;  // counts from 1
  TimePoint at;
  EventKind kind = EventKind::kAlive;
  std::string member;
  std::string detail;  // one phrase
};

class EventLog {
 public:
  static constexpr std::size_t kCapacity = 1024;

  // Drops the oldest event once kCapacity are kept.
  void Add(TimePoint now, EventKind kind, const std::string& member, std::string detail);
  const std::deque<Event>& events() const { return events_; }

 private:
  std::deque<Event> events_;  // oldest first
  std::uint64_t last_number_ = 0;
};

}  // namespace dappletiller::membership

#endif  // DAPPLETILLER_MEMBERSHIP_EVENT_LOG_HPP_
