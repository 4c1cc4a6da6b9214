// Publishes the origin's file through a config server: reads it when it has changed, and logs the result.
// Lives on the event loop; nothing throws. A file that cannot be read or is malformed has no effect.
#ifndef DAPPLETILLER_CONTROL_SERVER_ORIGIN_PUBLISHER_HPP_
#define DAPPLETILLER_CONTROL_SERVER_ORIGIN_PUBLISHER_HPP_

#include <sys/stat.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config_feed/config_server.hpp"
#include "config_feed/origin_file.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"

namespace dappletiller {

class OriginPublisher {
 public:
  // `on_published` is called with the services that a publication touched. All references must outlive it.
  OriginPublisher(EventLoop& loop, Log& log, config_feed::ConfigServer& config_server, std::string path,
                  std::function<void(const config_feed::ServiceSet&)> on_published);

  const std::string& path() const { return path_; }
  // Reads and publishes the file now and whenever it changes.
  void Read();

 private:
  static constexpr Micros kCheckInterval = 500'000;  // of checks for a changed file
  static constexpr Micros kRetryInterval = 100'000;  // until the state of the other replicas is known

  // Identifies a version of the file.
  struct FileVersion {
    std::int64_t modified_s = 0;
    std::int64_t modified_ns = 0;
    std::int64_t size = 0;
    std::uint64_t inode = 0;
    bool operator==(const FileVersion&) const = default;
  };

  FileVersion CurrentVersion() const;
  void CheckForChange();
  void ReadFile();
  std::optional<std::string> LoadText() const;
  void Publish();
  std::vector<config_feed::Change> ChangesSince(config_feed::Baseline baseline) const;
  void LogResult(config_feed::PublishResult result, std::uint64_t serial_before, std::size_t changes);
  unsigned long long SerialInForce() const { return config_server_.store().head().serial; }

  EventLoop& loop_;
  Log& log_;
  config_feed::ConfigServer& config_server_;
  std::string path_;
  std::function<void(const config_feed::ServiceSet&)> on_published_;
  config_feed::OriginFile file_;
  std::vector<config_feed::Change> last_changes_;  // of the last reading
  bool has_unpublished_reading_ = false;
  FileVersion version_;
  Timer check_;
  Timer retry_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_CONTROL_SERVER_ORIGIN_PUBLISHER_HPP_
