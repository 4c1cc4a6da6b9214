#include "proxy/resource_log.hpp"

#include <sys/resource.h>

namespace dappletiller {
namespace {

constexpr Micros kInterval = 5'000'000;
constexpr Micros kMicrosPerSecond = 1'000'000;
constexpr long kKilobytesPerMegabyte = 1024;
constexpr std::size_t kBytesPerMegabyte = std::size_t{1} << 20;
constexpr std::size_t kBytesPerKilobyte = 1024;

long PeakMemoryKilobytes() {
  rusage usage{};
  return ::getrusage(RUSAGE_SELF, &usage) == 0 ? usage.ru_maxrss : 0;
}

}  // namespace

void ResourceLog::Start() {
  started_at_ = components_.loop.Now();
  timer_.Set(kInterval, [this] { Write(); });
}

void ResourceLog::Write() {
  timer_.Set(kInterval, [this] { Write(); });
  const long peak = PeakMemoryKilobytes();
  const std::size_t connections = components_.descriptors.used();
  if (connections == 0 && peak == reported_peak_) return;
  reported_peak_ = peak;
  components_.log.Important(
      "resources: peak memory %ld of %zu MB; request data %zu kB, response data %zu kB, %zu responses wait "
      "for memory; %zu of %zu "
      "connections; %zu requests in the table; up %lld s",
      peak / kKilobytesPerMegabyte, components_.config.memory / kBytesPerMegabyte,
      components_.request_memory->used() / kBytesPerKilobyte,
      components_.response_memory->used() / kBytesPerKilobyte, components_.upstream.waiting_for_memory(),
      connections, components_.descriptors.limit(), components_.dispatcher.table_size(),
      static_cast<long long>((components_.loop.Now() - started_at_) / kMicrosPerSecond));
}

}  // namespace dappletiller
