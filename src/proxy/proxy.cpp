#include "proxy/proxy.hpp"

#include <csignal>
#include <exception>
#include <utility>

#include "admin/console.hpp"
#include "io/log.hpp"
#include "io/signals.hpp"
#include "proxy/components.hpp"
#include "proxy/console_commands.hpp"
#include "proxy/drain_state_storage.hpp"
#include "proxy/environment.hpp"
#include "proxy/graceful_shutdown.hpp"
#include "proxy/reload.hpp"

namespace dappletiller {
namespace {

class Proxy final : private SignalHandler {
 public:
  Proxy(Log& log, Config config, const std::string& operator_path)
      : components_(log, std::move(config), operator_path),
        signals_(components_.loop, *this),
        drain_state_(log, components_.config.name),
        commands_(components_, drain_state_),
        console_(components_.loop, log, commands_),
        shutdown_(components_) {}

  void Run() {
    Log& log = components_.log;
    signals_.Start();
    if (auto drains = drain_state_.Load()) components_.dispatcher.RestoreDrains(std::move(*drains));
    components_.Start();
    if (const auto where = ConsoleEndpoint(components_.config)) {
      console_.Listen(*where);
      log.Important("console on port %u", console_.port());
    }
    StartMembership();
    if (components_.feed) components_.feed->client.Start();
    log.Important("started as %s on port %u with %zu servers known", components_.config.name.c_str(),
                  components_.listener.port(), components_.config.known.entries.size());
    components_.loop.Run();
    log.Important("stopped");
  }

 private:
  void StartMembership() {
    if (!components_.membership) return;
    components_.membership->Start();
    const membership::MemberRecord& self = components_.membership->membership().self();
    components_.log.Important("fleet on port %u as %s at %s", components_.membership->port(),
                              self.name.c_str(), self.address.c_str());
  }

  void OnReloadSignal() override { Reload(&components_); }
  void OnStopSignal() override {
    if (shutdown_.has_begun()) return;
    commands_.OnShutdown();
    shutdown_.Begin();
  }

  ProxyComponents components_;
  SignalWatcher signals_;
  DrainStateStorage drain_state_;
  ConsoleCommands commands_;
  Console console_;
  GracefulShutdown shutdown_;
};

}  // namespace

int Serve(const std::string& operator_path) {
  Log log(stderr, "dappletiller");
  std::signal(SIGPIPE, SIG_IGN);
  SignalWatcher::Block();
  try {
    Proxy proxy(log, LoadConfig(), operator_path);
    proxy.Run();
    return 0;
  } catch (const std::exception& error) {
    log.Info("cannot start: %s", error.what());
    return 1;
  }
}

}  // namespace dappletiller
