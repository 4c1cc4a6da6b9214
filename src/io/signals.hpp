// The signals that operators send to a process, as events on the event loop.
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
  // Keeps these signals for a watcher. To be called before anything else: one that comes while the process
  // starts then waits for the watcher, where SIGHUP's default would end the process.
  static void Block();

  // Both must outlive it.
  SignalWatcher(EventLoop& loop, SignalHandler& handler) : loop_(loop), handler_(handler) {}
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;
  // Signals are delivered from here on, several of one kind as one, a reload before a stop.
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
