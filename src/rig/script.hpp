// The script of a rig's run: how many processes, which load, which faults when, and what has to hold. Pure: a
// TOML text in, a Script or one error out (file, line, key, remedy). Knows no socket, process or clock.
#ifndef DAPPLETILLER_RIG_SCRIPT_HPP_
#define DAPPLETILLER_RIG_SCRIPT_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dappletiller::rig {

using Micros = std::int64_t;

enum class Act {
  // On links, for a span: `from` to `to`, and back too unless `oneway`.
  kLoss,
  kDelay,
  kJitter,
  kReorder,
  kDuplicate,
  kRate,
  kCorrupt,
  kCut,
  kFlap,
  kPartition,  // cuts every link between two that share none of `groups`
  // On processes.
  kKill,    // SIGKILL
  kTerm,    // SIGTERM
  kBurst,   // its clients call `value` times as often
  kStop,    // SIGSTOP, SIGCONT after the span; again each `period` for `span` where one is given
  kStart,   // starts what does not run: a later joiner, or the same again
  kMove,    // SIGKILL, then the same name at another address
  kTwin,    // a second process with the same name, beside the first
  kLeave,   // told to leave by its console
  kHangup,  // SIGHUP
  kClock,   // its wall clock stands `value` seconds off from here on
  kLiar,    // sends forged and hostile datagrams to the fleet, with its key
  // On discovery and workers.
  kSilent,    // discovery accepts and says nothing to `who`
  kDown,      // discovery refuses `who`
  kStale,     // `who` is told nothing new
  kDrain,     // a worker drains
  kNewWorker  // a worker starts, cold
};

struct Fault {
  Act act = Act::kCut;
  Micros at = 0;
  Micros span = 0;    // 0: to the end
  Micros period = 0;  // flap, stop: one off and on
  // loss, reorder, duplicate, corrupt: 0 to 1; delay, jitter: ms; rate: kB/s; liar: per second; burst: times
  double value = 0;
  bool oneway = false;
  bool wipe = false;   // start: without its folder
  bool relay = false;  // start, hangup: dials the others at new addresses; nobody is at the old ones
  // start, hangup: what is written into its files first. None: as it was.
  std::vector<std::string> keys;  // by name, the one that signs first; "first" is the fleet's at the start
  std::string fleet;              // the fleet's name
  std::string lines;              // of [fleet]
  std::vector<std::string> who, from, to;
  std::vector<std::vector<std::string>> groups;
  int line = 0;
  std::string text;  // for people: "cut p1 -> p2 at 5.0 s for 3.0 s"
};

enum class Claim {
  kSettled,  // all that run see all that run as alive and nobody else, `within` after `at`
  kNotDead,  // `by` never say that `who` are dead, between `at` and `until`
  kDead,     // `by` say that `who` are dead (or left) `within` after `at`
  kNotSuspect,
  kServed,    // of the calls to each of `who` between `at` and `until` at least `share` are served
  kNoTips,    // no cold worker was given more than it bears
  kColdSum,   // what all sent a cold worker was its budget and chance at most, and `share` requests at least
  kNoSends,   // `by` send nothing to worker `who` after `at`
  kWhole,     // the parts that processes say they may use never pass the whole
  kPartBack,  // `within` after `at` the parts in use make at least `share` of the whole
  kMemory,    // no process among `who` holds more than `share` MB
  kTold,      // a line with `text` is logged by each of `who`
  kAlone      // `who` see nobody else at the end (of another fleet, without the key)
};

struct Expect {
  Claim claim = Claim::kSettled;
  Micros at = 0;
  Micros until = 0;  // 0: the end
  Micros within = 0;
  double share = 0;
  std::string text;
  std::vector<std::string> who, by;
  int line = 0;
};

struct Script {
  std::string name;
  int proxies = 3;     // p1, p2 ...
  int at_start = 0;    // how many of them run from the start; 0: all
  int workers = 4;     // w1, w2 ...
  int gateways = 0;    // the number that the settings give; 0: `proxies`
  int zones = 1;       // dealt round to proxies and workers
  bool joined = true;  // whether the proxies keep a view of one another
  int keepers = 3;     // the first so many proxies keep the parts of the whole; 0: none do
  Micros length = 0;
  double calls_per_second = 20;  // to each proxy
  double work_ms = 5;
  double size = 4;  // calls that a worker runs side by side
  double cold_ms = 10'000;
  double cold_share = 0.1;
  bool cold_chance = false;  // a cold worker bears 2 sqrt(N) + 2 requests of mean work beyond its budget of N
  bool hints = true;         // whether clients tell the work of a call
  double uneven = 1;         // the first of each five proxies is called so many times as often
  std::string operator_text;  // more lines for each proxy's [fleet] section
  std::vector<Fault> faults;
  std::vector<Expect> expects;
};

// Throws operators::OperatorError. `name` is for messages.
Script ParseScript(std::string_view toml, const std::string& name);

// A script of random faults from a seed: `seconds` of them on `proxies` processes, then half a minute of
// quiet. What is claimed: the views settle after the last fault, the parts never pass the whole, no cold
// worker tips over, calls to those that run are served, memory stays.
std::string SoakScript(int proxies, double seconds, std::uint64_t seed);

// Those of `all` that `words` name: a name itself, "*", "a-b" for a range of one letter's numbers (p2-p5).
std::vector<std::string> Select(const std::vector<std::string>& words, const std::vector<std::string>& all);

}  // namespace dappletiller::rig

#endif  // DAPPLETILLER_RIG_SCRIPT_HPP_
