// Workers held by the operators, as the JSON file that a successor process reads in an upgrade. What it never
// does: touch a file (the caller reads and writes), or take a file in part: one that is cut short, foreign or
// of another version gives nothing, and the caller logs it.
#ifndef DAPPLETILLER_DRAIN_HELD_FILE_HPP_
#define DAPPLETILLER_DRAIN_HELD_FILE_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "drain/held.hpp"

namespace dappletiller::state {

// {"format": "dappletiller-held", "version": 1, "held": [uid...], "back": {uid: microseconds}}
std::string HeldToJson(const maintenance::Held& held);
std::optional<maintenance::Held> HeldFromJson(std::string_view text);

}  // namespace dappletiller::state

#endif  // DAPPLETILLER_DRAIN_HELD_FILE_HPP_
