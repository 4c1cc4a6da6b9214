#include "http/text.hpp"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace dappletiller::http {
namespace {

constexpr std::size_t kMaxTimeoutLength = 15;
constexpr Micros kMicrosPerMilli = 1000;

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

bool IsBlank(char c) { return c == ' ' || c == '\t'; }

bool IsTokenCharacter(char c) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  const char lower = ToLower(c);
  return (c >= '0' && c <= '9') || (lower >= 'a' && lower <= 'z') || kMarks.find(c) != std::string_view::npos;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && IsBlank(text.front())) text.remove_prefix(1);
  while (!text.empty() && IsBlank(text.back())) text.remove_suffix(1);
  return text;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool HasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (EqualsIgnoringCase(Trim(list.substr(0, comma)), token)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

bool HasControlCharacter(std::string_view text, Tab tab) {
  return std::any_of(text.begin(), text.end(), [tab](char c) {
    if (c == '\t' && tab == Tab::kIsAllowed) return false;
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7f;
  });
}

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value, base);
  if (text.empty() || error != std::errc() || stop != end) return std::nullopt;
  return value;
}

std::optional<Micros> ParseTimeout(std::string_view text) {
  if (text.size() < 2 || text.size() > kMaxTimeoutLength) return std::nullopt;
  const char unit = text.back();
  const auto value = ParseNumber(text.substr(0, text.size() - 1), 10);
  if (!value || (unit != 'm' && unit != 'u')) return std::nullopt;
  const auto span = static_cast<Micros>(*value);
  return unit == 'm' ? span * kMicrosPerMilli : span;
}

std::string FormatTimeout(Micros span) { return std::to_string(std::max<Micros>(span, 1)) + "u"; }

}  // namespace dappletiller::http
