// The whole interface of sandstand: settings, events, actions and the Balancer that maps one to the other.
//
// A Balancer decides for ONE gateway. It does no I/O, reads no clock, starts no threads and keeps no globals:
// every event carries the time, every decision is returned as an action, and randomness comes from the seed.
// The same settings, seed and events give the same actions. An instance is not thread-safe; use one a thread.
//
// Contract for the caller:
//  - times are microseconds on one clock that never goes back;
//  - actions are carried out at once and in the order returned;
//  - each Send is later answered by exactly one AttemptEnded, also when the request is long over;
//  - a request id is never used twice by an instance.
// Events that break this (an outcome of an unknown attempt, a second request with a known id, a request of an
// unknown class, an entry in an unknown zone) are ignored and counted in ignored_events().
#ifndef SANDSTAND_BALANCER_HPP_
#define SANDSTAND_BALANCER_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sandstand {

using Micros = std::int64_t;  // a point on the caller's clock, or a span
using RequestId = std::uint64_t;
using ServerId = std::uint32_t;

// ---- Settings
// -----------------------------------------------------------------------------------------------

enum class Effect { kSafe, kKeyed, kUnsafe };  // repeat freely; repeats dropped inside a group; never repeat
enum class KeyedGroup { kAll, kSameZone, kSameCell };  // who drops the repeats of a keyed request

struct ClassSettings {
  Micros aim = 0;          // an answer within this time has full worth
  double aim_stretch = 0;  // the aim grows by this many times the request's own work
  Micros deadline = 0;     // how long a client waits in all, over all its tries
  double worth = 1;        // worth of a request (or of a unit of its work)
  double late_worth = 0;   // fraction of the worth left for an answer after the aim
  Effect effect = Effect::kUnsafe;
  KeyedGroup group = KeyedGroup::kSameCell;
  Micros window = 0;    // keyed: how long the group remembers a request, from its first send
  bool stream = false;  // the answer comes as a stream (StreamStarted)
};

struct TenantSettings {
  double portion = 0;      // its part of the service
  double quota_per_s = 0;  // requests a second within its share, over all gateways
};

struct Settings {
  std::uint64_t seed = 0;
  int gateways = 1;  // instances in this tier
  int zone = 0;      // where this one runs
  int zones = 1;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_share_worth = 1;   // worth of what a tenant sends beyond its share
  bool worth_by_work = false;    // worth counts for each unit of work, not for each request
  bool list_on_request = false;  // the server list answers only to Watch and FetchList
  Micros ask_within = 0;         // then: ask at least this often while not subscribed
  Micros tick = 0;               // least time between two events' times
  // Cold starts: a server starts with at least cold_share of its capacity, is warm within cold_time, and
  // falls over when sent fall_multiple times what it can do for fall_time.
  double cold_share = 1;
  Micros cold_time = 0;
  double fall_multiple = 1;
  Micros fall_time = 0;
  // What is permitted.
  int max_attempts = 1;
  bool may_cancel = false;
  bool advise_retry = false;  // a refusal may say when to come back
  Micros max_retry_after = 0;
  // Prices, as fractions of a request's worth.
  double cross_zone_price = 0;
  // Load reports that come with answers: which place holds what, -1 where it is not reported.
  int report_in_flight = -1;   // requests the server holds
  int report_queue = -1;       // requests waiting there
  int report_service_ms = -1;  // recent service time without waiting
};

// ---- Events
// -------------------------------------------------------------------------------------------------

enum class ServerState { kGone, kReady, kDraining };

struct ServerEntry {
  ServerId id = 0;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  ServerState state = ServerState::kReady;
  double size = 1;        // nominal size: how many requests of usual pace it runs side by side
  Micros started_at = 0;  // when it last started; 0: long ago
};

struct ListUpdate {
  enum class Kind { kChanges, kFull, kCached, kFailed };
  Kind kind = Kind::kFull;
  std::vector<ServerEntry> entries;
};

struct RequestArrived {
  RequestId id = 0;
  int request_class = 0;
  int tenant = 0;
  Micros deadline = 0;   // when the client gives this try up
  Micros answer_by = 0;  // when the gateway must have answered, however long the client waits; 0: no limit
  Micros work_hint = 0;  // expected work; meaningful if has_hint
  bool has_hint = false;
  bool client_retry = false;  // the client marked it as a repeat
};

struct ClientLeft {
  RequestId id = 0;
};

enum class Outcome {
  kServed,
  kError,          // the server answered with an error; it may have run
  kFull,           // turned away unseen
  kTimeout,        // no answer in time; may have run
  kConnectFailed,  // never reached the server
  kReset,          // connection lost; may have run
  kCancelled,      // we called it off; may have run
  kNotSent         // never left the gateway
};

struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;  // number of the Send, from 0
  Outcome outcome = Outcome::kServed;
  Micros latency = 0;             // since it was sent
  bool request_finished = false;  // the client has its final answer
  std::vector<float> report;      // load report; empty if none came
};

struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};

struct TimerFired {};

// How much of what all gateways share (what a cold server bears, tenants' quotas) this one may use, and until
// when at the longest: from then on nothing, until the next. Never told, it is an even part of `gateways`.
struct PartGranted {
  double part = 0;   // 0 to 1
  Micros until = 0;  // on the clock of the events
};

// A tenant's share from now on, by its place; not named: the place is nobody's any more. Places follow on
// those of the settings and may be used again; each costs memory, so they are to be kept dense. Negative ones
// are ignored.
struct TenantChanged {
  int tenant = 0;
  bool named = true;
  TenantSettings share;
};

using Event = std::variant<ListUpdate, RequestArrived, ClientLeft, AttemptEnded, StreamStarted, TimerFired,
                           PartGranted, TenantChanged>;

// ---- Actions
// ------------------------------------------------------------------------------------------------

struct Send {
  RequestId id = 0;
  ServerId server = 0;
  Micros timeout = 0;
  Micros write_within = 0;  // its last byte has to leave within this, or it must not be sent: at most timeout
};
struct Refuse {  // final: trying again is harmless
  RequestId id = 0;
  Micros retry_after = 0;  // 0: no advice
};
struct Fail {  // final: no promise
  RequestId id = 0;
};
struct Cancel {
  RequestId id = 0;
  int attempt = 0;
};
// Deliver a TimerFired after `delay`. The newest WakeAfter replaces all before it, so a caller needs one
// timer; superfluous TimerFired events are harmless.
struct WakeAfter {
  Micros delay = 0;
};
struct Watch {};      // subscribe to changes of the server list
struct FetchList {};  // ask for the whole list once
struct Log {          // a line for on-call staff
  std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, WakeAfter, Watch, FetchList, Log>;

// ---- Balancer
// -----------------------------------------------------------------------------------------------

class Balancer {
 public:
  // Throws std::invalid_argument for settings that no gateway can work with (no class, a zone out of range,
  // ...).
  explicit Balancer(const Settings& settings);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // Takes one event at time `now` and appends the resulting actions to `actions`.
  void Handle(Micros now, const Event& event, std::vector<Action>* actions);

  // Events ignored because they broke the contract above.
  std::uint64_t ignored_events() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sandstand

#endif  // SANDSTAND_BALANCER_HPP_
