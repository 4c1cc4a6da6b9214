#include "proxy/options.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "admin/console.hpp"

namespace dappletiller {
namespace {

constexpr std::size_t kOwnDescriptors = 16 + Console::kMaxConnections;
constexpr std::size_t kReservedDivisor = 8;  // one in this many connections is reserved for clients
constexpr std::size_t kSlotsDivisor = 3;     // clients may use one in this many descriptors for requests
// Parts of the process's memory. A parsed list is several times as large as its text.
constexpr double kRequestShare = 5.0 / 12;
constexpr double kResponseShare = 5.0 / 24;
constexpr double kLongBodyShare = 1.0 / 8;
constexpr double kEndpointListShare = 1.0 / 16;
constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

}  // namespace

std::size_t ConnectionLimit(const Config& config) { return config.sockets - kOwnDescriptors; }
std::size_t ReservedForClients(const Config& config) { return config.sockets / kReservedDivisor; }
std::size_t ClientConnectionSlots(const Config& config) { return config.sockets / kSlotsDivisor; }

MemoryPlan PlanMemory(const Config& config) {
  const bool limit_is_known = config.memory > 0;
  if (!limit_is_known) return {kUnlimited, kUnlimited, 0, http::kMaxEndpointListSize};
  auto part = [&config](double share) {
    return static_cast<std::size_t>(share * static_cast<double>(config.memory));
  };
  return {part(kRequestShare), part(kResponseShare), part(kLongBodyShare),
          std::min(http::kMaxEndpointListSize, part(kEndpointListShare))};
}

ListenerOptions MakeListenerOptions(const Config& config, std::shared_ptr<MemoryBudget> request_memory,
                                    std::shared_ptr<MemoryBudget> long_bodies) {
  ListenerOptions options;
  options.request_memory = std::move(request_memory);
  options.long_bodies = std::move(long_bodies);
  options.listen = config.listen;
  options.connection_slots = ClientConnectionSlots(config);
  options.tenants = config.tenants;
  return options;
}

UpstreamLimits MakeUpstreamLimits(const Config& config) { return {config.dial_timeout, config.idle_timeout}; }

DiscoveryOptions MakeDiscoveryOptions(const Config& config) {
  DiscoveryOptions options;
  options.address = config.discovery;
  options.host = config.discovery_text;
  options.names = config.names;
  options.version = config.known.version;
  options.poll_interval = config.settings.poll_interval;
  options.pushed = !config.settings.endpoints_on_request;
  options.seed = config.settings.seed;
  options.max_list_size = PlanMemory(config).endpoint_list;
  return options;
}

}  // namespace dappletiller
