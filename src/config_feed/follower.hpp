// Following the settings feed: which control machine to ask next, when, for what, and what an answer changes.
// The same code in a proxy, in a control machine that follows another, and in simulated time. Pure: time
// comes in as an argument (microseconds, monotonic), chance from the seed.
//
// One question is out at a time. A watch goes on by itself; what fails goes to the next machine at once, in
// an order of its own for each follower (rendezvous hashing, Thaler and Ravishankar 1998, the near ones
// first), so that the load of a lost machine spreads over all others. A machine that failed goes last for a
// while. Once all have failed in a row the pauses double up to kMostPause. What is held stays in force
// throughout.
//
// In force: from a change at a machine that is reached until it is here costs at most kWait + kAnswerWithin
// for noticing a watch that fell silent, kAnswerWithin for each other machine that is silent too, and a
// jitter of kJitter each: with 8 machines, 7 of them silent, 2 + 1 + 7 x 1 + 8 x 0.05 = 10.4 s, below the aim
// of 12 s.
#ifndef DAPPLETILLER_CONFIG_FEED_FOLLOWER_HPP_
#define DAPPLETILLER_CONFIG_FEED_FOLLOWER_HPP_

#include <cstdint>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "config_feed/store.hpp"

namespace dappletiller::feed {

constexpr Micros kWait = 2'000'000;          // a watch waits so long at the machine for news
constexpr Micros kAnswerWithin = 1'000'000;  // then its answer comes, or the machine counts as silent
constexpr Micros kJitter = 50'000;           // before the next machine is asked
constexpr Micros kLeastPause = 250'000;      // once all have failed in a row; doubles
constexpr Micros kMostPause = 2'000'000;
constexpr Micros kMostRetryAfter = 4'000'000;  // a machine may ask for no longer a pause than this
constexpr Micros kShunned = 30'000'000;        // a machine that failed goes last for so long
constexpr Micros kHomeEvery = 30'000'000;      // how often the first of the order is tried anew
constexpr Micros kLookEvery = 500'000;         // a control machine's watch, between looks at the others
constexpr std::size_t kMostMachines = 16;

struct FollowerOptions {
  std::string self;                 // its name: orders the machines, and names its place in a queue
  std::vector<std::string> near;    // machines of its region, by address
  std::vector<std::string> others;  // asked once none of these is left
  std::uint64_t seed = 0;
  Scope scope;
  // Bytes a second that a whole may take; what follows it is not paced. 0: as fast as it goes.
  double whole_rate = 0;
  // Control machines: none of them is followed for long, all are looked at in turn (LookRound).
  bool look_round = false;
};

class Follower {
 public:
  explicit Follower(FollowerOptions options);

  struct Ask {
    std::string machine;  // by address
    Question question;
    Micros wait = 0;    // for news, at the machine
    Micros within = 0;  // then it counts as silent
  };
  // What to ask now, if a question is due; it counts as out until one of the four below. `due` tells when.
  std::optional<Ask> Next(Micros now);
  Micros due() const { return asking_ ? kNever : due_; }
  static constexpr Micros kNever = std::int64_t{1} << 62;

  // What became of the question. Answered returns what is different now in what is in force (empty within a
  // walk of the whole: it is in force once it is all here).
  std::vector<Change> Answered(Micros now, const Page& page, std::size_t bytes);
  void Busy(Micros now, Micros retry_after);  // the machine has no place for a whole now
  void Behind(Micros now);                    // the machine holds something older than this
  void Failed(Micros now);                    // silent, unreachable, or not understood

  // The question that is out is given up without a word on its machine: it is asked anew.
  void Void(Micros now) {
    asking_ = false;
    due_ = now;
  }
  // Another scope: a walk of the whole begins; what is held stays in force until it is done.
  void SetScope(Micros now, Scope scope);
  // Another set of machines; an open question is to be given up by the driver.
  void SetMachines(Micros now, std::vector<std::string> near, std::vector<std::string> others);
  // As the origin, which follows the others as well: changes what is held. A question that is out is void, as
  // after the two above: its driver gives it up. Returns the services that are touched.
  std::set<std::string, std::less<>> Publish(Micros now, std::uint64_t serial, std::uint64_t epoch,
                                             const std::vector<Change>& changes);

  // What is in force.
  const Store& held() const { return held_; }
  const Scope& scope() const { return scope_; }  // of what is in force
  bool walking() const { return walk_.has_value(); }
  bool current() const { return answered_at_ >= 0 && failures_ == 0; }
  // When a machine last said that all is here; -1: never.
  Micros answered_at() const { return answered_at_; }
  int failures() const { return failures_; }  // in a row
  // Whether any machine that has something has told it, or each has been asked in vain.
  bool settled() const { return answered_at_ >= 0 || in_vain_ >= order_.size(); }
  const std::string& machine() const;  // the one asked, or asked next; empty: none is known
  bool looks_round() const { return options_.look_round; }
  std::size_t machines() const { return order_.size(); }

 private:
  struct Machine {
    std::string address;
    Micros shunned_until = 0;
  };
  struct Walk {
    Store store;
    std::uint64_t began = 0;
  };
  double Uniform();
  void Rank(std::vector<std::string> near, std::vector<std::string> others);
  void Leave(Micros now);
  void LookRound(Micros now);
  bool GoesOn(const Page& page) const;
  std::vector<Change> Replace();

  FollowerOptions options_;
  pcg32 random_;
  Scope scope_;   // of what is held
  Scope wanted_;  // of what is asked for
  Store held_;
  std::optional<Walk> walk_;
  std::vector<Machine> order_;  // first choice first
  std::size_t at_ = 0;
  bool asking_ = false;
  Micros due_ = 0;
  int failures_ = 0;
  int round_failures_ = 0;
  std::size_t in_vain_ = 0;  // questions, since the start
  std::size_t best_ = 0;     // look_round: the machine that had the latest news
  std::size_t look_ = 0;     // and the one looked at last beside it
  Micros home_at_ = 0;
  Micros answered_at_ = -1;
};

}  // namespace dappletiller::feed

#endif  // DAPPLETILLER_CONFIG_FEED_FOLLOWER_HPP_
