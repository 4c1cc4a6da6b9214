// Administrative drains as JSON text, which a process leaves for its successor in an upgrade.
//
// Does no file I/O. Text that is truncated, of another format or of another version yields nothing, never
// part of its contents.
//
//   {"format": "dappletiller-held", "version": 1, "held": [uid...], "back": {uid: microseconds}}
// "held" lists the drained servers, "back" when others were undrained, on the event loop's clock, which
// starts as Unix time.
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
