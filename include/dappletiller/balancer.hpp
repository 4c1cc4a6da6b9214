// Public interface of the decision module: settings, events, actions, and the Balancer that maps events to
// actions.
//
// A Balancer makes the routing decisions of one proxy: which upstream server gets a request and when, whether
// a failed attempt is retried, and which requests are rejected. It does no I/O, reads no clock, starts no
// threads and has no global state: every event carries the current time, every decision is returned as an
// action, and all randomness comes from the seed. The same settings, seed and events give the same actions.
// An instance is not thread-safe.
//
// Contract for the caller:
//  - times are microseconds on one monotonic clock;
//  - actions are executed immediately and in the order returned;
//  - every Send is followed by exactly one AttemptEnded, even if the request has already been completed;
//  - a request id is never reused within an instance.
// Events that violate the contract (an outcome of an unknown attempt, a second request with a known id, a
// request of an unknown class, an entry in an unknown zone) are ignored and counted in ignored_events().
#ifndef DAPPLETILLER_BALANCER_HPP_
#define DAPPLETILLER_BALANCER_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace dappletiller::balancer {

using Micros = std::int64_t;  // a point in time on the caller's clock, or a duration
using RequestId = std::uint64_t;
using ServerId = std::uint32_t;

// ---- Settings
// -----------------------------------------------------------------------------------------------

// How often the effect of a request may take place.
enum class Effect {
  kSafe,   // idempotent: may be repeated freely
  kKeyed,  // carries an idempotency key: repeats are dropped within its KeyScope
  kUnsafe  // not idempotent: never repeated once it may have run
};

// Which servers share the idempotency keys they have seen, and so drop the repeat of a keyed request.
enum class KeyScope { kAllServers, kSameZone, kSameCell };

// A request class.
struct ClassSettings {
  Micros latency_objective = 0;   // a response within this time has full weight
  double objective_per_work = 0;  // the objective is extended by this many microseconds per unit of work
  Micros client_timeout = 0;      // how long a client waits in total, over all its tries
  double weight = 1;              // value of serving a request, or a unit of its work
  double late_weight = 0;         // fraction of the weight left for a response after the objective
  Effect effect = Effect::kUnsafe;
  KeyScope key_scope = KeyScope::kSameCell;
  Micros key_lifetime = 0;  // keyed: how long servers remember the key, from the first attempt
  bool streaming = false;   // the response is a stream (StreamStarted)
};

struct TenantSettings {
  double service_share = 0;  // the tenant's fraction of the service, 0 to 1
  double quota_per_s = 0;    // requests per second within its quota, over all proxies

  bool operator==(const TenantSettings&) const = default;
};

struct Settings {
  std::uint64_t seed = 0;
  int proxies = 1;  // number of proxies that share the servers
  int zone = 0;     // zone of this proxy
  int zones = 1;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_quota_weight = 1;       // factor on the weight of requests beyond a tenant's quota
  bool weight_per_work = false;       // weight counts per unit of work, not per request
  bool endpoints_on_request = false;  // the endpoint list comes only in answer to Watch and FetchList
  Micros poll_interval = 0;           // if so: maximum time between polls while there is no watch
  Micros clock_step = 0;              // minimum time between events with different times
  // Slow start. A restarted server has at least `initial_capacity` of its full capacity, reaches all of it
  // within `warmup_time`, and fails if it receives `overload_factor` times its capacity for
  // `overload_window`.
  double initial_capacity = 1;
  Micros warmup_time = 0;
  double overload_factor = 1;
  Micros overload_window = 0;
  // Limits on what the balancer may do.
  int max_attempts = 1;
  bool may_cancel = false;
  bool send_retry_after = false;  // a rejection may carry a Retry-After
  Micros max_retry_after = 0;
  // Cost of sending a request to another zone, as a fraction of the request's weight.
  double cross_zone_cost = 0;
  // Load reports in responses: index of each value in AttemptEnded::report, -1 if it is not reported.
  int report_in_flight = -1;   // requests in progress at the server
  int report_queue = -1;       // requests queued at the server
  int report_service_ms = -1;  // recent service time without queueing, in milliseconds
};

// ---- Events
// -------------------------------------------------------------------------------------------------

enum class ServerState { kRemoved, kReady, kDraining };

// An upstream server in the endpoint list.
struct ServerEntry {
  ServerId id = 0;
  int zone = 0;
  int kind = 0;  // hardware kind: servers of one kind are assumed to be equally fast
  int cell = 0;  // group of servers that share the idempotency keys they have seen
  ServerState state = ServerState::kReady;
  double concurrency = 1;  // nominal number of requests that it runs in parallel at full speed
  Micros started_at = 0;   // time of its last start; 0: long ago
};

struct EndpointListUpdate {
  // kCached: the list that the proxy had before it was started. kFailed: a watch or poll failed.
  enum class Kind { kDelta, kSnapshot, kCached, kFailed };
  Kind kind = Kind::kSnapshot;
  std::vector<ServerEntry> entries;
};

struct RequestArrived {
  RequestId id = 0;
  int request_class = 0;
  int tenant = 0;
  Micros deadline = 0;   // when the client gives up on this try
  Micros answer_by = 0;  // when the proxy must have answered, even if the client waits longer; 0: no limit
  Micros work_hint = 0;  // expected work; meaningful if has_hint
  bool has_hint = false;
  bool client_retry = false;  // the client marked it as a retry
};

struct ClientDisconnected {
  RequestId id = 0;
};

// How an attempt ended.
enum class Outcome {
  kServed,
  kError,          // error response; the request may have run
  kRejected,       // the server rejected the request without running it
  kTimeout,        // no response in time; the request may have run
  kConnectFailed,  // the request never reached the server
  kReset,          // connection lost; the request may have run
  kCancelled,      // cancelled by the proxy; the request may have run
  kNotSent         // the request never left the proxy
};

struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;  // zero-based index of the Send
  Outcome outcome = Outcome::kServed;
  Micros latency = 0;             // since the Send
  bool request_finished = false;  // the client has its final response
  std::vector<float> report;      // load report; empty if there was none
};

struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};

struct TimerFired {};

// This proxy's share of what all proxies use together (slow-start allowances, tenant quotas), valid until
// `valid_until`; after that the share is zero until the next grant. Before the first grant it is
// 1 / Settings::proxies.
struct QuotaShareGranted {
  double share = 0;        // 0 to 1
  Micros valid_until = 0;  // on the clock of the events
};

// New settings of a tenant, or its removal. Indexes continue those of Settings::tenants and may be reused;
// memory grows with the largest index. Negative indexes are ignored.
struct TenantChanged {
  int tenant = 0;
  bool active = true;  // false: the index is no longer in use
  TenantSettings settings;
};

// New settings of a request class, or of one that was unknown. Indexes continue those of Settings::classes
// and may be reused; memory grows with the largest index. Open requests keep the settings that their class
// had on their arrival. Invalid settings and negative indexes are ignored and counted.
struct ClassChanged {
  int request_class = 0;
  bool listed = true;  // false: it has left the configuration; late requests of it are still served
  ClassSettings settings;
};

// New settings. Classes and tenants are not taken from here: they have events of their own. The seed, the
// zones, the source of the endpoint list and the clock's step stay those of the start.
struct SettingsChanged {
  Settings settings;
};

using Event =
    std::variant<EndpointListUpdate, RequestArrived, ClientDisconnected, AttemptEnded, StreamStarted,
                 TimerFired, QuotaShareGranted, TenantChanged, ClassChanged, SettingsChanged>;

// ---- Actions
// ------------------------------------------------------------------------------------------------

// Sends the request to a server. The index of an attempt is the number of earlier Sends of its request.
struct Send {
  RequestId id = 0;
  ServerId server = 0;
  Micros timeout = 0;
  Micros write_timeout =
      0;  // if the last byte is not written by then, it must not be sent; at most `timeout`
};
// Why a request is given up.
enum class GiveUpReason {
  kDeadline,       // no response in time
  kExpectedWait,   // every server would be too late
  kAttemptFailed,  // an attempt failed, and another one is not possible or not worth it
  kCount
};
// Final: the request had no effect, so the client can safely try again.
struct Reject {
  RequestId id = 0;
  Micros retry_after = 0;  // 0: no Retry-After
  GiveUpReason reason = GiveUpReason::kDeadline;
};
// Final: the request may or may not have had an effect.
struct Fail {
  RequestId id = 0;
  GiveUpReason reason = GiveUpReason::kDeadline;
};
struct Cancel {
  RequestId id = 0;
  int attempt = 0;
};
// Deliver a TimerFired after `delay`. Replaces any earlier WakeAfter, so the caller needs only one timer;
// additional TimerFired events are harmless.
struct WakeAfter {
  Micros delay = 0;
};
struct Watch {};      // subscribe to changes of the endpoint list
struct FetchList {};  // request one snapshot of the endpoint list
// A line for the operators' log.
struct Log {
  std::string text;
};

using Action = std::variant<Send, Reject, Fail, Cancel, WakeAfter, Watch, FetchList, Log>;

// ---- Balancer
// -----------------------------------------------------------------------------------------------

class Balancer {
 public:
  // Throws std::invalid_argument for unusable settings (no request class, a zone out of range, ...).
  explicit Balancer(const Settings& settings);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // Processes one event at time `now` and appends the resulting actions to `actions`.
  void Handle(Micros now, const Event& event, std::vector<Action>* actions);

  // Number of events ignored because they violated the contract above.
  std::uint64_t ignored_events() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dappletiller::balancer

#endif  // DAPPLETILLER_BALANCER_HPP_
