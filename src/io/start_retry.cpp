#include "io/start_retry.hpp"

#include <cerrno>
#include <chrono>
#include <thread>

#include "io/transient_error.hpp"

namespace dappletiller {
namespace {

constexpr Micros kDelay = 20'000;
constexpr Micros kMaxWait = 20'000'000;
constexpr Micros kMaxWaitForAddress = 3'000'000;  // another process may hold it for good
constexpr double kMicrosPerSecond = 1e6;

Micros MaxWaitAfter(int error) {
  if (error == EADDRINUSE) return kMaxWaitForAddress;
  return IsShortage(error) ? kMaxWait : 0;
}

}  // namespace

bool StartRetry::MayTryAgain(const std::system_error& error) {
  if (waited_ >= MaxWaitAfter(error.code().value())) return false;
  last_failure_ = error.what();
  std::this_thread::sleep_for(std::chrono::microseconds(kDelay));
  waited_ += kDelay;
  return true;
}

void StartRetry::OnStarted() {
  if (last_failure_.empty()) return;
  log_.Important("start: succeeded after %.2f s of failures; the last: %s",
                 static_cast<double>(waited_) / kMicrosPerSecond, last_failure_.c_str());
}

}  // namespace dappletiller
