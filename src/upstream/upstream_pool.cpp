#include "upstream/upstream_pool.hpp"

#include <algorithm>
#include <utility>

#include "base/memory_budget.hpp"
#include "base/payload.hpp"
#include "upstream/connection.hpp"

namespace dappletiller {
namespace {

// Fraction of the servers' idle timeout after which the proxy closes an idle connection itself. A request
// that crosses the server's close would be reset and count as one that may have run.
constexpr int kIdleTimeoutNumerator = 3;
constexpr int kIdleTimeoutDenominator = 5;

constexpr Micros kMicrosPerMilli = 1'000;
constexpr Micros kRedialDelay = 5'000;  // while the machine is short of descriptors, memory or ports

constexpr Micros kDecayInterval = 10'000'000;
constexpr int kMaxIdleInspected = 8;  // idle connections inspected for one attempt
// A server that has sent more than one response to a request may do so again, some milliseconds later. For a
// while its connections are reused only after this idle time, so that extra data has arrived by then.
constexpr Micros kExtraDataCaution = 60'000'000;
constexpr Micros kExtraDataIdleTime = 50'000;

}  // namespace

UpstreamPool::UpstreamPool(EventLoop& loop, Log& log, RequestDispatcher& dispatcher,
                           DescriptorLimit& descriptors, const UpstreamLimits& limits,
                           std::shared_ptr<MemoryBudget> long_bodies,
                           std::shared_ptr<MemoryBudget> response_memory)
    : loop_(loop),
      log_(log),
      dispatcher_(dispatcher),
      descriptors_(descriptors),
      limits_(limits),
      long_bodies_(std::move(long_bodies)),
      response_memory_(std::move(response_memory)),
      memory_timer_(loop),
      decay_timer_(loop) {
  if (response_memory_ != nullptr) {
    response_memory_->SetOnReleased([this] {
      const bool must_resume = !waiting_for_memory_.empty() && !memory_timer_.set();
      if (must_resume) memory_timer_.Set(0, [this] { ResumeWaiting(); });
    });
  }
  descriptors_.SetCloseUnused(DescriptorLimit::Side::kUpstream, [this] { return CloseOneIdle(); });
}

UpstreamPool::~UpstreamPool() {
  descriptors_.SetCloseUnused(DescriptorLimit::Side::kUpstream, nullptr);
  if (response_memory_ != nullptr) response_memory_->SetOnReleased(nullptr);
}

// In the order in which they began to wait, so that none waits for ever.
void UpstreamPool::ResumeWaiting() {
  while (!waiting_for_memory_.empty()) {
    const auto found = busy_.find(waiting_for_memory_.front());
    if (found != busy_.end() && !found->second->ReserveMemory()) return;
    waiting_for_memory_.pop_front();
    if (found != busy_.end()) found->second->ResumeReading();
  }
}

void UpstreamPool::SetEndpoint(ServerId server, const Endpoint& endpoint) {
  Pool& pool = pools_[server];
  // Attempts ended here may be retried immediately, so the new address is set first.
  if (!(std::exchange(pool.endpoint, endpoint) == endpoint)) StopUsing(server);
}

void UpstreamPool::StopUsing(ServerId server) {
  auto it = pools_.find(server);
  if (it == pools_.end()) return;
  while (!it->second.idle.empty()) CloseIdle(*it->second.idle.back());
  // A connection that is established long after the drain must not be used to send.
  std::vector<AttemptKey> connecting;
  for (const auto& [key, connection] : busy_) {
    if (connection->server == server && !connection->connected) connecting.push_back(key);
  }
  for (const AttemptKey& key : connecting) {
    auto found = busy_.find(key);
    if (found == busy_.end()) continue;
    found->second->socket.Close();
    Finish(*found->second, AttemptOutcome::kUnreachable, nullptr);
  }
}

// Attempts in flight continue; their connections are closed afterwards, since the pool is gone.
void UpstreamPool::Remove(ServerId server) {
  StopUsing(server);
  pools_.erase(server);
}

void UpstreamPool::Start(const Attempt& attempt) {
  auto it = pools_.find(attempt.server);
  if (it == pools_.end()) return dispatcher_.OnAttemptEnded(attempt.key, AttemptOutcome::kNotSent, nullptr);
  std::unique_ptr<Connection> connection = TakeIdle(it->second);
  if (connection == nullptr) {
    if (!descriptors_.EnsureAvailable(DescriptorLimit::Side::kUpstream)) {
      log_.Info("upstream: all %zu connections in use; an attempt was not sent", descriptors_.limit());
      return dispatcher_.OnAttemptEnded(attempt.key, AttemptOutcome::kNotSent, nullptr);
    }
    connection = std::make_unique<Connection>(*this, attempt.server, it->second.endpoint);
    ++count_;
    descriptors_.Acquire();
  }
  Connection& started = *connection;
  busy_[attempt.key] = std::move(connection);
  started.Send(attempt);
  if (!started.connected) Dial(started, loop_.Now() + limits_.connect_timeout);
}

// A shortage of this machine is not held against the server: the dial is repeated while it lasts.
void UpstreamPool::Dial(Connection& connection, Micros connect_by) {
  const ConnectStart start = connection.socket.Connect(connection.endpoint);
  if (start == ConnectStart::kFailed) return Finish(connection, AttemptOutcome::kUnreachable, nullptr);
  const Micros remaining = connect_by - loop_.Now();
  if (start == ConnectStart::kStarted) {
    ++dispatcher_.counters().connections_opened;
    connection.timer.Set(remaining, [this, &connection] {
      connection.socket.Close();
      Finish(connection, AttemptOutcome::kUnreachable, nullptr);
    });
    return;
  }
  ++dispatcher_.counters().dials_postponed;
  if (remaining <= 0) return Finish(connection, AttemptOutcome::kNotSent, nullptr);
  connection.timer.Set(kRedialDelay, [this, &connection, connect_by] { Dial(connection, connect_by); });
}

// Returns the open idle connection whose idle time has the lowest failure rate, the most recently used among
// equals. Avoids requests that cross a server's close, be it right after its response or after a long idle
// time.
std::unique_ptr<UpstreamPool::Connection> UpstreamPool::TakeIdle(Pool& pool) {
  Micros now = loop_.Now();
  // The most recently used are last.
  auto end = pool.idle.end();
  while (now < pool.cautious_until && end != pool.idle.begin() &&
         now - (*std::prev(end))->idle_since < kExtraDataIdleTime) {
    --end;
  }
  while (end != pool.idle.begin()) {
    auto chosen = std::prev(end);
    double lowest = idle_reuse_.FailureRate(now - (*chosen)->idle_since);
    int remaining = kMaxIdleInspected;
    for (auto it = chosen; lowest > 0 && it != pool.idle.begin() && remaining > 0; --remaining) {
      double rate = idle_reuse_.FailureRate(now - (*--it)->idle_since);
      if (rate >= lowest) continue;
      lowest = rate;
      chosen = it;
    }
    std::unique_ptr<Connection> connection = std::move(*chosen);
    pool.idle.erase(chosen);
    connection->timer.Clear();
    connection->idle_time = now - connection->idle_since;
    // Skips connections that the kernel knows to be closed, or that the server has probably closed without
    // notice.
    if (!connection->socket.IsStale() && idle_reuse_.IsReusable(connection->idle_time)) return connection;
    Discard(std::move(connection));
  }
  return nullptr;
}

void UpstreamPool::RecordReuse(Micros idle_time, bool answered) {
  idle_reuse_.Record(idle_time, answered);
  if (!answered && !decay_timer_.set()) decay_timer_.Set(kDecayInterval, [this] { DecayStatistics(); });
}

void UpstreamPool::DecayStatistics() {
  if (idle_reuse_.Decay()) decay_timer_.Set(kDecayInterval, [this] { DecayStatistics(); });
}

bool UpstreamPool::CloseOneIdle() {
  for (auto& [id, pool] : pools_) {
    if (pool.idle.empty()) continue;
    CloseIdle(*pool.idle.front());
    return true;
  }
  return false;
}

void UpstreamPool::Cancel(AttemptKey key, CancelReason reason) {
  auto it = busy_.find(key);
  if (it == busy_.end()) return;
  LogPartialResponse(*it->second, reason == CancelReason::kTimedOut ? "no time left" : "cancelled");
  Stop(key);
}

// Closes the connection: the server stops working on the request then.
void UpstreamPool::Stop(AttemptKey key) {
  auto it = busy_.find(key);
  if (it == busy_.end()) return;
  std::unique_ptr<Connection> connection = std::move(it->second);
  busy_.erase(it);
  Discard(std::move(connection));
}

bool UpstreamPool::StartResponse(AttemptKey key) {
  auto it = busy_.find(key);
  return it != busy_.end() && it->second->StartResponse();
}

bool UpstreamPool::RevokeUnsent(AttemptKey key) {
  auto it = busy_.find(key);
  if (it == busy_.end() || it->second->written()) return false;
  Stop(key);
  return true;
}

void UpstreamPool::RecordExtraData(ServerId server) {
  auto it = pools_.find(server);
  if (it != pools_.end()) it->second.cautious_until = loop_.Now() + kExtraDataCaution;
}

void UpstreamPool::Finish(Connection& connection, AttemptOutcome end, PayloadRef response) {
  const AttemptKey key = connection.key;
  if (busy_.count(key) == 0) return;
  // Released first: on the outcome the module may send to this server again immediately.
  Release(connection);
  dispatcher_.OnAttemptEnded(key, end, std::move(response));
}

// The attempt is over: the connection is idle or closed from now on.
void UpstreamPool::Release(Connection& connection) {
  auto it = busy_.find(connection.key);
  std::unique_ptr<Connection> owned = std::move(it->second);
  busy_.erase(it);
  owned->busy = false;
  if (owned->reusable()) {
    ReturnToPool(std::move(owned));
  } else {
    Discard(std::move(owned));
  }
}

void UpstreamPool::ReturnToPool(std::unique_ptr<Connection> connection) {
  auto it = pools_.find(connection->server);
  if (it == pools_.end() || !(it->second.endpoint == connection->endpoint))
    return Discard(std::move(connection));
  Connection& returned = *connection;
  returned.idle_since = loop_.Now();
  it->second.idle.push_back(std::move(connection));
  returned.position = std::prev(it->second.idle.end());
  StartIdleTimeout(returned);
}

void UpstreamPool::StartIdleTimeout(Connection& connection) {
  const Micros close_at =
      connection.idle_since + limits_.idle_timeout * kIdleTimeoutNumerator / kIdleTimeoutDenominator;
  connection.timer.Set(std::max<Micros>(0, close_at - loop_.Now()),
                       [this, &connection] { CloseIdle(connection); });
}

void UpstreamPool::SetLimits(const UpstreamLimits& limits) {
  limits_ = limits;
  for (auto& [server, pool] : pools_) {
    for (const std::unique_ptr<Connection>& connection : pool.idle) StartIdleTimeout(*connection);
  }
}

void UpstreamPool::CloseIdle(Connection& connection) {
  auto it = pools_.find(connection.server);
  if (it == pools_.end()) return;
  std::unique_ptr<Connection> owned = std::move(*connection.position);
  it->second.idle.erase(connection.position);
  Discard(std::move(owned));
}

// Tells of a response that had begun and is not passed on.
void UpstreamPool::LogPartialResponse(const Connection& connection, const char* reason) {
  const std::size_t received = connection.response_bytes();
  if (received == 0) return;
  const Micros since_first_byte = loop_.Now() - connection.first_byte_at();
  log_.Info("upstream: response to %s from server %u ended after %zu bytes in %lld ms: %s",
            connection.request_id().c_str(), connection.server, received,
            static_cast<long long>(since_first_byte / kMicrosPerMilli), reason);
}

void UpstreamPool::Discard(std::unique_ptr<Connection> connection) {
  connection->socket.Close();
  connection->timer.Clear();
  --count_;
  descriptors_.Release();
  loop_.DeferDelete(std::move(connection));
}

}  // namespace dappletiller
