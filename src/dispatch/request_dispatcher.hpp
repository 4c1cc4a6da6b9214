// Owns the decision module and the table of calls and attempts. It turns neutral arrivals and outcomes
// into the module's events and carries its actions out. It decides nothing and knows no protocol.
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
#include "dispatch/counters.hpp"
#include "dispatch/types.hpp"
#include "drain/administrative_drains.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"
#include "sandstand/balancer.hpp"

namespace dappletiller {

class Gateway {
 public:
  // Throws std::invalid_argument for settings that the module can't work with.
  Gateway(EventLoop& loop, Log& log, const sandstand::Settings& settings);
  void Connect(Workers& workers, ListSource& list);

  // From the acceptor's side. The caller is told the final answer once, unless it says Left first; that may
  // happen before Arrive returns.
  CallId NewCall() { return ++calls_begun_; }
  void Arrive(CallId id, Arrival arrival, Caller& caller);
  void Left(CallId id);
  // Gives every open call its final answer now: the process ends before their deadlines.
  void EndOpenCalls();
  // From the workers' side: bytes of an attempt are about to be handed to the kernel. False: none may, since
  // its client has gone or its time to be written is over; the attempt has then been given up and ended.
  bool MayWrite(AttemptKey key);
  // From the workers' side: how an attempt ended; unknown ones are ignored.
  void Ended(AttemptKey key, AttemptEnd end, PayloadRef answer);
  // From discovery.
  void Learn(const WorkerList& list);
  // From the parts of the fleet: how much of what all proxies share is this one's, until when.
  void Grant(double part, Micros until) { Deliver(sandstand::PartGranted{part, until}); }
  // From the settings feed: the share of the tenant at this place (the acceptor's NameTenant) from now on, or
  // that the place is free.
  void SetTenant(int place, bool named, const sandstand::TenantSettings& share) {
    Deliver(sandstand::TenantChanged{place, named, share});
  }
  // From the operators: a worker that counts as draining from now on, whatever discovery lists, and its
  // return, cold. False: discovery never named it. Repeating either is harmless.
  bool Drain(const std::string& uid);
  bool Undrain(const std::string& uid);
  // To hand to a successor, and as a predecessor handed them on.
  const drain::AdministrativeDrains& drains() const { return drains_; }
  void RestoreDrains(drain::AdministrativeDrains drains) { drains_ = std::move(drains); }

  // Counts for the line that is logged once a second while anything passes; other parts add theirs.
  Tally& tally();

  std::size_t open_calls() const { return open_calls_; }
  std::size_t table_size() const { return calls_.size(); }
  std::size_t workers_known() const { return workers_by_uid_.size(); }

 private:
  struct Sent {
    bool out = true;
    Micros at = 0;
    Micros write_by = 0;  // not written whole by then, it is taken back
    std::unique_ptr<Timer> limit;
    std::unique_ptr<Timer> unwritten;  // until write_by, if that comes before the limit
  };
  struct Call {
    Caller* caller = nullptr;  // null once it has its answer or has left
    PayloadRef payload;
    std::vector<Sent> attempts;
    int out = 0;
  };
  struct Known {
    WorkerId id = 0;
    Endpoint endpoint;
    WorkerEntry last;  // as discovery last listed it
  };

  void Deliver(sandstand::Event event);
  void Apply(const WorkerList& list);
  void Relist(const std::string& uid);
  void Carry(const sandstand::Send& action);
  void Carry(const sandstand::Refuse& action);
  void Carry(const sandstand::Fail& action);
  void Carry(const sandstand::Cancel& action);
  void Carry(const sandstand::WakeAfter& action);
  void Carry(const sandstand::Watch& action);
  void Carry(const sandstand::FetchList& action);
  void Carry(const sandstand::Log& action);
  Caller* Close(CallId id);
  void Withdraw(CallId id);
  void TakeBack(AttemptKey key);
  void ForgetIfOver(CallId id);
  void TellTally();

  EventLoop& loop_;
  Log& log_;
  sandstand::Balancer balancer_;
  Workers* workers_ = nullptr;
  ListSource* list_ = nullptr;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<std::string, Known> workers_by_uid_;
  CallId calls_begun_ = 0;
  WorkerId worker_ids_ = 0;
  std::size_t open_calls_ = 0;
  std::deque<sandstand::Event> events_;
  bool delivering_ = false;
  std::vector<CallId> over_;  // to be forgotten once all events are delivered
  Timer wake_;
  Tally tally_;
  Timer tell_;
  drain::AdministrativeDrains drains_;
  std::set<std::string> ever_listed_;  // bounded by the uids that discovery ever gave
  Micros listed_at_ = 0;               // when discovery last answered; 0: never
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_DISPATCH_REQUEST_DISPATCHER_HPP_
