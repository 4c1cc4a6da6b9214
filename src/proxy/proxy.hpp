// One proxy, from its start to its end.
#ifndef DAPPLETILLER_PROXY_PROXY_HPP_
#define DAPPLETILLER_PROXY_PROXY_HPP_

#include <string>

namespace dappletiller {

// Serves until SIGTERM or SIGINT. Returns the exit code: 0 after a graceful shutdown, 1 if it could not
// start; the log says why in one line. `operator_path`: the operator file; empty: exactly as the platform
// starts it.
int Serve(const std::string& operator_path);

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_PROXY_HPP_
