#include "http/message.hpp"

#include <algorithm>
#include <array>

#include "http/text.hpp"

namespace dappletiller::http {
namespace {

// Headers that concern one connection only, and those that the writer writes itself.
constexpr std::array<std::string_view, 12> kNotForwarded = {"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authenticate",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade",
                                                            "Expect",
                                                            "Proxy-Authorization",
                                                            "Content-Length",
                                                            "Request-Timeout"};

bool IsForwarded(std::string_view name, std::string_view connection_options) {
  if (HasToken(connection_options, name)) return false;
  return std::none_of(kNotForwarded.begin(), kNotForwarded.end(),
                      [name](std::string_view other) { return EqualsIgnoringCase(other, name); });
}

}  // namespace

std::optional<std::string_view> Message::Find(std::string_view name) const {
  for (const Header& header : headers_) {
    if (EqualsIgnoringCase(View(header.name), name)) return View(header.value);
  }
  return std::nullopt;
}

std::size_t Message::Count(std::string_view name) const {
  const auto has_name = [&](const Header& header) { return EqualsIgnoringCase(View(header.name), name); };
  return static_cast<std::size_t>(std::count_if(headers_.begin(), headers_.end(), has_name));
}

std::vector<std::string_view> Message::EndToEndHeaders() const {
  const std::string_view connection_options = Find("Connection").value_or("");
  std::vector<std::string_view> lines;
  for (const Header& header : headers_) {
    if (!IsForwarded(View(header.name), connection_options)) continue;
    const std::string_view line = View(header.line);
    const bool follows_last = !lines.empty() && lines.back().data() + lines.back().size() == line.data();
    if (follows_last) {
      lines.back() = {lines.back().data(), lines.back().size() + line.size()};
    } else {
      lines.push_back(line);
    }
  }
  return lines;
}

}  // namespace dappletiller::http
