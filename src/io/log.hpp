// Logging, carried out by spdlog: lines to a stream, as text or as JSON.
//
// A burst of kBurst lines passes, then kLinesPerSecond; what is left out is counted in the next line that
// passes. Without that a fault that repeats with every request would fill the log and the processor. Formats
// are those of printf; a line is cut at 511 bytes. Not thread-safe.
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
  enum class Format { kText, kJson };

  // Text, from info up. `to` has to outlive it; `name` stands in each line.
  Log(std::FILE* to, const char* name);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  void Write(Level level, const char* format, ...) __attribute__((format(printf, 3, 4)));
  // At level info.
  void Info(const char* format, ...) __attribute__((format(printf, 2, 3)));
  // At level info, and never left out for the rate: lines that others wait for and that come once in a
  // process's life, or as the answer to an operator's signal.
  void Important(const char* format, ...) __attribute__((format(printf, 2, 3)));

  // kText: "name: text" a line; kJson: an object a line with the keys at (UTC), level, name, text. Lines
  // below `min_level` are neither written nor counted.
  void Configure(Format format, Level min_level);
  // "debug", "warn" or "error"; anything else is info.
  static Level ParseLevel(const std::string& word);

 private:
  static constexpr double kBurst = 40;
  static constexpr double kLinesPerSecond = 5;

  bool Admit(Level level);
  void Emit(Level level, const char* format, std::va_list args);

  std::unique_ptr<spdlog::logger> logger_;
  Level min_level_ = Level::kInfo;
  double tokens_ = kBurst;
  Micros last_line_at_ = 0;  // 0: none yet
  long left_out_ = 0;        // lines since the last that passed
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_LOG_HPP_
