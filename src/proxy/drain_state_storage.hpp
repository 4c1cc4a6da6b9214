// Keeps administrative drains in a file in the temporary folder, which all processes of a proxy share: in an
// upgrade, each must know what operators told the other.
//
// Every change is merged into the file under a lock, so the file is the state of all processes together; each
// adopts what others have written. A file of another format is logged and ignored. A failure to write is
// logged, and the write is repeated until it succeeds: a successor would not know the change.
#ifndef DAPPLETILLER_PROXY_DRAIN_STATE_STORAGE_HPP_
#define DAPPLETILLER_PROXY_DRAIN_STATE_STORAGE_HPP_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "drain/administrative_drains.hpp"
#include "drain/drain_state_file.hpp"
#include "io/event_loop.hpp"
#include "io/file.hpp"
#include "io/log.hpp"

namespace dappletiller {

enum class DrainAction { kDrain, kUndrain };

// What an operator told this process.
struct DrainChange {
  std::string uid;
  DrainAction action = DrainAction::kDrain;
  TimePoint at;  // of an undrain, on the event loop's clock
};

class DrainStateStorage {
 public:
  // Receives the state whenever another process has changed it.
  using Adopt = std::function<void(const drain::AdministrativeDrains&)>;

  // `proxy_name` names the file. `loop` and `log` must outlive it.
  DrainStateStorage(EventLoop& loop, Log& log, const std::string& proxy_name, Adopt adopt);

  // Adopts the drains of a predecessor, if there is a valid file. Throws std::system_error if there is one
  // that cannot be read for now.
  void Load();
  // From now on looks regularly for changes of other processes.
  void FollowOtherProcesses();
  // Adopts the changes of other processes now.
  void Refresh();
  // Adds the change to the file, now or as soon as that succeeds.
  void Record(DrainChange change);
  // Whether the file holds all recorded changes.
  bool saved() const { return unsaved_.empty(); }
  // Whether the recorded changes will not be lost with this process, or there is no folder that outlives it.
  bool confirmed() const { return saved() || has_no_folder_; }

 private:
  void ReadAndAdopt();
  void Write();
  std::error_code MergeIntoFile();
  std::optional<drain::AdministrativeDrains> ReadDrains() const;
  drain::MachineClock clock() const;

  EventLoop& loop_;
  Log& log_;
  std::string path_;
  Adopt adopt_;
  drain::AdministrativeDrains state_;           // as last read or written
  std::optional<FileVersion> adopted_version_;  // of the file that `state_` was read from
  std::vector<DrainChange> unsaved_;
  bool has_no_folder_ = false;  // according to the last attempt to write
  int failures_ = 0;            // since the last success
  Timer retry_;
  Timer poll_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_DRAIN_STATE_STORAGE_HPP_
