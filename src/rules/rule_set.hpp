// Sets of rules that proxies act on, and whether two proxies that act on different sets contradict each
// other.
//
// A rule is a level, from strict (0) to loose. A set says two things of each rule: up to which level it acts
// itself, and above which level it holds acting by others to be wrong. An operator's document gives one
// number for both. Between the two numbers a set abstains: what it does not do itself it does not hold
// against others. That is what makes a set possible that is compatible with two that contradict each other
// (StrictestCommonRules).
//
// Pure values: no I/O, no clock; nothing throws. docs/design/rules.md has the cases and the proof that builds
// on this.
#ifndef DAPPLETILLER_RULES_RULE_SET_HPP_
#define DAPPLETILLER_RULES_RULE_SET_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dappletiller::rules {

struct Level {
  int acts_up_to = 0;
  int forbids_above = 0;  // at least `acts_up_to`
  bool operator==(const Level&) const = default;
};
// A level as an operator's document gives it: the same number for both.
constexpr Level ExactLevel(int level) { return {level, level}; }

// Which requests that may have run already are sent again.
enum class RetryScope {
  kNever = 0,
  kWithIdempotencyKey = 1,  // where the server drops a repetition by its key
  kAlways = 2
};

// What is done with requests of one class.
struct ClassRules {
  Level attempts = ExactLevel(1);  // of one request, the first included
  Level hedges = ExactLevel(0);    // attempts that may run beside the first
  Level retries = ExactLevel(0);   // a RetryScope
  bool operator==(const ClassRules&) const = default;
};

// How far a server may be used.
enum class ServerStanding { kRemoved = 0, kAdministrativelyDrained = 1, kDraining = 2, kReady = 3 };
constexpr Level ExactLevel(ServerStanding standing) { return ExactLevel(static_cast<int>(standing)); }

// A share of a quota, in millionths.
using Share = std::uint32_t;
constexpr Share kWholeQuota = 1'000'000;
using SharesByProxy = std::map<std::string, Share>;

struct RuleSet {
  std::uint64_t version = 0;
  std::map<std::string, ClassRules> classes;
  ClassRules default_class;              // for a class that isn't named: one attempt, no more
  std::map<std::string, Level> servers;  // a ServerStanding, by uid; nothing is said of one that isn't named
  // For each quota (what a server that is warming up bears, a tenant's rate): how much of it each proxy may
  // use. A proxy that isn't named may use none.
  std::map<std::string, SharesByProxy> quotas;
  bool operator==(const RuleSet&) const = default;
};

// Whether no level forbids what it acts on, every class has at least one attempt, and no quota's shares sum
// to more than kWholeQuota. Required of all arguments below.
bool IsValid(const RuleSet& rules);

// One thing in which two sets contradict.
struct RuleConflict {
  std::string rule;           // "class pay attempts"
  std::uint64_t acted = 0;    // the level acted on; of a quota, the sum of shares that may be in use
  std::uint64_t allowed = 0;  // the level that the other set allows; of a quota, kWholeQuota
  bool operator==(const RuleConflict&) const = default;
};
// "class pay attempts: 3 against at most 1"
std::string ToString(const RuleConflict& conflict);

// All in which two proxies contradict, one acting on `a` and the other on `b`. Versions don't matter.
// Symmetric but for the order.
std::vector<RuleConflict> FindConflicts(const RuleSet& a, const RuleSet& b);
bool AreCompatible(const RuleSet& a, const RuleSet& b);

// The loosest set that is compatible with both: it acts no further than `a` and `b` both do, and forbids no
// more than both forbid (the greatest lower bound). Commutative, associative, idempotent. Its version is the
// later one.
RuleSet StrictestCommonRules(const RuleSet& a, const RuleSet& b);

// What a proxy does that holds no lease on any version, and so doesn't know what the others act on: one
// attempt for each request, no retry, no hedge, no share of any quota. It forbids nothing. Of servers it says
// what `last` said: how long that may stand is the endpoint list's affair, not a lease's.
RuleSet RestrictedRules(const RuleSet& last);

}  // namespace dappletiller::rules

#endif  // DAPPLETILLER_RULES_RULE_SET_HPP_
