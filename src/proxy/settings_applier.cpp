#include "proxy/settings_applier.hpp"

#include <string>

namespace dappletiller {
namespace {

balancer::Effect ToModuleEffect(config_feed::ClassEffect effect) {
  switch (effect) {
    case config_feed::ClassEffect::kFree:
      return balancer::Effect::kSafe;
    case config_feed::ClassEffect::kGuarded:
      return balancer::Effect::kKeyed;
    case config_feed::ClassEffect::kSingleShot:
      break;
  }
  return balancer::Effect::kUnsafe;
}

}  // namespace

void SettingsApplier::OnSettingsChanged(const std::vector<config_feed::Change>& changes) {
  for (const config_feed::EffectiveEntry& entry :
       config_feed::ResolveEntries(follower_.store(), follower_.scope(), changes)) {
    if (entry.kind == config_feed::kTenantKind) ApplyTenant(entry);
    if (entry.kind == config_feed::kClassKind) ApplyClass(entry);
  }
}

void SettingsApplier::Reapply(std::string_view kind) {
  std::vector<config_feed::Change> entries;
  follower_.store().ForEach([&](const std::string& key, const std::string& value) {
    if (config_feed::ParseKey(key)->kind == kind) entries.push_back({key, value, 0});
  });
  OnSettingsChanged(entries);
}

void SettingsApplier::ApplyTenant(const config_feed::EffectiveEntry& entry) {
  if (!entry.value) {
    RemoveTenant(entry.name);
    return;
  }
  const auto tenant = config_feed::ParseTenant(*entry.value);
  if (!tenant) {
    LogUnreadable(entry, tenant.error().message);
    return;
  }
  const int index = listener_.AddTenant(entry.name);
  if (index < 0) return;
  dispatcher_.SetTenant(index, true, {tenant->share, tenant->quota_per_second});
}

void SettingsApplier::RemoveTenant(const std::string& name) {
  const int index = listener_.RemoveTenant(name);
  if (index < 0) return;
  dispatcher_.SetTenant(index, false, {});
}

// A class that is no longer named stays known, as with a reload.
void SettingsApplier::ApplyClass(const config_feed::EffectiveEntry& entry) {
  if (!entry.value) return;
  const auto value = config_feed::ParseClass(*entry.value);
  if (!value) {
    LogUnreadable(entry, value.error().message);
    return;
  }
  dispatcher_.SetClass({entry.name, MergeClass(entry.name, *value)});
}

// The feed gives a class's timeout and effect. The rest is that of the configuration's class of this name, or
// of a similar one. How far and how long keys of a class are remembered follows from no other class: where
// the configuration does not say it, no request of the class is repeated once it may have run.
balancer::ClassSettings SettingsApplier::MergeClass(const std::string& name,
                                                    const config_feed::ClassValue& value) const {
  balancer::ClassSettings from_feed;
  from_feed.effect = ToModuleEffect(value.effect);
  from_feed.client_timeout = value.max_client_wait;
  const RequestClasses::Entry* known = dispatcher_.classes().Find(name);
  const RequestClasses::Entry* base = known != nullptr ? known : dispatcher_.classes().FindSimilar(from_feed);
  balancer::ClassSettings merged = base != nullptr ? base->settings : from_feed;
  const bool keys_are_known = known != nullptr && known->settings.effect == from_feed.effect;
  if (!keys_are_known) {
    merged.key_scope = balancer::KeyScope::kSameCell;
    merged.key_lifetime = 0;
  }
  merged.effect = from_feed.effect;
  merged.client_timeout = from_feed.client_timeout;
  if (merged.latency_objective <= 0) merged.latency_objective = merged.client_timeout;
  return merged;
}

void SettingsApplier::LogUnreadable(const config_feed::EffectiveEntry& entry, const std::string& why) {
  log_.Info("settings feed: %s %s: %s; keeping its previous value", entry.kind.c_str(), entry.name.c_str(),
            why.c_str());
}

}  // namespace dappletiller
