// The `control` subcommand: one config server of the configuration feed, from its start to its end.
#ifndef DAPPLETILLER_CONTROL_SERVER_CONTROL_SERVER_HPP_
#define DAPPLETILLER_CONTROL_SERVER_CONTROL_SERVER_HPP_

#include <string>

namespace dappletiller {

// Serves until SIGTERM or SIGINT. Returns the exit code: 0 for an orderly end, 1 if it could not start, 2 if
// the operator file is at fault; the log says why in one line.
int RunControlServer(const std::string& operator_path);

}  // namespace dappletiller

#endif  // DAPPLETILLER_CONTROL_SERVER_CONTROL_SERVER_HPP_
