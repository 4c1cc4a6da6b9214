// The request table: owns the decision module, every request and every attempt.
//
// It turns what happens (a request, an attempt's outcome, a list) into the module's events, and executes the
// module's actions. It decides nothing and knows no protocol. What always holds: a request has one final
// outcome, given to its ResponseSink once, and the module is told exactly one outcome of each attempt. Lives
// on the event loop.
#ifndef DAPPLETILLER_DISPATCH_REQUEST_DISPATCHER_HPP_
#define DAPPLETILLER_DISPATCH_REQUEST_DISPATCHER_HPP_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/payload.hpp"
#include "dappletiller/balancer.hpp"
#include "dispatch/counters.hpp"
#include "dispatch/types.hpp"
#include "drain/administrative_drains.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"

namespace dappletiller {

class RequestDispatcher {
 public:
  // Throws std::invalid_argument for settings that the module can't work with.
  RequestDispatcher(EventLoop& loop, Log& log, const balancer::Settings& settings);
  // To be called once, before anything else. Both must outlive it.
  void Connect(UpstreamTransport& upstream, EndpointSource& endpoints);

  // From the listener. The sink is given the final outcome once, unless OnClientDisconnected comes first;
  // that may happen before OnRequest returns.
  RequestId NewRequestId() { return ++last_request_id_; }
  void OnRequest(RequestId id, IncomingRequest incoming, ResponseSink& sink);
  void OnClientDisconnected(RequestId id);
  // Gives every open request its final outcome now: the process ends before their deadlines.
  void EndOpenRequests();
  // From the upstream transport: bytes of an attempt are about to be handed to the kernel. False: none may,
  // since its client has left or its time to be written is over; the attempt has then been cancelled and
  // ended.
  bool MayWrite(AttemptKey key);
  // From the upstream transport: how an attempt ended; unknown ones are ignored.
  void OnAttemptEnded(AttemptKey key, AttemptOutcome outcome, PayloadRef response);
  // From discovery.
  void OnEndpointUpdate(const EndpointList& list);
  // From the quota leases: how much of what all proxies share this one may use, until when.
  void SetQuotaShare(double share, Micros valid_until) {
    Deliver(balancer::QuotaShareGranted{share, valid_until});
  }
  // From the configuration feed: the settings of the tenant with this index (the listener's NameTenant) from
  // now on, or that the index is free.
  void SetTenant(int index, bool active, const balancer::TenantSettings& tenant) {
    Deliver(balancer::TenantChanged{index, active, tenant});
  }
  // From the operators: a server that counts as draining from now on, whatever discovery lists, and its
  // return through slow start. False: discovery never named it. Repeating either is harmless.
  bool Drain(const std::string& uid);
  bool Undrain(const std::string& uid);
  // To hand to a successor, and as a predecessor handed them on.
  const drain::AdministrativeDrains& drains() const { return drains_; }
  void RestoreDrains(drain::AdministrativeDrains drains) { drains_ = std::move(drains); }

  // Counts for the line that is logged once a second while anything passes; other parts add theirs.
  TrafficCounters& counters();

  std::size_t open_requests() const { return open_requests_; }
  std::size_t table_size() const { return requests_.size(); }
  std::size_t known_servers() const { return servers_by_uid_.size(); }

 private:
  struct SentAttempt {
    bool out = true;
    Micros at = 0;
    Micros write_by = 0;  // not written whole by then, it is revoked
    std::unique_ptr<Timer> timeout;
    std::unique_ptr<Timer> unwritten;  // until write_by, if that comes before the limit
  };
  struct Request {
    ResponseSink* sink = nullptr;  // null once it has its answer or has left
    PayloadRef payload;
    std::vector<SentAttempt> attempts;
    int out = 0;  // attempts that have not ended
  };
  struct KnownServer {
    ServerId id = 0;
    Endpoint endpoint;
    EndpointEntry last;  // as discovery last listed it
  };

  void Deliver(balancer::Event event);
  void ApplyEndpoints(const EndpointList& list);
  void ReapplyEndpoint(const std::string& uid);
  void Execute(const balancer::Send& action);
  void Execute(const balancer::Reject& action);
  void Execute(const balancer::Fail& action);
  void Execute(const balancer::Cancel& action);
  void Execute(const balancer::WakeAfter& action);
  void Execute(const balancer::Watch& action);
  void Execute(const balancer::FetchList& action);
  void Execute(const balancer::Log& action);
  ResponseSink* CloseRequest(RequestId id);
  void RevokeUnsentAttempts(RequestId id);
  void RevokeUnsentAttempt(AttemptKey key);
  void EraseIfOver(RequestId id);
  void LogCounters();

  EventLoop& loop_;
  Log& log_;
  balancer::Balancer balancer_;
  UpstreamTransport* upstream_ = nullptr;
  EndpointSource* endpoints_ = nullptr;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<std::string, KnownServer> servers_by_uid_;
  RequestId last_request_id_ = 0;
  ServerId last_server_id_ = 0;
  std::size_t open_requests_ = 0;
  std::deque<balancer::Event> events_;
  bool delivering_ = false;
  std::vector<RequestId> over_;  // to be erased once all events are delivered
  Timer wake_;
  TrafficCounters counters_;
  Timer log_counters_;
  drain::AdministrativeDrains drains_;
  std::set<std::string> ever_listed_;  // bounded by the uids that discovery ever gave
  Micros listed_at_ = 0;               // when discovery last answered; 0: never
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_REQUEST_DISPATCHER_HPP_
