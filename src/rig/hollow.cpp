#include "rig/hollow.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

#include "base/payload.hpp"
#include "config_feed/effective_entries.hpp"
#include "config_feed/values.hpp"
#include "discovery/retry_schedule.hpp"

namespace dappletiller::rig {
namespace {

constexpr Micros kDial = 1'000;            // until a server that isn't there has refused
constexpr Micros kTurnsAway = 500;         // until one that drains has said so
constexpr Micros kPatience = 5'000'000;    // of a client
constexpr Micros kTimeTolerance = 50'000;  // the pages' own, for real clocks

std::uint64_t VersionOf(const std::string& name) {
  return std::strtoull(name.c_str() + std::min(name.size(), FileAndSignal::NameOf(0).size() - 1), nullptr,
                       10);
}

}  // namespace

// ---- How settings reach a proxy ----

Config FileAndSignal::Read() {
  std::ifstream file(path_, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw ConfigError(path_ + " cannot be read");
  std::string all = std::move(text).str();
  bytes_ += all.size();
  return ParseConfig(all);
}

Config FileAndSignal::First() {
  Config config = Read();
  settings_text_ = config.settings_text;
  version_ = VersionOf(config.name);
  return config;
}

void FileAndSignal::Signal() {
  try {
    Config fresh = Read();
    if (fresh.settings_text != settings_text_) settings_text_ = std::move(fresh.settings_text);
    version_ = VersionOf(fresh.name);
  } catch (const ConfigError&) {  // as the program: a bad file changes nothing
    ++refused_;
  }
}

ByFeed::ByFeed(EventLoop& loop, Log& log, std::string path, config_feed::FollowerOptions options,
               std::function<void(std::uint64_t)> taken)
    : start_(std::move(path)),
      follower_(options),
      feed_(loop, log, follower_, options.self, *this),
      taken_(std::move(taken)) {}

void ByFeed::Serve(RequestDispatcher* dispatcher) {
  dispatcher_ = dispatcher;
  if (dispatcher_ != nullptr) return feed_.Start();
  // The proxy has ended: nothing is asked any more.
  follower_.SetServers(0, {}, {});
  feed_.RestartRequest();
}

void ByFeed::OnSettingsChanged(const std::vector<config_feed::Change>& changes) {
  if (dispatcher_ == nullptr) return;
  for (const config_feed::EffectiveEntry& entry :
       config_feed::ResolveEntries(follower_.store(), follower_.scope(), changes)) {
    std::optional<config_feed::TenantValue> tenant;
    if (entry.value) {
      const auto parsed = config_feed::ParseTenant(*entry.value);
      if (parsed) tenant = *parsed;
      if (!parsed) ++refused_;
    }
    int place = places_.try_emplace(entry.name, static_cast<int>(places_.size())).first->second;
    balancer::TenantSettings share;
    if (tenant) share = {tenant->share, tenant->quota_per_second};
    dispatcher_->SetTenant(place, tenant.has_value(), share);
  }
  if (version() != told_) taken_(told_ = version());
}

// ---- The hollow proxy ----

// Kept until its proxy goes, also when it is answered: a second answer is to be seen, not to be a crash.
struct Hollow::Request final : ResponseSink {
  explicit Request(Hollow& h) : hollow(h) {}
  void OnResponse(PayloadRef) override { Count(&hollow.world_.served); }
  void OnResponseStarted(PayloadRef, std::shared_ptr<BodyStream>) override {}
  void OnRejected(Micros) override { Count(&hollow.world_.refused); }
  void OnFailed() override { Count(&hollow.world_.failed); }
  bool ClientHasDisconnected() const override { return false; }
  void Count(std::uint64_t* what) {
    if (std::exchange(answered, true)) {
      ++hollow.world_.twice;
      return;
    }
    ++*what;
    --hollow.open_;
  }
  Hollow& hollow;
  bool answered = false;
};

Config Hollow::Placed(Config config, const HollowOptions& options) {
  config.name = options.name;
  config.settings.zone = options.zone;
  config.settings.seed = options.seed;
  // Each starts without a list: what is known at a start is discovery's.
  config.known = {};
  config.known.kind = EndpointList::Kind::kCached;
  return config;
}

Hollow::Hollow(EventLoop& loop, Log& log, HollowWorld& world, SettingsWay& way, HollowOptions options)
    : loop_(loop),
      world_(world),
      way_(way),
      options_(std::move(options)),
      config_(Placed(way.First(), options_)),
      dispatcher_(loop, log, config_.settings, config_.classes),
      discovery_(loop, log, dispatcher_,
                 {options_.discovery, "discovery", config_.names, 0, config_.settings.poll_interval,
                  !config_.settings.endpoints_on_request}),
      random_(options_.seed),
      next_(loop) {
  dispatcher_.Connect(*this, discovery_);
  if (options_.fleet) {
    auto zone = static_cast<std::size_t>(options_.zone);
    peers_.emplace(loop, log, *options_.fleet, options_.name,
                   zone < config_.names.zones.size() ? config_.names.zones[zone] : std::string(),
                   static_cast<QuotaShareObserver&>(*this));
  }
  dispatcher_.OnEndpointUpdate(config_.known);
  discovery_.Start();
  if (peers_) peers_->Start();
  way_.Serve(&dispatcher_);
  Next();
}

Hollow::~Hollow() {
  way_.Serve(nullptr);
  for (const auto& [key, timer] : out_) loop_.Cancel(timer);
  world_.cut += open_;
}

void Hollow::Next() {
  if (options_.requests <= 0) return;
  double seconds = std::exponential_distribution<double>(options_.requests)(random_);
  next_.Set(static_cast<Micros>(seconds * 1e6), [this] {
    Next();
    Arrive();
  });
}

void Hollow::Arrive() {
  if (discovery_.version() == 0) return;  // no list yet: a front sends nobody here before
  RequestId id = dispatcher_.NewRequestId();
  auto& request = *(requests_[id] = std::make_unique<Request>(*this));
  ++world_.arrived;
  ++open_;
  IncomingRequest arrival;
  arrival.request_class =
      static_cast<int>(random_(static_cast<std::uint32_t>(config_.settings.classes.size())));
  if (!config_.settings.tenants.empty())
    arrival.tenant = static_cast<int>(random_(static_cast<std::uint32_t>(config_.settings.tenants.size())));
  arrival.deadline = loop_.Now() + kPatience;
  arrival.work_hint = world_.work;
  dispatcher_.OnRequest(id, std::move(arrival), request);
}

void Hollow::Start(const Attempt& attempt) {
  Micros now = loop_.Now();
  ++world_.sent;
  Place& place = places_[attempt.server];
  const auto& server = world_.servers[static_cast<std::size_t>(place.server)];
  Micros window = world_.drain_window + kTimeTolerance;
  if (place.told != 0 && now > place.told + window) ++world_.after_told;
  // The pages' clock: a change counts as told 6 s after discovery had it and could be reached.
  Micros had = std::max(server.drained, world_.reachable[static_cast<std::size_t>(options_.region)]);
  if (server.drained != 0 && now > had + RetrySchedule::kNotifiedAfter + window) ++world_.after_had;
  bool drains = server.drained != 0;
  Micros takes = !server.runs ? kDial : drains ? kTurnsAway : world_.work;
  AttemptOutcome end = !server.runs ? AttemptOutcome::kUnreachable
                       : drains     ? AttemptOutcome::kRejected
                                    : AttemptOutcome::kAnswered;
  AttemptKey key = attempt.key;
  out_[key] = loop_.ScheduleAt(now + takes, [this, key, end] {
    out_.erase(key);
    dispatcher_.OnAttemptEnded(key, end, nullptr);
  });
}

void Hollow::Cancel(AttemptKey key, CancelReason) {
  auto it = out_.find(key);
  if (it == out_.end()) return;
  loop_.Cancel(it->second);
  out_.erase(it);
}

void Hollow::SetEndpoint(ServerId worker, const Endpoint& endpoint) {
  touched_ = true;
  if (places_.size() <= worker) places_.resize(worker + 1);
  auto it = world_.by_port.find(endpoint.port);
  // Told again that it drains, it was told the first time; told that it is up, it is.
  places_[worker] = {it == world_.by_port.end() ? 0 : it->second, 0, places_[worker].told};
}

void Hollow::StopUsing(ServerId worker) {
  touched_ = true;
  if (worker >= places_.size()) return;
  Place& place = places_[worker];
  place.told = place.told_was != 0 ? place.told_was : loop_.Now();
}

void Hollow::Remove(ServerId worker) {
  touched_ = true;
  if (worker < places_.size()) places_[worker].told = loop_.Now();
}

}  // namespace dappletiller::rig
