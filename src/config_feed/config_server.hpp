// One replica of the config servers: follows the others with everything in scope, using the same Follower as
// a proxy, and answers its own followers. The replica with the origin's file publishes it if its serial is
// above those of all others; with an older file it only follows. There is no election: operators decide which
// replica is the origin, and a second origin is detected by its serial. Pure: time is passed in. Not
// thread-safe.
#ifndef DAPPLETILLER_CONFIG_FEED_CONFIG_SERVER_HPP_
#define DAPPLETILLER_CONFIG_FEED_CONFIG_SERVER_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "config_feed/follower.hpp"
#include "config_feed/snapshot_admission.hpp"
#include "config_feed/store.hpp"

namespace dappletiller::config_feed {

struct Response {
  enum class Kind {
    kPage,
    kWait,   // no changes yet: the request can wait
    kBusy,   // no slot for a snapshot
    kBehind  // the follower is ahead of this replica
  };
  Kind kind = Kind::kWait;
  Page page;
  Micros retry_after = 0;  // of kBusy
};

// Response to a request without new changes: kWait, or an empty page.
enum class IfUnchanged { kWait, kAnswer };

enum class PublishResult {
  kPublished,     // the file's contents are in force from now on
  kUnchanged,     // the other replicas hold the same entries
  kNotSettled,    // the state of the other replicas is not known yet: try again later
  kSerialTooLow,  // the file's serial is below the fleet's: this replica follows
  kSerialReused   // the same serial with other entries: rejected
};

// What the origin's file is compared with.
enum class Baseline {
  kLastReading,  // this replica published the last reading
  kWholeStore
};

class ConfigServer {
 public:
  // `snapshot_slots`: maximum number of concurrent snapshots. The scope of `options` is set to everything.
  ConfigServer(FollowerOptions options, std::size_t snapshot_slots);

  Follower& follower() { return follower_; }
  const Store& store() const { return follower_.store(); }
  const SnapshotAdmission& admission() const { return admission_; }

  Response HandleRequest(Micros now, const std::string& follower, const PageRequest& request,
                         IfUnchanged if_unchanged);

  // `changes_since` returns how the file differs from a baseline; it is called at most once. `epoch` is used
  // if a new sequence of versions begins; it must be above all earlier ones (the wall clock). `touched`
  // receives the affected services.
  PublishResult Publish(Micros now, std::uint64_t serial,
                        const std::function<std::vector<Change>(Baseline)>& changes_since,
                        std::uint64_t epoch, ServiceSet* touched);

 private:
  static FollowerOptions WithEverything(FollowerOptions options);

  Follower follower_;
  SnapshotAdmission admission_;
  std::uint64_t own_epoch_ = 0;   // epoch that this replica began; 0: none
  std::uint64_t own_serial_ = 0;  // serial that it published last
};

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_CONFIG_SERVER_HPP_
