// Following the configuration feed: which config server to ask next, when, for what, and what an answer
// changes. The same code runs in a proxy, in a config server that follows the others, and in simulated time.
//
// One request is out at a time. A long poll follows the last by itself; what fails goes to the next server at
// once, in an order of its own for each follower (rendezvous hashing, Thaler and Ravishankar 1998, the nearby
// ones first), so that the load of a lost server spreads over all others. A server that failed is
// deprioritized for a while. Once all have failed in a row there is a back-off. What is in force stays in
// force throughout.
//
// From a change at a server that is reached until it is in force here takes at most kLongPollTime +
// kResponseTimeout for noticing a long poll that fell silent, kResponseTimeout for each other server that is
// silent too, and kJitter each: with 8 servers, 7 of them silent, 2 + 1 + 7 x 1 + 8 x 0.05 = 10.4 s.
//
// Pure: time comes in (microseconds, monotonic), randomness from the seed. Not thread-safe.
#ifndef DAPPLETILLER_CONFIG_FEED_FOLLOWER_HPP_
#define DAPPLETILLER_CONFIG_FEED_FOLLOWER_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "config_feed/store.hpp"

namespace dappletiller::config_feed {

constexpr Micros kLongPollTime = 2'000'000;     // that a request waits at the server for a change
constexpr Micros kResponseTimeout = 1'000'000;  // after that
constexpr Micros kJitter = 50'000;              // before the next server is asked
constexpr Micros kMinBackoff = 250'000;         // once all servers have failed in a row; doubles
constexpr Micros kMaxBackoff = 2'000'000;
constexpr Micros kMaxRetryAfter = 4'000'000;       // that a server may ask for
constexpr Micros kDeprioritizedTime = 30'000'000;  // of a server that failed
constexpr Micros kReturnInterval = 30'000'000;  // between attempts to return to the first server of the order
constexpr Micros kReplicaPollInterval = 500'000;  // of a config server, between polls of the other replicas
constexpr std::size_t kMaxServers = 16;

struct FollowerOptions {
  std::string self;                 // its name: orders the servers, and names its slot in a queue
  std::vector<std::string> nearby;  // config servers of its region, by address
  std::vector<std::string> others;  // asked once none of these is left
  std::uint64_t seed = 0;
  Scope scope;
  double snapshot_rate = 0;  // bytes a second that snapshots may take, 0: no limit; deltas are not paced
  // In a config server: none of the others is followed for long, all are polled in turn.
  bool polls_replicas = false;
};

class Follower {
 public:
  static constexpr Micros kNever = Micros{1} << 62;

  explicit Follower(FollowerOptions options);

  struct Request {
    std::string server;  // by address
    PageRequest page;
    Micros wait = 0;     // for a change, at the server
    Micros timeout = 0;  // then the server counts as silent
  };
  // The request to send now, if one is due. It counts as out until one of the next four says what became of
  // it.
  std::optional<Request> NextRequest(Micros now);
  // When the next request is due; kNever while one is out.
  Micros due() const { return request_is_out_ ? kNever : due_; }

  // Returns how what is in force has changed: nothing while a snapshot is loaded, which takes effect once it
  // is all here. `size` is the answer's, in bytes.
  std::vector<Change> OnPage(Micros now, const Page& page, std::size_t size);
  void OnBusy(Micros now, Micros retry_after);  // the server has no slot for a snapshot now
  void OnServerBehind(Micros now);              // the server holds something older than this follower
  void OnFailure(Micros now);                   // silent, unreachable, or not understood

  // Gives up the request that is out without a judgement on its server; it is sent anew.
  void AbandonRequest(Micros now);
  // The next three void the request that is out; the caller has to give it up.
  // With another scope a snapshot is loaded; what is in force stays until that is done.
  void SetScope(Micros now, Scope scope);
  void SetServers(Micros now, std::vector<std::string> nearby, std::vector<std::string> others);
  // As the origin, which follows the others as well. Returns the services that are touched.
  ServiceSet Publish(Micros now, std::uint64_t serial, std::uint64_t epoch,
                     const std::vector<Change>& changes);

  const Store& store() const { return store_; }  // what is in force
  const Scope& scope() const { return scope_; }  // of what is in force
  bool is_loading_snapshot() const { return loading_.has_value(); }
  bool is_current() const { return complete_at_ >= 0 && failures_ == 0; }
  // When a server last said that all is here; -1: never.
  Micros complete_at() const { return complete_at_; }
  int failures() const { return failures_; }  // in a row
  // Whether a server that holds something has said what, or each has been asked in vain.
  bool is_settled() const { return complete_at_ >= 0 || vain_requests_ >= servers_.size(); }
  // The server that is asked, or is asked next; empty: none is known.
  const std::string& server() const;
  bool polls_replicas() const { return options_.polls_replicas; }
  std::size_t server_count() const { return servers_.size(); }

 private:
  struct Server {
    std::string address;
    Micros deprioritized_until = 0;
  };
  struct LoadingSnapshot {
    Store store;
    std::uint64_t began_at = 0;  // the head's version then
  };

  double Uniform();
  void RankServers(std::vector<std::string> nearby, std::vector<std::string> others);
  Micros WaitFor(const PageRequest& request) const;
  bool IsOlder(const Page& page) const;
  bool Continues(const Page& page) const;
  bool HasOrderedVersions(const Page& page) const;
  std::vector<Change> TakeSnapshotPage(const Page& page, std::size_t size);
  std::vector<Change> TakeDeltaPage(const Page& page);
  std::vector<Change> FinishSnapshot();
  void LeaveServer(Micros now);
  std::size_t BestOtherServer(Micros now) const;
  void PollNextReplica(Micros now);

  FollowerOptions options_;
  pcg32 random_;
  Scope scope_;
  Scope wanted_scope_;
  Store store_;
  std::optional<LoadingSnapshot> loading_;
  std::vector<Server> servers_;  // first choice first
  std::size_t current_ = 0;      // the server that is asked
  bool request_is_out_ = false;
  Micros due_ = 0;
  int failures_ = 0;
  int failures_until_backoff_ = 0;  // in a row, since the servers were last ranked
  std::size_t vain_requests_ = 0;   // since the start
  std::size_t newest_ = 0;          // polls_replicas: the replica that had the latest change
  std::size_t polled_ = 0;          // polls_replicas: the one polled last beside it
  Micros return_at_ = 0;
  Micros complete_at_ = -1;
};

}  // namespace dappletiller::config_feed

#endif  // DAPPLETILLER_CONFIG_FEED_FOLLOWER_HPP_
