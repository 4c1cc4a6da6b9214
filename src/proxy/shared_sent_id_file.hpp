// The ids of requests that may have run, in a file in the temporary folder that all processes of a proxy
// share: in an upgrade, a request that has run at one process must not run again at the other.
//
// The file is a SentIdTable, on the machine's monotonic clock. It is not synced: it only has to outlive a
// process. While it cannot be opened or written, ids are kept and written later. A write that a kill cuts
// short leaves an id that no request has. Two processes that write to one bucket in the same instant may lose
// one id.
#ifndef DAPPLETILLER_PROXY_SHARED_SENT_ID_FILE_HPP_
#define DAPPLETILLER_PROXY_SHARED_SENT_ID_FILE_HPP_

#include <array>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "dispatch/sent_ids.hpp"
#include "io/event_loop.hpp"
#include "io/file_descriptor.hpp"
#include "io/log.hpp"

namespace dappletiller {

class SharedSentIdFile final : public SharedSentIds {
 public:
  // `proxy_name` names the file. `loop` and `log` must outlive it.
  SharedSentIdFile(EventLoop& loop, Log& log, const std::string& proxy_name);

  bool Contains(RequestIdHash id) override;
  void Add(RequestIdHash id) override;

 private:
  using Slot = SentIdTable::Slot;
  using BucketCopy = std::array<Slot, SentIdTable::kSlotsPerBucket>;

  Micros MachineNow() const { return loop_.Now() - loop_.unix_offset(); }
  std::error_code Open();
  std::optional<BucketCopy> ReadBucket(RequestIdHash id);
  std::error_code Write(const Slot& entry);
  void WriteAll();

  EventLoop& loop_;
  Log& log_;
  std::string path_;
  FileDescriptor file_;
  std::vector<Slot> unwritten_;  // oldest first
  int failures_ = 0;             // since the last success
  Timer retry_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_SHARED_SENT_ID_FILE_HPP_
