// One replica of the config servers: follows the others with everything in scope, by the same Follower as a
// proxy, and answers whoever follows it.
//
// The one with the origin's file publishes what the file says while its serial is above all that the others
// hold; with an older file it only follows. There is no election: which replica is the origin is the
// operators' decision, and a second origin is recognised by its serial. Pure: time comes in. Not thread-safe.
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
    kWait,   // nothing is new: ask again once something is
    kBusy,   // no slot for a snapshot
    kBehind  // the follower stands ahead of this replica
  };
  Kind kind = Kind::kWait;
  Page page;
  Micros retry_after = 0;  // of kBusy
};

// What a request that finds nothing new gets: kWait, or a page without changes.
enum class IfUnchanged { kWait, kAnswer };

enum class PublishResult {
  kPublished,     // what the file says is in force from here on
  kUnchanged,     // the others hold just that
  kNotSettled,    // whether the others hold something is not known yet: try again later
  kSerialTooLow,  // the file's serial is below the fleet's: this replica follows
  kSerialReused   // the same serial with other entries: refused
};

// Against what the origin's file is to be compared.
enum class Baseline {
  kLastReading,  // this replica published the last reading
  kWholeStore
};

class ConfigServer {
 public:
  // `snapshot_slots`: snapshots that are sent at once. The scope of `options` is set to everything.
  ConfigServer(FollowerOptions options, std::size_t snapshot_slots);

  Follower& follower() { return follower_; }
  const Store& store() const { return follower_.store(); }
  const SnapshotAdmission& admission() const { return admission_; }

  Response HandleRequest(Micros now, const std::string& follower, const PageRequest& request,
                         IfUnchanged if_unchanged);

  // `changes_since` returns how the file differs from a baseline; it is called at most once. `epoch` is for a
  // new line of versions, above all earlier ones (the wall clock). `touched` receives the services that are
  // touched.
  PublishResult Publish(Micros now, std::uint64_t serial,
                        const std::function<std::vector<Change>(Baseline)>& changes_since,
                        std::uint64_t epoch, ServiceSet* touched);

 private:
  static FollowerOptions WithEverything(FollowerOptions options);

  Follower follower_;
  SnapshotAdmission admission_;
  std::uint64_t own_epoch_ = 0;   // that this replica began; 0: none
  std::uint64_t own_serial_ = 0;  // that it published last
};

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_CONFIG_SERVER_HPP_
