// Cost of a single change for a proxy: of the settings as a file, and of the endpoint list. Google Benchmark,
// for the figures in docs/data; checks nothing. Run with --benchmark_format=json.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdio>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/platform_config.hpp"
#include "config_feed/effective_entries.hpp"
#include "config_feed/follower.hpp"
#include "config_feed/origin_file.hpp"
#include "config_feed/page_codec.hpp"
#include "config_feed/values.hpp"
#include "dappletiller/balancer.hpp"

namespace dappletiller {
namespace {

// Tenants as in a settings file: about 75 bytes each.
std::string ConfigText(int tenants) {
  std::string text =
      R"({"name":"p","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","limits":{"sockets":256},)"
      R"("known":{"rev":1,"all":true,"targets":[]},"settings":{"balancers":1900,"zones":["a","b","c"],)"
      R"("kinds":["k"],"zone":0,"registryMode":"ask","tick":5000,"classes":[{"name":"check","aim":200000,)"
      R"("giveUp":800000,"effect":"free"}],"invariants":{"askEvery":10000000,"startCapacity":0.3,)"
      R"("cold":10000000,"tipMultiple":2,"fall":1000000,"graceToAnswer":500000},"limits":{"maxAttempts":3,)"
      R"("mayCancel":true,"dialTimeout":100000,"connIdle":2000000},"tenants":[)";
  for (int i = 0; i < tenants; ++i) {
    char line[120];
    std::snprintf(line, sizeof line, R"(%s{"name":"tenant-branch-%06d","portion":0.0000055,"quotaRps":%d.5})",
                  i == 0 ? "" : ",\n", i, 1 + i % 7);
    text += line;
  }
  return text + "]}}";
}

// Allocated heap memory. Resident memory would include earlier rounds in the same process.
double HeapMegabytes() {
  struct mallinfo2 info = ::mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

// Reads and flattens the whole file and creates a module with it, as a reload does.
void WholeSettings(benchmark::State& state) {
  std::string text = ConfigText(static_cast<int>(state.range(0)));
  double before = HeapMegabytes(), after = 0;
  try {
    for (auto round : state) {
      (void)round;
      Config config = ParseConfig(text);
      balancer::Balancer module(config.settings);
      after = std::max(after, HeapMegabytes());
      benchmark::DoNotOptimize(module.ignored_events());
    }
  } catch (const ConfigError& e) {
    state.SkipWithError(e.what());
  }
  state.counters["bytes"] = static_cast<double>(text.size());
  state.counters["heap_mb"] = after - before;
}
BENCHMARK(WholeSettings)
    ->Arg(100)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Arg(65'536)
    ->Arg(180'000)
    ->Unit(benchmark::kMillisecond);

// One changed entry of the endpoint list, in the module.
void ListChange(benchmark::State& state) {
  balancer::Settings settings;
  settings.proxies = 1'900;
  settings.zones = 15;
  balancer::ClassSettings safe;
  safe.latency_objective = 200'000;
  safe.client_timeout = 800'000;
  safe.effect = balancer::Effect::kSafe;
  settings.classes = {safe};
  balancer::Balancer module(settings);
  balancer::EndpointListUpdate list;
  for (int i = 0; i < state.range(0); ++i) {
    balancer::ServerEntry entry;
    entry.id = static_cast<balancer::ServerId>(i);
    entry.zone = i % 15;
    list.entries.push_back(entry);
  }
  std::vector<balancer::Action> actions;
  balancer::Micros now = 1'000'000;
  module.Handle(now, list, &actions);
  balancer::EndpointListUpdate change;
  change.kind = balancer::EndpointListUpdate::Kind::kDelta;
  for (auto round : state) {
    (void)round;
    change.entries = {list.entries[static_cast<std::size_t>(now) % list.entries.size()]};
    change.entries[0].started_at = now += 1'000;
    actions.clear();
    module.Handle(now, change, &actions);
  }
}
BENCHMARK(ListChange)->Arg(120)->Arg(1'200)->Arg(17'000)->Unit(benchmark::kMicrosecond);

// Reads a snapshot of the endpoint list; reports its size.
void WholeList(benchmark::State& state) {
  std::string text = R"({"rev":1,"all":true,"targets":[)";
  for (int i = 0; i < state.range(0); ++i) {
    char line[240];
    std::snprintf(
        line, sizeof line,
        R"(%s{"uid":"plan-%06d-7f3a9c","state":"up","endpoint":"10.%d.%d.%d:8080","az":"a","model":"k",)"
        R"("pod_group":%d,"capacity_hint":1.5,"boot_ms":1764600000000})",
        i == 0 ? "" : ",", i, i / 65'536, i / 256 % 256, i % 256, i / 40);
    text += line;
  }
  text += "]}";
  for (auto round : state) {
    (void)round;
    auto list = ParseList(text, {{"a"}, {"k"}});
    benchmark::DoNotOptimize(list);
  }
  state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(WholeList)->Arg(120)->Arg(1'200)->Arg(17'000)->Unit(benchmark::kMillisecond);

// ---- The same change through the configuration feed ----

constexpr int kServices = 510;

config_feed::Change TenantEntry(int i, double quota, int services) {
  char key[80], value[80];
  std::snprintf(key, sizeof key, "tenant/plan-%d/tenant-branch-%06d", i % services, i);
  std::snprintf(value, sizeof value, R"({"portion":0.0000055,"quotaRps":%.1f})", quota);
  return {key, value, 0};
}

void Fill(config_feed::Store* store, int tenants, int services) {
  std::vector<config_feed::Change> all;
  for (int i = 0; i < tenants; ++i) all.push_back(TenantEntry(i, 1 + i % 7 + 0.5, services));
  store->Publish(1, 7, all);
}

// One changed tenant in a proxy of one service, from the response's text to the module. Bytes: request and
// response with headers. `range(1)`: number of services of the tenants.
void FeedChangeInProxy(benchmark::State& state) {
  int tenants = static_cast<int>(state.range(0)), services = static_cast<int>(state.range(1));
  config_feed::Store origin;
  Fill(&origin, tenants, services);
  double before = HeapMegabytes();
  config_feed::FollowerOptions options;
  options.self = "p";
  options.nearby = {"m"};
  options.scope.services = {"plan-0"};
  config_feed::Follower follower(options);
  balancer::Settings settings;
  settings.proxies = 1'900;
  balancer::ClassSettings safe;
  safe.latency_objective = safe.client_timeout = 800'000;
  settings.classes = {safe};
  balancer::Balancer module(settings);
  std::unordered_map<std::string, int> places;
  std::vector<balancer::Action> actions;
  Micros now = 0;
  auto take = [&](const std::string& text) {
    auto page = config_feed::ParsePage(text);
    for (const config_feed::EffectiveEntry& entry :
         config_feed::ResolveEntries(follower.store(), follower.scope(), follower.OnPage(now, *page, 0))) {
      auto tenant = config_feed::ParseTenant(entry.value.value_or(""));
      int place = places.try_emplace(entry.name, static_cast<int>(places.size())).first->second;
      module.Handle(now, balancer::TenantChanged{place, true, {tenant->share, tenant->quota_per_second}},
                    &actions);
    }
  };
  std::uint64_t whole_bytes = 0, bytes = 0, changes = 0;
  while (follower.store().head().version < origin.head().version) {
    auto request = follower.NextRequest(now += 1'000);
    std::string text = config_feed::WritePage(origin.MakePage(request->page, config_feed::kMaxPageSize));
    whole_bytes += text.size();
    take(text);
  }
  double after = HeapMegabytes();
  std::uint64_t serial = 1;
  for (auto round : state) {
    (void)round;
    state.PauseTiming();
    ++serial;
    origin.Publish(serial, 7, {TenantEntry(0, static_cast<double>(serial % 1'000), services)});
    auto request = follower.NextRequest(now += 1'000'000);
    std::string text = config_feed::WritePage(origin.MakePage(request->page, config_feed::kMaxPageSize));
    bytes += text.size() + config_feed::WriteRequest({"p", request->page, 2'000}).size() + 130;
    ++changes;
    state.ResumeTiming();
    take(text);
  }
  state.counters["bytes"] = static_cast<double>(bytes) / static_cast<double>(changes);
  state.counters["whole_bytes"] = static_cast<double>(whole_bytes);
  state.counters["entries"] = static_cast<double>(follower.store().size());
  state.counters["heap_mb"] = after - before;
}
BENCHMARK(FeedChangeInProxy)
    ->ArgsProduct({{100, 1'000, 10'000, 65'536, 180'000}, {1, kServices}})
    ->Unit(benchmark::kMicrosecond);

// One changed tenant at a config server: publishing it and answering one proxy.
void FeedChangeAtMachine(benchmark::State& state) {
  double before = HeapMegabytes();
  config_feed::Store store;
  Fill(&store, static_cast<int>(state.range(0)), kServices);
  double after = HeapMegabytes();
  std::uint64_t serial = 1;
  for (auto round : state) {
    (void)round;
    config_feed::PageRequest question{store.head(), std::nullopt, {false, {"plan-0"}}};
    ++serial;
    store.Publish(serial, 7, {TenantEntry(0, static_cast<double>(serial % 1'000), kServices)});
    benchmark::DoNotOptimize(config_feed::WritePage(store.MakePage(question, config_feed::kMaxPageSize)));
  }
  state.counters["heap_mb"] = after - before;
}
BENCHMARK(FeedChangeAtMachine)
    ->Arg(100)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Arg(65'536)
    ->Arg(180'000)
    ->Unit(benchmark::kMicrosecond);

// The origin reads its file with one changed line: the only cost that grows with the file.
void OriginFileChange(benchmark::State& state) {
  auto text = [&](int serial) {
    std::string all = "{\"serial\": " + std::to_string(serial) + "}\n";
    for (int i = 0; i < state.range(0); ++i) {
      char line[200];
      std::snprintf(line, sizeof line,
                    R"({"kind":"tenant","service":"plan-%d","name":"tenant-branch-%06d","value":)"
                    R"({"portion":0.0000055,"quotaRps":%d.5}})"
                    "\n",
                    i % kServices, i, i == 0 ? serial % 1'000 : 1 + i % 7);
      all += line;
    }
    return all;
  };
  config_feed::OriginFile origin("bench");
  int serial = 1;
  origin.Read(text(serial));
  for (auto round : state) {
    (void)round;
    state.PauseTiming();
    std::string next = text(++serial);
    state.ResumeTiming();
    benchmark::DoNotOptimize(origin.Read(next).changes.size());
  }
  state.counters["bytes"] = static_cast<double>(text(serial).size());
}
BENCHMARK(OriginFileChange)
    ->Arg(100)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Arg(65'536)
    ->Arg(180'000)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace dappletiller

BENCHMARK_MAIN();
