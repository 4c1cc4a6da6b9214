// Divides a proxy's resources between its parts, and derives their options from the configuration.
#ifndef DAPPLETILLER_PROXY_OPTIONS_HPP_
#define DAPPLETILLER_PROXY_OPTIONS_HPP_

#include <cstddef>
#include <memory>

#include "base/memory_budget.hpp"
#include "config/platform_config.hpp"
#include "discovery/discovery_client.hpp"
#include "downstream/listener.hpp"
#include "upstream/upstream_pool.hpp"

namespace dappletiller {

// Maximum number of downstream and upstream connections: the process's descriptors less those reserved for
// listeners, discovery, epoll, signals, standard streams, a file being read, and console connections.
std::size_t ConnectionLimit(const Config& config);
// Number of these that are reserved for clients.
std::size_t ReservedForClients(const Config& config);
// Number of slots for client connections with requests.
std::size_t ClientConnectionSlots(const Config& config);
// How the memory of a process is divided, in bytes. What is left is for the code, the tables and a parsed
// endpoint list.
struct MemoryPlan {
  std::size_t requests = 0;       // up to the usual size of each
  std::size_t responses = 0;      // up to the usual size of each
  std::size_t long_bodies = 0;    // what bodies have beyond the usual size
  std::size_t endpoint_list = 0;  // the longest list that is received
};
MemoryPlan PlanMemory(const Config& config);

ListenerOptions MakeListenerOptions(const Config& config, std::shared_ptr<MemoryBudget> request_memory,
                                    std::shared_ptr<MemoryBudget> long_bodies);
UpstreamLimits MakeUpstreamLimits(const Config& config);
DiscoveryOptions MakeDiscoveryOptions(const Config& config);

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_OPTIONS_HPP_
