// Judges a run by its ledger: each claim of the script, and what always has to hold, with the evidence. Pure.
#ifndef DAPPLETILLER_RIG_VERDICT_HPP_
#define DAPPLETILLER_RIG_VERDICT_HPP_

#include <string>
#include <vector>

#include "rig/ledger.hpp"
#include "rig/script.hpp"

namespace dappletiller::rig {

struct Verdict {
  bool holds = false;
  std::string claim;
  std::string evidence;
  double figure = 0;  // what was measured: seconds, a share, a count
};

struct Party {  // a process's place in the run
  std::string slot;
  std::string name;     // the member that it is
  std::string address;  // where it is reached
};

// `began` and `ended` on the ledger's clock; `last_fault` is when the last fault ended.
std::vector<Verdict> Judge(const Script& script, const Ledger& ledger, const std::vector<Party>& parties,
                           Micros began, Micros ended, Micros last_fault);

// The most that the parts in use made together, and when.
std::pair<double, Micros> MostUsed(const Ledger& ledger);
// What they made at `at`.
double UsedAt(const Ledger& ledger, Micros at);

}  // namespace dappletiller::rig

#endif  // DAPPLETILLER_RIG_VERDICT_HPP_
