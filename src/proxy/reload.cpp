#include "proxy/reload.hpp"

#include <exception>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include "config_feed/values.hpp"
#include "io/transient_error.hpp"
#include "proxy/environment.hpp"
#include "proxy/options.hpp"

namespace dappletiller {
namespace {

struct LoadedFiles {
  Config config;
  operators::OperatorFile operator_file;  // empty without one
};

void LogRejected(const ProxyComponents& components, const std::exception& error) {
  components.log.Important("reload: the old configuration stays: %s", error.what());
}

std::optional<LoadedFiles> LoadFiles(const ProxyComponents& components) {
  LoadedFiles files;
  try {
    files.config = LoadConfig();
    if (const auto key = FindMissingKey(components.config, files.config))
      throw ConfigError(*key + " is missing, which the configuration in use has");
    if (!components.operator_path.empty())
      files.operator_file = operators::LoadOperatorFile(components.operator_path);
  } catch (const std::system_error& error) {
    if (IsShortage(error.code().value())) throw;
    LogRejected(components, error);
    return std::nullopt;
  } catch (const std::exception& error) {  // an invalid file must not end the process
    LogRejected(components, error);
    return std::nullopt;
  }
  return files;
}

// Puts what is in use in the place of what a running process cannot take over. Returns whether any of it
// differs.
bool KeepUntilRestart(const Config& in_use, Config* loaded) {
  bool differs = false;
  auto keep = [&differs](const auto& kept, auto* replaced) {
    if (!(kept == *replaced)) differs = true;
    *replaced = kept;
  };
  keep(in_use.name, &loaded->name);
  keep(in_use.listen, &loaded->listen);
  keep(in_use.console, &loaded->console);
  keep(in_use.names.zones, &loaded->names.zones);
  keep(in_use.settings.zone, &loaded->settings.zone);
  keep(in_use.settings.zones, &loaded->settings.zones);
  keep(in_use.settings.endpoints_on_request, &loaded->settings.endpoints_on_request);
  keep(in_use.settings.clock_step, &loaded->settings.clock_step);
  return differs;
}

void ReloadTenants(const Config& before, const Config& now, ProxyComponents* components) {
  if (before.tenants == now.tenants && before.settings.tenants == now.settings.tenants) return;
  const std::set<std::string_view> listed(now.tenants.begin(), now.tenants.end());
  for (const std::string& name : before.tenants) {
    if (listed.count(name) != 0) continue;
    const int index = components->listener.RemoveTenant(name);
    if (index >= 0) components->dispatcher.SetTenant(index, false, {});
  }
  for (std::size_t i = 0; i < now.tenants.size() && i < now.settings.tenants.size(); ++i) {
    const int index = components->listener.AddTenant(now.tenants[i]);
    components->dispatcher.SetTenant(index, true, now.settings.tenants[i]);
  }
  if (components->feed) components->feed->applier.Reapply(config_feed::kTenantKind);
}

void ReloadConfig(Config config, ProxyComponents* components) {
  const bool needs_restart = KeepUntilRestart(components->config, &config);
  const bool discovery_moves = !(config.discovery == components->config.discovery);
  const Config before = std::exchange(components->config, std::move(config));
  const Config& now = components->config;
  components->descriptors.Resize(ConnectionLimit(now), ReservedForClients(now));
  components->listener.SetConnectionSlots(ClientConnectionSlots(now));
  const MemoryPlan plan = PlanMemory(now);
  components->request_memory->SetLimit(plan.requests);
  components->response_memory->SetLimit(plan.responses);
  components->long_bodies->SetLimit(plan.long_bodies);
  components->upstream.SetLimits(MakeUpstreamLimits(now));
  components->discovery.Reconfigure(MakeDiscoveryOptions(now));
  components->dispatcher.ApplySettings(now.settings, now.classes);
  if (components->feed) components->feed->applier.Reapply(config_feed::kClassKind);
  ReloadTenants(before, now, components);
  components->log.Important(
      "reload: done, discovery %s %s%s", discovery_moves ? "moves to" : "stays at",
      now.discovery_text.c_str(),
      needs_restart ? "; the name, addresses, zones, registryMode or tick need a restart" : "");
}

// Changes the scope or the servers. The current settings stay in force until the new scope is complete.
void ReloadFeed(const operators::SettingsFeedOptions& options, ProxyComponents* components) {
  const Micros now = components->loop.Now();
  components->feed->follower.SetServers(now, options.nearby, options.others);
  components->feed->follower.SetScope(now, FeedComponents::MakeScope(options));
  components->feed->client.RestartRequest();
}

void ReloadOperatorFile(operators::OperatorFile file, ProxyComponents* components) {
  Log& log = components->log;
  log.Configure(file.log_json ? Log::Format::kJson : Log::Format::kText, Log::ParseLevel(file.log_level));
  bool complete = components->membership.has_value() == file.fleet.has_value();
  if (components->membership && file.fleet) complete = components->membership->Reload(std::move(*file.fleet));
  if (components->feed && file.settings_feed) ReloadFeed(*file.settings_feed, components);
  if (components->feed.has_value() != file.settings_feed.has_value()) {
    log.Info("reload: [settings_feed] was added or removed; restart to apply this");
  }
  log.Important("reload: %s read%s", components->operator_path.c_str(),
                complete ? "" : "; the fleet's name, addresses and parts need a restart to change");
}

}  // namespace

void Reload(ProxyComponents* components) {
  auto files = LoadFiles(*components);
  if (!files) return;
  ReloadConfig(std::move(files->config), components);
  if (!components->operator_path.empty()) ReloadOperatorFile(std::move(files->operator_file), components);
}

}  // namespace dappletiller
