// One proxy, from its start to its end: reads the configuration, wires the parts together, handles signals.
#ifndef DAPPLETILLER_PROXY_PROXY_HPP_
#define DAPPLETILLER_PROXY_PROXY_HPP_

#include <string>

namespace dappletiller {

// Serves until SIGTERM; the exit code (0: a clean way out, 1: it could not start, said in one line).
// `operator_path`: the operators' file; empty: exactly as the platform starts it.
int Serve(const std::string& operator_path);

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_PROXY_HPP_
