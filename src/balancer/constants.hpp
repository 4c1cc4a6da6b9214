// Constants of the decision module. They are ratios and counts; a duration is always a fraction of a setting,
// named in the constant's comment. "Objective" stands for a class's latency objective.
#ifndef DAPPLETILLER_BALANCER_CONSTANTS_HPP_
#define DAPPLETILLER_BALANCER_CONSTANTS_HPP_

namespace dappletiller::balancer {

constexpr double kMicrosPerSecond = 1e6;

// ---- Cutoff between short and long requests ----

constexpr double kLongWorkShare = 0.5;        // share of all work carried by requests above the cutoff
constexpr double kHintHistogramDecay = 0.98;  // factor on the histogram of hints at each cutoff update
constexpr double kMinCutoffToMean = 1.5;      // lower bound of the cutoff, in mean hints
constexpr double kMinCutoffSamples = 50;      // hints required before any request is classified as long

// ---- Aging of queued requests (T_u and F_u of the paper) ----

constexpr double kAgingDivisor = 2;     // F_u: a queued estimate is divided by this every T_u
constexpr double kAgingInterval = 0.1;  // T_u, as a fraction of the objective

// ---- Rotation ----

constexpr int kMaxServersInspected = 8;      // servers inspected before rotation settles for the least loaded
constexpr double kMinPreferredServers = 12;  // servers of a zone that a proxy uses regularly
constexpr double kMinProxiesPerServer = 15;  // proxies that use each server regularly, to even out load
constexpr double kNonPreferredOffset = 1e15;  // orders all other servers after the preferred ones

// ---- Estimates ----

// Microseconds by which an observed queue is assumed to shrink in each microsecond without observation.
constexpr double kUnobservedDrainRate = 0.6;
// Quantile of latency / hint that is taken for service time: low, so that it contains little queueing delay.
constexpr double kServiceTimeQuantile = 0.2;
// The same quantile where no request has a hint and each counts as mean work.
constexpr double kUnhintedServiceTimeQuantile = 0.5;
constexpr double kMinUnhintedRequests = 10;  // unhinted requests required before they count as mean work
// Initial mean work, as a fraction of the shortest objective.
constexpr double kUnhintedWorkToObjective = 0.25;
// Work of an unhinted request to a server in slow start, in mean works: it may be far above the mean.
constexpr double kUnhintedSlowStartWork = 2;
constexpr double kQuantileStep = 0.03;    // step of the running quantiles, as a change of their logarithm
constexpr double kMeanStep = 0.02;        // weight of a new sample in running means
constexpr double kMedianStep = 0.05;      // step of the running medians, in mean service times
constexpr double kRejectionWeight = 0.2;  // step of a rejection relative to that of a response

// ---- Admission ----

constexpr double kMaxWaitToRemaining = 0.7;  // share of the time left until the objective spent on waiting
// Lower bound on the time that a class with a much longer objective than the shortest one may wait, as a
// fraction of its own remaining time.
constexpr double kMinOwnWaitShare = 1.0 / 3;
constexpr double kMinWaitShare = 0.25;  // share of the maximum wait that a request of weight 0 gets
// A server that would finish within this fraction of the time until the objective is fast enough.
constexpr double kFastEnoughToRemaining = 0.5;
constexpr double kLongMinWaitToMedian = 2;  // wait assumed for a long request, in median waits of the zone
constexpr double kCrossZoneWaitFactor = 2;  // wait that crossing must save, in cross-zone costs

// ---- Lost and overdue attempts ----

constexpr double kTailQuantile = 0.8;            // quantile of latency / expected latency
constexpr double kSuspectAfterTails = 2.5;       // suspected lost after this many tail latencies
constexpr double kMinSuspectToObjective = 0.2;   // but not before this fraction of the shortest objective
constexpr double kOverdueAfterTails = 4;         // cancelled if overtaken, after this many tail latencies
constexpr double kUnsafeOverdueFactor = 2;       // factor on that for requests that cannot be repeated
constexpr double kRetryBudgetPerRequest = 0.05;  // retries earned by each arriving request
constexpr double kMaxRetryBudget = 10;           // retries that can be saved up

// ---- Failures ----

constexpr double kInitialBackoffToObjective = 0.2;  // first backoff, as a fraction of the shortest objective
constexpr int kMaxBackoffDoublings = 6;
// A run of failures counts against a server only if its probability at the usual failure rate is below this.
constexpr double kMaxChanceOfRun = 0.1;
constexpr int kZoneFailureThreshold = 4;  // consecutive failures after which a zone counts as unreachable

// ---- Endpoint list ----

// How long the endpoint list may fail to show a restart, as a fraction of the poll interval.
constexpr double kRestartDetectionToPoll = 0.25;
// First poll and first retry after a failed one, as a fraction of the poll interval. Doubles with failures.
constexpr double kInitialPollShare = 0.1;

}  // namespace dappletiller::balancer

#endif  // DAPPLETILLER_BALANCER_CONSTANTS_HPP_
