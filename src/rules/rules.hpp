// Rules that proxies act on, and when two sets of them contradict. Pure values: no I/O, no clock.
//
// A rule is a level from strict (0) to loose, and a set of rules says two things of each: up to which level
// it acts (`does`), and above which it holds acting to be wrong (`forbids`). An operator's document says one
// number for both. Between them it abstains: what it does not do itself it does not hold against others. That
// is what makes a set possible that contradicts neither of two that contradict each other (Meet).
//
// docs/design/agreement.md has the cases, the proof of the bound that is built on this, and what is given up.
#ifndef DAPPLETILLER_RULES_RULES_HPP_
#define DAPPLETILLER_RULES_RULES_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dappletiller::agreement {

struct Level {
  int does = 0;
  int forbids = 0;  // above this; at least `does`
  bool operator==(const Level&) const = default;
};
constexpr Level Plain(int level) { return {level, level}; }

struct ClassRule {
  Level attempts = Plain(1);  // of one call, the first included
  Level copies = Plain(0);    // that may run side by side with the first
  Level repeats = Plain(0);   // what may have run: 0 never again, 1 where its key drops it, 2 anywhere
  bool operator==(const ClassRule&) const = default;
};

enum Standing { kGone = 0, kDetached = 1, kDraining = 2, kReady = 3 };

// A part of a whole, in millionths.
using Part = std::uint32_t;
constexpr Part kWhole = 1'000'000;

struct Rules {
  std::uint64_t version = 0;
  std::map<std::string, ClassRule> classes;
  ClassRule otherwise;                   // a class that isn't named: a call is sent on once, no more
  std::map<std::string, Level> workers;  // Standing, by uid; one that isn't named: nothing is said of it
  // For each whole (what a cold worker bears, a tenant's quota): how much of it each proxy may use. One that
  // isn't named may use none. They sum to kWhole at the most (Valid).
  std::map<std::string, std::map<std::string, Part>> parts;
  bool operator==(const Rules&) const = default;
};

// Whether every level forbids no less than it does, a call has one attempt at least and parts sum to no more
// than the whole: what is required of operands below.
bool Valid(const Rules& rules);

// In what two proxies, one acting on `a` and the other on `b`, contradict: one line for each, by name, the
// strict and the loose word with it. Empty: in nothing. The versions' numbers don't matter. Symmetric but for
// the order of words.
std::vector<std::string> Contradictions(const Rules& a, const Rules& b);
bool Contradicts(const Rules& a, const Rules& b);

// The loosest rules that do no more than `a` and `b` both do and forbid no more than both forbid: they
// contradict neither, and nothing that contradicts neither for that reason does more. Commutative,
// associative, idempotent. Its version is the later one's.
Rules Meet(const Rules& a, const Rules& b);

// What a proxy does that holds no lease on any version, and so does not know what the others act on: a call
// of any class is sent on once, nothing is repeated or doubled, no part of any whole is used. It forbids
// nothing. Of workers it says what `last` said: how long that may stand is the lists' affair, not a lease's.
Rules Restricted(const Rules& last);

}  // namespace dappletiller::agreement

#endif  // DAPPLETILLER_RULES_RULES_HPP_
