#include "proxy/reload.hpp"

#include <exception>
#include <optional>
#include <system_error>
#include <utility>

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

// What a running process cannot take over.
bool NeedsRestart(const Config& in_use, const Config& loaded) {
  const balancer::Settings& now = in_use.settings;
  const balancer::Settings& then = loaded.settings;
  return !(loaded.listen == in_use.listen) || loaded.name != in_use.name ||
         loaded.names.zones != in_use.names.zones || then.zone != now.zone ||
         then.endpoints_on_request != now.endpoints_on_request || then.clock_step != now.clock_step;
}

void ReloadSettings(const Config& config, ProxyComponents* components) {
  components->dispatcher.ApplySettings(config.settings, config.classes);
  if (components->feed) components->feed->applier.ReapplyClasses();
}

void ReloadConfig(const Config& config, ProxyComponents* components) {
  const bool needs_restart = NeedsRestart(components->config, config);
  const bool discovery_moves = !(config.discovery == components->config.discovery);
  components->descriptors.Resize(ConnectionLimit(config), ReservedForClients(config));
  components->listener.SetConnectionSlots(ClientConnectionSlots(config));
  components->upstream.SetLimits(MakeUpstreamLimits(config));
  if (discovery_moves) components->discovery.MoveTo(config.discovery, config.discovery_text);
  ReloadSettings(config, components);
  components->log.Important(
      "reload: done, discovery %s %s%s", discovery_moves ? "moves to" : "stays at",
      config.discovery_text.c_str(),
      needs_restart ? "; the name, listen address, zones, registryMode or tick need a restart" : "");
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
  ReloadConfig(files->config, components);
  if (!components->operator_path.empty()) ReloadOperatorFile(std::move(files->operator_file), components);
  // The module goes on with the settings, and the listener with the address, that they have.
  components->config.discovery = files->config.discovery;
}

}  // namespace dappletiller
