// What lies between two of the rig's parties: for every directed pair a state that faults change, and relays
// on loopback (datagrams, streams) that carry bytes as that state says. Nothing here judges or decides.
//
// Shaping is pure (LinkState, Shaper): it is handed the time and a generator. The relays own their sockets
// and die with Links. A stream that is cut stays open and silent, as one to a vanished machine does; what
// was read waits, at most kQueue bytes each way, and goes on when the cut ends.
#ifndef DAPPLETILLER_RIG_LINKS_HPP_
#define DAPPLETILLER_RIG_LINKS_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "io/event_loop.hpp"
#include "io/stream_socket.hpp"

namespace dappletiller::rig {

// What a direction does to what passes. Times in microseconds, chances from 0 to 1.
struct LinkState {
  double loss = 0;
  Micros delay = 0;
  Micros jitter = 0;
  double reorder = 0;    // chance that a datagram is held back by another kReorderBy
  double duplicate = 0;  // chance that it comes twice
  double rate = 0;       // bytes a second; 0: no bound
  double corrupt = 0;    // chance that one byte is changed
  bool cut = false;
  // Both at once: what overlaps adds up.
  void Add(const LinkState& other);
};

// Whose stream comes from which local port. The kernel gives a port again once its stream is closed, and the
// old stream is freed later than that: it forgets only what it said itself.
class Callers {
 public:
  // The kernel gives one port to two streams that go to different places: only both tell whose it is.
  using Way = std::pair<std::uint16_t, std::uint16_t>;  // where it goes, and from where
  void Say(Way way, std::uint64_t stream, std::string who) { all_[way] = {std::move(who), stream}; }
  void Forget(Way way, std::uint64_t stream) {
    auto it = all_.find(way);
    if (it != all_.end() && it->second.second == stream) all_.erase(it);
  }
  // Empty: nobody of ours.
  std::string Of(Way way) const {
    auto it = all_.find(way);
    return it == all_.end() ? std::string() : it->second.first;
  }

 private:
  std::map<Way, std::pair<std::string, std::uint64_t>> all_;
};

// Counts of one direction, for the record.
struct LinkCount {
  std::uint64_t datagrams = 0, bytes = 0, dropped = 0;
};

class Links {
 public:
  static constexpr std::size_t kQueue = 256 * 1024;
  static constexpr Micros kReorderBy = 50'000;

  Links(EventLoop& loop, std::uint64_t seed);
  ~Links();

  // Where `from` reaches `to`: one port for datagrams (if asked for) and streams. Throws std::system_error.
  Endpoint Open(const std::string& from, const std::string& to, bool datagrams);
  // From here on nothing that is sent to this relay arrives, and new streams to it end at once.
  void Shut(const Endpoint& relay) { shut_.insert(relay.port); }
  // Where `to` really is now. Port 0: nowhere; new connections are refused by a reset.
  void Place(const std::string& to, const Endpoint& real) { real_[to] = real; }
  Endpoint Real(const std::string& to) const {
    auto it = real_.find(to);
    return it == real_.end() ? Endpoint{} : it->second;
  }
  LinkState& State(const std::string& from, const std::string& to) { return states_[{from, to}]; }
  // Called when states have changed: what waited may go on.
  void Changed();
  // Who a connection that arrives from that local port belongs to; empty: nobody of ours.
  std::string Sender(std::uint16_t to, std::uint16_t from) const { return senders_.Of({to, from}); }
  const LinkCount& Count(const std::string& from, const std::string& to) { return counts_[{from, to}]; }

 private:
  using Pair = std::pair<std::string, std::string>;
  class Datagrams;
  class Streams;
  class Stream;

  bool Chance(double p) { return p > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < p; }
  Micros Wait(const LinkState& state);

  EventLoop& loop_;
  pcg32 random_;
  std::map<std::string, Endpoint> real_;
  std::map<Pair, LinkState> states_;
  std::map<Pair, LinkCount> counts_;
  std::vector<std::unique_ptr<Datagrams>> datagrams_;
  std::vector<std::unique_ptr<Streams>> listeners_;
  std::map<std::uint64_t, std::unique_ptr<Stream>> streams_;
  std::uint64_t ids_ = 0;
  std::set<std::uint16_t> shut_;
  Callers senders_;
};

}  // namespace dappletiller::rig

#endif  // DAPPLETILLER_RIG_LINKS_HPP_
