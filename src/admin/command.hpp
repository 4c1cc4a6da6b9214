// Parses requests to the operators' console into commands. Pure: uses no socket, file or clock. An unknown or
// invalid request yields an error status (4xx), never an exception.
#ifndef DAPPLETILLER_ADMIN_COMMAND_HPP_
#define DAPPLETILLER_ADMIN_COMMAND_HPP_

#include <cstdint>
#include <string>
#include <string_view>

namespace dappletiller::console {

enum class Verb {
  kNone,
  kReady,
  kDetach,
  kAttach,
  kLameduckOn,
  kLameduckOff,
  kFleet,
  kFleetLeave,
  kFleetReap,
  kSettings
};

struct Command {
  Verb verb = Verb::kNone;
  std::string who;  // the server's id as listed by discovery (detach, attach), or a member's name (reap)
  std::uint64_t after = 0;  // fleet: only events numbered above this
  int status = 0;           // 0: a valid command; otherwise the error status (400, 404, 405)
  std::string_view reason;  // one-line description of the error; static text
};

// `method` and `target` of the request line; `target` may have a query.
Command Read(std::string_view method, std::string_view target);

}  // namespace dappletiller::console

#endif  // DAPPLETILLER_ADMIN_COMMAND_HPP_
