// Functions on the text of HTTP messages (RFC 9110, section 5.6).
#ifndef DAPPLETILLER_HTTP_TEXT_HPP_
#define DAPPLETILLER_HTTP_TEXT_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace dappletiller::http {

bool EqualsIgnoringCase(std::string_view a, std::string_view b);
// Removes blanks and tabs at both ends.
std::string_view Trim(std::string_view text);
// Whether `text` is a token: a method or a header's name.
bool IsToken(std::string_view text);
// Whether a comma-separated header value contains `token`, ignoring case.
bool HasToken(std::string_view list, std::string_view token);
enum class Tab { kIsControl, kIsAllowed };
bool HasControlCharacter(std::string_view text, Tab tab);
// Nothing unless the whole text is a number in that base.
std::optional<std::uint64_t> ParseNumber(std::string_view text, int base);

// Parses the platform's timeouts: "480m" is in milliseconds, "250000u" in microseconds; nothing for other
// text.
std::optional<Micros> ParseTimeout(std::string_view text);
// At least one microsecond.
std::string FormatTimeout(Micros span);

}  // namespace dappletiller::http

#endif  // DAPPLETILLER_HTTP_TEXT_HPP_
