#include "proxy/options.hpp"

#include <utility>

#include "admin/console.hpp"

namespace dappletiller {
namespace {

constexpr std::size_t kOwnDescriptors = 16 + Console::kMaxConnections;
constexpr std::size_t kReservedDivisor = 8;  // one in this many connections is reserved for clients
constexpr std::size_t kSlotsDivisor = 3;     // clients may use one in this many descriptors for requests
// Long bodies may use one in this many bytes of the process's memory. A growing buffer may be up to twice as
// large as its contents.
constexpr std::size_t kLongBodiesDivisor = 8;
// Received requests may use one in this many bytes, besides the first part of each.
constexpr std::size_t kRequestMemoryDivisor = 4;

}  // namespace

std::size_t ConnectionLimit(const Config& config) { return config.sockets - kOwnDescriptors; }
std::size_t ReservedForClients(const Config& config) { return config.sockets / kReservedDivisor; }
std::size_t ClientConnectionSlots(const Config& config) { return config.sockets / kSlotsDivisor; }
std::size_t LongBodyMemory(const Config& config) { return config.memory / kLongBodiesDivisor; }

std::size_t RequestMemory(const Config& config) { return config.memory / kRequestMemoryDivisor; }

ListenerOptions MakeListenerOptions(const Config& config, std::shared_ptr<BodyMemory> long_bodies) {
  ListenerOptions options;
  options.long_bodies = std::move(long_bodies);
  if (config.memory > 0) options.request_memory = std::make_shared<BodyMemory>(RequestMemory(config));
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
  return options;
}

}  // namespace dappletiller
