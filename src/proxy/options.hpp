// Divides a proxy's resources between its parts, and derives their options from the configuration.
#ifndef DAPPLETILLER_PROXY_OPTIONS_HPP_
#define DAPPLETILLER_PROXY_OPTIONS_HPP_

#include <cstddef>
#include <memory>

#include "config/platform_config.hpp"
#include "discovery/discovery_client.hpp"
#include "downstream/listener.hpp"
#include "http/body_memory.hpp"
#include "upstream/upstream_pool.hpp"

namespace dappletiller {

// Maximum number of downstream and upstream connections: the process's descriptors less those reserved for
// listeners, discovery, epoll, signals, standard streams, a file being read, and console connections.
std::size_t ConnectionLimit(const Config& config);
// Number of these that are reserved for clients.
std::size_t ReservedForClients(const Config& config);
// Number of slots for client connections with requests.
std::size_t ClientConnectionSlots(const Config& config);
// Memory for long bodies beyond the usual size, in bytes.
std::size_t LongBodyMemory(const Config& config);
std::size_t RequestMemory(const Config& config);

ListenerOptions MakeListenerOptions(const Config& config, std::shared_ptr<BodyMemory> long_bodies);
UpstreamLimits MakeUpstreamLimits(const Config& config);
DiscoveryOptions MakeDiscoveryOptions(const Config& config);

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_OPTIONS_HPP_
