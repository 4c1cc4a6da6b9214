#include "proxy/settings_applier.hpp"

#include <string>

#include "config_feed/values.hpp"

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

void SettingsApplier::ReapplyClasses() {
  std::vector<config_feed::Change> classes;
  follower_.store().ForEach([&](const std::string& key, const std::string& value) {
    if (config_feed::ParseKey(key)->kind == config_feed::kClassKind) classes.push_back({key, value, 0});
  });
  OnSettingsChanged(classes);
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
  listener_.UpdateClasses({entry.name}, {value->max_client_wait}, {ToModuleEffect(value->effect)});
}

void SettingsApplier::LogUnreadable(const config_feed::EffectiveEntry& entry, const std::string& why) {
  log_.Info("settings feed: %s %s: %s; keeping its previous value", entry.kind.c_str(), entry.name.c_str(),
            why.c_str());
}

}  // namespace dappletiller
