#include "proxy/console_commands.hpp"

namespace dappletiller {
namespace {

constexpr const char* kJson = "application/json";

ConsoleReply UnknownServer() { return {404, "no such worker was ever listed"}; }

}  // namespace

ConsoleReply ConsoleCommands::Do(const console::Command& command) {
  using console::Verb;
  switch (command.verb) {
    case Verb::kReady:
      return shutting_down_ ? ConsoleReply{503, "leaving"} : ConsoleReply{200, "ready"};
    case Verb::kLameduckOn:
      return SetLameDuck(true);
    case Verb::kLameduckOff:
      return SetLameDuck(false);
    case Verb::kDetach:
      return DrainServer(command.who);
    case Verb::kAttach:
      return UndrainServer(command.who);
    case Verb::kFleet:
    case Verb::kFleetLeave:
    case Verb::kFleetReap:
      return DoFleet(command);
    case Verb::kSettings:
      return ShowSettings();
    case Verb::kNone:
      break;
  }
  return {400, "no such console call"};
}

ConsoleReply ConsoleCommands::SetLameDuck(bool on) {
  if (on != components_.listener.lame_duck()) {
    components_.log.Info("lame-duck mode %s: %zu client connections", on ? "on" : "off",
                         components_.listener.connections());
  }
  components_.listener.SetLameDuck(on);
  return {200, on ? "lame duck" : "serving"};
}

ConsoleReply ConsoleCommands::DrainServer(const std::string& uid) {
  storage_.Refresh();
  const bool was_drained = components_.dispatcher.drains().IsDrained(uid);
  if (!components_.dispatcher.Drain(uid)) return UnknownServer();
  if (!was_drained) storage_.Record({uid, DrainAction::kDrain, {}});
  return ReplyWhenSaved("detached");
}

ConsoleReply ConsoleCommands::UndrainServer(const std::string& uid) {
  storage_.Refresh();
  const bool was_drained = components_.dispatcher.drains().IsDrained(uid);
  if (!components_.dispatcher.Undrain(uid)) return UnknownServer();
  if (was_drained) {
    const TimePoint undrained_at = components_.dispatcher.drains().undrained_at().at(uid);
    storage_.Record({uid, DrainAction::kUndrain, undrained_at});
  }
  return ReplyWhenSaved("attached");
}

// A change that only this process knows could be lost with it.
ConsoleReply ConsoleCommands::ReplyWhenSaved(const char* text) const {
  if (storage_.confirmed()) return {200, text};
  return {ConsoleReply::kNotYet, "in force here, but not saved yet; call again"};
}

ConsoleReply ConsoleCommands::DoFleet(const console::Command& command) {
  if (!components_.membership) return {404, "this process keeps no view of a fleet"};
  MembershipTransport& membership = *components_.membership;
  if (command.verb == console::Verb::kFleetLeave) {
    membership.Leave();
    return {200, "left the fleet; the process serves on"};
  }
  if (command.verb == console::Verb::kFleetReap) {
    if (!membership.ForceRemove(command.who)) return {409, "no member of that name is dead here"};
    return {200, "reaped"};
  }
  return {200, membership.StatusJson(command.after), kJson};
}

ConsoleReply ConsoleCommands::ShowSettings() const {
  if (!components_.feed) return {404, "this process takes no settings from a feed"};
  return {200, components_.feed->client.StatusJson(), kJson};
}

}  // namespace dappletiller
