// Connections to workers over HTTP: a pool for each worker, one attempt at a time on each connection.
#ifndef DAPPLETILLER_UPSTREAM_UPSTREAM_POOL_HPP_
#define DAPPLETILLER_UPSTREAM_UPSTREAM_POOL_HPP_

#include <list>
#include <memory>
#include <unordered_map>

#include "base/payload.hpp"
#include "dispatch/request_dispatcher.hpp"
#include "http/body_memory.hpp"
#include "io/descriptor_limit.hpp"
#include "io/event_loop.hpp"
#include "io/log.hpp"
#include "io/stream_socket.hpp"
#include "limits/idle_reuse.hpp"

namespace dappletiller {

struct UpstreamLimits {
  Micros dial = 0;  // a connection that is not up by then never will be
  Micros idle = 0;  // workers close connections that are idle for this long, at the latest
};

class UpstreamPool final : public UpstreamTransport {
 public:
  // `long_bodies`: for answers with long bodies; none: bodies of the usual size only.
  UpstreamPool(EventLoop& loop, Log& log, RequestDispatcher& dispatcher, DescriptorLimit& descriptors,
               const UpstreamLimits& limits, std::shared_ptr<BodyMemory> long_bodies = nullptr);
  ~UpstreamPool();

  void Start(const Attempt& attempt) override;
  void Cancel(AttemptKey key) override;
  bool RevokeUnsent(AttemptKey key) override;
  void SetEndpoint(ServerId worker, const Endpoint& endpoint) override;
  void StopUsing(ServerId worker) override;
  void Remove(ServerId worker) override;

  void SetLimits(const UpstreamLimits& limits) { limits_ = limits; }
  std::size_t pools() const { return pools_.size(); }
  std::size_t connections() const { return count_; }

 private:
  class Link;
  using LinkList = std::list<std::unique_ptr<Link>>;
  struct Pool {
    Endpoint endpoint;
    LinkList idle;          // the most recently used last
    Micros wary_until = 0;  // it has sent more than it was asked for
  };

  void NoteRest(Micros rest, bool kept);
  void NoteSurplus(ServerId worker);
  void Fade();

  std::unique_ptr<Link> TakeIdle(Pool& pool);
  bool DropOneIdle();
  void Finish(Link& link, AttemptOutcome end, PayloadRef answer);
  void Park(std::unique_ptr<Link> link);
  void DropIdle(Link& link);
  void Discard(std::unique_ptr<Link> link);

  EventLoop& loop_;
  Log& log_;
  RequestDispatcher& dispatcher_;
  DescriptorLimit& descriptors_;
  UpstreamLimits limits_;
  std::shared_ptr<BodyMemory> long_bodies_;
  std::unordered_map<ServerId, Pool> pools_;
  std::unordered_map<AttemptKey, std::unique_ptr<Link>, AttemptKeyHash> busy_;
  std::size_t count_ = 0;
  limits::IdleReuseEstimator rests_;
  Timer fade_;  // of what is known of rests, so that they are tried again
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_UPSTREAM_UPSTREAM_POOL_HPP_
