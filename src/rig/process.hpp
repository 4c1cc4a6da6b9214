// One child process of the rig: its start, its signals, its lines of log, its end. Dies with the rig, however
// that ends: the kernel kills it (PR_SET_PDEATHSIG) when the rig's thread is gone.
#ifndef DAPPLETILLER_RIG_PROCESS_HPP_
#define DAPPLETILLER_RIG_PROCESS_HPP_

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "io/event_loop.hpp"

namespace dappletiller::rig {

class Process final : private EventHandler {
 public:
  using OnLine = std::function<void(const std::string&)>;
  Process(EventLoop& loop, OnLine on_line) : loop_(loop), on_line_(std::move(on_line)) {}
  ~Process();
  // Throws std::system_error. `environment`: NAME=VALUE, the whole of it.
  void Start(const std::vector<std::string>& words, const std::vector<std::string>& environment);
  void Signal(int number);
  // Collects it if it has ended; true once it runs no longer. `code`: exit code, or 128 and the signal.
  bool Ended(int* code);
  // Takes what it has logged up to now.
  void Drain() { OnReady(0); }
  bool running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }
  long ResidentKb() const;
  double CpuSeconds() const;

 private:
  void OnReady(std::uint32_t) override;

  EventLoop& loop_;
  OnLine on_line_;
  pid_t pid_ = -1;
  FileDescriptor out_;
  EventLoop::WatchId token_ = 0;
  std::string text_;
};

}  // namespace dappletiller::rig

#endif  // DAPPLETILLER_RIG_PROCESS_HPP_
