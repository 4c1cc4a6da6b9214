#include "control_server/origin_publisher.hpp"

#include <fstream>
#include <sstream>
#include <utility>

namespace dappletiller {

using config_feed::Baseline;
using config_feed::Change;
using config_feed::PublishResult;

OriginPublisher::OriginPublisher(EventLoop& loop, Log& log, config_feed::ConfigServer& config_server,
                                 std::string path,
                                 std::function<void(const config_feed::ServiceSet&)> on_published)
    : loop_(loop),
      log_(log),
      config_server_(config_server),
      path_(std::move(path)),
      on_published_(std::move(on_published)),
      file_(path_),
      check_(loop),
      retry_(loop) {}

// ---- The file ----

OriginPublisher::FileVersion OriginPublisher::CurrentVersion() const {
  struct stat info {};
  if (::stat(path_.c_str(), &info) != 0) return {};
  return {info.st_mtim.tv_sec, info.st_mtim.tv_nsec, info.st_size, info.st_ino};
}

void OriginPublisher::Read() {
  version_ = CurrentVersion();
  check_.Set(kCheckInterval, [this] { CheckForChange(); });
  ReadFile();
}

void OriginPublisher::CheckForChange() {
  check_.Set(kCheckInterval, [this] { CheckForChange(); });
  const FileVersion version = CurrentVersion();
  if (version == version_) return;
  version_ = version;
  ReadFile();
}

std::optional<std::string> OriginPublisher::LoadText() const {
  std::ifstream file(path_, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) return std::nullopt;
  return std::move(text).str();
}

void OriginPublisher::ReadFile() {
  const auto text = LoadText();
  if (!text) {
    log_.Write(Log::Level::kWarn, "origin: %s: cannot be read; serial %llu stays", path_.c_str(),
               SerialInForce());
    return;
  }
  try {
    last_changes_ = file_.Read(*text).changes;
  } catch (const config_feed::OriginError& error) {
    log_.Write(Log::Level::kWarn, "origin: %s; serial %llu stays", error.what(), SerialInForce());
    return;
  }
  Publish();
}

// ---- Publishing ----

std::vector<Change> OriginPublisher::ChangesSince(Baseline baseline) const {
  // An earlier reading was not published, so its changes are included now.
  const bool compare_with_store = baseline == Baseline::kWholeStore || has_unpublished_reading_;
  return compare_with_store ? file_.DifferencesTo(config_server_.store()) : last_changes_;
}

void OriginPublisher::Publish() {
  const std::uint64_t serial_before = SerialInForce();
  const auto new_epoch = static_cast<std::uint64_t>(loop_.Now());
  std::size_t change_count = 0;
  const auto changes_since = [&](Baseline baseline) {
    std::vector<Change> changes = ChangesSince(baseline);
    change_count = changes.size();
    return changes;
  };
  config_feed::ServiceSet touched;
  const PublishResult result =
      config_server_.Publish(loop_.Now(), file_.serial(), changes_since, new_epoch, &touched);
  if (result == PublishResult::kNotSettled) {
    has_unpublished_reading_ = true;
    retry_.Set(kRetryInterval, [this] { Publish(); });
    return;
  }
  has_unpublished_reading_ = result != PublishResult::kPublished && result != PublishResult::kUnchanged;
  LogResult(result, serial_before, change_count);
  if (result == PublishResult::kPublished) on_published_(touched);
}

void OriginPublisher::LogResult(PublishResult result, std::uint64_t serial_before, std::size_t changes) {
  const unsigned long long serial = file_.serial();
  switch (result) {
    case PublishResult::kPublished:
      log_.Info("origin: serial %llu published, %zu entries changed, %zu in all", serial, changes,
                config_server_.store().size());
      break;
    case PublishResult::kUnchanged:
      if (serial_before != 0) log_.Info("origin: serial %llu is already held by all replicas", serial);
      break;
    case PublishResult::kSerialTooLow:
      log_.Write(
          Log::Level::kWarn,
          "origin: %s: serial %llu is below the fleet's, %llu: the file is not published; bring it up to "
          "date and raise its serial",
          path_.c_str(), serial, static_cast<unsigned long long>(serial_before));
      break;
    case PublishResult::kSerialReused:
      log_.Write(Log::Level::kWarn,
                 "origin: %s: serial %llu is in force with other entries: the file is not published; "
                 "raise its serial if this file is the right one",
                 path_.c_str(), serial);
      break;
    case PublishResult::kNotSettled:
      break;
  }
}

}  // namespace dappletiller
