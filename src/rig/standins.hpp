// The parties that the rig plays itself: workers that keep the ledger, discovery, and open-loop clients. All
// run on the rig's loop and speak HTTP/1.1 over real sockets; each behaves as the protocol page says its
// original does, in the simplest form that a fault of the fleet can be seen in.
#ifndef DAPPLETILLER_RIG_STANDINS_HPP_
#define DAPPLETILLER_RIG_STANDINS_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "io/event_loop.hpp"
#include "io/stream_socket.hpp"
#include "rig/ledger.hpp"

namespace dappletiller::rig {

// A listener whose connections carry one request at a time to `Take`; answers are written by `Answer`, at
// once or later.
class Server : private EventHandler {
 public:
  using ConnId = std::uint64_t;
  using Sender = std::function<std::string(std::uint16_t to, std::uint16_t from)>;
  explicit Server(EventLoop& loop);
  virtual ~Server();
  Endpoint Listen(std::uint16_t port = 0);  // 0: the kernel's choice; throws std::system_error
  // Nobody is there any more, as after a kill: what is open ends, what comes is refused.
  void Shut();
  std::size_t connections() const { return conns_.size(); }
  // Requests taken, and bytes of the answers to them.
  std::uint64_t taken() const { return taken_; }
  std::uint64_t bytes_out() const { return bytes_out_; }

 protected:
  virtual void Take(ConnId conn, http::MessageRef request) = 0;
  virtual void Gone(ConnId) {}
  void Answer(ConnId conn, std::string head_and_body);
  void DropAll();
  // Whose a connection is, by its ports: the relay knows.
  std::string From(ConnId conn, const Sender& sender) const;

  EventLoop& loop_;

 private:
  class Conn;
  void OnReady(std::uint32_t) override;
  void Drop(ConnId id);

  FileDescriptor listener_;
  std::uint16_t port_ = 0;
  EventLoop::WatchId token_ = 0;
  ConnId ids_ = 0;
  std::uint64_t taken_ = 0, bytes_out_ = 0;
  std::map<ConnId, std::unique_ptr<Conn>> conns_;
};

struct ColdModel {  // as the settings' invariants
  double share = 0.1;
  Micros time = 10'000'000;
  double tip_multiple = 2;
  Micros fall = 1'000'000;
  double usual = 0;  // the mean work, where 2 sqrt(N) + 2 requests of it beyond the budget of N don't count
};

// A plan server: runs `size` calls side by side for the work that each hints at, queues the rest, turns away
// what drains or overflows. Started cold it bears `ColdModel` and tips over when given more: its connections
// are reset, and for kDown it turns everything away.
class StandInWorker final : public Server {
 public:
  static constexpr Micros kDown = 3'000'000;
  static constexpr std::size_t kQueue = 64;
  StandInWorker(EventLoop& loop, Ledger& ledger, std::string name, double size, ColdModel cold, Sender sender)
      : Server(loop),
        ledger_(ledger),
        name_(std::move(name)),
        size_(size),
        cold_(cold),
        sender_(std::move(sender)) {}
  // From now on it counts as just started.
  void StartCold() { started_ = loop_.Now(); }
  void Drain() { draining_ = true; }
  // Its process ends with all that it holds; a new one at the same port is cold. False: the port is taken.
  void Die();
  bool Rise(std::uint16_t port);
  Micros started() const { return started_; }
  bool draining() const { return draining_; }
  const std::string& name() const { return name_; }

 private:
  struct Waiting {
    ConnId conn;
    std::string id;
    Micros work;
  };
  void Take(ConnId conn, http::MessageRef request) override;
  void Run(Waiting one);
  double Capacity() const;  // work it bears a microsecond
  bool Cold() const { return started_ != 0 && loop_.Now() < started_ + cold_.time; }
  void TipIfTooMuch(Micros work);
  void ForgetAll();

  Ledger& ledger_;
  std::string name_;
  double size_;
  ColdModel cold_;
  Sender sender_;
  Micros started_ = 0;
  Micros down_until_ = 0;
  bool draining_ = false;
  std::deque<std::pair<Micros, Micros>> given_;  // (when, work) within the last fall time
  std::deque<Waiting> queue_;
  int running_ = 0;
  std::uint64_t epoch_ = 0;  // what ran before a fall answers nobody
};

// Discovery: one list with one version for all; each process sees the workers at its own addresses. It
// answers with whole lists, and with the changed entries only where it is given a way to tell them.
class StandInDiscovery final : public Server {
 public:
  using ListFor = std::function<std::string(const std::string& who)>;  // the targets, as JSON
  enum class Mode { kFine, kSilent, kDown, kStale };
  StandInDiscovery(EventLoop& loop, Sender sender, ListFor list)
      : Server(loop), sender_(std::move(sender)), list_(std::move(list)) {}
  // The entries changed since a version, as JSON; none: too long ago, only the whole list will do.
  using ChangesSince = std::function<std::optional<std::string>(std::uint64_t after)>;
  // Told of each call that names the version its sink holds: that one, and all before, it has taken.
  using Holds = std::function<void(std::uint64_t version)>;
  void Tell(ChangesSince changes, Holds holds) {
    changes_ = std::move(changes);
    holds_ = std::move(holds);
  }
  void Changed();  // the list has a new version: all who watch are told
  void Set(const std::string& who, Mode mode);
  std::uint64_t version() const { return version_; }
  std::uint64_t calls() const { return calls_; }

 private:
  struct Watcher {
    std::string who;
    std::uint64_t after = 0;
    EventLoop::TimerKey timer{0, 0};
  };
  void Take(ConnId conn, http::MessageRef request) override;
  void Gone(ConnId conn) override;
  void Tell(ConnId conn, const std::string& who, std::uint64_t after);

  Sender sender_;
  ListFor list_;
  ChangesSince changes_;
  Holds holds_;
  std::uint64_t version_ = 1;
  std::uint64_t calls_ = 0;
  std::map<ConnId, Watcher> watchers_;
  std::map<std::string, Mode> modes_;
  std::map<std::string, std::pair<std::uint64_t, std::string>> stale_;
};

// Open-loop calls to one process: a new one when its time has come, whether or not the last was answered.
class Clients {
 public:
  static constexpr Micros kPatience = 5'000'000;
  Clients(EventLoop& loop, Ledger& ledger, std::string to, double per_second, double work_ms, bool hints,
          std::uint64_t seed);
  ~Clients();
  void Start(const Endpoint& where);
  void Stop();                                  // no new calls; open ones end as they end
  void Burst(double times) { times_ = times; }  // of the usual calls, from the next on

 private:
  struct Call;
  void Next();
  void Begin();
  void End(std::uint64_t id, Fared fared);

  EventLoop& loop_;
  Ledger& ledger_;
  std::string to_;
  double per_second_;
  double work_ms_;
  bool hints_;
  double times_ = 1;
  pcg64 random_;
  Endpoint where_;
  bool running_ = false;
  Timer next_;
  Micros due_ = 0;
  std::uint64_t ids_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Call>> calls_;
};

// GETs and PUTs to consoles and to the rig's own processes. One that is open when this goes, goes with it,
// unanswered.
class Questions {
 public:
  explicit Questions(EventLoop& loop);
  ~Questions();
  // `done` gets the status (0: no answer in time) and the body, once.
  void Put(const Endpoint& where, const std::string& method, const std::string& target, Micros patience,
           std::function<void(int, std::string)> done);

 private:
  struct Question;
  void End(std::uint64_t id, int status, std::string body);
  EventLoop& loop_;
  std::uint64_t ids_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Question>> open_;
};

}  // namespace dappletiller::rig

#endif  // DAPPLETILLER_RIG_STANDINS_HPP_
