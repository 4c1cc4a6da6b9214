#include "config_feed/entry.hpp"

#include <algorithm>

namespace dappletiller::config_feed {
namespace {

bool IsKeyPart(std::string_view text) {
  return !text.empty() && text.size() <= kMaxKeyPartSize &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace

std::optional<Key> ParseKey(std::string_view text) {
  const std::size_t first = text.find('/');
  if (first == std::string_view::npos) return std::nullopt;
  const std::size_t second = text.find('/', first + 1);
  if (second == std::string_view::npos) return std::nullopt;
  const Key key{text.substr(0, first), text.substr(first + 1, second - first - 1), text.substr(second + 1)};
  if (!IsKeyPart(key.kind) || !IsKeyPart(key.service) || !IsKeyPart(key.name)) return std::nullopt;
  return key;
}

}  // namespace dappletiller::config_feed
