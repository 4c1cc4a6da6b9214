// What the platform tells a proxy through its environment: the configuration file, the console's address, an
// inherited socket. All of these throw ConfigError.
#ifndef DAPPLETILLER_PROXY_ENVIRONMENT_HPP_
#define DAPPLETILLER_PROXY_ENVIRONMENT_HPP_

#include <optional>

#include "base/endpoint.hpp"
#include "config/platform_config.hpp"

namespace dappletiller {

// Reads the file that BALANCER_CONFIG names.
Config LoadConfig();
// Where the console listens: BALANCER_CONSOLE goes before the configuration; none on days without a console.
std::optional<Endpoint> ConsoleEndpoint(const Config& config);
// The descriptor in BALANCER_SOCKET_FD: the clients' listening socket that the platform holds for every
// process.
std::optional<int> InheritedSocket();

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_ENVIRONMENT_HPP_
