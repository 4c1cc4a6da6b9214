// Keeps administrative drains in a file in the temporary folder that a process shares with its successor in
// an upgrade.
//
// A file that can't be read, or is not ours, is logged and ignored; one that can't be written is logged.
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

  // As a predecessor left them; nothing if there is none.
  std::optional<drain::AdministrativeDrains> Load() const;
  // Replaces the file as a whole.
  void Save(const drain::AdministrativeDrains& drains) const;

 private:
  Log& log_;
  std::string path_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_DRAIN_STATE_STORAGE_HPP_
