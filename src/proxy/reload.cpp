#include "proxy/reload.hpp"

#include <exception>
#include <optional>
#include <utility>

#include "proxy/environment.hpp"
#include "proxy/options.hpp"

namespace dappletiller {
namespace {

struct LoadedFiles {
  Config config;
  operators::OperatorFile operator_file;  // empty without one
};

std::optional<LoadedFiles> LoadFiles(const ProxyParts& parts) {
  LoadedFiles files;
  try {
    files.config = LoadConfig();
    if (!parts.operator_path.empty()) files.operator_file = operators::LoadOperatorFile(parts.operator_path);
  } catch (const std::exception& error) {  // a bad file must not end a proxy that serves
    parts.log.Important("reload: the old configuration stays: %s", error.what());
    return std::nullopt;
  }
  return files;
}

void ReloadClasses(const Config& config, ProxyParts* parts) {
  const ListenerOptions options = MakeListenerOptions(config, nullptr);
  parts->listener.Retune(options.classes, options.patience, options.effects);
  if (parts->feed) parts->feed->applier.ReapplyClasses();
}

void ReloadConfig(const Config& config, ProxyParts* parts) {
  const bool settings_changed = config.settings_text != parts->config.settings_text;
  const bool needs_restart = settings_changed || !(config.listen == parts->config.listen);
  const bool discovery_moves = !(config.discovery == parts->config.discovery);
  parts->descriptors.Resize(ConnectionLimit(config), ReservedForClients(config));
  parts->listener.Resize(ClientConnectionSlots(config));
  parts->upstream.SetLimits(MakeUpstreamLimits(config));
  if (discovery_moves) parts->discovery.Move(config.discovery, config.discovery_text);
  if (settings_changed) ReloadClasses(config, parts);
  parts->log.Important("reload: done, discovery %s %s%s", discovery_moves ? "moves to" : "stays at",
                       config.discovery_text.c_str(),
                       needs_restart ? "; classes are taken, the rest of what changed needs a restart" : "");
}

// Another scope or other servers; what is in force stays until the new scope is here whole.
void ReloadFeed(const operators::SettingsFeedOptions& options, ProxyParts* parts) {
  const Micros now = parts->loop.Now();
  parts->feed->follower.SetServers(now, options.nearby, options.others);
  parts->feed->follower.SetScope(now, FeedParts::MakeScope(options));
  parts->feed->client.RestartRequest();
}

void ReloadOperatorFile(operators::OperatorFile file, ProxyParts* parts) {
  Log& log = parts->log;
  log.Configure(file.log_json ? Log::Format::kJson : Log::Format::kText, Log::ParseLevel(file.log_level));
  bool complete = parts->membership.has_value() == file.fleet.has_value();
  if (parts->membership && file.fleet) complete = parts->membership->Reload(std::move(*file.fleet));
  if (parts->feed && file.settings_feed) ReloadFeed(*file.settings_feed, parts);
  if (parts->feed.has_value() != file.settings_feed.has_value()) {
    log.Info("reload: [settings_feed] needs a restart to come or go");
  }
  log.Important("reload: %s read%s", parts->operator_path.c_str(),
                complete ? "" : "; the fleet's name, addresses and parts need a restart to change");
}

}  // namespace

void Reload(ProxyParts* parts) {
  auto files = LoadFiles(*parts);
  if (!files) return;
  ReloadConfig(files->config, parts);
  if (!parts->operator_path.empty()) ReloadOperatorFile(std::move(files->operator_file), parts);
  // The module goes on with the settings, and the listener with the address, that they have.
  parts->config.discovery = files->config.discovery;
}

}  // namespace dappletiller
