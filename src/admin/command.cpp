#include "admin/command.hpp"

#include <charconv>

namespace dappletiller::console {
namespace {

Command No(int status, std::string_view reason) { return {Verb::kNone, {}, 0, status, reason}; }
Command Yes(Verb verb) { return {verb, {}, 0, 0, {}}; }

// The number in `after=` of a query; 0 if absent.
Command After(std::string_view query) {
  Command command = Yes(Verb::kFleet);
  if (query.empty()) return command;
  if (query.substr(0, 6) != "after=") return No(400, "only after=NUMBER is known here");
  query.remove_prefix(6);
  auto [end, failed] = std::from_chars(query.data(), query.data() + query.size(), command.after);
  if (failed != std::errc() || end != query.data() + query.size()) return No(400, "after= is not a number");
  return command;
}

// The value of `who=`, which may occur once. Ids are printable without separators, so no decoding is needed.
Command Who(Verb verb, std::string_view query) {
  std::string_view found;
  int count = 0;
  while (!query.empty()) {
    std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(pair.size() == query.size() ? pair.size() : pair.size() + 1);
    if (pair.substr(0, 4) != "who=") continue;
    found = pair.substr(4);
    ++count;
  }
  if (count == 0) return No(400, "who= is missing");
  if (count > 1) return No(400, "who= stands more than once");
  if (found.empty() || found.size() > 200) return No(400, "who= is empty or too long");
  for (char c : found) {
    if (c <= ' ' || c == '%' || c == 0x7f) return No(400, "who= holds a character that no id has");
  }
  return {verb, std::string(found), 0, 0, {}};
}

}  // namespace

Command Read(std::string_view method, std::string_view target) {
  std::size_t mark = target.find('?');
  std::string_view path = target.substr(0, mark);
  std::string_view query = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
  bool get = method == "GET";
  bool put = method == "PUT";
  if (path == "/_ready") return get ? Yes(Verb::kReady) : No(405, "GET only");
  if (path == "/_lameduck/on") return put ? Yes(Verb::kLameduckOn) : No(405, "PUT only");
  if (path == "/_lameduck/off") return put ? Yes(Verb::kLameduckOff) : No(405, "PUT only");
  if (path == "/_plan-servers/detach") return put ? Who(Verb::kDetach, query) : No(405, "PUT only");
  if (path == "/_plan-servers/attach") return put ? Who(Verb::kAttach, query) : No(405, "PUT only");
  if (path == "/_fleet") return get ? After(query) : No(405, "GET only");
  if (path == "/_fleet/leave") return put ? Yes(Verb::kFleetLeave) : No(405, "PUT only");
  if (path == "/_fleet/reap") return put ? Who(Verb::kFleetReap, query) : No(405, "PUT only");
  if (path == "/_settings") return get ? Yes(Verb::kSettings) : No(405, "GET only");
  return No(404, "no such console call");
}

}  // namespace dappletiller::console
