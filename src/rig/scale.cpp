#include "rig/scale.hpp"

#include <json/json.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <numeric>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "rig/hollow.hpp"
#include "rig/scale_roles.hpp"

namespace dappletiller::rig {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr Micros kStartLimit = 240'000'000;
constexpr Micros kReportLimit = 60'000'000;
constexpr Micros kWatchEvery = 500'000;
constexpr Micros kQuiet = 7'000'000;  // before the end: open requests end within their patience
constexpr Micros kTimeTolerance = 50'000;

void Write(const std::filesystem::path& path, const std::string& text) {
  std::filesystem::path fresh = path;
  fresh += ".new";
  {
    std::ofstream file(fresh, std::ios::binary | std::ios::trunc);
    file << text;
    if (!file.flush()) throw std::runtime_error(path.string() + " cannot be written");
  }
  std::filesystem::rename(fresh, path);
}

Json::Value Parsed(const std::string& text) {
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  reader->parse(text.data(), text.data() + text.size(), &root, &errors);
  return root;
}

double Seconds(Micros span) { return static_cast<double>(span) / 1e6; }

double Median(std::vector<double> all) {
  if (all.empty()) return 0;
  std::sort(all.begin(), all.end());
  return all[all.size() / 2];
}

double Most(const std::vector<double>& all) {
  return all.empty() ? 0 : *std::max_element(all.begin(), all.end());
}

long NumberAfter(const std::string& line, const std::string& word) {
  std::size_t at = line.find(word);
  return at == std::string::npos ? 0 : std::strtol(line.c_str() + at + word.size(), nullptr, 10);
}

}  // namespace

std::string ScaleConfig(const ScaleScript& script, const std::string& name, int zone,
                        const std::string& discovery, const std::string& seed,
                        std::uint64_t settings_version) {
  std::ostringstream text;
  text << "{\"name\":\"" << name
       << "\",\"listen\":\"127.0.0.1:0\",\"console\":\"127.0.0.1:0\",\"discovery\":\"" << discovery
       << "\",\"seed\":\"" << seed
       << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":512,\"sockets\":2048},\"known\":{\"rev\":0,\"all\":"
          "true,\"targets\":[]},\"settings\":{\"balancers\":"
       << script.hollow + script.real << ",\"zones\":[";
  for (int z = 0; z < script.zones; ++z) text << (z == 0 ? "" : ",") << "\"z" << z << "\"";
  text << "],\"kinds\":[\"m\"],\"zone\":" << zone << R"(,"classes":[
{"name":"check","aim":2000000,"giveUp":5000000,"effect":"free"},
{"name":"pay","aim":2000000,"giveUp":5000000,"effect":"single_shot"},
{"name":"open","aim":2000000,"giveUp":5000000,"effect":"guarded","group":"all","window":10000000}],"tenants":[)";
  for (int t = 0; t < (script.feed ? 0 : script.tenants); ++t) {
    // The first one's quota is what a change of settings changes.
    text << (t == 0 ? "" : ",") << "{\"name\":\"tenant-" << t << "\",\"portion\":" << 1.0 / script.tenants
         << ",\"quotaRps\":" << 1000 + (t == 0 ? settings_version : 0) << "}";
  }
  text
      << R"(],"registryMode":"ask","tick":1000,"invariants":{"askEvery":10000000,"startCapacity":0.1,"cold":10000000,
"tipMultiple":2,"fall":1000000,"graceToAnswer":500000},"limits":{"maxAttempts":3,"mayCancel":true,"retryAfter":true,
"maxRetryAfter":2000000,"dialTimeout":500000,"connIdle":10000000}}})";
  return text.str();
}

ScaleRun::ScaleRun(const ScaleScript& script, ScaleOptions options)
    : script_(script), options_(std::move(options)), plan_(MakePlan(script_, options_.seed)) {
  sigset_t set;
  ::sigemptyset(&set);
  for (int number : {SIGINT, SIGTERM, SIGHUP}) ::sigaddset(&set, number);
  ::sigprocmask(SIG_BLOCK, &set, nullptr);
  ::signal(SIGPIPE, SIG_IGN);
  signals_ = FileDescriptor(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  signals_token_ = loop_.Watch(signals_.get(), this);
  settings_at_.resize(2);
  settings_heard_.resize(2);
}

ScaleRun::~ScaleRun() {
  if (signals_) loop_.Unwatch(signals_token_, signals_.get());
}

void ScaleRun::OnReady(std::uint32_t) {
  signalfd_siginfo info;
  while (::read(signals_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) interrupted_ = true;
}

void ScaleRun::Say(const std::string& text) const {
  if (options_.quiet) return;
  std::printf("%7.1f s  %s\n", Seconds(Since()), text.c_str());
  std::fflush(stdout);
}

bool ScaleRun::Fail(const std::string& why) {
  if (why_.empty()) why_ = why;
  return false;
}

template <typename Holds>
bool ScaleRun::Until(const char* what, Micros limit, Holds holds) {
  Micros end = loop_.Now() + limit;
  while (!holds()) {
    if (interrupted_) return Fail("interrupted; the processes are ended");
    if (!why_.empty()) return false;
    if (loop_.Now() > end) return Fail(std::string("it took too long until ") + what);
    loop_.RunOnce(20'000);
  }
  return why_.empty();
}

// ---- Processes ----

ScaleRun::Child& ScaleRun::StartChild(const std::string& role, int index) {
  auto made = std::make_unique<Child>();
  Child& child = *made;
  child.role = role;
  child.index = index;
  child.process = std::make_unique<Process>(loop_, [this, &child](const std::string& line) {
    if (long port = NumberAfter(line, "control on port ")) {
      child.control = {kLoopback, static_cast<std::uint16_t>(port)};
    } else {
      std::fprintf(stderr, "%s %d: %s\n", child.role.c_str(), child.index, line.c_str());
    }
  });
  child.process->Start({options_.self, "scale-role", role, std::to_string(index), options_.folder.string(),
                        std::to_string(options_.seed)},
                       {"TMPDIR=" + options_.folder.string()});
  children_.push_back(std::move(made));
  return child;
}

std::string ScaleRun::Config(const Real& real) const {
  return ScaleConfig(script_, real.name, script_.ZoneOfProxy(real.proxy), ToString(real.discovery),
                     std::to_string(1000 + real.proxy), settings_version_);
}

// All that hollow proxies share; the name tells the version, which the program's file has no place for.
std::string ScaleRun::HollowSettings() const {
  return ScaleConfig(script_, FileAndSignal::NameOf(settings_version_), 0, "127.0.0.1:1", "1",
                     settings_version_);
}

// The same settings as a file of the feed's origin.
std::string ScaleRun::OriginText() const {
  std::ostringstream text;
  text << "{\"serial\": " << settings_version_ << "}\n";
  for (int t = 0; t < script_.tenants; ++t) {
    text << R"({"kind":"tenant","service":")" << script_.ServiceOf(t) << R"(","name":"tenant-)" << t
         << R"(","value":{"portion":)" << 1.0 / script_.tenants
         << ",\"quotaRps\":" << 1000 + (t == 0 ? settings_version_ : 0) << "}}\n";
  }
  return text.str();
}

bool ScaleRun::StartControls() {
  Write(options_.folder / "origin.jsonl", OriginText());
  for (int c = 0; c < 2; ++c) {
    std::string name = "c" + std::to_string(c);
    std::string others;
    for (const std::string& at : control_at_) others += (others.empty() ? "\"" : ", \"") + at + "\"";
    Write(options_.folder / (name + ".toml"), "[control]\nname = \"" + name +
                                                  "\"\nbind = \"127.0.0.1:0\"\nothers = [" + others + "]\n" +
                                                  (c == 0 ? "origin = \"origin.jsonl\"\n" : ""));
    controls_.push_back(std::make_unique<Process>(loop_, [this](const std::string& line) {
      if (long port = NumberAfter(line, "control on port "))
        control_at_.push_back("127.0.0.1:" + std::to_string(port));
      if (line.find("cannot start") != std::string::npos) Fail("a control machine: " + line);
    }));
    controls_.back()->Start(
        {options_.program, "control", "--operator", (options_.folder / (name + ".toml")).string()},
        {"TMPDIR=" + options_.folder.string()});
    if (!Until("a control machine listens", kStartLimit,
               [&] { return control_at_.size() == controls_.size(); }))
      return false;
  }
  Write(options_.folder / "controls", control_at_[0] + "\n" + control_at_[1] + "\n");
  return true;
}

void ScaleRun::StartReal(Real& real) {
  if (real.process->running()) return;  // it still leaves: again when it has ended
  Write(real.folder / "config.json", Config(real));
  std::vector<std::string> words = {options_.program};
  if (script_.view || script_.feed)
    words.insert(words.end(), {"serve", "--operator", (real.folder / "operator.toml").string()});
  real.process->Start(words, {"BALANCER_CONFIG=" + (real.folder / "config.json").string(),
                              "TMPDIR=" + (real.folder / "tmp").string(), "BALANCER_NAME=" + real.name});
  real.cpu_before = 0;
}

void ScaleRun::Heard(Real& real, const std::string& line) {
  real.sent += NumberAfter(line, "; sent ");
  real.dialled += NumberAfter(line, ", dialled ");
  if (line.find("started as ") != std::string::npos) {
    if (!script_.feed) real.settings = settings_version_;  // a later change's signal waits until it runs
    real.listen = {kLoopback, static_cast<std::uint16_t>(NumberAfter(line, " on port "))};
    if (began_ != 0 && Since() < script_.length - kQuiet) real.clients->Start(real.listen);
  }
  if (long serial = NumberAfter(line, "settings feed: serial ");
      serial > 0 && line.find(" in force from ") != std::string::npos) {
    // One that starts takes what is in force long since.
    bool later = static_cast<std::uint64_t>(serial) > real.settings && real.settings != 0;
    real.settings = static_cast<std::uint64_t>(serial);
    if (later && real.settings < settings_heard_.size())
      settings_heard_[real.settings].push_back(loop_.Now());
  }
  if (line.find("reload: done") != std::string::npos) {
    real.settings = settings_version_;
    settings_heard_.back().push_back(loop_.Now());
  }
  if (line.find("cannot start") != std::string::npos) Fail(real.name + ": " + line);
}

void ScaleRun::Ask(Child& child, const std::string& target, std::function<void(int, std::string)> done) {
  questions_.Put(child.control, "GET", target, kReportLimit, std::move(done));
}

bool ScaleRun::StartAll() {
  auto all_up = [this] {
    return std::all_of(children_.begin(), children_.end(),
                       [](const auto& c) { return c->control.port != 0; });
  };
  auto watched = [this] {
    for (const auto& child : children_) {
      int code = 0;
      if (child->process->running() && !child->process->Ended(&code)) continue;
      child->process->Drain();
      return Fail("the " + child->role + " process " + std::to_string(child->index) + " ended with " +
                  std::to_string(code));
    }
    return true;
  };
  auto up = [&](const char* what) { return Until(what, kStartLimit, [&] { return watched() && all_up(); }); };
  if (script_.view) {
    Write(options_.folder / "key", membership::GenerateKey() + "\n");
    std::filesystem::permissions(options_.folder / "key",
                                 std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
  }
  Write(options_.folder / "settings.json", HollowSettings());
  if (script_.feed && !StartControls()) return false;
  for (int k = 0; k < script_.ServerProcesses(); ++k) StartChild("servers", k);
  if (!up("the plan servers listen")) return false;
  StartChild("discovery", 0);
  if (!up("discovery listens")) return false;
  for (int k = 0; k < script_.HollowProcesses(); ++k) {
    StartChild("hollow", k);
    if (k == 0 && !up("the first hollow proxies run")) return false;
  }
  if (!up("all hollow proxies run")) return false;
  std::vector<std::uint16_t> sources;
  std::ifstream ports(options_.folder / "discovery");
  for (int port; ports >> port;) sources.push_back(static_cast<std::uint16_t>(port));
  std::string seeds;
  std::ifstream seed_file(options_.folder / "seeds");
  for (std::string seed; std::getline(seed_file, seed);)
    seeds += (seeds.empty() ? "\"" : ", \"") + seed + "\"";
  for (int r = 0; r < script_.real; ++r) {
    auto made = std::make_unique<Real>();
    Real& real = *made;
    real.proxy = script_.hollow + r;
    real.name = "r" + std::to_string(r);
    real.folder = options_.folder / real.name;
    real.discovery = {kLoopback, sources.at(static_cast<std::size_t>(script_.regions + r))};
    real.wanted = true;
    std::filesystem::create_directories(real.folder / "tmp");
    std::string operator_file;
    if (script_.feed) {
      operator_file = "[settings_feed]\nmachines = [\"" + control_at_[0] + "\", \"" + control_at_[1] +
                      "\"]\nservices = \"" + script_.ServiceOf(real.proxy) + "\"\n";
    }
    if (script_.view) {
      std::string keepers;
      for (int k = 0; k < std::min(3, script_.hollow); ++k)
        keepers += (k == 0 ? "\"h" : ", \"h") + std::to_string(k) + "\"";
      operator_file +=
          "[fleet]\nname = \"scale\"\nbind = \"127.0.0.1:0\"\nkey_file = \"../key\"\n"
          "seeds = [" +
          seeds + "]\n[fleet.parts]\nkeepers = [" + keepers + "]\n";
    }
    if (!operator_file.empty()) Write(real.folder / "operator.toml", operator_file);
    real.process =
        std::make_unique<Process>(loop_, [this, &real](const std::string& line) { Heard(real, line); });
    real.clients = std::make_unique<Clients>(loop_, ledger_, real.name, script_.requests, script_.work_ms,
                                             true, options_.seed * 7919 + static_cast<std::uint64_t>(r));
    StartReal(real);
    reals_.push_back(std::move(made));
  }
  return Until("every proxy has its first list", kStartLimit, [&] {
    if (!watched()) return true;
    bool all = true;
    for (const auto& child : children_) {
      if (child->ready) continue;
      all = false;
      if (child->asking) continue;
      child->asking = true;
      Ask(*child, "/ready", [&one = *child](int status, std::string) {
        one.asking = false;
        one.ready = status == 200;
      });
    }
    return all &&
           std::all_of(reals_.begin(), reals_.end(), [](const auto& r) { return r->listen.port != 0; });
  });
}

// ---- The churn ----

void ScaleRun::Change(const ProxyChange& change) {
  Real& real = *reals_[static_cast<std::size_t>(change.proxy - script_.hollow)];
  Micros now = loop_.Now();
  switch (change.what) {
    case ProxyChange::What::kKill:
    case ProxyChange::What::kTerm:
      real.wanted = false;
      real.clients->Stop();
      if (change.what == ProxyChange::What::kKill) real.gone.emplace_back(now - Clients::kPatience, now);
      real.process->Signal(change.what == ProxyChange::What::kKill ? SIGKILL : SIGTERM);
      return;
    case ProxyChange::What::kStart:
      real.wanted = true;
      StartReal(real);
      return;
  }
}

void ScaleRun::NewSettings() {
  ++settings_version_;
  if (script_.feed) {
    Write(options_.folder / "origin.jsonl", OriginText());
    settings_at_.push_back(loop_.Now());
    settings_heard_.emplace_back();
    controls_[0]->Signal(SIGHUP);
    return;
  }
  Write(options_.folder / "settings.json", HollowSettings());
  for (auto& real : reals_) Write(real->folder / "config.json", Config(*real));
  settings_at_.push_back(loop_.Now());
  settings_heard_.emplace_back();
  for (auto& child : children_) {
    if (child->role == "hollow") Ask(*child, "/settings", [](int, std::string) {});
  }
  for (auto& real : reals_) {
    if (real->wanted && real->listen.port != 0) real->process->Signal(SIGHUP);
  }
}

// Ends, memory, and what each has used.
void ScaleRun::Watch() {
  long kb = 0;
  std::ifstream own("/proc/self/status");
  for (std::string line; std::getline(own, line);) {
    if (line.rfind("VmRSS:", 0) == 0) kb += std::stol(line.substr(6));
  }
  for (auto& child : children_) {
    long one = child->process->ResidentKb();
    kb += one;
    child->kb = std::max(child->kb, one);
    int code = 0;
    if (child->process->Ended(&code)) {
      child->process->Drain();
      Fail("the " + child->role + " process " + std::to_string(child->index) + " ended with " +
           std::to_string(code));
    }
  }
  for (auto& real : reals_) {
    if (!real->process->running()) continue;
    long one = real->process->ResidentKb();
    kb += one;
    real->kb = std::max(real->kb, one);
    double used = real->process->CpuSeconds();
    if (used > 0) {
      real->cpu += used - real->cpu_before;
      real->cpu_before = used;
    }
    int code = 0;
    if (!real->process->Ended(&code)) continue;
    real->process->Drain();
    real->listen = {};
    if (real->wanted && why_.empty() && code != 0) Fail(real->name + " ended with " + std::to_string(code));
    if (real->wanted) StartReal(*real);
  }
  long controls = 0;
  for (auto& control : controls_) {
    controls += control->ResidentKb();
    int code = 0;
    if (control->Ended(&code)) Fail("a control machine ended with " + std::to_string(code));
  }
  kb += controls;
  controls_kb_ = std::max(controls_kb_, controls);
  most_mb_ = std::max(most_mb_, kb / 1024);
  if (most_mb_ > script_.most_mb)
    Fail("memory: " + std::to_string(most_mb_) +
         " MB are more than scale.most_mb = " + std::to_string(script_.most_mb));
  loop_.ScheduleAt(loop_.Now() + kWatchEvery, [this] { Watch(); });
}

void ScaleRun::Progress() {
  std::map<Fared, long> by;
  for (; told_ < ledger_.called.size(); ++told_) {
    if (ledger_.called[told_].fared == Fared::kOpen && ledger_.called[told_].at > loop_.Now() - 1'000'000)
      break;
    ++by[ledger_.called[told_].fared];
  }
  long others = 0;
  for (const auto& [fared, n] : by) others += fared == Fared::kServed || fared == Fared::kRefused ? 0 : n;
  Say(std::to_string(children_.size() + reals_.size() + 1) + " processes, " + std::to_string(most_mb_) +
      " MB at most; last 5 s " + std::to_string(by[Fared::kServed]) + " served, " +
      std::to_string(by[Fared::kRefused]) + " refused, " + std::to_string(others) +
      " lost or failed; settings " + std::to_string(settings_version_));
  loop_.ScheduleAt(loop_.Now() + 5'000'000, [this] { Progress(); });
}

void ScaleRun::Churn() {
  began_ = loop_.Now() + 500'000;  // all have heard of it by then
  for (auto& child : children_) Ask(*child, "/begin?at=" + std::to_string(began_), [](int, std::string) {});
  for (const ProxyChange& change : plan_.proxies) {
    if (change.proxy >= script_.hollow)
      loop_.ScheduleAt(began_ + change.at, [this, &change] { Change(change); });
  }
  for (Micros at : plan_.settings) loop_.ScheduleAt(began_ + at, [this] { NewSettings(); });
  for (const ScaleEvent& event : script_.events)
    loop_.ScheduleAt(began_ + event.at, [this, &event] { Say(event.text); });
  loop_.ScheduleAt(began_, [this] {
    for (auto& child : children_) child->cpu_before = child->process->CpuSeconds();
    controls_cpu_ = 0;
    for (auto& control : controls_) controls_cpu_ -= control->CpuSeconds();
    for (auto& real : reals_) {
      real->cpu_before = real->process->CpuSeconds();
      real->cpu = 0;
      real->sent = real->dialled = 0;
      real->clients->Start(real->listen);
    }
    if (!options_.quiet) Progress();
  });
  loop_.ScheduleAt(began_ + script_.length - kQuiet, [this] {
    for (auto& real : reals_) real->clients->Stop();
  });
}

bool ScaleRun::Run() {
  Say(std::to_string(script_.hollow) + " hollow proxies in " + std::to_string(script_.HollowProcesses()) +
      " processes, " + std::to_string(script_.real) + " real, " + std::to_string(script_.servers) +
      " servers of " + std::to_string(script_.services) + " services in " + std::to_string(script_.zones) +
      " zones, " + std::to_string(script_.tenants) + " tenants");
  if (!StartAll()) return false;
  Watch();
  if (script_.view) {
    Micros formed = loop_.Now() + script_.form;
    if (!Until("the views have formed", script_.form + kStartLimit, [&] { return loop_.Now() >= formed; }))
      return false;
  }
  Churn();
  if (!Until("the churn is over", script_.length + 30'000'000,
             [&] { return loop_.Now() >= began_ + script_.length; }))
    return false;
  ended_ = loop_.Now();
  for (auto& child : children_) {
    child->cpu = child->process->CpuSeconds() - child->cpu_before;
    Ask(*child, "/report", [&one = *child](int status, std::string body) {
      one.reported = status == 200;
      one.report = std::move(body);
    });
  }
  if (!Until("all have reported", kReportLimit, [&] {
        return std::all_of(children_.begin(), children_.end(), [](const auto& c) { return c->reported; });
      }))
    return false;
  Judge();
  return true;
}

// ---- The end ----

void ScaleRun::Judge() {
  const double span = Seconds(ended_ - began_);
  auto verdict = [this](bool holds, std::string claim, const std::string& evidence, double figure) {
    verdicts_.push_back({holds, std::move(claim), evidence, figure});
  };
  auto n = [](const auto& value) { return std::to_string(value); };
  std::map<std::string, std::uint64_t> hollow;  // sums of their counts
  std::uint64_t least = ~std::uint64_t{0}, least_settings = least, least_living = least, running = 0;
  std::map<std::uint64_t, Micros> taken, settings;  // by version: when the last hollow one had it
  std::vector<double> ready;
  std::set<std::string> once;
  std::uint64_t again = 0, at_servers = 0, tipped = 0;
  std::vector<std::pair<int, Micros>> after_drain;
  Json::Value discovery;
  for (auto& control : controls_) controls_cpu_ += control->CpuSeconds();
  double hollow_cpu = 0, servers_cpu = 0, discovery_cpu = 0;
  long hollow_kb = 0, servers_kb = 0, discovery_kb = 0;
  for (const auto& child : children_) {
    Json::Value root = Parsed(child->report);
    if (child->role == "discovery") {
      discovery = root;
      discovery_cpu += child->cpu;
      discovery_kb += child->kb;
    } else if (child->role == "servers") {
      servers_cpu += child->cpu;
      servers_kb += child->kb;
      for (const Json::Value& id : root["once"]) again += once.insert(id.asString()).second ? 0 : 1;
      for (const Json::Value& one : root["after_drain"])
        after_drain.emplace_back(one[0].asInt(), one[1].asInt64());
      at_servers += root["taken"].asUInt64();
      tipped += root["tipped"].asUInt64();
    } else {
      hollow_cpu += child->cpu;
      hollow_kb += child->kb;
      for (const std::string& name : root.getMemberNames()) {
        if (root[name].isUInt64()) hollow[name] += root[name].asUInt64();
      }
      running += root["running"].asUInt64();
      least = std::min(least, root["least"].asUInt64());
      least_settings = std::min(least_settings, root["least_settings"].asUInt64());
      least_living = std::min(least_living, root["least_living"].asUInt64());
      for (const Json::Value& one : root["taken"])
        taken[one[0].asUInt64()] = std::max(taken[one[0].asUInt64()], Micros{one[2].asInt64()});
      for (const Json::Value& one : root["settings"])
        settings[one[0].asUInt64()] = std::max(settings[one[0].asUInt64()], Micros{one[2].asInt64()});
      for (const Json::Value& one : root["ready_us"]) ready.push_back(Seconds(one.asInt64()));
    }
  }
  // One answer each.
  verdict(hollow["twice"] == 0 && hollow["open"] == 0 &&
              hollow["arrived"] == hollow["served"] + hollow["refused"] + hollow["failed"] + hollow["cut"],
          "one answer for each request, hollow proxies",
          n(hollow["arrived"]) + " requests: " + n(hollow["served"]) + " served, " + n(hollow["refused"]) +
              " refused, " + n(hollow["failed"]) + " failed, " + n(hollow["cut"]) +
              " of proxies that were ended, " + n(hollow["open"]) + " open, " + n(hollow["twice"]) +
              " answered twice",
          static_cast<double>(hollow["twice"] + hollow["open"]));
  std::map<Fared, long> by;
  long unanswered = 0;
  for (const Called& called : ledger_.called) {
    ++by[called.fared];
    if (called.fared != Fared::kLost && called.fared != Fared::kOpen && called.fared != Fared::kUnreachable)
      continue;
    bool killed = false;
    for (const auto& real : reals_) {
      if (real->name != called.to) continue;
      for (auto [from, to] : real->gone) killed = killed || (called.at >= from && called.at <= to);
    }
    if (!killed) ++unanswered;
  }
  verdict(unanswered == 0, "one answer for each request, real proxies",
          n(ledger_.called.size()) + " requests: " + n(by[Fared::kServed]) + " served, " +
              n(by[Fared::kRefused]) + " refused, " + n(by[Fared::kFailed]) + " failed, " + n(unanswered) +
              " without an answer whose proxy was not killed",
          static_cast<double>(unanswered));
  verdict(again == 0, "what must not run twice ran once",
          n(once.size()) + " such requests ran, " + n(again) + " of them again", static_cast<double>(again));
  verdict(hollow["after_told"] + hollow["after_had"] == 0,
          "hollow proxies send nothing to a server after its drain window",
          n(hollow["sent"]) + " sends, " + n(hollow["after_told"]) +
              " later than the window after they were told, " + n(hollow["after_had"]) +
              " later than 6 s and the window after discovery had it",
          static_cast<double>(hollow["after_told"] + hollow["after_had"]));
  std::map<int, Micros> told;  // by server: when the last real proxy held the version with its drain
  for (const Json::Value& one : discovery["drains"]) {
    Micros& last = told[one[0].asInt()];
    for (const Json::Value& held : discovery["held"]) {
      auto v = static_cast<Json::ArrayIndex>(one[1].asUInt64() - 1);
      last = std::max(last, v < held.size() ? Micros{held[v].asInt64()} : ended_);
    }
  }
  long late = 0;
  for (auto [server, at] : after_drain)
    late += at > told[server] + script_.drain_window + kTimeTolerance ? 1 : 0;
  verdict(late == 0, "real proxies send nothing to a server after its drain window",
          n(at_servers) + " sends, " + n(after_drain.size()) + " after a drain was in the list, " + n(late) +
              " later than the window after all were told",
          static_cast<double>(late));
  // Every change in force everywhere.
  const Json::Value& versions = discovery["versions"];
  std::uint64_t real_least = versions.size();
  std::vector<double> in_force, heard;
  std::vector<Micros> by_version(versions.size() + 1, 0);
  for (Json::ArrayIndex v = 2; v <= versions.size(); ++v) {
    Micros last = taken.count(v) != 0 ? taken[v] : 0;
    for (const Json::Value& held : discovery["held"]) {
      // A real one that was away when it came has it from its return on: that is not how long the change
      // took.
      if (v - 1 < held.size() && (v >= held.size() || held[v - 1] != held[v] || held[v - 2] != held[v - 1]))
        last = std::max(last, Micros{held[v - 1].asInt64()});
    }
    if (last > 0) in_force.push_back(Seconds(last - versions[v - 1].asInt64()));
  }
  for (const Json::Value& held : discovery["held"])
    real_least = std::min<std::uint64_t>(real_least, held.size());
  verdict(least >= versions.size() && real_least >= versions.size(),
          "every change of the list is in force everywhere",
          n(versions.size() - 1) + " changes, the last version " + n(versions.size()) +
              "; the least held by the " + n(running) + " hollow proxies is " + n(least) + ", by the " +
              n(reals_.size()) + " real ones " + n(real_least),
          static_cast<double>(versions.size() -
                              std::min<std::uint64_t>(versions.size(), std::min(least, real_least))));
  std::size_t heard_by = 0;
  if (settings_at_.size() > 2) {
    for (std::size_t v = 2; v < settings_at_.size(); ++v) {
      Micros last = settings[v];
      for (Micros at : settings_heard_[v]) last = std::max(last, at);
      if (last > 0) heard.push_back(Seconds(last - settings_at_[v]));
    }
    for (const auto& real : reals_) heard_by += real->settings == settings_version_ ? 1 : 0;
    verdict(least_settings >= settings_version_ && heard_by == reals_.size(),
            "every change of the settings is heard everywhere",
            n(settings_at_.size() - 2) + " changes, the last version " + n(settings_version_) +
                "; the least heard by a hollow proxy is " + n(least_settings) + ", the last was heard by " +
                n(heard_by) + " of " + n(reals_.size()) + " real ones",
            static_cast<double>(settings_version_ - std::min(settings_version_, least_settings)));
  }
  verdict(most_mb_ <= script_.most_mb, "the run stayed within its bounds",
          n(script_.Processes()) + " processes of " + n(script_.most_processes) + ", " + n(most_mb_) +
              " MB of " + n(script_.most_mb),
          static_cast<double>(most_mb_));

  double real_cpu = 0, real_kb = 0, sent = 0, dialled = 0;
  for (const auto& real : reals_) {
    real_cpu += real->cpu;
    real_kb += static_cast<double>(real->kb);
    sent += static_cast<double>(real->sent);
    dialled += static_cast<double>(real->dialled);
  }
  const double hollows = script_.hollow, reals = std::max(1, script_.real), proxies = hollows + script_.real;
  auto count = [&](const char* name) { return static_cast<double>(hollow[name]); };
  figures_ = {{"hollow", hollows},
              {"servers", script_.servers},
              {"services", script_.services},
              {"tenants", script_.tenants},
              {"seconds", span},
              {"processes", script_.Processes()},
              {"most_mb", static_cast<double>(most_mb_)},
              {"hollow_cpu_percent", 100 * hollow_cpu / hollows / span},
              {"hollow_rss_mb", static_cast<double>(hollow_kb) / 1024 / hollows},
              {"hollow_requests_per_s", count("arrived") / hollows / span},
              {"hollow_attempts_per_request", count("arrived") > 0 ? count("sent") / count("arrived") : 0},
              {"list_bytes_per_s", discovery["bytes_out"].asDouble() / proxies / span},
              {"list_calls_per_s", discovery["taken"].asDouble() / proxies / span},
              {"view_bytes_per_s", count("view_bytes") / hollows / span},
              {"view_datagrams_per_s", count("view_datagrams") / hollows / span},
              {"settings_bytes_per_s", count("settings_bytes") / hollows / span},
              {"real_cpu_percent", 100 * real_cpu / reals / span},
              {"real_rss_mb", real_kb / 1024 / reals},
              {"real_requests_per_s", static_cast<double>(ledger_.called.size()) / reals / span},
              {"real_dials_per_send", sent > 0 ? dialled / sent : 0},
              {"discovery_cpu_percent", 100 * discovery_cpu / span},
              {"discovery_rss_mb", static_cast<double>(discovery_kb) / 1024},
              {"discovery_bytes_per_s", discovery["bytes_out"].asDouble() / span},
              {"discovery_calls_per_s", discovery["taken"].asDouble() / span},
              {"discovery_whole_lists", discovery["wholes"].asDouble()},
              {"whole_list_bytes", discovery["whole_bytes"].asDouble()},
              {"servers_cpu_percent", 100 * servers_cpu / span},
              {"controls_cpu_percent", 100 * controls_cpu_ / span},
              {"controls_mb", static_cast<double>(controls_kb_) / 1024},
              {"servers_rss_mb", static_cast<double>(servers_kb) / 1024},
              {"servers_tipped", static_cast<double>(tipped)},
              {"list_changes", static_cast<double>(versions.size() - 1)},
              {"in_force_median_s", Median(in_force)},
              {"in_force_most_s", Most(in_force)},
              {"ready_median_s", Median(ready)},
              {"ready_most_s", Most(ready)},
              {"settings_changes", static_cast<double>(settings_at_.size() - 2)},
              {"settings_heard_median_s", Median(heard)},
              {"settings_heard_most_s", Most(heard)},
              {"least_living", static_cast<double>(least_living)}};
}

namespace {

std::string JsonOf(const ScaleRun& run, const ScaleScript& script, std::uint64_t seed) {
  Json::Value root;
  root["script"] = script.name;
  root["seed"] = Json::UInt64(seed);
  root["verdicts"] = Json::Value(Json::arrayValue);
  for (const Verdict& v : run.verdicts()) {
    Json::Value one;
    one["holds"] = v.holds;
    one["claim"] = v.claim;
    one["evidence"] = v.evidence;
    one["figure"] = v.figure;
    root["verdicts"].append(one);
  }
  for (const auto& [name, value] : run.figures()) root["figures"][name] = value;
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "  ";
  return Json::writeString(writer, root) + "\n";
}

// One run; true if all holds.
bool PlayOne(const ScaleScript& script, const ScaleOptions& options, const std::filesystem::path& out,
             const std::string& verdict_name, Figures* figures) {
  WriteRun(script, options.folder);
  bool all = true;
  {
    ScaleRun run(script, options);
    if (!run.Run()) {
      std::fprintf(stderr, "dappletiller-rig: %s\n", run.why().c_str());
      all = false;
    } else {
      for (const Verdict& v : run.verdicts()) {
        std::printf("%s  %s -- %s\n", v.holds ? "ok  " : "FAIL", v.claim.c_str(), v.evidence.c_str());
        all = all && v.holds;
      }
      *figures = run.figures();
      if (!out.empty()) std::ofstream(out / verdict_name) << JsonOf(run, script, options.seed);
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(options.folder, ignored);
  return all;
}

}  // namespace

int PlayScale(const ScaleScript& script, ScaleOptions options, const std::filesystem::path& out) {
  Figures figures;
  if (script.sweeps.empty()) {
    bool all = PlayOne(script, options, out, "verdict.json", &figures);
    for (const auto& [name, value] : figures) std::printf("%-28s %.6g\n", name.c_str(), value);
    return all ? 0 : 1;
  }
  bool all = true;
  const std::filesystem::path folder = options.folder;
  for (const ScaleSweep& sweep : script.sweeps) {
    std::vector<Figures> rows;
    std::vector<double> sizes;
    for (int size : sweep.sizes) {
      std::printf("== %s = %d\n", sweep.key.c_str(), size);
      std::fflush(stdout);
      options.folder = folder / (sweep.key + "-" + std::to_string(size));
      figures.clear();
      all = PlayOne(Resized(script, sweep.key, size), options, out,
                    "verdict-" + sweep.key + "-" + std::to_string(size) + ".json", &figures) &&
            all;
      if (figures.empty()) break;  // it did not come to its end: what the others gave is told all the same
      rows.push_back(figures);
      sizes.push_back(size);
    }
    if (rows.empty()) return 1;
    std::ostringstream dat;
    dat << "# dappletiller-rig scale " << script.name << " --seed " << options.seed << ", over " << sweep.key
        << "\n";
    for (std::size_t i = 0; i < rows[0].size(); ++i) dat << (i == 0 ? "" : " ") << rows[0][i].first;
    dat << "\n";
    for (const Figures& row : rows) {
      for (std::size_t i = 0; i < row.size(); ++i) dat << (i == 0 ? "" : " ") << row[i].second;
      dat << "\n";
    }
    std::printf("%-28s %12s %12s %10s %10s   over %s %d to %d\n", "figure", "at none", "slope", "rms",
                "worst", sweep.key.c_str(), sweep.sizes.front(), static_cast<int>(sizes.back()));
    for (std::size_t i = 0; i < rows[0].size(); ++i) {
      std::vector<double> values;
      for (const Figures& row : rows) values.push_back(row[i].second);
      Slope slope = Fit(sizes, values);
      std::printf("%-28s %12.5g %12.5g %9.1f%% %9.1f%%\n", rows[0][i].first.c_str(), slope.a, slope.b,
                  100 * slope.rms, 100 * slope.worst);
    }
    if (!out.empty()) std::ofstream(out / ("scale-" + sweep.key + ".dat")) << dat.str();
  }
  return all ? 0 : 1;
}

}  // namespace dappletiller::rig
