#include "proxy/proxy.hpp"

#include <csignal>
#include <exception>
#include <utility>

#include "admin/console.hpp"
#include "io/log.hpp"
#include "io/signals.hpp"
#include "proxy/console_commands.hpp"
#include "proxy/drain_state_storage.hpp"
#include "proxy/environment.hpp"
#include "proxy/graceful_shutdown.hpp"
#include "proxy/parts.hpp"
#include "proxy/reload.hpp"

namespace dappletiller {
namespace {

class Proxy final : private SignalHandler {
 public:
  Proxy(Log& log, Config config, const std::string& operator_path)
      : parts_(log, std::move(config), operator_path),
        signals_(parts_.loop, *this),
        drain_state_(log, parts_.config.name),
        commands_(parts_, drain_state_),
        console_(parts_.loop, log, commands_),
        shutdown_(parts_) {}

  void Run() {
    Log& log = parts_.log;
    signals_.Start();
    if (auto drains = drain_state_.Load()) parts_.dispatcher.RestoreDrains(std::move(*drains));
    parts_.Start();
    if (const auto where = ConsoleEndpoint(parts_.config)) {
      console_.Listen(*where);
      log.Important("console on port %u", console_.port());
    }
    StartMembership();
    if (parts_.feed) parts_.feed->client.Start();
    log.Important("started as %s on port %u with %zu workers known", parts_.config.name.c_str(),
                  parts_.listener.port(), parts_.config.known.entries.size());
    parts_.loop.Run();
    log.Important("stopped");
  }

 private:
  void StartMembership() {
    if (!parts_.membership) return;
    parts_.membership->Start();
    const membership::MemberRecord& self = parts_.membership->membership().self();
    parts_.log.Important("fleet on port %u as %s at %s", parts_.membership->port(), self.name.c_str(),
                         self.address.c_str());
  }

  void OnReloadSignal() override { Reload(&parts_); }
  void OnStopSignal() override {
    if (shutdown_.has_begun()) return;
    commands_.OnShutdown();
    shutdown_.Begin();
  }

  ProxyParts parts_;
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
