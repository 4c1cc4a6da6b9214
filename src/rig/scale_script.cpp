#include "rig/scale_script.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <pcg_random.hpp>
#include <sstream>

#include "config/section.hpp"

namespace dappletiller::rig {
namespace {

using operators::Section;

template <typename T>
struct Word {
  std::string_view word;
  T value;
};

constexpr std::array kUpheavals = {
    Word<Upheaval>{"zone-lost", Upheaval::kZoneLost}, Word<Upheaval>{"release", Upheaval::kRelease},
    Word<Upheaval>{"restart", Upheaval::kRestart}, Word<Upheaval>{"parted", Upheaval::kParted}};

// A proxy that was told to leave has half a second for its clients and its open requests' time.
constexpr Micros kLeaves = 2'000'000;
constexpr Micros kDetected = 2'000'000;    // from a death to the list without it
constexpr Micros kAway = 4'000'000;        // from its end to its return, restarted or replaced
constexpr Micros kReturnSpan = 5'000'000;  // in which a lost zone comes back
constexpr int kReturnWaves = 10;
constexpr double kLargest = 1e6;

struct SettingsBy {
  std::string_view word;
  bool value;
};
constexpr std::array kSettings = {SettingsBy{"file", false}, SettingsBy{"feed", true}};

Micros Seconds(Section& section, std::string_view key, double otherwise, double least = 0) {
  return static_cast<Micros>(section.Number(key, otherwise, least, kLargest) * 1e6);
}

std::vector<int> Counts(Section& section, std::string_view key, int least, int most) {
  std::vector<int> all;
  const toml::array* array = section.Array(key);
  if (array == nullptr) return all;
  for (const toml::node& node : *array) {
    auto value = node.value<std::int64_t>();
    if (!value || *value < least || *value > most) {
      section.Fail(key, "holds something that is not a whole number from " + std::to_string(least) + " to " +
                            std::to_string(most) + "; mend it");
    }
    all.push_back(static_cast<int>(*value));
  }
  return all;
}

// What only the sizes together can break; `section` names the line.
void CheckProcesses(const ScaleScript& script, const Section& section) {
  if (script.Processes() <= script.most_processes) return;
  section.Fail("to_a_process", "the run would be " + std::to_string(script.Processes()) + " processes of " +
                                   std::to_string(script.most_processes) +
                                   "; raise it, or lower hollow, real or servers");
}

ScaleEvent ReadEvent(Section section, const ScaleScript& script) {
  ScaleEvent event;
  event.what = section.OneOf("do", kUpheavals);
  event.at = Seconds(section, "at", 0);
  event.span = Seconds(section, "for", 0);
  bool zone = event.what == Upheaval::kZoneLost;
  event.place = section.Count(zone ? "zone" : "region", 0, 0, (zone ? script.zones : script.regions) - 1);
  bool spans = event.what != Upheaval::kRestart;
  if (spans && event.span <= 0) section.Fail("for", "is missing; give its seconds");
  if (event.at + event.span + kDetected + kReturnSpan + script.settle > script.length) {
    section.Fail("at",
                 "it ends too late: with 7 s and scale.settle behind it, it must lie within "
                 "scale.seconds; begin earlier or lengthen the run");
  }
  std::ostringstream text;
  text << section.Text("do") << (zone ? " zone " : " region ") << event.place << " at "
       << static_cast<double>(event.at) / 1e6 << " s";
  if (event.span > 0) text << " for " << static_cast<double>(event.span) / 1e6 << " s";
  event.text = text.str();
  section.RejectUnknownKeys();
  return event;
}

void Share(ScaleScript* script) {
  script->servers_by_zone.assign(static_cast<std::size_t>(script->zones), script->servers / script->zones);
  for (int z = 0; z < script->servers % script->zones; ++z)
    ++script->servers_by_zone[static_cast<std::size_t>(z)];
}

}  // namespace

int ScaleScript::ZoneOfServer(int server) const {
  for (int zone = 0; zone < zones; ++zone) {
    server -= servers_by_zone[static_cast<std::size_t>(zone)];
    if (server < 0) return zone;
  }
  return zones - 1;
}

ScaleScript ParseScale(std::string_view text, const std::string& name) {
  toml::table root = operators::ParseToml(text, name);
  Section top(root, name, "");
  const toml::table* scale = top.Table("scale");
  if (scale == nullptr) top.Fail("scale", "the section is missing; write [scale]");
  Section s(*scale, name, "scale");
  ScaleScript script;
  script.name = name;
  script.text = text;
  script.hollow = s.Count("hollow", script.hollow, 1, 20'000);
  script.to_a_process = s.Count("to_a_process", script.to_a_process, 1, 2'000);
  script.real = s.Count("real", script.real, 0, 200);
  script.servers = s.Count("servers", script.servers, 1, 20'000);
  script.services = s.Count("services", script.services, 0, 10'000);
  if (script.services < 1) s.Fail("services", "there is no service; give 1 or more");
  if (script.services > script.servers)
    s.Fail("services", "there are more services than servers; lower it or raise servers");
  script.tenants = s.Count("tenants", script.tenants, 0, 1'000'000);
  script.regions = s.Count("regions", script.regions, 1, 100);
  script.zones = s.Count("zones", script.zones, 1, 200);
  if (script.zones % script.regions != 0)
    s.Fail("zones", "don't add up: " + std::to_string(script.zones) +
                        " zones are not the same number in each of " + std::to_string(script.regions) +
                        " regions; give a multiple of regions");
  script.servers_by_zone = Counts(s, "servers_by_zone", 0, 20'000);
  if (script.servers_by_zone.empty()) Share(&script);
  int sum = std::accumulate(script.servers_by_zone.begin(), script.servers_by_zone.end(), 0);
  if (static_cast<int>(script.servers_by_zone.size()) != script.zones || sum != script.servers)
    s.Fail("servers_by_zone",
           "the zones don't add up: " + std::to_string(script.servers_by_zone.size()) + " zones with " +
               std::to_string(sum) + " servers, where zones = " + std::to_string(script.zones) +
               " and servers = " + std::to_string(script.servers) + "; mend one of the three");
  script.length = Seconds(s, "seconds", 60, 1);
  script.settle = Seconds(s, "settle", 12, 1);
  if (script.settle + 1'000'000 > script.length)
    s.Fail("seconds", "is too short; it must be at least a second more than settle");
  script.form = Seconds(s, "form", 5);
  script.hour_in = s.Number("hour_in", script.hour_in, 1, 3600);
  script.requests = s.Number("requests_per_second", script.requests, 0, 10'000);
  script.hollow_requests = s.Number("hollow_requests_per_second", script.hollow_requests, 0, 10'000);
  script.work_ms = s.Number("work_ms", script.work_ms, 0.1, 10'000);
  script.size = s.Number("size", script.size, 1, 1000);
  script.view = s.Flag("view", true);
  script.feed = s.OneOf("settings", kSettings, "file");
  script.drain_window = static_cast<Micros>(s.Number("drain_window_ms", 1200, 0, 60'000) * 1000);
  script.drain_for = Seconds(s, "drain_for", 8, 0.1);
  script.most_processes =
      s.Count("most_processes", ScaleScript::kMostProcesses, 1, ScaleScript::kMostProcesses);
  script.most_mb = s.Count("most_mb", ScaleScript::kMostMegabytes, 1, ScaleScript::kMostMegabytes);
  CheckProcesses(script, s);
  if (const toml::table* churn = top.Table("churn")) {
    Section c(*churn, name, "churn");
    script.failures = c.Number("failures", script.failures, 0, kLargest);
    script.replaced = c.Number("replaced", script.replaced, 0, kLargest);
    script.settings = c.Number("settings", script.settings, 0, kLargest);
    c.RejectUnknownKeys();
  }
  if (const toml::array* events = top.Array("event")) {
    for (const toml::node& entry : *events) {
      if (entry.as_table() == nullptr)
        top.Fail("event", "holds something that is not a table; write [[event]]");
      script.events.push_back(ReadEvent(Section(*entry.as_table(), name, "event"), script));
    }
  }
  if (const toml::table* sweep = top.Table("sweep")) {
    Section w(*sweep, name, "sweep");
    for (const char* key : {"hollow", "servers", "tenants"}) {
      std::vector<int> sizes = Counts(w, key, 1, 1'000'000);
      if (w.Has(key) && sizes.size() < 2) w.Fail(key, "a slope needs two sizes or more; add some");
      for (int size : sizes) {
        ScaleScript one = Resized(script, key, size);
        if (one.Processes() > one.most_processes)
          w.Fail(key, "a size of " + std::to_string(size) + " would be " + std::to_string(one.Processes()) +
                          " processes of " + std::to_string(one.most_processes) +
                          "; lower it, or raise scale.to_a_process");
        if (one.services > one.servers)
          w.Fail(key, "a size of " + std::to_string(size) + " is less than scale.services; raise it");
      }
      if (!sizes.empty()) script.sweeps.push_back({key, sizes});
    }
    w.RejectUnknownKeys();
  }
  s.RejectUnknownKeys();
  top.RejectUnknownKeys();
  return script;
}

ScaleScript Resized(ScaleScript script, const std::string& key, int size) {
  script.resized = {key, size};
  if (key == "hollow") script.hollow = size;
  if (key == "tenants") script.tenants = size;
  if (key == "servers") {
    script.servers = size;
    Share(&script);
  }
  return script;
}

Plan MakePlan(const ScaleScript& script, std::uint64_t seed) {
  using S = ServerChange::What;
  using P = ProxyChange::What;
  pcg64 random(seed);
  Plan plan;
  const Micros last = script.length - script.settle;
  const int proxies = script.hollow + script.real;
  // Until when each has something happen to it: nothing is done to it twice at a time.
  std::vector<Micros> server_busy(static_cast<std::size_t>(script.servers), 0);
  std::vector<Micros> proxy_busy(static_cast<std::size_t>(proxies), 0);
  for (const ScaleEvent& event : script.events) {
    Micros until = event.at + event.span;
    if (event.what == Upheaval::kParted) {
      plan.partings.push_back({event.at, until, event.place});
      continue;
    }
    if (event.what == Upheaval::kZoneLost) {
      Micros back = std::max(until, event.at + kDetected);
      int n = 0;
      for (int i = 0; i < script.servers; ++i) {
        if (script.ZoneOfServer(i) != event.place || server_busy[static_cast<std::size_t>(i)] > event.at)
          continue;
        plan.servers.push_back({event.at, i, S::kDie});
        plan.servers.push_back({event.at + kDetected, i, S::kGone});
        plan.servers.push_back({back + 1 + kReturnSpan * (n++ % kReturnWaves) / kReturnWaves, i, S::kUp});
        server_busy[static_cast<std::size_t>(i)] = back + kReturnSpan;
      }
    }
    std::vector<int> those;
    for (int i = 0; i < proxies; ++i) {
      int zone = script.ZoneOfProxy(i);
      bool hit =
          event.what == Upheaval::kZoneLost ? zone == event.place : script.RegionOf(zone) == event.place;
      if (hit && proxy_busy[static_cast<std::size_t>(i)] <= event.at) those.push_back(i);
    }
    for (std::size_t k = 0; k < those.size(); ++k) {
      int i = those[k];
      Micros at = event.at, back = until;
      P how = P::kKill;
      if (event.what != Upheaval::kZoneLost) {
        at += event.span * static_cast<Micros>(k) / static_cast<Micros>(those.size());
        back = at + kLeaves;
        how = P::kTerm;
      }
      plan.proxies.push_back({at, i, how});
      plan.proxies.push_back({back, i, P::kStart});
      proxy_busy[static_cast<std::size_t>(i)] = back + kLeaves;
    }
  }
  auto below = [&random](Micros n) { return static_cast<Micros>(random(static_cast<std::uint64_t>(n))); };
  const double days = static_cast<double>(last) / 1e6 / script.hour_in / 24;
  const double machines = script.servers + proxies;
  auto count = [&](double a_day) { return static_cast<int>(std::lround(a_day * days)); };
  // Each at a time of its own; one that finds nobody free then is left out.
  auto server = [&](bool fails) {
    Micros span = fails ? kDetected + kAway : script.drain_for + kAway;
    if (last <= span) return;
    Micros at = below(last - span);
    auto i = static_cast<std::size_t>(below(script.servers));
    if (server_busy[i] != 0) return;
    server_busy[i] = at + span;
    int one = static_cast<int>(i);
    plan.servers.push_back({at, one, fails ? S::kDie : S::kDrain});
    plan.servers.push_back({at + (fails ? kDetected : script.drain_for), one, S::kGone});
    plan.servers.push_back({at + span, one, S::kUp});
  };
  auto proxy = [&](bool fails) {
    if (last <= 2 * kLeaves) return;
    Micros at = below(last - 2 * kLeaves);
    auto i = static_cast<std::size_t>(below(proxies));
    if (proxy_busy[i] != 0) return;
    proxy_busy[i] = at + 2 * kLeaves;
    plan.proxies.push_back({at, static_cast<int>(i), fails ? P::kKill : P::kTerm});
    plan.proxies.push_back({at + kLeaves, static_cast<int>(i), P::kStart});
  };
  for (bool fails : {true, false}) {
    int n = count(fails ? script.failures : script.replaced);
    for (int k = 0; k < n; ++k)
      below(static_cast<Micros>(machines)) < script.servers ? server(fails) : proxy(fails);
  }
  int n = count(script.settings);
  for (int k = 0; k < n; ++k) plan.settings.push_back(last * k / std::max(1, n));
  auto by_time = [](const auto& a, const auto& b) { return a.at < b.at; };
  std::stable_sort(plan.servers.begin(), plan.servers.end(), by_time);
  std::stable_sort(plan.proxies.begin(), plan.proxies.end(), by_time);
  return plan;
}

Slope Fit(const std::vector<double>& x, const std::vector<double>& y) {
  Slope slope;
  auto n = static_cast<double>(x.size());
  if (x.empty()) return slope;
  double mx = std::accumulate(x.begin(), x.end(), 0.0) / n, my = std::accumulate(y.begin(), y.end(), 0.0) / n;
  double xx = 0, xy = 0, largest = 0, squares = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    xx += (x[i] - mx) * (x[i] - mx);
    xy += (x[i] - mx) * (y[i] - my);
    largest = std::max(largest, std::abs(y[i]));
  }
  slope.b = xx > 0 ? xy / xx : 0;
  slope.a = my - slope.b * mx;
  for (std::size_t i = 0; i < x.size(); ++i) {
    double off = y[i] - slope.a - slope.b * x[i];
    squares += off * off;
    slope.worst = std::max(slope.worst, std::abs(off));
  }
  slope.rms = std::sqrt(squares / n);
  if (largest > 0) {
    slope.rms /= largest;
    slope.worst /= largest;
  }
  return slope;
}

}  // namespace dappletiller::rig
