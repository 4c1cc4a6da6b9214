// Follows the settings feed over HTTP/1.1: the thin driver of feed::Follower, in proxies, in control machines
// and in hollow ones. One connection, one question at a time; whom to ask and what an answer means is the
// Follower's.
#ifndef DAPPLETILLER_CONFIG_FEED_CLIENT_SETTINGS_FEED_HPP_
#define DAPPLETILLER_CONFIG_FEED_CLIENT_SETTINGS_FEED_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "config_feed/follower.hpp"
#include "http/parser.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"
#include "io/stream_socket.hpp"

namespace dappletiller {

class SettingsSink {
 public:
  // What is in force now and was not, or is no longer; the follower holds it already. Also called, without
  // changes, where only the version has moved on.
  virtual void SettingsChanged(const std::vector<feed::Change>& changes) = 0;

 protected:
  ~SettingsSink() = default;
};

class SettingsFeed final : private StreamSocket::Callbacks {
 public:
  struct Tally {
    std::uint64_t questions = 0, failures = 0, busy = 0;
    std::uint64_t bytes_in = 0, bytes_out = 0;  // of HTTP, both directions
    std::uint64_t changes = 0;
  };

  // All must outlive it. `self` names it to the machines; printable, without separators.
  SettingsFeed(EventLoop& loop, Log& log, feed::Follower& follower, std::string self, SettingsSink& sink);
  void Start();
  // After SetScope, SetMachines or Publish of the follower: the question that is out is given up, and asked
  // anew.
  void Renew();
  const Tally& tally() const { return tally_; }
  const feed::Follower& follower() const { return follower_; }
  // As JSON, for the console: what is in force, since when and from whom.
  std::string Json() const;

 private:
  std::span<char> ReceiveBuffer() override { return parser_.ReceiveBuffer(); }
  void OnReceived(std::size_t n) override;
  void OnClosed(StreamEnd how) override;
  void Ask();
  void Answered(const http::Message& answer);
  void Failed(const char* why);
  void Later();

  EventLoop& loop_;
  Log& log_;
  feed::Follower& follower_;
  std::string self_;
  SettingsSink& sink_;
  StreamSocket socket_;
  http::Parser parser_{http::Parser::Kind::kResponse};
  Timer next_;
  Timer limit_;
  std::string connected_to_;
  bool asking_ = false;
  bool told_alone_ = false;  // that no machine answers
  std::uint64_t told_serial_ = 0;
  std::size_t changed_ = 0;  // entries, since the last line about them
  std::size_t answer_bytes_ = 0;
  Tally tally_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_CONFIG_FEED_CLIENT_SETTINGS_FEED_HPP_
