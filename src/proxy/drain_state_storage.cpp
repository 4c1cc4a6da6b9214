#include "proxy/drain_state_storage.hpp"

#include <system_error>
#include <utility>

#include "io/transient_error.hpp"
#include "proxy/environment.hpp"

namespace dappletiller {
namespace {

constexpr Micros kRetryDelay = 100'000;
constexpr Micros kLockRetryDelay = 5'000;  // while another process writes
constexpr Micros kPollInterval = 100'000;

// A folder that is missing or read-only is a setting of the deployment; other errors pass.
bool MeansNoFolder(const std::error_code& error) {
  return error == std::errc::no_such_file_or_directory || error == std::errc::not_a_directory ||
         error == std::errc::permission_denied || error == std::errc::read_only_file_system;
}

void ApplyChange(const DrainChange& change, drain::AdministrativeDrains* drains) {
  if (change.action == DrainAction::kDrain) {
    drains->Drain(change.uid);
  } else {
    drains->Undrain(change.uid, change.at);
  }
}

}  // namespace

DrainStateStorage::DrainStateStorage(EventLoop& loop, Log& log, const std::string& proxy_name, Adopt adopt)
    : loop_(loop),
      log_(log),
      path_(TemporaryFolder() + "/dappletiller-" + proxy_name + ".held.json"),
      adopt_(std::move(adopt)),
      retry_(loop),
      poll_(loop) {}

drain::MachineClock DrainStateStorage::clock() const {
  return {ToTimePoint(loop_.Now()), Duration(loop_.unix_offset())};
}

// Nothing if there is no valid file. Throws std::system_error if it cannot be read for now.
std::optional<drain::AdministrativeDrains> DrainStateStorage::ReadDrains() const {
  std::string text;
  try {
    text = ReadFile(path_);
  } catch (const std::system_error& error) {
    if (IsShortage(error.code().value())) throw;
    return std::nullopt;
  }
  auto drains = drain::ParseDrains(text, clock());
  if (!drains) log_.Info("drain state: %s is incomplete or has another format; ignored", path_.c_str());
  return drains;
}

// The version is read first: a file that is replaced in between is read again later.
void DrainStateStorage::ReadAndAdopt() {
  const std::optional<FileVersion> version = ReadFileVersion(path_);
  if (auto drains = ReadDrains()) {
    state_ = std::move(*drains);
    drain::AdministrativeDrains merged = state_;
    for (const DrainChange& change : unsaved_) ApplyChange(change, &merged);
    adopt_(merged);
  }
  adopted_version_ = version;
}

void DrainStateStorage::Load() { ReadAndAdopt(); }

void DrainStateStorage::FollowOtherProcesses() {
  Refresh();
  poll_.Set(kPollInterval, [this] { FollowOtherProcesses(); });
}

void DrainStateStorage::Refresh() {
  const std::optional<FileVersion> version = ReadFileVersion(path_);
  if (!version || version == adopted_version_) return;
  try {
    ReadAndAdopt();
  } catch (const std::system_error&) {
    // Read again at the next call.
  }
}

void DrainStateStorage::Record(DrainChange change) {
  unsaved_.push_back(std::move(change));
  Write();
}

void DrainStateStorage::Write() {
  const std::error_code error = MergeIntoFile();
  if (error == std::errc::operation_would_block) {
    retry_.Set(kLockRetryDelay, [this] { Write(); });
    return;
  }
  has_no_folder_ = MeansNoFolder(error);
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
  retry_.Clear();
}

std::error_code DrainStateStorage::MergeIntoFile() {
  std::error_code error;
  const FileLock lock(path_ + ".lock", &error);
  if (error) return error;
  try {
    if (auto drains = ReadDrains()) state_ = std::move(*drains);
  } catch (const std::system_error& failure) {
    return failure.code();
  }
  drain::AdministrativeDrains merged = state_;
  for (const DrainChange& change : unsaved_) ApplyChange(change, &merged);
  error = ReplaceFile(path_, drain::SerializeDrains(merged, clock()));
  if (error) return error;
  state_ = std::move(merged);
  unsaved_.clear();
  adopted_version_ = ReadFileVersion(path_);
  adopt_(state_);
  return {};
}

}  // namespace dappletiller
