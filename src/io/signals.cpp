#include "io/signals.hpp"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace dappletiller {
namespace {

sigset_t WatchedSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, signal);
  return set;
}

}  // namespace

void SignalWatcher::Block() {
  const sigset_t set = WatchedSignals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
}

SignalWatcher::~SignalWatcher() {
  if (signals_) loop_.Unwatch(watch_, signals_.get());
}

void SignalWatcher::Start() {
  const sigset_t set = WatchedSignals();
  signals_ = FileDescriptor(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!signals_) throw std::system_error(errno, std::generic_category(), "signalfd");
  watch_ = loop_.Watch(signals_.get(), this);
  if (watch_ == 0) throw std::system_error(errno, std::generic_category(), "signalfd: epoll_ctl");
}

void SignalWatcher::OnReady(std::uint32_t) {
  signalfd_siginfo info;
  bool reload = false;
  bool stop = false;
  while (::read(signals_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
    (info.ssi_signo == SIGHUP ? reload : stop) = true;
  }
  if (reload) handler_.OnReloadSignal();
  if (stop) handler_.OnStopSignal();
}

}  // namespace dappletiller
