#include "proxy/drain_state_storage.hpp"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

#include "drain/drain_state_file.hpp"

namespace dappletiller {
namespace {

std::string TemporaryFolder() {
  const char* folder = std::getenv("TMPDIR");
  return folder != nullptr && *folder != '\0' ? folder : "/tmp";
}

bool WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  return static_cast<bool>(file.flush());
}

}  // namespace

DrainStateStorage::DrainStateStorage(Log& log, const std::string& proxy_name)
    : log_(log), path_(TemporaryFolder() + "/dappletiller-" + proxy_name + ".held.json") {}

std::optional<drain::AdministrativeDrains> DrainStateStorage::Load() const {
  std::ifstream file(path_, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  auto drains = drain::ParseDrains(text.str());
  if (!drains) log_.Info("drain state: %s is incomplete or has another format; ignored", path_.c_str());
  return drains;
}

void DrainStateStorage::Save(const drain::AdministrativeDrains& drains) const {
  const std::string temporary = path_ + "." + std::to_string(::getpid());
  if (!WriteFile(temporary, drain::SerializeDrains(drains))) {
    log_.Info("drain state: %s cannot be written; a successor will not know the drained servers",
              temporary.c_str());
    return;
  }
  std::error_code error;
  std::filesystem::rename(temporary, path_, error);
  if (error) log_.Info("drain state: %s: %s", path_.c_str(), error.message().c_str());
}

}  // namespace dappletiller
