// Owns all parts of one proxy and connects them. They refer to each other, so it is neither copied nor moved.
#ifndef DAPPLETILLER_PROXY_COMPONENTS_HPP_
#define DAPPLETILLER_PROXY_COMPONENTS_HPP_

#include <memory>
#include <optional>
#include <string>

#include "base/memory_budget.hpp"
#include "config/operator_file.hpp"
#include "config/platform_config.hpp"
#include "config_feed/client/feed_client.hpp"
#include "config_feed/follower.hpp"
#include "discovery/discovery_client.hpp"
#include "dispatch/request_dispatcher.hpp"
#include "downstream/listener.hpp"
#include "io/descriptor_limit.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"
#include "membership/transport/membership_transport.hpp"
#include "proxy/settings_applier.hpp"
#include "upstream/upstream_pool.hpp"

namespace dappletiller {

// The configuration feed's parts, in a proxy that follows it.
struct FeedComponents {
  FeedComponents(EventLoop& loop, Log& log, const std::string& name, config_feed::FollowerOptions options,
                 DownstreamListener& listener, RequestDispatcher& dispatcher);
  // The operator file's scope.
  static config_feed::Scope MakeScope(const operators::SettingsFeedOptions& options);

  config_feed::Follower follower;
  SettingsApplier applier;
  FeedClient client;
};

struct ProxyComponents final : private QuotaShareObserver {
  // Throws ConfigError, std::invalid_argument, operators::OperatorError or std::system_error.
  // `operator_path`: empty without an operator file.
  ProxyComponents(Log& log, Config loaded, std::string operator_path);
  ProxyComponents(const ProxyComponents&) = delete;
  ProxyComponents& operator=(const ProxyComponents&) = delete;

  // Starts to serve, with the servers listed in the configuration. Throws std::system_error or ConfigError.
  void Start();

  Log& log;
  Config config;
  std::string operator_path;
  EventLoop loop;
  RequestDispatcher dispatcher;
  DescriptorLimit descriptors;
  std::shared_ptr<MemoryBudget> request_memory;
  std::shared_ptr<MemoryBudget> response_memory;
  std::shared_ptr<MemoryBudget> long_bodies;
  UpstreamPool upstream;
  DownstreamListener listener;
  DiscoveryClient discovery;
  std::optional<MembershipTransport> membership;
  std::optional<FeedComponents> feed;

 private:
  void AddFeed(const operators::SettingsFeedOptions& options);
  void AddMembership(operators::FleetOptions options);
  void OnQuotaShare(double share, TimePoint valid_until) override {
    dispatcher.SetQuotaShare(share, ToMicros(valid_until));
  }
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_PROXY_COMPONENTS_HPP_
