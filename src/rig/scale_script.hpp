// The script of a scale run, and the plan that follows from it and a seed: what the fleet is made of, and
// what happens to it when. Pure: a TOML text in, a script or one error out (file, line, key, remedy); a
// script and a seed in, the same plan out in every process that asks. Knows no socket, process or clock.
#ifndef DAPPLETILLER_RIG_SCALE_SCRIPT_HPP_
#define DAPPLETILLER_RIG_SCALE_SCRIPT_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rig/script.hpp"

namespace dappletiller::rig {

enum class Upheaval {
  kZoneLost,  // servers and proxies of a zone die at once; after the span all come back, within 5 s
  kRelease,   // the proxies of a region restart one after the other over the span
  kRestart,   // the proxies of a region restart at one instant
  kParted     // discovery refuses a region's proxies for the span
};

struct ScaleEvent {
  Upheaval what = Upheaval::kZoneLost;
  Micros at = 0;
  Micros span = 0;
  int place = 0;  // a zone, or a region
  std::string text;
};

struct ScaleSweep {
  std::string key;  // hollow, servers or tenants
  std::vector<int> sizes;
};

struct ScaleScript {
  static constexpr int kMostProcesses = 300;
  static constexpr int kMostMegabytes = 12'000;
  static constexpr int kServersAProcess = 8'000;  // each is a listener, and descriptors are bounded

  std::string name;
  std::string text;                     // as it was parsed
  std::pair<std::string, int> resized;  // the size that was changed since; an empty key: none
  int hollow = 100;
  int to_a_process = 50;  // hollow proxies in one process
  int real = 2;
  int servers = 120;
  int services = 12;
  int tenants = 100;
  int zones = 3;
  int regions = 1;                   // the first zones/regions zones are the first region's, and so on
  std::vector<int> servers_by_zone;  // one number a zone
  Micros length = 0;
  double hour_in = 60;         // seconds that an hour of the churn takes
  double requests = 20;        // a second, to each real proxy, from clients of ours
  double hollow_requests = 5;  // a second, put to each hollow proxy's gateway
  double work_ms = 5;
  double size = 4;  // requests that a server runs side by side
  bool view = true;
  bool feed = false;  // settings by the feed, from two control machines; else by a file and a signal
  Micros drain_window = 1'200'000;  // after it was told nothing new goes to a server that drains
  Micros drain_for = 8'000'000;     // from its drain to its end
  Micros form = 5'000'000;          // for the views to form, before the churn
  Micros settle = 12'000'000;       // quiet at the end: what changed is in force everywhere by then
  int most_processes = kMostProcesses;
  int most_mb = kMostMegabytes;
  double failures = 79, replaced = 4000, settings = 3500;  // a day
  std::vector<ScaleEvent> events;
  std::vector<ScaleSweep> sweeps;

  int HollowProcesses() const { return (hollow + to_a_process - 1) / to_a_process; }
  int ServerProcesses() const { return (servers + kServersAProcess - 1) / kServersAProcess; }
  // All of them, the run's own, discovery's and the control machines included.
  int Processes() const { return HollowProcesses() + ServerProcesses() + real + 2 + (feed ? 2 : 0); }
  int ZoneOfServer(int server) const;
  int ZoneOfProxy(int proxy) const { return proxy % zones; }  // hollow ones first, then the real ones
  // As entries of the settings and proxies name it: a proxy works with one.
  std::string ServiceOf(int number) const { return "plan-" + std::to_string(number % services); }
  int RegionOf(int zone) const { return zone / (zones / regions); }
};

// Throws operators::OperatorError. `name` is for messages.
ScaleScript ParseScale(std::string_view toml, const std::string& name);
// The script with one size changed, as a sweep does; throws as above if that can't be.
ScaleScript Resized(ScaleScript script, const std::string& key, int size);

struct ServerChange {
  enum class What { kDrain, kDie, kGone, kUp };  // kDie: the process, of which the list knows nothing yet
  Micros at = 0;
  int server = 0;
  What what = What::kDrain;
};
struct ProxyChange {
  enum class What { kKill, kTerm, kStart };  // kTerm: told to leave
  Micros at = 0;
  int proxy = 0;
  What what = What::kKill;
};
struct Parting {
  Micros at = 0, until = 0;
  int region = 0;
};
struct Plan {  // each list by time; times count from the start of the churn
  std::vector<ServerChange> servers;
  std::vector<ProxyChange> proxies;
  std::vector<Micros> settings;
  std::vector<Parting> partings;
};
Plan MakePlan(const ScaleScript& script, std::uint64_t seed);

// Least squares of y over x: y = a + b x, with the residuals' root mean square and the largest one, relative
// to the largest |y|. Two points or more; fewer, or all at one x: b is 0.
struct Slope {
  double a = 0, b = 0, rms = 0, worst = 0;
};
Slope Fit(const std::vector<double>& x, const std::vector<double>& y);

}  // namespace dappletiller::rig

#endif  // DAPPLETILLER_RIG_SCALE_SCRIPT_HPP_
