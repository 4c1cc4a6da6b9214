// The one function through which everything is logged; spdlog carries it out. Lines to a stream, at most
// kBurst at once and kPerSecond over time; what was left out is counted in the next line. Guards against a
// fault that repeats with every request filling the log and the processor.
#ifndef DAPPLETILLER_IO_LOG_HPP_
#define DAPPLETILLER_IO_LOG_HPP_

#include <cstdarg>
#include <cstdio>
#include <memory>
#include <string>

#include "base/time.hpp"

namespace spdlog {
class logger;
}

namespace dappletiller {

class Log {
 public:
  enum class Level { kDebug, kInfo, kWarn, kError };

  Log(std::FILE* to, const char* name);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  // At info.
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3)));
  // At info, and never left out: for lines that others wait for and that come once in a process's life, or as
  // the answer to an operator's signal.
  void Always(const char* format, ...) __attribute__((format(printf, 2, 3)));
  void At(Level level, const char* format, ...) __attribute__((format(printf, 3, 4)));
  // "name: text" a line, or one JSON object a line: time (UTC), level, name, text. Lines below `least` are
  // neither written nor counted.
  void Shape(bool json, Level least);
  static Level ParseLevel(const std::string& word);  // info for a word it doesn't know

 private:
  static constexpr double kBurst = 40;
  static constexpr double kPerSecond = 5;
  bool Wanted(Level level);
  void Write(Level level, const char* format, std::va_list args);

  std::unique_ptr<spdlog::logger> logger_;
  std::string name_;
  bool json_ = false;
  Level least_ = Level::kInfo;
  double left_ = kBurst;
  Micros at_ = 0;
  long left_out_ = 0;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_LOG_HPP_
