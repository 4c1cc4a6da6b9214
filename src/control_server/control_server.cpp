#include "control_server/control_server.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "config/operator_file.hpp"
#include "config/section.hpp"
#include "config_feed/client/feed_client.hpp"
#include "config_feed/config_server.hpp"
#include "control_server/feed_server.hpp"
#include "control_server/origin_publisher.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"
#include "io/signals.hpp"
#include "io/start_retry.hpp"

namespace dappletiller {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitCannotStart = 1;
constexpr int kExitBadFile = 2;

config_feed::FollowerOptions MakeFollowerOptions(const operators::ControlOptions& options,
                                                 const EventLoop& loop) {
  config_feed::FollowerOptions follower;
  follower.self = options.name;
  follower.others = options.others;
  follower.seed = static_cast<std::uint64_t>(loop.Now()) ^ static_cast<std::uint64_t>(::getpid());
  return follower;
}

// Connects the parts: answers followers, follows the other replicas, and publishes the origin's file if there
// is one.
class ControlServer final : private SettingsObserver, private SignalHandler {
 public:
  ControlServer(Log& log, const operators::ControlOptions& options)
      : log_(log),
        options_(options),
        signals_(loop_, *this),
        config_server_(MakeFollowerOptions(options, loop_), static_cast<std::size_t>(options.snapshot_slots)),
        feed_server_(loop_, log_, config_server_),
        feed_client_(loop_, log_, config_server_.follower(), options.name, *this) {
    if (options_.origin.empty()) return;
    origin_.emplace(loop_, log_, config_server_, options_.origin,
                    [this](const config_feed::ServiceSet& touched) {
                      feed_client_.RestartRequest();
                      feed_server_.NotifyChanged(touched);
                    });
  }

  // Throws std::system_error.
  void Start() {
    signals_.Start();
    feed_server_.Listen(options_.bind);
    log_.Important("control on port %u as %s%s", feed_server_.port(), options_.name.c_str(),
                   origin_ ? (", origin of " + origin_->path()).c_str() : "");
    feed_client_.Start();
    if (origin_) origin_->Read();
  }

  void Run() {
    loop_.Run();
    log_.Important("stopped");
  }

 private:
  void OnReloadSignal() override {
    if (origin_) origin_->Read();
  }
  void OnStopSignal() override { loop_.Stop(); }

  // Passes changes from another replica on to waiting followers.
  void OnSettingsChanged(const std::vector<config_feed::Change>& changes) override {
    config_feed::ServiceSet services;
    for (const config_feed::Change& change : changes) {
      services.emplace(config_feed::ParseKey(change.key)->service);
    }
    feed_server_.NotifyChanged(services);
  }

  Log& log_;
  operators::ControlOptions options_;
  EventLoop loop_;
  SignalWatcher signals_;
  config_feed::ConfigServer config_server_;
  FeedServer feed_server_;
  FeedClient feed_client_;
  std::optional<OriginPublisher> origin_;
};

// Each follower uses a connection.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

operators::OperatorFile LoadFile(const std::string& path) {
  operators::OperatorFile file = operators::LoadOperatorFile(path);
  if (!file.control) {
    throw operators::OperatorError(path + ":1: control: is missing; add [control] with name and bind");
  }
  return file;
}

std::unique_ptr<ControlServer> StartControlServer(Log& log, const std::string& operator_path) {
  for (StartRetry retry(log);;) {
    try {
      const operators::OperatorFile file = LoadFile(operator_path);
      log.Configure(file.log_json ? Log::Format::kJson : Log::Format::kText, Log::ParseLevel(file.log_level));
      RaiseDescriptorLimit();
      auto server = std::make_unique<ControlServer>(log, *file.control);
      server->Start();
      retry.OnStarted();
      return server;
    } catch (const std::system_error& error) {
      if (!retry.MayTryAgain(error)) throw;
    }
  }
}

}  // namespace

int RunControlServer(const std::string& operator_path) {
  Log log(stderr, "dappletiller");
  std::signal(SIGPIPE, SIG_IGN);
  SignalWatcher::Block();
  try {
    StartControlServer(log, operator_path)->Run();
    return kExitOk;
  } catch (const operators::OperatorError& error) {
    log.Info("cannot start: %s", error.what());
    return kExitBadFile;
  } catch (const std::exception& error) {
    log.Info("cannot start: %s", error.what());
    return kExitCannotStart;
  }
}

}  // namespace dappletiller
