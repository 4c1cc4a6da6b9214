// Follows the configuration feed over HTTP/1.1 by driving a Follower, in proxies, config servers and
// simulated proxies. The Follower decides which server to use and how responses are handled.
//
// Lives on the event loop; nothing throws.
#ifndef DAPPLETILLER_CONFIG_FEED_CLIENT_FEED_CLIENT_HPP_
#define DAPPLETILLER_CONFIG_FEED_CLIENT_FEED_CLIENT_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "config_feed/follower.hpp"
#include "http/client/http_client.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"

namespace dappletiller {

class SettingsObserver {
 public:
  // Entries that came into force, changed or were removed; the follower's store is already updated. Also
  // called without changes if only the position has advanced.
  virtual void OnSettingsChanged(const std::vector<config_feed::Change>& changes) = 0;

 protected:
  ~SettingsObserver() = default;
};

class FeedClient final : private http::Client::Owner {
 public:
  // Counted since startup.
  struct Counters {
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::uint64_t busy = 0;     // a server had no slot for a snapshot
    std::uint64_t changes = 0;  // entries
  };

  // All references must outlive it. `name` names this follower to the servers; printable, without separators.
  FeedClient(EventLoop& loop, Log& log, config_feed::Follower& follower, std::string name,
             SettingsObserver& observer);

  void Start() { ScheduleNextRequest(); }
  // Must be called after SetScope, SetServers or Publish of the follower: abandons the current request and
  // sends the next one.
  void RestartRequest();

  const Counters& counters() const { return counters_; }
  std::uint64_t bytes_in() const { return client_.bytes_received(); }  // of HTTP
  std::uint64_t bytes_out() const { return client_.bytes_sent(); }
  const config_feed::Follower& follower() const { return follower_; }
  // For the console: the settings in force, since when and from which server.
  std::string StatusJson() const;

 private:
  void ScheduleNextRequest();
  void SendRequest();
  void OnResponse(const http::Message& response) override;
  void OnRequestFailed(http::RequestError error) override;
  void OnPage(const config_feed::Page& page);
  void OnServerBehind();
  void OnFailure(const char* why);
  void LogSerialInForce();

  EventLoop& loop_;
  Log& log_;
  config_feed::Follower& follower_;
  std::string name_;
  SettingsObserver& observer_;
  http::Client client_;
  Timer next_request_;
  std::string server_;  // server of the last request
  bool logged_no_server_ = false;
  std::uint64_t logged_serial_ = 0;
  std::size_t changes_since_logged_ = 0;
  Counters counters_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_CONFIG_FEED_CLIENT_FEED_CLIENT_HPP_
