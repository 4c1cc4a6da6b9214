// How a proxy's resources are split between its parts, and what each part is told of the configuration.
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

// Connections that clients and upstream servers may hold together: the process's descriptors less those that
// it keeps for listeners, discovery, epoll, signals, standard streams, a file while it is read, and the
// console's callers.
std::size_t ConnectionLimit(const Config& config);
// Of those, how many only clients may hold.
std::size_t ReservedForClients(const Config& config);
// Connections that clients may hold for requests.
std::size_t ClientConnectionSlots(const Config& config);
// Bytes that long bodies may take together beyond the usual size.
std::size_t LongBodyMemory(const Config& config);

ListenerOptions MakeListenerOptions(const Config& config, std::shared_ptr<BodyMemory> long_bodies);
UpstreamLimits MakeUpstreamLimits(const Config& config);
DiscoveryOptions MakeDiscoveryOptions(const Config& config);

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_OPTIONS_HPP_
