// Stores administrative drains in a file in the temporary folder, which a process shares with its successor
// in an upgrade.
//
// A file of another format is logged and ignored. A failure to write is logged, and the write is repeated
// until it succeeds: the operators have been told that the server is drained.
#ifndef DAPPLETILLER_PROXY_DRAIN_STATE_STORAGE_HPP_
#define DAPPLETILLER_PROXY_DRAIN_STATE_STORAGE_HPP_

#include <optional>
#include <string>

#include "drain/administrative_drains.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"

namespace dappletiller {

class DrainStateStorage {
 public:
  // `proxy_name` names the file. `loop` and `log` must outlive it.
  DrainStateStorage(EventLoop& loop, Log& log, const std::string& proxy_name);

  // Loads the drains of a predecessor; nothing if there is no valid file. Throws std::system_error if there
  // is one that cannot be read for now.
  std::optional<drain::AdministrativeDrains> Load() const;
  // Replaces the file atomically, now or as soon as that succeeds.
  void Save(const drain::AdministrativeDrains& drains);
  // Whether the file holds what was last passed to Save.
  bool saved() const { return unsaved_.empty(); }

 private:
  void Write();

  Log& log_;
  std::string path_;
  std::string unsaved_;  // the contents to be written; empty: none
  int failures_ = 0;     // since the last success
  Timer retry_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_DRAIN_STATE_STORAGE_HPP_
