#include "proxy/proxy.hpp"

#include <csignal>
#include <exception>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

#include "admin/console.hpp"
#include "io/log.hpp"
#include "io/signals.hpp"
#include "io/start_retry.hpp"
#include "proxy/components.hpp"
#include "proxy/console_commands.hpp"
#include "proxy/drain_state_storage.hpp"
#include "proxy/environment.hpp"
#include "proxy/graceful_shutdown.hpp"
#include "proxy/reload.hpp"
#include "proxy/resource_log.hpp"
#include "proxy/shared_sent_id_file.hpp"

namespace dappletiller {
namespace {

constexpr Micros kReloadRetryDelay = 20'000;  // while a file cannot be read
constexpr Micros kMaxReloadTime = 3'000'000;

class Proxy final : private SignalHandler {
 public:
  Proxy(Log& log, Config config, const std::string& operator_path)
      : components_(log, std::move(config), operator_path),
        signals_(components_.loop, *this),
        drain_state_(components_.loop, log, components_.config.name,
                     [this](const drain::AdministrativeDrains& drains) {
                       components_.dispatcher.AdoptDrains(drains);
                     }),
        sent_ids_(components_.loop, log, components_.config.name),
        commands_(components_, drain_state_),
        console_(components_.loop, log, commands_),
        shutdown_(components_, drain_state_),
        reload_retry_(components_.loop),
        resource_log_(components_) {}

  // Throws std::system_error, ConfigError or another exception if the proxy cannot serve.
  void Start() {
    Log& log = components_.log;
    signals_.Start();
    drain_state_.Load();
    components_.Start();
    // With an inherited socket another process may serve beside this one, in an upgrade.
    if (components_.listener.inherited()) {
      drain_state_.FollowOtherProcesses();
      components_.dispatcher.ShareSentIds(sent_ids_);
    }
    if (const auto where = ConsoleEndpoint(components_.config)) {
      console_.Listen(*where);
      log.Important("console on port %u", console_.port());
    }
    StartMembership();
    if (components_.feed) components_.feed->client.Start();
    log.Important("started as %s on port %u with %zu servers known", components_.config.name.c_str(),
                  components_.listener.port(), components_.config.known.entries.size());
  }

  void Run() {
    resource_log_.Start();
    components_.loop.Run();
    components_.log.Important("stopped");
  }

 private:
  void StartMembership() {
    if (!components_.membership) return;
    components_.membership->Start();
    const membership::MemberRecord& self = components_.membership->membership().self();
    components_.log.Important("fleet on port %u as %s at %s", components_.membership->port(),
                              self.name.c_str(), self.address.c_str());
  }

  void OnReloadSignal() override {
    reload_until_ = components_.loop.Now() + kMaxReloadTime;
    TryReload();
  }

  void TryReload() {
    try {
      Reload(&components_);
      reload_retry_.Clear();
    } catch (const std::system_error& error) {
      const bool again = components_.loop.Now() < reload_until_;
      components_.log.Important("reload: %s; %s", error.what(),
                                again ? "trying again" : "the old configuration stays");
      if (again) reload_retry_.Set(kReloadRetryDelay, [this] { TryReload(); });
    }
  }

  void OnStopSignal() override {
    if (shutdown_.has_begun()) return;
    commands_.OnShutdown();
    shutdown_.Begin();
  }

  ProxyComponents components_;
  SignalWatcher signals_;
  DrainStateStorage drain_state_;
  SharedSentIdFile sent_ids_;
  ConsoleCommands commands_;
  Console console_;
  GracefulShutdown shutdown_;
  Timer reload_retry_;
  ResourceLog resource_log_;
  Micros reload_until_ = 0;  // time of the last attempt to read the files
};

std::unique_ptr<Proxy> StartProxy(Log& log, const std::string& operator_path) {
  for (StartRetry retry(log);;) {
    try {
      auto proxy = std::make_unique<Proxy>(log, LoadConfig(), operator_path);
      proxy->Start();
      retry.OnStarted();
      return proxy;
    } catch (const std::system_error& error) {
      if (!retry.MayTryAgain(error)) throw;
    }
  }
}

}  // namespace

int Serve(const std::string& operator_path) {
  Log log(stderr, "dappletiller");
  std::signal(SIGPIPE, SIG_IGN);
  SignalWatcher::Block();
  std::unique_ptr<Proxy> proxy;
  try {
    proxy = StartProxy(log, operator_path);
  } catch (const std::exception& error) {
    log.Important("cannot start: %s", error.what());
    return 1;
  }
  try {
    proxy->Run();
  } catch (const std::exception& error) {
    log.Important("ended by an error: %s", error.what());
    return 1;
  }
  return 0;
}

}  // namespace dappletiller
