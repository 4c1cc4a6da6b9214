#include "rig/measure.hpp"

#include <malloc.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <memory>
#include <optional>
#include <pcg_random.hpp>

#include "base/payload.hpp"
#include "config/platform_config.hpp"
#include "dispatch/request_dispatcher.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"
#include "rig/scale.hpp"

namespace dappletiller::rig {
namespace {

constexpr std::size_t kOpen = 8;
constexpr std::uint32_t kLargestHint = 200'000;  // microseconds of work

double Cpu() {
  timespec at{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
  return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) / 1e9;
}

double ResidentMb() {
  ::malloc_trim(0);  // what is free again isn't held
  std::ifstream file("/proc/self/statm");
  double all = 0, resident = 0;
  file >> all >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

// Servers that answer when they are told to, and are never reached by a socket.
class Answering final : public UpstreamTransport {
 public:
  void Start(const Attempt& attempt) override { out.push_back(attempt.key); }
  bool StartResponse(AttemptKey) override { return false; }
  void Cancel(AttemptKey key, CancelReason) override { std::erase(out, key); }
  bool RevokeUnsent(AttemptKey) override { return false; }
  void SetEndpoint(ServerId, const Endpoint&) override {}
  void StopUsing(ServerId) override {}
  void Remove(ServerId) override {}
  std::vector<AttemptKey> out;
};
class NoList final : public EndpointSource {
 public:
  void Watch() override {}
  void Fetch() override {}
};
class Nobody final : public ResponseSink {
 public:
  void OnResponse(PayloadRef) override {}
  void OnResponseStarted(PayloadRef, std::shared_ptr<BodyStream>) override {}
  void OnRejected(Micros) override {}
  void OnFailed() override {}
  bool ClientHasDisconnected() const override { return false; }
};

ScaleScript Small(int tenants) {
  ScaleScript script;
  script.hollow = 1900;
  script.real = 0;
  script.zones = 15;
  script.tenants = tenants;
  return script;
}

std::string Entry(const MeasureSizes& sizes, int server, const char* state) {
  return "{\"uid\":\"s-" + std::to_string(10'000'000 + server) + "\",\"endpoint\":\"10." +
         std::to_string(server >> 16) + "." + std::to_string(server >> 8 & 255) + "." +
         std::to_string(server & 255) + ":8080\",\"az\":\"z" + std::to_string(server % 15) +
         "\",\"model\":\"m\",\"pod_group\":" + std::to_string(server % sizes.services) + ",\"state\":\"" +
         state + "\",\"capacity_hint\":4,\"boot_ms\":0}";
}

std::string ListText(std::uint64_t version, bool all, const std::string& entries) {
  return "{\"rev\":" + std::to_string(version) + ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[" +
         entries + "]}";
}

void ServersRow(const MeasureSizes& sizes, int servers) {
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> nowhere(std::fopen("/dev/null", "w"), &std::fclose);
  Log log(nowhere.get(), "measure");
  EventLoop loop;
  Answering workers;
  NoList source;
  Config config = ParseConfig(ScaleConfig(Small(100), "m", 0, "127.0.0.1:1", "1", 1));
  RequestDispatcher dispatcher(loop, log, config.settings, config.classes);
  dispatcher.Connect(workers, source);
  dispatcher.OnEndpointUpdate(config.known);
  std::string entries;
  for (int i = 0; i < servers; ++i) entries += (i == 0 ? "" : ",") + Entry(sizes, i, "up");
  std::string whole = ListText(1, true, entries);
  std::string().swap(entries);
  double before_mb = ResidentMb(), before = Cpu();
  std::size_t bytes = whole.size();
  {
    auto list = ParseList(whole, config.names);
    dispatcher.OnEndpointUpdate(*list);
  }
  double whole_ms = (Cpu() - before) * 1e3;
  std::string().swap(whole);
  double mb = ResidentMb() - before_mb;
  // Changes: a server drains, another time it is up again.
  pcg32 random(7);
  std::vector<bool> drains(static_cast<std::size_t>(servers), false);
  std::uint64_t version = 1;
  double parse = 0, apply = 0, most = 0;
  int steps = 0;
  std::size_t change_bytes = 0;
  for (; parse + apply < sizes.seconds || steps < 20; ++steps) {
    std::string text;
    for (int k = 0; k < std::min(sizes.batch, servers); ++k) {
      auto i = random(static_cast<std::uint32_t>(servers));
      drains[i] = !drains[i];
      text += (k == 0 ? "" : ",") + Entry(sizes, static_cast<int>(i), drains[i] ? "draining" : "up");
    }
    text = ListText(++version, false, text);
    change_bytes = text.size();
    double a = Cpu();
    auto list = ParseList(text, config.names);
    double b = Cpu();
    dispatcher.OnEndpointUpdate(*list);
    double c = Cpu();
    parse += b - a;
    apply += c - b;
    most = std::max(most, c - b);
  }
  // Requests of all classes, small and large, each answered once kOpen others have come after it: about what
  // a proxy holds at 74 requests a second.
  Nobody nobody;
  double requests = 0;
  long count = 0;
  while (requests < sizes.seconds) {
    double a = Cpu();
    for (int k = 0; k < 100; ++k, ++count) {
      RequestId id = dispatcher.NewRequestId();
      IncomingRequest arrival;
      arrival.request_class = static_cast<int>(random(3));
      arrival.deadline = loop.Now() + 5'000'000;
      arrival.work_hint = 1 + random(kLargestHint);
      arrival.tenant = static_cast<int>(random(100));
      dispatcher.OnRequest(id, std::move(arrival), nobody);
      while (workers.out.size() > kOpen) {
        AttemptKey key = workers.out.front();
        workers.out.erase(workers.out.begin());
        dispatcher.OnAttemptEnded(key, AttemptOutcome::kAnswered, nullptr);
      }
    }
    requests += Cpu() - a;
    loop.RunOnce(0);
  }
  std::printf("%d %zu %.3f %.3f %zu %.3f %.3f %.3f %.3f\n", servers, bytes, whole_ms, mb, change_bytes,
              parse / steps * 1e6, apply / steps * 1e6, most * 1e6,
              requests / static_cast<double>(count) * 1e6);
}

void TenantsRow(const MeasureSizes& sizes, int tenants) {
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> nowhere(std::fopen("/dev/null", "w"), &std::fclose);
  Log log(nowhere.get(), "measure");
  EventLoop loop;
  std::string text = ScaleConfig(Small(tenants), "m", 0, "127.0.0.1:1", "1", 1);
  double before_mb = ResidentMb();
  std::optional<Config> config;
  std::optional<RequestDispatcher> dispatcher;
  try {
    config = ParseConfig(text);
  } catch (const ConfigError&) {
    std::printf("%d %zu - - -\n", tenants, text.size());
    return;
  }
  dispatcher.emplace(loop, log, config->settings, config->classes);
  double mb = ResidentMb() - before_mb;
  // A change: the whole read anew and compared, as the program does at SIGHUP.
  double all = 0, most = 0;
  int steps = 0;
  for (; all < sizes.seconds || steps < 3; ++steps) {
    double a = Cpu();
    Config fresh = ParseConfig(text);
    bool same = fresh.settings_text == config->settings_text;
    double took = Cpu() - a;
    all += took;
    most = std::max(most, took);
    if (!same) return;
  }
  std::printf("%d %zu %.3f %.3f %.3f\n", tenants, text.size(), all / steps * 1e3, most * 1e3, mb);
}

// Each in a process of its own: memory that an earlier one has let go would hide what this one takes.
template <typename Row>
int Each(const std::vector<int>& sizes, Row row) {
  for (int size : sizes) {
    std::fflush(stdout);
    pid_t pid = ::fork();
    if (pid < 0) return 1;
    if (pid == 0) {
      row(size);
      std::fflush(stdout);
      ::_exit(0);
    }
    int status = 0;
    if (::waitpid(pid, &status, 0) != pid || status != 0) return 1;
  }
  return 0;
}

}  // namespace

int MeasureServers(const MeasureSizes& sizes) {
  std::printf("# processor time; entries changed together: %d\n", sizes.batch);
  std::printf(
      "servers whole_bytes whole_ms list_mb change_bytes change_parse_us change_us change_most_us "
      "request_us\n");
  return Each(sizes.servers, [&](int size) { ServersRow(sizes, size); });
}

int MeasureTenants(const MeasureSizes& sizes) {
  std::printf("# processor time; a change is the whole file read anew (- : refused)\n");
  std::printf("tenants settings_bytes settings_ms settings_most_ms settings_mb\n");
  return Each(sizes.tenants, [&](int size) { TenantsRow(sizes, size); });
}

}  // namespace dappletiller::rig
