// Settings from the environment: the configuration file, the console's address, an inherited socket. All
// functions throw ConfigError, and std::system_error where a file cannot be read.
#ifndef DAPPLETILLER_PROXY_ENVIRONMENT_HPP_
#define DAPPLETILLER_PROXY_ENVIRONMENT_HPP_

#include <optional>
#include <string>

#include "base/endpoint.hpp"
#include "config/platform_config.hpp"

namespace dappletiller {

// Reads the file named by BALANCER_CONFIG.
Config LoadConfig();
// The console's address: BALANCER_CONSOLE, or else the configuration; nothing if there is no console.
std::optional<Endpoint> ConsoleEndpoint(const Config& config);
// TMPDIR: outlives a process in an upgrade, and all processes of a proxy share it.
std::string TemporaryFolder();
// The descriptor in BALANCER_SOCKET_FD: a listening socket that the platform passes to each process.
std::optional<int> InheritedSocket();

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_ENVIRONMENT_HPP_
