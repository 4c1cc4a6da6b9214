#include "rig/scale_roles.hpp"

#include <json/json.h>
#include <signal.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

#include "http/message.hpp"
#include "rig/hollow.hpp"
#include "rig/standins.hpp"

namespace dappletiller::rig {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr Micros kRiseAgain = 50'000;
constexpr std::size_t kLogged = 4096;  // versions whose entries discovery remembers

std::vector<std::string> Lines(const std::filesystem::path& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path.string() + " cannot be read");
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) lines.push_back(line);
  return lines;
}

std::vector<std::uint16_t> Ports(const std::filesystem::path& path) {
  std::vector<std::uint16_t> ports;
  for (const std::string& line : Lines(path)) ports.push_back(static_cast<std::uint16_t>(std::stoi(line)));
  return ports;
}

std::vector<std::uint16_t> AllServers(const RoleOptions& options) {
  std::vector<std::uint16_t> all;
  for (int k = 0; k < options.script.ServerProcesses(); ++k) {
    auto some = Ports(options.folder / ("servers-" + std::to_string(k)));
    all.insert(all.end(), some.begin(), some.end());
  }
  return all;
}

// One process of the run: its loop, its plan, and the control point at which the run begins it and asks it.
class Role : protected Server {
 public:
  Role(EventLoop& loop, const RoleOptions& options)
      : Server(loop),
        options_(options),
        script_(options.script),
        plan_(MakePlan(options.script, options.seed)) {}
  int Run() {
    ::signal(SIGPIPE, SIG_IGN);
    Endpoint at = Listen();
    std::printf("control on port %u\n", at.port);
    std::fflush(stdout);
    while (!over_) {
      loop_.RunOnce(1'000'000);
      AfterRound();
    }
    return 0;
  }

 protected:
  virtual void Begin() = 0;  // the churn starts: began_ is set
  virtual void AfterRound() {}
  virtual void Settings() {}
  virtual bool Ready() { return true; }
  virtual Json::Value Report() = 0;
  void At(Micros after_begin, std::function<void()> what) {
    loop_.ScheduleAt(began_ + after_begin, std::move(what));
  }

  const RoleOptions options_;
  const ScaleScript& script_ = options_.script;
  const Plan plan_;
  Micros began_ = 0;

 private:
  void Take(ConnId conn, http::MessageRef request) override {
    std::string_view path = request->path();
    std::string body = "ok";
    int status = 200;
    if (path == "/begin") {
      std::string_view at = request->target();
      at.remove_prefix(std::min(at.size(), at.find('=') + 1));
      std::from_chars(at.data(), at.data() + at.size(), began_);
      Begin();
    } else if (path == "/ready") {
      status = Ready() ? 200 : 503;
    } else if (path == "/settings") {
      Settings();
    } else if (path == "/report") {
      Json::StreamWriterBuilder writer;
      writer["indentation"] = "";
      body = Json::writeString(writer, Report());
    } else {
      status = 404;
    }
    Answer(conn, "HTTP/1.1 " + std::to_string(status) +
                     " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  bool over_ = false;
};

// ---- Plan servers ----

class ServersRole final : public Role {
 public:
  ServersRole(EventLoop& loop, const RoleOptions& options) : Role(loop, options) {
    first_ = options.index * ScaleScript::kServersAProcess;
    last_ = std::min(script_.servers, first_ + ScaleScript::kServersAProcess);
    ColdModel cold;
    std::ofstream ports(options.folder / ("servers-" + std::to_string(options.index)));
    for (int i = first_; i < last_; ++i) {
      servers_.push_back(
          std::make_unique<StandInWorker>(loop, ledger_, std::to_string(i), script_.size, cold,
                                          [](std::uint16_t, std::uint16_t) { return std::string(); }));
      ports_.push_back(servers_.back()->Listen().port);
      ports << ports_.back() << "\n";
    }
    if (!ports.flush()) throw std::runtime_error("the servers' ports cannot be written");
  }

 private:
  void Begin() override {
    for (const ServerChange& change : plan_.servers) {
      if (change.server < first_ || change.server >= last_) continue;
      At(change.at, [this, &change] { Change(change); });
    }
  }
  void Change(const ServerChange& change) {
    auto i = static_cast<std::size_t>(change.server - first_);
    switch (change.what) {
      case ServerChange::What::kDrain:
        drained_[change.server] = {loop_.Now(), 0};
        return servers_[i]->Drain();
      case ServerChange::What::kDie:
      case ServerChange::What::kGone:
        if (auto it = drained_.find(change.server); it != drained_.end()) it->second.second = loop_.Now();
        return servers_[i]->Die();
      case ServerChange::What::kUp:
        return Rise(i);
    }
  }
  void Rise(std::size_t i) {
    if (servers_[i]->Rise(ports_[i])) return;
    loop_.ScheduleAt(loop_.Now() + kRiseAgain, [this, i] { Rise(i); });
  }
  Json::Value Report() override {
    Json::Value root;
    std::uint64_t ran = 0, bytes = 0;
    for (const auto& server : servers_) bytes += server->bytes_out();
    root["once"] = Json::Value(Json::arrayValue);
    root["after_drain"] = Json::Value(Json::arrayValue);
    for (const Taken& taken : ledger_.taken) {
      ran += taken.ran ? 1 : 0;
      if (taken.once && taken.ran) root["once"].append(taken.id);
      int server = std::stoi(taken.worker);
      auto drained = drained_.find(server);
      if (drained == drained_.end()) continue;
      auto [from, to] = drained->second;
      if (taken.at < from || (to != 0 && taken.at > to)) continue;
      Json::Value one(Json::arrayValue);
      one.append(server);
      one.append(Json::Int64(taken.at));
      root["after_drain"].append(one);
    }
    root["taken"] = Json::UInt64(ledger_.taken.size());
    root["ran"] = Json::UInt64(ran);
    root["tipped"] = Json::UInt64(ledger_.tips.size());
    root["bytes_out"] = Json::UInt64(bytes);
    return root;
  }

  Ledger ledger_;
  int first_ = 0, last_ = 0;
  std::vector<std::unique_ptr<StandInWorker>> servers_;
  std::vector<std::uint16_t> ports_;
  std::map<int, std::pair<Micros, Micros>>
      drained_;  // once a run at most: from the drain to the end (0: not yet)
};

// ---- Discovery ----

class DiscoveryRole final : public Role {
 public:
  DiscoveryRole(EventLoop& loop, const RoleOptions& options)
      : Role(loop, options), ports_(AllServers(options)) {
    states_.resize(ports_.size());
    std::ofstream file(options.folder / "discovery");
    for (int i = 0; i < script_.regions + script_.real; ++i) {
      int real = i - script_.regions;
      auto one = std::make_unique<StandInDiscovery>(
          loop, [](std::uint16_t, std::uint16_t) { return std::string("all"); },
          [this](const std::string&) { return Whole(); });
      one->Tell([this](std::uint64_t after) { return Since(after); },
                [this, real](std::uint64_t version) {
                  if (real >= 0) Holds(real, version);
                });
      file << one->Listen().port << "\n";
      sources_.push_back(std::move(one));
    }
    if (!file.flush()) throw std::runtime_error("discovery's ports cannot be written");
    at_.push_back(0);  // versions count from 1
    at_.push_back(loop_.Now());
    held_.resize(static_cast<std::size_t>(script_.real));
  }

 private:
  struct State {
    enum { kUp, kDrains, kGone } state = kUp;
    Micros started = 0;
  };
  std::string Entry(int server) const {
    auto i = static_cast<std::size_t>(server);
    const State& s = states_[i];
    const char* word = s.state == State::kUp ? "up" : s.state == State::kDrains ? "draining" : "removed";
    // The list of today names no service; it is played as the pod group, which it does name.
    return "{\"uid\":\"s-" + std::to_string(10'000'000 + server) +
           "\",\"endpoint\":\"127.0.0.1:" + std::to_string(ports_[i]) + "\",\"az\":\"z" +
           std::to_string(script_.ZoneOfServer(server)) +
           "\",\"model\":\"m\",\"pod_group\":" + std::to_string(server % script_.services) + ",\"state\":\"" +
           word + "\",\"capacity_hint\":" + std::to_string(script_.size) +
           ",\"boot_ms\":" + std::to_string(s.started / 1000) + "}";
  }
  std::string Whole() {
    ++wholes_;
    if (whole_of_ == at_.size()) return whole_;
    whole_.clear();
    for (int i = 0; i < static_cast<int>(ports_.size()); ++i) {
      if (states_[static_cast<std::size_t>(i)].state == State::kGone) continue;
      if (!whole_.empty()) whole_ += ",";
      whole_ += Entry(i);
    }
    whole_of_ = at_.size();
    return whole_;
  }
  std::optional<std::string> Since(std::uint64_t after) {
    if (log_.empty() || after + 1 < log_.front().first)
      return after + 1 < at_.size() ? std::nullopt : Nothing();
    std::set<int> changed;
    for (auto it = log_.rbegin(); it != log_.rend() && it->first > after; ++it)
      changed.insert(it->second.begin(), it->second.end());
    std::string text;
    for (int server : changed) text += (text.empty() ? "" : ",") + Entry(server);
    entries_ += changed.size();
    return text;
  }
  static std::optional<std::string> Nothing() { return std::string(); }

  std::pair<std::uint64_t, std::uint64_t> Passed() const {
    std::uint64_t taken = 0, bytes = 0;
    for (const auto& source : sources_) {
      taken += source->taken();
      bytes += source->bytes_out();
    }
    return {taken, bytes};
  }
  void Begin() override {
    before_ = Passed();  // what the start took is not the churn's
    wholes_ = entries_ = 0;
    // What the plan has at one instant is one version.
    for (std::size_t i = 0; i < plan_.servers.size();) {
      std::vector<const ServerChange*> those;
      Micros at = plan_.servers[i].at;
      for (; i < plan_.servers.size() && plan_.servers[i].at == at; ++i) {
        if (plan_.servers[i].what != ServerChange::What::kDie) those.push_back(&plan_.servers[i]);
      }
      if (!those.empty()) At(at, [this, those] { Change(those); });
    }
    for (const Parting& parting : plan_.partings) {
      auto set = [this, region = parting.region](StandInDiscovery::Mode mode) {
        sources_[static_cast<std::size_t>(region)]->Set("all", mode);
      };
      At(parting.at, [set] { set(StandInDiscovery::Mode::kDown); });
      At(parting.until, [set] { set(StandInDiscovery::Mode::kFine); });
    }
  }
  void Change(const std::vector<const ServerChange*>& those) {
    std::vector<int> changed;
    std::uint64_t version = at_.size();
    for (const ServerChange* change : those) {
      State& state = states_[static_cast<std::size_t>(change->server)];
      using What = ServerChange::What;
      state.state = change->what == What::kDrain ? State::kDrains
                    : change->what == What::kUp  ? State::kUp
                                                 : State::kGone;
      if (change->what == What::kUp) state.started = loop_.Now();
      if (change->what == What::kDrain) drains_.emplace_back(change->server, version);
      changed.push_back(change->server);
    }
    log_.emplace_back(version, std::move(changed));
    if (log_.size() > kLogged) log_.erase(log_.begin());
    at_.push_back(loop_.Now());
    for (auto& source : sources_) source->Changed();
  }
  void Holds(int real, std::uint64_t version) {
    auto& held = held_[static_cast<std::size_t>(real)];
    for (std::uint64_t v = held.size(); v <= version && v < at_.size(); ++v) held.push_back(loop_.Now());
  }
  Json::Value Report() override {
    Json::Value root;
    root["versions"] = Json::Value(Json::arrayValue);
    for (std::size_t v = 1; v < at_.size(); ++v) root["versions"].append(Json::Int64(at_[v]));
    root["held"] = Json::Value(Json::arrayValue);  // by real proxy: since when it holds each version
    for (const auto& held : held_) {
      Json::Value one(Json::arrayValue);
      for (std::size_t v = 1; v < held.size(); ++v) one.append(Json::Int64(held[v]));
      root["held"].append(one);
    }
    root["drains"] = Json::Value(Json::arrayValue);
    for (const auto& [server, version] : drains_) {
      Json::Value one(Json::arrayValue);
      one.append(server);
      one.append(Json::UInt64(version));
      root["drains"].append(one);
    }
    auto [taken, bytes] = Passed();
    root["taken"] = Json::UInt64(taken - before_.first);
    root["bytes_out"] = Json::UInt64(bytes - before_.second);
    root["wholes"] = Json::UInt64(wholes_);
    root["entries"] = Json::UInt64(entries_);
    root["whole_bytes"] = Json::UInt64(whole_.size());
    return root;
  }

  std::vector<std::uint16_t> ports_;
  std::vector<State> states_;
  std::vector<std::unique_ptr<StandInDiscovery>> sources_;
  std::vector<Micros> at_;  // when each version came to be
  std::vector<std::pair<std::uint64_t, std::vector<int>>> log_;
  std::vector<std::vector<Micros>> held_;
  std::vector<std::pair<int, std::uint64_t>> drains_;
  std::string whole_;
  std::size_t whole_of_ = 0;
  std::uint64_t wholes_ = 0, entries_ = 0;
  std::pair<std::uint64_t, std::uint64_t> before_{0, 0};
};

// ---- Hollow proxies ----

class HollowRole final : public Role {
 public:
  HollowRole(EventLoop& loop, const RoleOptions& options)
      : Role(loop, options), nowhere_(std::fopen("/dev/null", "w")), log_(nowhere_, "hollow") {
    auto ports = AllServers(options);
    world_.servers.resize(ports.size());
    for (std::size_t i = 0; i < ports.size(); ++i) world_.by_port[ports[i]] = static_cast<int>(i);
    world_.work = static_cast<Micros>(script_.work_ms * 1000);
    world_.drain_window = script_.drain_window;
    world_.reachable.resize(static_cast<std::size_t>(script_.regions), 0);
    discovery_ = Ports(options.folder / "discovery");
    if (script_.view) {
      std::string key = Lines(options.folder / "key").at(0);
      keys_ = *membership::ParseKeys(key);
      if (options.index > 0) seeds_ = Lines(options.folder / "seeds");
    }
    first_ = options.index * script_.to_a_process;
    last_ = std::min(script_.hollow, first_ + script_.to_a_process);
    ones_.resize(static_cast<std::size_t>(last_ - first_));
    for (int i = first_; i < last_; ++i) Start(i);
    if (script_.view && options.index == 0) {
      std::ofstream file(options.folder / "seeds");
      for (const std::string& seed : seeds_) file << seed << "\n";
    }
  }
  ~HollowRole() override {
    ones_.clear();
    std::fclose(nowhere_);
  }

 private:
  static constexpr std::size_t kSeeds = 3;
  struct One {
    std::unique_ptr<SettingsWay> way;  // before the proxy: it outlives it
    std::unique_ptr<Hollow> hollow;
    std::uint64_t holds = 0;  // of the list
    std::uint16_t port = 0;   // of its view
    Micros started = 0;
    bool fresh = true;  // its first list is a whole one, and no change that it waited for
  };

  One& At(int proxy) { return ones_[static_cast<std::size_t>(proxy - first_)]; }

  void Start(int proxy) {
    End(proxy);
    One& one = At(proxy);
    HollowOptions options;
    options.name = "h" + std::to_string(proxy);
    options.zone = script_.ZoneOfProxy(proxy);
    options.region = script_.RegionOf(options.zone);
    options.seed = options_.seed * 1'000'003 + static_cast<std::uint64_t>(proxy) * 7919 + 1;
    options.discovery = {kLoopback, discovery_[static_cast<std::size_t>(script_.RegionOf(options.zone))]};
    options.requests = script_.hollow_requests;
    if (script_.view) {
      operators::FleetOptions fleet;
      fleet.name = "scale";
      fleet.bind = {kLoopback, one.port};
      fleet.keys = keys_;
      fleet.membership.seeds = seeds_;
      for (int k = 0; k < std::min<int>(kSeeds, script_.hollow); ++k)
        fleet.lease_granters.push_back("h" + std::to_string(k));
      options.fleet = std::move(fleet);
    }
    if (one.way) settings_bytes_ += one.way->bytes();
    one.way = Way(options);
    one.holds = 0;
    one.fresh = true;
    one.started = loop_.Now();
    try {
      one.hollow = std::make_unique<Hollow>(loop_, log_, world_, *one.way, options);
    } catch (const std::system_error&) {  // its port was given to another meanwhile: a new one
      options.fleet->bind.port = 0;
      one.hollow = std::make_unique<Hollow>(loop_, log_, world_, *one.way, std::move(options));
    }
    if (const MembershipTransport* peers = one.hollow->peers()) {
      one.port = peers->port();
      if (options_.index == 0 && seeds_.size() < kSeeds)
        seeds_.push_back("127.0.0.1:" + std::to_string(one.port));
    }
  }

  std::unique_ptr<SettingsWay> Way(const HollowOptions& options) {
    std::string path = options_.folder / "settings.json";
    if (!script_.feed) return std::make_unique<FileAndSignal>(path);
    config_feed::FollowerOptions following;
    following.self = options.name;
    following.nearby = Lines(options_.folder / "controls");
    following.seed = options.seed;
    following.scope.services = {script_.ServiceOf(std::atoi(options.name.c_str() + 1))};
    return std::make_unique<ByFeed>(loop_, log_, path, std::move(following), [this](std::uint64_t version) {
      auto& [n, last] = settings_[version];
      ++n;
      last = loop_.Now();
    });
  }

  void End(int proxy) {
    One& one = At(proxy);
    if (!one.hollow) return;
    CountView(one);
    one.hollow.reset();
  }

  void CountView(const One& one) {
    if (const MembershipTransport* peers = one.hollow->peers()) {
      MembershipTransport::Traffic traffic = peers->traffic();
      view_bytes_ += traffic.bytes_in;
      view_datagrams_ += traffic.datagrams_in;
    }
  }

  void Begin() override {
    for (const One& one : ones_) CountView(one);  // what forming it took is not the churn's
    formed_bytes_ = view_bytes_;
    formed_datagrams_ = view_datagrams_;
    view_bytes_ = view_datagrams_ = 0;
    for (const ServerChange& change : plan_.servers) {
      Role::At(change.at, [this, &change] {
        auto& server = world_.servers[static_cast<std::size_t>(change.server)];
        using What = ServerChange::What;
        if (change.what == What::kDrain) server.drained = loop_.Now();
        if (change.what == What::kDie || change.what == What::kGone) server.runs = false;
        if (change.what == What::kUp) server = {};
      });
    }
    for (const Parting& parting : plan_.partings) {
      Micros& since = world_.reachable[static_cast<std::size_t>(parting.region)];
      Role::At(parting.at, [&since] { since = HollowWorld::kNever; });
      Role::At(parting.until, [this, &since] { since = loop_.Now(); });
    }
    for (const ProxyChange& change : plan_.proxies) {
      if (change.proxy < first_ || change.proxy >= last_) continue;
      Role::At(change.at, [this, &change] {
        if (change.what == ProxyChange::What::kStart) return Start(change.proxy);
        if (change.what == ProxyChange::What::kKill) return End(change.proxy);
        if (Hollow* hollow = At(change.proxy).hollow.get()) hollow->StopRequests();
      });
      // By the plan's clock, not from when this loop came to it: before the start that follows, also late.
      if (change.what == ProxyChange::What::kTerm)
        Role::At(change.at + kLeaving, [this, &change] { End(change.proxy); });
    }
    Role::At(script_.length - kQuiet, [this] {
      for (One& one : ones_) {
        if (one.hollow) one.hollow->StopRequests();
      }
    });
  }

  void AfterRound() override {
    Micros now = loop_.Now();
    for (One& one : ones_) {
      if (!one.hollow || !one.hollow->TakeTouched()) continue;
      std::uint64_t version = one.hollow->list_version();
      if (version <= one.holds) continue;
      if (one.fresh) {
        ready_.push_back(now - one.started);
      } else {
        for (std::uint64_t v = one.holds + 1; v <= version; ++v) {
          auto& [n, last] = taken_[v];
          ++n;
          last = now;
        }
      }
      one.fresh = false;
      one.holds = version;
    }
  }

  // One after the other, as processes of their own would side by side: each reads and parses for itself.
  void Settings() override {
    if (script_.feed) return;  // they follow by themselves
    for (std::size_t i = 0; i < ones_.size(); ++i) {
      loop_.ScheduleAt(loop_.Now(), [this, i] {
        One& one = ones_[i];
        if (!one.hollow) return;
        one.way->Signal();
        auto& [n, last] = settings_[one.way->version()];
        ++n;
        last = loop_.Now();
      });
    }
  }

  bool Ready() override {
    return std::all_of(ones_.begin(), ones_.end(), [](const One& one) { return one.holds > 0; });
  }

  Json::Value Report() override {
    Json::Value root;
    int running = 0;
    std::uint64_t least = ~std::uint64_t{0}, least_settings = least, bytes = settings_bytes_, refused = 0,
                  open = 0;
    std::size_t living = 0, least_living = ~std::size_t{0};
    std::uint64_t view = view_bytes_, datagrams = view_datagrams_;
    for (const One& one : ones_) {
      if (one.way) {
        bytes += one.way->bytes();
        refused += one.way->refused();
      }
      if (!one.hollow) continue;
      ++running;
      least_settings = std::min(least_settings, one.way->version());
      least = std::min(least, one.holds);
      open += one.hollow->open();
      if (const MembershipTransport* peers = one.hollow->peers()) {
        least_living = std::min(least_living, peers->membership().living());
        living += peers->membership().living();
        view += peers->traffic().bytes_in;
        datagrams += peers->traffic().datagrams_in;
      }
    }
    root["running"] = running;
    root["least"] = Json::UInt64(least);
    root["least_settings"] = Json::UInt64(least_settings);
    auto spans = [](const std::map<std::uint64_t, std::pair<int, Micros>>& all) {
      Json::Value list(Json::arrayValue);
      for (const auto& [version, what] : all) {
        Json::Value one(Json::arrayValue);
        one.append(Json::UInt64(version));
        one.append(what.first);
        one.append(Json::Int64(what.second));
        list.append(one);
      }
      return list;
    };
    root["taken"] = spans(taken_);
    root["settings"] = spans(settings_);
    root["ready_us"] = Json::Value(Json::arrayValue);
    for (Micros one : ready_) root["ready_us"].append(Json::Int64(one));
    const std::pair<const char*, std::uint64_t> counts[] = {
        {"arrived", world_.arrived},
        {"served", world_.served},
        {"refused", world_.refused},
        {"failed", world_.failed},
        {"cut", world_.cut},
        {"twice", world_.twice},
        {"open", open},
        {"sent", world_.sent},
        {"after_told", world_.after_told},
        {"after_had", world_.after_had},
        {"settings_bytes", bytes},
        {"settings_refused", refused},
        {"living", living},
        {"least_living", running == 0 ? 0 : least_living},
        {"formed_bytes", formed_bytes_},
        // Heard, as all else here; what forming the view took is in both.
        {"view_bytes", view > formed_bytes_ ? view - formed_bytes_ : 0},
        {"view_datagrams", datagrams > formed_datagrams_ ? datagrams - formed_datagrams_ : 0}};
    for (const auto& [name, value] : counts) root[name] = Json::UInt64(value);
    return root;
  }

  static constexpr Micros kLeaving = 1'500'000;  // told to leave, until it has
  static constexpr Micros kQuiet = 7'000'000;    // before the end: open requests end within their patience

  std::FILE* nowhere_;
  Log log_;
  HollowWorld world_;
  std::vector<std::uint16_t> discovery_;
  std::vector<membership::Key> keys_;
  std::vector<std::string> seeds_;
  int first_ = 0, last_ = 0;
  std::vector<One> ones_;
  std::map<std::uint64_t, std::pair<int, Micros>> taken_, settings_;  // by version: how many, the last when
  std::vector<Micros> ready_;
  std::uint64_t settings_bytes_ = 0, view_bytes_ = 0, view_datagrams_ = 0, formed_bytes_ = 0,
                formed_datagrams_ = 0;
};

}  // namespace

void WriteRun(const ScaleScript& script, const std::filesystem::path& folder) {
  std::filesystem::create_directories(folder);
  std::ofstream(folder / "script.toml") << script.text;
  std::ofstream size(folder / "size");
  if (!script.resized.first.empty()) size << script.resized.first << " " << script.resized.second << "\n";
  if (!size.flush()) throw std::runtime_error(folder.string() + " cannot be written");
}

ScaleScript ReadRun(const std::filesystem::path& folder) {
  std::ifstream file(folder / "script.toml");
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error(folder.string() + " holds no run");
  ScaleScript script = ParseScale(text.str(), (folder / "script.toml").string());
  std::ifstream size(folder / "size");
  std::string key;
  int value = 0;
  return size >> key >> value ? Resized(script, key, value) : script;
}

int PlayRole(const RoleOptions& options) {
  EventLoop loop;
  if (options.role == "servers") return ServersRole(loop, options).Run();
  if (options.role == "discovery") return DiscoveryRole(loop, options).Run();
  return HollowRole(loop, options).Run();
}

}  // namespace dappletiller::rig
