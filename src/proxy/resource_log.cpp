#include "proxy/resource_log.hpp"

#include <malloc.h>

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>
#include <system_error>

#include "io/file.hpp"

namespace dappletiller {
namespace {

constexpr Micros kInterval = 5'000'000;
constexpr Micros kMicrosPerSecond = 1'000'000;
constexpr long kKilobytesPerMegabyte = 1024;
constexpr std::size_t kBytesPerMegabyte = std::size_t{1} << 20;
constexpr std::size_t kBytesPerKilobyte = 1024;

// The peak of this program (proc(5)); getrusage(2) counts what the process held before it executed the
// program too. 0: not known for now.
long PeakMemoryKilobytes() {
  std::string status;
  try {
    status = ReadFile("/proc/self/status");
  } catch (const std::system_error&) {
    return 0;
  }
  constexpr std::string_view kField = "VmHWM:";
  const std::size_t field = status.find(kField);
  if (field == std::string::npos) return 0;
  const std::size_t digits = status.find_first_of("0123456789", field);
  long kilobytes = 0;
  if (digits != std::string::npos) std::from_chars(&status[digits], status.data() + status.size(), kilobytes);
  return kilobytes;
}

}  // namespace

void ResourceLog::Start() {
  started_at_ = components_.loop.Now();
  timer_.Set(kInterval, [this] { Write(); });
}

void ResourceLog::Write() {
  timer_.Set(kInterval, [this] { Write(); });
  const long peak = std::max(PeakMemoryKilobytes(), reported_peak_);
  const std::size_t connections = components_.descriptors.used();
  if (connections == 0 && peak == reported_peak_) return;
  reported_peak_ = peak;
  const struct mallinfo2 heap = ::mallinfo2();
  components_.log.Important(
      "resources: peak memory %ld of %zu MB; heap %zu kB allocated, %zu kB free; request data %zu kB, "
      "response "
      "data %zu kB, %zu responses wait for memory; %zu of %zu connections; %zu requests in the table; up "
      "%lld s",
      peak / kKilobytesPerMegabyte, components_.config.memory / kBytesPerMegabyte,
      (heap.uordblks + heap.hblkhd) / kBytesPerKilobyte, heap.fordblks / kBytesPerKilobyte,
      components_.request_memory->used() / kBytesPerKilobyte,
      components_.response_memory->used() / kBytesPerKilobyte, components_.upstream.waiting_for_memory(),
      connections, components_.descriptors.limit(), components_.dispatcher.table_size(),
      static_cast<long long>((components_.loop.Now() - started_at_) / kMicrosPerSecond));
}

}  // namespace dappletiller
