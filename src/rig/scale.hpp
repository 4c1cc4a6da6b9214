// A scale run: hollow proxies, many to a process, beside some real ones under load, against stand-ins of
// discovery and plan servers, through the churn of an hour in a minute; figures by role, and verdicts from
// what servers, clients and discovery saw.
//
// Owns its processes, which die with it, and nothing else: files are in the folder that it is given. The
// bounds on processes are the script's and are checked before anything starts; the one on memory is watched.
#ifndef DAPPLETILLER_RIG_SCALE_HPP_
#define DAPPLETILLER_RIG_SCALE_HPP_

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "io/event_loop.hpp"
#include "membership/codec.hpp"
#include "rig/ledger.hpp"
#include "rig/process.hpp"
#include "rig/scale_script.hpp"
#include "rig/standins.hpp"
#include "rig/verdict.hpp"

namespace dappletiller::rig {

struct ScaleOptions {
  std::string program;  // the real proxy
  std::string self;     // this program, for the roles
  std::filesystem::path folder;
  std::uint64_t seed = 1;
  bool quiet = false;
};

// A figure by its name, in the order in which they are told.
using Figures = std::vector<std::pair<std::string, double>>;

// What a proxy is started with, as the platform writes it: with so many tenants, and no list.
std::string ScaleConfig(const ScaleScript& script, const std::string& name, int zone,
                        const std::string& discovery, const std::string& seed,
                        std::uint64_t settings_version);

class ScaleRun final : private EventHandler {
 public:
  // Throws std::system_error and std::runtime_error where the machine doesn't give what is needed.
  ScaleRun(const ScaleScript& script, ScaleOptions options);
  ~ScaleRun();
  // False: interrupted, a process could not start or ended, or memory was passed; `why` says which.
  bool Run();
  const std::string& why() const { return why_; }
  const std::vector<Verdict>& verdicts() const { return verdicts_; }
  const Figures& figures() const { return figures_; }

 private:
  struct Child {  // a process that plays a role
    std::string role;
    int index = 0;
    std::unique_ptr<Process> process;
    Endpoint control;
    bool ready = false, asking = false, reported = false;
    std::string report;
    double cpu_before = 0;
    double cpu = 0;  // seconds in the churn
    long kb = 0;     // most
  };
  struct Real {
    int proxy = 0;  // its number among all proxies
    std::string name;
    std::filesystem::path folder;
    std::unique_ptr<Process> process;
    std::unique_ptr<Clients> clients;
    Endpoint listen;
    Endpoint discovery;
    bool wanted = false;
    double cpu_before = 0, cpu = 0;  // of the runs that have ended; in the churn
    long kb = 0;
    long sent = 0, dialled = 0;                   // as it logged
    std::uint64_t settings = 0;                   // the version that it last read
    std::vector<std::pair<Micros, Micros>> gone;  // when it had no clients on purpose, or was killed
  };
  void OnReady(std::uint32_t) override;
  void Say(const std::string& text) const;
  bool Fail(const std::string& why);
  Child& StartChild(const std::string& role, int index);
  void StartReal(Real& real);
  void Heard(Real& real, const std::string& line);
  // Rounds until it holds; false: interrupted, a process ended, or it took too long.
  template <typename Holds>
  bool Until(const char* what, Micros limit, Holds holds);
  void Ask(Child& child, const std::string& target, std::function<void(int, std::string)> done);
  bool StartAll();
  void Churn();
  void Change(const ProxyChange& change);
  void NewSettings();
  void Watch();
  void Progress();
  void Judge();
  std::string Config(const Real& real) const;
  std::string HollowSettings() const;
  std::string OriginText() const;
  bool StartControls();
  Micros Since() const { return began_ == 0 ? 0 : loop_.Now() - began_; }

  const ScaleScript script_;
  const ScaleOptions options_;
  const Plan plan_;
  EventLoop loop_;
  Ledger ledger_;
  std::vector<std::unique_ptr<Child>> children_;
  std::vector<std::unique_ptr<Real>> reals_;
  std::vector<std::unique_ptr<Process>> controls_;  // of the settings feed; the first is the origin
  std::vector<std::string> control_at_;
  double controls_cpu_ = 0;  // seconds in the churn
  long controls_kb_ = 0;     // most, all of them
  Questions questions_{loop_};
  FileDescriptor signals_;
  EventLoop::WatchId signals_token_ = 0;
  std::uint64_t settings_version_ = 1;
  std::vector<Micros> settings_at_;                  // by version, from 2 on
  std::vector<std::vector<Micros>> settings_heard_;  // by version: when each real one said so
  Micros began_ = 0, ended_ = 0;
  long most_mb_ = 0;
  std::size_t told_ = 0;
  bool interrupted_ = false;
  std::string why_;
  std::vector<Verdict> verdicts_;
  Figures figures_;
};

// Plays the script, or each size of its sweep; prints verdicts, figures and slopes, and writes into `out` (if
// not empty) verdict.json and, of a sweep, a .dat file a key. The exit code: 0 all hold, 1 not.
int PlayScale(const ScaleScript& script, ScaleOptions options, const std::filesystem::path& out);

}  // namespace dappletiller::rig

#endif  // DAPPLETILLER_RIG_SCALE_HPP_
