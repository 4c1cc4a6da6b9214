// HTTP connections to upstream servers: a pool for each server, one attempt at a time on each connection.
// Reports how each attempt ended to the dispatcher; decides nothing. Lives on the event loop.
#ifndef DAPPLETILLER_UPSTREAM_UPSTREAM_POOL_HPP_
#define DAPPLETILLER_UPSTREAM_UPSTREAM_POOL_HPP_

#include <deque>
#include <list>
#include <memory>
#include <unordered_map>

#include "base/memory_budget.hpp"
#include "base/payload.hpp"
#include "dispatch/request_dispatcher.hpp"
#include "io/descriptor_limit.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"
#include "io/stream_socket.hpp"
#include "limits/idle_reuse.hpp"

namespace dappletiller {

struct UpstreamLimits {
  Micros connect_timeout = 0;  // maximum time to establish a connection
  Micros idle_timeout = 0;     // servers close connections after at most this idle time
};

class UpstreamPool final : public UpstreamTransport {
 public:
  // `long_bodies`: memory for the parts of responses that are passed on as they are received; without it the
  // parts are small.
  // `response_memory`: for responses, up to the usual size of each; null: no limit. A response is read only
  // once memory for the whole of it is reserved; until then it waits in the kernel.
  UpstreamPool(EventLoop& loop, Log& log, RequestDispatcher& dispatcher, DescriptorLimit& descriptors,
               const UpstreamLimits& limits, std::shared_ptr<MemoryBudget> long_bodies = nullptr,
               std::shared_ptr<MemoryBudget> response_memory = nullptr);
  ~UpstreamPool();

  void Start(const Attempt& attempt) override;
  void Cancel(AttemptKey key, CancelReason reason) override;
  bool StartResponse(AttemptKey key) override;
  bool RevokeUnsent(AttemptKey key) override;
  void SetEndpoint(ServerId server, const Endpoint& endpoint) override;
  void StopUsing(ServerId server) override;
  void Remove(ServerId server) override;

  // Binds idle connections too.
  void SetLimits(const UpstreamLimits& limits);
  std::size_t pools() const { return pools_.size(); }
  std::size_t connections() const { return count_; }
  // Responses that wait for memory.
  std::size_t waiting_for_memory() const { return waiting_for_memory_.size(); }

 private:
  class Connection;
  using ConnectionList = std::list<std::unique_ptr<Connection>>;
  struct Pool {
    Endpoint endpoint;
    ConnectionList idle;        // most recently used last
    Micros cautious_until = 0;  // it has sent more than one response to a request
  };

  void RecordReuse(Micros idle_time, bool answered);
  void RecordExtraData(ServerId server);
  void DecayStatistics();

  void WaitForMemory(AttemptKey key) { waiting_for_memory_.push_back(key); }
  void ResumeWaiting();

  std::unique_ptr<Connection> TakeIdle(Pool& pool);
  void Dial(Connection& connection, Micros connect_by);
  bool CloseOneIdle();
  void Finish(Connection& connection, AttemptOutcome end, PayloadRef response);
  void Release(Connection& connection);
  void ReturnToPool(std::unique_ptr<Connection> connection);
  void StartIdleTimeout(Connection& connection);
  void CloseIdle(Connection& connection);
  void Discard(std::unique_ptr<Connection> connection);
  void Stop(AttemptKey key);
  void LogPartialResponse(const Connection& connection, const char* reason);

  EventLoop& loop_;
  Log& log_;
  RequestDispatcher& dispatcher_;
  DescriptorLimit& descriptors_;
  UpstreamLimits limits_;
  std::shared_ptr<MemoryBudget> long_bodies_;
  std::shared_ptr<MemoryBudget> response_memory_;
  std::unordered_map<ServerId, Pool> pools_;
  std::unordered_map<AttemptKey, std::unique_ptr<Connection>, AttemptKeyHash> busy_;
  std::deque<AttemptKey> waiting_for_memory_;  // the first one first; some may have ended
  Timer memory_timer_;                         // set when memory may be available
  std::size_t count_ = 0;
  limits::IdleReuseEstimator idle_reuse_;
  Timer decay_timer_;  // decays the idle-time statistics, so that long idle times are tried again
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_UPSTREAM_UPSTREAM_POOL_HPP_
