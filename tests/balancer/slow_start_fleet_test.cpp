// Load on a server in slow start from a whole fleet, in simulated time. The proxies share the endpoint list
// and nothing else; their loads are added up. The server's budget in any overload window is N requests of
// mean work. The sum may exceed N only by chance, for which 2 sqrt(N) + 2 more requests are allowed.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <ostream>
#include <queue>
#include <random>
#include <vector>

#include "balancer/test_proxy.hpp"

namespace dappletiller::balancer::testing {
namespace {

constexpr Micros kStartTime = 1'000'000'000;
constexpr ServerId kStartingServer = 1;
constexpr int kServers = 12;

enum class Hints { kGood, kRough, kNone };
enum class WorkDistribution { kEqual, kExponential, kHeavy };  // kHeavy: one in ten is nine times the others

struct Scenario {
  const char* name = "";
  int processes = 30;
  double budget = 1;  // N at the start of the server
  double cores = 1;
  double load = 0.6;  // utilization of all servers
  Hints hints = Hints::kGood;
  WorkDistribution work_distribution = WorkDistribution::kExponential;
  double burst = 1;             // factor on the load during slow start
  Micros stagger = 0;           // proxies start within this time around the server's start
  double skew = 1;              // one proxy in five gets this many times the mean load
  bool known_before = false;    // the server was known and warmed up before
  Micros warm_up = 4000 * kMs;  // time before the server starts; the burst begins halfway
  Micros restart_every = 0;     // mean time between restarts of each proxy
};

void PrintTo(const Scenario& scenario, std::ostream* out) {
  *out << scenario.name << " N " << scenario.budget;
}

struct Result {
  double max_load = 0;     // largest load in any window, as a fraction of what is allowed
  double budget_used = 0;  // fraction of the budget used over the whole slow start
  int requests_sent = 0;
  double within_objective = 0;  // fraction of requests answered within the objective since the start
};

class FleetSimulation {
 public:
  FleetSimulation(const Scenario& scenario, std::uint64_t seed) : scenario_(scenario), random_(seed) {
    settings_ = BasicSettings();
    settings_.proxies = scenario.processes;
    settings_.overload_factor = 2.5;
    settings_.initial_capacity = 0.2;
    settings_.warmup_time = 10'000 * kMs;
    settings_.overload_window = 1000 * kMs;
    mean_ = settings_.overload_factor * settings_.initial_capacity * scenario.cores *
            static_cast<double>(settings_.overload_window) / scenario.budget;
    for (ClassSettings& c : settings_.classes) {
      c.latency_objective = static_cast<Micros>(4 * mean_);
      c.client_timeout = 3 * c.latency_objective;
    }
    per_second_ = scenario.load * kServers * scenario.cores / (mean_ / 1e6) / scenario.processes;
    servers_.resize(kServers + 1);
    for (Server& server : servers_) server.idle_at.resize(static_cast<std::size_t>(scenario.cores), 0);
  }

  Result Run() {
    server_start_ = kStartTime + scenario_.warm_up;
    for (int i = 0; i < scenario_.processes; ++i) {
      processes_.emplace_back();
      Micros from = kStartTime;
      if (scenario_.stagger > 0)
        from =
            server_start_ + static_cast<Micros>((Uniform() - 0.5) * static_cast<double>(scenario_.stagger));
      At(from, {Kind::kStart, i});
      At(from, {Kind::kArrival, i});
    }
    At(server_start_, {Kind::kJoin, 0});
    Micros end = server_start_ + settings_.warmup_time;
    while (!queue_.empty() && queue_.top().at < end) {
      ScheduledEvent due = queue_.top();
      queue_.pop();
      now_ = due.at;
      Run(due);
    }
    return Evaluate(end);
  }

 private:
  enum class Kind { kStart, kArrival, kJoin, kEnd, kWake };
  struct ScheduledEvent {
    Kind kind = Kind::kWake;
    int process = 0;
    int incarnation = 0;
    RequestId request = 0;
    int attempt = 0;
    Micros sent = 0;
    Micros at = 0;
    std::uint64_t order = 0;
    bool operator<(const ScheduledEvent& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct Process {
    std::unique_ptr<Balancer> balancer;
    int incarnation = 0;
    std::vector<std::pair<double, int>> requests;  // work, attempts
    std::vector<std::vector<bool>> ended;
    std::vector<Micros> arrived;
  };
  struct Server {
    std::vector<Micros> idle_at;  // when each core becomes idle
  };

  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  void At(Micros at, ScheduledEvent due) {
    due.at = at;
    due.order = ++order_;
    queue_.push(due);
  }

  std::vector<ServerEntry> CurrentList() const {
    std::vector<ServerEntry> list;
    for (ServerId id = kStartingServer; id < servers_.size(); ++id) {
      if (id == kStartingServer && !joined_ && !scenario_.known_before) continue;
      ServerEntry entry = Entry(id);
      entry.concurrency = scenario_.cores;
      if (id == kStartingServer && joined_) entry.started_at = server_start_;
      list.push_back(entry);
    }
    return list;
  }

  double DrawWork() {
    switch (scenario_.work_distribution) {
      case WorkDistribution::kEqual:
        return mean_;
      case WorkDistribution::kHeavy:
        return mean_ / 1.8 * (Uniform() < 0.1 ? 9 : 1);
      case WorkDistribution::kExponential:
        break;
    }
    return -mean_ * std::log(1 - Uniform());
  }

  void Run(const ScheduledEvent& due) {
    Process& process = processes_[static_cast<std::size_t>(due.process)];
    switch (due.kind) {
      case Kind::kStart: {
        Settings s = settings_;
        s.seed = random_();
        process.balancer = std::make_unique<Balancer>(s);
        ++process.incarnation;
        process.requests.clear();
        process.ended.clear();
        process.arrived.clear();
        Deliver(due.process, EndpointListUpdate{EndpointListUpdate::Kind::kSnapshot, CurrentList()});
        if (scenario_.restart_every > 0)
          At(now_ + static_cast<Micros>((0.5 + Uniform()) * static_cast<double>(scenario_.restart_every)),
             {Kind::kStart, due.process});
        break;
      }
      case Kind::kJoin:
        joined_ = true;
        for (int i = 0; i < scenario_.processes; ++i) {
          if (processes_[static_cast<std::size_t>(i)].balancer)
            Deliver(i, EndpointListUpdate{EndpointListUpdate::Kind::kSnapshot, CurrentList()});
        }
        break;
      case Kind::kArrival: {
        double rate = per_second_ / 1e6;
        if (scenario_.skew > 1) rate *= due.process % 5 == 0 ? scenario_.skew : (5 - scenario_.skew) / 4;
        if (now_ > kStartTime + scenario_.warm_up / 2) rate *= scenario_.burst;
        At(now_ + 1 + static_cast<Micros>(-std::log(1 - Uniform()) / rate), {Kind::kArrival, due.process});
        RequestArrived e;
        e.id = process.requests.size();
        double work = DrawWork();
        process.requests.emplace_back(work, 0);
        process.ended.emplace_back();
        process.arrived.push_back(now_);
        arrived_ += joined_;
        e.deadline = now_ + settings_.classes[0].client_timeout;
        e.has_hint = scenario_.hints != Hints::kNone;
        double hint = scenario_.hints == Hints::kRough ? work * std::exp(1.2 * (Uniform() - 0.5)) : work;
        if (e.has_hint) e.work_hint = std::max<Micros>(1, static_cast<Micros>(hint));
        Deliver(due.process, e);
        break;
      }
      case Kind::kEnd:
        if (due.incarnation == process.incarnation)
          End(due.process, due.request, due.attempt, Outcome::kServed, due.sent);
        break;
      case Kind::kWake:
        if (due.incarnation == process.incarnation) Deliver(due.process, TimerFired{});
        break;
    }
  }

  void End(int i, RequestId id, int attempt, Outcome outcome, Micros sent) {
    Process& process = processes_[static_cast<std::size_t>(i)];
    if (process.ended[id][static_cast<std::size_t>(attempt)]) return;
    process.ended[id][static_cast<std::size_t>(attempt)] = true;
    AttemptEnded e;
    e.id = id;
    e.attempt = attempt;
    e.outcome = outcome;
    within_objective_ += outcome == Outcome::kServed && process.arrived[id] >= server_start_ &&
                         now_ <= process.arrived[id] + settings_.classes[0].latency_objective;
    e.latency = now_ - sent;
    e.request_finished = outcome == Outcome::kServed;
    Deliver(i, e);
  }

  void Deliver(int i, const Event& event) {
    Process& process = processes_[static_cast<std::size_t>(i)];
    std::vector<Action> actions;
    process.balancer->Handle(now_, event, &actions);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        auto& [work, attempts] = process.requests[send->id];
        int attempt = attempts++;
        process.ended[send->id].push_back(false);
        Micros done = Serve(send->server, work);
        At(done, {Kind::kEnd, i, process.incarnation, send->id, attempt, now_});
      } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
        End(i, cancel->id, cancel->attempt, Outcome::kCancelled, now_);
      } else if (const auto* wake = std::get_if<WakeAfter>(&action)) {
        At(now_ + std::max<Micros>(wake->delay, 1), {Kind::kWake, i, process.incarnation});
      }
    }
  }

  Micros Serve(ServerId id, double work) {
    Server& server = servers_[id];
    double speed = 1;
    if (id == kStartingServer && joined_) {
      load_.emplace_back(now_, work / mean_);
      speed = Capacity(now_);
    }
    auto core = std::min_element(server.idle_at.begin(), server.idle_at.end());
    *core = std::max(*core, now_) + 1 + static_cast<Micros>(work / speed);
    return *core;
  }

  double Capacity(Micros at) const {
    double age = static_cast<double>(at - server_start_) / static_cast<double>(settings_.warmup_time);
    return settings_.initial_capacity + (1 - settings_.initial_capacity) * std::clamp(age, 0.0, 1.0);
  }

  Result Evaluate(Micros end) const {
    Result all;
    double sum = 0;
    std::deque<std::pair<Micros, double>> window;
    for (const auto& [at, work] : load_) {
      window.emplace_back(at, work);
      sum += work;
      while (window.front().first <= at - settings_.overload_window) {
        sum -= window.front().second;
        window.pop_front();
      }
      // The allowance at the start of the window, which is the smallest within it.
      double n = scenario_.budget * Capacity(std::max(server_start_, at - settings_.overload_window)) /
                 settings_.initial_capacity;
      all.max_load = std::max(all.max_load, sum / (n + 2 * std::sqrt(n) + 2));
      all.budget_used += work;
      ++all.requests_sent;
    }
    double windows =
        static_cast<double>(end - server_start_) / static_cast<double>(settings_.overload_window);
    all.budget_used /= windows * scenario_.budget * (1 + 1 / settings_.initial_capacity) / 2;
    all.within_objective = arrived_ > 0 ? 1.0 * within_objective_ / arrived_ : 0;
    return all;
  }

  Scenario scenario_;
  std::mt19937_64 random_;
  Settings settings_;
  double mean_ = 0;
  double per_second_ = 0;  // requests per second at each proxy
  int arrived_ = 0, within_objective_ = 0;
  Micros now_ = 0;
  Micros server_start_ = 0;
  bool joined_ = false;
  std::vector<Process> processes_;
  std::vector<Server> servers_;
  std::vector<std::pair<Micros, double>> load_;
  std::priority_queue<ScheduledEvent> queue_;
  std::uint64_t order_ = 0;
};

class SlowStartFleet : public ::testing::TestWithParam<Scenario> {};

TEST_P(SlowStartFleet, TotalLoadStaysWithinTheAllowance) {
  const char* seeds_text = std::getenv("COLD_FLEET_SEEDS");  // to print results: the number of seeds
  const int seeds = seeds_text != nullptr ? std::atoi(seeds_text) : 4;
  for (int processes : {20, 30}) {
    for (double budget : {1, 2, 5, 13, 50}) {
      Scenario scenario = GetParam();
      scenario.processes = processes;
      scenario.budget = budget;
      Result all;
      for (int seed = 1; seed <= seeds; ++seed) {
        Result one = FleetSimulation(scenario, static_cast<std::uint64_t>(seed * 1000 + processes)).Run();
        all.max_load = std::max(all.max_load, one.max_load);
        all.budget_used += one.budget_used / seeds;
        all.within_objective += one.within_objective / seeds;
        all.requests_sent += one.requests_sent;
      }
      if (seeds_text != nullptr)
        std::printf(
            "%-18s %d proxies, N %2.0f: at most %.2f of the allowance; %.2f used, %d requests; %.3f within "
            "the objective\n",
            scenario.name, processes, budget, all.max_load, all.budget_used, all.requests_sent,
            all.within_objective);
      EXPECT_LE(all.max_load, 1) << processes << " proxies, N " << budget;
      // With a smaller budget one round of the rotation may take longer than the slow start.
      if (budget >= 13) {
        EXPECT_GT(all.requests_sent, 0) << processes << " proxies, N " << budget;
      }
    }
  }
}

Scenario MakeScenario(const char* name, void (*change)(Scenario&)) {
  Scenario scenario;
  scenario.name = name;
  change(scenario);
  return scenario;
}

INSTANTIATE_TEST_SUITE_P(
    Scenarios, SlowStartFleet,
    ::testing::Values(
        MakeScenario("Joining", [](Scenario&) {}),
        MakeScenario("Back", [](Scenario& p) { p.known_before = true; }),
        MakeScenario("Burst", [](Scenario& p) { p.burst = 3; }),
        MakeScenario("Staggered", [](Scenario& p) { p.stagger = 6000 * kMs; }),
        MakeScenario("Uneven", [](Scenario& p) { p.skew = 4; }),
        MakeScenario("Heavy", [](Scenario& p) { p.work_distribution = WorkDistribution::kHeavy; }),
        MakeScenario("HeavyBurst",
                     [](Scenario& p) {
                       p.work_distribution = WorkDistribution::kHeavy, p.burst = 3, p.known_before = true;
                     }),
        MakeScenario("FourCores", [](Scenario& p) { p.cores = 4, p.burst = 2; }),
        MakeScenario("RoughHints", [](Scenario& p) { p.hints = Hints::kRough; }),
        MakeScenario("Restarted", [](Scenario& p) { p.restart_every = 6000 * kMs; }),
        MakeScenario("NoHints", [](Scenario& p) { p.hints = Hints::kNone; }),
        MakeScenario("NoHintsBurst", [](Scenario& p) { p.hints = Hints::kNone, p.burst = 3, p.cores = 4; }),
        MakeScenario("NoHintsJustStarted",
                     [](Scenario& p) {
                       p.hints = Hints::kNone, p.burst = 6, p.warm_up = 1500 * kMs, p.known_before = true;
                     }),
        MakeScenario("NoHintsAlike",
                     [](Scenario& p) {
                       p.hints = Hints::kNone, p.work_distribution = WorkDistribution::kEqual;
                     }),
        MakeScenario("NoHintsRestarted",
                     [](Scenario& p) { p.hints = Hints::kNone, p.restart_every = 6000 * kMs; })),
    [](const ::testing::TestParamInfo<Scenario>& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace dappletiller::balancer::testing
