// The operators' console: what one HTTP/1.1 request to the second address asks for. Pure: it is handed a
// parsed request and knows no socket, file or clock. A request that asks for nothing it knows gets a status
// that says why (4xx), never an exception.
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
  std::string who;          // the worker's id as discovery lists it (detach, attach), or a member (reap)
  std::uint64_t after = 0;  // fleet: only changes numbered above this
  int status = 0;           // 0: a command; else the no to give at once (400, 404, 405)
  std::string_view reason;  // a plain line for that no; static text
};

// `method` and `target` as they stand in the request line; `target` may carry a query.
Command Read(std::string_view method, std::string_view target);

}  // namespace dappletiller::console

#endif  // DAPPLETILLER_ADMIN_COMMAND_HPP_
