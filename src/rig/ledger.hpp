// What was seen from outside: each request as a worker took it, each call as a client fared, each view as a
// process told it. Only grows; owned by the run and read by the verdicts at the end.
#ifndef DAPPLETILLER_RIG_LEDGER_HPP_
#define DAPPLETILLER_RIG_LEDGER_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/types.hpp"

namespace dappletiller::rig {

struct Taken {  // one request at a worker
  Micros at = 0;
  std::string id;
  std::string worker;
  std::string sender;  // the process whose connection it came on
  int attempt = 0;     // how many of that id came before, at any worker
  Micros work = 0;
  bool once = false;  // of the class that must never run twice
  bool cold = false;
  Micros started = 0;  // cold: when the worker did
  double bears = 0;    // cold: the work within `Ledger::fall` that its capacity at that moment allows
  bool ran = false;    // not turned away unseen
};

enum class Fared { kOpen, kServed, kRefused, kFailed, kLost, kUnreachable };

struct Called {  // one call of a client
  Micros at = 0;
  std::string to;
  Fared fared = Fared::kOpen;
  Micros took = 0;
};

struct Seen {  // one member in one process's view
  std::string state;
  std::uint64_t incarnation = 0;
  std::uint64_t boot = 0;
  std::string address;
  bool operator==(const Seen&) const = default;
};

struct View {  // what a process said of its view; kept only when it differs from the one before
  Micros at = 0;
  std::map<std::string, Seen> members;
};

struct Part {  // what a process said that it may use of the whole, until the next word or `until`
  Micros at = 0;
  Micros until = 0;
  double part = 0;
};

struct Run {  // a span in which a process ran, and the spans in which it was stopped
  Micros from = 0;
  Micros to = 0;  // 0: it runs
  std::vector<std::pair<Micros, Micros>> stopped;
};

struct Ledger {
  Micros fall = 0;  // the span over which what a cold worker is given adds up
  std::vector<Taken> taken;
  std::unordered_map<std::string, int> attempts;  // by request id
  std::vector<Called> called;
  std::map<std::string, std::vector<View>> views;  // by process
  std::map<std::string, std::vector<Part>> parts;
  std::map<std::string, std::vector<Run>> runs;
  std::map<std::string, std::vector<std::pair<Micros, std::string>>> lines;  // what each logged
  std::map<std::string, std::vector<Micros>> tips;                           // by worker
  std::map<std::string, long> most_kb;                                       // by process
  std::map<std::string, double> cpu_seconds;                                 // by process, all its runs
};

}  // namespace dappletiller::rig

#endif  // DAPPLETILLER_RIG_LEDGER_HPP_
