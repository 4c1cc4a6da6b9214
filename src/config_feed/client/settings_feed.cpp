#include "config_feed/client/settings_feed.hpp"

#include <json/json.h>

#include <charconv>
#include <utility>

#include "config_feed/page_json.hpp"
#include "http/parser.hpp"
#include "io/output_buffer.hpp"

namespace dappletiller {
namespace {

// "0.250", as http::WriteStatusResponse writes it; 0 for what is none.
Micros ReadRetryAfter(std::optional<std::string_view> text) {
  double seconds = 0;
  if (!text) return 0;
  auto [end, failed] = std::from_chars(text->data(), text->data() + text->size(), seconds);
  if (failed != std::errc() || !(seconds >= 0) || seconds > 3'600) return 0;
  return static_cast<Micros>(seconds * 1e6);
}

}  // namespace

SettingsFeed::SettingsFeed(EventLoop& loop, Log& log, feed::Follower& follower, std::string self,
                           SettingsSink& sink)
    : loop_(loop),
      log_(log),
      follower_(follower),
      self_(std::move(self)),
      sink_(sink),
      socket_(loop, *this),
      next_(loop),
      limit_(loop) {}

void SettingsFeed::Start() { Later(); }

void SettingsFeed::Renew() {
  follower_.Void(loop_.Now());
  asking_ = false;
  limit_.Clear();
  socket_.Close();
  Later();
}

// Never from within a callback of the channel: the next question may need another connection.
void SettingsFeed::Later() {
  Micros due = follower_.due();
  if (due == feed::Follower::kNever) return;
  next_.Set(std::max<Micros>(0, due - loop_.Now()), [this] { Ask(); });
}

void SettingsFeed::Ask() {
  auto ask = follower_.Next(loop_.Now());
  if (!ask) {
    if (follower_.machines() > 0) Later();
    return;
  }
  asking_ = true;
  answer_bytes_ = 0;
  ++tally_.questions;
  if (socket_.open() && (connected_to_ != ask->machine || socket_.IsStale())) socket_.Close();
  if (!socket_.open()) {
    parser_ = http::Parser(http::Parser::Kind::kResponse);
    socket_.output() = OutputBuffer();
    connected_to_ = ask->machine;
    auto where = ParseEndpoint(ask->machine);
    if (!where || !socket_.Connect(*where)) {
      next_.Set(0, [this] { Failed("cannot connect"); });
      return;
    }
  }
  std::string text = "GET " + feed::WriteQuestion({self_, ask->question, ask->wait / 1000}) +
                     " HTTP/1.1\r\nHost: " + ask->machine + "\r\n\r\n";
  tally_.bytes_out += text.size();
  socket_.output().AppendOwned(std::move(text));
  limit_.Set(ask->within, [this] { Failed("no answer"); });
  socket_.Flush();
}

void SettingsFeed::OnReceived(std::size_t n) {
  tally_.bytes_in += n;
  answer_bytes_ += n;
  parser_.Commit(n);
  if (parser_.bad() || !asking_) {
    socket_.Close();
    if (asking_) Failed("malformed answer");
    return;
  }
  if (!parser_.done()) return;
  http::MessageRef answer = parser_.TakeMessage();
  if (!answer->keep_alive()) socket_.Close();
  asking_ = false;
  limit_.Clear();
  Answered(*answer);
}

// Every answer says its length: one that ends with its connection is cut short.
void SettingsFeed::OnClosed(StreamEnd) {
  if (asking_) Failed("connection lost");
}

void SettingsFeed::Answered(const http::Message& answer) {
  Micros now = loop_.Now();
  if (answer.status() == 503) {
    ++tally_.busy;
    follower_.Busy(now, ReadRetryAfter(answer.Find("Retry-After")));
    return Later();
  }
  if (answer.status() == 409) {
    if (!follower_.looks_round())
      log_.Info("settings feed: %s is behind serial %llu, another is asked", connected_to_.c_str(),
                static_cast<unsigned long long>(follower_.held().head().serial));
    follower_.Behind(now);
    return Later();
  }
  std::optional<feed::Page> page;
  if (answer.status() == 200) page = feed::ReadPage(answer.body());
  if (!page) return Failed(answer.status() == 200 ? "malformed page" : "turned down");
  int failures = follower_.failures();
  feed::Identity before = follower_.held().head();
  std::vector<feed::Change> changes = follower_.Answered(now, *page, answer_bytes_);
  if (follower_.failures() > 0) {
    log_.Info("settings feed: %s tells what doesn't follow on serial %llu; not taken", connected_to_.c_str(),
              static_cast<unsigned long long>(before.serial));
    ++tally_.failures;
    return Later();
  }
  if (std::exchange(told_alone_, false)) {
    log_.Important("settings feed: %s answers again after %d failures", connected_to_.c_str(), failures);
  }
  changed_ += changes.size();
  tally_.changes += changes.size();
  if (!changes.empty() || !(follower_.held().head() == before)) sink_.SettingsChanged(changes);
  if (follower_.held().head().serial != told_serial_) {
    told_serial_ = follower_.held().head().serial;
    log_.Important("settings feed: serial %llu in force from %s, %zu entries changed, %zu held",
                   static_cast<unsigned long long>(told_serial_), connected_to_.c_str(),
                   std::exchange(changed_, 0), follower_.held().size());
  }
  Later();
}

void SettingsFeed::Failed(const char* why) {
  asking_ = false;
  limit_.Clear();
  socket_.Close();
  ++tally_.failures;
  follower_.Failed(loop_.Now());
  int failures = follower_.failures();
  int all = static_cast<int>(follower_.machines());
  if (failures <= all) log_.Info("settings feed: %s failed: %s", connected_to_.c_str(), why);
  if (failures == all && !std::exchange(told_alone_, true)) {
    log_.Write(Log::Level::kWarn, "settings feed: no control machine answers; serial %llu stays in force",
               static_cast<unsigned long long>(follower_.held().head().serial));
  }
  Later();
}

std::string SettingsFeed::Json() const {
  Json::Value root(Json::objectValue);
  const feed::Identity& head = follower_.held().head();
  root["serial"] = Json::UInt64(head.serial);
  root["epoch"] = std::to_string(head.epoch);
  root["version"] = Json::UInt64(head.version);
  root["entries"] = Json::UInt64(follower_.held().size());
  root["machine"] = follower_.machine();
  root["current"] = follower_.current();
  root["failures"] = follower_.failures();
  root["answered_ago_ms"] = follower_.answered_at() < 0
                                ? Json::Int64(-1)
                                : Json::Int64((loop_.Now() - follower_.answered_at()) / 1000);
  root["bytes_in"] = Json::UInt64(tally_.bytes_in);
  root["bytes_out"] = Json::UInt64(tally_.bytes_out);
  root["services"] = Json::Value(Json::arrayValue);
  for (const std::string& service : follower_.scope().services) root["services"].append(service);
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, root);
}

}  // namespace dappletiller
