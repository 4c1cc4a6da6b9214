#include "proxy/drain_state_storage.hpp"

#include <cstdlib>
#include <system_error>

#include "drain/drain_state_file.hpp"
#include "io/file.hpp"
#include "io/transient_error.hpp"

namespace dappletiller {
namespace {

constexpr Micros kRetryDelay = 100'000;

std::string TemporaryFolder() {
  const char* folder = std::getenv("TMPDIR");
  return folder != nullptr && *folder != '\0' ? folder : "/tmp";
}

}  // namespace

DrainStateStorage::DrainStateStorage(EventLoop& loop, Log& log, const std::string& proxy_name)
    : log_(log), path_(TemporaryFolder() + "/dappletiller-" + proxy_name + ".held.json"), retry_(loop) {}

std::optional<drain::AdministrativeDrains> DrainStateStorage::Load() const {
  std::string text;
  try {
    text = ReadFile(path_);
  } catch (const std::system_error& error) {
    if (IsShortage(error.code().value())) throw;
    return std::nullopt;
  }
  auto drains = drain::ParseDrains(text);
  if (!drains) log_.Info("drain state: %s is incomplete or has another format; ignored", path_.c_str());
  return drains;
}

void DrainStateStorage::Save(const drain::AdministrativeDrains& drains) {
  unsaved_ = drain::SerializeDrains(drains);
  Write();
}

void DrainStateStorage::Write() {
  const std::error_code error = ReplaceFile(path_, unsaved_);
  if (error) {
    if (failures_++ == 0) {
      log_.Important(
          "drain state: %s cannot be written: %s; a successor will not know the drained servers until it is",
          path_.c_str(), error.message().c_str());
    }
    retry_.Set(kRetryDelay, [this] { Write(); });
    return;
  }
  if (failures_ > 0) log_.Important("drain state: %s written after %d failures", path_.c_str(), failures_);
  failures_ = 0;
  unsaved_.clear();
  retry_.Clear();
}

}  // namespace dappletiller
