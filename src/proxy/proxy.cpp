#include "proxy/proxy.hpp"

#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "admin/console.hpp"
#include "config/platform_config.hpp"
#include "config_feed/client/settings_feed.hpp"
#include "config_feed/in_force.hpp"
#include "config_feed/values.hpp"
#include "discovery/discovery_client.hpp"
#include "dispatch/request_dispatcher.hpp"
#include "downstream/listener.hpp"
#include "drain/drain_state_file.hpp"
#include "http/body_memory.hpp"
#include "io/descriptor_limit.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"
#include "membership/transport/membership_transport.hpp"
#include "upstream/upstream_pool.hpp"

namespace dappletiller {
namespace {

constexpr Micros kStopAccepting = 500'000;  // after SIGTERM: by then the front sends nobody here any more
constexpr Micros kLookEvery = 10'000;       // whether all is answered
// The platform ends a process after the longest deadline, which counts as no more than this, and 0.7 s more
// (the protocol's page, Figures); a tenth of a second of it is for the answer to leave.
constexpr Micros kMostDeadline = 3'000'000;
constexpr Micros kAnswerBy = 600'000;
constexpr Micros kLastAnswers = 50'000;  // for the answers given at that time to leave; then the process ends

// Kept out of the budget: listeners, discovery, epoll, signals, standard streams, a file while it is read;
// and the console's callers, so that the list's watch can be opened anew when clients and workers hold all
// the rest.
constexpr std::size_t kOwnDescriptors = 16 + Console::kMostCallers;
constexpr std::size_t kKeptPart = 8;  // one in so many connections is kept for clients
// One in so many bytes of the process's memory is the most that long bodies take beyond the usual size; a
// buffer that grows may be up to twice as large as what it holds.
constexpr std::size_t kLongBodiesPart = 8;
constexpr std::size_t kPlacesPart = 3;  // one in so many descriptors is the most that clients hold for calls

Config Load() {
  const char* path = std::getenv("BALANCER_CONFIG");
  if (path == nullptr) throw ConfigError("BALANCER_CONFIG is not set");
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file) throw ConfigError(std::string(path) + " cannot be read");
  // An empty file reads as a failure of the stream: told apart, since a half-written file is common.
  if (!(text << file.rdbuf()) || text.str().empty()) throw ConfigError(std::string(path) + " is empty");
  try {
    return ParseConfig(text.str());
  } catch (const ConfigError& e) {
    throw ConfigError(std::string(path) + ": " + e.what());
  }
}

// Where the operators' console listens: the environment names it on days when the file doesn't.
std::optional<Endpoint> ConsoleAt(const Config& config) {
  if (const char* at = std::getenv("BALANCER_CONSOLE"); at != nullptr && *at != '\0') {
    auto endpoint = ParseEndpoint(at);
    if (!endpoint) throw ConfigError(std::string("BALANCER_CONSOLE is not an address and port: ") + at);
    return endpoint;
  }
  return config.console;
}

// The descriptor of the clients' listening socket that the platform holds for every process; -1: none.
int InheritedSocket() {
  const char* text = std::getenv("BALANCER_SOCKET_FD");
  if (text == nullptr || *text == '\0') return -1;
  int fd = -1;
  auto [end, failed] = std::from_chars(text, text + std::strlen(text), fd);
  if (failed != std::errc() || *end != '\0' || fd < 0) {
    throw ConfigError(std::string("BALANCER_SOCKET_FD is not a descriptor number: ") + text);
  }
  return fd;
}

sigset_t OurSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

class Proxy final : private EventHandler,
                    private ConsoleHandler,
                    private QuotaShareObserver,
                    private SettingsSink {
 public:
  Proxy(Log& log, Config config, const std::string& operator_path)
      : log_(log),
        config_(std::move(config)),
        operator_path_(operator_path),
        gateway_(loop_, log_, config_.settings),
        descriptors_(config_.sockets - kOwnDescriptors, config_.sockets / kKeptPart),
        long_bodies_(std::make_shared<BodyMemory>(config_.memory / kLongBodiesPart)),
        workers_(loop_, log_, gateway_, descriptors_, Reaching(config_), long_bodies_),
        acceptor_(loop_, log_, gateway_, descriptors_, Accepting(config_, long_bodies_)),
        discovery_(loop_, log_, gateway_,
                   {config_.discovery, config_.discovery_text, config_.names, config_.known.version,
                    config_.settings.ask_within, !config_.settings.list_on_request, config_.settings.seed}),
        console_(loop_, log_, *this),
        drain_timer_(loop_) {
    gateway_.Connect(workers_, discovery_);
    if (operator_path_.empty()) return;
    operators::OperatorFile file = operators::LoadOperatorFile(operator_path_);
    log_.Configure(file.log_json ? Log::Format::kJson : Log::Format::kText, Log::ParseLevel(file.log_level));
    if (file.settings_feed) {
      feed::FollowerOptions following;
      following.self = config_.name;
      following.near = file.settings_feed->near;
      following.others = file.settings_feed->others;
      following.seed = config_.settings.seed ^ static_cast<std::uint64_t>(loop_.Now());
      following.scope = ScopeOf(*file.settings_feed);
      following.whole_rate = file.settings_feed->whole_rate;
      follower_.emplace(std::move(following));
      feed_.emplace(loop_, log_, *follower_, config_.name, static_cast<SettingsSink&>(*this));
    }
    if (!file.fleet) return;
    auto zone = static_cast<std::size_t>(config_.settings.zone);
    membership_.emplace(loop_, log_, std::move(*file.fleet), config_.name,
                        zone < config_.names.zones.size() ? config_.names.zones[zone] : std::string(),
                        static_cast<QuotaShareObserver&>(*this));
  }

  void Run() {
    CatchSignals();
    LoadDrains();
    if (int fd = InheritedSocket(); fd >= 0) {
      acceptor_.Inherit(fd);
    } else {
      acceptor_.Listen();
    }
    gateway_.Learn(config_.known);
    discovery_.Start();
    if (auto at = ConsoleAt(config_)) {
      console_.Listen(*at);
      log_.Important("console on port %u", console_.port());
    }
    if (membership_) {
      membership_->Start();
      log_.Important("fleet on port %u as %s at %s", membership_->port(),
                     membership_->membership().self().name.c_str(),
                     membership_->membership().self().address.c_str());
    }
    if (feed_) feed_->Start();
    log_.Important("started as %s on port %u with %zu workers known", config_.name.c_str(), acceptor_.port(),
                   config_.known.entries.size());
    loop_.Run();
    log_.Important("stopped");
  }

 private:
  static AcceptorOptions Accepting(const Config& config, std::shared_ptr<BodyMemory> long_bodies) {
    AcceptorOptions options;
    options.long_bodies = std::move(long_bodies);
    options.listen = config.listen;
    options.places = config.sockets / kPlacesPart;
    options.classes = config.classes;
    options.tenants = config.tenants;
    for (const auto& c : config.settings.classes) {
      options.patience.push_back(c.deadline);
      options.effects.push_back(c.effect);
    }
    return options;
  }

  ConsoleReply Do(const console::Command& command) override {
    using console::Verb;
    switch (command.verb) {
      case Verb::kReady:
        return stopping_ ? ConsoleReply{503, "leaving"} : ConsoleReply{200, "ready"};
      case Verb::kLameduckOn:
      case Verb::kLameduckOff: {
        bool on = command.verb == Verb::kLameduckOn;
        if (on != acceptor_.lameduck()) {
          log_.Info("lame duck %s: %zu client connections", on ? "on" : "off", acceptor_.connections());
        }
        acceptor_.Lameduck(on);
        return {200, on ? "lame duck" : "serving"};
      }
      case Verb::kDetach:
      case Verb::kAttach: {
        bool detach = command.verb == Verb::kDetach;
        bool known = detach ? gateway_.Drain(command.who) : gateway_.Undrain(command.who);
        if (!known) return {404, "no such worker was ever listed"};
        SaveDrains();
        return {200, detach ? "detached" : "attached"};
      }
      case Verb::kFleet:
      case Verb::kFleetLeave:
      case Verb::kFleetReap:
        return DoFleet(command);
      case Verb::kSettings:
        if (!feed_) return {404, "this process takes no settings from a feed"};
        return {200, feed_->Json(), "application/json"};
      case Verb::kNone:
        break;
    }
    return {400, "no such console call"};
  }

  ConsoleReply DoFleet(const console::Command& command) {
    if (!membership_) return {404, "this process keeps no view of a fleet"};
    if (command.verb == console::Verb::kFleetLeave) {
      membership_->Leave();
      return {200, "left the fleet; the process serves on"};
    }
    if (command.verb == console::Verb::kFleetReap) {
      if (!membership_->ForceRemove(command.who)) return {409, "no member of that name is dead here"};
      return {200, "reaped"};
    }
    return {200, membership_->StatusJson(command.after), "application/json"};
  }

  static feed::Scope ScopeOf(const operators::SettingsFeedOptions& options) {
    feed::Scope scope;
    scope.services.insert(options.services.begin(), options.services.end());
    return scope;
  }

  // Each name that a change touches, and nothing else.
  void SettingsChanged(const std::vector<feed::Change>& changes) override {
    for (const feed::Effect& effect : feed::InForce(follower_->held(), follower_->scope(), changes)) {
      if (effect.kind == feed::kTenant) SetTenant(effect);
      if (effect.kind == feed::kClass) SetClass(effect);
    }
  }

  void SetTenant(const feed::Effect& effect) {
    std::string why;
    std::optional<feed::TenantValue> tenant;
    if (effect.value) tenant = feed::ReadTenant(*effect.value, &why);
    if (effect.value && !tenant)
      return log_.Info("settings feed: tenant %s: %s; it keeps what it had", effect.name.c_str(),
                       why.c_str());
    int place = tenant ? acceptor_.NameTenant(effect.name) : acceptor_.ForgetTenant(effect.name);
    if (place < 0) return;
    sandstand::TenantSettings share;
    if (tenant) share = {tenant->portion, tenant->quota_per_s};
    gateway_.SetTenant(place, tenant.has_value(), share);
  }

  // A class that is no longer named stays known, as with a reload.
  void SetClass(const feed::Effect& effect) {
    std::string why;
    if (!effect.value) return;
    auto value = feed::ReadClass(*effect.value, &why);
    if (!value)
      return log_.Info("settings feed: class %s: %s; it keeps what it had", effect.name.c_str(), why.c_str());
    auto as = value->effect == feed::ClassEffect::kFree      ? sandstand::Effect::kSafe
              : value->effect == feed::ClassEffect::kGuarded ? sandstand::Effect::kKeyed
                                                             : sandstand::Effect::kUnsafe;
    acceptor_.Retune({effect.name}, {value->give_up}, {as});
  }

  void OnQuotaShare(double share, TimePoint valid_until) override {
    gateway_.Grant(share, ToMicros(valid_until));
  }

  // Administrative drains outlive the process, for a successor in an upgrade: in the shared temporary folder.
  std::string DrainStatePath() const {
    const char* dir = std::getenv("TMPDIR");
    std::string base = dir != nullptr && *dir != '\0' ? dir : "/tmp";
    return base + "/dappletiller-" + config_.name + ".held.json";
  }

  void LoadDrains() {
    std::ifstream file(DrainStatePath(), std::ios::binary);
    if (!file) return;
    std::ostringstream text;
    text << file.rdbuf();
    auto drains = drain::ParseDrains(text.str());
    if (!drains)
      return log_.Info("drain state: %s is incomplete or not ours; ignored", DrainStatePath().c_str());
    gateway_.RestoreDrains(std::move(*drains));
  }

  void SaveDrains() {
    std::string path = DrainStatePath();
    std::string temporary = path + "." + std::to_string(::getpid());
    {
      std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
      file << drain::SerializeDrains(gateway_.drains());
      if (!file.flush()) {
        log_.Info("drain state: %s cannot be written; a successor will not know it", temporary.c_str());
        return;
      }
    }
    std::error_code failed;
    std::filesystem::rename(temporary, path, failed);
    if (failed) log_.Info("drain state: %s: %s", path.c_str(), failed.message().c_str());
  }

  static WorkerLimits Reaching(const Config& config) { return {config.dial_timeout, config.idle_timeout}; }

  void CatchSignals() {
    sigset_t set = OurSignals();
    signals_ = FileDescriptor(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    loop_.Watch(signals_.get(), this);
  }

  void OnReady(std::uint32_t) override {
    signalfd_siginfo info;
    bool leave = false;
    bool reload = false;
    while (::read(signals_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
      (info.ssi_signo == SIGHUP ? reload : leave) = true;
    }
    if (reload) Reload();
    if (!leave || stopping_) return;
    stopping_ = true;
    log_.Info("leaving: %zu calls open, %zu client connections", gateway_.open_calls(),
              acceptor_.connections());
    answer_by_ = loop_.Now() + std::min(config_.longest_deadline, kMostDeadline) + kAnswerBy;
    acceptor_.Drain(answer_by_);
    if (membership_) membership_->Leave();
    // With the platform's socket a successor is taking the clients already: this one takes no more.
    if (acceptor_.inherited()) acceptor_.StopAccepting();
    drain_timer_.Set(kStopAccepting, [this] { Leave(); });
  }

  // The configuration anew, with all calls and connections kept. What the module was made with, and the
  // address that clients know, can change only with a restart.
  void Reload() {
    Config fresh;
    operators::OperatorFile file;
    try {
      fresh = Load();
      if (!operator_path_.empty()) file = operators::LoadOperatorFile(operator_path_);
    } catch (const std::exception& e) {  // guards against a bad file ending a proxy that serves
      log_.Important("reload: the old configuration stays: %s", e.what());
      return;
    }
    bool later = fresh.settings_text != config_.settings_text || !(fresh.listen == config_.listen);
    bool moved = !(fresh.discovery == config_.discovery);
    descriptors_.Resize(fresh.sockets - kOwnDescriptors, fresh.sockets / kKeptPart);
    acceptor_.Resize(fresh.sockets / kPlacesPart);
    workers_.SetLimits(Reaching(fresh));
    if (moved) discovery_.Move(fresh.discovery, fresh.discovery_text);
    if (fresh.settings_text != config_.settings_text) {
      AcceptorOptions classes = Accepting(fresh, nullptr);
      acceptor_.Retune(classes.classes, classes.patience, classes.effects);
      RetakeClasses();
    }
    log_.Important("reload: done, discovery %s %s%s", moved ? "moves to" : "stays at",
                   fresh.discovery_text.c_str(),
                   later ? "; classes are taken, the rest of what changed needs a restart" : "");
    if (!operator_path_.empty()) {
      log_.Configure(file.log_json ? Log::Format::kJson : Log::Format::kText,
                     Log::ParseLevel(file.log_level));
      bool whole = membership_.has_value() == file.fleet.has_value();
      if (membership_ && file.fleet) whole = membership_->Reload(std::move(*file.fleet));
      if (follower_ && file.settings_feed) ReloadFeed(*file.settings_feed);
      if (follower_.has_value() != file.settings_feed.has_value())
        log_.Info("reload: [settings_feed] needs a restart to come or go");
      log_.Important("reload: %s read%s", operator_path_.c_str(),
                     whole ? "" : "; the fleet's name, addresses and parts need a restart to change");
    }
    // The module goes on with the settings and the listener that it has.
    config_.discovery = fresh.discovery;
  }

  // What the feed says of a class goes before what the file says. There are few classes.
  void RetakeClasses() {
    if (!follower_) return;
    std::vector<feed::Change> classes;
    follower_->held().ForEach([&](const std::string& key, const std::string& value) {
      if (feed::ReadKey(key)->kind == feed::kClass) classes.push_back({key, value, 0});
    });
    SettingsChanged(classes);
  }

  // Another scope or other machines; what is in force stays until the new scope is here whole.
  void ReloadFeed(const operators::SettingsFeedOptions& options) {
    follower_->SetMachines(loop_.Now(), options.near, options.others);
    follower_->SetScope(loop_.Now(), ScopeOf(options));
    feed_->Renew();
  }

  // Ends once all that was taken is answered and written, and in any case before the platform kills the
  // process: a request that is still open then, because its deadline lies behind that, would get no answer.
  void Leave() {
    acceptor_.Close();
    Micros now = loop_.Now();
    if (now >= answer_by_) gateway_.EndOpenCalls();
    bool told = !membership_ || membership_->has_left();
    bool empty = acceptor_.closed() && acceptor_.connections() == 0;
    if (gateway_.open_calls() == 0 && empty && told) return loop_.Stop();
    if (now >= answer_by_ + kLastAnswers) {
      log_.Info("out of time: %zu client connections end as they are", acceptor_.connections());
      return loop_.Stop();
    }
    drain_timer_.Set(kLookEvery, [this] { Leave(); });
  }

  Log& log_;
  Config config_;
  std::string operator_path_;  // empty: the platform's way, without an operator file
  EventLoop loop_;
  Gateway gateway_;
  DescriptorLimit descriptors_;
  std::shared_ptr<BodyMemory> long_bodies_;
  WorkerLinks workers_;
  Acceptor acceptor_;
  Discovery discovery_;
  Console console_;
  std::optional<MembershipTransport> membership_;
  std::optional<feed::Follower> follower_;
  std::optional<SettingsFeed> feed_;
  FileDescriptor signals_;
  Timer drain_timer_;
  bool stopping_ = false;
  Micros answer_by_ = 0;  // once stopping
};

}  // namespace
int Serve(const std::string& operator_path) {
  Log log(stderr, "dappletiller");
  // Before anything else: a signal that comes while the start goes on waits for its end. Guards against a
  // reload's signal, whose default is to end the process, ending one that has just been started.
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t set = OurSignals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
  try {
    Proxy proxy(log, Load(), operator_path);
    proxy.Run();
    return 0;
  } catch (const std::exception& e) {
    log.Info("cannot start: %s", e.what());
    return 1;
  }
}

}  // namespace dappletiller
