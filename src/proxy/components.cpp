#include "proxy/components.hpp"

#include <utility>

#include "proxy/environment.hpp"
#include "proxy/options.hpp"

namespace dappletiller {

FeedComponents::FeedComponents(EventLoop& loop, Log& log, const std::string& name,
                               config_feed::FollowerOptions options, DownstreamListener& listener,
                               RequestDispatcher& dispatcher)
    : follower(std::move(options)),
      applier(log, follower, listener, dispatcher),
      client(loop, log, follower, name, applier) {}

config_feed::Scope FeedComponents::MakeScope(const operators::SettingsFeedOptions& options) {
  config_feed::Scope scope;
  scope.services.insert(options.services.begin(), options.services.end());
  return scope;
}

ProxyComponents::ProxyComponents(Log& program_log, Config loaded, std::string operator_file)
    : log(program_log),
      config(std::move(loaded)),
      operator_path(std::move(operator_file)),
      dispatcher(loop, log, config.settings, config.classes),
      descriptors(ConnectionLimit(config), ReservedForClients(config)),
      request_memory(std::make_shared<MemoryBudget>(PlanMemory(config).requests)),
      response_memory(std::make_shared<MemoryBudget>(PlanMemory(config).responses)),
      long_bodies(std::make_shared<MemoryBudget>(PlanMemory(config).long_bodies)),
      upstream(loop, log, dispatcher, descriptors, MakeUpstreamLimits(config), long_bodies, response_memory),
      listener(loop, log, dispatcher, descriptors, MakeListenerOptions(config, request_memory, long_bodies)),
      discovery(loop, log, dispatcher, MakeDiscoveryOptions(config)) {
  dispatcher.Connect(upstream, discovery);
  config.settings_text.clear();  // only the scale runs compare it
  if (operator_path.empty()) return;
  operators::OperatorFile file = operators::LoadOperatorFile(operator_path);
  log.Configure(file.log_json ? Log::Format::kJson : Log::Format::kText, Log::ParseLevel(file.log_level));
  if (file.settings_feed) AddFeed(*file.settings_feed);
  if (file.fleet) AddMembership(std::move(*file.fleet));
}

void ProxyComponents::AddFeed(const operators::SettingsFeedOptions& options) {
  config_feed::FollowerOptions follower;
  follower.self = config.name;
  follower.nearby = options.nearby;
  follower.others = options.others;
  follower.seed = config.settings.seed ^ static_cast<std::uint64_t>(loop.Now());
  follower.scope = FeedComponents::MakeScope(options);
  follower.snapshot_rate = options.snapshot_rate;
  feed.emplace(loop, log, config.name, std::move(follower), listener, dispatcher);
}

void ProxyComponents::AddMembership(operators::FleetOptions options) {
  const auto zone = static_cast<std::size_t>(config.settings.zone);
  const std::string zone_name = zone < config.names.zones.size() ? config.names.zones[zone] : std::string();
  membership.emplace(loop, log, std::move(options), config.name, zone_name,
                     static_cast<QuotaShareObserver&>(*this));
}

void ProxyComponents::Start() {
  if (const auto inherited = InheritedSocket()) {
    listener.Inherit(*inherited);
  } else {
    listener.Listen();
  }
  dispatcher.OnEndpointUpdate(config.known);
  discovery.Start();
}

}  // namespace dappletiller
