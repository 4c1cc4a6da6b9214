// All decisions of sandstand. The interface (types, events, actions) is include/sandstand/balancer.hpp.
// The mechanism is CDA: a request whose hint exceeds the cutoff is long, all others are short. Shorts leave
// on arrival by rotation. Longs wait, smallest aged estimate first, for a server that holds nothing of ours,
// and reserve it until they end. All else is explained in place and in docs/design.md.
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <utility>

#include "limits/cold_ramp.hpp"
#include "limits/tenant_share.hpp"
#include "sandstand/balancer.hpp"

namespace sandstand {
namespace limits = dappletiller::limits;
namespace {

// ---- Constants: ratios, or spans made from settings ----

constexpr double kLongWork = 0.5;      // requests above the cutoff carry this part of the work
constexpr double kHintMemory = 0.98;   // of the hints seen, kept each time the cutoff is set
constexpr double kLongLeast = 1.5;     // and the cutoff is at least this many times the mean
constexpr double kAgeFactor = 2;       // F_u: a waiting estimate is divided by this ...
constexpr double kAgeEvery = 0.1;      // ... every T_u, this part of the class's aim
constexpr int kLook = 8;               // servers looked at before rotation settles for the least bad one
constexpr double kPartnersLeast = 12;  // servers of a zone that a gateway works with, at least ...
constexpr double kSharersLeast = 15;   // ... and as many that each has this many gateways
constexpr double kOutside = 1e15;      // beyond any turn
constexpr double kDrain = 0.6;  // a queue we saw shrinks by this much a unit of time while we look away
constexpr double kPaceQuantile = 0.2;    // of latency over hint: service without much waiting
constexpr double kUnhintedPace = 0.5;    // of latency, where no request tells its work
constexpr double kUnhintedMin = 10;      // so many without any hint before they are counted in usual ones
constexpr double kUnhintedTimes = 2;     // a cold server's allowance: its work may be far above the usual
constexpr double kUnhintedWork = 0.25;   // of the shortest aim: what such a request is first taken for
constexpr double kPaceStep = 0.03;       // learning step of that quantile, in log terms
constexpr double kSmooth = 0.02;         // weight of a new sample in running means
constexpr double kWaitStep = 0.05;       // learning step of the usual wait, in mean service times
constexpr double kForget = 0.2;          // weight of a refusal against the usual wait, next to an answer's
constexpr double kPatience = 0.7;        // part of the time left to the aim that waiting may take
constexpr double kOwnAim = 1.0 / 3;      // of its own time, at least, where aims lie far apart
constexpr double kPatienceLeast = 0.25;  // of that, the part granted to a request of no worth
constexpr double kRoom = 0.5;            // part of the time to the aim within which any server is as good
constexpr double kLongJam = 2;           // times the usual wait that a long must have room for
constexpr double kTailQuantile = 0.8;    // of latency over what was expected
constexpr double kDoubt = 2.5;           // times that quantile after which an attempt may have been lost ...
constexpr double kDoubtLeast = 0.2;      // but at least this part of the shortest aim ...
constexpr double kStuck = 4;             // ... after which one overtaken is stuck ...
constexpr double kUnsafeTimes = 2;       // ... and this many times later if it can't be repeated
constexpr double kExtraShare = 0.05;     // further attempts for each request that arrives
constexpr double kExtraBurst = 10;       // and how many may be saved up
constexpr double kHoldAfterFailure = 0.2;  // of the shortest aim: first hold after a failure; doubles
constexpr int kHoldDoublings = 6;
constexpr double kByChance = 0.1;   // a run of failures that is likelier than this by chance tells nothing
constexpr int kZoneFailures = 4;    // failures in a row, across a zone, that speak for its link
constexpr double kUntold = 0.25;    // part of ask_within in which the list may not yet tell of a restart
constexpr double kAskSpread = 0.1;  // of ask_within: before the first call; after a failed one, doubling
constexpr double kSecond = 1e6;
constexpr double kCrossWeight = 2;     // times the price of crossing, as a part of the aim, to be saved
constexpr double kCutoffSamples = 50;  // hints needed before anything is called long

using AttemptRef = std::tuple<Micros, RequestId, int>;  // sent at, request, attempt

struct Server {
  ServerEntry entry;
  double rank = 0;        // drawn once, out of 1: the lowest are those that this gateway usually works with
  double key = 0;         // its place in the rotation: its turn, and all others' after those
  double turn = 0;        // place in the rotation; moves on by the time that the work given takes there
  bool in_turn = false;   // in its zone's rotation
  bool reserved = false;  // one of our longs is running there
  std::set<AttemptRef> out;
  double work_out = 0;
  // What our own attempts told of its queue: the wait of the latest-sent request that has answered.
  double wait_seen = 0;
  Micros wait_at = 0;
  Micros heard = 0;        // when the latest-sent request that it has answered was sent
  bool trial_out = false;  // a request is out there that shall tell whether it still answers
  int failures = 0;        // in a row
  Micros held_until = 0;
  Micros down_at = 0;    // when it last could not be reached, twice in a row
  Micros cold_next = 0;  // when its allowance permits another request
};

using Turns = std::set<std::pair<double, ServerId>>;

struct Zone {
  int servers = 0;
  Turns rotation;       // ready and unreserved servers by turn
  Turns idle;           // of these, the ones that hold nothing of ours
  double turn = 0;      // how far the rotation has come
  double met_wait = 0;  // median wait of our answers
  int failures = 0;     // in a row, with no answer from the zone
  Micros held_until = 0;
  Micros back = 0;  // when it was heard again after a silence
};

struct Attempt {
  ServerId server = 0;
  Micros sent = 0;
  bool out = true;
  bool may_have_run = true;
  double expected_wait = 0;
  double expected = 0;  // its latency, with one more request of the usual size before it
  Micros doubt_at = 0;  // when it may have been lost on the way or in there
  Micros stuck_at = 0;  // when it is called off if later ones were answered
  bool doubted = false;
  bool trial = false;
  bool reserves = false;
};

struct Request {
  RequestId id = 0;
  int request_class = 0;
  Micros deadline = 0;
  Micros aim_at = 0;
  double work = 0;
  bool hinted = false;
  double worth = 1;  // for a unit of work, as a part of the most that any class has
  double aged = 0;   // estimate while it waits
  Micros age_every = 0;
  bool is_long = false;
  bool buffered = false;
  bool answered = false;
  std::vector<Attempt> attempts;
};

enum class Alarm { kDeadline, kAge, kStuck, kAskList };
using AlarmRef = std::tuple<Micros, Alarm, RequestId>;

}  // namespace

class Balancer::Impl {
 public:
  explicit Impl(const Settings& settings)
      : set_(settings),
        random_(settings.seed),
        share_({}, settings.gateways),
        cold_({settings.cold_share, settings.cold_time, settings.fall_multiple, settings.fall_time}) {
    if (set_.classes.empty()) throw std::invalid_argument("no request class");
    if (set_.zones < 1 || set_.zone < 0 || set_.zone >= set_.zones)
      throw std::invalid_argument("zone out of range");
    if (set_.gateways < 1) throw std::invalid_argument("no gateways");
    if (set_.max_attempts < 1) throw std::invalid_argument("no attempts allowed");
    shortest_aim_ = set_.classes[0].aim;
    for (const ClassSettings& c : set_.classes) {
      if (c.deadline <= 0 || c.aim <= 0) throw std::invalid_argument("a class without aim or deadline");
      shortest_aim_ = std::min<double>(shortest_aim_, c.aim);
      most_worth_ = std::max(most_worth_, c.worth);
    }
    for (int i = 0; const TenantSettings& t : set_.tenants) On(TenantChanged{i++, true, t});
    part_ = 1.0 / set_.gateways;
    zones_.resize(set_.zones);
    longest_try_.resize(set_.classes.size(), 0);
  }

  void Handle(Micros now, const Event& event, std::vector<Action>* actions) {
    now_ = now;
    actions_ = actions;
    if (!started_) Start();
    std::visit([this](const auto& e) { On(e); }, event);
    RunAlarms();
    SetWake();
  }

  std::uint64_t ignored() const { return ignored_; }

 private:
  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  void Say(std::string text) { Act(Log{std::move(text)}); }
  void Act(Action action) { actions_->push_back(std::move(action)); }

  // ---- Server list ----

  void Start() {
    started_ = true;
    cutoff_at_ = now_;
    // Gateways that start together must not all ask for the list at once.
    if (set_.list_on_request) AskListIn(Uniform() * kAskSpread * set_.ask_within);
  }

  void AskListIn(double span) {
    alarms_.erase({ask_at_, Alarm::kAskList, 0});
    ask_at_ = now_ + static_cast<Micros>(span);
    alarms_.insert({ask_at_, Alarm::kAskList, 0});
  }

  void On(const ListUpdate& update) {
    if (update.kind == ListUpdate::Kind::kFailed) {
      double wait = kAskSpread * (set_.ask_within << std::min(ask_failures_++, 3));
      if (set_.list_on_request) AskListIn(wait * (0.2 + 0.8 * Uniform()));
      return;
    }
    if (update.kind != ListUpdate::Kind::kCached && set_.list_on_request && ask_at_ != 0) {
      ask_failures_ = 0;
      alarms_.erase({ask_at_, Alarm::kAskList, 0});  // subscribed
    }
    std::set<ServerId> named;
    for (const ServerEntry& entry : update.entries) {
      if (entry.zone < 0 || entry.zone >= set_.zones || !(entry.size > 0)) {
        ignored_++;
        continue;
      }
      named.insert(entry.id);
      Learn(entry);
    }
    if (update.kind != ListUpdate::Kind::kChanges) {
      for (auto& [id, server] : servers_) {
        if (named.count(id) == 0) server.entry.state = ServerState::kGone;
      }
    }
    for (Zone& zone : zones_) zone.servers = 0;
    for (const auto& [id, server] : servers_) zones_[server.entry.zone].servers += Sendable(server);
    for (auto it = servers_.begin(); it != servers_.end();) {
      Server& server = it->second;
      Place(server);
      bool forget = server.entry.state == ServerState::kGone && server.out.empty();
      if (forget) cells_[server.entry.cell].erase(server.entry.id);
      it = forget ? servers_.erase(it) : std::next(it);
    }
    ReleaseBuffered();
  }

  void Learn(const ServerEntry& entry) {
    auto [it, fresh] = servers_.try_emplace(entry.id);
    Server& server = it->second;
    if (server.in_turn) TakeOut(server);
    bool restarted = fresh || entry.started_at != server.entry.started_at;
    if (!fresh) cells_[server.entry.cell].erase(entry.id);
    server.entry = entry;
    cells_[entry.cell].insert(entry.id);
    if (!restarted) return;
    server.wait_seen = 0;
    server.failures = 0;
    server.held_until = 0;
    // A random first turn: gateways hear of a server together and must not all open with it.
    server.rank = Uniform();
    server.turn = zones_[entry.zone].turn + Uniform() * ServiceTime(mean_work_, server);
  }

  double Sharing() const { return std::max(1.0, 1.0 * set_.gateways / set_.zones); }  // gateways of a zone

  // How many servers of a zone a gateway works with. Guards against a large fleet in which it meets each so
  // seldom that every call pays a handshake and nothing is known of any. Each still has many gateways, to
  // even out chance.
  double Partners(int zone) const {
    return std::max(kPartnersLeast, kSharersLeast * zones_[zone].servers / Sharing());
  }

  bool Sendable(const Server& server) const { return server.entry.state == ServerState::kReady; }

  // Keeps the rotation and the idle list in step with what the server may take.
  void Place(Server& server) {
    if (server.in_turn) TakeOut(server);
    if (!Sendable(server) || server.reserved) return;
    int zone = server.entry.zone;
    server.turn = std::max(server.turn, zones_[zone].turn);
    server.key = server.turn + (server.rank * zones_[zone].servers < Partners(zone) ? 0 : kOutside);
    zones_[zone].rotation.insert({server.key, server.entry.id});
    if (server.out.empty()) zones_[zone].idle.insert({server.key, server.entry.id});
    server.in_turn = true;
  }

  void TakeOut(Server& server) {
    zones_[server.entry.zone].rotation.erase({server.key, server.entry.id});
    zones_[server.entry.zone].idle.erase({server.key, server.entry.id});
    server.in_turn = false;
  }

  // ---- Cutoff ----

  // Hints by half octaves; the cutoff is the hint above which kLongWork of the work lies.
  void NoteHint(double work) {
    if (hints_ == 0) pace_.clear();  // of unhinted ones, in another unit
    mean_work_ += (work - mean_work_) * std::max(kSmooth, 1.0 / (1.0 + hints_++));
    int bin = std::clamp(static_cast<int>(2 * std::log2(std::max(work, 1.0))), 0, kBins - 1);
    bins_[bin] += work;
    if (now_ - cutoff_at_ < kSecond || hints_ < kCutoffSamples) return;
    cutoff_at_ = now_;
    double total = 0;
    for (double& b : bins_) total += (b *= kHintMemory);
    double above = 0;
    int i = kBins - 1;
    while (i > 0 && above + bins_[i] <= kLongWork * total) above += bins_[i--];
    // Within the bin that straddles the mark, go by its part.
    double part = bins_[i] > 0 ? (kLongWork * total - above) / bins_[i] : 0;
    // Longs are few: where hints hardly differ there are none.
    cutoff_ = std::max(kLongLeast * mean_work_, std::exp2((i + 1 - std::clamp(part, 0.0, 1.0)) / 2.0));
  }

  bool UsualKnown() const { return hints_ > 0 ? hints_ >= kCutoffSamples : unhinted_ >= kUnhintedMin; }

  // ---- Health and speed ----

  // Sizes in the list may be rough or absent, so each kind of machine has its pace learned. Until then a hint
  // is taken for the time that it takes.
  double Pace(const Server& server) const {
    auto it = pace_.find(server.entry.kind);
    return it == pace_.end() ? server.entry.size : it->second.first;
  }

  double ServiceTime(double work, const Server& server) const {
    return work * Pace(server) / server.entry.size;
  }

  // The wait a new request would meet there, from our own attempts alone: what the latest answer waited,
  // which with time drifts to what is usual in its zone (with many gateways most of what we saw is old, and
  // to take an unseen queue for empty would fill a jam further); at least how overdue our oldest attempt is.
  double ExpectedWait(const Server& server) const {
    double usual = zones_[server.entry.zone].met_wait;
    double moved = kDrain * (now_ - server.wait_at);
    double wait = server.wait_seen > usual ? std::max(usual, server.wait_seen - moved)
                                           : std::min(usual, server.wait_seen + moved);
    // Servers work in order: what it has overtaken is stuck by itself and tells nothing of the queue. What is
    // in doubt counts neither: a trial shall tell.
    auto oldest = server.out.lower_bound({server.heard, 0, 0});
    while (oldest != server.out.end() && AttemptOf(*oldest).doubted) ++oldest;
    if (oldest != server.out.end()) {
      const auto& [sent, id, number] = *oldest;
      wait = std::max(wait, now_ - sent - ServiceTime(requests_.at(id).work, server));
    }
    return wait + ServiceTime(server.work_out, server);
  }

  const Attempt& AttemptOf(const AttemptRef& ref) const {
    return requests_.at(std::get<1>(ref)).attempts[std::get<2>(ref)];
  }

  // Whether something that it has not answered yet is in doubt, and nothing sent later has been answered.
  bool InDoubt(const Server& server) const {
    auto oldest = server.out.lower_bound({server.heard, 0, 0});
    return oldest != server.out.end() && AttemptOf(*oldest).doubted;
  }

  void NoteEnd(Server& server, const Request& request, const Attempt& attempt, Outcome outcome,
               Micros latency) {
    Zone& zone = zones_[server.entry.zone];
    double service = ServiceTime(request.work, server);
    double waited = latency - service;
    switch (outcome) {
      case Outcome::kServed:
        if (zone.failures >= kZoneFailures) zone.back = now_;
        zone.failures = 0;
        zone.held_until = 0;
        server.failures = 0;
        server.held_until = 0;
        usual_failures_ -= kSmooth * usual_failures_;
        server.heard = std::max(server.heard, attempt.sent);
        tail_ = std::max(1.0, tail_ * Step(latency > tail_ * attempt.expected));
        if ((request.hinted || (hints_ == 0 && UsualKnown())) && latency > 0 && request.work >= mean_work_) {
          double ratio = latency * server.entry.size / request.work;
          auto& [pace, samples] = pace_.try_emplace(server.entry.kind, Pace(server), 0).first->second;
          double step = std::max(kPaceStep, 1.0 / ++samples);
          double quantile = request.hinted ? kPaceQuantile : kUnhintedPace;
          pace *= std::exp(ratio < pace ? -step * (1 - quantile) : step * quantile);
        }
        StepMedian(zone.met_wait, waited, server, 1);
        StepMedian(surprise_, waited - attempt.expected_wait, server, 1);
        if (attempt.sent >= server.wait_at) {
          server.wait_seen = std::max(0.0, waited);
          server.wait_at = attempt.sent;
        }
        break;
      case Outcome::kTimeout:
      case Outcome::kCancelled:
        // Neither this nor any sent later was answered. To take that for a queue would outlive the trouble.
        if (server.heard > attempt.sent) break;
        if (outcome == Outcome::kTimeout || waited > service + zone.met_wait) NoteFailure(server);
        break;
      case Outcome::kNotSent:
        break;
      case Outcome::kFull:
        // Its queue is full: as long as we care to know.
        StepMedian(zone.met_wait, shortest_aim_, server, 1);
        server.wait_seen = std::max(ExpectedWait(server), shortest_aim_);
        server.wait_at = now_;
        break;
      case Outcome::kConnectFailed:
        NoteZoneFailure(server.entry.zone);
        NoteFailure(server);
        break;
      default:
        // Guards against holding back all servers where all of them fail now and then: only a run of failures
        // that the usual part of them hardly explains speaks against this one.
        usual_failures_ += kSmooth * (1 - usual_failures_);
        if (std::pow(usual_failures_, server.failures + 1) > kByChance)
          server.failures++;
        else
          NoteFailure(server);
    }
  }

  // Guards against requests that a server takes and never answers, each in one of its places until none is
  // left. Only what later ones have overtaken counts: one that stands still or is crowded keeps what it has.
  void LookAfter(Request& request) {
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      Attempt& attempt = request.attempts[i];
      if (!attempt.out) continue;
      Server& server = servers_.at(attempt.server);
      if (set_.may_cancel && now_ >= attempt.stuck_at && server.heard > attempt.sent) {
        Act(Cancel{request.id, static_cast<int>(i)});
        continue;
      }
      if (!attempt.doubted && now_ >= attempt.doubt_at) Doubt(request, attempt, server);
      Micros next = attempt.doubted ? std::max(attempt.stuck_at, now_ + request.age_every) : attempt.doubt_at;
      alarms_.insert({next, Alarm::kStuck, request.id});
    }
  }

  // Guards against one lost request that keeps its server, which does well, from all others until its
  // deadline: nothing could overtake it where a long's reservation or its lateness keeps everything else
  // away. It no longer counts, and one safe short at a time goes there as a trial. A server that lets that
  // wait too is left alone.
  void Doubt(Request& request, Attempt& attempt, Server& server) {
    attempt.doubted = true;
    NoteZoneFailure(server.entry.zone);
    server.work_out -= request.work;
    if (attempt.reserves) server.reserved = attempt.reserves = false;
    if (attempt.trial) NoteFailure(server);
    if (attempt.trial) server.trial_out = attempt.trial = false;
    Place(server);
  }

  static double Step(bool up) { return std::exp(kPaceStep * (up ? kTailQuantile : kTailQuantile - 1)); }

  // Moves a running median of waits one step towards a sample.
  void StepMedian(double& median, double sample, const Server& server, double weight) const {
    double step = weight * kWaitStep * ServiceTime(mean_work_, server);
    median = std::max(0.0, median + (sample > median ? step : -step));
  }

  // How long to leave something alone that failed, somewhat at random so that gateways don't try it together.
  double HoldSpan(int doublings) {
    double span = kHoldAfterFailure * shortest_aim_ * (0.75 + 0.5 * Uniform());
    return std::ldexp(span, std::clamp(doublings, 0, kHoldDoublings));
  }

  // Guards against servers that fail fast or hang: an empty count must not draw work to them.
  void NoteFailure(Server& server) {
    server.held_until = now_ + static_cast<Micros>(HoldSpan(server.failures));
    if (++server.failures == kHoldDoublings)
      Say("server " + std::to_string(server.entry.id) + ": nothing but failures, tried rarely from now on");
  }

  // Guards against a zone that is cut off having all its servers tried one by one, a time-out each. What
  // fails to connect or is overdue there, with no answer from the zone in between, speaks for its link.
  void NoteZoneFailure(int zone) {
    if (++zones_[zone].failures == kZoneFailures)
      Say("zone " + std::to_string(zone) + ": nothing is heard from it");
    if (zones_[zone].failures >= kZoneFailures) HoldZone(zone);
  }

  void HoldZone(int zone) {
    zones_[zone].held_until = now_ + HoldSpan(std::min(zones_[zone].failures - kZoneFailures, kZoneFailures));
  }

  // The own zone, or while that is silent the first that is not.
  int Home(const Request& request) const {
    int zone = set_.zone;
    for (int i = 1; i < set_.zones && !Open(zone, request); ++i) zone = (set_.zone + i) % set_.zones;
    return Open(zone, request) ? zone : set_.zone;
  }

  // A zone that is silent gets one safe short at a time as a trial.
  bool Open(int zone, const Request& request) const {
    if (zones_[zone].failures < kZoneFailures) return true;
    return now_ >= zones_[zone].held_until && !request.is_long &&
           set_.classes[request.request_class].effect == Effect::kSafe;
  }

  // After failures a server gets one trial at a time until it answers.
  bool Barred(const Server& server) const {
    return server.held_until > 0 && (now_ < server.held_until || !server.out.empty());
  }

  // ---- Cold starts ----

  // When its process may have started: after a silence servers may be back, cold, before the list tells.
  Micros Started(const Server& server) const {
    Micros back = zones_[server.entry.zone].back;
    return now_ < back + kUntold * set_.ask_within ? std::max(back, server.entry.started_at)
                                                   : server.entry.started_at;
  }

  Micros Age(const Server& server) const { return now_ - Started(server); }
  bool Cold(const Server& server) const { return Started(server) > 0 && cold_.Cold(Age(server)); }

  // Work a microsecond once warm: it runs `size` requests side by side, each at the learned pace.
  double Capacity(const Server& server) const { return server.entry.size * server.entry.size / Pace(server); }

  // Gateways of every zone take part, or one put back by hand would stay unused where it has no zone-mate.
  void PayCold(Server& server, double work) {
    if (hints_ == 0) work *= kUnhintedTimes;
    Micros age = std::max(Age(server), server.cold_next - Started(server));
    server.cold_next = Started(server) + cold_.NextTurn(Capacity(server), part_, work, age);
  }

  bool ColdAllows(Server& server, const Request& request) {
    if (!Cold(server)) return true;
    bool unknown = hints_ == 0 && (!UsualKnown() || request.work < mean_work_);
    if (unknown || now_ >= part_until_ || part_ <= 0) return false;
    double lump = cold_.Lump(Capacity(server), mean_work_, Age(server));
    // Who has just started knows no usual request yet and goes by the largest that a cold server may get.
    if (server.cold_next < Started(server)) PayCold(server, Uniform() * (UsualKnown() ? mean_work_ : lump));
    return now_ >= server.cold_next && request.work <= lump;
  }

  // ---- Rotation ----

  struct Pick {
    Server* server = nullptr;
    double wait = 0;
  };

  bool Usable(Server& server, const Request& request) {
    if (Barred(server) || !ColdAllows(server, request) || Tried(request, server.entry.id)) return false;
    bool trial =
        !server.trial_out && !request.is_long && set_.classes[request.request_class].effect == Effect::kSafe;
    return trial || !InDoubt(server);
  }

  // A server whose queue keeps our work waiting more than is usual is passed over until that has drained.
  bool Held(const Server& server, double wait) const {
    return wait > std::max(zones_[server.entry.zone].met_wait, ServiceTime(mean_work_, server));
  }

  static bool Tried(const Request& request, ServerId id) {
    return std::any_of(request.attempts.begin(), request.attempts.end(),
                       [id](const Attempt& a) { return a.server == id; });
  }

  // Takes the next server in turn that is not held: its expected wait is no more than usual. A server passed
  // over loses its turn. When all that are looked at are held, the one with the least wait has to do.
  Pick NextInTurn(int zone, const Request& request) {
    Turns& turns = zones_[zone].rotation;
    Pick best;
    int looks = std::min<int>(kLook, static_cast<int>(turns.size()));
    for (int i = 0; i < looks; ++i) {
      Server& server = servers_.at(turns.begin()->second);
      double wait = ExpectedWait(server);
      if (Usable(server, request)) {
        if (!Held(server, wait)) return {&server, wait};
        if (best.server == nullptr || wait < best.wait) best = {&server, wait};
      }
      zones_[zone].turn = std::max(zones_[zone].turn, server.turn);
      TakeOut(server);
      server.turn += ServiceTime(mean_work_, server);
      Place(server);
    }
    return best;
  }

  // Of those that hold nothing of ours and are not held the first in turn that leaves room before the aim,
  // else the one that would have it done first: a heavy one must not meet a slow machine while a fast one is
  // free.
  Pick NextIdle(int zone, const Request& request) {
    Pick best;
    double least = std::numeric_limits<double>::infinity();
    for (const auto& [turn, id] : zones_[zone].idle) {
      Server& server = servers_.at(id);
      double wait = ExpectedWait(server);
      double done = wait + ServiceTime(request.work, server);
      if (done >= least || Held(server, wait) || !Usable(server, request)) continue;
      best = {&server, wait};
      least = done;
      if (done <= kRoom * (request.aim_at - now_)) break;
    }
    return best;
  }

  // Where a short goes that would be refused otherwise: to the least busy of the reserved. The design leaves
  // open what happens when all that could serve are reserved.
  Pick PickReserved(const Request& request) {
    Pick best;
    for (auto& [id, server] : servers_) {
      if (!server.reserved || server.entry.zone != set_.zone || !Sendable(server)) continue;
      double wait = ExpectedWait(server);
      if (Usable(server, request) && (best.server == nullptr || wait < best.wait)) best = {&server, wait};
    }
    return best;
  }

  // The own zone first; when its next server keeps us waiting for more than the price of crossing (in terms
  // of the aim), another zone where the wait is less by more than that. What is usual in the own zone must
  // not count here: a zone that is crowded throughout would never let go.
  Pick PickServer(const Request& request) {
    int home = Home(request);
    Pick best = NextInTurn(home, request);
    double price = kCrossWeight * set_.cross_zone_price * set_.classes[request.request_class].aim;
    if (best.server != nullptr && best.wait <= price) return best;
    for (int z = 0; z < set_.zones; ++z) {
      if (z == home || !Open(z, request)) continue;
      Pick other = NextInTurn(z, request);
      if (other.server == nullptr) continue;
      other.wait += price;
      if (best.server == nullptr || other.wait < best.wait) best = other;
    }
    return best;
  }

  // A further attempt of a keyed request that may have run stays with the servers that drop its repeat.
  Pick PickRepeat(const Request& request) {
    const ClassSettings& c = set_.classes[request.request_class];
    const Attempt* first = FirstThatMayHaveRun(request);
    if (first == nullptr || c.effect == Effect::kSafe || c.group == KeyedGroup::kAll)
      return PickServer(request);
    auto home = servers_.find(first->server);
    if (home == servers_.end()) return {};
    if (c.group == KeyedGroup::kSameZone) return NextInTurn(home->second.entry.zone, request);
    Pick best;
    for (ServerId id : cells_[home->second.entry.cell]) {
      Server& server = servers_.at(id);
      if (!Sendable(server) || !Usable(server, request)) continue;
      double wait = ExpectedWait(server);
      // A reserved one only if there is no other: without any it would fail.
      std::pair rank(server.reserved, wait);
      if (best.server == nullptr || rank < std::pair(best.server->reserved, best.wait))
        best = {&server, wait};
    }
    return best;
  }

  // ---- Long buffer and reservations ----

  void Buffer(Request& request) {
    request.buffered = true;
    buffer_.insert({request.aged, request.id});
    alarms_.insert({now_ + request.age_every, Alarm::kAge, request.id});
  }

  void Unbuffer(Request& request) {
    if (!request.buffered) return;
    request.buffered = false;
    buffer_.erase({request.aged, request.id});
  }

  // Smallest aged estimate first, to a free server; once below the cutoff, to the next unreserved in turn.
  void ReleaseBuffered() {
    while (!buffer_.empty()) {
      Request& request = requests_.at(buffer_.begin()->second);
      Pick pick = NextIdle(Home(request), request);
      if (pick.server == nullptr && request.aged < cutoff_) pick = PickServer(request);
      if (pick.server == nullptr) return;
      Unbuffer(request);
      if (TooLate(request, pick) && MayRefuse(request)) {
        RefuseIt(request, pick.wait);
        ForgetIfOver(request.id);
      } else {
        SendTo(request, *pick.server);
      }
    }
  }

  void Age(Request& request) {
    if (!request.buffered) return;
    Unbuffer(request);
    if (MayRefuse(request) && now_ > request.aim_at) return RefuseIt(request, 0);
    request.aged /= kAgeFactor;
    Buffer(request);
    ReleaseBuffered();
  }

  // ---- Attempts and deadlines ----

  void SendTo(Request& request, Server& server) {
    Micros send_by = SendBy(request);
    int number = static_cast<int>(request.attempts.size());
    Attempt attempt;
    attempt.server = server.entry.id;
    attempt.sent = now_;
    attempt.reserves = request.is_long;
    attempt.expected_wait = ExpectedWait(server);
    attempt.expected = attempt.expected_wait + ServiceTime(request.work + mean_work_, server);
    double times =
        kStuck * (set_.classes[request.request_class].effect == Effect::kUnsafe ? kUnsafeTimes : 1);
    double left = request.deadline - now_;
    double late = std::max(tail_ * attempt.expected, kDoubtLeast * shortest_aim_ / kDoubt);
    attempt.doubt_at = now_ + static_cast<Micros>(std::min(kDoubt * late, left));
    attempt.stuck_at = now_ + static_cast<Micros>(std::min(times * late, left));
    attempt.trial = InDoubt(server);
    if (attempt.trial) server.trial_out = true;
    request.attempts.push_back(attempt);
    TakeOut(server);
    zones_[server.entry.zone].turn = std::max(zones_[server.entry.zone].turn, server.turn);
    server.turn += ServiceTime(request.work, server);
    if (zones_[server.entry.zone].failures >= kZoneFailures) HoldZone(server.entry.zone);
    server.out.insert({now_, request.id, number});
    server.work_out += request.work;
    if (request.is_long) server.reserved = true;
    if (Cold(server)) PayCold(server, request.work);
    Place(server);
    alarms_.insert({attempt.doubt_at, Alarm::kStuck, request.id});
    Act(Send{request.id, server.entry.id, request.deadline - now_, send_by - now_});
  }

  static const Attempt* FirstThatMayHaveRun(const Request& request) {
    auto first = std::find_if(request.attempts.begin(), request.attempts.end(),
                              [](const Attempt& a) { return a.may_have_run; });
    return first == request.attempts.end() ? nullptr : &*first;
  }

  // No effect twice: until when another attempt may be sent, also where its connection comes up late.
  Micros SendBy(const Request& request) const {
    const ClassSettings& c = set_.classes[request.request_class];
    const Attempt* first = FirstThatMayHaveRun(request);
    if (first == nullptr || c.effect == Effect::kSafe) return request.deadline;
    return c.effect == Effect::kKeyed ? std::min(request.deadline, first->sent + c.window) : 0;
  }

  bool MayRepeat(const Request& request) const {
    return static_cast<int>(request.attempts.size()) < set_.max_attempts && now_ < SendBy(request);
  }

  // A refusal promises that trying again is harmless.
  bool MayRefuse(const Request& request) const {
    const ClassSettings& c = set_.classes[request.request_class];
    return c.effect == Effect::kSafe || FirstThatMayHaveRun(request) == nullptr ||
           (c.effect == Effect::kKeyed && c.group == KeyedGroup::kAll);
  }

  // Further attempts are paid from a budget, since retries feed an overload.
  bool PayExtra() {
    if (extra_ < 1) return false;
    extra_ -= 1;
    return true;
  }

  void RefuseIt(Request& request, double advice) {
    Micros after = 0;
    if (set_.advise_retry) {
      double span = std::max(advice, zones_[set_.zone].met_wait) * (1 + Uniform());
      after = std::min(set_.max_retry_after, static_cast<Micros>(span));
    }
    Act(Refuse{request.id, after});
    Close(request);
  }

  void GiveUp(Request& request) {
    if (MayRefuse(request)) return RefuseIt(request, 0);
    Act(Fail{request.id});
    Close(request);
  }

  // The request has its final answer; attempts still out are called off and only counted from here on.
  void Close(Request& request) {
    request.answered = true;
    Unbuffer(request);
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      if (!request.attempts[i].out || !set_.may_cancel) continue;
      Act(Cancel{request.id, static_cast<int>(i)});
    }
    alarms_.erase({request.deadline - set_.tick, Alarm::kDeadline, request.id});
  }

  void ForgetIfOver(RequestId id) {
    auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.answered) return;
    const auto& attempts = it->second.attempts;
    if (std::none_of(attempts.begin(), attempts.end(), [](auto& a) { return a.out; })) requests_.erase(it);
  }

  void On(const AttemptEnded& e) {
    auto it = requests_.find(e.id);
    if (it == requests_.end() || e.attempt < 0 || e.attempt >= static_cast<int>(it->second.attempts.size()) ||
        !it->second.attempts[e.attempt].out) {
      ignored_++;
      return;
    }
    Request& request = it->second;
    Attempt& attempt = request.attempts[e.attempt];
    attempt.out = false;
    attempt.may_have_run =
        e.outcome != Outcome::kFull && e.outcome != Outcome::kConnectFailed && e.outcome != Outcome::kNotSent;
    auto found = servers_.find(attempt.server);
    if (found != servers_.end()) {
      Server& server = found->second;
      server.out.erase({attempt.sent, e.id, e.attempt});
      if (!attempt.doubted) server.work_out -= request.work;
      if (server.out.empty()) server.work_out = 0;
      if (attempt.reserves) server.reserved = false;
      if (attempt.trial) server.trial_out = false;
      NoteEnd(server, request, attempt, e.outcome, e.latency);
      Place(server);
    }
    if (!request.answered) {
      if (e.outcome == Outcome::kServed || e.request_finished) {
        Close(request);
      } else {
        Recover(request, attempt.may_have_run);
      }
    }
    ForgetIfOver(e.id);
    ReleaseBuffered();
  }

  void Recover(Request& request, bool may_have_run) {
    if (MayRepeat(request) && (!may_have_run || PayExtra())) {
      Pick pick = PickRepeat(request);
      // What can't be refused any more fails instead: even a late answer is worth more than that.
      if (pick.server != nullptr && (!MayRefuse(request) || !TooLate(request, pick)))
        return SendTo(request, *pick.server);
    }
    GiveUp(request);
  }

  void On(const StreamStarted& e) {
    auto it = requests_.find(e.id);
    if (it == requests_.end() || it->second.answered || e.attempt < 0 ||
        e.attempt >= static_cast<int>(it->second.attempts.size())) {
      ignored_++;
      return;
    }
    // The attempt is the client's now, and there is no deadline any more.
    alarms_.erase({it->second.deadline - set_.tick, Alarm::kDeadline, e.id});
  }

  void On(const ClientLeft& e) {
    auto it = requests_.find(e.id);
    if (it == requests_.end() || it->second.answered) return;  // it may have crossed our own answer
    Close(it->second);
    ForgetIfOver(e.id);
  }

  void On(const TimerFired&) {}

  void On(const PartGranted& e) {
    part_ = std::clamp(e.part, 0.0, 1.0);
    part_until_ = e.until;
    share_.SetPart(part_);
    ReleaseBuffered();
  }

  void On(const TenantChanged& e) { share_.Set(e.tenant, e.named, {e.share.portion, e.share.quota_per_s}); }

  // ---- Admission ----

  void On(const RequestArrived& e) {
    if (e.request_class < 0 || e.request_class >= static_cast<int>(set_.classes.size()) ||
        requests_.count(e.id) != 0) {
      ignored_++;
      return;
    }
    const ClassSettings& c = set_.classes[e.request_class];
    Request& request = requests_[e.id];
    request.id = e.id;
    request.request_class = e.request_class;
    request.deadline = e.answer_by == 0 ? e.deadline : std::min(e.deadline, e.answer_by);
    request.hinted = e.has_hint && e.work_hint > 0;
    if (request.hinted) NoteHint(e.work_hint);
    // Where no request tells its work it is counted in usual ones, and the pace learns how long those take.
    if (!request.hinted && hints_ == 0 && ++unhinted_ == kUnhintedMin)
      mean_work_ = kUnhintedWork * shortest_aim_;
    request.work = request.hinted ? e.work_hint : mean_work_;
    request.is_long = request.hinted && request.work > cutoff_;
    request.aged = request.work;
    request.age_every = std::max<Micros>(1, static_cast<Micros>(kAgeEvery * c.aim));
    request.aim_at = AimOf(e, c, request.work);
    if (e.answer_by != 0) request.aim_at = std::min(request.aim_at, e.answer_by);
    request.worth = WorthOf(e, c, request);
    extra_ = std::min(kExtraBurst, extra_ + kExtraShare);
    alarms_.insert({request.deadline - set_.tick, Alarm::kDeadline, request.id});
    Admit(request);
    ForgetIfOver(e.id);
  }

  // A client's clock runs from its first try. A try with less time left than others of its class get began
  // long ago, and then the deadline tells when the aim is past.
  Micros AimOf(const RequestArrived& e, const ClassSettings& c, double work) {
    Micros left = e.deadline - now_;
    Micros& longest = longest_try_[e.request_class];
    Micros span = std::min(c.deadline, c.aim + static_cast<Micros>(c.aim_stretch * work));
    Micros aim_at = now_ + span;
    if (left < longest - longest / 20) aim_at = std::min(aim_at, e.deadline - c.deadline + span);
    // A high quantile: one client with more patience than all others must not make theirs look used up.
    if (!e.client_retry) longest = longest == 0 ? left : Micros(longest * Step(left > longest));
    return aim_at;
  }

  double WorthOf(const RequestArrived& e, const ClassSettings& c, const Request& request) {
    double worth = most_worth_ > 0 ? c.worth / most_worth_ : 1;
    if (!set_.worth_by_work && request.work > 0) worth *= std::min(1.0, mean_work_ / request.work);
    if (request.aim_at <= now_) worth *= c.late_worth;
    if (share_.Over(e.tenant, now_)) worth *= set_.over_share_worth;
    return worth;
  }

  // How long it may wait and be worth its place; the less it is worth the sooner it is refused. Queues are
  // shared: where aims are alike, one with a wide aim must not fill them beyond what the shortest can bear.
  double Patience(const Request& request, double service) const {
    double left = request.aim_at - now_ - service;
    if (left <= 0) {
      double late_worth = set_.classes[request.request_class].late_worth;
      left = late_worth * (request.deadline - now_ - service);
    }
    left = std::clamp(left, 0.0, std::max(shortest_aim_, kOwnAim * left));
    return left * kPatience * (kPatienceLeast + (1 - kPatienceLeast) * request.worth);
  }

  bool Late(const Request& request, const Pick& pick) const {
    // A long makes all that come after it wait: in a jam it must fit into the time that the jam leaves.
    double wait = request.is_long ? std::max(pick.wait, kLongJam * zones_[pick.server->entry.zone].met_wait)
                                  : pick.wait;
    return wait + surprise_ > Patience(request, ServiceTime(request.work, *pick.server));
  }

  bool TooLate(const Request& request, const Pick& pick) {
    if (!Late(request, pick)) return false;
    // With all refused no answer would tell that the jam has gone: a refusal counts against what was learned.
    StepMedian(zones_[pick.server->entry.zone].met_wait, 0, *pick.server, kForget);
    StepMedian(surprise_, 0, *pick.server, kForget);
    return true;
  }

  void Admit(Request& request) {
    if (request.deadline - set_.tick <= now_) return;  // its alarm answers at once
    if (request.is_long) {
      Buffer(request);
      ReleaseBuffered();
      return;
    }
    Pick pick = PickServer(request);
    if (pick.server == nullptr) {
      Buffer(request);  // every server is reserved, cold or failing: wait with the longs, and ahead of them
      return;
    }
    if (TooLate(request, pick)) {
      Pick other = PickReserved(request);
      if (other.server == nullptr || Late(request, other)) return RefuseIt(request, pick.wait);
      pick = other;
    }
    SendTo(request, *pick.server);
  }

  // ---- Alarms ----

  void RunAlarms() {
    while (!alarms_.empty() && std::get<0>(*alarms_.begin()) <= now_) {
      auto [at, alarm, id] = *alarms_.begin();
      alarms_.erase(alarms_.begin());
      if (alarm == Alarm::kAskList) {
        Act(Watch{});
        // Every call is answered; should that fail too, silence must not outlast what the rules allow.
        AskListIn(set_.ask_within);
        continue;
      }
      auto it = requests_.find(id);
      if (it == requests_.end() || it->second.answered) continue;
      if (alarm == Alarm::kDeadline) {
        GiveUp(it->second);
      } else if (alarm == Alarm::kStuck) {
        LookAfter(it->second);
        ReleaseBuffered();
      } else {
        Age(it->second);
      }
      ForgetIfOver(id);
    }
  }

  void SetWake() {
    if (alarms_.empty()) return;
    Micros first = std::get<0>(*alarms_.begin());
    if (wake_at_ > now_ && wake_at_ <= first) return;
    wake_at_ = first;
    Act(WakeAfter{first - now_});
  }

  static constexpr int kBins = 80;

  Settings set_;
  std::mt19937_64 random_;  // the same on every platform, unlike the standard distributions
  Micros now_ = 0;
  std::vector<Action>* actions_ = nullptr;
  bool started_ = false;
  std::uint64_t ignored_ = 0;
  double shortest_aim_ = 0;
  double most_worth_ = 0;

  std::map<ServerId, Server> servers_;
  std::map<int, std::set<ServerId>> cells_;
  std::vector<Zone> zones_;
  Micros ask_at_ = 0;
  int ask_failures_ = 0;

  std::array<double, kBins> bins_{};
  double hints_ = 0;
  double unhinted_ = 0;  // requests, before the first hint
  double mean_work_ = 1;
  double cutoff_ = std::numeric_limits<double>::infinity();
  Micros cutoff_at_ = 0;
  std::map<int, std::pair<double, int>> pace_;  // a kind: service time = work x pace / size; samples
  double usual_failures_ = 0;                   // running part of attempts that ended in an error or reset
  double tail_ = 2;                             // quantile of latency over what was expected
  double surprise_ = 0;                         // median by which answers waited longer than expected

  std::map<RequestId, Request> requests_;
  std::set<std::pair<double, RequestId>> buffer_;
  std::set<AlarmRef> alarms_;
  Micros wake_at_ = -1;
  double extra_ = kExtraBurst;
  std::vector<Micros> longest_try_;
  limits::TenantShare share_;
  limits::ColdRamp cold_;
  double part_ = 0;  // of what all gateways share
  Micros part_until_ = std::numeric_limits<Micros>::max();
};

Balancer::Balancer(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;
void Balancer::Handle(Micros now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}
std::uint64_t Balancer::ignored_events() const { return impl_->ignored(); }

}  // namespace sandstand
