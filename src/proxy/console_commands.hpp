// What the console's commands do to a running proxy.
#ifndef DAPPLETILLER_PROXY_CONSOLE_COMMANDS_HPP_
#define DAPPLETILLER_PROXY_CONSOLE_COMMANDS_HPP_

#include "admin/console.hpp"
#include "proxy/drain_state_storage.hpp"
#include "proxy/parts.hpp"

namespace dappletiller {

class ConsoleCommands final : public ConsoleHandler {
 public:
  // Both must outlive it.
  ConsoleCommands(ProxyParts& parts, const DrainStateStorage& storage) : parts_(parts), storage_(storage) {}

  // From here on the proxy says that it is not ready.
  void OnShutdown() { shutting_down_ = true; }
  ConsoleReply Do(const console::Command& command) override;

 private:
  ConsoleReply SetLameDuck(bool on);
  ConsoleReply DrainServer(const std::string& uid);
  ConsoleReply UndrainServer(const std::string& uid);
  ConsoleReply DoFleet(const console::Command& command);
  ConsoleReply ShowSettings() const;

  ProxyParts& parts_;
  const DrainStateStorage& storage_;
  bool shutting_down_ = false;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_CONSOLE_COMMANDS_HPP_
