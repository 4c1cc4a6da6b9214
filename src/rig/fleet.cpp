#include "rig/fleet.hpp"

#include <arpa/inet.h>
#include <json/json.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace dappletiller::rig {
namespace {

constexpr const char* kFleetName = "rig";
constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr Micros kPollEvery = 200'000;
constexpr Micros kReapEvery = 20'000;
constexpr Micros kStartLimit = 20'000'000;
constexpr ColdModel kCold;

std::string ZoneName(int zone) { return std::string(1, static_cast<char>('a' + zone)); }

void Write(const std::filesystem::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  if (!file.flush()) throw std::runtime_error(path.string() + " cannot be written");
}

bool OnLinks(Act act) { return act <= Act::kPartition; }

}  // namespace

Fleet::Fleet(Script script, Options options)
    : script_(std::move(script)),
      options_(std::move(options)),
      links_(loop_, options_.seed),
      random_(options_.seed),
      codec_(kFleetName, {}),
      keys_{{"first", membership::GenerateKey()}} {
  codec_.SetKeys(*membership::ParseKeys(keys_["first"]));
  std::filesystem::create_directories(options_.out);
  Write(options_.out / "key", keys_["first"] + "\n");
  std::filesystem::permissions(options_.out / "key",
                               std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
  for (int i = 1; i <= script_.proxies; ++i) {
    std::string name = "p" + std::to_string(i);
    MakeSlot(name, name, i, "127.64.0." + std::to_string(i) + ":7946");
  }
  for (const Fault& fault : script_.faults) {
    if (fault.act != Act::kMove && fault.act != Act::kTwin) continue;
    for (const std::string& name : Select(fault.who, Slots())) {
      if (name.back() == '+' || slots_.count(name + "+") != 0) continue;
      int number = std::stoi(name.substr(1));
      MakeSlot(name + "+", name, number, "127.64.1." + std::to_string(number) + ":7946");
    }
  }
  for (int i = 1; i <= script_.workers; ++i) worker_zone_["w" + std::to_string(i)] = (i - 1) % script_.zones;
  for (const auto& [name, zone] : worker_zone_) listed_[name] = true;
  int more = script_.workers;
  for (const Fault& fault : script_.faults) {
    if (fault.act != Act::kNewWorker) continue;
    for (const std::string& name : fault.who) {
      if (worker_zone_.count(name) == 0) worker_zone_[name] = more++ % script_.zones;
      listed_.emplace(name, false);
    }
  }
  auto sender = [this](std::uint16_t to, std::uint16_t from) { return links_.Sender(to, from); };
  ColdModel cold = kCold;
  cold.share = script_.cold_share;
  cold.time = static_cast<Micros>(script_.cold_ms * 1000);
  if (script_.cold_chance) cold.usual = script_.work_ms * 1000;
  ledger_.fall = cold.fall;
  for (const auto& [name, zone] : worker_zone_) {
    auto worker = std::make_unique<StandInWorker>(loop_, ledger_, name, script_.size, cold, sender);
    links_.Place(name, worker->Listen());
    workers_[name] = std::move(worker);
  }
  discovery_ = std::make_unique<StandInDiscovery>(loop_, sender,
                                                  [this](const std::string& who) { return ListFor(who); });
  links_.Place("discovery", discovery_->Listen());
  OpenLinks();
}

Fleet::~Fleet() {
  if (signals_) loop_.Unwatch(signals_token_, signals_.get());
}

void Fleet::Say(const std::string& text) {
  if (options_.quiet) return;
  std::printf("%7.1f s  %s\n", static_cast<double>(SinceStart()) / 1e6, text.c_str());
  std::fflush(stdout);
}

void Fleet::MakeSlot(const std::string& slot, const std::string& name, int number,
                     const std::string& address) {
  auto made = std::make_unique<Slot>();
  made->party = {slot, name, address};
  made->zone = (number - 1) % script_.zones;
  made->folder = options_.out / slot;
  std::filesystem::create_directories(made->folder);
  Slot& at = *made;
  made->process = std::make_unique<Process>(loop_, [this, &at](const std::string& line) { Heard(at, line); });
  // The mean over all stays what the script says.
  double times = number % 5 == 1 ? script_.uneven : (5 - script_.uneven) / 4;
  made->clients = std::make_unique<Clients>(loop_, ledger_, slot, times * script_.calls_per_second,
                                            script_.work_ms, script_.hints, random_());
  parties_.push_back(made->party);
  slots_[slot] = std::move(made);
}

std::vector<std::string> Fleet::Slots() const {
  std::vector<std::string> names;
  for (const Party& party : parties_) names.push_back(party.slot);
  return names;
}

Fleet::Slot* Fleet::Find(const std::string& name) {
  auto it = slots_.find(name);
  return it == slots_.end() ? nullptr : it->second.get();
}

void Fleet::OpenLinks() {
  for (auto& [name, slot] : slots_) {
    slot->discovery = links_.Open(name, "discovery", false);
    for (const auto& [worker, zone] : worker_zone_) slot->workers[worker] = links_.Open(name, worker, false);
    if (!script_.joined) continue;
    for (auto& [other, there] : slots_) {
      if (other != name) slot->dials[there->party.address] = links_.Open(name, other, true);
    }
  }
}

// ---- What a process is given ----

std::string Fleet::ListFor(const std::string& who) {
  Slot* slot = Find(who);
  if (slot == nullptr) return {};
  std::string list;
  for (const auto& [name, worker] : workers_) {
    if (!listed_[name]) continue;
    if (!list.empty()) list += ",";
    list += "{\"uid\":\"" + name + "\",\"endpoint\":\"" + ToString(slot->workers[name]) + "\",\"az\":\"" +
            ZoneName(worker_zone_[name]) + "\",\"model\":\"m\",\"pod_group\":0,\"state\":\"" +
            (worker->draining() ? "draining" : "up") +
            "\",\"capacity_hint\":" + std::to_string(script_.size) +
            ",\"boot_ms\":" + std::to_string(worker->started() / 1000) + "}";
  }
  return list;
}

std::string Fleet::ConfigFor(const Slot& slot) {
  std::string zones;
  for (int z = 0; z < script_.zones; ++z) zones += (z == 0 ? "\"" : ",\"") + ZoneName(z) + "\"";
  char seed[24];
  std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(random_()));
  std::ostringstream text;
  text
      << "{\"name\":\"" << slot.party.name
      << "\",\"listen\":\"127.0.0.1:0\",\"console\":\"127.0.0.1:0\",\"discovery\":\""
      << ToString(slot.discovery) << "\",\"seed\":\"" << seed
      << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":512,\"sockets\":2048},\"known\":{\"rev\":0,\"all\":true,"
         "\"targets\":["
      << ListFor(slot.party.slot) << "]},\"settings\":{\"balancers\":" << script_.gateways << ",\"zones\":["
      << zones << "],\"kinds\":[\"m\"],\"zone\":" << slot.zone << R"(,"classes":[
{"name":"check","aim":2000000,"giveUp":5000000,"effect":"free"},
{"name":"pay","aim":2000000,"giveUp":5000000,"effect":"single_shot"},
{"name":"open","aim":2000000,"giveUp":5000000,"effect":"guarded","group":"all","window":10000000}],
"registryMode":"push","tick":1000,"invariants":{"startCapacity":)"
      << script_.cold_share << ",\"cold\":" << static_cast<Micros>(script_.cold_ms * 1000)
      << ",\"tipMultiple\":" << kCold.tip_multiple << ",\"fall\":" << kCold.fall
      << R"(,"graceToAnswer":500000},"limits":{"maxAttempts":3,"mayCancel":true,"retryAfter":true,"maxRetryAfter":2000000,
"dialTimeout":500000,"connIdle":10000000}}})";
  return text.str();
}

std::string Fleet::OperatorFor(const Slot& slot) {
  std::ostringstream text;
  text << "[fleet]\nname = \"" << (slot.fleet.empty() ? kFleetName : slot.fleet)
       << "\"\nbind = \"127.0.0.1:0\"\nadvertise = \"" << slot.party.address << "\"\nkey_file = \""
       << (slot.keys.empty() ? "../key" : "key") << "\"\nseeds = [";
  // The first three: enough that one lives, few enough that a start asks few.
  for (int i = 1; i <= std::min(3, script_.proxies); ++i)
    text << (i == 1 ? "" : ", ") << "\"127.64.0." << i << ":7946\"";
  text << "]\n" << (slot.lines.empty() ? script_.operator_text : slot.lines) << "\n[fleet.addresses]\n";
  for (const auto& [address, dialled] : slot.dials)
    text << "\"" << address << "\" = \"" << ToString(dialled) << "\"\n";
  if (script_.keepers > 0) {
    text << "[fleet.parts]\nkeepers = [";
    for (int i = 1; i <= script_.keepers; ++i) text << (i == 1 ? "" : ", ") << "\"p" << i << "\"";
    text << "]\n";
  }
  return text.str();
}

void Fleet::WriteFiles(Slot& slot) {
  std::filesystem::create_directories(slot.folder / "tmp");
  Write(slot.folder / "config.json", ConfigFor(slot));
  if (Moved(slot)) {
    Write(slot.folder / "clock", std::string(sizeof slot.clock, '\0'));
    SetClock(slot, static_cast<double>(slot.clock) / 1e9);
  }
  if (!script_.joined) return;
  Write(slot.folder / "operator.toml", OperatorFor(slot));
  if (slot.keys.empty()) return;
  std::string all;
  for (const std::string& name : slot.keys) {
    if (!keys_.contains(name)) keys_[name] = membership::GenerateKey();
    all += keys_[name] + "\n";
  }
  Write(slot.folder / "key", all);
  std::filesystem::permissions(slot.folder / "key",
                               std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
}

// Whether the script moves its clock, at any time.
bool Fleet::Moved(const Slot& slot) const {
  return std::any_of(script_.faults.begin(), script_.faults.end(), [&](const Fault& fault) {
    return fault.act == Act::kClock && !Select(fault.who, {slot.party.slot}).empty();
  });
}

// In place: the process has the file mapped.
void Fleet::SetClock(Slot& slot, double seconds) {
  slot.clock = static_cast<std::int64_t>(seconds * 1e9);
  std::fstream file(slot.folder / "clock", std::ios::in | std::ios::out | std::ios::binary);
  file.write(reinterpret_cast<const char*>(&slot.clock), sizeof slot.clock);
}

void Fleet::Refile(const Fault& fault, Slot& slot) {
  if (fault.wipe) std::filesystem::remove_all(slot.folder);
  if (!fault.keys.empty()) slot.keys = fault.keys;
  if (!fault.fleet.empty()) slot.fleet = fault.fleet;
  if (!fault.lines.empty()) slot.lines = fault.lines;
  if (fault.relay) {
    for (auto& [other, there] : slots_) {
      if (there.get() == &slot) continue;
      Endpoint& dialled = slot.dials[there->party.address];
      links_.Shut(dialled);
      dialled = links_.Open(slot.party.slot, other, true);
    }
  }
  WriteFiles(slot);
}

// ---- Processes ----

void Fleet::Begin(Slot& slot) {
  if (slot.process->running()) return;
  WriteFiles(slot);
  slot.wanted = true;
  slot.stopped = false;
  slot.events_seen = 0;
  slot.listen = slot.console = Endpoint{};
  std::vector<std::string> words = {options_.program};
  if (script_.joined)
    words.insert(words.end(), {"serve", "--operator", (slot.folder / "operator.toml").string()});
  std::vector<std::string> environment = {"BALANCER_CONFIG=" + (slot.folder / "config.json").string(),
                                          "TMPDIR=" + (slot.folder / "tmp").string(),
                                          "BALANCER_NAME=" + slot.party.name};
  if (Moved(slot)) {
    environment.push_back("LD_PRELOAD=" + options_.clock);
    environment.push_back("RIG_CLOCK=" + (slot.folder / "clock").string());
    environment.push_back("ASAN_OPTIONS=verify_asan_link_order=0");  // a sanitizer's build bears the preload
  }
  slot.process->Start(words, environment);
  ledger_.runs[slot.party.slot].push_back({loop_.Now(), 0, {}});
  ledger_.views[slot.party.slot].push_back({loop_.Now(), {}});
}

void Fleet::Heard(Slot& slot, const std::string& line) {
  if (options_.keep) {
    std::ofstream(slot.folder / "log", std::ios::app)
        << static_cast<double>(SinceStart()) / 1e6 << " " << line << "\n";
  }
  ledger_.lines[slot.party.slot].emplace_back(loop_.Now(), line);
  auto port = [&line](const char* before) -> std::uint16_t {
    std::size_t at = line.find(before);
    return at == std::string::npos
               ? 0
               : static_cast<std::uint16_t>(std::stoi("0" + line.substr(at + std::string(before).size())));
  };
  if (std::uint16_t p = port("console on port ")) slot.console = {kLoopback, p};
  if (std::uint16_t p = port("fleet on port ")) links_.Place(slot.party.slot, {kLoopback, p});
  if (line.find("started as ") != std::string::npos) {
    slot.listen = {kLoopback, port(" on port ")};
    slot.clients->Start(slot.listen);
  }
}

void Fleet::Kill(Slot& slot, int signal) {
  slot.wanted = false;
  if (signal == SIGKILL) slot.clients->Stop();
  slot.process->Signal(signal);
  if (signal == SIGTERM) slot.clients->Stop();
}

void Fleet::Stop(Slot& slot, bool stop) {
  if (!slot.process->running() || slot.stopped == stop) return;
  slot.process->Signal(stop ? SIGSTOP : SIGCONT);
  slot.stopped = stop;
  auto& spans = ledger_.runs[slot.party.slot].back().stopped;
  if (stop) {
    spans.emplace_back(loop_.Now(), 0);
  } else if (!spans.empty()) {
    spans.back().second = loop_.Now();
  }
}

void Fleet::Reap() {
  for (auto& [name, slot] : slots_) {
    if (!slot->process->running()) continue;
    double cpu = slot->process->CpuSeconds();
    ledger_.most_kb[name] = std::max(ledger_.most_kb[name], slot->process->ResidentKb());
    if (cpu > 0) ledger_.cpu_seconds[name] = cpu;
    int code = 0;
    if (!slot->process->Ended(&code)) continue;
    slot->process->Drain();
    ledger_.runs[name].back().to = loop_.Now();
    links_.Place(name, Endpoint{});
    slot->clients->Stop();
    slot->console = slot->listen = Endpoint{};
    ledger_.views[name].push_back({loop_.Now(), {}});
    if (slot->wanted) {
      std::string last = ledger_.lines[name].empty() ? "" : ": " + ledger_.lines[name].back().second;
      crashes_.push_back(name + " ended with " + std::to_string(code) + last);
      Say(crashes_.back());
      slot->wanted = false;
    }
  }
  loop_.ScheduleAt(loop_.Now() + kReapEvery, [this] { Reap(); });
}

// ---- What processes say ----

void Fleet::Poll() {
  for (auto& [name, slot] : slots_) Look(*slot);
  loop_.ScheduleAt(loop_.Now() + kPollEvery, [this] { Poll(); });
}

void Fleet::Look(Slot& slot) {
  if (slot.asking || slot.console.port == 0 || !script_.joined || slot.stopped) return;
  slot.asking = true;
  questions_.Put(slot.console, "GET", "/_fleet?after=" + std::to_string(slot.events_seen), 1'000'000,
                 [this, &slot](int status, std::string body) {
                   slot.asking = false;
                   if (status == 200) Learn(slot, body);
                 });
}

void Fleet::Learn(Slot& slot, const std::string& json) {
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  if (!reader->parse(json.data(), json.data() + json.size(), &root, &errors)) return;
  Micros now = loop_.Now();
  const std::string& name = slot.party.slot;
  View view{now, {}};
  for (const Json::Value& m : root["members"]) {
    view.members[m["name"].asString()] = {m["state"].asString(), m["incarnation"].asUInt64(),
                                          m["boot"].asUInt64(), m["address"].asString()};
  }
  auto& views = ledger_.views[name];
  // States that came and went between two looks are told as events; each stands in the record.
  for (const Json::Value& e : root["events"]) {
    slot.events_seen = std::max<std::uint64_t>(slot.events_seen, e["number"].asUInt64());
    std::string event = e["event"].asString();
    std::string state = event == "is dead" ? "dead" : event == "is suspect" ? "suspect" : "";
    if (state.empty() || views.empty()) continue;
    View between = views.back();
    between.at = std::clamp(now - e["ago_ms"].asInt64() * 1000, views.back().at, now);
    between.members[e["name"].asString()].state = state;
    views.push_back(std::move(between));
  }
  if (views.empty() || views.back().members != view.members) views.push_back(std::move(view));
  auto& parts = ledger_.parts[name];
  for (const Json::Value& one : root["part"]["granted"]) {
    Part part{one[0].asInt64(), one[1].asInt64(), one[2].asDouble()};
    if (parts.empty() || part.at > parts.back().at) parts.push_back(part);
  }
  slot.bytes_out = root["counts"]["bytes_out"].asDouble();
  slot.datagrams_out = root["counts"]["datagrams_out"].asDouble();
}

// ---- Faults ----

void Fleet::Rethink() {
  std::vector<std::string> all = Slots();
  std::vector<std::string> slots = all;
  all.push_back("discovery");
  for (const auto& [name, zone] : worker_zone_) all.push_back(name);
  std::map<std::pair<std::string, std::string>, LinkState> states;
  for (const Fault* fault : active_) {
    if (fault->act == Act::kPartition) {
      std::set<std::string> named;
      std::vector<std::vector<std::string>> groups;
      for (const auto& group : fault->groups) {
        groups.push_back(Select(group, slots));
        named.insert(groups.back().begin(), groups.back().end());
      }
      for (const std::string& a : named) {
        for (const std::string& b : named) {
          bool together = std::any_of(groups.begin(), groups.end(), [&](const auto& group) {
            return std::count(group.begin(), group.end(), a) != 0 &&
                   std::count(group.begin(), group.end(), b) != 0;
          });
          if (!together) states[{a, b}].cut = true;
        }
      }
      continue;
    }
    LinkState state;
    state.loss = fault->act == Act::kLoss ? fault->value : 0;
    state.delay = fault->act == Act::kDelay ? static_cast<Micros>(fault->value * 1000) : 0;
    state.jitter = fault->act == Act::kJitter ? static_cast<Micros>(fault->value * 1000) : 0;
    state.reorder = fault->act == Act::kReorder ? fault->value : 0;
    state.duplicate = fault->act == Act::kDuplicate ? fault->value : 0;
    state.corrupt = fault->act == Act::kCorrupt ? fault->value : 0;
    state.rate = fault->act == Act::kRate ? fault->value * 1000 : 0;
    state.cut = fault->act == Act::kCut || (fault->act == Act::kFlap && !flap_off_[fault]);
    std::vector<std::string> from =
        Select(fault->from.empty() ? std::vector<std::string>{"*"} : fault->from, all);
    std::vector<std::string> to = Select(fault->to.empty() ? std::vector<std::string>{"*"} : fault->to, all);
    std::set<std::pair<std::string, std::string>> pairs;
    for (const std::string& a : from) {
      for (const std::string& b : to) {
        pairs.insert({a, b});
        if (!fault->oneway) pairs.insert({b, a});
      }
    }
    for (const auto& pair : pairs) states[pair].Add(state);
  }
  for (const std::string& a : all) {
    for (const std::string& b : all) {
      if (a != b) links_.State(a, b) = states[{a, b}];
    }
  }
  links_.Changed();
}

void Fleet::Flip(const Fault& fault) {
  if (std::find(active_.begin(), active_.end(), &fault) == active_.end()) return;
  flap_off_[&fault] = !flap_off_[&fault];
  Rethink();
  loop_.ScheduleAt(loop_.Now() + fault.period / 2, [this, &fault] { Flip(fault); });
}

void Fleet::Stagger(const Fault& fault, Slot& slot, Micros until) {
  if (loop_.Now() >= until) return;
  Stop(slot, true);
  loop_.ScheduleAt(loop_.Now() + static_cast<Micros>(fault.value * 1000),
                   [this, &slot] { Stop(slot, false); });
  loop_.ScheduleAt(loop_.Now() + fault.period, [this, &fault, &slot, until] { Stagger(fault, slot, until); });
}

void Fleet::Begin(const Fault& fault) {
  Say(fault.text);
  if (OnLinks(fault.act)) {
    active_.push_back(&fault);
    Rethink();
    if (fault.act == Act::kFlap)
      loop_.ScheduleAt(loop_.Now() + fault.period / 2, [this, &fault] { Flip(fault); });
    return;
  }
  if (fault.act == Act::kDrain || fault.act == Act::kNewWorker) {
    for (const std::string& name : fault.who) {
      auto it = workers_.find(name);
      if (it == workers_.end()) continue;
      if (fault.act == Act::kDrain) {
        it->second->Drain();
      } else {
        it->second->StartCold();
        listed_[name] = true;
      }
    }
    discovery_->Changed();
    return;
  }
  for (const std::string& name : Select(fault.who, Slots())) {
    Slot& slot = *slots_[name];
    switch (fault.act) {
      case Act::kKill:
        Kill(slot, SIGKILL);
        break;
      case Act::kTerm:
        Kill(slot, SIGTERM);
        break;
      case Act::kHangup:
        Refile(fault, slot);
        slot.process->Signal(SIGHUP);
        break;
      case Act::kStop:
        if (fault.value > 0) {
          Stagger(fault, slot, loop_.Now() + fault.span);
        } else {
          Stop(slot, true);
        }
        break;
      case Act::kStart:
        Refile(fault, slot);
        Begin(slot);
        break;
      case Act::kMove:
        Kill(slot, SIGKILL);
        if (Slot* next = Find(name + "+")) Begin(*next);
        break;
      case Act::kTwin:
        if (Slot* next = Find(name + "+")) Begin(*next);
        break;
      case Act::kClock:
        SetClock(slot, fault.value);
        break;
      case Act::kBurst:
        slot.clients->Burst(fault.value);
        break;
      case Act::kLeave:
        questions_.Put(slot.console, "PUT", "/_fleet/leave", 1'000'000, [](int, std::string) {});
        break;
      case Act::kSilent:
        discovery_->Set(name, StandInDiscovery::Mode::kSilent);
        break;
      case Act::kDown:
        discovery_->Set(name, StandInDiscovery::Mode::kDown);
        break;
      case Act::kStale:
        discovery_->Set(name, StandInDiscovery::Mode::kStale);
        break;
      case Act::kLiar:
        Lie(fault, loop_.Now() + fault.span);
        break;
      default:
        break;
    }
  }
}

void Fleet::End(const Fault& fault) {
  if (OnLinks(fault.act)) {
    std::erase(active_, &fault);
    Rethink();
  }
  for (const std::string& name : Select(fault.who, Slots())) {
    if (fault.act == Act::kStop) Stop(*slots_[name], false);
    if (fault.act == Act::kBurst) slots_[name]->clients->Burst(1);
    if (fault.act == Act::kSilent || fault.act == Act::kDown || fault.act == Act::kStale) {
      discovery_->Set(name, StandInDiscovery::Mode::kFine);
    }
  }
}

// One member, with the fleet's key, that says whatever harms: that all others are dead, that incarnations
// and starts are far on, that there are members which there aren't; and garbage. In the name of `who`, to
// all the others, `value` datagrams a second in all.
void Fleet::Lie(const Fault& fault, Micros until) {
  if (!liar_) liar_ = BindUdpSocket({kLoopback, 0}, "liar").fd;
  const std::string name = fault.who.empty() ? "liar" : fault.who[0];
  Slot* self = Find(name);
  std::vector<Slot*> others;
  for (auto& [slot, one] : slots_) {
    if (one.get() != self && one->process->running()) others.push_back(one.get());
  }
  std::uint64_t boot = 1;
  for (Slot* other : others) {
    const auto& views = ledger_.views[other->party.slot];
    if (!views.empty()) {
      auto seen = views.back().members.find(name);
      if (seen != views.back().members.end()) boot = seen->second.boot;
    }
  }
  constexpr Micros kBatch = 10'000;
  auto count = static_cast<int>(std::max(1.0, fault.value * static_cast<double>(kBatch) / 1e6));
  for (int i = 0; i < count && !others.empty(); ++i) {
    Slot& to = *others[random_(others.size())];
    membership::Message m;
    m.kind = random_(2) == 0 ? membership::MessageKind::kGossip : membership::MessageKind::kPing;
    m.sender.name = name;
    m.sender.boot = boot;
    m.sender.address = self != nullptr ? self->party.address : "127.64.2.1:7946";
    m.number = 1'000'000 + ++lies_;
    m.sequence = random_();
    for (int k = 0; k < 4; ++k) {
      Slot& about = *others[random_(others.size())];
      membership::MemberRecord r;
      r.name = about.party.name;
      for (const View& view : ledger_.views[to.party.slot]) {
        auto seen = view.members.find(r.name);
        if (seen != view.members.end()) {
          r.boot = seen->second.boot;
          r.incarnation = seen->second.incarnation;
        }
      }
      switch (random_(6)) {
        case 0:
          r.state = membership::MemberState::kDead;
          break;
        case 1:
          r.state = membership::MemberState::kSuspect;
          break;
        case 2:
          r.state = membership::MemberState::kLeft;
          break;
        case 3:
          r.incarnation = (1ULL << 62) - 1 - random_(1000);
          r.state = random_(2) == 0 ? membership::MemberState::kDead : membership::MemberState::kAlive;
          break;
        case 4:
          r.boot = (1ULL << 62) - 1 - random_(1000);
          r.address = "127.64.2." + std::to_string(1 + random_(250)) + ":7946";
          break;
        default:
          r.name = "phantom" + std::to_string(random_(1'000'000));
          r.boot = 5;
          r.address = "127.64.2." + std::to_string(1 + random_(250)) + ":7946";
          break;
      }
      m.updates.push_back(std::move(r));
    }
    std::string bytes = codec_.Encode(m);
    if (random_(4) == 0) bytes[random_(bytes.size())] ^= 0x20;
    if (random_(16) == 0) bytes.resize(random_(bytes.size()));
    Endpoint real = links_.Real(to.party.slot);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(real.address);
    at.sin_port = htons(real.port);
    ::sendto(liar_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&at),
             sizeof at);
  }
  if (loop_.Now() + kBatch < until)
    loop_.ScheduleAt(loop_.Now() + kBatch, [this, &fault, until] { Lie(fault, until); });
}

// ---- The run ----

void Fleet::OnReady(std::uint32_t) {
  signalfd_siginfo info;
  while (::read(signals_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) interrupted_ = true;
  loop_.Stop();
}

void Fleet::Progress() {
  std::map<Fared, long> by;
  for (; told_ < ledger_.called.size(); ++told_) {
    // The newest may still be open; they are told in the next line.
    if (ledger_.called[told_].fared == Fared::kOpen && ledger_.called[told_].at > loop_.Now() - 1'000'000)
      break;
    ++by[ledger_.called[told_].fared];
  }
  long running =
      std::count_if(slots_.begin(), slots_.end(), [](const auto& s) { return s.second->process->running(); });
  long others = 0;
  for (const auto& [fared, n] : by) others += fared == Fared::kServed || fared == Fared::kRefused ? 0 : n;
  std::string views;
  for (auto& [name, slot] : slots_) {
    if (!slot->process->running() || !script_.joined || slots_.size() > 10) continue;
    long alive = 0;
    const auto& all = ledger_.views[name];
    if (!all.empty()) {
      alive = std::count_if(all.back().members.begin(), all.back().members.end(),
                            [](const auto& m) { return m.second.state == "alive"; });
    }
    views += " " + name + ":" + std::to_string(alive + 1);
  }
  Say(std::to_string(running) + " processes; last second " + std::to_string(by[Fared::kServed]) +
      " served, " + std::to_string(by[Fared::kRefused]) + " refused, " + std::to_string(others) +
      " lost or failed" + (views.empty() ? "" : "; see" + views));
  loop_.ScheduleAt(loop_.Now() + 1'000'000, [this] { Progress(); });
}

bool Fleet::Run() {
  sigset_t set;
  ::sigemptyset(&set);
  for (int number : {SIGINT, SIGTERM, SIGHUP}) ::sigaddset(&set, number);
  ::sigprocmask(SIG_BLOCK, &set, nullptr);
  ::signal(SIGPIPE, SIG_IGN);
  signals_ = FileDescriptor(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  signals_token_ = loop_.Watch(signals_.get(), this);
  for (int i = 1; i <= script_.at_start; ++i) Begin(*slots_["p" + std::to_string(i)]);
  Reap();
  Micros limit = loop_.Now() + kStartLimit;
  auto ready = [this] {
    for (int i = 1; i <= script_.at_start; ++i) {
      if (slots_["p" + std::to_string(i)]->listen.port == 0) return false;
    }
    return true;
  };
  while (!ready() && !interrupted_ && crashes_.empty() && loop_.Now() < limit) loop_.RunOnce(10'000);
  if (interrupted_ || !crashes_.empty() || !ready()) {
    std::fprintf(stderr, "dappletiller-rig: %s\n",
                 interrupted_       ? "interrupted"
                 : crashes_.empty() ? "not all processes started in time"
                                    : crashes_[0].c_str());
    return false;
  }
  began_ = loop_.Now();
  for (const Fault& fault : script_.faults) {
    loop_.ScheduleAt(began_ + fault.at, [this, &fault] { Begin(fault); });
    if (fault.span > 0) loop_.ScheduleAt(began_ + fault.at + fault.span, [this, &fault] { End(fault); });
    last_fault_ = std::max(last_fault_, began_ + fault.at + fault.span);
  }
  if (last_fault_ == 0) last_fault_ = began_;
  loop_.ScheduleAt(began_ + script_.length, [this] { loop_.Stop(); });
  Poll();
  if (!options_.quiet) Progress();
  loop_.Run();
  ended_ = loop_.Now();
  if (interrupted_) {
    std::fprintf(stderr, "dappletiller-rig: interrupted; the processes are ended\n");
    return false;
  }
  verdicts_ = Judge(script_, ledger_, parties_, began_, ended_, last_fault_);
  std::string all;
  for (const std::string& crash : crashes_) all += (all.empty() ? "" : "; ") + crash;
  verdicts_.push_back({crashes_.empty(), "no crash: every process ended as told",
                       crashes_.empty() ? "none" : all, static_cast<double>(crashes_.size())});
  return true;
}

std::string Fleet::Json() const {
  Json::Value root(Json::objectValue);
  root["script"] = script_.name;
  root["seed"] = Json::UInt64(options_.seed);
  root["verdicts"] = Json::Value(Json::arrayValue);
  for (const Verdict& v : verdicts_) {
    Json::Value one(Json::objectValue);
    one["holds"] = v.holds;
    one["claim"] = v.claim;
    one["evidence"] = v.evidence;
    one["figure"] = v.figure;
    root["verdicts"].append(std::move(one));
  }
  root["calls"] = Json::UInt64(ledger_.called.size());
  root["requests_at_workers"] = Json::UInt64(ledger_.taken.size());
  for (const auto& [name, slot] : slots_) {
    Json::Value& p = root["processes"][name];
    p["bytes_out"] = slot->bytes_out;
    p["datagrams_out"] = slot->datagrams_out;
    auto cpu = ledger_.cpu_seconds.find(name);
    if (cpu != ledger_.cpu_seconds.end()) p["cpu_seconds"] = cpu->second;
    auto kb = ledger_.most_kb.find(name);
    if (kb != ledger_.most_kb.end()) p["most_kb"] = Json::Int64(kb->second);
  }
  root["seconds"] = static_cast<double>(ended_ - began_) / 1e6;
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "  ";
  return Json::writeString(writer, root) + "\n";
}

std::string Fleet::Figures() const {
  double bytes = 0, datagrams = 0, cpu = 0;
  int n = 0;
  double seconds = static_cast<double>(ended_ - began_) / 1e6;
  for (const auto& [name, slot] : slots_) {
    if (slot->bytes_out <= 0) continue;
    ++n;
    bytes += slot->bytes_out;
    datagrams += slot->datagrams_out;
    auto used = ledger_.cpu_seconds.find(name);
    if (used != ledger_.cpu_seconds.end()) cpu += used->second;
  }
  if (n == 0 || seconds <= 0) return {};
  char text[160];
  std::snprintf(text, sizeof text,
                "each of %d processes said %.0f bytes and %.1f datagrams a second, and used %.2f%% of a core",
                n, bytes / n / seconds, datagrams / n / seconds, 100 * cpu / n / seconds);
  return text;
}

}  // namespace dappletiller::rig
