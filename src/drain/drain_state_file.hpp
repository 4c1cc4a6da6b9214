// Administrative drains as the JSON text that a process leaves for its successor in an upgrade.
//
// Touches no file; the sink reads and writes. A text that is cut short, foreign or of another version gives
// nothing, never a part of what it held.
//
//   {"format": "dappletiller-held", "version": 1, "held": [uid...], "back": {uid: microseconds}}
//
// "held" are the servers that are drained, "back" when others were undrained, on the event loop's clock
// (which began as Unix time).
#ifndef DAPPLETILLER_DRAIN_DRAIN_STATE_FILE_HPP_
#define DAPPLETILLER_DRAIN_DRAIN_STATE_FILE_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "drain/administrative_drains.hpp"

namespace dappletiller::drain {

std::string SerializeDrains(const AdministrativeDrains& drains);
std::optional<AdministrativeDrains> ParseDrains(std::string_view json);

}  // namespace dappletiller::drain

#endif  // DAPPLETILLER_DRAIN_DRAIN_STATE_FILE_HPP_
