#include "config_feed/config_server.hpp"

#include <algorithm>
#include <utility>

namespace dappletiller::config_feed {

FollowerOptions ConfigServer::WithEverything(FollowerOptions options) {
  options.scope = Scope{true, {}};
  options.snapshot_rate = 0;
  options.polls_replicas = true;
  return options;
}

ConfigServer::ConfigServer(FollowerOptions options, std::size_t snapshot_slots)
    : follower_(WithEverything(std::move(options))), admission_(snapshot_slots) {}

Response ConfigServer::HandleRequest(Micros now, const std::string& follower, const PageRequest& request,
                                     IfUnchanged if_unchanged) {
  Response response;
  if (store().IsBehind(request)) {
    response.kind = Response::Kind::kBehind;
    return response;
  }
  const bool is_snapshot = request.snapshot_began_at || !store().CanContinue(request);
  if (is_snapshot) response.retry_after = admission_.Admit(follower, now);
  if (response.retry_after > 0) {
    response.kind = Response::Kind::kBusy;
    return response;
  }
  const bool may_wait = if_unchanged == IfUnchanged::kWait && !is_snapshot;
  if (may_wait && !store().HasChangesFor(request)) return response;
  response.kind = Response::Kind::kPage;
  response.page = store().MakePage(request, kMaxPageSize);
  if (is_snapshot && response.page.is_last()) admission_.Release(follower, now);
  return response;
}

PublishResult ConfigServer::Publish(Micros now, std::uint64_t serial,
                                    const std::function<std::vector<Change>(Baseline)>& changes_since,
                                    std::uint64_t epoch, ServiceSet* touched) {
  if (!follower_.is_settled()) return PublishResult::kNotSettled;
  const StorePosition head = store().head();
  if (serial < head.serial) return PublishResult::kSerialTooLow;
  const bool published_last = own_epoch_ != 0 && head.epoch == own_epoch_ && head.serial == own_serial_;
  const std::vector<Change> changes =
      changes_since(published_last ? Baseline::kLastReading : Baseline::kWholeStore);
  if (serial == head.serial) {
    return changes.empty() ? PublishResult::kUnchanged : PublishResult::kSerialReused;
  }
  if (head.epoch == 0 || head.epoch != own_epoch_) own_epoch_ = std::max(epoch, head.epoch + 1);
  own_serial_ = serial;
  *touched = follower_.Publish(now, serial, own_epoch_, changes);
  return PublishResult::kPublished;
}

}  // namespace dappletiller::config_feed
