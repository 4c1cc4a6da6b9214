#include "control_server/control_server.hpp"

#include <sys/resource.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <exception>
#include <fstream>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <tuple>

#include "config/operator_file.hpp"
#include "config/section.hpp"
#include "config_feed/client/settings_feed.hpp"
#include "config_feed/control_machine.hpp"
#include "config_feed/origin.hpp"
#include "control_server/feed_server.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"

namespace dappletiller {
namespace {

constexpr Micros kLookEvery = 500'000;     // at the origin's file
constexpr Micros kRetryPublish = 100'000;  // until it is known what the others hold

sigset_t OurSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, signal);
  return set;
}

feed::FollowerOptions Following(const operators::ControlOptions& options, const EventLoop& loop) {
  feed::FollowerOptions following;
  following.self = options.name;
  following.others = options.others;
  following.seed = static_cast<std::uint64_t>(loop.Now()) ^ static_cast<std::uint64_t>(::getpid());
  return following;
}

class Machine final : private EventHandler, private SettingsSink {
 public:
  Machine(Log& log, const operators::ControlOptions& options)
      : log_(log),
        options_(options),
        machine_(Following(options, loop_), static_cast<std::size_t>(options.places)),
        server_(loop_, log_, machine_),
        feed_(loop_, log_, machine_.follower(), options.name, *this),
        look_(loop_),
        publish_(loop_) {
    if (!options_.origin.empty()) origin_.emplace(options_.origin);
  }

  void Run() {
    sigset_t set = OurSignals();
    signals_ = FileDescriptor(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    loop_.Watch(signals_.get(), this);
    server_.Listen(options_.bind);
    log_.Important("control on port %u as %s%s", server_.port(), options_.name.c_str(),
                   origin_ ? (", origin of " + options_.origin).c_str() : "");
    feed_.Start();
    if (origin_) Look(true);
    loop_.Run();
    log_.Important("stopped");
  }

 private:
  void OnReady(std::uint32_t) override {
    signalfd_siginfo info;
    while (::read(signals_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
      if (info.ssi_signo != SIGHUP) return loop_.Stop();
      if (origin_) Look(true);
    }
  }

  // Another machine told something: on to who waits here.
  void SettingsChanged(const std::vector<feed::Change>& changes) override {
    std::set<std::string, std::less<>> services;
    for (const feed::Change& change : changes) services.emplace(feed::ReadKey(change.key)->service);
    server_.Changed(services);
  }

  using Stamp = std::tuple<std::int64_t, std::int64_t, std::int64_t, std::uint64_t>;

  void Look(bool anyway) {
    look_.Set(kLookEvery, [this] { Look(false); });
    struct stat info {};
    Stamp stamp;
    if (::stat(options_.origin.c_str(), &info) == 0)
      stamp = {info.st_mtim.tv_sec, info.st_mtim.tv_nsec, info.st_size, info.st_ino};
    if (!anyway && stamp == stamp_) return;
    stamp_ = stamp;
    std::ifstream file(options_.origin, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
      log_.Write(Log::Level::kWarn, "origin: %s: cannot be read; serial %llu stays", options_.origin.c_str(),
                 Serial());
      return;
    }
    try {
      feed::Origin::Reading reading = origin_->Read(text.str());
      fresh_ = std::move(reading.changes);
    } catch (const feed::OriginError& e) {
      log_.Write(Log::Level::kWarn, "origin: %s; serial %llu stays", e.what(), Serial());
      return;
    }
    Publish();
  }

  void Publish() {
    std::set<std::string, std::less<>> touched;
    std::size_t count = 0;
    auto differ = [&](bool whole) {
      // What a reading that was not published said has to be said now.
      std::vector<feed::Change> changes = whole || skipped_ ? origin_->Against(machine_.store()) : fresh_;
      count = changes.size();
      return changes;
    };
    std::uint64_t held = Serial();
    auto published = machine_.Publish(loop_.Now(), origin_->serial(), differ,
                                      static_cast<std::uint64_t>(loop_.Now()), &touched);
    using Published = feed::ControlMachine::Published;
    if (published == Published::kNotYet) {
      skipped_ = true;
      publish_.Set(kRetryPublish, [this] { Publish(); });
      return;
    }
    skipped_ = published != Published::kDone && published != Published::kAlready;
    unsigned long long serial = origin_->serial();
    if (published == Published::kDone) {
      log_.Info("origin: serial %llu published, %zu entries changed, %zu in all", serial, count,
                machine_.store().size());
      feed_.Renew();
      server_.Changed(touched);
    } else if (published == Published::kAlready && held != 0) {
      log_.Info("origin: serial %llu is what all hold", serial);
    } else if (published == Published::kOld) {
      log_.Write(
          Log::Level::kWarn,
          "origin: %s: serial %llu is below the fleet's, %llu: this machine follows; bring the file up to "
          "date and raise it",
          options_.origin.c_str(), serial, static_cast<unsigned long long>(held));
    } else if (published == Published::kDiffers) {
      log_.Write(Log::Level::kWarn,
                 "origin: %s: serial %llu is in force with other entries: this machine follows; raise it if "
                 "this file is the right one",
                 options_.origin.c_str(), serial);
    }
  }

  unsigned long long Serial() const { return machine_.store().head().serial; }

  Log& log_;
  operators::ControlOptions options_;
  EventLoop loop_;
  feed::ControlMachine machine_;
  FeedServer server_;
  SettingsFeed feed_;
  std::optional<feed::Origin> origin_;
  std::vector<feed::Change> fresh_;
  bool skipped_ = false;  // a reading was not published
  Stamp stamp_;
  Timer look_;
  Timer publish_;
  FileDescriptor signals_;
};

// Each follower holds a connection here.
void RaiseDescriptors() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace

int Control(const std::string& operator_path) {
  Log log(stderr, "dappletiller");
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t set = OurSignals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
  try {
    operators::OperatorFile file = operators::LoadOperatorFile(operator_path);
    if (!file.control)
      throw operators::OperatorError(operator_path +
                                     ":1: control: is missing; add [control] with name and bind");
    log.Configure(file.log_json ? Log::Format::kJson : Log::Format::kText, Log::ParseLevel(file.log_level));
    RaiseDescriptors();
    Machine machine(log, *file.control);
    machine.Run();
    return 0;
  } catch (const operators::OperatorError& e) {
    log.Info("cannot start: %s", e.what());
    return 2;
  } catch (const std::exception& e) {
    log.Info("cannot start: %s", e.what());
    return 1;
  }
}

}  // namespace dappletiller
