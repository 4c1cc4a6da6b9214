#include "membership/held.hpp"

#include <algorithm>
#include <charconv>

namespace dappletiller::membership {
namespace {

constexpr std::string_view kHeader = "dappletiller-held 1\n";
constexpr std::string_view kEnd = "end\n";

}  // namespace

bool Held::Detach(const std::string& uid) {
  back_.erase(uid);
  return held_.insert(uid).second;
}

bool Held::Attach(const std::string& uid, Micros now) {
  if (held_.erase(uid) == 0) return false;
  back_[uid] = now;
  return true;
}

Held::Micros Held::Started(const std::string& uid, Micros listed) const {
  auto it = back_.find(uid);
  return it == back_.end() ? listed : std::max(listed, it->second);
}

// One line a worker: "h UID" or "b UID MICROS", then "end", so that a file cut short is told.
std::string Held::Save() const {
  std::string text(kHeader);
  for (const std::string& uid : held_) text += "h " + uid + "\n";
  for (const auto& [uid, at] : back_) text += "b " + uid + " " + std::to_string(at) + "\n";
  text += kEnd;
  return text;
}

bool Held::Load(std::string_view text) {
  if (text.substr(0, kHeader.size()) != kHeader) return false;
  text.remove_prefix(kHeader.size());
  std::set<std::string> held;
  std::map<std::string, Micros> back;
  while (!text.empty()) {
    std::size_t end = text.find('\n');
    if (end == std::string_view::npos) return false;
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    if (line == "end") return text.empty() && (held_ = std::move(held), back_ = std::move(back), true);
    if (line.size() < 3 || line[1] != ' ') return false;
    std::string_view rest = line.substr(2);
    if (line[0] == 'h' && rest.find(' ') == std::string_view::npos) {
      held.insert(std::string(rest));
      continue;
    }
    std::size_t gap = rest.find(' ');
    if (line[0] != 'b' || gap == 0 || gap == std::string_view::npos) return false;
    Micros at = 0;
    std::string_view digits = rest.substr(gap + 1);
    auto [ptr, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), at);
    if (failed != std::errc() || ptr != digits.data() + digits.size()) return false;
    back[std::string(rest.substr(0, gap))] = at;
  }
  return false;
}

}  // namespace dappletiller::membership
