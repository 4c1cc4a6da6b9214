// Administrative drains as JSON text, which a process leaves for its successor in an upgrade.
//
// Does no file I/O. Text that is truncated, of another format or of another version yields nothing, never
// part of its contents.
//
//   {"format": "dappletiller-held", "version": 1, "held": [uid...], "back": {uid: microseconds},
//    "back_monotonic": {uid: microseconds}}
// "held" lists the drained servers, "back" when others were undrained, on the event loop's clock, which
// starts as Unix time. "back_monotonic" has the same times on the machine's monotonic clock. It goes before
// "back", which another process's event loop may read wrongly: the wall clock may have been stepped between
// the starts of the two.
#ifndef DAPPLETILLER_DRAIN_DRAIN_STATE_FILE_HPP_
#define DAPPLETILLER_DRAIN_DRAIN_STATE_FILE_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "drain/administrative_drains.hpp"

namespace dappletiller::drain {

// How the event loop's clock relates to the machine's.
struct MachineClock {
  TimePoint now;                // on the event loop's clock
  Duration ahead_of_monotonic;  // what that clock is ahead of the machine's monotonic clock
};

// Without `clock`, "back_monotonic" is neither written nor read.
std::string SerializeDrains(const AdministrativeDrains& drains,
                            std::optional<MachineClock> clock = std::nullopt);
// No time is later than `clock->now`.
std::optional<AdministrativeDrains> ParseDrains(std::string_view json,
                                                std::optional<MachineClock> clock = std::nullopt);

}  // namespace dappletiller::drain

#endif  // DAPPLETILLER_DRAIN_DRAIN_STATE_FILE_HPP_
