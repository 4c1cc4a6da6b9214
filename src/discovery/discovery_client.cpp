#include "discovery/discovery_client.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "discovery/retry_schedule.hpp"

namespace dappletiller {
namespace {

// For pushed lists: when a silent agent recovers, its changes are received within the sum of these. Requests
// to the agent cost nothing, and the changes it has count as notified.
constexpr Micros kPushedLongPollTime = 1'000'000;
constexpr Micros kPushedAnswerTime = 500'000;
constexpr Micros kPushedRetryInterval = 100'000;

// Requests at former addresses that are still waited for: with configurations in quick succession and a slow
// discovery, none would be answered if each move dropped the request under way.
constexpr std::size_t kMaxPrevious = 2;

constexpr const char* kListTarget = "/discovery/hosts";
constexpr int kOk = 200;

}  // namespace

// ---- Connection ----

DiscoveryClient::Connection::Connection(DiscoveryClient& discovery, Kind kind)
    : discovery_(discovery),
      kind_(kind),
      client_(discovery.loop_, *this, discovery.options_.max_list_size,
              http::Client::UnsizedResponses::kAccept) {}

void DiscoveryClient::Connection::Send(const std::string& target, Micros wait, Micros timeout) {
  wait_ = wait;
  sent_at_ = discovery_.loop_.Now();
  client_.Get(discovery_.options_.address, discovery_.options_.host, target, timeout);
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
      long_poll_(std::make_unique<Connection>(*this, Kind::kLongPoll)),
      fetch_(*this, Kind::kFetch),
      retry_(loop) {}

void DiscoveryClient::Start() {
  if (options_.pushed) Watch();
}

// The first request of a long poll has no wait, so that the module soon receives the current list. A request
// already in progress has the same effect.
void DiscoveryClient::Watch() {
  if (!retry_.set()) Send(0, long_poll_.get());
}

void DiscoveryClient::Fetch() { Send(0, &fetch_); }

void DiscoveryClient::Send(Micros wait, Connection* connection) {
  if (connection->is_busy()) return;
  std::string target = kListTarget;
  if (connection->kind() == Kind::kLongPoll && !needs_snapshot_) {
    target += "?after=" + std::to_string(version_) + "&wait_ms=" + std::to_string(wait / 1000);
  }
  ++dispatcher_.counters().discovery_requests;
  connection->Send(target, wait, ResponseTimeoutFor(wait));
}

Micros DiscoveryClient::LongPollTime() const {
  return options_.pushed ? kPushedLongPollTime : RetrySchedule::LongPollWait(options_.poll_interval);
}

Micros DiscoveryClient::ResponseTimeoutFor(Micros wait) const {
  return options_.pushed ? wait + kPushedAnswerTime : RetrySchedule::ResponseTimeout(wait);
}

void DiscoveryClient::Reconfigure(const DiscoveryOptions& options) {
  options_.names = options.names;
  options_.poll_interval = options.poll_interval;
  if (!(options.address == options_.address)) MoveTo(options.address, options.host);
}

// The long poll continues at the new address immediately, without the backoff of the old one.
void DiscoveryClient::MoveTo(const Endpoint& address, std::string host) {
  options_.address = address;
  options_.host = std::move(host);
  needs_snapshot_ = true;
  long_poll_failures_ = 0;
  retry_.Clear();
  KeepOrCancelLongPoll();
  fetch_.Cancel();
  Watch();
}

// The oldest requests are kept: they are answered first, and each ends within its timeout.
void DiscoveryClient::KeepOrCancelLongPoll() {
  if (!long_poll_->is_busy() || previous_.size() == kMaxPrevious) {
    long_poll_->Cancel();
    return;
  }
  long_poll_->BecomePrevious();
  previous_.push_back(std::exchange(long_poll_, std::make_unique<Connection>(*this, Kind::kLongPoll)));
}

void DiscoveryClient::DropPrevious(Connection* connection) {
  const auto found = std::find_if(previous_.begin(), previous_.end(),
                                  [connection](const auto& kept) { return kept.get() == connection; });
  if (found == previous_.end()) return;
  connection->Cancel();
  loop_.DeferDelete(std::move(*found));
  previous_.erase(found);
}

// ---- Responses ----

void DiscoveryClient::OnResponse(Connection& connection, const http::Message& response) {
  if (response.status() != kOk) {
    OnFailure(connection, "rejected");
    return;
  }
  const std::optional<EndpointList> list = ParseList(response.body(), options_.names);
  if (!list) {
    OnFailure(connection, "malformed list");
    return;
  }
  OnList(connection, *list);
}

void DiscoveryClient::OnList(Connection& connection, const EndpointList& list) {
  // The list in use is still the former address's, and so are its versions.
  if (connection.kind() == Kind::kPrevious) {
    while (previous_.front().get() != &connection) DropPrevious(previous_.front().get());
    DropPrevious(&connection);
    dispatcher_.OnEndpointUpdate(list);
    return;
  }
  while (!previous_.empty()) DropPrevious(previous_.front().get());
  const bool is_long_poll = connection.kind() == Kind::kLongPoll;
  // A late response to a fetch must not undo changes that the long poll has delivered since.
  const bool is_old = !is_long_poll && !needs_snapshot_ && list.version < version_;
  // Versions only grow: this is another process of discovery, whose changes do not follow on the known list.
  const bool has_restarted =
      is_long_poll && list.kind == EndpointList::Kind::kDelta && list.version < version_;
  if (has_restarted) needs_snapshot_ = true;
  if (!is_old) version_ = list.version;
  if (list.kind == EndpointList::Kind::kSnapshot) needs_snapshot_ = false;
  if (is_long_poll) {
    long_poll_failures_ = 0;
    // Sent before the list is applied: it must be sent within 200 ms, however long that takes.
    Send(LongPollTime(), long_poll_.get());
  }
  if (!is_old) dispatcher_.OnEndpointUpdate(list);
}

void DiscoveryClient::OnRequestFailed(Connection& connection, http::RequestError error) {
  const bool is_silent_long_poll = connection.kind() == Kind::kLongPoll && connection.wait() > 0 &&
                                   !options_.pushed && error == http::RequestError::kTimedOut;
  if (is_silent_long_poll) {
    OnSilentLongPoll();
  } else {
    OnFailure(connection, http::ToString(error));
  }
}

// Reopened without backoff: changes may have been missed, and backoff is meant to relieve an overloaded
// discovery, which would have rejected the request.
void DiscoveryClient::OnSilentLongPoll() {
  ++dispatcher_.counters().discovery_failures;
  log_.Info("discovery: a watch failed: no response in time; reopening it");
  Send(0, long_poll_.get());
}

void DiscoveryClient::OnFailure(Connection& connection, const char* why) {
  ++dispatcher_.counters().discovery_failures;
  if (connection.kind() == Kind::kPrevious) {
    DropPrevious(&connection);
    return;
  }
  const bool is_long_poll = connection.kind() == Kind::kLongPoll;
  log_.Info("discovery: a %s failed: %s", is_long_poll ? "watch" : "fetch", why);
  if (is_long_poll) {
    retry_.Set(BackoffAfterFailure(connection), [this] { Watch(); });
    return;
  }
  EndpointList failed;
  failed.kind = EndpointList::Kind::kFailed;
  dispatcher_.OnEndpointUpdate(failed);
}

Micros DiscoveryClient::BackoffAfterFailure(const Connection& long_poll) {
  if (options_.pushed) return kPushedRetryInterval;
  const Micros took = long_poll.wait() > 0 ? 0 : loop_.Now() - long_poll.sent_at();
  const double draw = static_cast<double>(random_() >> 11) * 0x1.0p-53;
  return RetrySchedule::Backoff(options_.poll_interval, long_poll_failures_++, took, draw);
}

}  // namespace dappletiller
