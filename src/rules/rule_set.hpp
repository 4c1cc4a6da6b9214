// Sets of rules that proxies act on, and whether two proxies that act on different sets conflict.
//
// A rule is a level, from strict (0) to loose. For each rule, a set states up to which level its proxy acts,
// and above which level it forbids others to act. An operator's document gives one number for both. Between
// the two numbers a set abstains: it does not act at those levels, but does not forbid them either. This is
// what makes a set possible that is compatible with two conflicting ones (StrictestCommonRules).
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

// Which requests that may have run already are retried.
enum class RetryScope {
  kNever = 0,
  kWithIdempotencyKey = 1,  // if the server drops repeats by their key
  kAlways = 2
};

// Rules for requests of one class.
struct ClassRules {
  Level attempts = ExactLevel(1);  // per request, including the first
  Level hedges = ExactLevel(0);    // hedged attempts, in addition to the first
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
  ClassRules default_class;              // for other classes: a single attempt
  std::map<std::string, Level> servers;  // ServerStanding by uid; no rule for other servers
  // For each quota (the load that a warming-up server can take, a tenant's rate): the share of each proxy.
  // Other proxies have no share.
  std::map<std::string, SharesByProxy> quotas;
  bool operator==(const RuleSet&) const = default;
};

// Whether no level forbids what it acts on, every class has at least one attempt, and the shares of each
// quota sum to at most kWholeQuota. Required of all arguments below.
bool IsValid(const RuleSet& rules);

// One rule on which two sets conflict.
struct RuleConflict {
  std::string rule;           // "class pay attempts"
  std::uint64_t acted = 0;    // the level acted on; for a quota, the sum of shares that may be in use
  std::uint64_t allowed = 0;  // the level that the other set allows; for a quota, kWholeQuota
  bool operator==(const RuleConflict&) const = default;
};
// "class pay attempts: 3 against at most 1"
std::string ToString(const RuleConflict& conflict);

// All conflicts between a proxy that acts on `a` and one that acts on `b`. Ignores versions. Symmetric except
// for the order of the result.
std::vector<RuleConflict> FindConflicts(const RuleSet& a, const RuleSet& b);
bool AreCompatible(const RuleSet& a, const RuleSet& b);

// The loosest set that is compatible with both: it acts no further than `a` and `b` both do, and forbids no
// more than both forbid (the greatest lower bound). Commutative, associative, idempotent. Its version is the
// later one.
RuleSet StrictestCommonRules(const RuleSet& a, const RuleSet& b);

// Rules for a proxy that has no lease on any version, so it does not know which rules the others act on: one
// attempt per request, no retries, no hedging, no share of any quota. It forbids nothing. The standing of
// servers is taken from `last`: its lifetime is governed by the endpoint list, not by a lease.
RuleSet RestrictedRules(const RuleSet& last);

}  // namespace dappletiller::rules

#endif  // DAPPLETILLER_RULES_RULE_SET_HPP_
