// Rate-limited logging through spdlog: lines to a stream, as text or as JSON.
//
// A burst of kBurst lines is written, then kLinesPerSecond; the number of dropped lines is added to the next
// line. Without a limit, a fault that repeats with every request would flood the log and use up the
// processor. Formats are those of printf; lines are truncated at 511 bytes. Not thread-safe.
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

  // Logs as text, from level info. `to` must outlive the log; `name` is part of each line.
  Log(std::FILE* to, const char* name);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  void Write(Level level, const char* format, ...) __attribute__((format(printf, 3, 4)));
  // At level info.
  void Info(const char* format, ...) __attribute__((format(printf, 2, 3)));
  // At level info and not rate-limited: for lines that are written once per process, or in response to an
  // operator.
  void Important(const char* format, ...) __attribute__((format(printf, 2, 3)));

  // kText: lines of "name: text"; kJson: lines of JSON objects with the keys at (UTC), level, name, text.
  // Lines below `min_level` are neither written nor counted.
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
  long dropped_lines_ = 0;   // lines dropped since the last one written
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_IO_LOG_HPP_
