// Delivers the signals that operators send to a process as events on the event loop.
#ifndef DAPPLETILLER_IO_SIGNALS_HPP_
#define DAPPLETILLER_IO_SIGNALS_HPP_

#include "io/event_loop.hpp"
#include "io/file_descriptor.hpp"

namespace dappletiller {

class SignalHandler {
 public:
  virtual void OnReloadSignal() = 0;  // SIGHUP
  virtual void OnStopSignal() = 0;    // SIGTERM or SIGINT

 protected:
  ~SignalHandler() = default;
};

class SignalWatcher final : private EventHandler {
 public:
  // Blocks these signals until a watcher reads them. Must be called first: a signal received during the start
  // stays pending, whereas the default action of SIGHUP would end the process.
  static void Block();

  // Both must outlive the watcher.
  SignalWatcher(EventLoop& loop, SignalHandler& handler) : loop_(loop), handler_(handler) {}
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;
  // Starts delivering signals. Several signals of one kind count as one; a reload is delivered before a stop.
  // Throws std::system_error.
  void Start();

 private:
  void OnReady(std::uint32_t events) override;

  EventLoop& loop_;
  SignalHandler& handler_;
  FileDescriptor signals_;
  EventLoop::WatchId watch_ = 0;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_SIGNALS_HPP_
