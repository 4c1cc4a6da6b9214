// A run of the rig: starts the processes, plays discovery, workers and clients, carries the script's faults
// out on time, listens to what each process says of itself, and judges at the end.
#ifndef DAPPLETILLER_RIG_FLEET_HPP_
#define DAPPLETILLER_RIG_FLEET_HPP_

#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "io/event_loop.hpp"
#include "membership/codec.hpp"
#include "rig/ledger.hpp"
#include "rig/links.hpp"
#include "rig/process.hpp"
#include "rig/script.hpp"
#include "rig/standins.hpp"
#include "rig/verdict.hpp"

namespace dappletiller::rig {

struct Options {
  std::string program;  // the real program
  std::string clock;    // the shared object that moves wall clocks
  std::filesystem::path out;
  std::uint64_t seed = 1;
  bool quiet = false;
  bool keep = false;  // the processes' folders and logs stay in `out`
};

class Fleet final : private EventHandler {
 public:
  // Throws std::system_error and std::runtime_error where the machine doesn't give what is needed.
  Fleet(Script script, Options options);
  ~Fleet();
  // Plays the script; false if it was interrupted or a process could not start.
  bool Run();
  const std::vector<Verdict>& verdicts() const { return verdicts_; }
  std::string Json() const;
  // Figures beside the verdicts: bytes and messages a second per member, processor share, calls.
  std::string Figures() const;

 private:
  struct Slot {
    Party party;
    int zone = 0;
    std::filesystem::path folder;
    std::map<std::string, Endpoint> dials;  // by the other's address
    Endpoint discovery;
    std::map<std::string, Endpoint> workers;
    std::unique_ptr<Process> process;
    std::unique_ptr<Clients> clients;
    Endpoint listen, console;
    std::uint64_t events_seen = 0;
    std::vector<std::string> keys;  // none: the fleet's
    std::string fleet, lines;       // none: the script's
    std::int64_t clock = 0;         // its wall clock is off by so many nanoseconds
    bool asking = false;
    bool wanted = false;  // should run: an end that nobody ordered is a crash
    bool stopped = false;
    double bytes_out = 0, datagrams_out = 0;  // as it said last
    double cpu_before = 0;
  };

  void OnReady(std::uint32_t) override;
  void MakeSlot(const std::string& slot, const std::string& name, int number, const std::string& address);
  void OpenLinks();
  void WriteFiles(Slot& slot);
  bool Moved(const Slot& slot) const;
  void SetClock(Slot& slot, double seconds);
  void Refile(const Fault& fault, Slot& slot);
  void Begin(Slot& slot);
  void Heard(Slot& slot, const std::string& line);
  void Kill(Slot& slot, int signal);
  void Stop(Slot& slot, bool stop);
  void Poll();
  void Look(Slot& slot);
  void Learn(Slot& slot, const std::string& json);
  void Reap();
  void Flip(const Fault& fault);
  void Stagger(const Fault& fault, Slot& slot, Micros until);
  void Begin(const Fault& fault);
  void End(const Fault& fault);
  void Rethink();
  void Lie(const Fault& fault, Micros until);
  void Progress();
  std::string ListFor(const std::string& slot);
  std::string ConfigFor(const Slot& slot);
  std::string OperatorFor(const Slot& slot);
  std::vector<std::string> Slots() const;
  Slot* Find(const std::string& name);
  void Say(const std::string& text);
  Micros SinceStart() const { return began_ == 0 ? 0 : loop_.Now() - began_; }

  Script script_;
  Options options_;
  EventLoop loop_;
  Ledger ledger_;
  Links links_;
  pcg64 random_;
  std::map<std::string, std::unique_ptr<Slot>> slots_;
  Questions questions_{loop_};  // after the slots: what is still open goes before them
  std::vector<Party> parties_;
  std::map<std::string, std::unique_ptr<StandInWorker>> workers_;
  std::map<std::string, int> worker_zone_;
  std::map<std::string, bool> listed_;
  std::unique_ptr<StandInDiscovery> discovery_;
  FileDescriptor signals_;
  EventLoop::WatchId signals_token_ = 0;
  membership::Codec codec_;
  std::map<std::string, std::string> keys_;  // by name; "first" is all processes' at the start
  FileDescriptor liar_;
  std::uint64_t lies_ = 0;
  std::vector<const Fault*> active_;
  std::map<const Fault*, bool> flap_off_;
  std::vector<Verdict> verdicts_;
  std::vector<std::string> crashes_;
  Micros began_ = 0, ended_ = 0, last_fault_ = 0;
  bool interrupted_ = false;
  std::size_t told_ = 0;
};

}  // namespace dappletiller::rig

#endif  // DAPPLETILLER_RIG_FLEET_HPP_
