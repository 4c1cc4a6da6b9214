// The operators' console on the second address: one HTTP/1.1 call to a connection, answered and closed. The
// driver only reads, parses with the byte-fed parser and writes; what a call means is the handler's.
// Guards against callers that stall it: each connection has kCallTime in all, and at most kMaxConnections are
// open, the oldest going first, so that a silent crowd never keeps a real sink waiting.
#ifndef DAPPLETILLER_ADMIN_CONSOLE_HPP_
#define DAPPLETILLER_ADMIN_CONSOLE_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "admin/command.hpp"
#include "dispatch/types.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"

namespace dappletiller {

struct ConsoleReply {
  int status = 200;  // 2xx yes, 4xx or 5xx no
  std::string text;  // one plain line, or JSON
  const char* type = "text/plain";
};

class ConsoleHandler {
 public:
  virtual ConsoleReply Do(const console::Command& command) = 0;

 protected:
  ~ConsoleHandler() = default;
};

class Console final : private EventHandler {
 public:
  static constexpr Micros kCallTime = 900'000;       // a sink waits 1 s at most
  static constexpr std::size_t kMaxConnections = 8;  // of the descriptors that the process keeps for itself

  Console(EventLoop& loop, Log& log, ConsoleHandler& handler);
  ~Console();
  void Listen(const Endpoint& where);  // throws std::system_error
  std::uint16_t port() const { return port_; }
  std::size_t connections() const { return conns_.size(); }

 private:
  class Conn;
  void OnReady(std::uint32_t events) override;
  void Drop(std::uint64_t id);

  EventLoop& loop_;
  Log& log_;
  ConsoleHandler& handler_;
  FileDescriptor listener_;
  EventLoop::WatchId token_ = 0;
  std::uint16_t port_ = 0;
  std::uint64_t ids_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Conn>> conns_;  // oldest first
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_ADMIN_CONSOLE_HPP_
