// Follows the endpoint list over HTTP: a long poll that, once begun, goes on by itself whatever fails
// (retry_schedule.hpp says when it is sent again), and single fetches.
//
// Failures of the long poll are handled here, by a clock that the decision module does not see; a failed
// fetch is reported to the module, which may ask again. Lives on the event loop; nothing throws.
#ifndef DAPPLETILLER_DISCOVERY_DISCOVERY_CLIENT_HPP_
#define DAPPLETILLER_DISCOVERY_DISCOVERY_CLIENT_HPP_

#include <cstdint>
#include <random>
#include <string>

#include "config/platform_config.hpp"
#include "dispatch/request_dispatcher.hpp"
#include "http/client/http_client.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"

namespace dappletiller {

struct DiscoveryOptions {
  Endpoint where;
  std::string host;
  Names names;
  std::uint64_t version = 0;  // of the list that is known at the start
  Micros ask_within = 0;      // a long poll waits and is answered within this
  // The list is pushed: the address is an agent on this machine, which is asked without the module's word.
  bool pushed = false;
  std::uint64_t seed = 0;  // of the pauses between attempts
};

class DiscoveryClient final : public EndpointSource {
 public:
  // All must outlive it.
  DiscoveryClient(EventLoop& loop, Log& log, RequestDispatcher& dispatcher, DiscoveryOptions options);

  // Where lists are pushed, follows them from now on for as long as it lives; else waits for the module.
  void Start();
  // Of the list that is known; the dispatcher has it in the same round of the loop.
  std::uint64_t version() const { return version_; }
  // Begins the long poll; does nothing while it goes on, a pause after a failed attempt included.
  void Watch() override;
  // One request for the whole list.
  void Fetch() override;
  // Goes on at another address, beginning with the whole list: a version there may mean something else.
  void Move(const Endpoint& where, std::string host);

 private:
  enum class Kind { kLongPoll, kFetch };

  // One connection to discovery and the request that is out on it.
  class Call final : private http::Client::Owner {
   public:
    Call(DiscoveryClient& discovery, Kind kind);
    void Send(const std::string& target, Micros wait, Micros timeout);
    void Cancel() { client_.Close(); }
    bool is_out() const { return client_.is_busy(); }
    Kind kind() const { return kind_; }
    Micros wait() const { return wait_; }  // of the last request, at discovery
    Micros sent_at() const { return sent_at_; }

   private:
    void OnResponse(const http::Message& response) override { discovery_.OnResponse(*this, response); }
    void OnRequestFailed(http::RequestError error) override { discovery_.OnRequestFailed(*this, error); }

    DiscoveryClient& discovery_;
    Kind kind_;
    http::Client client_;
    Micros wait_ = 0;
    Micros sent_at_ = 0;
  };

  void Send(Micros wait, Call* call);
  Micros LongPollTime() const;
  Micros TimeoutFor(Micros wait) const;
  void OnResponse(Call& call, const http::Message& response);
  void OnList(const Call& call, const EndpointList& list);
  void OnRequestFailed(Call& call, http::RequestError error);
  void OnFailure(const Call& call, const char* why);
  void OnSilentLongPoll();
  Micros PauseAfterFailure(const Call& long_poll);

  EventLoop& loop_;
  Log& log_;
  RequestDispatcher& dispatcher_;
  DiscoveryOptions options_;
  std::uint64_t version_;
  bool needs_whole_list_ = false;  // the known version is not this discovery's
  int long_poll_failures_ = 0;     // in a row
  std::mt19937_64 random_;
  Call long_poll_;
  Call fetch_;
  Timer retry_;  // of a long poll that failed
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISCOVERY_DISCOVERY_CLIENT_HPP_
