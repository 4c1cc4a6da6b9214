// Runs one proxy.
#ifndef DAPPLETILLER_PROXY_PROXY_HPP_
#define DAPPLETILLER_PROXY_PROXY_HPP_

#include <string>

namespace dappletiller {

// Serves until SIGTERM or SIGINT. Returns the exit code: 0 after a graceful shutdown, 1 if the start failed,
// with the reason in one log line. `operator_path`: the operator file; empty: none, as the platform starts
// the program.
int Serve(const std::string& operator_path);

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_PROXY_HPP_
