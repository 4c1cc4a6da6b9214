#include "config_feed/control_machine.hpp"

#include <algorithm>
#include <utility>

namespace dappletiller::feed {

FollowerOptions ControlMachine::Everything(FollowerOptions options) {
  options.scope = Scope{true, {}};
  options.whole_rate = 0;
  options.look_round = true;
  return options;
}

ControlMachine::ControlMachine(FollowerOptions options, std::size_t places)
    : follower_(Everything(std::move(options))), admission_(places) {}

Reply ControlMachine::Hear(Micros now, const std::string& who, const Question& question, bool may_wait) {
  Reply reply;
  if (store().Behind(question)) {
    reply.kind = Reply::Kind::kBehind;
    return reply;
  }
  bool whole = question.began || !store().CanFollow(question);
  if (whole) reply.retry_after = admission_.Enter(who, now);
  if (reply.retry_after > 0) {
    reply.kind = Reply::Kind::kBusy;
    return reply;
  }
  if (!whole && may_wait && !store().HasNews(question)) return reply;
  reply.kind = Reply::Kind::kPage;
  reply.page = store().Tell(question, kPageBytes);
  if (whole && reply.page.last()) admission_.Leave(who, now);
  return reply;
}

ControlMachine::Published ControlMachine::Publish(
    Micros now, std::uint64_t serial, const std::function<std::vector<Change>(bool whole)>& differ,
    std::uint64_t epoch, std::set<std::string, std::less<>>* touched) {
  if (!follower_.settled()) return Published::kNotYet;
  const Identity head = store().head();
  if (serial < head.serial) return Published::kOld;
  bool own = own_epoch_ != 0 && head.epoch == own_epoch_ && head.serial == own_serial_;
  std::vector<Change> changes = differ(!own);
  if (serial == head.serial) return changes.empty() ? Published::kAlready : Published::kDiffers;
  if (head.epoch == 0 || head.epoch != own_epoch_) own_epoch_ = std::max(epoch, head.epoch + 1);
  own_serial_ = serial;
  *touched = follower_.Publish(now, serial, own_epoch_, changes);
  return Published::kDone;
}

}  // namespace dappletiller::feed
