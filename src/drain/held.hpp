// Workers that the operators have taken out of service for this proxy ("detach") and put back ("attach").
// Pure: no socket, file or clock; times are handed in. A held worker counts as draining whatever discovery
// says, until it is put back; then it counts as started at that moment, so that it is treated as cold.
// The state travels to a successor process through `src/state/held_file`.
#ifndef DAPPLETILLER_DRAIN_HELD_HPP_
#define DAPPLETILLER_DRAIN_HELD_HPP_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace dappletiller::maintenance {

class Held {
 public:
  using Micros = std::int64_t;

  // Both are idempotent; they say whether anything changed.
  bool Detach(const std::string& uid);
  bool Attach(const std::string& uid, Micros now);

  bool held(const std::string& uid) const { return held_.count(uid) != 0; }
  // The start to report for a worker that discovery says started at `listed` (0: long ago).
  Micros Started(const std::string& uid, Micros listed) const;
  // Forgets what is known of a worker that discovery has removed.
  void Forget(const std::string& uid) { back_.erase(uid); }
  std::size_t size() const { return held_.size(); }

  const std::set<std::string>& detached() const { return held_; }
  const std::map<std::string, Micros>& returned() const { return back_; }
  // As a predecessor left it: workers held, and when those put back came back.
  Held(std::set<std::string> detached, std::map<std::string, Micros> returned)
      : held_(std::move(detached)), back_(std::move(returned)) {}
  Held() = default;

 private:
  std::set<std::string> held_;
  std::map<std::string, Micros> back_;  // when it was put back: cold from then
};

}  // namespace dappletiller::maintenance

#endif  // DAPPLETILLER_DRAIN_HELD_HPP_
