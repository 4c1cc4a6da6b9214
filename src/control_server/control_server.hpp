// The `control` subcommand: runs one config server of the configuration feed.
#ifndef DAPPLETILLER_CONTROL_SERVER_CONTROL_SERVER_HPP_
#define DAPPLETILLER_CONTROL_SERVER_CONTROL_SERVER_HPP_

#include <string>

namespace dappletiller {

// Serves until SIGTERM or SIGINT. Returns the exit code: 0 after an orderly end, 1 if the start failed, 2 if
// the operator file is invalid, with the reason in one log line.
int RunControlServer(const std::string& operator_path);

}  // namespace dappletiller

#endif  // DAPPLETILLER_CONTROL_SERVER_CONTROL_SERVER_HPP_
