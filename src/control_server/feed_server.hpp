// Answers followers of the configuration feed over HTTP/1.1: drives a ConfigServer. A request without changes
// to report is kept open until something in its scope changes or its wait is over.
//
// Bounded: kMaxConnections connections, kIdleTime for one that sends no request. Lives on the event loop.
#ifndef DAPPLETILLER_CONTROL_SERVER_FEED_SERVER_HPP_
#define DAPPLETILLER_CONTROL_SERVER_FEED_SERVER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>

#include "config_feed/config_server.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"

namespace dappletiller {

class FeedServer final : private EventHandler {
 public:
  static constexpr Micros kIdleTime = 60'000'000;  // without a request, or to receive a complete one
  static constexpr std::size_t kMaxConnections = 4'096;

  // All must outlive the server.
  FeedServer(EventLoop& loop, Log& log, config_feed::ConfigServer& config_server);
  ~FeedServer();

  void Listen(const Endpoint& where);  // throws std::system_error
  std::uint16_t port() const { return port_; }
  // Entries of these services have changed: answers waiting requests for any of them. The cost is
  // proportional to the number of waiting requests.
  void NotifyChanged(const config_feed::ServiceSet& services);
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  using ConnectionId = std::uint64_t;

  void OnReady(std::uint32_t events) override;
  void AcceptConnections();
  void Add(FileDescriptor accepted);
  void Drop(ConnectionId id);

  EventLoop& loop_;
  Log& log_;
  config_feed::ConfigServer& config_server_;
  FileDescriptor listener_;
  EventLoop::WatchId watch_ = 0;
  std::uint16_t port_ = 0;
  Timer retry_accept_;
  ConnectionId last_id_ = 0;
  std::map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::set<ConnectionId> waiting_;  // connections with a waiting request
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_CONTROL_SERVER_FEED_SERVER_HPP_
