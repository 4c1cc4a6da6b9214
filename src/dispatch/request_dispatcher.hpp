// The request table: owns the decision module, every request and every attempt.
//
// It converts what happens (a request, the outcome of an attempt, an endpoint list) into the module's events
// and executes the module's actions. It decides nothing and knows no protocol. Invariants: a request has one
// final outcome, given to its ResponseSink once; the module receives exactly one outcome for each attempt.
// Lives on the event loop.
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
#include "dispatch/endpoint_owners.hpp"
#include "dispatch/request_classes.hpp"
#include "dispatch/sent_ids.hpp"
#include "dispatch/server_start_times.hpp"
#include "dispatch/types.hpp"
#include "drain/administrative_drains.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"

namespace dappletiller {

class RequestDispatcher {
 public:
  // `class_names`: of the classes in `settings`. Throws std::invalid_argument for settings that the module
  // rejects.
  RequestDispatcher(EventLoop& loop, Log& log, const balancer::Settings& settings,
                    const std::vector<std::string>& class_names);
  // Must be called once, before any other function. Both objects must outlive the dispatcher.
  void Connect(UpstreamTransport& upstream, EndpointSource& endpoints);

  enum class IdStatus {
    kNew,
    kOpen,        // a request with this id is open, or an attempt of it
    kMayHaveRun,  // such a request has been sent to a server, and must not be sent again
  };
  // Whether a request of this class with this id may be accepted.
  IdStatus CheckId(RequestIdHash id, int request_class);
  // From now on also knows the ids that other processes of this proxy have sent. `shared` must outlive the
  // dispatcher.
  void ShareSentIds(SharedSentIds& shared) { shared_sent_ids_ = &shared; }

  // From the listener. The sink receives the final outcome once, unless OnClientDisconnected comes first. It
  // may be called before OnRequest returns.
  RequestId NewRequestId() { return ++last_request_id_; }
  void OnRequest(RequestId id, IncomingRequest incoming, ResponseSink& sink);
  void OnClientDisconnected(RequestId id);
  // Ends every open request now, when the process terminates before their deadlines.
  void EndOpenRequests();
  // From the upstream transport, before it passes bytes of an attempt to the kernel. False: nothing may be
  // written, since the client has disconnected or the write timeout is over; the attempt has then been
  // cancelled and ended.
  bool MayWrite(AttemptKey key);
  // From the upstream transport: an attempt has ended. Unknown attempts are ignored.
  void OnAttemptEnded(AttemptKey key, AttemptOutcome outcome, PayloadRef response);
  // From the upstream transport: the attempt has a response, which is passed on as it is received. To the
  // module the attempt has ended. False: nobody waits for the response any more.
  bool OnResponseStarted(AttemptKey key, PayloadRef head, std::shared_ptr<BodyStream> body);
  // From discovery.
  void OnEndpointUpdate(const EndpointList& list);
  // From the quota leases: this proxy's share of the quotas, and until when it is valid.
  void SetQuotaShare(double share, Micros valid_until) {
    Deliver(balancer::QuotaShareGranted{share, valid_until});
  }
  // From the configuration feed: new settings of the tenant with this index (see the listener's AddTenant),
  // or that the index is no longer in use.
  void SetTenant(int index, bool active, const balancer::TenantSettings& tenant) {
    Deliver(balancer::TenantChanged{index, active, tenant});
  }
  // From the configuration feed: a new or changed class. Open requests keep the settings that they came with.
  void SetClass(const NamedClass& named);
  // From a reload: the settings that a running proxy can take over (SettingsChanged), and all classes.
  void ApplySettings(const balancer::Settings& settings, const std::vector<std::string>& class_names);
  const RequestClasses& classes() const { return classes_; }
  // From the operators. Drain: the server counts as draining, regardless of discovery. Undrain: it returns
  // through slow start. False: discovery has never listed the server. Both are idempotent.
  bool Drain(const std::string& uid);
  bool Undrain(const std::string& uid);
  // For the state file that all processes of this proxy share.
  const drain::AdministrativeDrains& drains() const { return drains_; }
  // From another process of this proxy: takes over its drains. Servers whose drain differs are updated.
  void AdoptDrains(const drain::AdministrativeDrains& drains);

  // Counters for the log line that is written once a second while there is traffic. Other parts add theirs.
  TrafficCounters& counters();

  std::size_t open_requests() const { return open_requests_; }
  std::size_t table_size() const { return requests_.size(); }
  std::size_t known_servers() const { return servers_by_uid_.size(); }

 private:
  struct SentAttempt {
    bool in_flight = true;
    Micros sent_at = 0;
    Micros write_by = 0;  // revoked if it is not completely written by then
    std::unique_ptr<Timer> timeout_timer;
    std::unique_ptr<Timer> write_timer;  // until write_by, if that is before the timeout
  };
  struct Request {
    ResponseSink* sink = nullptr;  // null after the final outcome or the client's disconnect
    RequestIdHash id = 0;
    bool may_be_repeated = false;  // according to its class
    bool id_recorded = false;      // among the sent ids
    PayloadRef payload;
    std::vector<SentAttempt> attempts;
    int attempts_in_flight = 0;  // number of attempts in flight
  };
  struct KnownServer {
    ServerId id = 0;
    Endpoint endpoint;
    EndpointEntry listed;     // as last listed by discovery
    bool superseded = false;  // its address belongs to a newer server (EndpointOwners): it is not used
  };
  // What a list changes for the upstream transport.
  struct EndpointChanges {
    std::vector<ServerId> draining;
    std::vector<ServerId> removed;
  };

  void Deliver(balancer::Event event);
  void DeliverClass(const RequestClasses::Entry& entry);
  void LogClassChanges(const std::vector<NamedClass>& all) const;
  // `previous_list_at`: when discovery last answered before this list; 0: never.
  void ApplyEndpoints(const EndpointList& list, Micros previous_list_at);
  std::vector<ServerId> ForgetMissing(const EndpointList& list);
  std::vector<EndpointEntry> UpdateOwners(const EndpointList& list);
  balancer::ServerEntry ApplyEndpoint(const EndpointEntry& listed, Micros previous_list_at,
                                      EndpointChanges* changes);
  EndpointEntry EffectiveEntry(KnownServer* known, Micros previous_list_at);
  void LogIfMoved(KnownServer* known);
  void ReapplyEndpoint(const std::string& uid);
  void Execute(const balancer::Send& action);
  void Execute(const balancer::Reject& action);
  void Execute(const balancer::Fail& action);
  void Execute(const balancer::Cancel& action);
  void Execute(const balancer::WakeAfter& action);
  void Execute(const balancer::Watch& action);
  void Execute(const balancer::FetchList& action);
  void Execute(const balancer::Log& action);
  SentAttempt* FindInFlight(AttemptKey key);
  template <typename Respond>
  bool EndAttempt(AttemptKey key, AttemptOutcome outcome, Respond respond);
  ResponseSink* CloseRequest(RequestId id);
  bool MayBeRepeated(int request_class) const;
  void RecordSentId(Request* request);
  void RevokeUnsentAttempts(RequestId id);
  void RevokeUnsentAttempt(AttemptKey key);
  void EraseIfFinished(RequestId id);
  void LogCounters();
  void LogDetails(const TrafficCounters& counters);

  EventLoop& loop_;
  Log& log_;
  balancer::Balancer balancer_;
  RequestClasses classes_;
  UpstreamTransport* upstream_ = nullptr;
  EndpointSource* endpoints_ = nullptr;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<RequestIdHash, RequestId> requests_by_id_;  // the latest with that id
  SentIdTable sent_ids_;
  SharedSentIds* shared_sent_ids_ = nullptr;  // null: there are no other processes
  std::unordered_map<std::string, KnownServer> servers_by_uid_;
  RequestId last_request_id_ = 0;
  ServerId last_server_id_ = 0;
  std::size_t open_requests_ = 0;
  std::deque<balancer::Event> events_;
  bool delivering_ = false;
  std::vector<RequestId> finished_;  // to be erased after all events have been delivered
  Timer wake_;
  TrafficCounters counters_;
  Timer log_counters_;
  drain::AdministrativeDrains drains_;
  ServerStartTimes start_times_;
  EndpointOwners owners_;
  Micros last_list_at_ = 0;  // time of discovery's last response; 0: none yet
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_REQUEST_DISPATCHER_HPP_
