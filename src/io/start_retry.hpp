// Decides whether the start of a process is tried again after a system call has failed.
//
// A call may fail for a moment: many processes that start together lack descriptors, and a predecessor that
// was killed may still hold the address. An error that does not pass, or lasts too long, ends the start.
#ifndef DAPPLETILLER_IO_START_RETRY_HPP_
#define DAPPLETILLER_IO_START_RETRY_HPP_

#include <string>
#include <system_error>

#include "base/time.hpp"
#include "io/log.hpp"

namespace dappletiller {

class StartRetry {
 public:
  // `log` must outlive it.
  explicit StartRetry(Log& log) : log_(log) {}

  // Waits a little and returns true if the start is to be tried again.
  bool MayTryAgain(const std::system_error& error);
  // Logs what had failed before, if anything.
  void OnStarted();

 private:
  Log& log_;
  Micros waited_ = 0;
  std::string last_failure_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_START_RETRY_HPP_
