// Stores administrative drains in a file in the temporary folder, which a process shares with its successor
// in an upgrade.
//
// A file that cannot be read or has another format is logged and ignored; failures to write are logged.
#ifndef DAPPLETILLER_PROXY_DRAIN_STATE_STORAGE_HPP_
#define DAPPLETILLER_PROXY_DRAIN_STATE_STORAGE_HPP_

#include <optional>
#include <string>

#include "drain/administrative_drains.hpp"
#include "io/log.hpp"

namespace dappletiller {

class DrainStateStorage {
 public:
  // `proxy_name` names the file. `log` must outlive it.
  DrainStateStorage(Log& log, const std::string& proxy_name);

  // Loads the drains of a predecessor; nothing if there is no valid file.
  std::optional<drain::AdministrativeDrains> Load() const;
  // Replaces the file atomically.
  void Save(const drain::AdministrativeDrains& drains) const;

 private:
  Log& log_;
  std::string path_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_DRAIN_STATE_STORAGE_HPP_
