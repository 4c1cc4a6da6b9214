// Follows the endpoint list over HTTP, with a long poll that continues after any failure (retry_schedule.hpp
// determines when), and with single fetches.
//
// Failures of the long poll are retried here; a failed fetch is reported to the decision module, which may
// fetch again. Lives on the event loop; nothing throws.
#ifndef DAPPLETILLER_DISCOVERY_DISCOVERY_CLIENT_HPP_
#define DAPPLETILLER_DISCOVERY_DISCOVERY_CLIENT_HPP_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "config/platform_config.hpp"
#include "dispatch/request_dispatcher.hpp"
#include "http/client/http_client.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"

namespace dappletiller {

struct DiscoveryOptions {
  Endpoint address;
  std::string host;
  Names names;
  std::uint64_t version = 0;  // of the list known at startup
  Micros poll_interval = 0;   // maximum time between polls; 0: unknown
  // The list is pushed to an agent on this machine at this address; it is followed without a Watch action.
  bool pushed = false;
  std::uint64_t seed = 0;                                  // for the backoff
  std::size_t max_list_size = http::kMaxEndpointListSize;  // in bytes; a longer list is malformed
};

class DiscoveryClient final : public EndpointSource {
 public:
  // The references must outlive the client.
  DiscoveryClient(EventLoop& loop, Log& log, RequestDispatcher& dispatcher, DiscoveryOptions options);

  // If lists are pushed, begins to follow them; otherwise waits for Watch.
  void Start();
  // Version of the latest list, which the dispatcher has received.
  std::uint64_t version() const { return version_; }
  // Begins the long poll. Has no effect while it is active, including a backoff after a failure.
  void Watch() override;
  // Requests a snapshot of the list.
  void Fetch() override;
  // Takes over the address, the names and the poll interval of a changed configuration.
  void Reconfigure(const DiscoveryOptions& options);
  // Continues at another address, starting with a snapshot: versions there may have another meaning. Up to
  // kMaxPrevious requests that are under way are still waited for until the new address has answered.
  void MoveTo(const Endpoint& address, std::string host);

 private:
  // kPrevious: a long poll that was under way at another address.
  enum class Kind { kLongPoll, kFetch, kPrevious };

  // A connection to discovery with at most one request in progress.
  class Connection final : private http::Client::Owner {
   public:
    Connection(DiscoveryClient& discovery, Kind kind);
    void Send(const std::string& target, Micros wait, Micros timeout);
    void Cancel() { client_.Close(); }
    bool is_busy() const { return client_.is_busy(); }
    Kind kind() const { return kind_; }
    void BecomePrevious() { kind_ = Kind::kPrevious; }
    Micros wait() const { return wait_; }  // how long discovery may hold the last request
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

  void KeepOrCancelLongPoll();
  void DropPrevious(Connection* connection);
  void Send(Micros wait, Connection* connection);
  Micros LongPollTime() const;
  Micros ResponseTimeoutFor(Micros wait) const;
  void OnResponse(Connection& connection, const http::Message& response);
  void OnList(Connection& connection, const EndpointList& list);
  void OnRequestFailed(Connection& connection, http::RequestError error);
  void OnFailure(Connection& connection, const char* why);
  void OnSilentLongPoll();
  Micros BackoffAfterFailure(const Connection& long_poll);

  EventLoop& loop_;
  Log& log_;
  RequestDispatcher& dispatcher_;
  DiscoveryOptions options_;
  std::uint64_t version_;
  bool needs_snapshot_ = false;  // the known version is not from this address
  int long_poll_failures_ = 0;   // consecutive
  std::mt19937_64 random_;
  std::unique_ptr<Connection> long_poll_;
  Connection fetch_;
  std::vector<std::unique_ptr<Connection>> previous_;  // the oldest first
  Timer retry_;                                        // backoff of the long poll
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISCOVERY_DISCOVERY_CLIENT_HPP_
