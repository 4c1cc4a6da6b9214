// The one function through which everything is logged.
#ifndef DAPPLETILLER_NET_LOG_HPP_
#define DAPPLETILLER_NET_LOG_HPP_

#include <cstdio>

#include "net/types.hpp"

namespace dappletiller {

// Lines to a stream, at most kBurst at once and kPerSecond over time; what was left out is counted in the
// next line. Guards against a fault that repeats with every request filling the log and the processor.
class Log {
 public:
  Log(std::FILE* to, const char* name) : to_(to), name_(name) {}
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3)));

 private:
  static constexpr double kBurst = 40;
  static constexpr double kPerSecond = 5;
  std::FILE* to_;
  const char* name_;
  double left_ = kBurst;
  Micros at_ = 0;
  long left_out_ = 0;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_NET_LOG_HPP_
