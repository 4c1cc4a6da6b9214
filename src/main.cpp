// dappletiller: the proxy. Reads its configuration, starts the parts, handles signals.
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <sstream>
#include <string>

#include "net/acceptor.hpp"
#include "net/budget.hpp"
#include "net/config.hpp"
#include "net/discovery.hpp"
#include "net/gateway.hpp"
#include "net/log.hpp"
#include "net/loop.hpp"
#include "net/worker.hpp"

namespace dappletiller {
namespace {

constexpr Micros kStopAccepting = 500'000;  // after SIGTERM: by then the front sends nobody here any more
constexpr Micros kLookEvery = 10'000;       // whether all is answered

constexpr std::size_t kOwnDescriptors = 16;  // listener, discovery, epoll, standard streams and some more
constexpr std::size_t kKeptPart = 8;         // one in so many connections is kept for clients
constexpr std::size_t kPlacesPart = 3;  // one in so many descriptors is the most that clients hold for calls

Config Load() {
  const char* path = std::getenv("BALANCER_CONFIG");
  if (path == nullptr) throw ConfigError("BALANCER_CONFIG is not set");
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw ConfigError(std::string(path) + " cannot be read");
  return ParseConfig(text.str());
}

class Proxy final : private EventSink {
 public:
  Proxy(Log& log, Config config)
      : log_(log),
        config_(std::move(config)),
        gateway_(loop_, log_, config_.settings),
        budget_(config_.sockets - kOwnDescriptors, config_.sockets / kKeptPart),
        workers_(loop_, log_, gateway_, budget_, Reaching(config_)),
        acceptor_(loop_, log_, gateway_, budget_, Accepting(config_)),
        discovery_(loop_, log_, gateway_,
                   {config_.discovery, config_.discovery_text, config_.names, config_.known.version,
                    config_.settings.ask_within}),
        drain_timer_(loop_) {
    gateway_.Connect(workers_, discovery_);
  }

  void Run() {
    CatchSignals();
    acceptor_.Listen();
    gateway_.Learn(config_.known);
    log_.Line("started as %s on port %u with %zu workers known", config_.name.c_str(), acceptor_.port(),
              config_.known.entries.size());
    loop_.Run();
    log_.Line("stopped");
  }

 private:
  static AcceptorOptions Accepting(const Config& config) {
    AcceptorOptions options;
    options.listen = config.listen;
    options.places = config.sockets / kPlacesPart;
    options.classes = config.classes;
    for (const auto& c : config.settings.classes) {
      options.patience.push_back(c.deadline);
      options.effects.push_back(c.effect);
    }
    return options;
  }

  static WorkerLimits Reaching(const Config& config) { return {config.dial_timeout, config.idle_timeout}; }

  void CatchSignals() {
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    signals_ = Fd(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
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
    log_.Line("leaving: %zu calls open, %zu client connections", gateway_.open_calls(),
              acceptor_.connections());
    acceptor_.Drain();
    drain_timer_.Set(kStopAccepting, [this] { Leave(); });
  }

  // The configuration anew, with all calls and connections kept. What the module was made with, and the
  // address that clients know, can change only with a restart.
  void Reload() {
    Config fresh;
    try {
      fresh = Load();
    } catch (const std::exception& e) {  // guards against a bad file ending a proxy that serves
      log_.Line("reload: the old configuration stays: %s", e.what());
      return;
    }
    bool later = fresh.settings_text != config_.settings_text || !(fresh.listen == config_.listen);
    bool moved = !(fresh.discovery == config_.discovery);
    budget_.Resize(fresh.sockets - kOwnDescriptors, fresh.sockets / kKeptPart);
    acceptor_.Resize(fresh.sockets / kPlacesPart);
    workers_.SetLimits(Reaching(fresh));
    if (moved) discovery_.Move(fresh.discovery, fresh.discovery_text);
    log_.Line("reload: done, discovery %s %s%s", moved ? "moves to" : "stays at",
              fresh.discovery_text.c_str(), later ? "; the rest of what changed needs a restart" : "");
    // The module goes on with the settings and the listener that it has.
    config_.discovery = fresh.discovery;
  }

  // Ends once all that was taken is answered and written.
  void Leave() {
    acceptor_.Close();
    if (gateway_.open_calls() == 0 && acceptor_.connections() == 0) return loop_.Stop();
    drain_timer_.Set(kLookEvery, [this] { Leave(); });
  }

  Log& log_;
  Config config_;
  Loop loop_;
  Gateway gateway_;
  Budget budget_;
  WorkerLinks workers_;
  Acceptor acceptor_;
  Discovery discovery_;
  Fd signals_;
  Timer drain_timer_;
  bool stopping_ = false;
};

}  // namespace
}  // namespace dappletiller

int main() {
  dappletiller::Log log(stderr, "dappletiller");
  try {
    dappletiller::Proxy proxy(log, dappletiller::Load());
    proxy.Run();
    return 0;
  } catch (const std::exception& e) {
    log.Line("cannot start: %s", e.what());
    return 1;
  }
}
