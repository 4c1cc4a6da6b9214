#include "io/log.hpp"

#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdarg>
#include <utility>

namespace dappletiller {
namespace {

// Writes to any stream; tests use their own.
class StreamSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit StreamSink(std::FILE* to) : to_(to) {}

 private:
  void sink_it_(const spdlog::details::log_msg& msg) override {
    spdlog::memory_buf_t text;
    formatter_->format(msg, text);
    std::fwrite(text.data(), 1, text.size(), to_);
    std::fflush(to_);
  }
  void flush_() override { std::fflush(to_); }
  std::FILE* to_;
};

// Formats the text as the contents of a JSON string.
class JsonText final : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& msg, const std::tm&, spdlog::memory_buf_t& dest) override {
    for (char c : msg.payload) {
      auto byte = static_cast<unsigned char>(c);
      if (c == '"' || c == '\\') {
        dest.push_back('\\');
        dest.push_back(c);
      } else if (byte < 0x20) {
        fmt::format_to(fmt::appender(dest), "\\u{:04x}", byte);
      } else {
        dest.push_back(c);
      }
    }
  }
  std::unique_ptr<custom_flag_formatter> clone() const override { return std::make_unique<JsonText>(); }
};

spdlog::level::level_enum Translate(Log::Level level) {
  switch (level) {
    case Log::Level::kDebug:
      return spdlog::level::debug;
    case Log::Level::kInfo:
      return spdlog::level::info;
    case Log::Level::kWarn:
      return spdlog::level::warn;
    case Log::Level::kError:
      break;
  }
  return spdlog::level::err;
}

Micros SteadyNow() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

constexpr const char* kTextPattern = "%n: %v";
constexpr const char* kJsonPattern = R"({"at":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l","name":"%n","text":"%J"})";
constexpr std::size_t kMaxLineSize = 512;  // including the terminating zero

}  // namespace

Log::Log(std::FILE* to, const char* name)
    : logger_(std::make_unique<spdlog::logger>(name, std::make_shared<StreamSink>(to))) {
  Configure(Format::kText, Level::kInfo);
}

Log::~Log() = default;

Log::Level Log::ParseLevel(const std::string& word) {
  if (word == "debug") return Level::kDebug;
  if (word == "warn") return Level::kWarn;
  if (word == "error") return Level::kError;
  return Level::kInfo;
}

void Log::Configure(Format format, Level min_level) {
  min_level_ = min_level;
  auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
  formatter->add_flag<JsonText>('J').set_pattern(format == Format::kJson ? kJsonPattern : kTextPattern);
  logger_->set_formatter(std::move(formatter));
  logger_->set_level(Translate(min_level));
}

// Called before the text is formatted, so that dropped lines cost almost nothing.
bool Log::Admit(Level level) {
  if (level < min_level_) return false;
  const Micros now = SteadyNow();
  if (last_line_at_ != 0) {
    const double seconds = static_cast<double>(now - last_line_at_) / 1e6;
    tokens_ = std::min(kBurst, tokens_ + kLinesPerSecond * seconds);
  }
  last_line_at_ = now;
  if (tokens_ < 1) {
    ++dropped_lines_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

void Log::Emit(Level level, const char* format, std::va_list args) {
  std::array<char, kMaxLineSize> text;
  std::vsnprintf(text.data(), text.size(), format, args);
  std::string line = text.data();
  if (dropped_lines_ > 0) line += " (" + std::to_string(dropped_lines_) + " lines left out before this)";
  dropped_lines_ = 0;
  logger_->log(Translate(level), spdlog::string_view_t(line));
}

void Log::Info(const char* format, ...) {
  if (!Admit(Level::kInfo)) return;
  std::va_list args;
  va_start(args, format);
  Emit(Level::kInfo, format, args);
  va_end(args);
}

void Log::Important(const char* format, ...) {
  if (Level::kInfo < min_level_) return;
  std::va_list args;
  va_start(args, format);
  Emit(Level::kInfo, format, args);
  va_end(args);
}

void Log::Write(Level level, const char* format, ...) {
  if (!Admit(level)) return;
  std::va_list args;
  va_start(args, format);
  Emit(level, format, args);
  va_end(args);
}

}  // namespace dappletiller
