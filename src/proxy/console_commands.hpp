// Executes the console's commands on a running proxy.
#ifndef DAPPLETILLER_PROXY_CONSOLE_COMMANDS_HPP_
#define DAPPLETILLER_PROXY_CONSOLE_COMMANDS_HPP_

#include "admin/console.hpp"
#include "proxy/components.hpp"
#include "proxy/drain_state_storage.hpp"

namespace dappletiller {

class ConsoleCommands final : public ConsoleHandler {
 public:
  // Both must outlive this object.
  ConsoleCommands(ProxyComponents& components, DrainStateStorage& storage)
      : components_(components), storage_(storage) {}

  // From now on the proxy reports that it is not ready.
  void OnShutdown() { shutting_down_ = true; }
  ConsoleReply Do(const console::Command& command) override;

 private:
  ConsoleReply SetLameDuck(bool on);
  ConsoleReply DrainServer(const std::string& uid);
  ConsoleReply UndrainServer(const std::string& uid);
  ConsoleReply DoFleet(const console::Command& command);
  ConsoleReply ShowSettings() const;
  ConsoleReply ReplyWhenSaved(const char* text) const;

  ProxyComponents& components_;
  DrainStateStorage& storage_;
  bool shutting_down_ = false;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_CONSOLE_COMMANDS_HPP_
