// A fleet in simulated time: the program's own view (src/membership), thousands of them, on a network whose
// losses, delays, cuts and pauses come from a seed. One thread, one heap of events: a seed replays to the
// last message. Sizes and traffic are the protocol's own bound (EncodedSizeBound), which bounds the codec's
// from above.
#ifndef DAPPLETILLER_LAB_WORLD_HPP_
#define DAPPLETILLER_LAB_WORLD_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/codec.hpp"
#include "membership/membership.hpp"

namespace dappletiller::lab {

struct Network {
  double loss = 0;      // of datagrams, each way
  Micros delay = 500;   // each way
  Micros jitter = 500;  // up to so much more
  double duplicate = 0;
  double drift = 0;  // clocks run up to so much faster or slower
};

class World {
 public:
  World(int members, std::uint64_t seed, membership::Settings base, Network network,
        membership::TestFaults faults = {});

  void Run(Micros until);
  Micros now() const { return now_; }
  Network& network() { return network_; }

  // Members are known by their number. A start gives a member its (next) life.
  void Start(int member);
  void Crash(int member);
  void Leave(int member);
  void Pause(int member, Micros span);  // stands still; what comes meanwhile waits, at most kInbox
  int Add();                            // a further member, not started
  void ForgetSeeds();                   // those that run go on without them
  // Whether a datagram or connection from one reaches another; all, if never set.
  void Reach(std::function<bool(int, int)> reach) { reach_ = std::move(reach); }

  bool running(int member) const { return nodes_[static_cast<std::size_t>(member)].view != nullptr; }
  const membership::Membership& view(int member) const {
    return *nodes_[static_cast<std::size_t>(member)].view;
  }
  int size() const { return static_cast<int>(nodes_.size()); }
  std::string Name(int member) const { return nodes_[static_cast<std::size_t>(member)].name; }

  // Whether each that runs sees just those that run, as alive; else one sentence on why not.
  bool Agree(std::string* why) const;
  // How many that run see `member` in `state`; those that don't know it count as kLeft.
  int Seen(int member, membership::MemberState state) const;
  int Running() const;
  // Of all members together, since the start.
  std::uint64_t sent() const;
  std::uint64_t sent_bytes() const;
  std::uint64_t deaths() const;  // verdicts of death on one that ran and was not cut off or paused
  std::uint64_t events() const { return events_; }
  // From here on, what one member costs its processor: its view, and coding of all that it hears and says.
  // Without sockets and without the world around it. `codec` must outlive the world; seconds since.
  void Meter(int member, const membership::Codec* codec);
  double metered() const { return metered_; }

 private:
  static constexpr std::size_t kInbox = 512;
  struct Node {
    std::string name, address;
    std::unique_ptr<membership::Membership> view;
    std::uint64_t life = 0;  // what was meant for an earlier one is dropped
    std::uint64_t boot = 0;
    bool leaving = false;
    Micros paused_until = 0;
    double pace = 1;  // of its clock
    Micros offset = 0;
    std::uint64_t changes_seen = 0;
    std::uint64_t sent = 0, bytes = 0;  // of earlier lives
    std::vector<std::shared_ptr<const membership::Message>> inbox;
  };
  struct Event {
    Micros at = 0;
    std::uint64_t order = 0;
    int to = 0;
    std::uint64_t life = 0;
    std::shared_ptr<const membership::Message> message;  // none: a tick
    int from = -1;                                       // an ask over a stream: whom to answer
    bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  TimePoint Local(const Node& node) const;
  void Push(Event event);
  void Carry(int from, std::vector<membership::Outgoing>* out);
  void Deliver(const Event& event);
  void Judge(int member);
  double Spend(const std::string& heard) const;
  void Spent(double from, const std::vector<membership::Outgoing>& out);
  Micros Delay();
  bool Chance(double p);
  bool Reaches(int from, int to) const { return !reach_ || reach_(from, to); }

  membership::Settings base_;
  membership::TestFaults faults_;
  Network network_;
  pcg64 random_;
  Micros now_ = 1'000'000;
  std::vector<Node> nodes_;
  std::unordered_map<std::string, int> by_address_, by_name_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> heap_;
  std::uint64_t order_ = 0, events_ = 0, deaths_ = 0;
  std::function<bool(int, int)> reach_;
  int meter_ = -1;
  const membership::Codec* codec_ = nullptr;
  double metered_ = 0;
};

// A run of random faults from a seed, then quiet: what went wrong, or an empty string. `members` from 3 up.
struct Trial {
  int members = 8;
  std::uint64_t seed = 1;
  Micros faults_for = 40'000'000;
  Micros settle_within = 30'000'000;
  membership::Settings base;
  membership::TestFaults planted;
  bool seedless = false;  // who has joined forgets the seeds: cuts must heal without them
  bool show = false;      // on failure, what each view went through, to standard output
};
std::string PlayTrial(const Trial& trial);

}  // namespace dappletiller::lab

#endif  // DAPPLETILLER_LAB_WORLD_HPP_
