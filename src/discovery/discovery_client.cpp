#include "discovery/discovery_client.hpp"

#include <optional>
#include <utility>

#include "discovery/retry_schedule.hpp"

namespace dappletiller {
namespace {

// Where lists are pushed: an agent that was silent has its changes taken within the sum of these of being
// back. Requests to it cost nothing, and what it has counts as notified.
constexpr Micros kPushedLongPollTime = 1'000'000;
constexpr Micros kPushedAnswerTime = 500'000;
constexpr Micros kPushedRetryInterval = 100'000;

constexpr const char* kListTarget = "/discovery/hosts";
constexpr int kOk = 200;

}  // namespace

// ---- One connection ----

DiscoveryClient::Call::Call(DiscoveryClient& discovery, Kind kind)
    : discovery_(discovery),
      kind_(kind),
      client_(discovery.loop_, *this, http::kMaxEndpointListSize, http::Client::UnsizedResponses::kAccept) {}

void DiscoveryClient::Call::Send(const std::string& target, Micros wait, Micros timeout) {
  wait_ = wait;
  sent_at_ = discovery_.loop_.Now();
  client_.Get(discovery_.options_.where, discovery_.options_.host, target, timeout);
}

// ---- Requests ----

DiscoveryClient::DiscoveryClient(EventLoop& loop, Log& log, RequestDispatcher& dispatcher,
                                 DiscoveryOptions options)
    : loop_(loop),
      log_(log),
      dispatcher_(dispatcher),
      options_(std::move(options)),
      version_(options_.version),
      random_(options_.seed),
      long_poll_(*this, Kind::kLongPoll),
      fetch_(*this, Kind::kFetch),
      retry_(loop) {}

void DiscoveryClient::Start() {
  if (options_.pushed) Watch();
}

// The first request of a long poll doesn't wait, so that the module soon knows that it is subscribed and what
// it missed. A request that is out already will bring that as well.
void DiscoveryClient::Watch() {
  if (!retry_.set()) Send(0, &long_poll_);
}

void DiscoveryClient::Fetch() { Send(0, &fetch_); }

void DiscoveryClient::Send(Micros wait, Call* call) {
  if (call->is_out()) return;
  std::string target = kListTarget;
  if (call->kind() == Kind::kLongPoll && !needs_whole_list_) {
    target += "?after=" + std::to_string(version_) + "&wait_ms=" + std::to_string(wait / 1000);
  }
  ++dispatcher_.counters().list_calls;
  call->Send(target, wait, TimeoutFor(wait));
}

Micros DiscoveryClient::LongPollTime() const {
  return options_.pushed ? kPushedLongPollTime : limits::WatchTimes::Wait(options_.ask_within);
}

Micros DiscoveryClient::TimeoutFor(Micros wait) const {
  return options_.pushed ? wait + kPushedAnswerTime : limits::WatchTimes::AnswerWithin(wait);
}

// The long poll goes on by itself at the new address, at once and whatever pause the old one had earned.
void DiscoveryClient::Move(const Endpoint& where, std::string host) {
  options_.where = where;
  options_.host = std::move(host);
  needs_whole_list_ = true;
  long_poll_failures_ = 0;
  retry_.Clear();
  // An answer of the old address may still be on its way.
  long_poll_.Cancel();
  fetch_.Cancel();
  Watch();
}

// ---- Answers ----

void DiscoveryClient::OnResponse(Call& call, const http::Message& response) {
  if (response.status() != kOk) {
    OnFailure(call, "turned down");
    return;
  }
  const std::optional<EndpointList> list = ParseList(response.body(), options_.names);
  if (!list) {
    OnFailure(call, "malformed list");
    return;
  }
  OnList(call, *list);
}

void DiscoveryClient::OnList(const Call& call, const EndpointList& list) {
  const bool is_long_poll = call.kind() == Kind::kLongPoll;
  // A late answer to a fetch must not undo what the long poll has brought since.
  const bool is_old = !is_long_poll && !needs_whole_list_ && list.version < version_;
  if (!is_old) version_ = list.version;
  if (list.kind == EndpointList::Kind::kSnapshot) needs_whole_list_ = false;
  if (is_long_poll) {
    long_poll_failures_ = 0;
    // Leaves before the list takes effect: it has to come within 200 ms, whatever the list sets off.
    Send(LongPollTime(), &long_poll_);
  }
  if (!is_old) dispatcher_.OnEndpointUpdate(list);
}

void DiscoveryClient::OnRequestFailed(Call& call, http::RequestError error) {
  const bool is_silent_long_poll = call.kind() == Kind::kLongPoll && call.wait() > 0 && !options_.pushed &&
                                   error == http::RequestError::kTimedOut;
  if (is_silent_long_poll) {
    OnSilentLongPoll();
  } else {
    OnFailure(call, http::ToString(error));
  }
}

// Is opened anew at once: the clock of what it missed is running, and pauses are there to spare a discovery
// that refused, which this one did not.
void DiscoveryClient::OnSilentLongPoll() {
  ++dispatcher_.counters().list_failures;
  log_.Info("discovery: a watch failed: silent, opened anew");
  Send(0, &long_poll_);
}

void DiscoveryClient::OnFailure(const Call& call, const char* why) {
  ++dispatcher_.counters().list_failures;
  const bool is_long_poll = call.kind() == Kind::kLongPoll;
  log_.Info("discovery: a %s failed: %s", is_long_poll ? "watch" : "fetch", why);
  if (is_long_poll) {
    retry_.Set(PauseAfterFailure(call), [this] { Watch(); });
    return;
  }
  EndpointList failed;
  failed.kind = EndpointList::Kind::kFailed;
  dispatcher_.OnEndpointUpdate(failed);
}

Micros DiscoveryClient::PauseAfterFailure(const Call& long_poll) {
  if (options_.pushed) return kPushedRetryInterval;
  const Micros took = long_poll.wait() > 0 ? 0 : loop_.Now() - long_poll.sent_at();
  const double draw = static_cast<double>(random_() >> 11) * 0x1.0p-53;
  return limits::WatchTimes::Pause(options_.ask_within, long_poll_failures_++, took, draw);
}

}  // namespace dappletiller
