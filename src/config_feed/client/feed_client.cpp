#include "config_feed/client/feed_client.hpp"

#include <json/json.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "config_feed/json_text.hpp"
#include "config_feed/page_codec.hpp"

namespace dappletiller {
namespace {

using config_feed::StorePosition;

constexpr int kOk = 200;
constexpr int kConflict = 409;            // the server is behind this follower
constexpr int kServiceUnavailable = 503;  // no slot for a snapshot

// Seconds with a fraction, as http::WriteStatusResponse writes them; 0 for anything else.
Micros ParseRetryAfter(std::optional<std::string_view> text) {
  constexpr double kMaxSeconds = 3'600;
  double seconds = 0;
  if (!text) return 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), seconds);
  if (error != std::errc() || !(seconds >= 0) || seconds > kMaxSeconds) return 0;
  return static_cast<Micros>(seconds * 1e6);
}

}  // namespace

FeedClient::FeedClient(EventLoop& loop, Log& log, config_feed::Follower& follower, std::string name,
                       SettingsObserver& observer)
    : loop_(loop),
      log_(log),
      follower_(follower),
      name_(std::move(name)),
      observer_(observer),
      client_(loop, *this, http::kMaxBodySize, http::Client::UnsizedResponses::kRefuse),
      next_request_(loop) {}

// ---- Requests ----

void FeedClient::RestartRequest() {
  follower_.AbandonRequest(loop_.Now());
  client_.Close();
  ScheduleNextRequest();
}

// Not sent from within a callback of the client, since the next request may need another connection.
void FeedClient::ScheduleNextRequest() {
  const Micros due = follower_.due();
  if (due == config_feed::Follower::kNever) return;
  next_request_.Set(std::max<Micros>(0, due - loop_.Now()), [this] { SendRequest(); });
}

void FeedClient::SendRequest() {
  const auto request = follower_.NextRequest(loop_.Now());
  if (!request) {
    if (follower_.server_count() > 0) ScheduleNextRequest();
    return;
  }
  ++counters_.requests;
  server_ = request->server;
  const auto where = ParseEndpoint(request->server);
  if (!where) {
    client_.Close();
    next_request_.Set(0, [this] { OnRequestFailed(http::RequestError::kCannotConnect); });
    return;
  }
  const std::string target = config_feed::WriteRequest({name_, request->page, request->wait / 1000});
  client_.Get(*where, request->server, target, request->timeout);
}

// ---- Responses ----

void FeedClient::OnResponse(const http::Message& response) {
  if (response.status() == kServiceUnavailable) {
    ++counters_.busy;
    follower_.OnBusy(loop_.Now(), ParseRetryAfter(response.Find("Retry-After")));
    ScheduleNextRequest();
  } else if (response.status() == kConflict) {
    OnServerBehind();
  } else if (response.status() != kOk) {
    OnFailure("turned down");
  } else if (const auto page = config_feed::ParsePage(response.body())) {
    OnPage(*page);
  } else {
    OnFailure("malformed page");
  }
}

void FeedClient::OnServerBehind() {
  if (!follower_.polls_replicas()) {
    log_.Info("settings feed: %s is behind serial %llu; trying another server", server_.c_str(),
              static_cast<unsigned long long>(follower_.store().head().serial));
  }
  follower_.OnServerBehind(loop_.Now());
  ScheduleNextRequest();
}

void FeedClient::OnPage(const config_feed::Page& page) {
  const int failures = follower_.failures();
  const StorePosition before = follower_.store().head();
  const std::vector<config_feed::Change> changes =
      follower_.OnPage(loop_.Now(), page, client_.response_size());
  if (follower_.failures() > 0) {
    log_.Info("settings feed: %s sent a page that does not follow serial %llu; ignored", server_.c_str(),
              static_cast<unsigned long long>(before.serial));
    ++counters_.failures;
    ScheduleNextRequest();
    return;
  }
  if (std::exchange(logged_no_server_, false)) {
    log_.Important("settings feed: %s responds again after %d failures", server_.c_str(), failures);
  }
  changes_since_logged_ += changes.size();
  counters_.changes += changes.size();
  const bool moved_on = !(follower_.store().head() == before);
  if (!changes.empty() || moved_on) observer_.OnSettingsChanged(changes);
  LogSerialInForce();
  ScheduleNextRequest();
}

void FeedClient::LogSerialInForce() {
  const std::uint64_t serial = follower_.store().head().serial;
  if (serial == logged_serial_) return;
  logged_serial_ = serial;
  log_.Important("settings feed: serial %llu in force from %s, %zu entries changed, %zu held",
                 static_cast<unsigned long long>(serial), server_.c_str(),
                 std::exchange(changes_since_logged_, 0), follower_.store().size());
}

void FeedClient::OnRequestFailed(http::RequestError error) { OnFailure(http::ToString(error)); }

void FeedClient::OnFailure(const char* why) {
  client_.Close();
  ++counters_.failures;
  follower_.OnFailure(loop_.Now());
  const int failures = follower_.failures();
  const int servers = static_cast<int>(follower_.server_count());
  if (failures <= servers) log_.Info("settings feed: %s failed: %s", server_.c_str(), why);
  if (failures == servers && !std::exchange(logged_no_server_, true)) {
    log_.Write(Log::Level::kWarn, "settings feed: no config server responds; serial %llu stays in force",
               static_cast<unsigned long long>(follower_.store().head().serial));
  }
  ScheduleNextRequest();
}

std::string FeedClient::StatusJson() const {
  const StorePosition& head = follower_.store().head();
  const Micros complete_at = follower_.complete_at();
  Json::Value root(Json::objectValue);
  root["serial"] = Json::UInt64(head.serial);
  root["epoch"] = std::to_string(head.epoch);
  root["version"] = Json::UInt64(head.version);
  root["entries"] = Json::UInt64(follower_.store().size());
  root["machine"] = follower_.server();
  root["current"] = follower_.is_current();
  root["failures"] = follower_.failures();
  root["answered_ago_ms"] = Json::Int64(complete_at < 0 ? -1 : (loop_.Now() - complete_at) / 1000);
  root["bytes_in"] = Json::UInt64(bytes_in());
  root["bytes_out"] = Json::UInt64(bytes_out());
  root["services"] = Json::Value(Json::arrayValue);
  for (const std::string& service : follower_.scope().services) root["services"].append(service);
  return config_feed::WriteCompactJson(root);
}

}  // namespace dappletiller
