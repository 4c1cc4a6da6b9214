#include "membership/event_log.hpp"

#include <utility>

namespace dappletiller::membership {

std::string_view Describe(EventKind kind) {
  switch (kind) {
    case EventKind::kJoined:
      return "joined";
    case EventKind::kAlive:
      return "is alive";
    case EventKind::kSuspected:
      return "is suspect";
    case EventKind::kDied:
      return "is dead";
    case EventKind::kLeft:
      return "left";
    case EventKind::kRestarted:
      return "restarted";
    case EventKind::kForgotten:
      return "is forgotten";
    case EventKind::kNameConflict:
      return "is not alone with its name";
    case EventKind::kDisplaced:
      return "gives its name up";
    case EventKind::kNameRegained:
      return "takes its name back";
    case EventKind::kPaused:
      return "woke";
    case EventKind::kAlone:
      break;
  }
  return "is alone";
}

void EventLog::Add(TimePoint now, EventKind kind, const std::string& member, std::string detail) {
  events_.push_back({++last_number_, now, kind, member, std::move(detail)});
  if (events_.size() > kCapacity) events_.pop_front();
}

}  // namespace dappletiller::membership
