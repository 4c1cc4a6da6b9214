// Tells the settings feed to whoever asks: the thin driver of feed::ControlMachine, over HTTP/1.1. A question
// that finds nothing new is kept until something in its scope is, or its wait is over.
#ifndef DAPPLETILLER_CONTROL_SERVER_FEED_SERVER_HPP_
#define DAPPLETILLER_CONTROL_SERVER_FEED_SERVER_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "config_feed/control_machine.hpp"
#include "dispatch/types.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"

namespace dappletiller {

class FeedServer final : private EventHandler {
 public:
  static constexpr Micros kIdleTime = 60'000'000;  // without a question, or for one to come whole
  static constexpr std::size_t kMostConnections = 4'096;

  FeedServer(EventLoop& loop, Log& log, feed::ControlMachine& machine);
  ~FeedServer();
  void Listen(const Endpoint& where);  // throws std::system_error
  std::uint16_t port() const { return port_; }
  // Entries of these services have changed: who waits for one of them is told. Costs by who waits.
  void Changed(const std::set<std::string, std::less<>>& services);
  std::size_t connections() const { return conns_.size(); }
  std::uint64_t pages() const { return pages_; }
  std::uint64_t bytes() const { return bytes_; }

 private:
  class Conn;
  void OnReady(std::uint32_t events) override;
  void Accept();
  void Drop(std::uint64_t id);

  EventLoop& loop_;
  Log& log_;
  feed::ControlMachine& machine_;
  FileDescriptor listener_;
  EventLoop::WatchId token_ = 0;
  std::uint16_t port_ = 0;
  Timer pause_;  // after accept failed for want of descriptors
  std::uint64_t ids_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Conn>> conns_;
  std::set<std::uint64_t> waiting_;
  std::uint64_t pages_ = 0;
  std::uint64_t bytes_ = 0;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_CONTROL_SERVER_FEED_SERVER_HPP_
