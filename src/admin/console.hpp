// The HTTP/1.1 server of the operators' console: one request per connection. It reads and parses requests and
// writes responses; the handler executes the commands. Connections are limited to kConnectionTime in total
// and to kMaxConnections at a time, of which the oldest is closed first, so that silent clients cannot block
// others.
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
  // As status: the command is not finished. It is executed again soon, and fails with `text` if it is not
  // finished when the client's time is over.
  static constexpr int kNotYet = 0;

  int status = 200;  // HTTP status, or kNotYet
  std::string text;  // one line of text, or JSON
  const char* type = "text/plain";
};

class ConsoleHandler {
 public:
  // Commands are idempotent.
  virtual ConsoleReply Do(const console::Command& command) = 0;

 protected:
  ~ConsoleHandler() = default;
};

class Console final : private EventHandler {
 public:
  static constexpr Micros kConnectionTime = 900'000;  // clients wait for at most 1 s
  static constexpr std::size_t kMaxConnections = 8;   // included in the descriptors reserved by the process

  Console(EventLoop& loop, Log& log, ConsoleHandler& handler);
  ~Console();
  void Listen(const Endpoint& where);  // throws std::system_error
  std::uint16_t port() const { return port_; }
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  void OnReady(std::uint32_t events) override;
  void Accept();
  void Drop(std::uint64_t id);

  EventLoop& loop_;
  Log& log_;
  ConsoleHandler& handler_;
  FileDescriptor listener_;
  EventLoop::WatchId token_ = 0;
  Timer accept_retry_;  // after a failed accept
  std::uint16_t port_ = 0;
  std::uint64_t ids_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;  // oldest first
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_ADMIN_CONSOLE_HPP_
